package budget

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

// ended is a context that has ended, so that no call waits.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against a sum of messages that exceeds the budget, and against bytes that are not returned.
func TestReservationsStayWithinTheBudget(t *testing.T) {
	b := New(400)
	first, second := b.NewReservation(10), b.NewReservation(10)
	if err := first.Grow(ended(), 10, Intake); err != nil || b.Used() != 0 {
		t.Errorf("free bytes: %v, %d used; want none counted", err, b.Used())
	}
	if !first.TryGrow(200, Intake) || second.TryGrow(111, Intake) || !second.TryGrow(110, Intake) {
		t.Error("requests may take three quarters of the budget, and no more")
	}
	if second.TryGrow(1, Intake) || !second.TryGrow(100, Answer) || second.TryGrow(1, Answer) {
		t.Error("answers may take the rest of the budget, and no more")
	}
	if err := second.Grow(ended(), 1, Answer); !errors.Is(err, context.Canceled) || b.Used() != 400 {
		t.Errorf("a reservation over the budget: %v, %d used", err, b.Used())
	}
	first.Hold()
	first.Release()
	if b.Used() != 400 {
		t.Errorf("%d used while one of two holders remains, want 400", b.Used())
	}
	first.Release()
	second.Release()
	if b.Used() != 0 {
		t.Errorf("%d used after all were released", b.Used())
	}
}

// Guards against a call that waits though its bytes are free, and against answers that wait behind requests.
func TestReturnedBytesAreGrantedToAnswersFirst(t *testing.T) {
	b := New(400)
	holder := b.NewReservation(0)
	holder.ForceGrow(400)
	granted := make(chan Priority, 2)
	for _, priority := range []Priority{Intake, Answer} {
		r := b.NewReservation(0)
		go func() {
			if r.Grow(context.Background(), 300, priority) == nil {
				granted <- priority
				r.Release()
			}
		}()
		for b.Wanted(priority) != 300 {
			time.Sleep(time.Millisecond)
		}
	}
	if b.NewReservation(0).TryGrow(1, Intake) {
		t.Error("bytes were granted ahead of a call that waits")
	}
	holder.Release()
	if first, second := <-granted, <-granted; first != Answer || second != Intake {
		t.Errorf("granted to %v, then to %v; want answers first", first, second)
	}
}

// Guards against a large call that is given up and goes on blocking the smaller ones behind it.
func TestCallThatIsGivenUpBlocksNobody(t *testing.T) {
	b := New(400)
	holder := b.NewReservation(0)
	holder.ForceGrow(200)
	ctx, cancel := context.WithCancel(t.Context())
	go b.NewReservation(0).Grow(ctx, 200, Intake)
	for b.Wanted(Intake) != 200 {
		time.Sleep(time.Millisecond)
	}
	done := make(chan error, 1)
	go func() { done <- b.NewReservation(0).Grow(t.Context(), 100, Intake) }()
	for b.Wanted(Intake) != 300 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-done; err != nil || b.Used() != 300 {
		t.Errorf("%v, %d used; want the smaller call granted", err, b.Used())
	}
}

// Guards against a queue of calls that grows with the number of callers.
func TestCallBehindAFullQueueFailsAtOnce(t *testing.T) {
	b := New(400)
	b.NewReservation(0).ForceGrow(400)
	go b.NewReservation(0).Grow(t.Context(), 300, Intake)
	for b.Wanted(Intake) != 300 {
		time.Sleep(time.Millisecond)
	}
	if err := b.NewReservation(0).Grow(t.Context(), 1, Intake); !errors.Is(err, ErrExhausted) {
		t.Errorf("%v behind a full queue, want %v", err, ErrExhausted)
	}
}

// Guards against bytes that are lost or counted twice when calls are granted and given up at the same time.
func TestBytesAreReturnedUnderConcurrentCalls(t *testing.T) {
	b := New(1000)
	var callers sync.WaitGroup
	for i := range 16 {
		callers.Go(func() {
			for j := range 200 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(j%3)*100*time.Microsecond)
				r := b.NewReservation(5)
				if r.Grow(ctx, int64(100+i*20), Priority(j%2)) == nil && b.Used() > 1000 {
					t.Errorf("%d used of 1000", b.Used())
				}
				r.Release()
				cancel()
			}
		})
	}
	callers.Wait()
	if b.Used() != 0 || b.Wanted(Intake) != 0 || b.Wanted(Answer) != 0 {
		t.Errorf("%d used, %d and %d wanted after all calls", b.Used(), b.Wanted(Intake), b.Wanted(Answer))
	}
}
