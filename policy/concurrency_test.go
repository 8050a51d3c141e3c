package policy

import (
	"testing"
	"time"
)

// updateLimitFor updates the concurrency limit every 10 ms at a constant mean log latency ratio.
func updateLimitFor(b *Balancer, from, duration time.Duration, logLatencyRatio float64) {
	for now := from; now < from+duration; now += 10 * ms {
		b.meanLogLatencyRatio = logLatencyRatio
		b.updateConcurrencyLimit(now)
	}
}

// newLimitRunner returns a runner whose concurrency limit may grow: enough unloaded latencies are known and a request
// waits in the queue.
func newLimitRunner(t *testing.T) (*runner, *Balancer) {
	r := newRunner(t, testSettings(), 4)
	r.b.unloadedSamples, r.b.typicalLatencySeconds, r.b.controlUpdatedAt = minUnloadedSamples, 0.1, r.now
	r.b.queue = append(r.b.queue, &request{done: true}) // a request waits
	return r, r.b
}

// Guards against a limit that grows at low load, where nothing reaches it, and is far too high when an overload comes.
func TestLimitGrowsOnlyWhileRequestsWait(t *testing.T) {
	r, b := newLimitRunner(t)
	before := b.concurrencyLimit
	waiting := b.queue
	b.queue = nil
	updateLimitFor(b, r.now, time.Second, 0)
	if b.concurrencyLimit != before {
		t.Fatalf("limit went from %v to %v though no request waits", before, b.concurrencyLimit)
	}
	b.queue = waiting
	updateLimitFor(b, r.now+time.Second, time.Second, 0)
	if b.concurrencyLimit <= before {
		t.Fatal("limit did not grow while requests wait and servers are not congested")
	}
}

// Guards against a limit that grows before the unloaded latencies are known, by which congestion is detected.
func TestLimitWaitsForUnloadedLatencies(t *testing.T) {
	r, b := newLimitRunner(t)
	b.unloadedSamples = minUnloadedSamples - 1
	before := b.concurrencyLimit
	updateLimitFor(b, r.now, time.Second, 0)
	if b.concurrencyLimit != before {
		t.Fatal("limit grew before unloaded latencies were known")
	}
}

// Guards against a limit that stays too high for servers whose throughput falls as they have more requests in flight,
// and against one that falls so low, in a fleet that is slow as a whole, that servers are idle.
func TestLimitShrinksUnderCongestionButNotFarBelowTheKnownGood(t *testing.T) {
	r, b := newLimitRunner(t)
	b.sawCongestion, b.concurrencyLimit, b.knownGoodLimit = true, 8, 4
	updateLimitFor(b, r.now, 5*time.Second, 1)
	if b.concurrencyLimit >= 8 {
		t.Fatal("limit did not shrink under congestion")
	}
	updateLimitFor(b, r.now+5*time.Second, 20*time.Second, 1)
	if b.concurrencyLimit < 2 || b.concurrencyLimit > 4 {
		t.Fatalf("limit %v after 25 s of slowness, want it near the known-good limit of 4", b.concurrencyLimit)
	}
}

// Guards against a limit that stays too high after its fast growth at the start, as latencies rise with a delay.
func TestFirstCongestionCutsTheLimitAtOnce(t *testing.T) {
	r, b := newLimitRunner(t)
	b.concurrencyLimit = 10
	updateLimitFor(b, r.now, 10*ms, 1)
	if b.concurrencyLimit > 7 {
		t.Fatalf("limit %v after the first sign of congestion, want 7 or less", b.concurrencyLimit)
	}
}

// Guards against many nodes that each have one request in flight per server, which together overload it.
func TestManyNodesSendLessThanOneRequestPerServer(t *testing.T) {
	settings := testSettings()
	settings.NodeCount = 10
	r := newRunner(t, settings, 20)
	for range 50 {
		r.sendRequest(0)
	}
	if n := len(r.host.sends); n < 2 || n > 8 {
		t.Fatalf("%d requests in flight from one of ten nodes at twenty servers, want 2 to 8", n)
	}
}

// Guards against a reference latency that grows with the load: a server without requests from this node may still have
// requests from others.
func TestUnloadedLatenciesAreLearnedOnlyAtLowLoad(t *testing.T) {
	settings := testSettings()
	settings.NodeCount = 7
	r := newRunner(t, settings, 7)
	r.b.concurrencyLimit = 2
	unloadedCount := 0
	for range 7 {
		id := r.sendRequest(0)
		if a := &r.b.requests[id].attempts[0]; a.atUnloadedServer {
			unloadedCount++
		}
	}
	if unloadedCount == 0 || unloadedCount > 4 {
		t.Fatalf("%d of 7 requests count as sent to an unloaded server, want the first few", unloadedCount)
	}
}

