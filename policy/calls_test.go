package policy

import (
	"testing"
	"time"
)

// askingRig is a node of a fleet that has to ask for its list, and has just started with a known one.
func newOnRequestRunner(t *testing.T, nodes int, seed uint64, confirm bool) *rig {
	t.Helper()
	settings := testSettings()
	settings.Nodes, settings.ListOnRequest, settings.ConfirmCachedList = nodes, true, confirm
	h := newHost()
	b, err := New(settings, seed, h)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, h: h, now: time.Hour}
	r.list(ListCached, ready(1, 3)...)
	return r
}

// nextCall passes time until the next call begins.
func (r *rig) awaitNextCall(deadline time.Duration) {
	r.t.Helper()
	for calls := r.h.watches; r.h.watches == calls; r.pass(5 * ms) {
		if r.now > deadline {
			r.t.Fatalf("no call for %v", r.now-deadline)
		}
	}
}

// eachFleet runs a test for nodes of small and large fleets.
func forEachFleetSize(t *testing.T, test func(t *testing.T, nodes int, seed uint64)) {
	t.Helper()
	for _, nodes := range []int{1, 5, 300, 900} {
		for seed := range uint64(20) {
			test(t, nodes, seed)
		}
	}
}

// Guards rule 3 after a restart: what changed while the node was down may be due already, so nothing is
// sent by the list of before until discovery has told what changed.
func TestNothingIsSentByAListThatIsNotConfirmed(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, nodes int, seed uint64) {
		r := newOnRequestRunner(t, nodes, seed, true)
		early := r.request(0)
		if _, refused := r.h.refused[early]; !refused || len(r.h.sends) > 0 || r.h.readies > 0 {
			t.Fatalf("%d nodes: a request before the list is confirmed: refused %t, sends %v", nodes, refused, r.h.sends)
		}
		r.awaitNextCall(r.now + 7*time.Second)
		r.list(ListChanges, Entry{Server: 2, State: StateGone}, Entry{Server: 3, State: StateGone})
		if r.h.readies != 1 {
			t.Fatalf("%d nodes: told ready %d times once the list is confirmed", nodes, r.h.readies)
		}
		// Which of the servers is left depends on nothing but the change.
		if id := r.request(0); len(r.sendsOf(id)) != 1 || r.sendsOf(id)[0] != 1 {
			t.Fatalf("%d nodes: sent to %v, want the server that is left", nodes, r.sendsOf(id))
		}
	})
}

// A discovery that can't be reached does not keep a node from serving for ever.
func TestCachedListServesEventuallyWithoutDiscovery(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, nodes int, seed uint64) {
		r := newOnRequestRunner(t, nodes, seed, true)
		start := r.now
		calls := 0
		for ; r.h.readies == 0; r.pass(5 * ms) {
			if r.h.watches > calls {
				calls = r.h.watches
				r.list(ListFailed)
			}
			if r.now-start > 9*time.Second {
				t.Fatalf("%d nodes: not ready after %v", nodes, r.now-start)
			}
		}
		if r.now-start < 4*time.Second {
			t.Fatalf("%d nodes: ready after %v, while discovery may be slow", nodes, r.now-start)
		}
		for ; r.now < start+maxConfirmationWait-5*ms; r.pass(5 * ms) {
			if r.h.watches > calls {
				calls = r.h.watches
				r.list(ListFailed)
			}
			if id := r.request(0); len(r.sendsOf(id)) > 0 {
				t.Fatalf("%d nodes: the known list serves after %v", nodes, r.now-start)
			}
		}
		r.pass(10 * ms)
		if id := r.request(0); len(r.sendsOf(id)) != 1 {
			t.Fatalf("%d nodes: the known list does not serve after %v", nodes, r.now-start)
		}
		if r.h.watches > calls {
			r.list(ListFailed) // a call that began in the very moment
		}
		r.awaitNextCall(r.now + maxCallPeriod)
		r.list(ListWhole, ready(1, 1)...)
		if r.h.readies != 1 {
			t.Fatalf("%d nodes: told ready %d times", nodes, r.h.readies)
		}
	})
}

// What an agent has counts as told from the first moment of a node: a list of before never serves unconfirmed.
func TestPushedListServesOnlyOnceItIsConfirmed(t *testing.T) {
	settings := testSettings()
	settings.ConfirmCachedList, settings.LongPolling = true, true
	h := newHost()
	b, err := New(settings, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, h: h, now: time.Hour}
	r.list(ListCached, ready(1, 3)...)
	if r.pass(2 * time.Minute); h.readies != 1 {
		t.Fatalf("told ready %d times while the agent is silent", h.readies)
	}
	if id := r.request(0); len(r.sendsOf(id)) > 0 {
		t.Fatal("a request is sent by a list that is not confirmed")
	}
	r.list(ListWhole, ready(2, 3)...)
	if id := r.request(0); len(r.sendsOf(id)) != 1 || h.readies != 1 {
		t.Fatalf("sends %v, told ready %d times, once the list is confirmed", h.sends, h.readies)
	}
}

