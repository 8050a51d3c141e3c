package policy

import (
	"testing"
	"time"
)

// newAdmissionRunner returns a runner for a node of a fleet whose nodes outnumber its servers, so that it uses
// admission control.
func newAdmissionRunner(t *testing.T) *runner {
	settings := testSettings()
	settings.NodeCount = 100
	settings.Limits.AllowHedging = false
	return newRunner(t, settings, 10)
}

// Guards against a fleet that sends its retries to a few servers. While no server is known to be better than the
// others, nodes must not all take the first in the list for the best: three in four retries go to 10 of 179 servers
// then.
func TestRetriesOfAFleetSpreadOverServers(t *testing.T) {
	const nodes, servers = 100, 20
	retriesByServer := map[ServerID]int{}
	for seed := range uint64(nodes) {
		settings := testSettings()
		settings.NodeCount, settings.Limits.AllowHedging = nodes, false
		host := newHost()
		b, err := New(settings, seed, host)
		if err != nil {
			t.Fatal(err)
		}
		r := &runner{t: t, b: b, host: host, now: time.Hour, outcomesGiven: map[RequestID]int{}}
		r.deliverList(ListCached, inServiceEntries(1, servers)...)
		r.serveRequests(20, 0, 20*ms)
		id := r.sendRequest(0)
		r.endAttempt(id, ServerError, 20*ms)
		r.advance(300 * ms)
		if sends := r.serversSentTo(id); len(sends) == 2 {
			retriesByServer[sends[1]]++
		}
	}
	total, most := 0, 0
	for _, n := range retriesByServer {
		total += n
		most = max(most, n)
	}
	if total < nodes/2 || most > 4*total/servers {
		t.Errorf("%d retries, %d of them to one of %d servers", total, most, servers)
	}
}

// Guards against a stuck request that keeps a node from sending others: where nodes outnumber servers, the fair
// limit on requests in flight is below one per server.
func TestStuckAttemptDoesNotBlockWhereNodesOutnumberServers(t *testing.T) {
	r := newAdmissionRunner(t)
	for range 5 {
		if id := r.sendRequest(0); len(r.serversSentTo(id)) != 1 {
			t.Fatalf("request %d waits for others of this node", id)
		}
	}
}

// Guards against an overload that many nodes cannot prevent by a limit on requests in flight: late answers have to
// lower the admitted share, and timely ones have to restore all of it.
func TestAdmissionShedsWhileAnswersAreLateAndRecovers(t *testing.T) {
	r := newAdmissionRunner(t)
	countSent := func(latency time.Duration) (n int) {
		for range 100 {
			id := r.sendRequest(0)
			r.advance(50 * ms)
			if len(r.serversSentTo(id)) > 0 {
				n++
				r.endAttempt(id, OK, latency)
			}
		}
		return n
	}
	if n := countSent(100 * ms); n != 100 {
		t.Fatalf("%d of 100 admitted though answers are quick", n)
	}
	if n := countSent(time.Second); n > 50 {
		t.Fatalf("%d of 100 admitted while answers take longer than the latency target", n)
	}
	for range 3 { // 15 s
		countSent(100 * ms)
	}
	if n := countSent(100 * ms); n < 95 {
		t.Fatalf("%d of 100 admitted long after answers are quick again", n)
	}
}

// Guards against a concurrency limit that never grows: on nodes that use the limit, admission control must not update
// controlUpdatedAt, which both controls use.
func TestOutcomesDoNotStopTheLimitFromGrowing(t *testing.T) {
	r := newRunner(t, testSettings(), 2)
	r.serveRequests(3*minUnloadedSamples, 0, 20*ms)
	r.b.meanLogLatencyRatio = 0
	before := r.b.concurrencyLimit
	for range 20 {
		var ids []RequestID
		for range 12 { // some wait in the queue
			ids = append(ids, r.sendRequest(0))
		}
		r.advance(20 * ms)
		for _, id := range ids {
			if len(r.serversSentTo(id)) > r.outcomesGiven[id] {
				r.endAttempt(id, OK, 20*ms)
			}
		}
	}
	if r.b.concurrencyLimit <= before {
		t.Fatalf("limit stays at %.2f though requests wait and servers are not congested", r.b.concurrencyLimit)
	}
}

