package policy

import (
	"testing"
	"time"
)

// newOnRequestRunner returns a runner for a node of a fleet whose list comes on request. The node has just started
// with a cached list; confirm sets Settings.ConfirmCachedList.
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

// awaitNextCall advances the time until the next call begins. The test fails if none begins before the deadline.
func (r *runner) awaitNextCall(deadline time.Duration) {
	r.t.Helper()
	for calls := r.host.callCount; r.host.callCount == calls; r.advance(5 * ms) {
		if r.now > deadline {
			r.t.Fatalf("no call has begun %v after the time allowed", r.now-deadline)
		}
	}
}

// forEachFleetSize runs a test with several seeds for nodes of small and large fleets.
func forEachFleetSize(t *testing.T, test func(t *testing.T, nodes int, seed uint64)) {
	t.Helper()
	for _, nodes := range []int{1, 5, 300, 900} {
		for seed := range uint64(20) {
			test(t, nodes, seed)
		}
	}
}

// Guards against requests to servers out of service after a restart: the node may already have to know what changed
// while it was down, so nothing is sent by the cached list until discovery has reported what changed.
func TestNothingIsSentByAListThatIsNotConfirmed(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, nodes int, seed uint64) {
		r := newOnRequestRunner(t, nodes, seed, true)
		early := r.sendRequest(0)
		if _, refused := r.host.refused[early]; !refused || len(r.host.sends) > 0 || r.host.readyCount > 0 {
			t.Fatalf("%d nodes: request before the list is confirmed: refused %t, sends %v, want refused and no sends", nodes, refused, r.host.sends)
		}
		r.awaitNextCall(r.now + 7*time.Second)
		r.deliverList(ListChanges, Entry{Server: 2, State: StateGone}, Entry{Server: 3, State: StateGone})
		if r.host.readyCount != 1 {
			t.Fatalf("%d nodes: the node reported ready %d times after the list was confirmed, want once", nodes, r.host.readyCount)
		}
		// The server that is left depends on the change alone.
		if id := r.sendRequest(0); len(r.serversSentTo(id)) != 1 || r.serversSentTo(id)[0] != 1 {
			t.Fatalf("%d nodes: request sent to %v, want the server that is left", nodes, r.serversSentTo(id))
		}
	})
}

// Guards against a node that never serves because discovery can't be reached.
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
				t.Fatalf("%d nodes: the node is not ready after %v", nodes, r.now-start)
			}
		}
		if r.now-start < 4*time.Second {
			t.Fatalf("%d nodes: the node is ready after %v, want at least 4 s as discovery may be slow", nodes, r.now-start)
		}
		for ; r.now < start+maxConfirmationWait-5*ms; r.advance(5 * ms) {
			if r.host.callCount > calls {
				calls = r.host.callCount
				r.deliverList(ListFailed)
			}
			if id := r.sendRequest(0); len(r.serversSentTo(id)) > 0 {
				t.Fatalf("%d nodes: the unconfirmed list serves a request after %v", nodes, r.now-start)
			}
		}
		r.advance(10 * ms)
		if id := r.sendRequest(0); len(r.serversSentTo(id)) != 1 {
			t.Fatalf("%d nodes: the cached list does not serve a request after %v", nodes, r.now-start)
		}
		if r.host.callCount > calls {
			r.deliverList(ListFailed) // ends a call that has just begun
		}
		r.awaitNextCall(r.now + maxCallPeriod)
		r.deliverList(ListWhole, inServiceEntries(1, 1)...)
		if r.host.readyCount != 1 {
			t.Fatalf("%d nodes: the node reported ready %d times, want once", nodes, r.host.readyCount)
		}
	})
}

// Guards against requests sent by an unconfirmed list: a node has to know the list of its agent from the
// start on, so a cached list never serves unconfirmed.
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
		t.Fatalf("the node reported ready %d times while the agent is silent, want once", h.readyCount)
	}
	if id := r.sendRequest(0); len(r.serversSentTo(id)) > 0 {
		t.Fatal("a request is sent by an unconfirmed list")
	}
	r.deliverList(ListWhole, inServiceEntries(2, 3)...)
	if id := r.sendRequest(0); len(r.serversSentTo(id)) != 1 || h.readyCount != 1 {
		t.Fatalf("sends %v and %d reports of ready after the list was confirmed, want one of each", h.sends, h.readyCount)
	}
}

