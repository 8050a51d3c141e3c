package policy

import "time"

// How often discovery is called.
//
// A node may not know less than what discovery had toldAfter ago, so while its list is not confirmed calls
// follow each other at the period of its fleet, whatever became of the one before: discovery may answer late,
// or be there for a moment only. Where one service answers all nodes a call costs it time, also one that it
// refuses, so the period grows with the fleet, and calls that it may be too busy for come further apart. Where
// it can't be busy, as it has just answered the same node or refuses to go on with a watch, some calls follow
// soon. An agent on the node's own machine is called as often as the grace of drains needs.

const (
	// callTime is what a call from a known version takes discovery, with some room: 300 nodes were
	// measured at 10.4 ms. callWhole is the same of a call for the whole list.
	changesCallCost   = 12 * time.Millisecond
	wholeListCallCost = 125 * time.Millisecond

	// The period of calls that come to nothing is paceNode for each node of the fleet, within bounds: discovery
	// is heard if it is there for a second, and two calls are less than toldAfter apart.
	callPeriodPerNode = 25 * time.Millisecond
	minCallPeriod     = 600 * time.Millisecond
	maxCallPeriod     = 5 * time.Second

	firstBackoff        = 500 * time.Millisecond // between the first calls that come to nothing; doubled up to the period
	maxBackoffDoublings = 4                      // so often at most
	retryJitterShare    = 0.1                    // of the period: by up to this, within bounds, calls behind a failure come
	maxRetryJitter      = 500 * time.Millisecond // at random times
	jitterDivisor       = 8                      // of each, up to this part is left out by chance

	simultaneousShare      = 0.7 // the part of a fleet that starts or fails together
	maxCallSpread          = 6500 * time.Millisecond
	maxAddressChangeSpread = time.Second // calls to another address are spread over this at most,
	maxLateSpread          = time.Second // and those after a silent watch, which was found out late

	// A call that took so long to fail may have waited behind others, and where calls have come to
	// nothing for so long they may be what keeps discovery busy.
	minQueuedFailure       = 500 * time.Millisecond
	overloadSuspectedAfter = time.Minute
	maxOverloadInterval    = 20 * time.Second // between calls that fail, then: twice what its fleet's calls take it

	// A call that was refused at once is made again after this or, in a large fleet, the time that its
	// calls take, at most so often in a row.
	refusedRetryPause = 1000 * time.Millisecond
	maxRefusedRetries = 2

	// burstTries calls follow burstPace apart where a failure can't come from too many of them. One that
	// succeeds tells that failures come at random, for flakyFor.
	callsPerBurst = 10
	maxBursts     = 3 // in a row: then the list is due, and more of them would only keep discovery busy
	burstInterval = 200 * time.Millisecond
	flakyDuration = 30 * time.Second

	// A watch lasts watchPart of the period, within bounds, and up to watchSpread of that more: all watches
	// answer a change at the same moment, and those that then fall silent together must not be found out
	// together. It is late latePart of the period after that.
	watchShare       = 0.8
	minWatch         = 480 * time.Millisecond
	maxWatch         = 1500 * time.Millisecond
	watchSpreadShare = 2. / 3
	lateMarginShare  = 0.2
	minLateMargin    = 150 * time.Millisecond
	maxLateMargin    = 500 * time.Millisecond

	// Any other call is late after lateCall, and the first watch of all too: a busy discovery works through calls in
	// turn, and has answered or refused one by then. A call beside it would cost both their turn. As long as watches
	// hold and none has failed it is lateCallNode for each node of the fleet, within bounds.
	maxLateThreshold     = 2500 * time.Millisecond
	minLateThreshold     = 950 * time.Millisecond
	lateThresholdPerNode = 150 * time.Millisecond
	// lateAnswer is how late an answer is, whatever became of it, that no queue can have kept.
	maxQueueingDelay = 1200 * time.Millisecond

	// slowAfter is how late answers are from which on calls follow each other without waiting for them,
	// so soon that a change is told in time by an answer as late, with slowRoom to spare. Less late ones
	// need no call beside them: two in a row are in time.
	overlapFromDelay   = 2750 * time.Millisecond
	overlapReserve     = 300 * time.Millisecond
	maxOverlapInterval = 1500 * time.Millisecond // between two such calls, and no more than the period

	// A watch of an agent and a call beside it fit into the grace of drains. The first calls after a
	// failure come sooner still: the agent is on this machine and refuses at no cost.
	agentPeriodDivisor = 3
	minAgentCallPeriod = 50 * time.Millisecond
	maxAgentCallPeriod = 400 * time.Millisecond
	quickAgentCalls    = 8

	// An answer that can't be taken costs as much as a good one: the longer it is, the later the next call.
	unusableBytesPerSecond = 256 << 10 // bytes a second
	minUnusablePause       = 20 * time.Millisecond
	maxUnusablePause       = 3200 * time.Millisecond
)

