package policy

import (
	"slices"
	"time"

	"otterstep/internal/stats"
)

// attempt is one attempt to have a request served by a server.
type attempt struct {
	server           *server
	request          *request
	zone, cell       int // zone and cell of the server when the attempt was sent
	sentAt           time.Duration
	inFlight         bool // the attempt has not ended
	neverRan         bool // the server has certainly not run the request
	atUnloadedServer bool // sent while the server had no other attempt of this node, and the fleet few per server
	unresponsive     bool // already counted as a failure because the server did not answer
}

// request is a client's request with its attempts.
type request struct {
	Request
	class            *class
	deadline         time.Duration // time at which the client gives up
	valueUntil       time.Duration // time until which an answer earns the present value
	lateValueUntil   time.Duration // time until which an answer earns any value
	value            float64       // value of an answer up to valueUntil
	attempts         []attempt
	attemptsInFlight int           // number of attempts in flight
	retryAt          time.Duration // end of the backoff before the next attempt; 0: not in backoff
	writeDeadline    time.Duration // write deadline last set with Host.SetWriteDeadline; 0: none
	streaming        bool          // the answer's stream has begun
	done             bool          // the client has its final answer, or has disconnected
	activeIndex      int           // index in Balancer.activeRequests
}

// class is a Class with what the node has measured of its requests.
type class struct {
	Class
	fullLoadLatencySeconds     float64    // full-load latency: the target, or longer where late answers earn value
	meanUnloadedLatencySeconds stats.Mean // mean unloaded latency of a request of mean work
	referenceLatencySeconds    float64    // mean of the first referenceLatencySamples unloaded latencies; 0: not yet
	meanWork                   stats.Mean // mean latency of served requests, in seconds; 1 with Settings.ValueByWork
	meanWorkHint               stats.Mean // mean of Request.WorkHint, in seconds
}

// RequestArrived takes a client's request: it is sent, queued, refused or failed.
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

// addRequest adds a request to the active ones.
func (b *Balancer) addRequest(req Request, c *class) *request {
	if req.WorkHint > 0 {
		c.meanWorkHint.Add(req.WorkHint.Seconds(), 64)
	}
	// The slice is never reallocated, because servers keep pointers to its elements.
	attempts := make([]attempt, 0, b.settings.Limits.MaxAttempts)
	r := &request{Request: req, class: c, attempts: attempts, activeIndex: len(b.activeRequests)}
	b.requests[req.ID] = r
	b.activeRequests = append(b.activeRequests, r)
	return r
}

// precedes reports whether r comes before another request in the queue: the highest value per work comes
// first, then the earliest valueUntil.
func (r *request) precedes(other *request) bool {
	valuePerWork, otherValuePerWork := r.value/r.class.meanWork.Value, other.value/other.class.meanWork.Value
	return valuePerWork > otherValuePerWork || (valuePerWork == otherValuePerWork && r.valueUntil < other.valueUntil)
}

// enqueue inserts a request into the queue.
func (b *Balancer) enqueue(r *request) {
	index, _ := slices.BinarySearchFunc(b.queue, r, func(queued, r *request) int {
		if r.precedes(queued) {
			return 1
		}
		return -1
	})
	b.queue = slices.Insert(b.queue, index, r)
}

// dispatch sends queued requests as long as servers are below their limit. Where no server is usable it
// refuses or fails the requests at once.
func (b *Balancer) dispatch(now time.Duration) {
	if len(b.queue) == 0 {
		return
	}
	b.updateScores(now)
	remaining, noServerAvailable := b.queue[:0], false
	for _, r := range b.queue {
		var s *server
		if !r.done && !noServerAvailable {
			s = b.pickServer(now, r)
		}
		switch {
		case r.done:
		case s != nil:
			b.send(now, r, s)
		case b.usableServerCount == 0:
			b.refuseOrFail(now, r, NoServer)
		default:
			remaining = append(remaining, r)
			noServerAvailable = noServerAvailable || len(r.attempts) == 0 // a first attempt may go to any server
		}
	}
	b.queue = remaining
}

// shedLateRequests refuses or fails queued requests that can no longer be answered in time. Where a late
// answer still earns some value, the requests stay in the queue with that value until their deadline.
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

