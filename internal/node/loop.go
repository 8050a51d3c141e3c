package node

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"otterstep/policy"
)

// clockOrigin is the reading of the node's clock when the process starts. The Balancer takes a
// server's start time of 0 or less as long past, so a server that started shortly before this
// process must still get a positive start time; otherwise a cold server would pass for a warm one.
//
// It is long enough that a recent start stays distinct from a start long ago, and from another
// recent start, even if a wall clock was stepped by an hour.
const clockOrigin = 30 * 24 * time.Hour

// clock is the monotonic clock whose readings the Balancer gets. It shows clockOrigin at the start
// of the process.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration { return c.at(time.Now()) }

// at returns the reading of the clock at a time with a monotonic reading.
func (c clock) at(t time.Time) time.Duration { return t.Sub(c.start) + clockOrigin }

// fromUnixMs converts a wall-clock time in Unix milliseconds to a reading of the clock. It returns 0
// for a time of 0 or less, and for one before the clock's zero.
func (c clock) fromUnixMs(ms int64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(0, time.UnixMilli(ms).Sub(c.start.Round(0))+clockOrigin)
}

// A client's time starts when it sends its request, before the node receives it. The Balancer's
// deadline of a request is therefore earlier than the client's, and between the two the loop answers
// each request that has no answer yet.
const (
	// balancerDeadlineMargin is the longest time between the Balancer's deadline and the client's.
	balancerDeadlineMargin = 12 * time.Millisecond
	// answerDeadlineMargin is the longest time between the loop's own answer and the client's deadline.
	answerDeadlineMargin = 4 * time.Millisecond
)

// answerKind is how a request ended for its client.
type answerKind uint8

const (
	answerServed answerKind = iota
	answerRefused
	answerFailed
	answerTimedOut    // the request failed because its time was up
	answerDuplicateID // another request has the same id
)

var answerKindNames = [...]string{
	answerServed: "served", answerRefused: "refused", answerFailed: "failed", answerTimedOut: "overdue", answerDuplicateID: "duplicate id",
}

// String returns the name of a kind for logs.
func (k answerKind) String() string { return answerKindNames[k] }

// finalAnswer is the answer to a client's request; each request gets exactly one.
type finalAnswer struct {
	kind       answerKind
	retryAfter time.Duration // wait that the client of a refused request is asked for; 0: none is stated
	reason     string        // reason of a refusal or failure, for the log
	result     attemptResult // the server's response, if the request was served
}

// request is a client's request that has no final answer yet or has an attempt in flight. Only the
// loop's goroutine uses it, except for writeDeadline and the constant valueUntil, which the
// goroutines of attempts read too.
type request struct {
	id            policy.RequestID
	idHash        uint64 // hash of the client's id in the loop's recentIDs
	outgoing      *upstreamRequest
	answers       chan<- finalAnswer // has buffer space for the one answer
	client        *clientPresence    // constant; the goroutines of attempts read it too
	deadline      time.Duration      // the Balancer's deadline, at which attempts time out
	valueUntil    time.Duration      // time up to which an answer earns its full value
	answered      bool
	attempts      []*attempt
	inFlight      int
	timers        []*timer
	writeDeadline atomic.Int64 // clock time in nanoseconds from which no attempt may be written; 0: no limit
}

// The phases of an attempt's write. The loop and the attempt's goroutine share the phase: no write
// begins once the loop has abandoned an attempt, and the loop knows whether anything may have been
// written.
const (
	phaseUnsent int32 = iota
	phaseWriting
	phaseWritten
	phaseAbandoned
)

// attempt is one attempt of a request at one server. It implements attemptControl.
type attempt struct {
	loop            *loop
	clock           clock
	gate            *sendGate
	request         *request
	index           int
	serverID        policy.ServerID
	incarnation     serverIncarnation
	sentAt          time.Duration
	phase           atomic.Int32
	beganAt         atomic.Int64 // clock time in nanoseconds of the permission to write the first byte; 0: not given
	cancel          context.CancelFunc
	outcomeReported bool // the Balancer has the outcome; any later result is ignored
}

