package node

import (
	"context"
	"time"
)

// backoff gives the delays between consecutive failures. They double from initialDelay up to maxDelay.
type backoff struct {
	initialDelay, maxDelay time.Duration
	lastDelay              time.Duration // latest delay; 0: no failure since the start or a reset
}

// next returns the delay after another failure.
func (b *backoff) next() time.Duration {
	b.lastDelay = min(max(2*b.lastDelay, b.initialDelay), b.maxDelay)
	return b.lastDelay
}

// reset starts again from the initial delay, after a success.
func (b *backoff) reset() { b.lastDelay = 0 }

// sleep waits for the delay or until ctx ends.
func sleep(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}
