package policy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// ruleChecker is a Host that sends random events to one Balancer and checks that its actions keep these rules: each
// request gets one final answer in time, none runs twice that must not, nothing is sent to a server after its drain
// notice, and no request has more attempts than permitted.
type ruleChecker struct {
	*fakeHost
	t            *testing.T
	rng          *rand.Rand
	b            *Balancer
	now          time.Duration
	requests     map[RequestID]*checkedRequest
	answerCounts map[RequestID]int
	entries      map[ServerID]Entry
}

// checkedRequest is what the ruleChecker records of a request.
type checkedRequest struct {
	class    Class
	deadline time.Duration
	attempts []*checkedAttempt
	done     bool
}

// checkedAttempt is what the ruleChecker records of an attempt.
type checkedAttempt struct {
	server          Entry
	sentAt          time.Duration
	inFlight        bool
	neverRan        bool
	cancelRequested bool // the Balancer has asked to cancel it if unsent
	willBeUnsent    bool // it will end as NotSent
}

func (c *ruleChecker) Send(id RequestID, server ServerID, timeout time.Duration) {
	c.fakeHost.Send(id, server, timeout)
	checked, s := c.requests[id], c.entries[server]
	switch {
	case checked == nil || checked.done:
		c.t.Errorf("%v: sent request %d, which has its final answer", c.now, id)
		return
	case s.State != StateInService:
		c.t.Errorf("%v: sent request %d to server %d in state %d", c.now, id, server, s.State)
	case len(checked.attempts) >= 4:
		c.t.Errorf("%v: request %d has more than 4 attempts", c.now, id)
	}
	earliestWindowEnd := time.Duration(0)
	for _, a := range checked.attempts {
		if a.neverRan {
			continue
		}
		if windowEnd := a.sentAt + checked.class.DedupWindow; checked.class.Idempotency == IdempotentByKey &&
			(earliestWindowEnd == 0 || windowEnd < earliestWindowEnd) {
			earliestWindowEnd = windowEnd
		}
		if checked.class.Idempotency == NonIdempotent {
			c.t.Errorf("%v: non-idempotent request %d sent again though it may have run", c.now, id)
		}
		if checked.class.Idempotency == IdempotentByKey && (a.server.Cell != s.Cell || c.now-a.sentAt >= checked.class.DedupWindow) {
			c.t.Errorf("%v: request %d with a key repeated outside its dedup scope or window", c.now, id)
		}
	}
	if writeDeadline := c.writeDeadlines[id]; writeDeadline != earliestWindowEnd {
		c.t.Errorf("%v: write deadline of request %d is %v, want %v", c.now, id, writeDeadline, earliestWindowEnd)
	}
	checked.attempts = append(checked.attempts, &checkedAttempt{server: s, sentAt: c.now, inFlight: true})
}

// CancelUnsent cancels half of the attempts at random; the others count as sent already.
func (c *ruleChecker) CancelUnsent(id RequestID, attempt int) {
	c.fakeHost.CancelUnsent(id, attempt)
	checked := c.requests[id]
	if checked == nil || attempt >= len(checked.attempts) || !checked.attempts[attempt].inFlight {
		c.t.Errorf("%v: cancelled attempt %d of request %d, which is not in flight", c.now, attempt, id)
		return
	}
	a := checked.attempts[attempt]
	if !checked.done && c.entries[a.server.Server].State == StateInService {
		c.t.Errorf("%v: cancelled an unsent attempt of request %d at server %d, which is in service", c.now, id, a.server.Server)
	}
	a.cancelRequested = true
	a.willBeUnsent = c.rng.IntN(2) == 0
}

// recordAnswer records the final answer of a request, and checks that it is the only one and in time.
func (c *ruleChecker) recordAnswer(id RequestID) *checkedRequest {
	c.answerCounts[id]++
	checked := c.requests[id]
	if checked == nil || checked.done {
		c.t.Errorf("%v: request %d answered twice", c.now, id)
		return &checkedRequest{}
	}
	if c.now > checked.deadline+20*ms {
		c.t.Errorf("%v: request %d answered after its deadline at %v", c.now, id, checked.deadline)
	}
	checked.done = true
	return checked
}

func (c *ruleChecker) Refuse(id RequestID, retryAfter time.Duration, reason Reason) {
	c.fakeHost.Refuse(id, retryAfter, reason)
	checked := c.recordAnswer(id)
	for _, a := range checked.attempts {
		if !a.neverRan && checked.class.Idempotency != Idempotent {
			c.t.Errorf("%v: request %d refused though it may have run", c.now, id)
		}
	}
}

func (c *ruleChecker) Fail(id RequestID, reason Reason) {
	c.fakeHost.Fail(id, reason)
	c.recordAnswer(id)
}

// endAttempt ends attempt i of a request: with a random status, with Timeout from the deadline on, with Cancelled after
// the final answer, or with NotSent if it was cancelled unsent.
func (c *ruleChecker) endAttempt(id RequestID, checked *checkedRequest, i int) {
	a := checked.attempts[i]
	if c.rng.IntN(3) == 0 {
		c.b.ResponseReceived(c.now, id, i)
	}
	status := []Status{OK, OK, OK, ServerError, Rejected, Timeout, ConnectFailed, ConnectionReset}[c.rng.IntN(8)]
	if c.now >= checked.deadline {
		status = Timeout
	}
	if checked.done {
		status = Cancelled
	}
	if a.willBeUnsent {
		status = NotSent
	}
	a.inFlight = false
	a.neverRan = status == Rejected || status == ConnectFailed || status == NotSent
	if status == OK {
		c.recordAnswer(id)
	}
	c.b.AttemptEnded(c.now, Outcome{ID: id, Attempt: i, Server: a.server.Server, Status: status,
		Latency: c.now - a.sentAt, RequestDone: checked.done})
}

