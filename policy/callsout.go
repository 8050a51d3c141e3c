package policy

import (
	"slices"
	"time"
)

// The calls to discovery that are out.

const (
	// callsOutMost bounds the calls that are out at once. Each holds a descriptor.
	maxCallsInFlight = 12

	// arrivalRate is how fast the bytes of an answer come in that is not late, in bytes a second. An answer to
	// another call would have as many.
	minArrivalBytesPerSecond = 256 << 10
)

// callOut is a call that has not ended.
type inFlightCall struct {
	id    CallID
	wait  time.Duration // that discovery was asked to wait for changes
	began time.Duration

	bytesReceived    int64         // of its answer have come,
	bytesAtLastCheck int64         // and had when it was last found not to be late
	lastCheckAt      time.Duration // or began to come in
}

// arrives tells whether enough of the answer has come in since it was looked at last.
func (c *inFlightCall) isArriving(now time.Duration) bool {
	return c.bytesReceived > c.bytesAtLastCheck && float64(c.bytesReceived-c.bytesAtLastCheck) >= minArrivalBytesPerSecond*(now-c.lastCheckAt).Seconds()
}

// CallProgress is told how many bytes of the answer to a call have come so far. It may be told now and then, as
// each further part of a long answer has come.
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

// answerArrives tells whether an answer is coming in, which another call would only delay.
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

// thinOut gives up one of the calls that are out: the one whose neighbours are the closest for their age.
// So calls of all ages stay out, and an answer comes however late discovery is.
func (b *Balancer) cancelDensestCall(now time.Duration) {
	inFlight := b.calls.inFlight
	densest, smallestGap := 1, 0.0
	for i := 1; i < len(inFlight)-1; i++ {
		relativeGap := float64(inFlight[i+1].began-inFlight[i-1].began) / float64(now-inFlight[i-1].began)
		if i == 1 || relativeGap < smallestGap {
			densest, smallestGap = i, relativeGap
		}
	}
	b.host.CancelCall(inFlight[densest].id)
	b.calls.inFlight = slices.Delete(inFlight, densest, densest+1)
}
