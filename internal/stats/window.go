// Package stats has the running statistics that a load balancer keeps: the latest outcomes of a
// server and decaying rates. Time is passed in, as an offset from any fixed moment.
package stats

import "time"

// windowSize is how many outcomes a Window holds at most.
const windowSize = 100

type outcome struct {
	at      time.Duration
	success bool
	latency float64
}

// Window sums up the latest outcomes of a server, 100 at most. The zero value is empty.
type Window struct {
	Count      int     // outcomes held
	Successes  int     // of these
	LatencySum float64 // of the successes, in the unit of Add

	ring      [windowSize]outcome
	nextIndex int // place of the next outcome in ring
}

// Add takes in an outcome, which takes the place of the oldest one where the window is full.
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

// Expire drops the outcomes from before a time or at it.
func (w *Window) Expire(until time.Duration) {
	for w.Count > 0 {
		oldest := &w.ring[(w.nextIndex+windowSize-w.Count)%windowSize]
		if oldest.at > until {
			return
		}
		w.subtract(oldest)
	}
}

func (w *Window) subtract(removed *outcome) {
	w.Count--
	if removed.success {
		w.Successes--
		w.LatencySum -= removed.latency
	}
}
