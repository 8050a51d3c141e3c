package policy

import (
	"slices"
	"time"
)

// When discovery is called for the list. This is the one place that plans calls, begins them and gives
// them up; the host carries them out.
//
// The rules say by when a node has to know what discovery has, and nothing of how long discovery takes. So
// no call is given up for being late: another one begins beside it, the first answer counts, and what was
// asked before the answered call is dropped. A new call begins as soon as the newest one has ended or is
// late, and no sooner than callpace.go allows for the whole fleet.

const (
	maxListAge            = 6 * time.Second // a change counts as told so long after discovery had it,
	maxAddressChangeDelay = 4 * time.Second // and what another address has so long after the reload
	callReserve           = time.Second     // of that is left for the call itself

	timerSlack = time.Millisecond // a host may count its timers in coarser units

	// A node that started serves from the list that it had before once discovery has told it what
	// changed. Until then it refuses requests. It is ready for clients after readyLeast to readyMost all
	// the same: nine in ten have to be within 10 s, and on short days 6 s.
	minReadyDelay = 5 * time.Second
	maxReadyDelay = 8500 * time.Millisecond

	// serveUnconfirmed is when a node that has to ask serves without an answer: each node has to be
	// ready within 30 s. An agent's list counts as told from the start on, so there is no such time.
	maxConfirmationWait = 28 * time.Second
)

// calls is where a node stands with its calls to discovery.
type callState struct {
	inFlight   []inFlightCall // oldest first; of a subscription the one that is asked for or lasts
	lastID     CallID
	lastCallAt time.Duration // when the newest one began

	hasNext    bool          // a call is to be made
	nextAt     time.Duration // no sooner than this; timers set before are void
	nextReason CallReason    // of it

	watching           bool          // the newest one goes on with a watch
	watchStable        bool          // a watch was answered, and no call has failed since
	lateBeyondQueueing bool          // a call is later than a busy discovery would let it wait
	callsSinceAnswer   int           // calls begun since the last answer that do not
	lastUnusable       bool          // the last one that came to nothing brought an answer that can't be taken
	refusedRetries     int           // calls in a row that were refused at once, and made again soon
	burstCallsLeft     int           // calls that may still follow soon
	burstsSinceAnswer  int           // of them since the last answer
	answeredInBurst    bool          // the last failures ended in a burst
	failureFreeSince   time.Duration // no call has failed since then
	flakyUntil         time.Duration // calls were seen to fail at random; up to then
	answerDelay        time.Duration // how late the latest answer was
	answeredAt         time.Duration // when discovery last told all that it had; 0: not yet
	listDeadline       time.Duration // what was not heard counts as told from then on; 0: nothing does
	overdueReported    bool          // the observer was told that it is past
	failingSince       time.Duration // when calls began to come to nothing
}

// callFirst has the first call of a node made that has started, and bounds how long its list waits to
// be confirmed.
func (b *Balancer) planFirstCall(now time.Duration, knowsServers bool) {
	b.calls = callState{failingSince: now}
	spread := b.firstCallSpread(knowsServers)
	if b.settings.ConfirmCachedList {
		b.host.SetTimer(now+min(max(b.fleetCallTime(), spread+callReserve, minReadyDelay), maxReadyDelay), tokenReady)
		if b.settings.ListOnRequest {
			b.host.SetTimer(now+maxConfirmationWait, tokenServeUnconfirmed)
		}
	}
	if b.callsDiscovery() {
		b.planCall(now+b.randomUpTo(spread), CallReasonStart)
	}
}

// callsList tells whether the list has to be called for.
func (b *Balancer) callsDiscovery() bool { return b.settings.ListOnRequest || b.settings.LongPolling }

// callAt plans the next call in place of the one that was planned.
func (b *Balancer) planCall(at time.Duration, reason CallReason) {
	b.calls.hasNext, b.calls.nextAt, b.calls.nextReason = true, at, reason
	b.host.SetTimer(at, tokenCall)
	b.reportCallPlanned()
}

// call begins the call that is planned if it is due.
func (b *Balancer) callIfDue(now time.Duration) {
	switch {
	case !b.calls.hasNext || now+timerSlack < b.calls.nextAt:
	case b.calls.nextReason == CallReasonLate && b.isAnswerArriving(now):
		b.planCall(now+maxLateThreshold, CallReasonLate)
	default:
		b.beginCall(now, b.calls.nextReason)
	}
}