// beginWrite claims the right to write the request. It returns false if the loop has abandoned the
// attempt, the client has disconnected, the write deadline has passed or the attempt's server is being taken out of
// service. Every attempt calls it right before the first byte of its request.
func (a *attempt) beginWrite() bool {
	if a.request.client.isGone() {
		return false
	}
	now := a.clock.now()
	deadline := time.Duration(a.request.writeDeadline.Load())
	if deadline > 0 && now >= deadline || !a.gate.admits(a.serverID) || !a.phase.CompareAndSwap(phaseUnsent, phaseWriting) {
		return false
	}
	a.beganAt.Store(int64(now))
	return true
}

// finishWrite records that the last byte of the request has been written.
func (a *attempt) finishWrite() { a.phase.CompareAndSwap(phaseWriting, phaseWritten) }

// responseReceived passes on that the server has responded, and returns the longest quiet time that does
// not make the answer late.
func (a *attempt) responseReceived() time.Duration {
	a.loop.post(func() {
		if !a.outcomeReported {
			a.loop.balancer.ResponseReceived(a.loop.now, a.request.id, a.index)
		}
	})
	return maxQuietTime(a.clock.now(), a.request.valueUntil)
}

// loop is the event loop of a node. It owns the Balancer, the requests and the timers: one goroutine
// runs it, and all others post events to it. It implements policy.Host. A Host must not call back
// into the Balancer, so an action only starts a goroutine, answers a waiting handler, or defers its
// report to the Balancer until the current event has ended.
type loop struct {
	clock      clock
	upstream   *upstream
	gate       *sendGate
	drainGrace time.Duration // time for which a draining server may still get attempts
	requestLog *requestLog
	onReady    func() // called once, when the node begins to serve requests
	callQueue  *callQueue
	events     chan func()
	stopped    chan struct{}

	balancer         *policy.Balancer
	now              time.Duration
	requests         map[policy.RequestID]*request
	servers          map[policy.ServerID]serverIncarnation
	addressOwners    addressOwners
	lastRequestID    policy.RequestID
	recentIDs        recentIDs
	shutdownDeadline time.Duration // time by which all requests are answered when the node shuts down; 0: it does not shut down

	metrics  metrics
	timers   timerHeap
	deferred []func() // functions that run in this order after the current event
}

func newLoop(settings policy.Settings, seed uint64, clock clock, upstream *upstream, callQueue *callQueue) (*loop, error) {
	l := &loop{
		clock: clock, upstream: upstream, gate: newSendGate(), drainGrace: settings.Rules.DrainGrace,
		requestLog: newRequestLog(slog.New(slog.DiscardHandler)),
		onReady:    func() {}, callQueue: callQueue,
		events: make(chan func(), 256), stopped: make(chan struct{}),
		recentIDs: newRecentIDs(settings.Classes),
		requests:  map[policy.RequestID]*request{}, servers: map[policy.ServerID]serverIncarnation{}, addressOwners: addressOwners{},
	}
	var err error
	if l.balancer, err = policy.New(settings, seed, l); err != nil {
		return nil, fmt.Errorf("create the balancer: %w", err)
	}
	return l, nil
}

// run runs events and timers until ctx ends. It then cancels all attempts.
func (l *loop) run(ctx context.Context) {
	defer close(l.stopped)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, r := range l.requests {
				for _, a := range r.attempts {
					a.cancel()
				}
			}
			return
		case event := <-l.events:
			l.runEvent(event)
		case <-wake.C:
		}
		for len(l.timers) > 0 && l.timers[0].at <= l.advanceNow() {
			l.runEvent(heap.Pop(&l.timers).(*timer).callback)
		}
		if len(l.timers) > 0 {
			wake.Reset(l.timers[0].at - l.advanceNow())
		}
	}
}

// advanceNow sets now from the clock and returns it. It never sets now back.
func (l *loop) advanceNow() time.Duration {
	l.now = max(l.now, l.clock.now())
	return l.now
}

// runEvent runs one event, and then what the Balancer's actions have deferred.
func (l *loop) runEvent(event func()) {
	l.advanceNow()
	event()
	for len(l.deferred) > 0 {
		next := l.deferred[0]
		l.deferred = l.deferred[1:]
		next()
	}
	l.deferred = nil
}

