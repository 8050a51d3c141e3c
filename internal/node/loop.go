package node

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"otterstep/policy"
)

// clockOrigin is what the module's clock shows when the process starts. The
// module takes a start time of 0 or less as "long ago", so servers that came up
// shortly before this process did must still get a positive one, or a cold
// server would pass for a warm one.
//
// It is long enough for a start of lately to be told from one of long ago, and from another such
// start, also where a wall clock was stepped by an hour.
const clockOrigin = 30 * 24 * time.Hour

// clock is the module's clock: monotonic, from the start of the process.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration { return time.Since(c.start) + clockOrigin }

// fromUnixMs maps a wall-clock time; 0, and what is older than the clock, is 0.
func (c clock) fromUnixMs(ms int64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(0, time.UnixMilli(ms).Sub(c.start.Round(0))+clockOrigin)
}

// Deadlines. A client counts its time from when it sent, so the module is told
// somewhat less; the backstop stands between the module's end and the client's.
const (
	policyDeadlineMargin = 12 * time.Millisecond
	answerDeadlineMargin = 4 * time.Millisecond
)

// answerKind tells how a request ended for its client.
type answerKind uint8

const (
	answerServed answerKind = iota
	answerRefused
	answerFailed
	answerTimedOut    // failed because the time was up
	answerDuplicateID // its id is that of another request
)

var answerKindNames = [...]string{
	answerServed: "served", answerRefused: "refused", answerFailed: "failed", answerTimedOut: "overdue", answerDuplicateID: "duplicate id",
}

// String names a kind, for logs.
func (k answerKind) String() string { return answerKindNames[k] }

// answer is the one final answer of a request.
type finalAnswer struct {
	kind       answerKind
	retryAfter time.Duration // refused
	reason     string        // refused or failed, for the log
	result     attemptResult // served
}

// request is a client's request while the node owes something for it or an
// attempt of it is out. Only the loop touches it.
type request struct {
	id            policy.RequestID
	outgoing      *upstreamRequest
	answers       chan<- finalAnswer // room for the one answer
	deadline      time.Duration      // attempts are given up
	answered      bool
	attempts      []*attempt
	inFlight      int
	writeDeadline atomic.Int64 // no byte of an attempt goes out from then on; 0: no limit
}

// The phases of an attempt's write. They are shared with its goroutine, so that
// nothing goes out after the loop has given the attempt up, and the loop knows
// whether anything may have.
const (
	phaseUnsent int32 = iota
	phaseWriting
	phaseWritten
	phaseAbandoned
)

type attempt struct {
	clock           clock
	gate            *sendGate
	request         *request
	index           int
	serverID        policy.ServerID
	incarnation     serverIncarnation
	sentAt          time.Duration
	phase           atomic.Int32
	beganAt         atomic.Int64 // when its first byte was about to go out, on the module's clock; 0: not yet
	cancel          context.CancelFunc
	outcomeReported bool // its outcome was told; what still comes is dropped
}

// begin claims the right to write the request; false once the loop gave it up, the time for it is over
// or its server is being taken out of service. Every first byte passes here. It implements permit.
func (a *attempt) beginWrite() bool {
	now := a.clock.now()
	deadline := time.Duration(a.request.writeDeadline.Load())
	if deadline > 0 && now >= deadline || !a.gate.admits(a.serverID) || !a.phase.CompareAndSwap(phaseUnsent, phaseWriting) {
		return false
	}
	a.beganAt.Store(int64(now))
	return true
}

// wrote notes that the last byte is out.
func (a *attempt) finishWrite() { a.phase.CompareAndSwap(phaseWriting, phaseWritten) }

// timer is an entry of the one heap of timers.
type timer struct {
	at   time.Duration
	fire func()
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{} // let go of what it holds
	*h = old[:len(old)-1]
	return last
}

// loop owns the Balancer, the requests and the clock: one goroutine runs it,
// everything else posts events. It implements policy.Host; actions only start
// goroutines, answer waiting handlers or queue what must reach the module after
// the present event, since the module must not be called from within itself.
type loop struct {
	clock      clock
	upstream   *upstream
	gate       *sendGate
	drainGrace time.Duration // for which a server that was told to drain may be sent to
	requestLog *requestLog
	onReady    func() // told once: requests are served from now on
	callQueue  *callQueue
	events     chan func()
	stopped    chan struct{}

	balancer         *policy.Balancer
	now              time.Duration
	requests         map[policy.RequestID]*request
	servers          map[policy.ServerID]serverIncarnation
	lastRequestID    policy.RequestID
	recentIDs        recentIDs
	shutdownDeadline time.Duration // the node ends: answers are due by then; 0: not so far

	metrics  metrics
	timers   timerHeap
	deferred []func()
}

