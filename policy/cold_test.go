package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// coldFleet plays a fleet of nodes on one clock, each asked for its part of load times what the
// warm servers can do, while some servers come back cold. All answers are alike, so that nothing
// but the budget holds back. It gives by how many times the room for chance the most loaded cold
// server was sent more than its budget, and all sends to cold servers as a share of the budgets.
func coldFleet(
	t *testing.T, nodes, servers, cold int, load float64, plays time.Duration, uneven bool, seed uint64,
) (worst, used float64) {
	t.Helper()
	const (
		each   = 20.0 // requests a second that a warm server bears
		step   = 10 * ms
		took   = 100 * ms
		settle = 3 * time.Second
	)
	set := testSettings()
	set.NodeCount = nodes
	rules := &set.Rules
	rules.ColdCapacityShare, rules.ColdDuration, rules.OverloadMultiple, rules.OverloadDuration = 0.12, 24*time.Second, 2.5, 2*time.Second
	budget := func(age time.Duration) float64 { // requests in FallFor
		share := rules.ColdCapacityShare + (1-rules.ColdCapacityShare)*age.Seconds()/rules.ColdDuration.Seconds()
		return rules.OverloadMultiple * share * each * rules.OverloadDuration.Seconds()
	}
	type out struct {
		at time.Duration
		id RequestID
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Hour
	fleet, seen, pending := make([]*runner, nodes), make([]int, nodes), make([][]out, nodes)
	part, parts := make([]float64, nodes), 0.0
	for i := range fleet {
		if part[i] = 1; uneven && i%4 == 0 {
			part[i] = 3
		}
		parts += part[i]
		set.NodeIndex = i
		h := newHost()
		b, err := New(set, seed<<32+uint64(i), h)
		if err != nil {
			t.Fatal(err)
		}
		fleet[i] = &runner{t: t, b: b, host: h, now: start - settle, outcomesGiven: map[RequestID]int{}}
		fleet[i].deliverList(ListCached, inServiceEntries(1, servers)...)
	}
	back := inServiceEntries(1, cold)
	for i := range back {
		back[i].StartedAt = start
	}
	got := make([][]time.Duration, cold+1)
	for now := start - settle; now < start+plays; now += step {
		rate := load * each * float64(servers-cold) / parts
		for i, r := range fleet {
			r.advance(now - r.now)
			if now == start {
				r.deliverList(ListChanges, back...)
			}
			for len(pending[i]) > 0 && pending[i][0].at <= now {
				r.endAttempt(pending[i][0].id, OK, took)
				pending[i] = pending[i][1:]
			}
			if rng.Float64() < rate*part[i]*step.Seconds() {
				r.sendRequest(0)
			}
			for _, s := range r.host.sends[seen[i]:] {
				pending[i] = append(pending[i], out{now + took, s.id})
				if int(s.server) <= cold && now >= start {
					got[s.server] = append(got[s.server], now-start)
				}
			}
			seen[i] = len(r.host.sends)
		}
	}
	sent, borne := 0, 0.0
	for _, times := range got[1:] {
		first := 0
		for i, at := range times {
			for at-times[first] > rules.OverloadDuration {
				first++
			}
			n := budget(times[first])
			worst = max(worst, (float64(i-first+1)-n)/(2*math.Sqrt(n)+2))
		}
		sent += len(times)
		borne += budget(plays/2) * plays.Seconds() / rules.OverloadDuration.Seconds()
	}
	return worst, float64(sent) / borne
}

// Guards cold servers against the sum of what all nodes send, in fleets of any size: a node that
// may send several requests in the time that counts needs no more than its part, while one of
// hundreds, which may send none most of the time, would leave most of its part unused.
func TestColdServersBearWhatAllNodesSend(t *testing.T) {
	for _, c := range []struct {
		nodes, servers, cold int
		plays                time.Duration
		uneven               bool
	}{
		{24, 12, 4, 12 * time.Second, false}, {30, 20, 8, 12 * time.Second, false},
		{24, 40, 10, 12 * time.Second, false}, {300, 160, 20, 5 * time.Second, false},
		{300, 160, 20, 5 * time.Second, true}, {80, 120, 60, 5 * time.Second, true},
	} {
		for seed := range uint64(max(1, 48/c.nodes)) {
			worst, used := coldFleet(t, c.nodes, c.servers, c.cold, 1.5, c.plays, c.uneven, seed+1)
			if worst > 1 || used < 0.1 {
				t.Errorf("%d nodes, %d of %d servers cold, seed %d: one was sent %.2f times the room for chance "+
					"over its budget, all of them %.2f of their budgets", c.nodes, c.cold, c.servers, seed+1, worst, used)
			}
		}
	}
}
