package policy

import (
	"testing"
	"time"
)

// askingRig is a node of a fleet that has to ask for its list, and has just started with a known one.
func newOnRequestRunner(t *testing.T, nodes int, seed uint64, confirm bool) *runner {
	t.Helper()
	settings := testSettings()
	settings.NodeCount, settings.ListOnRequest, settings.ConfirmCachedList = nodes, true, confirm
	h := newHost()
	b, err := New(settings, seed, h)
	if err != nil {
		t.Fatal(err)
	}
	r := &runner{t: t, b: b, host: h, now: time.Hour}
	r.deliverList(ListCached, inServiceEntries(1, 3)...)
	return r
}

// nextCall passes time until the next call begins.
func (r *runner) awaitNextCall(deadline time.Duration) {
	r.t.Helper()
	for calls := r.host.callCount; r.host.callCount == calls; r.advance(5 * ms) {
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
		early := r.sendRequest(0)
		if _, refused := r.host.refused[early]; !refused || len(r.host.sends) > 0 || r.host.readyCount > 0 {
			t.Fatalf("%d nodes: a request before the list is confirmed: refused %t, sends %v", nodes, refused, r.host.sends)
		}
		r.awaitNextCall(r.now + 7*time.Second)
		r.deliverList(ListChanges, Entry{Server: 2, State: StateGone}, Entry{Server: 3, State: StateGone})
		if r.host.readyCount != 1 {
			t.Fatalf("%d nodes: told ready %d times once the list is confirmed", nodes, r.host.readyCount)
		}
		// Which of the servers is left depends on nothing but the change.
		if id := r.sendRequest(0); len(r.serversSentTo(id)) != 1 || r.serversSentTo(id)[0] != 1 {
			t.Fatalf("%d nodes: sent to %v, want the server that is left", nodes, r.serversSentTo(id))
		}
	})
}

// A discovery that can't be reached does not keep a node from serving for ever.
func TestCachedListServesEventuallyWithoutDiscovery(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, nodes int, seed uint64) {
		r := newOnRequestRunner(t, nodes, seed, true)
		start := r.now
		calls := 0
		for ; r.host.readyCount == 0; r.advance(5 * ms) {
			if r.host.callCount > calls {
				calls = r.host.callCount
				r.deliverList(ListFailed)
			}
			if r.now-start > 9*time.Second {
				t.Fatalf("%d nodes: not ready after %v", nodes, r.now-start)
			}
		}
		if r.now-start < 4*time.Second {
			t.Fatalf("%d nodes: ready after %v, while discovery may be slow", nodes, r.now-start)
		}
		for ; r.now < start+maxConfirmationWait-5*ms; r.advance(5 * ms) {
			if r.host.callCount > calls {
				calls = r.host.callCount
				r.deliverList(ListFailed)
			}
			if id := r.sendRequest(0); len(r.serversSentTo(id)) > 0 {
				t.Fatalf("%d nodes: the known list serves after %v", nodes, r.now-start)
			}
		}
		r.advance(10 * ms)
		if id := r.sendRequest(0); len(r.serversSentTo(id)) != 1 {
			t.Fatalf("%d nodes: the known list does not serve after %v", nodes, r.now-start)
		}
		if r.host.callCount > calls {
			r.deliverList(ListFailed) // a call that began in the very moment
		}
		r.awaitNextCall(r.now + maxCallPeriod)
		r.deliverList(ListWhole, inServiceEntries(1, 1)...)
		if r.host.readyCount != 1 {
			t.Fatalf("%d nodes: told ready %d times", nodes, r.host.readyCount)
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
	r := &runner{t: t, b: b, host: h, now: time.Hour}
	r.deliverList(ListCached, inServiceEntries(1, 3)...)
	if r.advance(2 * time.Minute); h.readyCount != 1 {
		t.Fatalf("told ready %d times while the agent is silent", h.readyCount)
	}
	if id := r.sendRequest(0); len(r.serversSentTo(id)) > 0 {
		t.Fatal("a request is sent by a list that is not confirmed")
	}
	r.deliverList(ListWhole, inServiceEntries(2, 3)...)
	if id := r.sendRequest(0); len(r.serversSentTo(id)) != 1 || h.readyCount != 1 {
		t.Fatalf("sends %v, told ready %d times, once the list is confirmed", h.sends, h.readyCount)
	}
}

// Nobody waits to be confirmed where that is not asked for, as in the simulator.
func TestListServesAtOnceWhereItNeedNotBeConfirmed(t *testing.T) {
	r := newOnRequestRunner(t, 300, 1, false)
	if id := r.sendRequest(0); len(r.serversSentTo(id)) != 1 || r.host.readyCount != 1 {
		t.Fatalf("sends %v, told ready %d times", r.host.sends, r.host.readyCount)
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
			r.deliverList(ListChanges)
			due := r.now + maxListAge
			r.advance(broken.after)
			r.deliverList(broken.kind)
			for failures := range 2 {
				r.awaitNextCall(due - 250*ms) // and some time for the answer
				if failures == 0 && r.now > due-900*ms {
					t.Fatalf("%d nodes: the first call after the watch comes %v before the list is due", nodes, due-r.now)
				}
				r.advance(20 * ms)
				r.deliverList(ListFailed)
			}
		}
	})
}

