package policy

import "time"

const (
	pressureAim  = 0.5  // of the stretched aim: the latency that thin nodes steer to
	pressureOver = 16   // answers that it is taken over,
	pressureFor  = 2.0  // and seconds: few answers weigh more each,
	pressureMost = 4.0  // but no more than so many
	shedRate     = 16.0 // fall of the admitted share a second, for each unit of excess
	admitRate    = 4.0  // and its growth, for each unit of slack
	admitLeast   = 0.05 // stays admitted to see a recovery, yet lets choked servers rest
)

// thin tells that nodes outnumber servers: a fair bound in flight would be below one
// request a server here, too coarse to steer by, and one stuck attempt would use it up.
func (b *Balancer) thin() bool { return b.settings.NodeCount > b.serverList.inServiceCount }

// admit is the load shedding of a thin node: it steers the share of its requests that go out so that answers
// take about half of their aim, and refuses the rest at once. What lies beyond a tenant's share goes first.
func (b *Balancer) admit(now time.Duration, over bool) bool {
	b.adjust(now)
	if b.overPart -= b.overPart / 64; over {
		b.overPart += 1.0 / 64
		return b.rng.Float64()*b.overPart < b.admitted-(1-b.overPart)
	}
	return b.rng.Float64()*(1-b.overPart) < b.admitted
}

// press takes an outcome into the pressure: its latency as a share of the aim, or the whole if it was
// late, turned away or timed out. More for a time-out kept the share of a node with few answers low.
func (b *Balancer) press(now time.Duration, r *request, o Outcome) {
	ratio := o.Latency.Seconds() / r.class.patience
	if o.Status == Rejected || o.Status == Timeout {
		ratio = max(ratio, 1)
	}
	b.adjust(now)
	since := (now - b.pressedAt).Seconds() / pressureFor
	b.pressedAt = now
	b.pressure += (min(ratio, 1) - b.pressure) * min(max(since, 1.0/pressureOver), pressureMost/pressureOver)
}

// pressureAhead takes the attempts that are out into the pressure: one that has been out for longer than
// the answers so far tells of a crowd before its own answer does, unless its server is silent.
func (b *Balancer) pressureAhead(now time.Duration) float64 {
	pressure := b.pressure
	for _, r := range b.activeRequests {
		if last := len(r.attempts) - 1; r.inFlight > 0 && !r.streaming && !r.attempts[last].unresponsive {
			ratio := (now - r.attempts[last].sentAt).Seconds() / r.class.patience
			pressure += max(0, min(ratio, 1)-pressure) * pressureMost / pressureOver
		}
	}
	return pressure
}

// adjust moves the admitted share: down in proportion to itself, up evenly.
func (b *Balancer) adjust(now time.Duration) {
	seconds := min((now - b.steered).Seconds(), 0.5)
	b.steered = now
	if excess := b.pressureAhead(now)/pressureAim - 1; excess > 0 {
		b.admitted /= 1 + shedRate*min(excess, 1)*seconds
	} else {
		b.admitted -= admitRate * excess * seconds
	}
	b.admitted = min(max(b.admitted, admitLeast), 1)
}
