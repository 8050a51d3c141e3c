package policy

import (
	"slices"
	"time"

	"otterstep/internal/stats"
)

type attempt struct {
	server           *server
	request          *request
	zone, cell       int
	sentAt           time.Duration
	inFlight         bool
	neverRan         bool
	atUnloadedServer bool // no other attempt of ours was out at the server
	unresponsive     bool // counted as a failure for its silence
}

type request struct {
	Request
	class          *class
	deadline       time.Duration // the client gives up
	valueUntil     time.Duration // an answer after this is worth nothing, or less where late ones have worth
	lateValueUntil time.Duration // and after this nothing
	value          float64       // what an answer is worth now
	attempts       []attempt
	inFlight       int
	retryAt        time.Duration // waits for its backoff if not 0
	writeDeadline  time.Duration // as the host was told
	streaming      bool
	done           bool
	activeIndex    int // place in Balancer.open
}

type class struct {
	Class
	fullLoadLatencySeconds     float64    // seconds: the aim, longer where late answers are worth more than such work costs
	meanUnloadedLatencySeconds stats.Mean // latency of a lone request of mean size, seconds
	referenceLatencySeconds    float64    // that, once it had settled
	meanWork                   stats.Mean // latency of all its served requests; 1 where worth counts by work
	meanWorkHint               stats.Mean // seconds
}

// Request takes a client's request.
func (b *Balancer) RequestArrived(now time.Duration, req Request) {
	if b.requests[req.ID] != nil {
		return
	}
	if req.Class < 0 || req.Class >= len(b.classes) {
		b.host.Refuse(req.ID, 0, UnknownClass)
		return
	}
	c := &b.classes[req.Class]
	r := b.addRequest(req, c)
	r.deadline = now + min(req.TimeLeft, c.Deadline)
	r.valueUntil = min(r.deadline, now+c.LatencyTarget+time.Duration(c.TargetWorkFactor*float64(req.WorkHint)))
	r.value, r.lateValueUntil = c.Value, r.valueUntil
	if c.LateValueShare > 0 {
		r.lateValueUntil = r.deadline
	}
	overQuota := req.Tenant >= 0 && req.Tenant < len(b.tenantQuotas) && !b.tenantQuotas[req.Tenant].Take(now)
	if overQuota {
		r.value *= b.settings.OverQuotaValueShare
	}
	b.demand.Add(now, b.unloadedLatencySeconds(r))
	b.hedgeTokens = min(b.hedgeTokens+hedgeTokensPerRequest, maxHedgeTokens)
	switch {
	case b.settings.ConfirmCachedList && !b.serving:
		b.refuseOrFail(now, r, NotReady)
	case b.nodesOutnumberServers() && !b.admit(now, overQuota):
		b.refuseOrFail(now, r, Overload)
	default:
		b.enqueue(r)
		b.dispatch(now)
		b.scheduleSweep(now)
	}
}

// newRequest adds a request to the open ones.
func (b *Balancer) addRequest(req Request, c *class) *request {
	if req.WorkHint > 0 {
		c.meanWorkHint.Add(req.WorkHint.Seconds(), 64)
	}
	attempts := make([]attempt, 0, b.settings.Limits.MaxAttempts) // never grown: servers point into it
	r := &request{Request: req, class: c, attempts: attempts, activeIndex: len(b.activeRequests)}
	b.requests[req.ID] = r
	b.activeRequests = append(b.activeRequests, r)
	return r
}

// before orders the held requests: most worth for its work first, then earliest end of use.
func (r *request) precedes(other *request) bool {
	valuePerWork, otherValuePerWork := r.value/r.class.meanWork.Value, other.value/other.class.meanWork.Value
	return valuePerWork > otherValuePerWork || (valuePerWork == otherValuePerWork && r.valueUntil < other.valueUntil)
}

// hold puts a request into the queue.
func (b *Balancer) enqueue(r *request) {
	index, _ := slices.BinarySearchFunc(b.queue, r, func(queued, r *request) int {
		if r.precedes(queued) {
			return 1
		}
		return -1
	})
	b.queue = slices.Insert(b.queue, index, r)
}

// dispatch sends what is held while servers have room; with every breaker open it refuses at once.
func (b *Balancer) dispatch(now time.Duration) {
	if len(b.queue) == 0 {
		return
	}
	b.updateScores(now)
	remaining, noRoom := b.queue[:0], false
	for _, r := range b.queue {
		var s *server
		if !r.done && !noRoom {
			s = b.pickServer(now, r)
		}
		switch {
		case r.done:
		case s != nil:
			b.send(now, r, s)
		case b.usableServers == 0:
			b.refuseOrFail(now, r, NoServer)
		default:
			remaining = append(remaining, r)
			noRoom = noRoom || len(r.attempts) == 0 // no room for any that are not bound to a group
		}
	}
	b.queue = remaining
}

