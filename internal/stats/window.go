// Package stats provides the running statistics of a load balancer: the latest outcomes of a server, means,
// decaying rates and token buckets. Callers pass the time, as an offset from any fixed moment.
package stats

import "time"

// windowSize is the maximum number of outcomes that a Window holds.
const windowSize = 100

type outcome struct {
	at      time.Duration
	success bool
	latency float64
}

// Window sums up the latest outcomes of a server, at most 100. The zero value is empty.
type Window struct {
	Count      int     // number of outcomes held
	Successes  int     // number of successes among the outcomes
	LatencySum float64 // sum of the latencies of the successes, in the unit of Add

	ring      [windowSize]outcome
	nextIndex int // index of the next outcome in ring
}

// Add adds an outcome. It replaces the oldest one if the window is full.
func (w *Window) Add(at time.Duration, success bool, latency float64) {
	if w.Count == windowSize {
		w.subtract(&w.ring[w.nextIndex])
	}
	w.ring[w.nextIndex] = outcome{at, success, latency}
	w.nextIndex = (w.nextIndex + 1) % windowSize
	w.Count++
	if success {
		w.Successes++
		w.LatencySum += latency
	}
}

// Expire removes the outcomes at or before a time.
func (w *Window) Expire(until time.Duration) {
	for w.Count > 0 {
		oldest := &w.ring[(w.nextIndex+windowSize-w.Count)%windowSize]
		if oldest.at > until {
			return
		}
		w.subtract(oldest)
	}
}

// subtract takes an outcome out of the counts and the sum.
func (w *Window) subtract(removed *outcome) {
	w.Count--
	if removed.success {
		w.Successes--
		w.LatencySum -= removed.latency
	}
}
