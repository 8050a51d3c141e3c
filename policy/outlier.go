package policy

import "time"

const (
	failuresToOpen      = 5                // consecutive failures that open a breaker
	failureWindow       = 60 * time.Second // and the window that they must fall in
	initialOpenDuration = 2 * time.Second  // an open breaker turns half-open after this,
	maxOpenDuration     = 30 * time.Second // doubled with each failed trial up to this
)

// BreakerState is the state of a server's circuit breaker.
type BreakerState uint8

const (
	closed BreakerState = iota
	open
	halfOpen
)

var breakerStateNames = [...]string{closed: "closed", open: "open", halfOpen: "half-open"}

// String names a state, for logs.
func (s BreakerState) String() string { return breakerStateNames[s] }

// failed counts a failure towards opening the breaker. One that may be slowness alone opens it
// only while fewer than half of the servers are out: when all are slow, that would refuse all.
func (b *Balancer) recordFailure(now time.Duration, a *attempt, maybeSlow bool) {
	s := a.server
	closedCount, _ := b.closedServers(now)
	s.failureTimes = append(s.failureTimes, now)
	for now-s.failureTimes[0] > failureWindow {
		s.failureTimes = s.failureTimes[1:]
	}
	switch {
	case s.breaker == halfOpen && s.trial == a:
		s.openDuration = min(2*s.openDuration, maxOpenDuration)
	case s.breaker != closed || len(s.failureTimes) < failuresToOpen:
		return
	case maybeSlow && 2*(len(b.subset)-closedCount+1) > len(b.subset):
		return
	}
	before := s.breaker
	s.breaker, s.trial = open, nil
	s.halfOpenAt = now + b.jitter(s.openDuration)
	b.reportBreakerChange(s, before)
}

// succeeded closes the breaker. An answer to an older attempt lets an open one's trial come at once.
func (s *server) recordSuccess(now time.Duration, a *attempt) {
	s.failureTimes = s.failureTimes[:0]
	s.lastAnswerAt = now
	switch {
	case s.breaker == halfOpen && s.trial == a:
		s.breaker, s.trial, s.openDuration = closed, nil, initialOpenDuration
	case s.breaker == open:
		s.halfOpenAt = now
	}
}

// judge takes an outcome into the server's health, but none of what a former process was sent.
func (b *Balancer) recordOutcome(now time.Duration, r *request, a *attempt, outcome Outcome) {
	s := a.server
	if b.nodesOutnumberServers() && (outcome.Status == OK || outcome.Status == Rejected || outcome.Status == Timeout) {
		b.updateLoadSignal(now, r, outcome)
	}
	if a.sentAt < s.processStart {
		return
	}
	latency := outcome.Latency.Seconds() / b.unloadedLatencySeconds(r)
	switch outcome.Status {
	case OK:
		s.outcomes.Add(now, true, latency)
		before := s.breaker
		s.recordSuccess(now, a)
		b.reportBreakerChange(s, before)
		if len(b.lastServerByKey) >= maxTrackedKeys {
			clear(b.lastServerByKey)
		}
		b.lastServerByKey[r.Key] = s
		if b.recordLatency(a, r, outcome.Latency.Seconds()) && !b.nodesOutnumberServers() {
			b.updateConcurrencyLimit(now)
		}
	case ServerError, ConnectionReset, ConnectFailed:
		s.outcomes.Add(now, false, latency)
		b.recordFailure(now, a, false)
	case Timeout:
		// Impatient clients make short time-outs, which say nothing of the server.
		if latency > b.meanLatencyRatio*unresponsiveMultiple {
			s.outcomes.Add(now, false, latency)
			if !a.unresponsive {
				b.recordFailure(now, a, true)
			}
		}
	case Rejected:
		s.rejectingUntil = now + b.expectedLatency(r)
	case Cancelled:
		s.outcomes.Add(now, !a.unresponsive, max(latency, s.latencyRatio)) // it would have taken longer
	}
	if s.trial == a {
		s.trial = nil // no verdict: the next request is the trial
	}
}
