package policy

import (
	"slices"
	"time"
)

const (
	firstBackoffShare     = 1.0 / 16 // first retry delay as a share of the class's aim; doubles
	unresponsiveMultiple  = 4.0      // times the expected latency: an unanswered attempt counts as a failure
	hedgeMultiple         = 2.0      // times the expected latency: a second copy may go out
	hedgeTokensPerRequest = 0.1      // second copies a request, and retries of a thin node
	maxHedgeTokens        = 10.0     // saved up at most
)

// retry waits for the backoff of a further attempt, or answers now if none fits.
func (b *Balancer) scheduleRetry(now time.Duration, r *request) {
	firstDelay := time.Duration(float64(r.class.LatencyTarget) * firstBackoffShare)
	delay := b.jitter(firstDelay << (len(r.attempts) - 1))
	possible := slices.ContainsFunc(b.subset, func(s *server) bool {
		return s.breaker != open && !r.hasTried(s) && b.maySend(now, r, s)
	})
	switch {
	case !possible || now+delay+b.expectedLatency(r) > r.lateValueUntil || b.nodesOutnumberServers() && b.hedgeTokens < 1:
		b.refuseOrFail(now, r, NoRetry)
		return
	case b.nodesOutnumberServers(): // hundreds of nodes that try three times more where all is full are a storm
		b.hedgeTokens--
	}
	r.retryAt = now + delay
	b.scheduleSweep(now)
}

// giveUp answers a request that is not served: refused where that promise holds, else failed.
func (b *Balancer) refuseOrFail(now time.Duration, r *request, reason Reason) {
	if wait := b.retryAfter(now, r); r.mayRefuse(now + wait) {
		b.host.Refuse(r.ID, wait, reason)
	} else {
		b.host.Fail(r.ID, reason)
	}
	b.finishRequest(r)
}

// retryAfter is the time until the next trial, or some to let a crowd pass.
func (b *Balancer) retryAfter(now time.Duration, r *request) time.Duration {
	wait := min(r.class.LatencyTarget/2, b.settings.Limits.MaxRetryAfter)
	for _, s := range b.subset {
		if s.breaker == open {
			wait = min(wait, max(0, s.halfOpenAt-now))
		}
	}
	return wait
}

// mayRefuse tells whether the promise of a refusal holds for a client that comes back then.
func (r *request) mayRefuse(returnAt time.Duration) bool {
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return r.class.Idempotency == Idempotent ||
				r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupAllServers && returnAt < r.dedupWindowEnd()
		}
	}
	return true
}

// windowEnd is when the window ends in which a further attempt is a repeat that its group drops,
// counted from the first attempt that may have run; 0 where none may have.
func (r *request) dedupWindowEnd() (end time.Duration) {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverRan && r.class.Idempotency == IdempotentByKey && (end == 0 || a.sentAt+r.class.DedupWindow < end) {
			end = a.sentAt + r.class.DedupWindow
		}
	}
	return end
}

// watch counts attempts that a silent server leaves unanswered as failures, and sends second copies.
func (b *Balancer) checkInFlight(now time.Duration, r *request) {
	expected := b.expectedLatency(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		age := float64(now - a.sentAt)
		if a.inFlight && !a.unresponsive && age > unresponsiveMultiple*float64(expected) && a.server.lastAnswerAt < a.sentAt {
			a.unresponsive = true
			b.recordFailure(now, a, true)
		}
	}
	last := &r.attempts[len(r.attempts)-1]
	hedgeDue := last.inFlight && float64(now-last.sentAt) > hedgeMultiple*float64(expected)
	if !hedgeDue || r.inFlight > 1 || !b.settings.Limits.AllowHedging || b.hedgeTokens < 1 || now+expected > r.valueUntil {
		return
	}
	if s := b.pickServer(now, r); s != nil {
		b.hedgeTokens--
		b.send(now, r, s)
	}
}
