package policy

import (
	"math"
	"slices"
	"time"
)

const (
	subsetLeast   = 16   // servers that a node works with at least,
	feedersLeast  = 32   // and nodes that work with a server: the uneven loads of nodes even out
	subsetDrift   = 1.25 // a subset is left as it is while its size is off by less than this
	subsetFailing = 1.0 / 3
	subsetWidened = 4 // times as many nodes a server at most where too much of a subset fails
)

// countSends sizes the subset by this node's load once in outcomesFor: each server should be sent
// enough for its breaker to open by what is remembered of it.
func (b *Balancer) countSends(now time.Duration) {
	elapsed := now - b.countedAt
	if elapsed < outcomeWindow {
		return
	}
	wanted := max(subsetLeast, float64(b.sends)/failuresToOpen*outcomeWindow.Seconds()/elapsed.Seconds())
	b.countedAt, b.sends = now, 0
	if wanted > subsetDrift*b.wanted || 2*wanted < b.wanted || b.feeders > b.base {
		b.wanted = wanted
		b.choose(now)
	}
}

// choose selects the servers that this node works with: one that worked with all of a large fleet would
// meet each too seldom to learn anything of it. They are those that have this node among the first in an
// order of all nodes that the server's id alone decides, so that each server has as many nodes, a change
// of the list moves no other server's nodes and a restarted node works with the same. Where a zone that
// repeats are bound to has no second server among them, or little of them can be used, it takes more; the
// latter within bounds, so that a fleet whose servers all fail is not met whole by each node.
func (b *Balancer) choose(now time.Duration) {
	if b.drifted() {
		b.base = b.feedersWanted()
	}
	b.feeders = b.base
	for b.work(); b.feeders < b.settings.NodeCount; b.work() {
		_, capacity := b.inUse(now)
		if b.complete() && (b.feeders >= subsetWidened*b.base || capacity >= subsetFailing*b.wanted) {
			break
		}
		b.feeders = min(int(math.Ceil(subsetDrift*float64(b.feeders))), b.settings.NodeCount)
	}
	for id, s := range b.servers {
		if !s.working && len(s.inFlight) == 0 && (s.State == StateGone || b.coldShare(s.upSince, now) >= 1) {
			delete(b.servers, id)
		}
	}
}

// drifted tells that the subset's size is off by much, for its load or the list have changed.
func (b *Balancer) drifted() bool {
	ratio := float64(b.feedersWanted()) / float64(b.base)
	return ratio >= subsetDrift || ratio <= 1/subsetDrift
}

// feedersWanted gives the nodes that work with each server where each node works with as many as this one.
func (b *Balancer) feedersWanted() int {
	nodes := float64(b.settings.NodeCount)
	return int(min(math.Ceil(max(nodes*b.wanted/max(1, float64(b.serverList.inServiceCount)), feedersLeast)), nodes))
}

// work makes the ready servers that have this node among their first nodes the subset.
func (b *Balancer) work() {
	for _, s := range b.subset {
		s.working = false
	}
	b.subset = slices.Delete(b.subset, 0, len(b.subset))
	for i := range b.serverList.Entries {
		if line := &b.serverList.Entries[i]; line.State == StateInService && int(line.position) < b.feeders {
			b.workWith(*line)
		}
	}
}

func (b *Balancer) workWith(line listedServer) {
	s := b.servers[line.Server]
	if s == nil {
		s = &server{
			Entry: line.Entry, upSince: line.processStart, rounding: b.rng.Float64(), openFor: openFirst,
			inOwnZone: line.Zone == b.settings.Zone,
		}
		b.servers[line.Server] = s
	}
	s.working = true
	b.subset = append(b.subset, s)
}

// complete tells whether the subset is large enough and has a second server in each zone that has
// one, where repeats are bound to zones. Cells are taken whole.
func (b *Balancer) complete() bool {
	zones := map[int]int{}
	for _, s := range b.subset {
		zones[s.Zone]++
	}
	missing := func(line listedServer) bool {
		return line.State == StateInService && int(line.position) >= b.feeders && zones[line.Zone] < 2
	}
	return len(b.subset) >= subsetLeast/2 &&
		!(b.hasZoneDedup && slices.ContainsFunc(b.serverList.Entries, missing))
}

// inUse counts the servers of the subset whose breaker is closed, and adds up the shares that they can bear.
func (b *Balancer) inUse(now time.Duration) (count int, capacity float64) {
	for _, s := range b.subset {
		if s.breaker == closed {
			count++
			capacity += b.coldShare(s.upSince, now)
		}
	}
	return count, capacity
}

// perFeeder scales a figure for a server that all nodes work with to one of the subset.
func (b *Balancer) perFeeder(figure float64) float64 {
	return figure * float64(b.settings.NodeCount) / float64(b.feeders)
}
