package policy

import (
	"slices"
	"time"
)

// Planning of calls to discovery. Calls are planned and begun in this file only; the host carries them out.
//
// The rules set a time by which a node has to know what discovery has, and say nothing about how long discovery
// takes. So no call is cancelled for being late: another call begins beside it, the first answer counts, and
// the calls that began before the answered one are cancelled. A new call begins as soon as the newest one has
// ended or is late, but no sooner than the intervals of call_intervals.go allow for the whole fleet.

const (
	// maxListAge is the time after which a node has to know a change that discovery has.
	maxListAge = 6 * time.Second
	// maxAddressChangeDelay is the time after a change of discovery's address by which a node has to know the
	// list of the new address.
	maxAddressChangeDelay = 4 * time.Second
	// callReserve is the part of the time up to a deadline that is left for the call itself.
	callReserve = time.Second

	// timerSlack is the time by which a timer may fire early, as the host may round the times of its timers.
	timerSlack = time.Millisecond

	// A restarted node serves requests by its cached list once discovery has reported what changed, and refuses
	// requests until then. It reports that it is ready for clients after minReadyDelay to maxReadyDelay even
	// without an answer: nine in ten restarted nodes have to be ready within 10 s, or 6 s if the run ends sooner.
	minReadyDelay = 5 * time.Second
	maxReadyDelay = 8500 * time.Millisecond

	// maxConfirmationWait is the time after which a node that gets its list on request serves without an answer:
	// each node has to be ready within 30 s. A node with an agent has to know the agent's list from its start
	// on, so no such time applies to it.
	maxConfirmationWait = 28 * time.Second
)

// callState holds the state of a node's calls to discovery.
type callState struct {
	inFlight   []inFlightCall // oldest first; with a subscription only the latest call
	lastID     CallID
	lastCallAt time.Duration // start of the newest call

	hasNext    bool          // a call is planned
	nextAt     time.Duration // earliest start of the planned call; timers that fire before it are ignored
	nextReason CallReason    // reason of the planned call

	watching           bool          // the newest call continues a watch
	watchStable        bool          // a watch was answered, and only calls with unusable answers failed since
	lateBeyondQueueing bool          // a call is later than queueing at a busy discovery can explain
	callsSinceAnswer   int           // calls begun since the last answer, except those that continue a watch
	lastUnusable       bool          // the last failed call had an unusable answer
	refusedRetries     int           // consecutive calls that were refused at once and retried soon
	burstCallsLeft     int           // calls left in the current burst
	burstsSinceAnswer  int           // bursts since the last answer
	answeredInBurst    bool          // the last failures ended with an answer during a burst
	failureFreeSince   time.Duration // time since which no call has failed
	flakyUntil         time.Duration // time until which calls count as failing at random
	answerDelay        time.Duration // delay of the latest answer
	answeredAt         time.Duration // time of the last whole answer; 0: none yet
	listDeadline       time.Duration // time from which the list is overdue; 0: no answer yet
	overdueReported    bool          // the observer was notified that the list is overdue
	failingSince       time.Duration // start of the present series of failed calls
}

// planFirstCall plans the first call of a node that has started, and limits how long the node waits for discovery
// to confirm its cached list.
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

// callsDiscovery reports whether the node has to call discovery for its list.
func (b *Balancer) callsDiscovery() bool { return b.settings.ListOnRequest || b.settings.LongPolling }

// planCall plans the next call, in place of the one that was planned before.
func (b *Balancer) planCall(at time.Duration, reason CallReason) {
	b.calls.hasNext, b.calls.nextAt, b.calls.nextReason = true, at, reason
	b.host.SetTimer(at, tokenCall)
	b.reportCallPlanned()
}

// callIfDue begins the planned call if it is due. A call beside a late one is delayed while an answer arrives.
func (b *Balancer) callIfDue(now time.Duration) {
	switch {
	case !b.calls.hasNext || now+timerSlack < b.calls.nextAt:
	case b.calls.nextReason == CallReasonLate && b.isAnswerArriving(now):
		b.planCall(now+maxLateThreshold, CallReasonLate)
	default:
		b.beginCall(now, b.calls.nextReason)
	}
}