// send starts an attempt at a server for which maySend holds.
func (b *Balancer) send(now time.Duration, r *request, s *server) {
	writeDeadline := r.dedupWindowEnd()
	r.attempts = append(r.attempts, attempt{
		server: s, request: r, zone: s.Zone, cell: s.Cell, sentAt: now, inFlight: true,
		atUnloadedServer: len(s.inFlight) == 0 &&
			b.attemptsInFlight*b.settings.NodeCount <= 3*b.serverList.inServiceCount,
	})
	a := &r.attempts[len(r.attempts)-1]
	s.inFlight = append(s.inFlight, a)
	r.attemptsInFlight++
	b.attemptsInFlight++
	b.attemptsSinceSizeCheck++
	if s.breaker == halfOpen {
		s.trial = a
	}
	workSeconds := b.unloadedLatencySeconds(r)
	s.sentWork.Add(now, workSeconds)
	s.coldBudgetSeconds -= workSeconds
	if writeDeadline != r.writeDeadline {
		r.writeDeadline = writeDeadline
		b.host.SetWriteDeadline(r.ID, writeDeadline)
	}
	b.host.Send(r.ID, s.Server, 0)
}

// AttemptEnded takes the outcome of an attempt: it updates the server's health, then finishes the request
// or schedules a retry.
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
	} else if !r.done && r.attemptsInFlight == 0 {
		b.scheduleRetry(now, r)
	}
	if r.done {
		b.close(r)
	}
	b.dispatch(now)
}

// ResponseReceived tells that the server of an attempt has responded, while the outcome is not known yet. The
// attempt no longer takes up the server: another one may be sent in its place.
func (b *Balancer) ResponseReceived(now time.Duration, id RequestID, index int) {
	if _, a := b.findAttempt(id, index); a != nil {
		a.removeFromServer()
		b.dispatch(now)
	}
}

// findAttempt returns an attempt with its request, or nil if the attempt is not in flight.
func (b *Balancer) findAttempt(id RequestID, index int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || index < 0 || index >= len(r.attempts) || !r.attempts[index].inFlight {
		return nil, nil
	}
	return r, &r.attempts[index]
}

// removeInFlight removes an attempt from those in flight.
func (b *Balancer) removeInFlight(r *request, a *attempt) {
	a.inFlight = false
	r.attemptsInFlight--
	b.attemptsInFlight--
	a.removeFromServer()
}

// removeFromServer removes an attempt from those that take up its server.
func (a *attempt) removeFromServer() {
	if i := slices.Index(a.server.inFlight, a); i >= 0 {
		a.server.inFlight = slices.Delete(a.server.inFlight, i, i+1)
	}
}

// finishRequest ends a request and cancels its attempts that are still in flight.
func (b *Balancer) finishRequest(r *request) {
	if !r.done {
		b.cancelAttempts(r, nil)
	}
	b.close(r)
}

// close marks a request as done, and removes it once none of its attempts is in flight.
func (b *Balancer) close(r *request) {
	if !r.done {
		r.done = true
		last := b.activeRequests[len(b.activeRequests)-1]
		b.activeRequests[r.activeIndex] = last
		last.activeIndex = r.activeIndex
		b.activeRequests = b.activeRequests[:len(b.activeRequests)-1]
	}
	if r.attemptsInFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// cancelAttempts cancels the attempts in flight except one. Without Limits.AllowCancel it cancels only those that
// are not sent yet.
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

// ClientDisconnected ends a request whose client has disconnected and needs no answer any more.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil {
		b.finishRequest(r)
	}
}

// StreamStarted reacts to the beginning of a streamed answer: the attempt continues for as long as the client
// wants it, and the others are cancelled.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, index int) {
	r, a := b.findAttempt(id, index)
	if r == nil {
		return
	}
	r.streaming = true
	a.server.recordSuccess(now, a)
	b.cancelAttempts(r, a)
}

// relativeWork returns the request's work hint as a multiple of its class's mean, between 0.25 and 4, or 1 without
// a hint.
func (r *request) relativeWork() float64 {
	if r.WorkHint <= 0 || r.class.meanWorkHint.Value <= 0 {
		return 1
	}
	return min(max(r.WorkHint.Seconds()/r.class.meanWorkHint.Value, 0.25), 4)
}

// unloadedLatencySeconds returns the expected latency of the request at a server without other work.
func (b *Balancer) unloadedLatencySeconds(r *request) float64 {
	return r.class.meanUnloadedLatencySeconds.Value*r.relativeWork() + 0.001
}

// expectedLatency returns the expected latency of the request under the present load.
func (b *Balancer) expectedLatency(r *request) time.Duration {
	return time.Duration(b.unloadedLatencySeconds(r) * b.meanLatencyRatio * float64(time.Second))
}