// post queues an event for the loop. It returns false if the loop has stopped.
func (l *loop) post(event func()) bool {
	select {
	case l.events <- event:
		return true
	case <-l.stopped:
		return false
	}
}

// postAndWait queues an event and waits until the loop has run it and all that it deferred, or has
// stopped.
func (l *loop) postAndWait(event func()) {
	handled := make(chan struct{})
	done := func() { close(handled) }
	if l.post(func() { event(); l.deferred = append(l.deferred, done) }) {
		select {
		case <-handled:
		case <-l.stopped:
		}
	}
}

// ---- Events

// submit passes a client's request to the Balancer, unless the client has disconnected. It sends exactly one final
// answer to answers. The loop holds the memory of the request from then on.
func (l *loop) submit(policyRequest policy.Request, outgoing *upstreamRequest, answers chan<- finalAnswer) *request {
	if outgoing.client.isGone() {
		outgoing.release()
		return &request{answers: answers, answered: true}
	}
	idHash, isNew := l.recentIDs.add(l.now, outgoing.header.Get("X-Correlation-Id"))
	if !isNew {
		outgoing.release()
		r := &request{answers: answers}
		l.answer(r, finalAnswer{kind: answerDuplicateID})
		return r
	}
	// Ids wrap around, so those of open requests are skipped.
	for l.lastRequestID++; l.requests[l.lastRequestID] != nil; l.lastRequestID++ {
	}
	if l.shutdownDeadline > 0 {
		outgoing.clientDeadline = min(outgoing.clientDeadline, l.shutdownDeadline)
	}
	timeLeft := max(0, outgoing.clientDeadline-l.now)
	policyRequest.ID, policyRequest.TimeLeft = l.lastRequestID, timeLeft-min(balancerDeadlineMargin, timeLeft/2)
	r := &request{
		id: policyRequest.ID, idHash: idHash, outgoing: outgoing, answers: answers, client: outgoing.client,
		deadline: l.now + policyRequest.TimeLeft, valueUntil: outgoing.valueUntil,
	}
	l.requests[r.id] = r
	l.requestLog.requestTaken(r, policyRequest)
	l.balancer.RequestArrived(l.now, policyRequest)
	if !r.answered {
		l.scheduleFor(r, r.deadline, func() { l.timeOutAttempts(r) })
		l.scheduleFor(r, outgoing.clientDeadline-min(answerDeadlineMargin, timeLeft/4), func() { l.enforceDeadline(r) })
	}
	return r
}

// timeOutAttempts ends the attempts of a request at the Balancer's deadline. It reports each as
// timed out while the request has no answer, so that the Balancer decides on the final answer.
func (l *loop) timeOutAttempts(r *request) {
	for _, a := range r.attempts {
		if !a.outcomeReported && !r.answered {
			l.abandon(a, policy.Timeout)
		}
	}
}

// setShutdownDeadline sets the time by which all requests must be answered, including those that
// were received earlier and have more time left: the node may be killed after it, and a killed node
// answers nobody.
func (l *loop) setShutdownDeadline(deadline time.Duration) {
	l.shutdownDeadline = deadline
	for _, r := range l.requests {
		if !r.answered && r.deadline > deadline {
			l.scheduleFor(r, deadline, func() { l.enforceDeadline(r) })
		}
	}
}

// enforceDeadline answers a request that the Balancer has not answered by now, so that every client
// gets an answer within its time. The Balancer then treats the client as disconnected.
func (l *loop) enforceDeadline(r *request) {
	if !r.answered {
		l.answer(r, finalAnswer{kind: answerTimedOut})
		l.balancer.ClientDisconnected(l.now, r.id)
		l.forgetIfDone(r)
	}
}

// clientDisconnected ends a request whose client has disconnected. The client gets no answer.
func (l *loop) clientDisconnected(r *request) {
	if !r.answered {
		r.answered = true
		l.requestLog.clientDisconnected(r)
		l.balancer.ClientDisconnected(l.now, r.id)
		l.forgetIfDone(r)
	}
}

