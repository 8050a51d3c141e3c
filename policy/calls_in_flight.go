package policy

import (
	"slices"
	"time"
)

// Calls to discovery that are in flight, and how much of their answers has arrived.

const (
	// maxCallsInFlight limits the calls in flight. Each of them holds a file descriptor.
	maxCallsInFlight = 12

	// minArrivalBytesPerSecond is the rate at which an answer has to arrive so that no other call begins beside
	// the late one. The answer to another call would be as long.
	minArrivalBytesPerSecond = 256 << 10
)

// inFlightCall is a call that has not ended.
type inFlightCall struct {
	id             CallID
	waitForChanges time.Duration // time that discovery was asked to wait for changes
	beganAt        time.Duration

	bytesReceived    int64         // bytes of the answer that have arrived
	bytesAtLastCheck int64         // bytesReceived when the answer was last found to be arriving
	lastCheckAt      time.Duration // time of that check; before it, time of the first bytes
}

// isArriving reports whether enough of the answer has arrived since the last check.
func (c *inFlightCall) isArriving(now time.Duration) bool {
	return c.bytesReceived > c.bytesAtLastCheck &&
		float64(c.bytesReceived-c.bytesAtLastCheck) >= minArrivalBytesPerSecond*(now-c.lastCheckAt).Seconds()
}

// CallProgress reports to the Balancer how many bytes of the answer to a call have arrived so far. The host may
// call it from time to time while a long answer arrives.
func (b *Balancer) CallProgress(now time.Duration, id CallID, bytes int64) {
	i := slices.IndexFunc(b.calls.inFlight, func(c inFlightCall) bool { return c.id == id })
	if i < 0 {
		return
	}
	call := &b.calls.inFlight[i]
	if call.lastCheckAt == 0 {
		call.lastCheckAt = now
	}
	call.bytesReceived = bytes
}

// isAnswerArriving reports whether an answer is arriving, which another call would only delay. The next check
// counts the bytes from this one on.
func (b *Balancer) isAnswerArriving(now time.Duration) bool {
	isArriving := false
	for i := range b.calls.inFlight {
		if call := &b.calls.inFlight[i]; call.isArriving(now) {
			call.bytesAtLastCheck, call.lastCheckAt = call.bytesReceived, now
			isArriving = true
		}
	}
	return isArriving
}

// cancelDensestCall cancels one of the calls in flight: the one whose neighbours began the closest together in
// relation to their age. So calls of all ages stay in flight, and an answer arrives however late discovery is.
func (b *Balancer) cancelDensestCall(now time.Duration) {
	inFlight := b.calls.inFlight
	densest, smallestGap := 1, 0.0
	for i := 1; i < len(inFlight)-1; i++ {
		relativeGap := float64(inFlight[i+1].beganAt-inFlight[i-1].beganAt) / float64(now-inFlight[i-1].beganAt)
		if i == 1 || relativeGap < smallestGap {
			densest, smallestGap = i, relativeGap
		}
	}
	b.host.CancelCall(inFlight[densest].id)
	b.calls.inFlight = slices.Delete(inFlight, densest, densest+1)
}
