package policy

import (
	"testing"
	"time"
)

// steerFor steers the bound for a while at a steady crowding.
func updateLimitFor(b *Balancer, from, duration time.Duration, logLatencyRatio float64) {
	for now := from; now < from+duration; now += 10 * ms {
		b.meanLogLatencyRatio = logLatencyRatio
		b.updateConcurrencyLimit(now)
	}
}

func newLimitRunner(t *testing.T) (*runner, *Balancer) {
	r := newRunner(t, testSettings(), 4)
	r.b.unloadedSamples, r.b.typicalLatencySeconds, r.b.controlUpdatedAt = minUnloadedSamples, 0.1, r.now
	r.b.queue = append(r.b.queue, &request{done: true}) // someone waits
	return r, r.b
}

// Guards against a bound that grows unused in quiet times and is none when a crowd comes.
func TestLimitGrowsOnlyWhileRequestsWait(t *testing.T) {
	r, b := newLimitRunner(t)
	before := b.concurrencyLimit
	waiting := b.queue
	b.queue = nil
	updateLimitFor(b, r.now, time.Second, 0)
	if b.concurrencyLimit != before {
		t.Fatalf("bound went from %v to %v though nothing waits", before, b.concurrencyLimit)
	}
	b.queue = waiting
	updateLimitFor(b, r.now+time.Second, time.Second, 0)
	if b.concurrencyLimit <= before {
		t.Fatal("bound did not grow while requests wait and servers are not crowded")
	}
}

// Guards against growing before there is anything to tell a crowd by.
func TestLimitWaitsForUnloadedLatencies(t *testing.T) {
	r, b := newLimitRunner(t)
	b.unloadedSamples = minUnloadedSamples - 1
	before := b.concurrencyLimit
	updateLimitFor(b, r.now, time.Second, 0)
	if b.concurrencyLimit != before {
		t.Fatal("bound grew before lone latencies were known")
	}
}

// Guards against servers that get less done the more they hold, and against a fleet
// that is slow as a whole starving itself.
func TestLimitShrinksUnderCongestionButNotFarBelowTheKnownGood(t *testing.T) {
	r, b := newLimitRunner(t)
	b.sawCongestion, b.concurrencyLimit, b.knownGoodLimit = true, 8, 4
	updateLimitFor(b, r.now, 5*time.Second, 1)
	if b.concurrencyLimit >= 8 {
		t.Fatal("bound did not shrink in a crowd")
	}
	updateLimitFor(b, r.now+5*time.Second, 20*time.Second, 1)
	if b.concurrencyLimit < 2 || b.concurrencyLimit > 4 {
		t.Fatalf("bound %v after 25 s of slowness, want it near the known 4", b.concurrencyLimit)
	}
}

// Guards against the overshoot of the start's fast growth, which answers reveal late.
func TestFirstCongestionCutsTheLimitAtOnce(t *testing.T) {
	r, b := newLimitRunner(t)
	b.concurrencyLimit = 10
	updateLimitFor(b, r.now, 10*ms, 1)
	if b.concurrencyLimit > 7 {
		t.Fatalf("bound %v after the first sign of a crowd, want well below 10", b.concurrencyLimit)
	}
}

// Guards against one request a server from each of many nodes, which is a crowd.
func TestManyNodesSendLessThanOneRequestPerServer(t *testing.T) {
	settings := testSettings()
	settings.NodeCount = 10
	r := newRunner(t, settings, 20)
	for range 50 {
		r.sendRequest(0)
	}
	if n := len(r.host.sends); n < 2 || n > 8 {
		t.Fatalf("%d requests in flight from one of ten nodes at twenty servers", n)
	}
}

// Guards against a yardstick that grows with the crowd: alone among ours is not alone.
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
		t.Fatalf("%d of 7 requests count as lone, want the first few", unloadedCount)
	}
}

// Guards against a class mean that moves on after servers were measured against it.
func TestReferenceLatencyStaysOnceSettled(t *testing.T) {
	r := newRunner(t, testSettings(), 4)
	r.serveRequests(referenceLatencySamples, 0, 50*ms)
	want := r.b.classes[0].referenceLatencySeconds
	if want == 0 {
		t.Fatal("no yardstick after enough lone requests")
	}
	r.serveRequests(50, 0, 150*ms)
	if got := r.b.classes[0].referenceLatencySeconds; got != want {
		t.Fatalf("yardstick moved from %v to %v", want, got)
	}
	if r.b.classes[0].meanUnloadedLatencySeconds.Value <= want {
		t.Fatal("the class's own mean must follow")
	}
}

// Guards against a stop of all sends when servers that hold our attempts vanish.
func TestAttemptsAtOpenServersDoNotUseUpTheLimit(t *testing.T) {
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
		t.Fatal("a free server is left idle because open ones hold attempts")
	}
}

func TestTiesGoToTheOwnZone(t *testing.T) {
	near, far := &server{inOwnZone: true}, &server{}
	if betterServer(far, near) != near || betterServer(near, far) != near {
		t.Fatal("among equals the own zone must win")
	}
	near.inFlight = append(near.inFlight, &attempt{})
	if betterServer(near, far) != far {
		t.Fatal("fewer in flight must win over the zone")
	}
}

func TestLastServerOfAKeyIsOneOfTheTwoCandidates(t *testing.T) {
	settings := testSettings()
	settings.KeyAffinity = true
	r := newRunner(t, settings, 4) // one zone
	sendRequest := func() ServerID {
		r.lastID++
		r.b.RequestArrived(r.now, Request{ID: r.lastID, Key: 42, TimeLeft: time.Second})
		s := r.serversSentTo(r.lastID)[0]
		r.advance(10 * ms)
		r.endAttempt(r.lastID, OK, 10*ms)
		r.advance(10 * ms) // scores are brought up to date once an instant
		return s
	}
	first := sendRequest()
	for range 20 {
		if s := sendRequest(); s != first {
			t.Fatalf("key went to %d, though %d is warm and idle", s, first)
		}
	}
}

// Guards against ordering held requests by a guess that busy fleets never correct.
func TestValuePerWorkFollowsAllAnswers(t *testing.T) {
	r := newRunner(t, testSettings(), 2)
	heavy := &request{class: &r.b.classes[0]}
	for range 50 {
		r.b.recordLatency(&attempt{server: r.b.subset[0]}, heavy, 0.9) // never alone
	}
	r.sendRequest(0) // fills a server, as does the next
	r.sendRequest(0)
	a, b := r.sendRequest(0), r.sendRequest(1)
	if x, y := r.b.requests[a], r.b.requests[b]; x == nil || y == nil || !y.precedes(x) {
		t.Fatal("a class that takes longer for the same worth must come second")
	}
}