// roundTripFinished answers the client if the result of an attempt allows it, and reports the outcome.
func (l *loop) roundTripFinished(a *attempt, result attemptResult, endedAt time.Duration) {
	if a.outcomeReported {
		return
	}
	switch {
	case result.status == policy.OK:
		l.answer(a.request, finalAnswer{kind: answerServed, result: result})
	case result.invalidRequest:
		// The request is invalid, and would be so at any server. It is not retried, and the
		// outcome must not count against this server.
		l.answer(a.request, finalAnswer{kind: answerFailed, reason: "a server answered with a client error"})
		result.status = policy.Cancelled
	}
	l.reportOutcome(a, result.status, endedAt)
}

// abandon ends an attempt that has no result yet. If its write has not begun, the request has not
// run and never will, because the attempt's goroutine finds the phase changed; its status is then
// NotSent.
func (l *loop) abandon(a *attempt, status policy.Status) {
	if a.phase.CompareAndSwap(phaseUnsent, phaseAbandoned) {
		status = policy.NotSent
	}
	l.reportOutcome(a, status, l.now)
}

// cancelUnwritten cancels the attempts of a request that are not fully written at their write
// deadline, unless another write deadline has been set since. If a write is under way, its goroutine
// finds the connection unusable and reports whether the last byte was written before that.
func (l *loop) cancelUnwritten(r *request, deadline time.Duration) {
	if r.writeDeadline.Load() != int64(deadline) {
		return
	}
	for _, a := range r.attempts {
		switch {
		case a.outcomeReported:
		case a.phase.CompareAndSwap(phaseUnsent, phaseAbandoned):
			l.reportOutcome(a, policy.NotSent, l.now)
		case a.phase.CompareAndSwap(phaseWriting, phaseAbandoned):
			a.cancel()
		}
	}
}

// reportOutcome reports the end of an attempt to the Balancer. It is called once for each attempt.
func (l *loop) reportOutcome(a *attempt, status policy.Status, endedAt time.Duration) {
	r := a.request
	a.outcomeReported = true
	a.cancel()
	r.inFlight--
	l.checkDrainGrace(a)
	l.requestLog.attemptEnded(a, status, endedAt)
	l.balancer.AttemptEnded(l.now, policy.Outcome{
		ID: r.id, Attempt: a.index, Server: a.serverID, Status: status,
		RequestDone: r.answered, Latency: max(0, endedAt-a.sentAt),
	})
	l.forgetIfDone(r)
}

// checkDrainGrace counts and logs an attempt that began at a server later than the drain grace after
// the server went out of service. Such an attempt is a drain violation.
func (l *loop) checkDrainGrace(a *attempt) {
	beganAt := time.Duration(a.beganAt.Load())
	since, isOut := l.balancer.OutOfService(a.serverID)
	if beganAt == 0 || !isOut || beganAt <= since+l.drainGrace {
		return
	}
	total := l.metrics.drainViolations.Add(1)
	l.requestLog.logger.Error("drain violation: an attempt began after the drain grace", "request", correlationID(a.request),
		"number", a.request.id, "attempt", a.index, "endpoint", l.servers[a.serverID].addr,
		"late", beganAt-since-l.drainGrace, "total", total)
}

// answer sends the final answer to the client. It ignores all answers of a request but the first.
func (l *loop) answer(r *request, a finalAnswer) {
	if !r.answered {
		r.answered = true
		l.requestLog.requestAnswered(r, a)
		r.answers <- a
	}
}

// forgetIfDone removes a request that is answered and has no attempt in flight.
func (l *loop) forgetIfDone(r *request) {
	if r.answered {
		if r.outgoing != nil {
			r.outgoing.release()
			r.outgoing = nil // an attempt in flight may refer to the request for a while
		}
		if r.inFlight == 0 && l.requests[r.id] == r {
			delete(l.requests, r.id)
			l.cancelTimers(r)
			l.recentIDs.end(l.now, r.idHash, r.mayHaveRun())
		}
	}
}

// mayHaveRun reports whether any attempt of the request was permitted to begin.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.beganAt.Load() != 0 })
}

// ---- Actions of the Balancer