// upTo gives a random part of a span.
func (b *Balancer) randomUpTo(span time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(span))
}

// below gives a random time up to a span, and not far below it: nodes that were spread over a span stay so
// where each calls once in as long.
func (b *Balancer) randomlyShortened(span time.Duration) time.Duration {
	return span - b.randomUpTo(span/jitterDivisor)
}

// fleetSpan is the time that discovery takes for a call of each node.
func (b *Balancer) fleetCallTime() time.Duration {
	return time.Duration(b.settings.NodeCount) * changesCallCost
}

// callSpan is the time that discovery takes for the calls of those nodes that start or fail together.
func (b *Balancer) callSpread() time.Duration {
	if !b.settings.ListOnRequest {
		return 0 // each has an agent of its own
	}
	return min(time.Duration(simultaneousShare*float64(b.fleetCallTime())), maxCallSpread, b.maxCallDelay())
}

// mustCall is how long a node may take to call whatever else holds: it counts as told MustAsk after its
// last call or the end of its watch. An eighth of that is left for the call itself.
func (b *Balancer) maxCallDelay() time.Duration { return b.settings.Rules.MaxCallInterval * 7 / 8 }

// firstSpan is the time over which the first calls of nodes that start together are spread. What a call
// takes is not known then. Where a start has time for calls as dear as those for the whole list, which the
// answer to an old version may be, it is given; a larger fleet rests on what was measured.
func (b *Balancer) firstCallSpread(knowsServers bool) time.Duration {
	wholeListSpread := time.Duration(simultaneousShare * float64(b.fleetWholeListTime()))
	switch {
	case !b.settings.ListOnRequest:
		return 0 // each has an agent of its own
	case !knowsServers:
		return min(b.fleetWholeListTime(), b.maxCallDelay(), maxCallPeriod)
	case wholeListSpread <= min(maxReadyDelay-callReserve, b.maxCallDelay()):
		return wholeListSpread
	}
	return b.callSpread()
}

// brokenSpan is the time over which calls are spread after watches that broke, maybe those of all nodes.
func (b *Balancer) brokenWatchSpread() time.Duration {
	if !b.settings.ListOnRequest {
		return b.agentCallPeriod()
	}
	return max(b.callSpread(), firstBackoff)
}

// agentPace is the time between two calls to an agent.
func (b *Balancer) agentCallPeriod() time.Duration {
	return min(max(b.settings.Rules.DrainGrace/agentPeriodDivisor, minAgentCallPeriod), maxAgentCallPeriod)
}

// pace is the time between the newest call, which came to nothing, and the next one. crowded: it may have
// waited behind others.
func (b *Balancer) retryInterval(now time.Duration, mayHaveQueued bool) time.Duration {
	c := &b.calls
	interval := b.backoffInterval()
	if !b.settings.ListOnRequest {
		return interval
	}
	if mayHaveQueued {
		interval = max(interval, min(b.fleetWholeListTime(), maxCallPeriod))
		c.callsSinceAnswer = max(c.callsSinceAnswer, maxBackoffDoublings)
		if b.fleetWholeListTime() > maxCallPeriod && now-c.failingSince > overloadSuspectedAfter {
			interval = max(interval, min(2*b.fleetWholeListTime(), maxOverloadInterval))
		}
	}
	return b.randomlyShortened(interval)
}

// grown is the time between calls by the number of those that came to nothing.
func (b *Balancer) backoffInterval() time.Duration {
	calls := b.calls.callsSinceAnswer
	switch {
	case !b.settings.ListOnRequest && calls <= quickAgentCalls:
		return b.agentCallPeriod() / agentPeriodDivisor
	case !b.settings.ListOnRequest:
		return b.agentCallPeriod()
	case b.calls.burstCallsLeft > 0:
		return burstInterval
	}
	maxInterval := b.callPeriod()
	if b.calls.lastUnusable && b.calls.burstsSinceAnswer >= maxBursts {
		maxInterval = maxCallPeriod
	}
	return min(firstBackoff<<min(max(0, calls-1), maxBackoffDoublings), maxInterval)
}

