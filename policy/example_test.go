package policy_test

import (
	"fmt"
	"time"

	"otterstep/policy"
)

// printingHost is a Host that prints the actions that it is asked for.
type printingHost struct{ timerAt time.Duration }

func (h *printingHost) Send(id policy.RequestID, _ policy.ServerID, _ time.Duration) {
	fmt.Println("send request", id)
}
func (h *printingHost) SetWriteDeadline(policy.RequestID, time.Duration) {}
func (h *printingHost) Cancel(id policy.RequestID, attempt int)          { fmt.Println("cancel", id, attempt) }
func (h *printingHost) CancelUnsent(id policy.RequestID, attempt int) {
	fmt.Println("cancel unsent", id, attempt)
}
func (h *printingHost) Refuse(id policy.RequestID, retryAfter time.Duration, _ policy.Reason) {
	fmt.Println("refuse request", id, "retry after", retryAfter > 0)
}
func (h *printingHost) Fail(id policy.RequestID, _ policy.Reason) { fmt.Println("fail request", id) }
func (h *printingHost) SetTimer(at time.Duration, _ uint64)       { h.timerAt = at }
func (h *printingHost) MarkReady()                                {}
func (h *printingHost) StartCall(policy.Call)                     { fmt.Println("call discovery") }
func (h *printingHost) CancelCall(policy.CallID)                  {}

// One request is served, one is retried at another server and served, and one is refused because no server is left.
func Example() {
	settings := policy.Defaults()
	settings.Classes = []policy.Class{{
		Deadline: 2 * time.Second, LatencyTarget: 500 * time.Millisecond, Value: 1, Idempotency: policy.Idempotent,
	}}
	settings.Limits.MaxAttempts = 3
	settings.Limits.MaxRetryAfter = time.Second
	host := &printingHost{}
	b, err := policy.New(settings, 1, host)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second // any monotonic clock will do
	b.ListUpdated(now, policy.ListWhole, []policy.Entry{
		{Server: 1, State: policy.StateInService, Weight: 1},
		{Server: 2, State: policy.StateInService, Weight: 1},
	})

	b.RequestArrived(now, policy.Request{ID: 1, TimeLeft: 2 * time.Second})
	now += 20 * time.Millisecond
	b.AttemptEnded(now, policy.Outcome{ID: 1, Status: policy.OK, RequestDone: true, Latency: 20 * time.Millisecond})

	b.RequestArrived(now, policy.Request{ID: 2, TimeLeft: 2 * time.Second})
	b.AttemptEnded(now, policy.Outcome{ID: 2, Status: policy.ServerError, Latency: time.Millisecond})
	for range 10 { // the timer starts the retry after its backoff
		now = max(now, host.timerAt)
		b.TimerFired(now, 0)
	}
	b.AttemptEnded(now, policy.Outcome{ID: 2, Attempt: 1, Status: policy.OK, RequestDone: true,
		Latency: 20 * time.Millisecond})

	b.ListUpdated(now, policy.ListWhole, nil) // no server is left
	b.RequestArrived(now, policy.Request{ID: 3, TimeLeft: 2 * time.Second})

	// Output:
	// send request 1
	// send request 2
	// send request 2
	// refuse request 3 retry after true
}
