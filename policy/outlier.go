package policy

import "time"

const (
	failuresToOpen      = 5                // number of consecutive failures that open a breaker
	failureWindow       = 60 * time.Second // time within which failuresToOpen failures have to occur
	initialOpenDuration = 2 * time.Second  // time until an open breaker turns half-open, doubled by each failed trial
	maxOpenDuration     = 30 * time.Second // longest time until an open breaker turns half-open
)

// BreakerState is the state of a server's circuit breaker.
type BreakerState uint8

// The states of a circuit breaker.
const (
	closed BreakerState = iota
	open
	halfOpen
)

var breakerStateNames = [...]string{closed: "closed", open: "open", halfOpen: "half-open"}

// String returns the name of the state, for logs.
func (s BreakerState) String() string { return breakerStateNames[s] }

// recordFailure counts a failure of an attempt's server and opens its breaker after failuresToOpen failures or a
// failed trial. A failure that may be mere slowness opens a closed breaker only if at least half of the subset's
// breakers stay closed: otherwise, when all servers are slow, every request would be refused.
func (b *Balancer) recordFailure(now time.Duration, a *attempt, maybeSlow bool) {
	s := a.server
	closedCount, _ := b.closedBreakerTotals(now)
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

// recordSuccess clears the failures of a server. The answer to its trial closes the breaker; the answer to an
// attempt from before the breaker opened turns it half-open at once.
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

// recordOutcome updates the measurements of the server's health by the outcome of an attempt. Attempts that were
// sent to an earlier incarnation of the server count for the load signal alone.
func (b *Balancer) recordOutcome(now time.Duration, r *request, a *attempt, outcome Outcome) {
	s := a.server
	if b.nodesOutnumberServers() && (outcome.Status == OK || outcome.Status == Rejected || outcome.Status == Timeout) {
		b.updateLoadSignal(now, r, outcome)
	}
	if a.sentAt < s.processStart {
		return
	}
	latencyRatio := outcome.Latency.Seconds() / b.unloadedLatencySeconds(r)
	switch outcome.Status {
	case OK:
		s.outcomes.Add(now, true, latencyRatio)
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
		s.outcomes.Add(now, false, latencyRatio)
		b.recordFailure(now, a, false)
	case Timeout:
		// Clients that wait only briefly cause time-outs that say nothing about the server.
		if latencyRatio > b.meanLatencyRatio*unresponsiveMultiple {
			s.outcomes.Add(now, false, latencyRatio)
			if !a.unresponsive {
				b.recordFailure(now, a, true)
			}
		}
	case Rejected:
		s.rejectingUntil = now + b.expectedLatency(r)
	case Cancelled:
		s.outcomes.Add(now, !a.unresponsive, max(latencyRatio, s.latencyRatio)) // an answer would take at least as long
	}
	if s.trial == a {
		s.trial = nil // the outcome decides nothing: the next request is the trial
	}
}
