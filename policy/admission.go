package policy

import "time"

const (
	loadSignalTarget          = 0.5  // of the stretched aim: the latency that thin nodes steer to
	loadSignalWindowAnswers   = 16   // answers that it is taken over,
	loadSignalWindowSeconds   = 2.0  // and seconds: few answers weigh more each,
	loadSignalMaxWeight       = 4.0  // but no more than so many
	admittedDecreasePerSecond = 16.0 // fall of the admitted share a second, for each unit of excess
	admittedIncreasePerSecond = 4.0  // and its growth, for each unit of slack
	minAdmittedShare          = 0.05 // stays admitted to see a recovery, yet lets choked servers rest
)

// thin tells that nodes outnumber servers: a fair bound in flight would be below one
// request a server here, too coarse to steer by, and one stuck attempt would use it up.
func (b *Balancer) nodesOutnumberServers() bool {
	return b.settings.NodeCount > b.serverList.inServiceCount
}

// admit is the load shedding of a thin node: it steers the share of its requests that go out so that answers
// take about half of their aim, and refuses the rest at once. What lies beyond a tenant's share goes first.
func (b *Balancer) admit(now time.Duration, overQuota bool) bool {
	b.updateAdmittedShare(now)
	if b.overQuotaShare -= b.overQuotaShare / 64; overQuota {
		b.overQuotaShare += 1.0 / 64
		return b.rng.Float64()*b.overQuotaShare < b.admittedShare-(1-b.overQuotaShare)
	}
	return b.rng.Float64()*(1-b.overQuotaShare) < b.admittedShare
}

// press takes an outcome into the pressure: its latency as a share of the aim, or the whole if it was
// late, turned away or timed out. More for a time-out kept the share of a node with few answers low.
func (b *Balancer) updateLoadSignal(now time.Duration, r *request, outcome Outcome) {
	ratio := outcome.Latency.Seconds() / r.class.fullLoadLatencySeconds
	if outcome.Status == Rejected || outcome.Status == Timeout {
		ratio = max(ratio, 1)
	}
	b.updateAdmittedShare(now)
	windowsElapsed := (now - b.loadSignalAt).Seconds() / loadSignalWindowSeconds
	b.loadSignalAt = now
	b.loadSignal += (min(ratio, 1) - b.loadSignal) * min(max(windowsElapsed, 1.0/loadSignalWindowAnswers), loadSignalMaxWeight/loadSignalWindowAnswers)
}

// pressureAhead takes the attempts that are out into the pressure: one that has been out for longer than
// the answers so far tells of a crowd before its own answer does, unless its server is silent.
func (b *Balancer) projectedLoadSignal(now time.Duration) float64 {
	signal := b.loadSignal
	for _, r := range b.activeRequests {
		if last := len(r.attempts) - 1; r.inFlight > 0 && !r.streaming && !r.attempts[last].unresponsive {
			ratio := (now - r.attempts[last].sentAt).Seconds() / r.class.fullLoadLatencySeconds
			signal += max(0, min(ratio, 1)-signal) * loadSignalMaxWeight / loadSignalWindowAnswers
		}
	}
	return signal
}

// adjust moves the admitted share: down in proportion to itself, up evenly.
func (b *Balancer) updateAdmittedShare(now time.Duration) {
	seconds := min((now - b.controlUpdatedAt).Seconds(), 0.5)
	b.controlUpdatedAt = now
	if excess := b.projectedLoadSignal(now)/loadSignalTarget - 1; excess > 0 {
		b.admittedShare /= 1 + admittedDecreasePerSecond*min(excess, 1)*seconds
	} else {
		b.admittedShare -= admittedIncreasePerSecond * excess * seconds
	}
	b.admittedShare = min(max(b.admittedShare, minAdmittedShare), 1)
}
