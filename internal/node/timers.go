package node

import (
	"container/heap"
	"time"
)

// timer is a callback that the loop runs at a time.
type timer struct {
	at       time.Duration
	callback func()
	index    int // index in the heap; -1: not in it
}

// timerHeap is a heap of timers, the earliest first. It implements heap.Interface.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	added := x.(*timer)
	added.index = len(*h)
	*h = append(*h, added)
}
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil // releases what the callback refers to
	*h = old[:len(old)-1]
	last.index = -1
	return last
}

// cancel removes a timer that has not run.
func (h *timerHeap) cancel(t *timer) {
	if t.index >= 0 {
		heap.Remove(h, t.index)
	}
}

// scheduleAt sets a timer.
func (l *loop) scheduleAt(at time.Duration, callback func()) *timer {
	added := &timer{at: at, callback: callback}
	heap.Push(&l.timers, added)
	return added
}

// scheduleFor sets a timer that is cancelled when a request is forgotten.
func (l *loop) scheduleFor(r *request, at time.Duration, callback func()) {
	r.timers = append(r.timers, l.scheduleAt(at, callback))
}

// cancelTimers cancels the timers of a request.
func (l *loop) cancelTimers(r *request) {
	for _, t := range r.timers {
		l.timers.cancel(t)
	}
	r.timers = nil
}
