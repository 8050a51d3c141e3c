// Package budget bounds the memory that messages take, by counting it before it is allocated.
package budget

import (
	"container/list"
	"context"
	"errors"
	"sync"
)

// ErrExhausted is the error of a call for memory behind calls that wait for as much as a priority may have.
var ErrExhausted = errors.New("budget exhausted")

// Priority decides how much of a budget a reservation may take, and who is served first when memory is returned.
type Priority int

const (
	// Intake is memory for requests that are being received. It may take up to three quarters of a budget, so that
	// requests that were received can still be answered.
	Intake Priority = iota
	// Answer is memory for answers. It may take all of a budget and is served before Intake.
	Answer
	priorityCount
)

// Budget is a number of bytes that reservations share. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	limits  [priorityCount]int64     // bytes up to which each priority may use the budget
	used    int64                    // bytes that are reserved
	wanted  [priorityCount]int64     // bytes that the waiters of each priority wait for
	waiters [priorityCount]list.List // *waiter, in the order of their arrival
}

// waiter is a call of reserve that waits for memory.
type waiter struct {
	bytes   int64
	granted chan struct{} // closed when the bytes are reserved
}

// New returns a budget of a number of bytes.
func New(bytes int64) *Budget {
	return &Budget{limits: [priorityCount]int64{Intake: bytes / 4 * 3, Answer: bytes}}
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Wanted returns the number of bytes that calls with a priority wait for.
func (b *Budget) Wanted(priority Priority) (bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wanted[priority]
}

// tryReserve reserves bytes if they are free and no call with the same or a higher priority waits.
func (b *Budget) tryReserve(bytes int64, priority Priority) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryReserveLocked(bytes, priority)
}

// tryReserveLocked is tryReserve for callers that hold the lock.
func (b *Budget) tryReserveLocked(bytes int64, priority Priority) bool {
	for p := priority; p < priorityCount; p++ {
		if b.waiters[p].Len() > 0 {
			return false
		}
	}
	if b.used+bytes > b.limits[priority] {
		return false
	}
	b.used += bytes
	return true
}

// reserve reserves bytes, and waits for them until ctx ends. It returns the error of ctx, ErrExhausted or nil.
func (b *Budget) reserve(ctx context.Context, bytes int64, priority Priority) error {
	b.mu.Lock()
	if b.tryReserveLocked(bytes, priority) {
		b.mu.Unlock()
		return nil
	}
	if b.wanted[priority]+bytes > b.limits[priority] {
		b.mu.Unlock()
		return ErrExhausted
	}
	b.wanted[priority] += bytes
	w := &waiter{bytes: bytes, granted: make(chan struct{})}
	element := b.waiters[priority].PushBack(w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted: // granted just before the lock was taken
		return nil
	default:
	}
	b.waiters[priority].Remove(element)
	b.wanted[priority] -= bytes
	b.grantWaiters() // those behind it may need less
	return ctx.Err()
}

// force reserves bytes whether or not they are free. It is for bytes that were read before they could be counted.
func (b *Budget) force(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += bytes
}

// release returns bytes to the budget.
func (b *Budget) release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	b.grantWaiters()
}

// grantWaiters reserves bytes for those who wait, the highest priority first and in the order of their arrival. The
// caller holds the lock.
func (b *Budget) grantWaiters() {
	for priority := priorityCount - 1; priority >= 0; priority-- {
		waiters := &b.waiters[priority]
		for first := waiters.Front(); first != nil; first = waiters.Front() {
			w := first.Value.(*waiter)
			if b.used+w.bytes > b.limits[priority] {
				return
			}
			b.used += w.bytes
			b.wanted[priority] -= w.bytes
			waiters.Remove(first)
			close(w.granted)
		}
	}
}