// begin begins a call, and plans the next one for when this one is late.
func (b *Balancer) beginCall(now time.Duration, reason CallReason) {
	c := &b.calls
	c.lateBeyondQueueing = c.lateBeyondQueueing || reason == CallReasonLate && !c.watching && (!c.watchStable || now-c.answeredAt >= maxLateThreshold)
	c.hasNext, c.lastCallAt = false, now
	c.lastID++
	call := Call{ID: c.lastID, Reason: reason, WaitForChanges: b.waitForChanges(reason), ListDeadline: c.listDeadline}
	if c.watching = reason == CallReasonNext; !c.watching {
		c.countCall()
	}
	if !b.settings.LongPolling {
		c.inFlight = c.inFlight[:0] // a subscription is asked for anew
	}
	if c.inFlight = append(c.inFlight, inFlightCall{id: call.ID, wait: call.WaitForChanges, began: now}); len(c.inFlight) > maxCallsInFlight {
		b.cancelDensestCall(now)
	}
	b.host.StartCall(call)
	if b.settings.LongPolling {
		b.planCall(b.lateAt(now, call.WaitForChanges), CallReasonLate)
	}
}

// count counts a call that does not go on with a watch; those of a burst count as one.
func (c *callState) countCall() {
	if c.burstCallsLeft == 0 || c.callsSinceAnswer == 0 {
		c.callsSinceAnswer++
	}
	c.burstCallsLeft = max(0, c.burstCallsLeft-1)
}

// CallEnded is told of the end of a call (with LongPoll), behind the Members event of the list that it
// brought. One that the module has ended itself is of no interest any more.
func (b *Balancer) CallEnded(now time.Duration, end CallEnd) {
	inFlight := b.calls.inFlight
	i := slices.IndexFunc(inFlight, func(c inFlightCall) bool { return c.id == end.ID })
	if i < 0 {
		return
	}
	call, isNewest := inFlight[i], i == len(inFlight)-1
	if end.Result != CallAnswered {
		b.calls.inFlight = slices.Delete(inFlight, i, i+1)
		b.callFailed(now, call, isNewest, end)
		return
	}
	for _, older := range inFlight[:i] {
		b.host.CancelCall(older.id)
	}
	b.calls.inFlight = slices.Delete(inFlight, 0, i+1)
	b.callAnswered(now, call, isNewest, end.Changed)
}

// callAnswered notes that discovery has told all that it has, and goes on with the watch.
func (b *Balancer) callAnswered(now time.Duration, call inFlightCall, isNewest, changed bool) {
	c := &b.calls
	if b.settings.LongPolling || !c.watching {
		c.answerDelay = answerDelay(now, call, changed, c.answerDelay)
	}
	if c.callsSinceAnswer > 0 {
		c.failureFreeSince, c.answeredInBurst = call.began, c.burstCallsLeft > 0
	}
	if c.answeredInBurst && b.backlogCleared(now) {
		c.answeredInBurst, c.flakyUntil = false, now+flakyDuration
	}
	c.callsSinceAnswer, c.burstCallsLeft, c.burstsSinceAnswer, c.refusedRetries, c.lateBeyondQueueing = 0, 0, 0, 0, false
	c.answeredAt, c.watchStable = now, c.watchStable || isNewest && c.watching
	b.setListDeadline(now, max(c.listDeadline, now-c.answerDelay+maxListAge))
	switch {
	case !b.settings.LongPolling:
		c.hasNext, c.watching = false, true
	case isNewest && !changed && now-call.began < call.wait/2:
		b.planCall(max(now, c.lastCallAt+burstInterval), CallReasonNext) // it does not wait as long as it is asked to
	case isNewest:
		b.beginCall(now, CallReasonNext)
	case !c.watching && b.overlapsCalls():
		b.planCall(max(now, c.lastCallAt+b.overlapInterval()), CallReasonNext)
	}
}

// dueBy notes from when on what the node has not heard counts as told: toldAfter after the instant as of which it
// knows the list, which is earlier than that of an answer by as much as that was late.
func (b *Balancer) setListDeadline(now, deadline time.Duration) {
	b.calls.listDeadline = deadline
	b.calls.overdueReported = b.calls.overdueReported && deadline <= now
	if b.settings.ListOnRequest && b.settings.LongPolling {
		b.host.SetTimer(deadline+timerSlack, tokenListDeadline)
	}
}

// checkDue tells the observer once where the list is due.
func (b *Balancer) checkListDeadline(now time.Duration) {
	if now >= b.calls.listDeadline && !b.calls.overdueReported {
		b.calls.overdueReported = true
		b.reportListOverdue()
	}
}

// answeredLate is how late an answer was, given how late the one before was.
func answerDelay(now time.Duration, call inFlightCall, changed bool, previous time.Duration) time.Duration {
	took := now - call.began
	minDelay := max(0, took-call.wait)
	if changed { // it need not have waited
		return min(max(previous, minDelay), took)
	}
	return minDelay
}

