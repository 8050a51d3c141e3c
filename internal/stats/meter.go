package stats

import "time"

// meterSpan is the time constant of a Meter in seconds.
const meterTimeConstantSeconds = 2.0

// Meter is a rate that decays about exponentially with a time constant of 2 s. The zero value is 0.
type Meter struct {
	updatedAt    time.Duration
	rateAtUpdate float64
}

// Add takes in an amount at a time no earlier than those before.
func (m *Meter) Add(now time.Duration, amount float64) {
	m.rateAtUpdate = m.PerSecond(now) + amount/meterTimeConstantSeconds
	m.updatedAt = now
}

// PerSecond gives the rate of late, in amounts per second.
func (m *Meter) PerSecond(now time.Duration) float64 {
	elapsed := (now - m.updatedAt).Seconds() / meterTimeConstantSeconds
	return m.rateAtUpdate / (1 + elapsed + elapsed*elapsed/2) // close to exp(-elapsed)
}
