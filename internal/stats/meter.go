package stats

import "time"

// meterTimeConstantSeconds is the time constant of a Meter.
const meterTimeConstantSeconds = 2.0

// Meter measures a rate. Past amounts decay about exponentially with a time constant of 2 s. The zero value
// has a rate of 0.
type Meter struct {
	updatedAt    time.Duration
	rateAtUpdate float64
}

// Add adds an amount. The time must not be earlier than that of the call before.
func (m *Meter) Add(now time.Duration, amount float64) {
	m.rateAtUpdate = m.PerSecond(now) + amount/meterTimeConstantSeconds
	m.updatedAt = now
}

// PerSecond returns the recent rate, in amounts per second.
func (m *Meter) PerSecond(now time.Duration) float64 {
	elapsed := (now - m.updatedAt).Seconds() / meterTimeConstantSeconds
	return m.rateAtUpdate / (1 + elapsed + elapsed*elapsed/2) // the divisor approximates exp(elapsed)
}