// Nobody waits to be confirmed where that is not asked for, as in the simulator.
func TestListServesAtOnceWhereItNeedNotBeConfirmed(t *testing.T) {
	r := newOnRequestRunner(t, 300, 1, false)
	if id := r.request(0); len(r.sendsOf(id)) != 1 || r.h.readies != 1 {
		t.Fatalf("sends %v, told ready %d times", r.h.sends, r.h.readies)
	}
}

// Guards rule 3 after several failures in a row: what the node has not heard counts as told toldAfter
// after its last answer, whenever its watch broke and however often calls have failed since.
func TestCallsThatFailInARowAreMadeBeforeTheListIsDue(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, nodes int, seed uint64) {
		for _, broken := range []struct {
			kind  ListKind
			after time.Duration // since the last answer
		}{{ListFailed, 0}, {ListFailed, 2500 * ms}, {ListSilent, 3 * time.Second}} {
			r := newOnRequestRunner(t, nodes, seed, true)
			r.awaitNextCall(r.now + 7*time.Second)
			r.list(ListChanges)
			due := r.now + maxListAge
			r.pass(broken.after)
			r.list(broken.kind)
			for failures := range 2 {
				r.awaitNextCall(due - 250*ms) // and some time for the answer
				if failures == 0 && r.now > due-900*ms {
					t.Fatalf("%d nodes: the first call after the watch comes %v before the list is due", nodes, due-r.now)
				}
				r.pass(20 * ms)
				r.list(ListFailed)
			}
		}
	})
}

// Guards rule 3 after a reload: what the other address has counts as told movedAfter later.
func TestCallsToAnotherAddressAreMadeBeforeItsListIsDue(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, nodes int, seed uint64) {
		r := newOnRequestRunner(t, nodes, seed, true)
		r.awaitNextCall(r.now + 7*time.Second)
		r.list(ListChanges)
		r.pass(time.Second)
		due := r.now + maxAddressChangeDelay
		r.list(ListAddressChanged)
		for range 3 {
			r.awaitNextCall(due - 500*ms)
			r.pass(20 * ms)
			r.list(ListFailed)
		}
	})
}

// A reload drops the call that was due before it: one call is made, not two.
func TestReloadMakesOneCall(t *testing.T) {
	r := newOnRequestRunner(t, 300, 1, true)
	r.list(ListAddressChanged)
	r.list(ListAddressChanged)
	r.awaitNextCall(r.now + maxAddressChangeSpread)
	r.list(ListWhole, ready(1, 3)...)
	calls := r.h.watches
	if r.pass(10 * time.Second); r.h.watches != calls {
		t.Errorf("%d calls are made while the watch is open", r.h.watches-calls)
	}
}

// A long outage must not make the node deaf: calls come no further apart than what is had at
// discovery's return may wait.
func TestEndOfALongOutageIsNoticedInTime(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, nodes int, seed uint64) {
		for _, took := range []time.Duration{ms, 2 * time.Second} {
			r := newOnRequestRunner(t, nodes, seed, true)
			r.awaitNextCall(r.now + 7*time.Second)
			r.list(ListChanges)
			r.list(ListFailed)
			for begin := r.now; r.now-begin < overloadSuspectedAfter-maxCallPeriod; {
				from := r.now
				r.awaitNextCall(from + maxCallPeriod)
				r.pass(took)
				r.list(ListFailed)
			}
		}
	})
}

// A long answer is not asked for once more while it comes in, and is once it has stopped.
func TestArrivingAnswerIsNotLate(t *testing.T) {
	for _, nodes := range []int{1, 300} {
		r := newPollingRunner(t, false, nodes, 1)
		calls, id := r.h.watches, r.latestCall()
		const rate = 2 * minArrivalBytesPerSecond
		for bytes := int64(0); bytes < 30*rate; bytes += rate / 10 {
			r.pass(100 * ms)
			r.b.CallProgress(r.now, id, bytes)
		}
		if r.h.watches != calls {
			t.Errorf("%d nodes: %d calls begin while an answer comes in", nodes, r.h.watches-calls)
		}
		if r.pass(6 * time.Second); r.h.watches == calls {
			t.Errorf("%d nodes: no call begins though the answer has stopped", nodes)
		}
	}
}

// An answer that trickles is late as any other.
func TestAnswerThatTricklesIsLate(t *testing.T) {
	r := newPollingRunner(t, false, 1, 1)
	calls, id := r.h.watches, r.latestCall()
	for i := range int64(40) {
		r.pass(100 * ms)
		r.b.CallProgress(r.now, id, 400*i)
	}
	if r.h.watches == calls {
		t.Error("no call begins beside an answer that trickles")
	}
}
