package policy

import (
	"time"

	"otterstep/internal/stats"
)

const (
	outcomeWindow = 10 * time.Second // age at which outcomes are dropped, so that an avoided server is tried again
	priorOutcomes = 3.0              // number of outcomes with the subset's means that are added to a server's own
	successWeight = 0.7              // weight of the success rate in the score
	latencyWeight = 0.3              // weight of the latency in the score
)

// server holds what this node knows of a server.
type server struct {
	Entry
	processStart time.Duration // start of its process by this node's clock; 0: long ago
	breaker      BreakerState
	inOwnZone    bool            // the server is in this node's zone
	inSubset     bool            // the server is in the subset
	failureTimes []time.Duration // times of consecutive failures within failureWindow
	openDuration time.Duration   // time that an open breaker stays open
	halfOpenAt   time.Duration   // time at which an open breaker turns half-open
	trial        *attempt        // trial in flight while the breaker is half-open

	outcomes     stats.Window  // recent outcomes, with latencies as multiples of the unloaded latency
	lastAnswerAt time.Duration // time of its latest answer
	score        float64       // score as of Balancer.scoresUpdatedAt, from 0 to 1
	successRate  float64       // smoothed share of successful attempts
	latencyRatio float64       // smoothed latency as a multiple of the unloaded latency

	inFlight         []*attempt    // attempts of this node in flight, oldest first
	randomOffset     float64       // random number in [0,1), see isBelowLimit and coldBudgetCovers
	unloadedLogRatio stats.Mean    // mean natural logarithm of unloaded latency over the class's reference latency
	rejectingUntil   time.Duration // time until which the server gets no requests after it rejected one

	sentWork          stats.Meter   // work sent to the server, in seconds per second
	coldBudgetSeconds float64       // work that the cold server may be sent, as of coldBudgetAt
	coldBudgetAt      time.Duration // time of the latest update of coldBudgetSeconds; 0: none yet
}

// updateSubsetMeans drops outcomes that are too old and computes the means and totals over the subset.
func (b *Balancer) updateSubsetMeans(now time.Duration) {
	outcomes, successes, latencySum := 0, 0, 0.0
	b.warmServerCount, b.warmWorkPerSecond, b.meanWeight = 0, 0, 0
	for _, s := range b.subset {
		s.outcomes.Expire(now - outcomeWindow)
		b.meanWeight += s.Weight / float64(len(b.subset))
		if s.breaker == closed && b.capacityShare(s.processStart, now) >= 1 {
			b.warmServerCount++
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

// updateScores computes the scores of the servers in the subset unless they are up to date:
//
//	0.7 x success rate + 0.3 x (1 - latency / highest latency)
//
// Servers without outcomes get the means of the subset. The age of the oldest attempt in flight counts as a
// latency, so that the score of a server that does not answer falls before any timeout.
func (b *Balancer) updateScores(now time.Duration) {
	if b.scoresUpdatedAt == now {
		return
	}
	b.scoresUpdatedAt = now
	b.resizeSubsetByLoad(now)
	if b.nodesPerServer < min(maxSubsetWidening*b.baseNodesPerServer, b.settings.NodeCount) {
		if _, capacity := b.closedBreakerTotals(now); capacity < minUsableSubsetShare*b.targetSubsetSize {
			b.chooseSubset(now)
		}
	}
	b.updateSubsetMeans(now)
	b.usableServerCount = 0
	maxLatencyRatio := 0.0
	for _, s := range b.subset {
		outcomes, successes := float64(s.outcomes.Count), float64(s.outcomes.Successes)
		s.successRate = (successes + priorOutcomes*b.meanSuccessRate) / (outcomes + priorOutcomes)
		s.latencyRatio = (s.outcomes.LatencySum + priorOutcomes*b.meanLatencyRatio) / (successes + priorOutcomes)
		if len(s.inFlight) > 0 {
			oldest := s.inFlight[0]
			ageRatio := (now - oldest.sentAt).Seconds() / b.unloadedLatencySeconds(oldest.request)
			s.latencyRatio = max(s.latencyRatio, ageRatio)
		}
		if s.breaker == open && now >= s.halfOpenAt {
			s.breaker, s.trial = halfOpen, nil
			b.reportBreakerChange(s, open)
		}
		if s.breaker == closed {
			maxLatencyRatio = max(maxLatencyRatio, s.latencyRatio)
			b.usableServerCount++
		} else if s.breaker == halfOpen && s.trial == nil {
			b.usableServerCount++
		}
	}
	for _, s := range b.subset {
		s.score = successWeight*s.successRate +
			latencyWeight*(1-s.latencyRatio/max(maxLatencyRatio, s.latencyRatio, 1e-9))
	}
}