// period is the time between two calls of a node whose list is not confirmed. A subscription tells what was
// missed as it is asked for anew, and each time costs discovery a whole answer.
func (b *Balancer) callPeriod() time.Duration {
	if !b.settings.LongPolling {
		return maxCallPeriod
	}
	return min(max(time.Duration(b.settings.NodeCount)*callPeriodPerNode, minCallPeriod), maxCallPeriod)
}

// partOfPeriod gives a multiple of the period within bounds.
func (b *Balancer) shareOfCallPeriod(share float64, lower, upper time.Duration) time.Duration {
	return min(max(time.Duration(share*float64(b.callPeriod())), lower), upper)
}

// retryDelay is a random time behind the end of a call that came to nothing.
func (b *Balancer) retryJitter() time.Duration {
	maxJitter := maxRetryJitter
	if b.settings.LongPolling {
		maxJitter = b.shareOfCallPeriod(retryJitterShare, 0, maxRetryJitter)
	}
	return b.randomUpTo(min(b.backoffInterval(), maxJitter))
}

// lateCall is how long a call that need not wait for changes is out until it is late.
func (b *Balancer) lateThreshold() time.Duration {
	if !b.calls.watchStable {
		return maxLateThreshold
	}
	return min(max(time.Duration(b.settings.NodeCount)*lateThresholdPerNode, minLateThreshold), maxLateThreshold)
}

// lateMargin is how much later than asked for a watch may be answered.
func (b *Balancer) lateMargin() time.Duration {
	return b.shareOfCallPeriod(lateMarginShare, minLateMargin, maxLateMargin)
}

// wholeSpan is the time that discovery takes for a whole list, or the dearest call, of each node.
func (b *Balancer) fleetWholeListTime() time.Duration {
	return time.Duration(b.settings.NodeCount) * wholeListCallCost
}

// unusablePause is the rest after an answer of some bytes that could not be taken.
func unusablePause(bytes int64) time.Duration {
	pause := time.Duration(float64(bytes) / unusableBytesPerSecond * float64(time.Second))
	return min(max(pause, minUnusablePause), maxUnusablePause)
}

// waitForChanges is how long a call asks discovery to wait for changes: not where the list has to be
// confirmed or is not known. A call after a failure waits so long that one that was not worked through
// fails before, as a busy discovery may tell that there is nothing new before it has looked.
func (b *Balancer) waitForChanges(reason CallReason) time.Duration {
	switch {
	case !b.settings.LongPolling || reason == CallReasonStart || reason == CallReasonAddressChanged || b.calls.answeredAt == 0:
		return 0
	case !b.settings.ListOnRequest && reason == CallReasonNext:
		return 2 * b.agentCallPeriod()
	case !b.settings.ListOnRequest:
		return 0
	case reason == CallReasonRetry, reason == CallReasonLate && !b.overlapsCalls():
		return b.lateThreshold() - b.lateMargin()
	}
	shortest := b.shareOfCallPeriod(watchShare, minWatch, maxWatch)
	return shortest + b.randomUpTo(time.Duration(watchSpreadShare*float64(shortest)))
}

// slow tells whether calls follow each other without waiting for answers.
func (b *Balancer) overlapsCalls() bool {
	return b.settings.ListOnRequest && b.calls.answerDelay >= overlapFromDelay
}

// slowPace is the time between two calls then.
func (b *Balancer) overlapInterval() time.Duration {
	delay := b.calls.answerDelay
	return min(max(maxListAge-overlapReserve-delay, delay/(maxCallsInFlight-1)), maxOverlapInterval, b.callPeriod())
}

// lateAt is when a call that begins now is late, and another one begins beside it. A watch that goes on with
// another one costs discovery nothing, so it waits for no turn. Once a call is later than any turn takes, others
// follow at the period.
func (b *Balancer) lateAt(now, wait time.Duration) time.Duration {
	switch {
	case !b.settings.ListOnRequest:
		return now + wait + b.agentCallPeriod()
	case b.overlapsCalls():
		return now + b.overlapInterval()
	case b.calls.lateBeyondQueueing:
		return now + max(min(b.callPeriod(), maxLateThreshold), b.randomlyShortened(b.backoffInterval()))
	case b.calls.watching && b.calls.watchStable:
		return now + wait + b.lateMargin() + b.randomUpTo(min(b.callSpread(), maxLateSpread))
	case wait > 0:
		return now + max(b.lateThreshold(), wait+b.lateMargin()) + b.randomUpTo(min(b.callSpread(), maxLateSpread))
	}
	return now + max(b.lateThreshold(), b.randomlyShortened(b.backoffInterval()))
}
