package policy

import "time"

const (
	// coldBudgetSafety is the share of Rules.OverloadMultiple that cold servers are sent. Where nodes
	// outnumber servers it may be up to twice as much, see coldBudgetCovers.
	coldBudgetSafety = 0.75
	// maxStartReportDelay is the longest time from a server's start until discovery reports it.
	maxStartReportDelay = 10 * time.Second
	// meanCapacityShareUpdates is the number of times that the mean capacity share is recomputed in the time
	// for which a server is cold.
	meanCapacityShareUpdates = 64
)

// estimateProcessStart returns the start of a server's process by this node's clock, or 0 if it is long past. A
// list gives the start by a wall clock, which may have been stepped since this node read its own. The estimate
// therefore does not lie in the future, and a start that comes as a change lies after the last answer from
// discovery, less maxStartReportDelay. The estimate for a process is made once.
func (b *Balancer) estimateProcessStart(now time.Duration, kind ListKind, entry Entry) time.Duration {
	if s := b.servers[entry.Server]; s != nil && s.StartedAt == entry.StartedAt {
		return s.processStart
	}
	if listed, isListed := b.serverList.Get(entry.Server); isListed && listed.StartedAt == entry.StartedAt {
		return listed.processStart
	}
	if entry.StartedAt <= 0 {
		return 0
	}
	earliest := time.Duration(0)
	if kind == ListChanges && b.calls.answeredAt > 0 {
		earliest = b.calls.answeredAt - maxStartReportDelay
	}
	return min(max(entry.StartedAt, earliest), now)
}

// capacityShare returns the share of its warm capacity that a server has at least: it rises linearly from
// Rules.ColdCapacityShare at the start of its process to 1 after Rules.ColdDuration.
func (b *Balancer) capacityShare(processStart, now time.Duration) float64 {
	age := max(0, now-processStart)
	if processStart <= 0 || age >= b.settings.Rules.ColdDuration {
		return 1
	}
	from := b.settings.Rules.ColdCapacityShare
	return from + (1-from)*age.Seconds()/b.settings.Rules.ColdDuration.Seconds()
}

// meanCapacityShare returns the mean capacity share of all servers in service, not of the subset alone: a node
// whose subset is colder than the fleet must not send more to its servers because of that.
func (b *Balancer) meanCapacityShare(now time.Duration) float64 {
	list := &b.serverList
	if now >= list.latestProcessStart+b.settings.Rules.ColdDuration {
		return 1
	}
	if list.meanCapacityShareAt < 0 ||
		now-list.meanCapacityShareAt >= b.settings.Rules.ColdDuration/meanCapacityShareUpdates {
		sum := 0.0
		for i := range list.Entries {
			if list.Entries[i].State == StateInService {
				sum += b.capacityShare(list.Entries[i].processStart, now)
			}
		}
		list.meanCapacityShareAt, list.meanCapacityShare = now, sum/float64(max(1, list.inServiceCount))
	}
	return list.meanCapacityShare
}

// coldBudgetCovers reports whether a server may be sent a request with this work, in seconds; a warm server
// always may. A node does not see what others send, so it keeps to its own part of what a cold server can do:
// the work that a warm server of this weight gets from it (the smaller of what warm servers are sent and of an
// equal split of the demand), scaled by the capacity share and by the multiple of its capacity that overloads a
// server. This budget accumulates, from a random start, until it covers a whole request: hundreds of nodes that
// each sent just one request at once would overload the server.
func (b *Balancer) coldBudgetCovers(s *server, now time.Duration, workSeconds float64) bool {
	share := b.capacityShare(s.processStart, now)
	if share >= 1 {
		return true
	}
	warmServerWorkPerSecond := b.demand.PerSecond(now) / float64(len(b.subset))
	if b.nodesOutnumberServers() {
		warmServerWorkPerSecond = b.demand.PerSecond(now) * b.admittedShare /
			max(b.meanCapacityShare(now)*float64(len(b.subset)), share, 1e-9)
	} else if b.warmServerCount > 0 {
		warmServerWorkPerSecond = min(warmServerWorkPerSecond, b.warmWorkPerSecond/float64(b.warmServerCount))
	}
	if b.meanWeight > 0 && s.Weight > 0 {
		warmServerWorkPerSecond *= s.Weight / b.meanWeight
	}
	if s.coldBudgetAt == 0 {
		s.coldBudgetAt, s.coldBudgetSeconds = now, s.randomOffset*workSeconds
	}
	budgetPerSecond := warmServerWorkPerSecond * b.settings.Rules.OverloadMultiple * share * coldBudgetSafety
	if b.nodesOutnumberServers() {
		// The budget is up to twice as large where few whole requests fit into the window, so that it does
		// not go unused; the draw by capacity share keeps the mean.
		sendsPerWindow := 2.5 * budgetPerSecond * b.settings.Rules.OverloadDuration.Seconds() / workSeconds
		budgetPerSecond *= 1 + 1/(1+sendsPerWindow*sendsPerWindow)
	}
	maxBudgetSeconds := max(6*workSeconds, budgetPerSecond*b.settings.Rules.OverloadDuration.Seconds())
	s.coldBudgetSeconds = min(s.coldBudgetSeconds+budgetPerSecond*(now-s.coldBudgetAt).Seconds(), maxBudgetSeconds)
	s.coldBudgetAt = now
	return s.coldBudgetSeconds >= workSeconds
}
