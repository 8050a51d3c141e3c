package policy

import "time"

const (
	// loadSignalTarget is the load signal that admission control aims for: a mean latency of answers
	// of this share of class.fullLoadLatencySeconds.
	loadSignalTarget = 0.5

	// The load signal is a moving average over loadSignalWindowAnswers answers or over
	// loadSignalWindowSeconds, whichever is shorter: where answers are few, each has more weight, up to
	// the weight of loadSignalMaxWeight answers.
	loadSignalWindowAnswers = 16
	loadSignalWindowSeconds = 2.0
	loadSignalMaxWeight     = 4.0

	// admittedDecreasePerSecond is the relative decrease of the admitted share per second, for a load
	// signal of twice its target.
	admittedDecreasePerSecond = 16.0
	// admittedIncreasePerSecond is the absolute increase of the admitted share per second, for a load
	// signal of 0.
	admittedIncreasePerSecond = 4.0
	// minAdmittedShare is the lowest admitted share. It is large enough to show when servers have recovered,
	// and small enough to leave overloaded servers nearly idle, without which they do not recover.
	minAdmittedShare = 0.05
)

// nodesOutnumberServers reports whether the fleet has more nodes than servers in service. Then a fair limit
// on requests in flight would be below one per server and node, which is too coarse to control the load, and
// one unanswered attempt would use it up. Such nodes use admission control in place of the concurrency limit.
func (b *Balancer) nodesOutnumberServers() bool {
	return b.settings.NodeCount > b.serverList.inServiceCount
}

// admit is the admission control of a node in a fleet whose nodes outnumber its servers. It reports whether
// a new request is admitted; the others are refused at once. It adjusts the admitted share of requests so
// that the load signal stays near loadSignalTarget, and refuses requests over their tenant's quota first.
func (b *Balancer) admit(now time.Duration, overQuota bool) bool {
	b.updateAdmittedShare(now)
	if b.overQuotaShare -= b.overQuotaShare / 64; overQuota {
		b.overQuotaShare += 1.0 / 64
		return b.rng.Float64()*b.overQuotaShare < b.admittedShare-(1-b.overQuotaShare)
	}
	return b.rng.Float64()*(1-b.overQuotaShare) < b.admittedShare
}

// updateLoadSignal adds an outcome to the load signal: its latency as a share of the full-load latency, or 1
// if it was late, rejected or timed out. A time-out that counted more would keep the admitted share of a node
// with few answers low.
func (b *Balancer) updateLoadSignal(now time.Duration, r *request, outcome Outcome) {
	ratio := outcome.Latency.Seconds() / r.class.fullLoadLatencySeconds
	if outcome.Status == Rejected || outcome.Status == Timeout {
		ratio = max(ratio, 1)
	}
	b.updateAdmittedShare(now)
	windowsElapsed := (now - b.loadSignalAt).Seconds() / loadSignalWindowSeconds
	b.loadSignalAt = now
	b.loadSignal += (min(ratio, 1) - b.loadSignal) *
		min(max(windowsElapsed, 1.0/loadSignalWindowAnswers), loadSignalMaxWeight/loadSignalWindowAnswers)
}

// projectedLoadSignal returns the load signal with the attempts in flight included: one that has been in
// flight for longer than recent answers took shows an overload before its own answer does, unless its server
// is unresponsive.
func (b *Balancer) projectedLoadSignal(now time.Duration) float64 {
	signal := b.loadSignal
	for _, r := range b.activeRequests {
		if last := len(r.attempts) - 1; r.attemptsInFlight > 0 && !r.streaming && !r.attempts[last].unresponsive {
			ratio := (now - r.attempts[last].sentAt).Seconds() / r.class.fullLoadLatencySeconds
			signal += max(0, min(ratio, 1)-signal) * loadSignalMaxWeight / loadSignalWindowAnswers
		}
	}
	return signal
}

// updateAdmittedShare decreases the admitted share multiplicatively while the load signal is over its target,
// and increases it additively while the signal is under it.
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
