package policy

import "time"

// Intervals between calls to discovery.
//
// A node has to know what discovery had maxListAge ago. So while its list is not confirmed, a node calls at the
// call period of its fleet, whether or not the previous call has failed: discovery may answer late, or be
// reachable for a moment only. Where one service answers all nodes, a call costs it time, even one that it
// refuses. So the period grows with the fleet, and calls that discovery may be too busy for are further apart.
// Where discovery can't be busy, as it has just answered the same node or refuses to continue a watch, a burst
// of calls follows. An agent on the node's own machine is called as often as the drain grace requires.

const (
	// changesCallCost is the time that discovery takes for a call from a known version, with some reserve.
	// wholeListCallCost is the time that it takes for a call for the whole list.
	changesCallCost   = 12 * time.Millisecond
	wholeListCallCost = 125 * time.Millisecond

	// The call period of calls that fail is callPeriodPerNode for each node of the fleet, within bounds: a node
	// reaches a discovery that is available for one second, and two calls are less than maxListAge apart.
	callPeriodPerNode = 25 * time.Millisecond
	minCallPeriod     = 600 * time.Millisecond
	maxCallPeriod     = 5 * time.Second

	// firstBackoff is the interval after the first failed call. It doubles with each further failure up to the
	// call period, at most maxBackoffDoublings times.
	firstBackoff        = 500 * time.Millisecond
	maxBackoffDoublings = 4
	// A call after a failure begins no sooner than a random time after it. The random time is up to
	// retryJitterShare of the call period, at most maxRetryJitter.
	retryJitterShare = 0.1
	maxRetryJitter   = 500 * time.Millisecond
	// jitterDivisor limits the random time that is subtracted from an interval to interval / jitterDivisor.
	jitterDivisor = 8

	// simultaneousShare is the share of a fleet that starts or fails together. The calls of these nodes are
	// spread over maxCallSpread at most.
	simultaneousShare = 0.7
	maxCallSpread     = 6500 * time.Millisecond
	// The first calls to another address are spread over maxAddressChangeSpread at most. Calls after a silent
	// watch, which is noticed late, are spread over maxLateSpread at most.
	maxAddressChangeSpread = time.Second
	maxLateSpread          = time.Second

	// A call that took minQueuedFailure or longer to fail may have been queued. Where calls have failed for
	// longer than overloadSuspectedAfter, they themselves may keep discovery busy.
	minQueuedFailure       = 500 * time.Millisecond
	overloadSuspectedAfter = time.Minute
	// maxOverloadInterval limits the interval between failing calls that may keep discovery busy. The interval
	// is twice the time that discovery takes to answer each node with a whole list.
	maxOverloadInterval = 20 * time.Second

	// A call that was refused at once is retried after refusedRetryPause or, in a large fleet, after the time
	// over which the calls of the fleet are spread. This happens at most maxRefusedRetries times in a row.
	refusedRetryPause = 1000 * time.Millisecond
	maxRefusedRetries = 2

	// A burst is callsPerBurst calls at intervals of burstInterval. It follows a failure that too many calls
	// can't have caused. An answer during a burst shows that calls fail at random, which the node then assumes
	// for flakyDuration.
	callsPerBurst = 10
	// maxBursts limits the bursts in a row. After them the list is overdue, and more would only keep discovery
	// busy.
	maxBursts     = 3
	burstInterval = 200 * time.Millisecond
	flakyDuration = 30 * time.Second

	// A watch lasts watchShare of the call period, within bounds, and a random time of up to watchSpreadShare of
	// that longer: a change ends all watches at the same moment, and the next ones, if they all fall silent, must
	// not be late at the same moment. A watch is late lateMarginShare of the call period after its end, within
	// bounds.
	watchShare       = 0.8
	minWatch         = 480 * time.Millisecond
	maxWatch         = 1500 * time.Millisecond
	watchSpreadShare = 2. / 3
	lateMarginShare  = 0.2
	minLateMargin    = 150 * time.Millisecond
	maxLateMargin    = 500 * time.Millisecond

	// Any other call, and the first watch, is late after maxLateThreshold: a busy discovery works through calls
	// in turn, and has answered or refused a call by then. A second call beside it would cost both their turn.
	// As long as watches are answered and no call has failed, the threshold is lateThresholdPerNode for each
	// node of the fleet, within bounds.
	maxLateThreshold     = 2500 * time.Millisecond
	minLateThreshold     = 950 * time.Millisecond
	lateThresholdPerNode = 150 * time.Millisecond
	// maxQueueingDelay is the delay from which on an answer, usable or not, can't be explained by queueing.
	maxQueueingDelay = 1200 * time.Millisecond

	// overlapFromDelay is the delay of answers from which on calls overlap: they begin without waiting for
	// answers, so often that an answer with the present delay brings a change in time, with overlapReserve to
	// spare. With a smaller delay no overlapping call is needed: two calls in a row are in time.
	overlapFromDelay = 2750 * time.Millisecond
	overlapReserve   = 300 * time.Millisecond
	// maxOverlapInterval limits the interval between overlapping calls, and so does the call period.
	maxOverlapInterval = 1500 * time.Millisecond

	// The call period of an agent is the drain grace divided by agentPeriodDivisor, within bounds: a watch and a
	// call beside it fit into the drain grace. The first quickAgentCalls calls after a failure follow at that
	// period divided by agentPeriodDivisor: the agent is on the same machine and refuses at no cost.
	agentPeriodDivisor = 3
	minAgentCallPeriod = 50 * time.Millisecond
	maxAgentCallPeriod = 400 * time.Millisecond
	quickAgentCalls    = 8

	// An unusable answer costs discovery as much as a usable one. The pause before the next call is the time that
	// the answer takes at unusableBytesPerSecond, within bounds.
	unusableBytesPerSecond = 256 << 10
	minUnusablePause       = 20 * time.Millisecond
	maxUnusablePause       = 3200 * time.Millisecond
)

