package budget

import (
	"context"
	"sync"
)

// Reservation is the memory of one message and of what belongs to it. Those who use the memory hold the reservation;
// the bytes return to the budget once all of them have released it. It is safe for concurrent use.
type Reservation struct {
	budget *Budget
	free   int64 // bytes that are not counted, because they are part of a fixed cost

	mu      sync.Mutex
	bytes   int64 // bytes that the message takes
	counted int64 // bytes that are reserved in the budget, or are about to be
	holders int
}

// NewReservation returns an empty reservation with one holder. The first free bytes of it are not counted in the budget.
func (b *Budget) NewReservation(free int64) *Reservation {
	return &Reservation{budget: b, free: free, holders: 1}
}

// Grow adds bytes to the reservation, and waits for them until ctx ends. It returns the error of ctx if they are not
// free by then, or ErrExhausted at once if too many calls wait; the reservation is unchanged in both cases.
func (r *Reservation) Grow(ctx context.Context, bytes int64, priority Priority) error {
	counted := r.add(bytes)
	if counted == 0 {
		return nil
	}
	if err := r.budget.reserve(ctx, counted, priority); err != nil {
		r.undo(bytes, counted)
		return err
	}
	return nil
}

// TryGrow adds bytes to the reservation if they are free.
func (r *Reservation) TryGrow(bytes int64, priority Priority) bool {
	counted := r.add(bytes)
	if counted > 0 && !r.budget.tryReserve(counted, priority) {
		r.undo(bytes, counted)
		return false
	}
	return true
}

// ForceGrow adds bytes that were allocated already. The budget may be exceeded by them.
func (r *Reservation) ForceGrow(bytes int64) {
	if counted := r.add(bytes); counted > 0 {
		r.budget.force(counted)
	}
}

// add adds bytes to the message, and returns how many of them have to be reserved in the budget.
func (r *Reservation) add(bytes int64) (counted int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes += bytes
	counted = max(0, r.bytes-r.free-r.counted)
	r.counted += counted
	return counted
}

// undo takes back an add whose bytes were not reserved.
func (r *Reservation) undo(bytes, counted int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes -= bytes
	r.counted -= counted
}

// Counted returns the number of bytes of the reservation that count in the budget, or wait to be counted.
func (r *Reservation) Counted() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counted
}

// Hold adds a holder.
func (r *Reservation) Hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders++
}

// Release removes a holder. The last one returns the bytes to the budget.
func (r *Reservation) Release() {
	r.mu.Lock()
	r.holders--
	counted := r.counted
	isLast := r.holders == 0
	r.mu.Unlock()
	if isLast && counted > 0 {
		r.budget.release(counted)
	}
}