// Guards rule 3 after a reload: what the other address has counts as told movedAfter later.
func TestCallsToAnotherAddressAreMadeBeforeItsListIsDue(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, nodes int, seed uint64) {
		r := newOnRequestRunner(t, nodes, seed, true)
		r.awaitNextCall(r.now + 7*time.Second)
		r.deliverList(ListChanges)
		r.advance(time.Second)
		due := r.now + maxAddressChangeDelay
		r.deliverList(ListAddressChanged)
		for range 3 {
			r.awaitNextCall(due - 500*ms)
			r.advance(20 * ms)
			r.deliverList(ListFailed)
		}
	})
}

// A reload drops the call that was due before it: one call is made, not two.
func TestReloadMakesOneCall(t *testing.T) {
	r := newOnRequestRunner(t, 300, 1, true)
	r.deliverList(ListAddressChanged)
	r.deliverList(ListAddressChanged)
	r.awaitNextCall(r.now + maxAddressChangeSpread)
	r.deliverList(ListWhole, inServiceEntries(1, 3)...)
	calls := r.host.callCount
	if r.advance(10 * time.Second); r.host.callCount != calls {
		t.Errorf("%d calls are made while the watch is open", r.host.callCount-calls)
	}
}

// A long outage must not make the node deaf: calls come no further apart than what is had at
// discovery's return may wait.
func TestEndOfALongOutageIsNoticedInTime(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, nodes int, seed uint64) {
		for _, took := range []time.Duration{ms, 2 * time.Second} {
			r := newOnRequestRunner(t, nodes, seed, true)
			r.awaitNextCall(r.now + 7*time.Second)
			r.deliverList(ListChanges)
			r.deliverList(ListFailed)
			for begin := r.now; r.now-begin < overloadSuspectedAfter-maxCallPeriod; {
				from := r.now
				r.awaitNextCall(from + maxCallPeriod)
				r.advance(took)
				r.deliverList(ListFailed)
			}
		}
	})
}

// A long answer is not asked for once more while it comes in, and is once it has stopped.
func TestArrivingAnswerIsNotLate(t *testing.T) {
	for _, nodes := range []int{1, 300} {
		r := newPollingRunner(t, false, nodes, 1)
		calls, id := r.host.callCount, r.latestCall()
		const rate = 2 * minArrivalBytesPerSecond
		for bytes := int64(0); bytes < 30*rate; bytes += rate / 10 {
			r.advance(100 * ms)
			r.b.CallProgress(r.now, id, bytes)
		}
		if r.host.callCount != calls {
			t.Errorf("%d nodes: %d calls begin while an answer comes in", nodes, r.host.callCount-calls)
		}
		if r.advance(6 * time.Second); r.host.callCount == calls {
			t.Errorf("%d nodes: no call begins though the answer has stopped", nodes)
		}
	}
}

// An answer that trickles is late as any other.
func TestAnswerThatTricklesIsLate(t *testing.T) {
	r := newPollingRunner(t, false, 1, 1)
	calls, id := r.host.callCount, r.latestCall()
	for i := range int64(40) {
		r.advance(100 * ms)
		r.b.CallProgress(r.now, id, 400*i)
	}
	if r.host.callCount == calls {
		t.Error("no call begins beside an answer that trickles")
	}
}