func newLoop(settings policy.Settings, seed uint64, clock clock, upstream *upstream, callQueue *callQueue) (*loop, error) {
	l := &loop{
		clock: clock, upstream: upstream, gate: newSendGate(), drainGrace: settings.Rules.DrainGrace, requestLog: newRequestLog(slog.New(slog.DiscardHandler)),
		onReady: func() {}, callQueue: callQueue,
		events: make(chan func(), 256), stopped: make(chan struct{}),
		recentIDs: newRecentIDs(settings.Classes),
		requests:  map[policy.RequestID]*request{}, servers: map[policy.ServerID]serverIncarnation{},
	}
	var err error
	if l.balancer, err = policy.New(settings, seed, l); err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	return l, nil
}

// run handles events until ctx ends. What is out then is given up.
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
			l.runEvent(heap.Pop(&l.timers).(timer).fire)
		}
		if len(l.timers) > 0 {
			wake.Reset(l.timers[0].at - l.advanceNow())
		}
	}
}

// tick moves the module's clock on; it never goes back.
func (l *loop) advanceNow() time.Duration {
	l.now = max(l.now, l.clock.now())
	return l.now
}

// step handles one event and then what the module's actions have queued.
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

// post hands an event to the loop; false once it has stopped.
func (l *loop) post(event func()) bool {
	select {
	case l.events <- event:
		return true
	case <-l.stopped:
		return false
	}
}

// await hands an event to the loop and waits until it and what it queued was handled, or the loop has stopped.
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

func (l *loop) scheduleAt(at time.Duration, fire func()) {
	heap.Push(&l.timers, timer{at, fire})
}

// ---- events

// members takes a list of servers or changes to it.
func (l *loop) applyListUpdate(update listUpdate) {
	switch update.kind {
	case policy.ListWhole, policy.ListCached:
		l.replaceServers(update)
	case policy.ListChanges:
		l.changeServers(update)
	}
	l.balancer.ListUpdatedFrom(l.now, update.origin, update.kind, update.entries)
}

// replaceServers takes a whole list.
func (l *loop) replaceServers(update listUpdate) {
	old := l.servers
	l.servers = make(map[policy.ServerID]serverIncarnation, len(update.entries))
	accepted := l.balancer.AcceptedEntries(l.now, update.origin, update.entries)
	for i, entry := range update.entries {
		if accepted[i] {
			l.setServer(entry, update.endpoints[i])
		} else if incarnation, listed := old[entry.Server]; listed && l.servers[entry.Server] == (serverIncarnation{}) {
			l.servers[entry.Server] = incarnation
		}
	}
	var unlistedAddrs []string
	var dropped []serverIncarnation
	for id, incarnation := range old {
		if l.servers[id] != incarnation {
			dropped = append(dropped, incarnation)
		}
		if _, isListed := l.servers[id]; !isListed {
			unlistedAddrs = append(unlistedAddrs, incarnation.addr)
		}
	}
	if len(unlistedAddrs) > 0 {
		l.requestLog.logger.Info("servers that the whole list does not name", "count", len(unlistedAddrs),
			"endpoints", unlistedAddrs[:min(len(unlistedAddrs), maxLoggedServers)])
	}
	l.dropIncarnations(dropped)
}

// changeServers takes changes to the list. It looks at no other server: there may be very
// many, and changes often come one by one.
func (l *loop) changeServers(update listUpdate) {
	var dropped []serverIncarnation
	accepted := l.balancer.AcceptedEntries(l.now, update.origin, update.entries)
	for i, entry := range update.entries {
		if !accepted[i] {
			continue
		}
		previous, listed := l.servers[entry.Server]
		l.setServer(entry, update.endpoints[i])
		if listed && l.servers[entry.Server] != previous {
			dropped = append(dropped, previous)
		}
	}
	l.dropIncarnations(dropped)
}

func (l *loop) setServer(entry policy.Entry, endpoint string) {
	if entry.State == policy.StateGone {
		delete(l.servers, entry.Server)
	} else {
		l.servers[entry.Server] = serverIncarnation{entry.Server, endpoint, entry.StartedAt}
	}
}