// shed ends the wait of held requests that cannot be in time any more, or lets them wait behind the
// rest where a late answer still has some worth.
func (b *Balancer) shedLateRequests(now time.Duration) {
	remaining, late := b.queue[:0], []*request(nil)
	for _, r := range b.queue {
		switch {
		case r.done || now+b.expectedLatency(r) <= r.valueUntil:
			remaining = append(remaining, r)
		case r.class.LateValueShare > 0 && r.valueUntil < r.deadline:
			r.valueUntil = r.deadline
			r.value *= r.class.LateValueShare
			late = append(late, r)
		default:
			b.refuseOrFail(now, r, TooLate)
		}
	}
	b.queue = remaining
	for _, r := range late {
		b.enqueue(r)
	}
}

// send starts an attempt; pick has asked the gate.
func (b *Balancer) send(now time.Duration, r *request, s *server) {
	writeBy := r.dedupWindowEnd()
	r.attempts = append(r.attempts, attempt{
		server: s, request: r, zone: s.Zone, cell: s.Cell, sentAt: now, inFlight: true,
		atUnloadedServer: len(s.inFlight) == 0 && b.inFlight*b.settings.NodeCount <= 3*b.serverList.inServiceCount,
	})
	a := &r.attempts[len(r.attempts)-1]
	s.inFlight = append(s.inFlight, a)
	r.inFlight++
	b.inFlight++
	b.attemptsSinceResize++
	if s.breaker == halfOpen {
		s.trial = a
	}
	work := b.unloadedLatencySeconds(r)
	s.sentWork.Add(now, work)
	s.coldBudgetSeconds -= work
	if writeBy != r.writeDeadline {
		r.writeDeadline = writeBy
		b.host.SetWriteDeadline(r.ID, writeBy)
	}
	b.host.Send(r.ID, s.Server, 0)
}

// Outcome takes the end of an attempt: first for the server's health, then for the request.
func (b *Balancer) AttemptEnded(now time.Duration, o Outcome) {
	r, a := b.findAttempt(o.ID, o.Attempt)
	if r == nil {
		return
	}
	b.removeInFlight(r, a)
	a.neverRan = o.Status == Rejected || o.Status == ConnectFailed || o.Status == NotSent
	b.recordOutcome(now, r, a, o)
	if o.RequestDone || o.Status == OK {
		b.finishRequest(r)
	} else if !r.done && r.inFlight == 0 {
		b.scheduleRetry(now, r)
	}
	if r.done {
		b.close(r)
	}
	b.dispatch(now)
}

// find gives the attempt that an event is about; nil if it is not out.
func (b *Balancer) findAttempt(id RequestID, index int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || index < 0 || index >= len(r.attempts) || !r.attempts[index].inFlight {
		return nil, nil
	}
	return r, &r.attempts[index]
}

// ended takes an attempt off the books.
func (b *Balancer) removeInFlight(r *request, a *attempt) {
	a.inFlight = false
	r.inFlight--
	b.inFlight--
	if i := slices.Index(a.server.inFlight, a); i >= 0 {
		a.server.inFlight = slices.Delete(a.server.inFlight, i, i+1)
	}
}

// finish ends a request; attempts that are still out are cancelled.
func (b *Balancer) finishRequest(r *request) {
	if !r.done {
		b.cancelAttempts(r, nil)
	}
	b.close(r)
}

// close takes a request off the books once it is done and its attempts are in.
func (b *Balancer) close(r *request) {
	if !r.done {
		r.done = true
		last := b.activeRequests[len(b.activeRequests)-1]
		b.activeRequests[r.activeIndex] = last
		last.activeIndex = r.activeIndex
		b.activeRequests = b.activeRequests[:len(b.activeRequests)-1]
	}
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// cancel stops the attempts that are out but for one; where that is not allowed, those not begun.
func (b *Balancer) cancelAttempts(r *request, except *attempt) {
	for i := range r.attempts {
		switch a := &r.attempts[i]; {
		case !a.inFlight || a == except:
		case b.settings.Limits.AllowCancel:
			b.host.Cancel(r.ID, i)
		default:
			b.host.CancelUnsent(r.ID, i)
		}
	}
}

// Left is told when a client went away: nothing is owed any more.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil {
		b.finishRequest(r)
	}
}

// Started is told when the answer's stream began: the attempt is the client's now.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, index int) {
	r, a := b.findAttempt(id, index)
	if r == nil {
		return
	}
	r.streaming = true
	a.server.recordSuccess(now, a)
	b.cancelAttempts(r, a)
}

// size is the request's work as a multiple of its class's mean, where hinted.
func (r *request) relativeWork() float64 {
	if r.WorkHint <= 0 || r.class.meanWorkHint.Value <= 0 {
		return 1
	}
	return min(max(r.WorkHint.Seconds()/r.class.meanWorkHint.Value, 0.25), 4)
}

// loneLatency is what the request should take on a server of its own, in seconds.
func (b *Balancer) unloadedLatencySeconds(r *request) float64 {
	return r.class.meanUnloadedLatencySeconds.Value*r.relativeWork() + 0.001
}

// expected is what the request should take at present.
func (b *Balancer) expectedLatency(r *request) time.Duration {
	return time.Duration(b.unloadedLatencySeconds(r) * b.meanLatencyRatio * float64(time.Second))
}
