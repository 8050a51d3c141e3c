package policy

import (
	"slices"
	"time"
)

const (
	// firstBackoffShare is the first backoff as a share of the class's latency target. Each further backoff of a
	// request is twice as long as the one before.
	firstBackoffShare = 1.0 / 16
	// unresponsiveMultiple is the multiple of the expected latency after which an attempt counts as a failure if
	// its server has answered nothing since it was sent.
	unresponsiveMultiple = 4.0
	// hedgeMultiple is the multiple of the expected latency after which a hedged attempt may be sent.
	hedgeMultiple = 2.0
	// hedgeTokensPerRequest is the number of tokens earned by each request. A hedged attempt takes one token, and
	// so does a retry where nodes outnumber servers.
	hedgeTokensPerRequest = 0.1
	// maxHedgeTokens is the highest number of tokens that are saved.
	maxHedgeTokens = 10.0
)

// scheduleRetry starts the backoff before the next attempt. It refuses or fails the request at once if no
// further attempt is possible or could be in time.
func (b *Balancer) scheduleRetry(now time.Duration, r *request) {
	firstDelay := time.Duration(float64(r.class.LatencyTarget) * firstBackoffShare)
	delay := b.jitter(firstDelay << (len(r.attempts) - 1))
	possible := slices.ContainsFunc(b.subset, func(s *server) bool {
		return s.breaker != open && !r.hasTried(s) && b.maySend(now, r, s)
	})
	switch {
	case !possible || now+delay+b.expectedLatency(r) > r.lateValueUntil ||
		b.nodesOutnumberServers() && b.hedgeTokens < 1:
		b.refuseOrFail(now, r, NoRetry)
		return
	case b.nodesOutnumberServers(): // retries of hundreds of nodes would be a retry storm if all servers reject
		b.hedgeTokens--
	}
	r.retryAt = now + delay
	b.scheduleSweep(now)
}

// refuseOrFail answers a request that is not served: it refuses the request if a repeat does no harm, and
// fails it otherwise.
func (b *Balancer) refuseOrFail(now time.Duration, r *request, reason Reason) {
	if wait := b.retryAfter(now, r); r.mayRefuse(now + wait) {
		b.host.Refuse(r.ID, wait, reason)
	} else {
		b.host.Fail(r.ID, reason)
	}
	b.finishRequest(r)
}

// retryAfter returns the retry-after of a refusal: the time until the first open breaker turns half-open, but
// at most half of the latency target, which lets an overload pass, and at most Limits.MaxRetryAfter.
func (b *Balancer) retryAfter(now time.Duration, r *request) time.Duration {
	wait := min(r.class.LatencyTarget/2, b.settings.Limits.MaxRetryAfter)
	for _, s := range b.subset {
		if s.breaker == open {
			wait = min(wait, max(0, s.halfOpenAt-now))
		}
	}
	return wait
}

// mayRefuse reports whether a request may be refused, because a repeat that the client sends at returnAt does no harm.
func (r *request) mayRefuse(returnAt time.Duration) bool {
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return r.class.Idempotency == Idempotent ||
				r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupAllServers &&
					returnAt < r.dedupWindowEnd()
		}
	}
	return true
}

// dedupWindowEnd returns the end of the time during which a further attempt would be dropped as a repeat,
// counted from the first attempt that may have run; 0 if none may have run.
func (r *request) dedupWindowEnd() (end time.Duration) {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.neverRan && r.class.Idempotency == IdempotentByKey &&
			(end == 0 || a.sentAt+r.class.DedupWindow < end) {
			end = a.sentAt + r.class.DedupWindow
		}
	}
	return end
}

// checkInFlight counts attempts that an unresponsive server leaves unanswered as failures, and sends a hedged
// attempt if the latest one has been in flight for longer than hedgeMultiple allows.
func (b *Balancer) checkInFlight(now time.Duration, r *request) {
	expected := b.expectedLatency(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		age := float64(now - a.sentAt)
		if a.inFlight && !a.unresponsive && age > unresponsiveMultiple*float64(expected) &&
			a.server.lastAnswerAt < a.sentAt {
			a.unresponsive = true
			b.recordFailure(now, a, true)
		}
	}
	last := &r.attempts[len(r.attempts)-1]
	hedgeDue := last.inFlight && float64(now-last.sentAt) > hedgeMultiple*float64(expected)
	if !hedgeDue || r.attemptsInFlight > 1 || !b.settings.Limits.AllowHedging || b.hedgeTokens < 1 ||
		now+expected > r.valueUntil {
		return
	}
	if s := b.pickServer(now, r); s != nil {
		b.hedgeTokens--
		b.send(now, r, s)
	}
}