// beginCall begins a call and, with LongPolling, plans the next one for the time at which this one is late.
func (b *Balancer) beginCall(now time.Duration, reason CallReason) {
	c := &b.calls
	c.lateBeyondQueueing = c.lateBeyondQueueing ||
		reason == CallReasonLate && !c.watching && (!c.watchStable || now-c.answeredAt >= maxLateThreshold)
	c.hasNext, c.lastCallAt = false, now
	c.lastID++
	call := Call{ID: c.lastID, Reason: reason, WaitForChanges: b.waitForChanges(reason), ListDeadline: c.listDeadline}
	if c.watching = reason == CallReasonNext; !c.watching {
		c.countCall()
	}
	if !b.settings.LongPolling {
		c.inFlight = c.inFlight[:0] // a new subscription replaces the old one
	}
	if c.inFlight = append(c.inFlight, inFlightCall{
		id: call.ID, waitForChanges: call.WaitForChanges, beganAt: now}); len(c.inFlight) > maxCallsInFlight {
		b.cancelDensestCall(now)
	}
	b.host.StartCall(call)
	if b.settings.LongPolling {
		b.planCall(b.lateAt(now, call.WaitForChanges), CallReasonLate)
	}
}

// countCall counts a call that does not continue a watch. The calls of a burst count as one.
func (c *callState) countCall() {
	if c.burstCallsLeft == 0 || c.callsSinceAnswer == 0 {
		c.callsSinceAnswer++
	}
	c.burstCallsLeft = max(0, c.burstCallsLeft-1)
}

// CallEnded reports to the Balancer, with LongPolling, that a call has ended. Before that the host reports the
// list that the call brought by ListUpdatedFrom. The ends of calls that the Balancer has cancelled are ignored.
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

// callAnswered records a whole answer from discovery and continues with a watch.
func (b *Balancer) callAnswered(now time.Duration, call inFlightCall, isNewest, changed bool) {
	c := &b.calls
	if b.settings.LongPolling || !c.watching {
		c.answerDelay = answerDelay(now, call, changed, c.answerDelay)
	}
	if c.callsSinceAnswer > 0 {
		c.failureFreeSince, c.answeredInBurst = call.beganAt, c.burstCallsLeft > 0
	}
	if c.answeredInBurst && b.backlogCleared(now) {
		c.answeredInBurst, c.flakyUntil = false, now+flakyDuration
	}
	c.callsSinceAnswer, c.burstCallsLeft, c.burstsSinceAnswer, c.refusedRetries, c.lateBeyondQueueing =
		0, 0, 0, 0, false
	c.answeredAt, c.watchStable = now, c.watchStable || isNewest && c.watching
	b.setListDeadline(now, max(c.listDeadline, now-c.answerDelay+maxListAge))
	switch {
	case !b.settings.LongPolling:
		c.hasNext, c.watching = false, true
	case isNewest && !changed && now-call.beganAt < call.waitForChanges/2:
		// Discovery does not wait for changes for as long as the call asked it to.
		b.planCall(max(now, c.lastCallAt+burstInterval), CallReasonNext)
	case isNewest:
		b.beginCall(now, CallReasonNext)
	case !c.watching && b.overlapsCalls():
		b.planCall(max(now, c.lastCallAt+b.overlapInterval()), CallReasonNext)
	}
}

// setListDeadline sets the list deadline: the time from which the node has to know changes that it has not received.
// After an answer that is maxListAge after the time as of which the node knows the list, which is earlier than
// the answer by its delay.
func (b *Balancer) setListDeadline(now, deadline time.Duration) {
	b.calls.listDeadline = deadline
	b.calls.overdueReported = b.calls.overdueReported && deadline <= now
	if b.settings.ListOnRequest && b.settings.LongPolling {
		b.host.SetTimer(deadline+timerSlack, tokenListDeadline)
	}
}

// checkListDeadline reports to the observer, once, that the list is overdue.
func (b *Balancer) checkListDeadline(now time.Duration) {
	if now >= b.calls.listDeadline && !b.calls.overdueReported {
		b.calls.overdueReported = true
		b.reportListOverdue()
	}
}