// Guards against nodes that send as much to small servers as to large ones: where nodes outnumber servers, each has
// too little in flight to see that the small ones are congested.
func TestServersAreDrawnByWeightWhereNodesOutnumberThem(t *testing.T) {
	r := newAdmissionRunner(t)
	entries := inServiceEntries(1, 10)
	for i := range 5 {
		entries[i].Weight = 3
	}
	for i := range entries {
		entries[i].Zone = 1
	}
	r.deliverList(ListWhole, entries...)
	large := 0
	for range 400 {
		id := r.sendRequest(0)
		if r.serversSentTo(id)[0] <= 5 {
			large++
		}
		r.advance(20 * ms)
		r.endAttempt(id, OK, 20*ms)
	}
	if large < 270 || large > 330 { // three quarters
		t.Fatalf("%d of 400 requests went to the servers of three times the weight, want about 300", large)
	}
}

// Guards against a breaker that never closes again where every class is non-idempotent: its trial has to be a
// non-idempotent request then.
func TestTrialIsNonIdempotentWhereEveryClassIs(t *testing.T) {
	settings := testSettings()
	settings.Classes = settings.Classes[2:]
	r := newRunner(t, settings, 3)
	failing := r.b.subset[0]
	for range failuresToOpen {
		r.b.recordFailure(r.now, &attempt{server: failing}, false)
	}
	r.advance(failing.halfOpenAt - r.now)
	trial := r.sendRequest(0)
	if got := r.serversSentTo(trial); len(got) != 1 || got[0] != failing.Server {
		t.Fatalf("trial went to %v, want the half-open server %d", got, failing.Server)
	}
	r.endAttempt(trial, OK, 20*ms)
	if failing.breaker != closed {
		t.Fatal("the breaker does not close after a successful trial")
	}
}

// Guards against a retry storm of a fleet with many nodes when all servers reject requests.
func TestRetryBudgetWhereNodesOutnumberServers(t *testing.T) {
	r := newAdmissionRunner(t)
	r.serveRequests(20, 0, 20*ms)
	before := len(r.host.sends)
	for range 100 {
		id := r.sendRequest(0)
		for range 4 {
			if n := len(r.serversSentTo(id)); n > r.outcomesGiven[id] {
				r.endAttempt(id, Rejected, 0)
			}
			r.advance(200 * ms)
		}
	}
	if n := len(r.host.sends) - before; n > 100+15 {
		t.Fatalf("%d sends for 100 requests that were rejected, want about a tenth more", n)
	}
}

// Guards against a single timeout that takes most of its admitted share from a node with few answers.
func TestOneTimeoutHardlyLowersTheAdmittedShare(t *testing.T) {
	r := newAdmissionRunner(t)
	for i := range 60 {
		id := r.sendRequest(0)
		r.advance(200 * ms)
		if len(r.serversSentTo(id)) == 0 {
			continue
		}
		if i%15 == 14 {
			r.advance(time.Second)
			r.endAttempt(id, Timeout, 1200*ms)
			r.b.ClientDisconnected(r.now, id)
		} else {
			r.endAttempt(id, OK, 200*ms)
		}
	}
	if r.b.admittedShare < 0.8 {
		t.Fatalf("admitted share %.2f with one timeout in 15 answers and quick answers otherwise, want 0.8 or more", r.b.admittedShare)
	}
}

// Guards against a draw that ignores which servers are cold, and overloads either the cold or the warm ones: it has
// to follow the present capacity of each server.
func TestServersAreDrawnByCapacityShareWhereNodesOutnumberThem(t *testing.T) {
	r := newAdmissionRunner(t)
	entries := inServiceEntries(1, 10)
	for i := range entries {
		entries[i].Zone = 1
		if i < 5 {
			entries[i].StartedAt = r.now // at 0.2 of its capacity
		}
	}
	r.deliverList(ListWhole, entries...)
	r.b.updateScores(r.now)
	r.b.candidates = append(r.b.candidates[:0], r.b.subset...)
	cold := 0
	for range 6000 {
		if r.b.drawByWeight(-1) < 5 {
			cold++
		}
	}
	if cold < 900 || cold > 1100 { // a sixth of the capacity
		t.Fatalf("%d of 6000 draws are of the five servers at a fifth of their capacity, want about 1000", cold)
	}
}

