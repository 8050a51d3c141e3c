package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulateColdServers simulates a fleet of nodes on one clock while some servers restart and are cold. The load is a
// multiple of the capacity of the warm servers, split over the nodes; with unevenLoad, every fourth node has three times
// the load of the others. All answers take the same time, so that only the cold budget limits what is sent to cold
// servers. It returns the most that one cold server was sent over its
// budget, as a multiple of the tolerance for chance, and all sends to cold servers as a share of their budgets.
func simulateColdServers(
	t *testing.T, nodes, servers, cold int, load float64, duration time.Duration, unevenLoad bool, seed uint64,
) (worstExcess, usedShare float64) {
	t.Helper()
	const (
		warmServerRate = 20.0 // capacity of a warm server, requests per second
		step           = 10 * ms
		latency        = 100 * ms
		warmUp         = 3 * time.Second
	)
	settings := testSettings()
	settings.NodeCount = nodes
	rules := &settings.Rules
	rules.ColdCapacityShare, rules.ColdDuration, rules.OverloadMultiple, rules.OverloadDuration =
		0.12, 24*time.Second, 2.5, 2*time.Second
	budget := func(age time.Duration) float64 { // requests in OverloadDuration
		share := rules.ColdCapacityShare + (1-rules.ColdCapacityShare)*age.Seconds()/rules.ColdDuration.Seconds()
		return rules.OverloadMultiple * share * warmServerRate * rules.OverloadDuration.Seconds()
	}
	type pendingAnswer struct {
		at time.Duration
		id RequestID
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Hour
	fleet, sendsSeen, pending := make([]*runner, nodes), make([]int, nodes), make([][]pendingAnswer, nodes)
	loadWeights, loadWeightSum := make([]float64, nodes), 0.0
	for i := range fleet {
		if loadWeights[i] = 1; unevenLoad && i%4 == 0 {
			loadWeights[i] = 3
		}
		loadWeightSum += loadWeights[i]
		settings.NodeIndex = i
		host := newHost()
		b, err := New(settings, seed<<32+uint64(i), host)
		if err != nil {
			t.Fatal(err)
		}
		fleet[i] = &runner{t: t, b: b, host: host, now: start - warmUp, outcomesGiven: map[RequestID]int{}}
		fleet[i].deliverList(ListCached, inServiceEntries(1, servers)...)
	}
	restarted := inServiceEntries(1, cold)
	for i := range restarted {
		restarted[i].StartedAt = start
	}
	sendTimes := make([][]time.Duration, cold+1)
	for now := start - warmUp; now < start+duration; now += step {
		rate := load * warmServerRate * float64(servers-cold) / loadWeightSum
		for i, r := range fleet {
			r.advance(now - r.now)
			if now == start {
				r.deliverList(ListChanges, restarted...)
			}
			for len(pending[i]) > 0 && pending[i][0].at <= now {
				r.endAttempt(pending[i][0].id, OK, latency)
				pending[i] = pending[i][1:]
			}
			if rng.Float64() < rate*loadWeights[i]*step.Seconds() {
				r.sendRequest(0)
			}
			for _, s := range r.host.sends[sendsSeen[i]:] {
				pending[i] = append(pending[i], pendingAnswer{now + latency, s.id})
				if int(s.server) <= cold && now >= start {
					sendTimes[s.server] = append(sendTimes[s.server], now-start)
				}
			}
			sendsSeen[i] = len(r.host.sends)
		}
	}
	sent, budgetSum := 0, 0.0
	for _, times := range sendTimes[1:] {
		first := 0
		for i, at := range times {
			for at-times[first] > rules.OverloadDuration {
				first++
			}
			allowed := budget(times[first])
			worstExcess = max(worstExcess, (float64(i-first+1)-allowed)/(2*math.Sqrt(allowed)+2))
		}
		sent += len(times)
		budgetSum += budget(duration/2) * duration.Seconds() / rules.OverloadDuration.Seconds()
	}
	return worstExcess, float64(sent) / budgetSum
}

// Guards against cold servers that are overloaded by the sum of what all nodes send, in fleets of any size. A node whose
// part of the budget allows several requests within OverloadDuration keeps to that part. One of hundreds of nodes, whose
// part allows none most of the time, would leave most of it unused.
func TestColdServersAreNotOverloadedByAllNodesTogether(t *testing.T) {
	for _, c := range []struct {
		nodes, servers, cold int
		duration             time.Duration
		unevenLoad           bool
	}{
		{24, 12, 4, 12 * time.Second, false}, {30, 20, 8, 12 * time.Second, false},
		{24, 40, 10, 12 * time.Second, false}, {300, 160, 20, 5 * time.Second, false},
		{300, 160, 20, 5 * time.Second, true}, {80, 120, 60, 5 * time.Second, true},
	} {
		for seed := range uint64(max(1, 48/c.nodes)) {
			worstExcess, usedShare := simulateColdServers(t, c.nodes, c.servers, c.cold, 1.5, c.duration, c.unevenLoad, seed+1)
			if worstExcess > 1 || usedShare < 0.1 {
				t.Errorf("%d nodes, %d of %d servers cold, seed %d: one was sent %.2f times the tolerance for chance "+
					"over its budget, want 1 or less; all of them were sent %.2f of their budgets, want 0.1 or more",
					c.nodes, c.cold, c.servers, seed+1, worstExcess, usedShare)
			}
		}
	}
}
