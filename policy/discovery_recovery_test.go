package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// queueingDiscovery is a model of discovery that works on one call after the other. It refuses calls that would wait
// for too long, at once and at no cost. While it is down, calls fail after some time.
type queueingDiscovery struct {
	callDuration        time.Duration // time that it works on a call
	maxWait             time.Duration // longest time that a call may wait
	failAfter           time.Duration // time after which a call that comes while it is down fails
	downFrom, downUntil time.Duration // it is down between these times
	freeAt              time.Duration // time at which the work on all calls so far is done
}

// refusalDelay is how long a refusal takes to reach its node.
const refusalDelay = 10 * ms

// receive takes a call and returns when it ends for its node, and whether it is answered.
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

// recoveringNode is a node of a fleet that calls a queueingDiscovery.
type recoveringNode struct {
	*runner
	callsSeen int           // number of the node's calls that were passed to discovery
	endsAt    time.Duration // end of the call in flight; 0: there is none
	callID    CallID
	answered  bool // the call in flight will be answered
	recovered bool // the node has had an answer since the outage
}

// advanceTo advances the time, ends the call in flight if it is due and passes new calls to discovery.
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
		case r.recovered: // continuing a watch costs discovery nothing
			r.endsAt, r.answered = now+call.WaitForChanges, true
		default: // watches end when discovery goes down
			r.endsAt, r.answered = d.downFrom, false
		}
	}
}

// Guards against requests to servers out of service after an outage. All nodes of a fleet call at the same time during
// the outage, and again at the same time after it, when discovery refuses some of the calls at once. Each node has to
// get an answer within maxListAge nevertheless.
func TestFleetIsAnsweredByABusyDiscoveryInTimeAfterAnOutage(t *testing.T) {
	for _, c := range []struct {
		nodes        int
		callDuration time.Duration
		maxWait      time.Duration
		seeds        int
	}{
		{6, 300 * ms, time.Second, 400}, {12, 150 * ms, time.Second, 100}, {30, 60 * ms, time.Second, 40}, {300, 6 * ms, time.Second, 4},
		{6, 600 * ms, 2400 * ms, 100}, {32, 90 * ms, 2400 * ms, 40},
	} {
		late, longest := 0, time.Duration(0)
		for seed := range c.seeds {
			took := recoveryTime(t, c.nodes, c.callDuration, c.maxWait, uint64(seed))
			if longest = max(longest, took); took > maxListAge {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%d nodes, %v a call, waiting for %v at most: in %d of %d outages a node has its answer later than %v, the last %v after it",
				c.nodes, c.callDuration, c.maxWait, late, c.seeds, maxListAge, longest)
		}
	}
}

// recoveryTime simulates an outage and returns the time from its end until the last node has had an answer.
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
		allRecovered := true
		for _, r := range fleet {
			r.advanceTo(now, d)
			allRecovered = allRecovered && r.recovered
		}
		if allRecovered {
			return now - d.downUntil
		}
		if now > d.downUntil+time.Minute {
			t.Fatal(fmt.Sprintf("%d nodes, seed %d: not all nodes have had an answer a minute after the outage", nodes, seed))
		}
	}
}