// step ends some attempts, disconnects some clients and fires the timers that are due.
func (c *ruleChecker) step(ids []RequestID) {
	for _, id := range ids {
		checked := c.requests[id]
		for i, a := range checked.attempts {
			if a.inFlight && (c.now >= checked.deadline || checked.done || a.willBeUnsent || c.rng.IntN(12) == 0) {
				c.endAttempt(id, checked, i)
			}
		}
		if !checked.done && c.rng.IntN(400) == 0 {
			checked.done = true
			c.answerCounts[id]++
			c.b.ClientDisconnected(c.now, id)
		}
	}
	var due []timer
	pending := c.timers[:0]
	for _, t := range c.timers {
		if t.at <= c.now {
			due = append(due, t)
		} else {
			pending = append(pending, t)
		}
	}
	c.timers = pending
	for _, t := range due {
		c.b.TimerFired(c.now, t.token)
	}
}

// changeServer drains, removes, restarts or adds a random server.
func (c *ruleChecker) changeServer(start time.Duration) {
	id := ServerID(1 + c.rng.IntN(12))
	e := Entry{Server: id, Cell: int(id) / 3, Weight: 1, State: ServerState(c.rng.IntN(3))}
	if c.rng.IntN(3) == 0 {
		e.State, e.StartedAt = StateInService, start
	}
	c.entries[id] = e
	c.b.ListUpdated(c.now, ListChanges, []Entry{e})
	for requestID, checked := range c.requests {
		for i, a := range checked.attempts {
			if a.inFlight && !checked.done && a.server.Server == id && e.State != StateInService && !a.cancelRequested {
				c.t.Errorf("%v: unsent attempt %d of request %d at server %d was not cancelled", c.now, i, requestID, id)
			}
		}
	}
}

// checkRandomEvents sends random events to a Balancer, checks its actions and returns them.
func checkRandomEvents(t *testing.T, seed uint64) []string {
	settings := testSettings()
	settings.Classes[0].LateValueShare = 0.5
	settings.Tenants = []Tenant{{QuotaPerSecond: 50}}
	settings.Limits.AllowCancel = seed%2 == 0
	checker := &ruleChecker{fakeHost: newHost(), t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour,
		requests: map[RequestID]*checkedRequest{}, answerCounts: map[RequestID]int{}, entries: map[ServerID]Entry{}}
	b, err := New(settings, seed, checker)
	if err != nil {
		t.Fatal(err)
	}
	checker.b = b
	entries := inServiceEntries(1, 8)
	for i := range entries {
		entries[i].Cell = int(entries[i].Server) / 3
		checker.entries[entries[i].Server] = entries[i]
	}
	b.ListUpdated(checker.now, ListCached, entries)
	var ids []RequestID
	for step := range 4000 {
		checker.now += 5 * ms
		for range checker.rng.IntN(4) {
			if step >= 3500 {
				break // no further requests, so that all can end
			}
			id := RequestID(len(ids) + 1)
			class := checker.rng.IntN(3)
			timeLeft := time.Duration(300+checker.rng.IntN(1700)) * ms
			ids = append(ids, id)
			checker.requests[id] = &checkedRequest{class: settings.Classes[class], deadline: checker.now + timeLeft}
			b.RequestArrived(checker.now, Request{ID: id, Class: class, Key: uint64(checker.rng.IntN(50)), TimeLeft: timeLeft})
		}
		if checker.rng.IntN(60) == 0 {
			checker.changeServer(checker.now)
		}
		checker.step(ids)
	}
	for _, id := range ids {
		if checker.answerCounts[id] != 1 {
			t.Errorf("request %d got %d final answers", id, checker.answerCounts[id])
		}
	}
	if len(b.requests) > 0 || len(b.activeRequests) > 0 {
		t.Errorf("%d requests and %d active ones are left at the end", len(b.requests), len(b.activeRequests))
	}
	return checker.actions
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkRandomEvents(t, seed) })
	}
}

func TestSameEventsAndSeedGiveTheSameActions(t *testing.T) {
	first, second := checkRandomEvents(t, 3), checkRandomEvents(t, 3)
	if a, b := strings.Join(first, "\n"), strings.Join(second, "\n"); a != b {
		t.Fatal("two runs with the same events and seed differ")
	}
}

func TestInterleavedInstancesActAsEachAlone(t *testing.T) {
	drive := func(runners ...*runner) {
		for i := range 300 {
			for _, r := range runners {
				id := r.sendRequest(i % 3)
				r.advance(7 * ms)
				if n := len(r.serversSentTo(id)); n > r.outcomesGiven[id] {
					r.endAttempt(id, OK, 7*ms)
				}
			}
		}
	}
	alone, a, b := newRunner(t, testSettings(), 5), newRunner(t, testSettings(), 5), newRunner(t, testSettings(), 5)
	drive(alone)
	drive(a, b)
	want := strings.Join(alone.host.actions, "\n")
	if strings.Join(a.host.actions, "\n") != want || strings.Join(b.host.actions, "\n") != want {
		t.Fatal("interleaved instances act differently from a single one")
	}
}
