package policy

import (
	"math"
	"time"
)

const (
	crowdingAim = 0.3   // log of latency over a lone request's that the bound steers to
	limitUp     = 0.025 // growth of the bound in a typical latency, while requests wait for it
	startFaster = 6.0   // times that until servers were crowded for the first time
	loneNeeded  = 60    // lone latencies before the bound may grow
	loneSettled = 12    // lone latencies of a class before its mean serves as a yardstick
	limitDown   = 0.1   // its shrinking in a typical latency for each unit of excess
	limitFor    = 60.0  // seconds over which a bound that was known to be good is forgotten
)

// steer moves the node's bound on own requests in flight. What a server can hold before it gets less done is
// told nowhere, but crowding shows: requests take longer than lone ones do there. The bound starts low, grows
// while requests wait for it and servers are not crowded, and shrinks when they are; but not much below what
// was good lately, since a fleet that is slow as a whole looks the same.
func (b *Balancer) steer(now time.Duration) {
	seconds := min((now - b.steered).Seconds(), 0.1)
	rounds := seconds / b.typical // answers come back once a round; faster steps would swing
	b.steered = now
	excess := b.crowding - crowdingAim
	switch {
	case excess > 0 && !b.crowded: // the start's fast growth went too far
		b.crowded, b.limit, b.limitKnown = true, 0.6*b.limit, 0.6*b.limit
	case excess > 0:
		least := max(1/float64(b.settings.NodeCount), 0.9*b.limitKnown)
		b.limit = max(least, b.limit*(1-limitDown*min(excess, 0.2)*rounds))
		b.limitKnown *= 1 - seconds/limitFor
	case len(b.queue) > 0 && b.loneSeen >= loneNeeded:
		if !b.crowded {
			rounds *= startFaster
		}
		b.limit *= 1 + limitUp*rounds
		b.limitKnown = max(b.limitKnown, b.limit)
	}
}

// room tells whether a server is below the bound on own requests in flight. A server's own part of
// a whole decides the rounding, so that a limit of 1.4 is 2 at two servers of five.
func (b *Balancer) room(s *server, now time.Duration) bool {
	bound := max(1, math.Floor(b.perFeeder(b.limit)+s.rounding)*b.coldShare(s.upSince, now))
	return now >= s.fullUntil && (b.thin() || float64(len(s.inFlight)+1) <= bound)
}

// measure takes in how long a served request took, compared to lone ones of its
// class at its server; false while these are not known.
func (b *Balancer) measure(a *attempt, r *request, latency float64) bool {
	s, c := a.server, r.class
	b.typical += (latency - b.typical) / 64
	if !b.settings.ValueByWork {
		c.meanWork.Add(latency, 400) // by all answers: lone ones are rare in a busy fleet
	}
	if a.lone {
		c.lone.Add(latency/r.relativeWork(), 400)
		if c.lone.Count == loneSettled {
			c.yardstick = c.lone.Value // stays: servers are compared by it from now on
		}
	}
	if c.yardstick == 0 {
		return false
	}
	relative := math.Log(max(latency, 1e-4) / (c.yardstick * r.relativeWork()))
	if a.lone {
		s.lone.Add(relative, 16)
		b.loneSeen++
	}
	if s.lone.Count == 0 {
		return false
	}
	b.crowding += (relative - s.lone.Value - b.crowding) / 64
	return true
}
