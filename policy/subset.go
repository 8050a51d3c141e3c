package policy

import (
	"math"
	"slices"
	"time"
)

const (
	minSubsetSize        = 16   // servers that a node works with at least,
	minNodesPerServer    = 32   // and nodes that work with a server: the uneven loads of nodes even out
	subsetResizeRatio    = 1.25 // a subset is left as it is while its size is off by less than this
	minUsableSubsetShare = 1.0 / 3
	maxSubsetWidening    = 4 // times as many nodes a server at most where too much of a subset fails
)

// countSends sizes the subset by this node's load once in outcomesFor: each server should be sent
// enough for its breaker to open by what is remembered of it.
func (b *Balancer) resizeSubsetByLoad(now time.Duration) {
	elapsed := now - b.resizedAt
	if elapsed < outcomeWindow {
		return
	}
	targetSize := max(minSubsetSize, float64(b.attemptsSinceResize)/failuresToOpen*outcomeWindow.Seconds()/elapsed.Seconds())
	b.resizedAt, b.attemptsSinceResize = now, 0
	if targetSize > subsetResizeRatio*b.targetSubsetSize || 2*targetSize < b.targetSubsetSize || b.nodesPerServer > b.baseNodesPerServer {
		b.targetSubsetSize = targetSize
		b.chooseSubset(now)
	}
}

// choose selects the servers that this node works with: one that worked with all of a large fleet would
// meet each too seldom to learn anything of it. They are those that have this node among the first in an
// order of all nodes that the server's id alone decides, so that each server has as many nodes, a change
// of the list moves no other server's nodes and a restarted node works with the same. Where a zone that
// repeats are bound to has no second server among them, or little of them can be used, it takes more; the
// latter within bounds, so that a fleet whose servers all fail is not met whole by each node.
func (b *Balancer) chooseSubset(now time.Duration) {
	if b.needsSubsetResize() {
		b.baseNodesPerServer = b.targetNodesPerServer()
	}
	b.nodesPerServer = b.baseNodesPerServer
	for b.fillSubset(); b.nodesPerServer < b.settings.NodeCount; b.fillSubset() {
		_, capacity := b.closedServers(now)
		if b.isSubsetComplete() && (b.nodesPerServer >= maxSubsetWidening*b.baseNodesPerServer || capacity >= minUsableSubsetShare*b.targetSubsetSize) {
			break
		}
		b.nodesPerServer = min(int(math.Ceil(subsetResizeRatio*float64(b.nodesPerServer))), b.settings.NodeCount)
	}
	for id, s := range b.servers {
		if !s.inSubset && len(s.inFlight) == 0 && (s.State == StateGone || b.capacityShare(s.processStart, now) >= 1) {
			delete(b.servers, id)
		}
	}
}

// drifted tells that the subset's size is off by much, for its load or the list have changed.
func (b *Balancer) needsSubsetResize() bool {
	ratio := float64(b.targetNodesPerServer()) / float64(b.baseNodesPerServer)
	return ratio >= subsetResizeRatio || ratio <= 1/subsetResizeRatio
}

// feedersWanted gives the nodes that work with each server where each node works with as many as this one.
func (b *Balancer) targetNodesPerServer() int {
	nodes := float64(b.settings.NodeCount)
	return int(min(math.Ceil(max(nodes*b.targetSubsetSize/max(1, float64(b.serverList.inServiceCount)), minNodesPerServer)), nodes))
}

// work makes the ready servers that have this node among their first nodes the subset.
func (b *Balancer) fillSubset() {
	for _, s := range b.subset {
		s.inSubset = false
	}
	b.subset = slices.Delete(b.subset, 0, len(b.subset))
	for i := range b.serverList.Entries {
		if listed := &b.serverList.Entries[i]; listed.State == StateInService && int(listed.position) < b.nodesPerServer {
			b.addToSubset(*listed)
		}
	}
}

func (b *Balancer) addToSubset(listed listedServer) {
	s := b.servers[listed.Server]
	if s == nil {
		s = &server{
			Entry: listed.Entry, processStart: listed.processStart, roundingOffset: b.rng.Float64(), openDuration: initialOpenDuration,
			inOwnZone: listed.Zone == b.settings.Zone,
		}
		b.servers[listed.Server] = s
	}
	s.inSubset = true
	b.subset = append(b.subset, s)
}

// complete tells whether the subset is large enough and has a second server in each zone that has
// one, where repeats are bound to zones. Cells are taken whole.
func (b *Balancer) isSubsetComplete() bool {
	serversByZone := map[int]int{}
	for _, s := range b.subset {
		serversByZone[s.Zone]++
	}
	isMissing := func(listed listedServer) bool {
		return listed.State == StateInService && int(listed.position) >= b.nodesPerServer && serversByZone[listed.Zone] < 2
	}
	return len(b.subset) >= minSubsetSize/2 &&
		!(b.hasZoneDedup && slices.ContainsFunc(b.serverList.Entries, isMissing))
}

// inUse counts the servers of the subset whose breaker is closed, and adds up the shares that they can bear.
func (b *Balancer) closedServers(now time.Duration) (count int, capacity float64) {
	for _, s := range b.subset {
		if s.breaker == closed {
			count++
			capacity += b.capacityShare(s.processStart, now)
		}
	}
	return count, capacity
}

// perFeeder scales a figure for a server that all nodes work with to one of the subset.
func (b *Balancer) perSubsetServer(perServer float64) float64 {
	return perServer * float64(b.settings.NodeCount) / float64(b.nodesPerServer)
}
