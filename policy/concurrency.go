package policy

import (
	"math"
	"time"
)

const (
	logLatencyRatioTarget      = 0.3   // log of latency over a lone request's that the bound steers to
	limitIncreasePerRound      = 0.025 // growth of the bound in a typical latency, while requests wait for it
	initialGrowthFactor        = 6.0   // times that until servers were crowded for the first time
	minUnloadedSamples         = 60    // lone latencies before the bound may grow
	referenceLatencySamples    = 12    // lone latencies of a class before its mean serves as a yardstick
	limitDecreasePerRound      = 0.1   // its shrinking in a typical latency for each unit of excess
	knownGoodLimitDecaySeconds = 60.0  // seconds over which a bound that was known to be good is forgotten
)

// steer moves the node's bound on own requests in flight. What a server can hold before it gets less done is
// told nowhere, but crowding shows: requests take longer than lone ones do there. The bound starts low, grows
// while requests wait for it and servers are not crowded, and shrinks when they are; but not much below what
// was good lately, since a fleet that is slow as a whole looks the same.
func (b *Balancer) updateConcurrencyLimit(now time.Duration) {
	seconds := min((now - b.controlUpdatedAt).Seconds(), 0.1)
	rounds := seconds / b.typicalLatencySeconds // answers come back once a round; faster steps would swing
	b.controlUpdatedAt = now
	excess := b.meanLogLatencyRatio - logLatencyRatioTarget
	switch {
	case excess > 0 && !b.sawCongestion: // the start's fast growth went too far
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

// room tells whether a server is below the bound on own requests in flight. A server's own part of
// a whole decides the rounding, so that a limit of 1.4 is 2 at two servers of five.
func (b *Balancer) isBelowLimit(s *server, now time.Duration) bool {
	limit := max(1, math.Floor(b.perSubsetServer(b.concurrencyLimit)+s.roundingOffset)*b.capacityShare(s.processStart, now))
	return now >= s.rejectingUntil && (b.nodesOutnumberServers() || float64(len(s.inFlight)+1) <= limit)
}

// measure takes in how long a served request took, compared to lone ones of its
// class at its server; false while these are not known.
func (b *Balancer) recordLatency(a *attempt, r *request, latency float64) bool {
	s, c := a.server, r.class
	b.typicalLatencySeconds += (latency - b.typicalLatencySeconds) / 64
	if !b.settings.ValueByWork {
		c.meanWork.Add(latency, 400) // by all answers: lone ones are rare in a busy fleet
	}
	if a.atUnloadedServer {
		c.meanUnloadedLatencySeconds.Add(latency/r.relativeWork(), 400)
		if c.meanUnloadedLatencySeconds.Count == referenceLatencySamples {
			c.referenceLatencySeconds = c.meanUnloadedLatencySeconds.Value // stays: servers are compared by it from now on
		}
	}
	if c.referenceLatencySeconds == 0 {
		return false
	}
	logRatio := math.Log(max(latency, 1e-4) / (c.referenceLatencySeconds * r.relativeWork()))
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