// drop closes the connections to servers that are gone, or that are no longer the process or at the address
// that they were, and takes back the attempts that wait for one; a late word on an old server does not touch
// a new one at its address.
func (l *loop) dropIncarnations(incarnations []serverIncarnation) {
	if len(incarnations) == 0 {
		return
	}
	dropped := make(map[serverIncarnation]bool, len(incarnations))
	for _, incarnation := range incarnations {
		dropped[incarnation] = true
		l.upstream.closeIdle(incarnation)
	}
	for _, r := range l.requests {
		for _, a := range r.attempts {
			if dropped[a.incarnation] {
				l.CancelUnsent(r.id, a.index)
			}
		}
	}
}

// submit takes a request in. The answer comes on answers, exactly once.
func (l *loop) submit(policyRequest policy.Request, outgoing *upstreamRequest, answers chan<- finalAnswer) *request {
	if !l.recentIDs.add(l.now, outgoing.header.Get("X-Correlation-Id")) {
		r := &request{answers: answers}
		l.answer(r, finalAnswer{kind: answerDuplicateID})
		return r
	}
	for l.lastRequestID++; l.requests[l.lastRequestID] != nil; l.lastRequestID++ { // ids wrap around in the end
	}
	if l.shutdownDeadline > 0 {
		outgoing.clientDeadline = min(outgoing.clientDeadline, l.shutdownDeadline)
	}
	timeLeft := max(0, outgoing.clientDeadline-l.now)
	policyRequest.ID, policyRequest.TimeLeft = l.lastRequestID, timeLeft-min(policyDeadlineMargin, timeLeft/2)
	r := &request{id: policyRequest.ID, outgoing: outgoing, answers: answers, deadline: l.now + policyRequest.TimeLeft}
	l.requests[r.id] = r
	l.requestLog.requestTaken(r, policyRequest)
	l.balancer.RequestArrived(l.now, policyRequest)
	if !r.answered {
		l.scheduleAt(r.deadline, func() { l.timeOutAttempts(r) })
		l.scheduleAt(outgoing.clientDeadline-min(answerDeadlineMargin, timeLeft/4), func() { l.enforceDeadline(r) })
	}
	return r
}

// expire gives up what is out at the client's deadline. The module hears of
// time-outs of a request still open and words the final answer itself.
func (l *loop) timeOutAttempts(r *request) {
	for _, a := range r.attempts {
		if !a.outcomeReported && !r.answered {
			l.abandon(a, policy.Timeout)
		}
	}
}

// endAt is told when the node ends: answers are due by then, also those of requests
// that were taken before and have more time left. A killed node answers nobody.
func (l *loop) setShutdownDeadline(deadline time.Duration) {
	l.shutdownDeadline = deadline
	for _, r := range l.requests {
		if !r.answered && r.deadline > deadline {
			l.scheduleAt(deadline, func() { l.enforceDeadline(r) })
		}
	}
}

// backstop guards the rule that each request is answered in its client's time,
// should the module not have done so by now.
func (l *loop) enforceDeadline(r *request) {
	if !r.answered {
		l.answer(r, finalAnswer{kind: answerTimedOut})
		l.balancer.ClientDisconnected(l.now, r.id)
		l.forgetIfDone(r)
	}
}

// left is told when the client went away.
func (l *loop) clientDisconnected(r *request) {
	if !r.answered {
		r.answered = true
		l.requestLog.clientDisconnected(r)
		l.balancer.ClientDisconnected(l.now, r.id)
		l.forgetIfDone(r)
	}
}

// finished takes what came of an attempt.
func (l *loop) roundTripFinished(a *attempt, result attemptResult, endedAt time.Duration) {
	if a.outcomeReported {
		return
	}
	switch {
	case result.status == policy.OK:
		l.answer(a.request, finalAnswer{kind: answerServed, result: result})
	case result.invalidRequest:
		// The request is at fault, and would be at any server: nothing to hold
		// against this one, and nothing to try again.
		l.answer(a.request, finalAnswer{kind: answerFailed, reason: "rejected by a server"})
		result.status = policy.Cancelled
	}
	l.reportOutcome(a, result.status, endedAt)
}

