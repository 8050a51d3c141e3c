package policy

import "time"

const (
	coldBudgetSafety         = 0.75             // of the multiple that pushes cold servers over; thin: twice
	maxStartReportDelay      = 10 * time.Second // discovery knows of a start after this at most
	meanCapacityShareUpdates = 64               // times in the time that servers are cold, the cold share of all is summed up anew
)

// upSince dates the start of a server's process by this node's clock. A list tells it by a wall clock,
// which may have been stepped since this node read its own: a start does not lie ahead, and one that is
// news lies after the last answer, less the time that discovery may take to learn of it. A process is
// dated once.
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

// coldShare is the share of its capacity that a server has at least.
func (b *Balancer) capacityShare(processStart, now time.Duration) float64 {
	age := max(0, now-processStart)
	if processStart <= 0 || age >= b.settings.Rules.ColdDuration {
		return 1
	}
	from := b.settings.Rules.ColdCapacityShare
	return from + (1-from)*age.Seconds()/b.settings.Rules.ColdDuration.Seconds()
}

// meanShare is the share of its capacity that a ready server has, over all that are listed: a node
// whose subset is colder than the rest must not send it more for that.
func (b *Balancer) meanCapacityShare(now time.Duration) float64 {
	list := &b.serverList
	if now >= list.latestProcessStart+b.settings.Rules.ColdDuration {
		return 1
	}
	if list.meanShareAt < 0 || now-list.meanShareAt >= b.settings.Rules.ColdDuration/meanCapacityShareUpdates {
		sum := 0.0
		for i := range list.Entries {
			if list.Entries[i].State == StateInService {
				sum += b.capacityShare(list.Entries[i].processStart, now)
			}
		}
		list.meanShareAt, list.meanCapacityShare = now, sum/float64(max(1, list.inServiceCount))
	}
	return list.meanCapacityShare
}

// coldBudget tells whether a cold server can bear this work too. This node cannot see the others, so
// it keeps to its own part: what a warm server of this size gets from it (the smaller of what warm peers
// are sent and of an equal split of all that is asked for), scaled by the cold share and the multiple
// that makes a server fall over. The part is saved up, from a random start, until a request is covered
// whole: hundreds of nodes that each sent just one at once would push the server over.
func (b *Balancer) coldBudgetCovers(s *server, now time.Duration, work float64) bool {
	share := b.capacityShare(s.processStart, now)
	if share >= 1 {
		return true
	}
	warmServerWorkPerSecond := b.demand.PerSecond(now) / float64(len(b.subset))
	if b.nodesOutnumberServers() {
		warmServerWorkPerSecond = b.demand.PerSecond(now) * b.admittedShare / max(b.meanCapacityShare(now)*float64(len(b.subset)), share, 1e-9)
	} else if b.warmServers > 0 {
		warmServerWorkPerSecond = min(warmServerWorkPerSecond, b.warmWorkPerSecond/float64(b.warmServers))
	}
	if b.meanWeight > 0 && s.Weight > 0 {
		warmServerWorkPerSecond *= s.Weight / b.meanWeight
	}
	if s.coldBudgetAt == 0 {
		s.coldBudgetAt, s.coldBudgetSeconds = now, s.roundingOffset*work
	}
	budgetPerSecond := warmServerWorkPerSecond * b.settings.Rules.OverloadMultiple * share * coldBudgetSafety
	if b.nodesOutnumberServers() { // up to twice where whole requests seldom fit in; the draw by cold share keeps the mean
		sendsPerWindow := 2.5 * budgetPerSecond * b.settings.Rules.OverloadDuration.Seconds() / work
		budgetPerSecond *= 1 + 1/(1+sendsPerWindow*sendsPerWindow)
	}
	maxSaved := max(6*work, budgetPerSecond*b.settings.Rules.OverloadDuration.Seconds())
	s.coldBudgetSeconds = min(s.coldBudgetSeconds+budgetPerSecond*(now-s.coldBudgetAt).Seconds(), maxSaved)
	s.coldBudgetAt = now
	return s.coldBudgetSeconds >= work
}