// Guards against refusing requests whose late answers still have value, and against admitting them where the
// penalties for late answers are as high as that value.
func TestAdmitsMoreWhereLateAnswersHaveValue(t *testing.T) {
	admitted := func(penalties Penalties) float64 {
		settings := testSettings()
		settings.NodeCount = 100
		settings.Classes[0].LateValueShare = 0.5
		settings.Penalties = penalties
		r := newRunner(t, settings, 10)
		for range 100 {
			id := r.sendRequest(0)
			r.advance(50 * ms)
			if len(r.serversSentTo(id)) > 0 {
				r.endAttempt(id, OK, 500*ms) // 0.625 of the latency target
			}
		}
		return r.b.admittedShare
	}
	if withoutPenalties, withPenalties := admitted(Penalties{}),
		admitted(Penalties{WastedWork: 0.3, LateFailure: 0.3}); withoutPenalties < 0.99 || withPenalties > 0.5 {
		t.Fatalf("admitted share %.2f without penalties and %.2f with them, want 0.99 or more and 0.5 or less", withoutPenalties, withPenalties)
	}
}

// Guards against a minimum of the admitted share that is too high for overloaded servers to recover. They are about
// three times slower than usual, so that a tenth of the usual load keeps them a third busy, and they recover only
// once they are nearly idle.
func TestMinAdmittedShareLetsServersRecover(t *testing.T) {
	r := newAdmissionRunner(t)
	for range 2000 {
		id := r.sendRequest(0)
		r.advance(20 * ms)
		if len(r.serversSentTo(id)) > 0 {
			r.endAttempt(id, OK, 1500*ms)
		}
	}
	if r.b.admittedShare > 0.06 || r.b.admittedShare <= 0 {
		t.Fatalf("admitted share %.2f after 40 s of late answers, want about 0.05", r.b.admittedShare)
	}
}

// Guards against a cold budget that becomes NaN and stays so: servers may start with a capacity share of 0, and after
// an empty list there is no capacity to divide by.
func TestColdBudgetIsANumberWithoutCapacity(t *testing.T) {
	r := newAdmissionRunner(t)
	r.b.settings.Rules.ColdCapacityShare = 0
	r.serveRequests(20, 0, 20*ms)
	cold := inServiceEntries(1, 10)
	for i := range cold {
		cold[i].StartedAt = r.now
	}
	r.deliverList(ListWhole)
	r.b.updateScores(r.now)
	r.deliverList(ListWhole, cold...)
	for _, s := range r.b.subset {
		if r.b.coldBudgetCovers(s, r.now, 0.02) || s.coldBudgetSeconds != s.coldBudgetSeconds || s.coldBudgetSeconds > 0.02 {
			t.Fatalf("server %d may be sent work at the moment of its start, or its budget is wrong: %v s", s.Server, s.coldBudgetSeconds)
		}
	}
	r.serveRequests(200, 0, 50*ms)
	sends := 0
	for _, s := range r.b.subset {
		sends += len(s.inFlight) + s.outcomes.Count
	}
	if sends == 0 {
		t.Fatal("nothing is sent to a fleet whose servers are all cold")
	}
}

// Guards against an admitted share that changes too slowly: an overload slows servers down within two seconds, and
// each second of needless refusals afterwards costs as much as the overload did.
func TestAdmittedShareMovesWithinSeconds(t *testing.T) {
	r := newAdmissionRunner(t)
	shareAfter := func(duration time.Duration, latency time.Duration) float64 {
		for end := r.now + duration; r.now < end; {
			id := r.sendRequest(0)
			r.advance(50 * ms)
			if len(r.serversSentTo(id)) > 0 {
				r.endAttempt(id, OK, latency)
			}
		}
		return r.b.admittedShare
	}
	shareAfter(2*time.Second, 100*ms)
	if share := shareAfter(1500*ms, 700*ms); share > 0.4 {
		t.Errorf("%.2f admitted after 1.5 s of answers close to the latency target, want 0.4 or less", share)
	}
	shareAfter(4*time.Second, 700*ms)
	if share := shareAfter(3*time.Second, 100*ms); share < 0.6 {
		t.Errorf("%.2f admitted 3 s after answers are quick again, want 0.6 or more", share)
	}
}