// abandon ends an attempt from this side. One that was not written yet can't
// have run, and never will: its goroutine finds the phase changed.
func (l *loop) abandon(a *attempt, status policy.Status) {
	if a.phase.CompareAndSwap(phaseUnsent, phaseAbandoned) {
		status = policy.NotSent
	}
	l.reportOutcome(a, status, l.now)
}

// cutOff takes back the attempts that are not written whole by then, unless another end was
// set since. One whose write is under way finds its connection broken and knows best whether
// the last byte went out before that.
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

// outcome tells the module of an attempt's end, once for each.
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

// checkDrain counts an attempt that began at a server later than the grace after it was told to be out of
// service: that must not happen.
func (l *loop) checkDrainGrace(a *attempt) {
	beganAt := time.Duration(a.beganAt.Load())
	since, isOut := l.balancer.OutOfService(a.serverID)
	if beganAt == 0 || !isOut || beganAt <= since+l.drainGrace {
		return
	}
	total := l.metrics.drainViolations.Add(1)
	l.requestLog.logger.Error("drain violation: an attempt began after the grace", "request", correlationID(a.request),
		"number", a.request.id, "attempt", a.index, "endpoint", l.servers[a.serverID].addr,
		"late", beganAt-since-l.drainGrace, "total", total)
}

// answer gives the client its final answer; only the first one counts.
func (l *loop) answer(r *request, a finalAnswer) {
	if !r.answered {
		r.answered = true
		l.requestLog.requestAnswered(r, a)
		r.answers <- a
	}
}

// settle forgets a request that is answered and has nothing out.
func (l *loop) forgetIfDone(r *request) {
	if r.answered {
		r.outgoing = nil // the heap may hold the request for a while
		if r.inFlight == 0 {
			delete(l.requests, r.id)
		}
	}
}

// ---- actions

// Send implements policy.Host.
func (l *loop) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	r := l.requests[id]
	if r == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	newAttempt := &attempt{clock: l.clock, gate: l.gate, request: r, index: len(r.attempts), serverID: server, sentAt: l.now, cancel: cancel}
	r.attempts = append(r.attempts, newAttempt)
	r.inFlight++
	incarnation, listed := l.servers[server]
	newAttempt.incarnation = incarnation
	if r.answered || !listed {
		newAttempt.phase.Store(phaseAbandoned)
		l.deferred = append(l.deferred, func() { l.reportOutcome(newAttempt, policy.NotSent, l.now) })
		return
	}
	l.requestLog.attemptSent(newAttempt, incarnation)
	timeLeft := r.deadline - l.now
	if timeout > 0 && timeout < timeLeft {
		timeLeft = timeout
		l.scheduleAt(l.now+timeout, func() {
			if !newAttempt.outcomeReported {
				l.abandon(newAttempt, policy.Timeout)
			}
		})
	}
	outgoing := r.outgoing
	go func() {
		result := l.upstream.roundTrip(ctx, incarnation, outgoing, timeLeft, newAttempt)
		endedAt := l.clock.now()
		l.post(func() { l.roundTripFinished(newAttempt, result, endedAt) })
	}()
}

// WriteBy implements policy.Host.
func (l *loop) SetWriteDeadline(id policy.RequestID, deadline time.Duration) {
	r := l.requests[id]
	if r == nil {
		return
	}
	if r.writeDeadline.Store(int64(deadline)); deadline > 0 {
		l.scheduleAt(deadline, func() { l.cancelUnwritten(r, deadline) })
	}
}

// Cancel implements policy.Host.
func (l *loop) Cancel(id policy.RequestID, index int) {
	l.deferForAttempt(id, index, func(a *attempt) { l.abandon(a, policy.Cancelled) })
}

// Withdraw implements policy.Host.
func (l *loop) CancelUnsent(id policy.RequestID, index int) {
	l.deferForAttempt(id, index, func(a *attempt) {
		if a.phase.CompareAndSwap(phaseUnsent, phaseAbandoned) {
			l.reportOutcome(a, policy.NotSent, l.now)
		}
	})
}

// later does something to an attempt after the present event, unless it is over by then.
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

// Ready implements policy.Host.
func (l *loop) MarkReady() { l.onReady() }

// CallList implements policy.Host.
func (l *loop) StartCall(call policy.Call) { l.callQueue.add(callCommand{call: call}) }

// EndCall implements policy.Host.
func (l *loop) CancelCall(id policy.CallID) {
	l.callQueue.add(callCommand{call: policy.Call{ID: id}, abandons: true})
}