// randomUpTo returns a random time from 0 up to a span.
func (b *Balancer) randomUpTo(span time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(span))
}

// randomlyShortened returns a random time from 7/8 of a span up to the span. Nodes that were spread over a span
// stay spread where each of them calls once in that time.
func (b *Balancer) randomlyShortened(span time.Duration) time.Duration {
	return span - b.randomUpTo(span/jitterDivisor)
}

// fleetCallTime returns the time that discovery takes for one call of each node from a known version.
func (b *Balancer) fleetCallTime() time.Duration {
	return time.Duration(b.settings.NodeCount) * changesCallCost
}

// callSpread returns the time over which the calls of the nodes that start or fail together are spread: the
// time that discovery takes for them, within bounds.
func (b *Balancer) callSpread() time.Duration {
	if !b.settings.ListOnRequest {
		return 0 // each node has its own agent
	}
	return min(time.Duration(simultaneousShare*float64(b.fleetCallTime())), maxCallSpread, b.maxCallDelay())
}

// maxCallDelay returns how long a node may delay a call in any case: the node has to know the list
// Rules.MaxCallInterval after its last call or the end of its watch. An eighth of that time is left for the
// call itself.
func (b *Balancer) maxCallDelay() time.Duration { return b.settings.Rules.MaxCallInterval * 7 / 8 }

// firstCallSpread returns the time over which the first calls of nodes that start together are spread. The cost
// of a call is not known by then. The spread allows for calls as costly as those for the whole list, which the
// answer to an old version may be, where a start has time for that; in a larger fleet it relies on
// changesCallCost.
func (b *Balancer) firstCallSpread(knowsServers bool) time.Duration {
	wholeListSpread := time.Duration(simultaneousShare * float64(b.fleetWholeListTime()))
	switch {
	case !b.settings.ListOnRequest:
		return 0 // each node has its own agent
	case !knowsServers:
		return min(b.fleetWholeListTime(), b.maxCallDelay(), maxCallPeriod)
	case wholeListSpread <= min(maxReadyDelay-callReserve, b.maxCallDelay()):
		return wholeListSpread
	}
	return b.callSpread()
}