// Guards against a reference latency that changes after servers were compared with it.
func TestReferenceLatencyStaysOnceSettled(t *testing.T) {
	r := newRunner(t, testSettings(), 4)
	r.serveRequests(referenceLatencySamples, 0, 50*ms)
	want := r.b.classes[0].referenceLatencySeconds
	if want == 0 {
		t.Fatal("no reference latency after enough requests to unloaded servers")
	}
	r.serveRequests(50, 0, 150*ms)
	if got := r.b.classes[0].referenceLatencySeconds; got != want {
		t.Fatalf("reference latency changed from %v to %v", want, got)
	}
	if r.b.classes[0].meanUnloadedLatencySeconds.Value <= want {
		t.Fatal("the mean unloaded latency of the class does not follow the latencies")
	}
}

// Guards against a node that stops sending because its attempts at servers with open breakers use up the limit.
func TestAttemptsAtServersWithOpenBreakersDoNotUseUpTheLimit(t *testing.T) {
	r := newRunner(t, testSettings(), 4)
	for range 4 {
		r.sendRequest(0)
	}
	for _, s := range r.b.subset[:2] {
		for range failuresToOpen {
			r.b.recordFailure(r.now, &attempt{server: s}, false)
		}
	}
	for _, s := range r.b.subset[2:] {
		for _, a := range append([]*attempt(nil), s.inFlight...) {
			r.endAttempt(a.request.ID, OK, 10*ms)
		}
	}
	if id := r.sendRequest(0); len(r.serversSentTo(id)) != 1 {
		t.Fatal("nothing is sent to idle servers, because servers with open breakers hold attempts")
	}
}

func TestTiesGoToTheOwnZone(t *testing.T) {
	near, far := &server{inOwnZone: true}, &server{}
	if betterServer(far, near) != near || betterServer(near, far) != near {
		t.Fatal("among equal servers, the one in the node's own zone has to be chosen")
	}
	near.inFlight = append(near.inFlight, &attempt{})
	if betterServer(near, far) != far {
		t.Fatal("the server with fewer attempts in flight has to be chosen before the one in the own zone")
	}
}

func TestLastServerOfAKeyIsOneOfTheTwoCandidates(t *testing.T) {
	settings := testSettings()
	settings.KeyAffinity = true
	r := newRunner(t, settings, 4) // all in one zone
	sendRequest := func() ServerID {
		r.lastID++
		r.b.RequestArrived(r.now, Request{ID: r.lastID, Key: 42, TimeLeft: time.Second})
		s := r.serversSentTo(r.lastID)[0]
		r.advance(10 * ms)
		r.endAttempt(r.lastID, OK, 10*ms)
		r.advance(10 * ms) // scores are updated at most once at each time
		return s
	}
	first := sendRequest()
	for range 20 {
		if s := sendRequest(); s != first {
			t.Fatalf("request went to server %d, though server %d served its key last and is idle", s, first)
		}
	}
}

// Guards against ordering the queue by an initial estimate of the work that a busy fleet never corrects, because it
// sees no unloaded latencies.
func TestValuePerWorkFollowsAllAnswers(t *testing.T) {
	r := newRunner(t, testSettings(), 2)
	heavy := &request{class: &r.b.classes[0]}
	for range 50 {
		r.b.recordLatency(&attempt{server: r.b.subset[0]}, heavy, 0.9) // at a server that is never unloaded
	}
	r.sendRequest(0) // brings a server to its limit, as does the next
	r.sendRequest(0)
	a, b := r.sendRequest(0), r.sendRequest(1)
	if x, y := r.b.requests[a], r.b.requests[b]; x == nil || y == nil || !y.precedes(x) {
		t.Fatal("a class that takes longer for the same value has to come second")
	}
}

// Guards against a server that counts as busy although it has responded: while the outcome of its attempt is not known
// yet, a waiting request is sent to it, and the outcome still counts.
func TestResponseFreesItsServerBeforeItsOutcomeIsKnown(t *testing.T) {
	r := newRunner(t, testSettings(), 1)
	first := r.sendRequest(0)
	waiting := r.sendRequest(0)
	for len(r.serversSentTo(waiting)) > 0 {
		waiting = r.sendRequest(0)
	}
	r.b.ResponseReceived(r.now, first, 0)
	r.b.ResponseReceived(r.now, first, 0) // once more changes nothing
	if n := len(r.serversSentTo(waiting)); n != 1 {
		t.Fatalf("the waiting request was sent %d times, want once", n)
	}
	if next := r.sendRequest(0); len(r.serversSentTo(next)) != 0 {
		t.Error("a response frees its server twice")
	}
	outcomes := r.b.subset[0].outcomes.Count
	r.endAttempt(first, OK, 10*ms)
	if got := r.b.subset[0].outcomes.Count; got != outcomes+1 {
		t.Errorf("%d outcomes of the server, want %d", got, outcomes+1)
	}
	r.b.ResponseReceived(r.now, first, 0)      // later than the outcome
	r.b.ResponseReceived(r.now, r.lastID+1, 3) // of no request
}