// callFailed has the next call made after one that came to nothing, or after a watch that broke.
func (b *Balancer) callFailed(now time.Duration, call inFlightCall, isNewest bool, end CallEnd) {
	c := &b.calls
	switch {
	case !b.callsDiscovery() || !isNewest && c.hasNext && now < c.nextAt:
		return // a newer one is out
	case c.callsSinceAnswer == 0:
		c.failingSince = now
	}
	c.lastUnusable = end.Result == CallUnusable
	c.lateBeyondQueueing = c.lastUnusable && now-call.began >= maxQueueingDelay
	c.watchStable = c.watchStable && c.lastUnusable
	if b.mayBurst(now, end.Result) {
		c.burstCallsLeft, c.burstsSinceAnswer = callsPerBurst, c.burstsSinceAnswer+1
	}
	if c.watching = false; c.callsSinceAnswer == 0 && c.burstCallsLeft == 0 {
		b.planCall(b.advanceBeforeDeadline(now, now+b.randomUpTo(b.brokenWatchSpread())), CallReasonRetry)
		return
	}
	mayHaveQueued := c.callsSinceAnswer > 0 && end.Result != CallUnusable && now-call.began >= minQueuedFailure
	nextAt := max(c.lastCallAt+b.retryInterval(now, mayHaveQueued), now+b.retryJitter())
	if b.mayRetryRefused(now, call, end.Result) {
		nextAt = min(nextAt, now+b.randomlyShortened(max(refusedRetryPause, b.callSpread())))
	}
	nextAt = b.advanceBeforeDeadline(now, nextAt)
	if end.Result == CallUnusable {
		nextAt = max(nextAt, now+unusablePause(end.UnusableBytes))
	}
	b.planCall(nextAt, CallReasonRetry)
}

// watchSilent has the next call made after a subscription that has fallen silent.
func (b *Balancer) subscriptionSilent(now time.Duration) {
	b.calls.watching, b.calls.failingSince = false, now
	b.planCall(b.advanceBeforeDeadline(now, now+b.randomUpTo(min(b.brokenWatchSpread(), maxLateSpread))), CallReasonLate)
}

// discoveryMoved drops the calls to the old address and has the first one to another address made.
func (b *Balancer) addressChanged(now time.Duration) {
	for _, call := range b.calls.inFlight {
		b.host.CancelCall(call.id)
	}
	deadline := now + maxAddressChangeDelay
	if b.calls.listDeadline > 0 {
		deadline = min(deadline, b.calls.listDeadline)
	}
	b.calls = callState{
		lastID: b.calls.lastID, lastCallAt: b.calls.lastCallAt, failingSince: now, answerDelay: b.calls.answerDelay,
	}
	b.setListDeadline(now, deadline)
	b.planCall(now+b.randomUpTo(min(b.callSpread(), maxAddressChangeSpread)), CallReasonAddressChanged)
}

// holds tells whether the watch has held for so long that discovery has worked through what waited.
func (b *Balancer) backlogCleared(now time.Duration) bool {
	return now-b.calls.failureFreeSince >= maxLateThreshold
}

// mayBurst tells whether some calls may follow soon after one that came to nothing.
func (b *Balancer) mayBurst(now time.Duration, result CallResult) bool {
	c := &b.calls
	switch {
	case c.burstCallsLeft > 0:
		return false
	case result == CallUnusable: // discovery was not too busy to answer
		return c.burstsSinceAnswer < maxBursts
	}
	return c.callsSinceAnswer == 0 && b.refusedWithoutOverload(now, result)
}

// mayCallSoon tells whether a call that was refused at once is made again soon: discovery may have as many
// callers as it takes for the moment, and works through them. It is so a few times in a row, as a discovery that
// is down may refuse at once too.
func (b *Balancer) mayRetryRefused(now time.Duration, call inFlightCall, result CallResult) bool {
	c := &b.calls
	if result != CallRefused || !b.settings.ListOnRequest || now-call.began >= minQueuedFailure || c.refusedRetries >= maxRefusedRetries {
		c.refusedRetries = 0
		return false
	}
	c.refusedRetries++
	return true
}

// notBusy tells whether a call was refused though discovery can't be too busy for it: it was only to go on
// with a watch that holds, or calls were seen to fail at random.
func (b *Balancer) refusedWithoutOverload(now time.Duration, result CallResult) bool {
	return result == CallRefused && b.settings.ListOnRequest && (b.backlogCleared(now) || now < b.calls.flakyUntil)
}

// inTime brings a call forward that would come after the list is due, to a random time: many nodes
// may have had their last answer at the same moment.
func (b *Balancer) advanceBeforeDeadline(now, callAt time.Duration) time.Duration {
	if latestAt := b.calls.listDeadline - callReserve; callAt > latestAt && latestAt > now {
		return latestAt - b.randomUpTo((latestAt-now)/2)
	}
	return callAt
}

// ready tells the host that clients may come.
func (b *Balancer) reportReady() {
	if !b.readyReported {
		b.readyReported = true
		b.host.MarkReady()
	}
}

// serve has requests served from now on.
func (b *Balancer) startServing() {
	b.serving = true
	b.reportReady()
}