// answerDelay returns the time that an answer took beyond its wait for changes. An answer with changes may have
// come before the end of the wait, so the previous delay counts for it, within the time that the answer took.
func answerDelay(now time.Duration, call inFlightCall, changed bool, previous time.Duration) time.Duration {
	took := now - call.beganAt
	minDelay := max(0, took-call.waitForChanges)
	if changed { // discovery may have answered before the end of the wait
		return min(max(previous, minDelay), took)
	}
	return minDelay
}

// callFailed plans the next call after a call that failed or a watch that broke.
func (b *Balancer) callFailed(now time.Duration, call inFlightCall, isNewest bool, end CallEnd) {
	c := &b.calls
	switch {
	case !b.callsDiscovery() || !isNewest && c.hasNext && now < c.nextAt:
		return // the node does not call discovery, or a newer call is in flight
	case c.callsSinceAnswer == 0:
		c.failingSince = now
	}
	c.lastUnusable = end.Result == CallUnusable
	c.lateBeyondQueueing = c.lastUnusable && now-call.beganAt >= maxQueueingDelay
	c.watchStable = c.watchStable && c.lastUnusable
	if b.mayBurst(now, end.Result) {
		c.burstCallsLeft, c.burstsSinceAnswer = callsPerBurst, c.burstsSinceAnswer+1
	}
	if c.watching = false; c.callsSinceAnswer == 0 && c.burstCallsLeft == 0 {
		b.planCall(b.advanceBeforeDeadline(now, now+b.randomUpTo(b.brokenWatchSpread())), CallReasonRetry)
		return
	}
	mayHaveQueued := c.callsSinceAnswer > 0 && end.Result != CallUnusable && now-call.beganAt >= minQueuedFailure
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

// subscriptionSilent plans the next call after a subscription that has fallen silent.
func (b *Balancer) subscriptionSilent(now time.Duration) {
	b.calls.watching, b.calls.failingSince = false, now
	b.planCall(
		b.advanceBeforeDeadline(now, now+b.randomUpTo(min(b.brokenWatchSpread(), maxLateSpread))), CallReasonLate)
}

// addressChanged cancels the calls to the old address and plans the first one to the new address.
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

// backlogCleared reports whether no call has failed for so long that discovery must have worked through its queue
// of calls.
func (b *Balancer) backlogCleared(now time.Duration) bool {
	return now-b.calls.failureFreeSince >= maxLateThreshold
}

// mayBurst reports whether a burst of calls may follow a failed call.
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

// mayRetryRefused reports whether a call that was refused at once is retried soon: discovery may have as many
// callers as it accepts at the moment, and it works through them. This holds for at most maxRefusedRetries calls
// in a row, as a discovery that is down may refuse at once too.
func (b *Balancer) mayRetryRefused(now time.Duration, call inFlightCall, result CallResult) bool {
	c := &b.calls
	if result != CallRefused || !b.settings.ListOnRequest ||
		now-call.beganAt >= minQueuedFailure || c.refusedRetries >= maxRefusedRetries {
		c.refusedRetries = 0
		return false
	}
	c.refusedRetries++
	return true
}

// refusedWithoutOverload reports whether a call was refused though discovery can't be too busy for it: the call
// only continued a watch after a long time without failures, or calls are known to fail at random.
func (b *Balancer) refusedWithoutOverload(now time.Duration, result CallResult) bool {
	return result == CallRefused && b.settings.ListOnRequest && (b.backlogCleared(now) || now < b.calls.flakyUntil)
}

// advanceBeforeDeadline moves a call that would come after the list deadline to a random time before it: many
// nodes may have had their last answer at the same moment.
func (b *Balancer) advanceBeforeDeadline(now, callAt time.Duration) time.Duration {
	if latestAt := b.calls.listDeadline - callReserve; callAt > latestAt && latestAt > now {
		return latestAt - b.randomUpTo((latestAt-now)/2)
	}
	return callAt
}

// reportReady reports to the host, once, that the node is ready for clients.
func (b *Balancer) reportReady() {
	if !b.readyReported {
		b.readyReported = true
		b.host.MarkReady()
	}
}

// startServing makes the node serve requests from now on, and reports that it is ready.
func (b *Balancer) startServing() {
	b.serving = true
	b.reportReady()
}
