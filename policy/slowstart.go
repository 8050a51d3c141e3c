package policy

import "time"

const (
	coldSafety  = 0.75             // of the multiple that pushes cold servers over; thin: twice
	startLate   = 10 * time.Second // discovery knows of a start after this at most
	sharesEvery = 64               // times in the time that servers are cold, the cold share of all is summed up anew
)

// upSince dates the start of a server's process by this node's clock. A list tells it by a wall clock,
// which may have been stepped since this node read its own: a start does not lie ahead, and one that is
// news lies after the last answer, less the time that discovery may take to learn of it. A process is
// dated once.
func (b *Balancer) upSince(now time.Duration, kind ListKind, e Entry) time.Duration {
	if s := b.servers[e.Server]; s != nil && s.StartedAt == e.StartedAt {
		return s.upSince
	}
	if line, listed := b.serverList.Get(e.Server); listed && line.StartedAt == e.StartedAt {
		return line.processStart
	}
	if e.StartedAt <= 0 {
		return 0
	}
	earliest := time.Duration(0)
	if kind == ListChanges && b.calls.answeredAt > 0 {
		earliest = b.calls.answeredAt - startLate
	}
	return min(max(e.StartedAt, earliest), now)
}

// coldShare is the share of its capacity that a server has at least.
func (b *Balancer) coldShare(started, now time.Duration) float64 {
	age := max(0, now-started)
	if started <= 0 || age >= b.settings.Rules.ColdDuration {
		return 1
	}
	from := b.settings.Rules.ColdCapacityShare
	return from + (1-from)*age.Seconds()/b.settings.Rules.ColdDuration.Seconds()
}

// meanShare is the share of its capacity that a ready server has, over all that are listed: a node
// whose subset is colder than the rest must not send it more for that.
func (b *Balancer) meanShare(now time.Duration) float64 {
	d := &b.serverList
	if now >= d.latestProcessStart+b.settings.Rules.ColdDuration {
		return 1
	}
	if d.meanShareAt < 0 || now-d.meanShareAt >= b.settings.Rules.ColdDuration/sharesEvery {
		sum := 0.0
		for i := range d.Entries {
			if d.Entries[i].State == StateInService {
				sum += b.coldShare(d.Entries[i].processStart, now)
			}
		}
		d.meanShareAt, d.meanCapacityShare = now, sum/float64(max(1, d.inServiceCount))
	}
	return d.meanCapacityShare
}

// coldBudget tells whether a cold server can bear this work too. This node cannot see the others, so
// it keeps to its own part: what a warm server of this size gets from it (the smaller of what warm peers
// are sent and of an equal split of all that is asked for), scaled by the cold share and the multiple
// that makes a server fall over. The part is saved up, from a random start, until a request is covered
// whole: hundreds of nodes that each sent just one at once would push the server over.
func (b *Balancer) coldBudget(s *server, now time.Duration, work float64) bool {
	share := b.coldShare(s.upSince, now)
	if share >= 1 {
		return true
	}
	part := b.demand.PerSecond(now) / float64(len(b.subset))
	if b.thin() {
		part = b.demand.PerSecond(now) * b.admitted / max(b.meanShare(now)*float64(len(b.subset)), share, 1e-9)
	} else if b.warm > 0 {
		part = min(part, b.warmRate/float64(b.warm))
	}
	if b.weight > 0 && s.Weight > 0 {
		part *= s.Weight / b.weight
	}
	if s.coldAt == 0 {
		s.coldAt, s.coldSaved = now, s.rounding*work
	}
	rate := part * b.settings.Rules.OverloadMultiple * share * coldSafety
	if b.thin() { // up to twice where whole requests seldom fit in; the draw by cold share keeps the mean
		sends := 2.5 * rate * b.settings.Rules.OverloadDuration.Seconds() / work
		rate *= 1 + 1/(1+sends*sends)
	}
	most := max(6*work, rate*b.settings.Rules.OverloadDuration.Seconds())
	s.coldSaved = min(s.coldSaved+rate*(now-s.coldAt).Seconds(), most)
	s.coldAt = now
	return s.coldSaved >= work
}
