package policy

import (
	"time"

	"otterstep/internal/stats"
)

const (
	outcomeWindow = 10 * time.Second // and for how long: an avoided server is forgotten, then met again
	priorOutcomes = 3.0              // weight of the fleet's mean beside a server's own outcomes
	successWeight = 0.7              // of the score
	latencyWeight = 0.3              // of the score
)

type server struct {
	Entry
	processStart time.Duration // by this node's clock; 0: for long
	breaker      BreakerState
	inOwnZone    bool            // in this node's zone
	inSubset     bool            // in the subset
	failureTimes []time.Duration // consecutive failures within the window
	openDuration time.Duration
	halfOpenAt   time.Duration // when open: turns half-open
	trial        *attempt      // when half-open: the one trial that is out

	outcomes     stats.Window // latencies as multiples of what a lone request of the class takes
	lastAnswerAt time.Duration
	score        float64 // as of the last refresh
	successRate  float64
	latencyRatio float64

	inFlight         []*attempt    // own attempts in flight, oldest first
	roundingOffset   float64       // in [0,1): see bound
	unloadedLogRatio stats.Mean    // latency, as a logarithm, of attempts sent while no other was out
	rejectingUntil   time.Duration // it turned a request away as full

	sentWork          stats.Meter // work sent to it
	coldBudgetSeconds float64     // work that it may be sent while it is cold, as of coldAt
	coldBudgetAt      time.Duration
}

// tally drops outcomes that are too old and sums up the rest over the fleet.
func (b *Balancer) updateSubsetMeans(now time.Duration) {
	outcomes, successes, latencySum := 0, 0, 0.0
	b.warmServers, b.warmWorkPerSecond, b.meanWeight = 0, 0, 0
	for _, s := range b.subset {
		s.outcomes.Expire(now - outcomeWindow)
		b.meanWeight += s.Weight / float64(len(b.subset))
		if s.breaker == closed && b.capacityShare(s.processStart, now) >= 1 {
			b.warmServers++
			b.warmWorkPerSecond += s.sentWork.PerSecond(now)
		}
		outcomes += s.outcomes.Count
		successes += s.outcomes.Successes
		latencySum += s.outcomes.LatencySum
	}
	if outcomes > 0 {
		b.meanSuccessRate = float64(successes) / float64(outcomes)
	}
	if successes > 0 {
		b.meanLatencyRatio = latencySum / float64(successes)
	}
}

// refresh updates the scores: 0.7 x success + 0.3 x (1 - latency / the highest). Servers without
// outcomes stand at the mean. An attempt in flight counts by its age: silence lowers the score early.
func (b *Balancer) updateScores(now time.Duration) {
	if b.scoresUpdatedAt == now {
		return
	}
	b.scoresUpdatedAt = now
	b.resizeSubsetByLoad(now)
	if b.nodesPerServer < min(maxSubsetWidening*b.baseNodesPerServer, b.settings.NodeCount) {
		if _, capacity := b.closedServers(now); capacity < minUsableSubsetShare*b.targetSubsetSize {
			b.chooseSubset(now)
		}
	}
	b.updateSubsetMeans(now)
	b.usableServers = 0
	highest := 0.0
	for _, s := range b.subset {
		outcomes, successes := float64(s.outcomes.Count), float64(s.outcomes.Successes)
		s.successRate = (successes + priorOutcomes*b.meanSuccessRate) / (outcomes + priorOutcomes)
		s.latencyRatio = (s.outcomes.LatencySum + priorOutcomes*b.meanLatencyRatio) / (successes + priorOutcomes)
		if len(s.inFlight) > 0 {
			oldest := s.inFlight[0]
			age := (now - oldest.sentAt).Seconds() / b.unloadedLatencySeconds(oldest.request)
			s.latencyRatio = max(s.latencyRatio, age)
		}
		if s.breaker == open && now >= s.halfOpenAt {
			s.breaker, s.trial = halfOpen, nil
			b.reportBreakerChange(s, open)
		}
		if s.breaker == closed {
			highest = max(highest, s.latencyRatio)
			b.usableServers++
		} else if s.breaker == halfOpen && s.trial == nil {
			b.usableServers++
		}
	}
	for _, s := range b.subset {
		s.score = successWeight*s.successRate + latencyWeight*(1-s.latencyRatio/max(highest, s.latencyRatio, 1e-9))
	}
}
