package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// minSubsetSize is the least number of servers in a subset of a large list.
	minSubsetSize = 16
	// minNodesPerServer is the least number of nodes of a large fleet that have a server in their subset.
	// The differences between the loads of so many nodes even out.
	minNodesPerServer = 32
	// subsetResizeRatio is the factor by which the size of a subset has to be off before it is resized,
	// and by which a subset is widened in each step.
	subsetResizeRatio = 1.25
	// minUsableSubsetShare is the share of its target size that a subset needs in servers with closed
	// breakers, counted by capacity share; one with less is widened.
	minUsableSubsetShare = 1.0 / 3
	// maxSubsetWidening is the factor from which on a subset is widened no further because its servers fail.
	maxSubsetWidening = 4
)

// resizeSubsetByLoad sizes the subset by this node's load, once in each outcomeWindow: each server should get
// enough attempts in that time for its breaker to open if they all fail.
func (b *Balancer) resizeSubsetByLoad(now time.Duration) {
	elapsed := now - b.subsetSizeCheckedAt
	if elapsed < outcomeWindow {
		return
	}
	targetSize := max(minSubsetSize,
		float64(b.attemptsSinceSizeCheck)/failuresToOpen*outcomeWindow.Seconds()/elapsed.Seconds())
	b.subsetSizeCheckedAt, b.attemptsSinceSizeCheck = now, 0
	if targetSize > subsetResizeRatio*b.targetSubsetSize || 2*targetSize < b.targetSubsetSize ||
		b.nodesPerServer > b.baseNodesPerServer {
		b.targetSubsetSize = targetSize
		b.chooseSubset(now)
	}
}

// chooseSubset selects the servers that this node sends requests to (deterministic subsetting). A node that used
// all servers of a large list would send to each too rarely to learn anything about it. Each server orders all
// nodes by its ID alone, or by its cell where repeats are bound to cells, and is in the subsets of the first
// nodesPerServer of them. So every server is in equally many subsets, a list change moves the nodes of no other
// server, and a restarted node has the same subset as before. The subset is widened where a zone that repeats
// are bound to has no second server in it, or where too few of its servers are usable; the latter within
// bounds, so that in a fleet whose servers all fail no node tries all of them.
func (b *Balancer) chooseSubset(now time.Duration) {
	if b.needsSubsetResize() {
		b.baseNodesPerServer = b.targetNodesPerServer()
	}
	b.nodesPerServer = b.baseNodesPerServer
	for b.fillSubset(); b.nodesPerServer < b.settings.NodeCount; b.fillSubset() {
		_, capacity := b.closedBreakerTotals(now)
		if b.isSubsetComplete() && (b.nodesPerServer >= maxSubsetWidening*b.baseNodesPerServer ||
			capacity >= minUsableSubsetShare*b.targetSubsetSize) {
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

// needsSubsetResize reports whether the load or the list has changed so much that the size of the subset is off
// by subsetResizeRatio or more.
func (b *Balancer) needsSubsetResize() bool {
	ratio := float64(b.targetNodesPerServer()) / float64(b.baseNodesPerServer)
	return ratio >= subsetResizeRatio || ratio <= 1/subsetResizeRatio
}

// targetNodesPerServer returns the number of nodes that each server would have if the subsets of all nodes were
// of this node's target size.
func (b *Balancer) targetNodesPerServer() int {
	nodes := float64(b.settings.NodeCount)
	return int(min(math.Ceil(max(
		nodes*b.targetSubsetSize/max(1, float64(b.serverList.inServiceCount)), minNodesPerServer)), nodes))
}

// fillSubset fills the subset with the servers in service that have this node among their first nodesPerServer
// nodes.
func (b *Balancer) fillSubset() {
	for _, s := range b.subset {
		s.inSubset = false
	}
	b.subset = slices.Delete(b.subset, 0, len(b.subset))
	for i := range b.serverList.Entries {
		if listed := &b.serverList.Entries[i]; listed.State == StateInService &&
			int(listed.position) < b.nodesPerServer {
			b.addToSubset(*listed)
		}
	}
}

// addToSubset adds a listed server to the subset, without measurements if the node has none of it.
func (b *Balancer) addToSubset(listed listedServer) {
	s := b.servers[listed.Server]
	if s == nil {
		s = &server{
			Entry: listed.Entry, processStart: listed.processStart, randomOffset: b.rng.Float64(),
			openDuration: initialOpenDuration, inOwnZone: listed.Zone == b.settings.Zone,
		}
		b.servers[listed.Server] = s
	}
	s.inSubset = true
	b.subset = append(b.subset, s)
}

// isSubsetComplete reports whether the subset is large enough and, where repeats are bound to zones, has a
// second server in each zone that has one. Where repeats are bound to cells, a cell's servers are all in the
// subset or all outside it.
func (b *Balancer) isSubsetComplete() bool {
	serversByZone := map[int]int{}
	for _, s := range b.subset {
		serversByZone[s.Zone]++
	}
	isMissing := func(listed listedServer) bool {
		return listed.State == StateInService && int(listed.position) >= b.nodesPerServer &&
			serversByZone[listed.Zone] < 2
	}
	return len(b.subset) >= minSubsetSize/2 &&
		!(b.hasZoneDedup && slices.ContainsFunc(b.serverList.Entries, isMissing))
}

// closedBreakerTotals returns the number of servers of the subset whose breaker is closed, and the sum of their
// capacity shares.
func (b *Balancer) closedBreakerTotals(now time.Duration) (count int, capacity float64) {
	for _, s := range b.subset {
		if s.breaker == closed {
			count++
			capacity += b.capacityShare(s.processStart, now)
		}
	}
	return count, capacity
}

// perSubsetServer converts a number per server that holds for a node which uses all servers to the number per
// server of this node's subset.
func (b *Balancer) perSubsetServer(perServer float64) float64 {
	return perServer * float64(b.settings.NodeCount) / float64(b.nodesPerServer)
}
