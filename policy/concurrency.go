package policy

import (
	"math"
	"time"
)

// A round is one typical latency: the time after which answers show the effect of a new limit.
const (
	// logLatencyRatioTarget is the mean natural logarithm of latency over unloaded latency above which
	// servers count as congested.
	logLatencyRatioTarget = 0.3
	// limitIncreasePerRound is the relative increase of the limit while requests wait in the queue.
	limitIncreasePerRound = 0.025
	// initialGrowthFactor multiplies limitIncreasePerRound until the first congestion.
	initialGrowthFactor = 6.0
	// minUnloadedSamples is the number of unloaded latencies that have to be recorded before the limit may grow.
	minUnloadedSamples = 60
	// referenceLatencySamples is the number of unloaded latencies of a class after which their mean
	// becomes the reference latency of the class.
	referenceLatencySamples = 12
	// limitDecreasePerRound is the relative decrease of the limit for each unit of the mean log latency
	// ratio over its target.
	limitDecreasePerRound = 0.1
	// knownGoodLimitDecaySeconds is the time constant with which the known-good limit decays during
	// congestion.
	knownGoodLimitDecaySeconds = 60.0
)

// updateConcurrencyLimit adapts the limit on this node's attempts in flight. The node does not know how many
// requests a server can hold before its throughput falls, but congestion shows in latencies that are longer than
// on the unloaded server. The limit starts low, grows while requests wait for it and servers are not congested,
// and shrinks when they are congested, but not much below the recent known-good limit, because servers that are
// all slow have the same latencies as congested ones.
func (b *Balancer) updateConcurrencyLimit(now time.Duration) {
	seconds := min((now - b.controlUpdatedAt).Seconds(), 0.1)
	rounds := seconds / b.typicalLatencySeconds // the effect shows after a round; faster steps would oscillate
	b.controlUpdatedAt = now
	excess := b.meanLogLatencyRatio - logLatencyRatioTarget
	switch {
	case excess > 0 && !b.sawCongestion: // the fast growth at the start has overshot
		b.sawCongestion, b.concurrencyLimit, b.knownGoodLimit = true, 0.6*b.concurrencyLimit, 0.6*b.concurrencyLimit
	case excess > 0:
		minLimit := max(1/float64(b.settings.NodeCount), 0.9*b.knownGoodLimit)
		b.concurrencyLimit = max(minLimit, b.concurrencyLimit*(1-limitDecreasePerRound*min(excess, 0.2)*rounds))
		b.knownGoodLimit *= 1 - seconds/knownGoodLimitDecaySeconds
	case len(b.queue) > 0 && b.unloadedSamples >= minUnloadedSamples:
		if !b.sawCongestion {
			rounds *= initialGrowthFactor
		}
		b.concurrencyLimit *= 1 + limitIncreasePerRound*rounds
		b.knownGoodLimit = max(b.knownGoodLimit, b.concurrencyLimit)
	}
}

// isBelowLimit reports whether this node may have another attempt in flight at a server. The server's random
// offset decides whether the limit is rounded up or down, so that a limit of 1.4 is 2 at two servers of five.
func (b *Balancer) isBelowLimit(s *server, now time.Duration) bool {
	limit := max(1,
		math.Floor(b.perSubsetServer(b.concurrencyLimit)+s.randomOffset)*b.capacityShare(s.processStart, now))
	return now >= s.rejectingUntil && (b.nodesOutnumberServers() || float64(len(s.inFlight)+1) <= limit)
}

// recordLatency updates the latency statistics by the latency of a served request: the means of its class, the
// unloaded latency of its server and the mean log latency ratio. It reports whether it updated the mean log
// latency ratio, which needs the reference latency of the class and an unloaded latency of the server.
func (b *Balancer) recordLatency(a *attempt, r *request, latencySeconds float64) bool {
	s, c := a.server, r.class
	b.typicalLatencySeconds += (latencySeconds - b.typicalLatencySeconds) / 64
	if !b.settings.ValueByWork {
		c.meanWork.Add(latencySeconds, 400) // all answers count: unloaded ones are rare in a busy fleet
	}
	if a.atUnloadedServer {
		c.meanUnloadedLatencySeconds.Add(latencySeconds/r.relativeWork(), 400)
		if c.meanUnloadedLatencySeconds.Count == referenceLatencySamples {
			// The reference latency stays fixed, because servers are compared by it from now on.
			c.referenceLatencySeconds = c.meanUnloadedLatencySeconds.Value
		}
	}
	if c.referenceLatencySeconds == 0 {
		return false
	}
	logRatio := math.Log(max(latencySeconds, 1e-4) / (c.referenceLatencySeconds * r.relativeWork()))
	if a.atUnloadedServer {
		s.unloadedLogRatio.Add(logRatio, 16)
		b.unloadedSamples++
	}
	if s.unloadedLogRatio.Count == 0 {
		return false
	}
	b.meanLogLatencyRatio += (logRatio - s.unloadedLogRatio.Value - b.meanLogLatencyRatio) / 64
	return true
}
