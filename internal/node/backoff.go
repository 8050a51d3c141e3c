package node

import (
	"context"
	"time"
)

// backoff gives the delays between attempts that fail in a row: they double from first
// up to most.
type backoff struct {
	initialDelay, maxDelay time.Duration
	lastDelay              time.Duration // the last one given; 0: none so far
}

// next gives the delay after one more failure.
func (b *backoff) next() time.Duration {
	b.lastDelay = min(max(2*b.lastDelay, b.initialDelay), b.maxDelay)
	return b.lastDelay
}

// reset is told of a success.
func (b *backoff) reset() { b.lastDelay = 0 }

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}
