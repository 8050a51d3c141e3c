package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// crowdedDiscovery is a model of discovery that works through calls in turn and refuses at once, at no cost,
// those that would wait for too long. While it is down a call fails after some time.
type queueingDiscovery struct {
	callDuration        time.Duration // it works so long on a call
	maxWait             time.Duration // and takes none that would wait longer
	failAfter           time.Duration // a call that comes while it is down fails after this
	downFrom, downUntil time.Duration // it is down
	freeAt              time.Duration // it is done with all calls so far
}

// refusedAfter is how long a refusal takes to its node.
const refusalDelay = 10 * ms

// call takes a call and tells when its node hears of it, and whether it is answered.
func (d *queueingDiscovery) receive(now time.Duration) (endsAt time.Duration, answered bool) {
	if now >= d.downFrom && now < d.downUntil {
		return now + d.failAfter, false
	}
	done := max(d.freeAt, now) + d.callDuration
	if done-now > d.maxWait {
		return now + refusalDelay, false
	}
	d.freeAt = done
	return done, true
}

// returnRig is a node of a fleet before a crowdedDiscovery.
type recoveringNode struct {
	*runner
	callsSeen int           // calls of the host that were looked at
	endsAt    time.Duration // of the call that is out; 0: none
	callID    CallID
	answered  bool // it is
	recovered bool // the node, since discovery's return
}

// play passes time up to now and has discovery take the calls that began.
func (r *recoveringNode) advanceTo(now time.Duration, d *queueingDiscovery) {
	r.advance(now - r.now)
	if r.endsAt > 0 && now >= r.endsAt {
		r.endsAt = 0
		end := CallEnd{ID: r.callID, Result: CallRefused}
		if r.answered {
			end.Result = CallAnswered
			r.recovered = now > d.downUntil
			r.deliverList(ListChanges)
		}
		r.b.CallEnded(now, end)
	}
	for ; r.callsSeen < len(r.host.calls); r.callsSeen++ {
		call := r.host.calls[r.callsSeen]
		r.callID = call.ID
		switch {
		case call.Reason != CallReasonNext:
			r.endsAt, r.answered = d.receive(now)
		case r.recovered: // to go on with a watch costs discovery nothing
			r.endsAt, r.answered = now+call.WaitForChanges, true
		default: // a watch ends as discovery goes down
			r.endsAt, r.answered = d.downFrom, false
		}
	}
}

// Guards rule 3 after an outage: all nodes of a fleet call in vain together, and together again once discovery
// is back, which refuses some of them at once. Each has to hear it within toldAfter all the same.
func TestFleetIsAnsweredByABusyDiscoveryInTimeAfterAnOutage(t *testing.T) {
	for _, c := range []struct {
		nodes    int
		callFor  time.Duration
		waitMost time.Duration
		seeds    int
	}{
		{6, 300 * ms, time.Second, 400}, {12, 150 * ms, time.Second, 100}, {30, 60 * ms, time.Second, 40}, {300, 6 * ms, time.Second, 4},
		{6, 600 * ms, 2400 * ms, 100}, {32, 90 * ms, 2400 * ms, 40},
	} {
		late, longest := 0, time.Duration(0)
		for seed := range c.seeds {
			took := recoveryTime(t, c.nodes, c.callFor, c.waitMost, uint64(seed))
			if longest = max(longest, took); took > maxListAge {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%d nodes, %v a call, which waits for %v at most: in %d of %d outages a node hears later than %v, the last one %v after the return",
				c.nodes, c.callFor, c.waitMost, late, c.seeds, maxListAge, longest)
		}
	}
}

// returnAfterOutage plays an outage and gives the time from its end until the last node has heard discovery.
func recoveryTime(t *testing.T, nodes int, callDuration, maxWait time.Duration, seed uint64) time.Duration {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	settings := testSettings()
	settings.NodeCount, settings.ListOnRequest, settings.LongPolling = nodes, true, true
	start := time.Hour
	d := &queueingDiscovery{callDuration: callDuration, maxWait: maxWait, failAfter: time.Second, downFrom: start + 10*time.Second}
	d.downUntil = d.downFrom + 3*time.Second + time.Duration(rng.Float64()*float64(9*time.Second))
	fleet := make([]*recoveringNode, nodes)
	for i := range fleet {
		h := newHost()
		b, err := New(settings, seed*1000+uint64(i), h)
		if err != nil {
			t.Fatal(err)
		}
		fleet[i] = &recoveringNode{runner: &runner{t: t, b: b, host: h, now: start}}
		fleet[i].deliverList(ListCached, inServiceEntries(1, 3)...)
	}
	for now := start; ; now += 5 * ms {
		all := true
		for _, r := range fleet {
			r.advanceTo(now, d)
			all = all && r.recovered
		}
		if all {
			return now - d.downUntil
		}
		if now > d.downUntil+time.Minute {
			t.Fatal(fmt.Sprintf("%d nodes, seed %d: not all have heard discovery a minute after its return", nodes, seed))
		}
	}
}