// brokenWatchSpread returns the time over which calls are spread after watches that broke, which may be those of
// all nodes.
func (b *Balancer) brokenWatchSpread() time.Duration {
	if !b.settings.ListOnRequest {
		return b.agentCallPeriod()
	}
	return max(b.callSpread(), firstBackoff)
}

// agentCallPeriod returns the time between two calls to an agent.
func (b *Balancer) agentCallPeriod() time.Duration {
	return min(max(b.settings.Rules.DrainGrace/agentPeriodDivisor, minAgentCallPeriod), maxAgentCallPeriod)
}

// retryInterval returns the time between the start of the newest call, which failed, and the next one.
// mayHaveQueued means that the failed call may have been queued; then later calls have the longest backoff too.
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

// backoffInterval returns the time between calls, which grows with the number of calls since the last answer.
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

// callPeriod returns the time between two calls of a node whose list is not confirmed. It is longest with a
// subscription: a new one delivers what was missed, but costs discovery a whole list each time.
func (b *Balancer) callPeriod() time.Duration {
	if !b.settings.LongPolling {
		return maxCallPeriod
	}
	return min(max(time.Duration(b.settings.NodeCount)*callPeriodPerNode, minCallPeriod), maxCallPeriod)
}

// shareOfCallPeriod returns a share of the call period, within bounds.
func (b *Balancer) shareOfCallPeriod(share float64, lower, upper time.Duration) time.Duration {
	return min(max(time.Duration(share*float64(b.callPeriod())), lower), upper)
}

// retryJitter returns a random time to wait after the end of a failed call.
func (b *Balancer) retryJitter() time.Duration {
	maxJitter := maxRetryJitter
	if b.settings.LongPolling {
		maxJitter = b.shareOfCallPeriod(retryJitterShare, 0, maxRetryJitter)
	}
	return b.randomUpTo(min(b.backoffInterval(), maxJitter))
}

// lateThreshold returns how long a call that need not wait for changes is in flight until it is late.
func (b *Balancer) lateThreshold() time.Duration {
	if !b.calls.watchStable {
		return maxLateThreshold
	}
	return min(max(time.Duration(b.settings.NodeCount)*lateThresholdPerNode, minLateThreshold), maxLateThreshold)
}

// lateMargin returns how much later than requested a watch may be answered.
func (b *Balancer) lateMargin() time.Duration {
	return b.shareOfCallPeriod(lateMarginShare, minLateMargin, maxLateMargin)
}

// fleetWholeListTime returns the time that discovery takes to answer each node with a whole list, the most
// costly call.
func (b *Balancer) fleetWholeListTime() time.Duration {
	return time.Duration(b.settings.NodeCount) * wholeListCallCost
}

// unusablePause returns the pause after an unusable answer of the given length.
func unusablePause(bytes int64) time.Duration {
	pause := time.Duration(float64(bytes) / unusableBytesPerSecond * float64(time.Second))
	return min(max(pause, minUnusablePause), maxUnusablePause)
}

// waitForChanges returns how long a call asks discovery to wait for changes. It asks for no wait where the list has
// to be confirmed or is not known. A call after a failure asks for so long a wait that it fails before the wait
// ends if discovery does not get to it: a busy discovery may report that nothing has changed before it has looked.
func (b *Balancer) waitForChanges(reason CallReason) time.Duration {
	switch {
	case !b.settings.LongPolling || reason == CallReasonStart || reason == CallReasonAddressChanged ||
		b.calls.answeredAt == 0:
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

// overlapsCalls reports whether calls begin without waiting for the answers to earlier ones.
func (b *Balancer) overlapsCalls() bool {
	return b.settings.ListOnRequest && b.calls.answerDelay >= overlapFromDelay
}

// overlapInterval returns the time between two overlapping calls.
func (b *Balancer) overlapInterval() time.Duration {
	delay := b.calls.answerDelay
	return min(max(maxListAge-overlapReserve-delay, delay/(maxCallsInFlight-1)), maxOverlapInterval, b.callPeriod())
}

// lateAt returns the time at which a call that begins now is late and another one begins beside it. A watch that
// continues another one costs discovery nothing, so it does not have to queue. Once a call is later than queueing
// can explain, others follow at the call period.
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