// Guards against a node that waits for confirmation though the settings do not ask for it, as in the simulator.
func TestListServesAtOnceWhereItNeedNotBeConfirmed(t *testing.T) {
	r := newOnRequestRunner(t, 300, 1, false)
	if id := r.sendRequest(0); len(r.serversSentTo(id)) != 1 || r.host.readyCount != 1 {
		t.Fatalf("sends %v and %d reports of ready, want one of each", r.host.sends, r.host.readyCount)
	}
}

// Guards against requests to servers out of service after several failures in a row: the node has to know a change
// maxListAge after its last answer, whenever its watch broke and however often calls have failed since.
func TestCallsThatFailInARowAreMadeBeforeTheListDeadline(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, nodes int, seed uint64) {
		for _, broken := range []struct {
			kind  ListKind
			after time.Duration // time since the last answer
		}{{ListFailed, 0}, {ListFailed, 2500 * ms}, {ListSilent, 3 * time.Second}} {
			r := newOnRequestRunner(t, nodes, seed, true)
			r.awaitNextCall(r.now + 7*time.Second)
			r.deliverList(ListChanges)
			listDeadline := r.now + maxListAge
			r.advance(broken.after)
			r.deliverList(broken.kind)
			for failures := range 2 {
				r.awaitNextCall(listDeadline - 250*ms) // leaves time for the answer
				if failures == 0 && r.now > listDeadline-900*ms {
					t.Fatalf("%d nodes: the first call after the watch ended comes only %v before the list deadline", nodes, listDeadline-r.now)
				}
				r.advance(20 * ms)
				r.deliverList(ListFailed)
			}
		}
	})
}

// Guards against requests to servers out of service after a reload: the node has to know the list of the new address
// within maxAddressChangeDelay.
func TestCallsToAnotherAddressAreMadeBeforeTheListDeadline(t *testing.T) {
	forEachFleetSize(t, func(t *testing.T, nodes int, seed uint64) {
		r := newOnRequestRunner(t, nodes, seed, true)
		r.awaitNextCall(r.now + 7*time.Second)
		r.deliverList(ListChanges)
		r.advance(time.Second)
		listDeadline := r.now + maxAddressChangeDelay
		r.deliverList(ListAddressChanged)
		for range 3 {
			r.awaitNextCall(listDeadline - 500*ms)
			r.advance(20 * ms)
			r.deliverList(ListFailed)
		}
	})
}

// Guards against two calls after a reload, which cancels the call that was planned before it.
func TestReloadMakesOneCall(t *testing.T) {
	r := newOnRequestRunner(t, 300, 1, true)
	r.deliverList(ListAddressChanged)
	r.deliverList(ListAddressChanged)
	r.awaitNextCall(r.now + maxAddressChangeSpread)
	r.deliverList(ListWhole, inServiceEntries(1, 3)...)
	calls := r.host.callCount
	if r.advance(10 * time.Second); r.host.callCount != calls {
		t.Errorf("%d calls begin while the watch is open", r.host.callCount-calls)
	}
}

// Guards against a node that notices the end of a long outage too late: calls come no further apart than the
// node may take to learn of changes.
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

// Guards against a second call while a long answer is arriving, and against further waiting once it has stopped
// arriving.
func TestArrivingAnswerIsNotLate(t *testing.T) {
	for _, nodes := range []int{1, 300} {
		r := newPollingRunner(t, false, nodes, 1)
		calls, id := r.host.callCount, r.latestCallID()
		const rate = 2 * minArrivalBytesPerSecond
		for bytes := int64(0); bytes < 30*rate; bytes += rate / 10 {
			r.advance(100 * ms)
			r.b.CallProgress(r.now, id, bytes)
		}
		if r.host.callCount != calls {
			t.Errorf("%d nodes: %d calls begin while an answer arrives", nodes, r.host.callCount-calls)
		}
		if r.advance(6 * time.Second); r.host.callCount == calls {
			t.Errorf("%d nodes: no call begins though the answer has stopped arriving", nodes)
		}
	}
}

// Guards against waiting for an answer that arrives too slowly: it is late like any other.
func TestAnswerThatArrivesTooSlowlyIsLate(t *testing.T) {
	r := newPollingRunner(t, false, 1, 1)
	calls, id := r.host.callCount, r.latestCallID()
	for i := range int64(40) {
		r.advance(100 * ms)
		r.b.CallProgress(r.now, id, 400*i)
	}
	if r.host.callCount == calls {
		t.Error("no call begins beside an answer that arrives too slowly")
	}
}