// Send implements policy.Host.
func (l *loop) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	r := l.requests[id]
	if r == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	newAttempt := &attempt{loop: l, clock: l.clock, gate: l.gate, request: r, index: len(r.attempts), serverID: server,
		sentAt: l.now, cancel: cancel}
	r.attempts = append(r.attempts, newAttempt)
	r.inFlight++
	incarnation, listed := l.servers[server]
	newAttempt.incarnation = incarnation
	if r.answered || !listed {
		newAttempt.phase.Store(phaseAbandoned)
		l.deferred = append(l.deferred, func() { l.reportOutcome(newAttempt, policy.NotSent, l.now) })
		return
	}
	if l.addressOwners.isSuperseded(incarnation) { // no connection to it can come up any more
		newAttempt.phase.Store(phaseAbandoned)
		l.deferred = append(l.deferred, func() { l.reportOutcome(newAttempt, policy.ConnectFailed, l.now) })
		return
	}
	l.requestLog.attemptSent(newAttempt, incarnation)
	timeLeft := r.deadline - l.now
	if timeout > 0 && timeout < timeLeft {
		timeLeft = timeout
		l.scheduleFor(r, l.now+timeout, func() {
			if !newAttempt.outcomeReported {
				l.abandon(newAttempt, policy.Timeout)
			}
		})
	}
	outgoing := r.outgoing
	outgoing.hold()
	go func() {
		defer outgoing.release()
		result := l.upstream.roundTrip(ctx, incarnation, outgoing, timeLeft, newAttempt)
		endedAt := l.clock.now()
		if !result.receivedAt.IsZero() {
			endedAt = l.clock.at(result.receivedAt)
		}
		l.post(func() { l.roundTripFinished(newAttempt, result, endedAt) })
	}()
}

// SetWriteDeadline implements policy.Host.
func (l *loop) SetWriteDeadline(id policy.RequestID, deadline time.Duration) {
	r := l.requests[id]
	if r == nil {
		return
	}
	if r.writeDeadline.Store(int64(deadline)); deadline > 0 {
		l.scheduleFor(r, deadline, func() { l.cancelUnwritten(r, deadline) })
	}
}

// Cancel implements policy.Host.
func (l *loop) Cancel(id policy.RequestID, index int) {
	l.deferForAttempt(id, index, func(a *attempt) { l.abandon(a, policy.Cancelled) })
}

// CancelUnsent implements policy.Host.
func (l *loop) CancelUnsent(id policy.RequestID, index int) {
	l.deferForAttempt(id, index, func(a *attempt) {
		if a.phase.CompareAndSwap(phaseUnsent, phaseAbandoned) {
			l.reportOutcome(a, policy.NotSent, l.now)
		}
	})
}

// deferForAttempt runs action on an attempt after the current event, unless the attempt's outcome
// has been reported by then.
func (l *loop) deferForAttempt(id policy.RequestID, index int, action func(*attempt)) {
	r := l.requests[id]
	if r == nil || index >= len(r.attempts) {
		return
	}
	a := r.attempts[index]
	l.deferred = append(l.deferred, func() {
		if !a.outcomeReported {
			action(a)
		}
	})
}

// Refuse implements policy.Host.
func (l *loop) Refuse(id policy.RequestID, retryAfter time.Duration, reason policy.Reason) {
	l.endRequest(id, finalAnswer{kind: answerRefused, retryAfter: retryAfter, reason: reason.String()})
}

// Fail implements policy.Host.
func (l *loop) Fail(id policy.RequestID, reason policy.Reason) {
	l.endRequest(id, finalAnswer{kind: answerFailed, reason: reason.String()})
}

// endRequest gives a request its final answer.
func (l *loop) endRequest(id policy.RequestID, a finalAnswer) {
	if r := l.requests[id]; r != nil {
		l.answer(r, a)
		l.forgetIfDone(r)
	}
}

// SetTimer implements policy.Host.
func (l *loop) SetTimer(at time.Duration, token uint64) {
	l.scheduleAt(at, func() { l.balancer.TimerFired(l.now, token) })
}

// MarkReady implements policy.Host.
func (l *loop) MarkReady() { l.onReady() }

// StartCall implements policy.Host.
func (l *loop) StartCall(call policy.Call) { l.callQueue.add(callCommand{call: call}) }

// CancelCall implements policy.Host.
func (l *loop) CancelCall(id policy.CallID) {
	l.callQueue.add(callCommand{call: policy.Call{ID: id}, abandons: true})
}
