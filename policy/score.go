package policy

import (
	"time"

	"otterstep/internal/stats"
)

const (
	outcomesFor   = 10 * time.Second // and for how long: an avoided server is forgotten, then met again
	priorOutcomes = 3.0              // weight of the fleet's mean beside a server's own outcomes
	successPart   = 0.7              // of the score
	latencyPart   = 0.3              // of the score
)

type server struct {
	Entry
	upSince  time.Duration // by this node's clock; 0: for long
	breaker  BreakerState
	near     bool            // in this node's zone
	working  bool            // in the subset
	failures []time.Duration // consecutive failures within the window
	openFor  time.Duration
	reopenAt time.Duration // when open: turns half-open
	trial    *attempt      // when half-open: the one trial that is out

	outcomes   stats.Window // latencies as multiples of what a lone request of the class takes
	answeredAt time.Duration
	score      float64 // as of the last refresh
	success    float64
	latency    float64

	out       []*attempt    // own attempts in flight, oldest first
	rounding  float64       // in [0,1): see bound
	lone      stats.Mean    // latency, as a logarithm, of attempts sent while no other was out
	fullUntil time.Duration // it turned a request away as full

	rate      stats.Meter // work sent to it
	coldSaved float64     // work that it may be sent while it is cold, as of coldAt
	coldAt    time.Duration
}

// tally drops outcomes that are too old and sums up the rest over the fleet.
func (b *Balancer) tally(now time.Duration) {
	kept, good, latency := 0, 0, 0.0
	b.warm, b.warmRate, b.weight = 0, 0, 0
	for _, s := range b.subset {
		s.outcomes.Expire(now - outcomesFor)
		b.weight += s.Weight / float64(len(b.subset))
		if s.breaker == closed && b.coldShare(s.upSince, now) >= 1 {
			b.warm++
			b.warmRate += s.rate.PerSecond(now)
		}
		kept += s.outcomes.Count
		good += s.outcomes.Successes
		latency += s.outcomes.LatencySum
	}
	if kept > 0 {
		b.meanSuccess = float64(good) / float64(kept)
	}
	if good > 0 {
		b.meanLatency = latency / float64(good)
	}
}

// refresh updates the scores: 0.7 x success + 0.3 x (1 - latency / the highest). Servers without
// outcomes stand at the mean. An attempt in flight counts by its age: silence lowers the score early.
func (b *Balancer) refresh(now time.Duration) {
	if b.refreshed == now {
		return
	}
	b.refreshed = now
	b.countSends(now)
	if b.feeders < min(subsetWidened*b.base, b.set.Nodes) {
		if _, capacity := b.inUse(now); capacity < subsetFailing*b.wanted {
			b.choose(now)
		}
	}
	b.tally(now)
	b.usable = 0
	highest := 0.0
	for _, s := range b.subset {
		seen, good := float64(s.outcomes.Count), float64(s.outcomes.Successes)
		s.success = (good + priorOutcomes*b.meanSuccess) / (seen + priorOutcomes)
		s.latency = (s.outcomes.LatencySum + priorOutcomes*b.meanLatency) / (good + priorOutcomes)
		if len(s.out) > 0 {
			oldest := s.out[0]
			age := (now - oldest.sent).Seconds() / b.loneLatency(oldest.request)
			s.latency = max(s.latency, age)
		}
		if s.breaker == open && now >= s.reopenAt {
			s.breaker, s.trial = halfOpen, nil
			b.reportBreakerChange(s, open)
		}
		if s.breaker == closed {
			highest = max(highest, s.latency)
			b.usable++
		} else if s.breaker == halfOpen && s.trial == nil {
			b.usable++
		}
	}
	for _, s := range b.subset {
		s.score = successPart*s.success + latencyPart*(1-s.latency/max(highest, s.latency, 1e-9))
	}
}
