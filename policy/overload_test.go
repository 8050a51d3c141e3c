package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A model of a whole fleet in simulated time: many nodes with the real policy, servers with
// bounded queues that get slow when crowded, and clients that try again when they are turned away.

// fleetModel says what is played.
type fleetScenario struct {
	nodes, servers      int
	loadShare           float64 // share of the servers' capacity that is asked for,
	burstFactor         float64 // times that from burstFrom to burstTo
	burstFrom           time.Duration
	burstTo             time.Duration
	duration            time.Duration
	retries             int     // further tries of a client after a refusal
	heedRetryAfterShare float64 // share of the clients that wait as long as they are told
}

// modelServer serves its queue in turn on each core.
type simulatedServer struct {
	cores, maxQueue    int
	speed              float64
	busyCores          int
	queue              []*simulatedAttempt
	slowdown           float64 // times longer than usual, while choked
	overloadedSince    time.Duration
	lightlyLoadedSince time.Duration
}

type simulatedAttempt struct {
	id          RequestID
	index       int
	node        *simulatedNode
	server      ServerID
	sent        time.Duration
	workSeconds float64 // seconds on a core of speed 1
	hasOutcome  bool    // the node has its outcome
	started     bool
}

type simulatedClient struct {
	class           int
	requestedAt     time.Duration
	tries           int
	heedsRetryAfter bool
	workSeconds     float64
	deadline        time.Duration
}

type simulatedNode struct {
	fleet     *fleetSimulation
	nodeIndex int
	balancer  *Balancer
	nextID    RequestID
	clients   map[RequestID]*simulatedClient
	attempts  map[RequestID][]*simulatedAttempt
	actions   []func()
}

type simulatedEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type fleetSimulation struct {
	t              *testing.T
	scenario       fleetScenario
	settings       Settings
	rng            *rand.Rand
	now            time.Duration
	events         eventQueue
	sequence       int
	servers        []*simulatedServer
	nodes          []*simulatedNode
	requestedValue []float64 // worth, by second
	servedValue    []float64
	sends          int
}

const simulationStart = time.Hour

func (f *fleetSimulation) schedule(at time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.events, simulatedEvent{max(at, f.now), f.sequence, do})
}

// modelSettings has short requests that are wanted soon and longer ones of more worth.
func simulationSettings(nodes int) Settings {
	settings := testSettings()
	settings.NodeCount = nodes
	settings.Classes = []Class{
		{Deadline: 900 * ms, LatencyTarget: 350 * ms, Value: 1, LateValueShare: 0.3},
		{Deadline: 4500 * ms, LatencyTarget: 900 * ms, Value: 12, LateValueShare: 0.1, Idempotency: IdempotentByKey, DedupScope: DedupCell, DedupWindow: 3 * time.Second},
	}
	settings.Limits = Limits{MaxAttempts: 3, AllowHedging: true, AllowCancel: true, MaxRetryAfter: 800 * ms}
	settings.Penalties = Penalties{WastedWork: 0.02, LateFailure: 0.037}
	return settings
}

var meanWorkSeconds = []float64{0.085, 0.140} // seconds, by class

const firstClassShare = 0.78 // share of the requests

// play plays a model and gives the worth served in time as a share of the worth asked for, by second.
func (scenario fleetScenario) run(t *testing.T, seed uint64) (servedShare float64, simulation *fleetSimulation) {
	t.Helper()
	simulation = &fleetSimulation{t: t, scenario: scenario, settings: simulationSettings(scenario.nodes), rng: rand.New(rand.NewPCG(seed, 7)), now: simulationStart}
	seconds := int(scenario.duration/time.Second) + 1
	simulation.requestedValue, simulation.servedValue = make([]float64, seconds), make([]float64, seconds)
	var list []Entry
	capacity := 0.0
	for i := range scenario.servers {
		s := &simulatedServer{cores: 3, speed: 2, maxQueue: 14 * 3, slowdown: 1, overloadedSince: -1, lightlyLoadedSince: -1}
		switch draw := simulation.rng.Float64(); {
		case draw < 0.47:
			s.cores, s.speed, s.maxQueue = 2, 0.8, 16*2
		case draw < 0.72:
			s.speed = 1.2
		}
		capacity += float64(s.cores) * s.speed
		simulation.servers = append(simulation.servers, s)
		list = append(list, Entry{Server: ServerID(i + 1), Zone: i % 2, Cell: i / 6, State: StateInService, Weight: float64(s.cores) * s.speed})
	}
	weights, sum := make([]float64, scenario.nodes), 0.0
	for i := range weights {
		weights[i] = 1
		if simulation.rng.Float64() < 0.25 {
			weights[i] = 3
		}
		sum += weights[i]
	}
	for i := range scenario.nodes {
		node := &simulatedNode{fleet: simulation, nodeIndex: i, clients: map[RequestID]*simulatedClient{}, attempts: map[RequestID][]*simulatedAttempt{}}
		settings := simulation.settings
		settings.NodeIndex, settings.Zone = i, i%2
		var err error
		if node.balancer, err = New(settings, seed<<20+uint64(i), node); err != nil {
			t.Fatal(err)
		}
		simulation.nodes = append(simulation.nodes, node)
		node.deliver(func(b *Balancer) { b.ListUpdated(simulation.now, ListCached, list) })
		meanWork := firstClassShare*meanWorkSeconds[0] + (1-firstClassShare)*meanWorkSeconds[1]
		simulation.scheduleArrival(node, scenario.loadShare*capacity/meanWork*weights[i]/sum)
	}
	for len(simulation.events) > 0 {
		event := heap.Pop(&simulation.events).(simulatedEvent)
		simulation.now = event.at
		if simulation.now > simulationStart+scenario.duration+5*time.Second {
			break
		}
		event.do()
	}
	requested, served := 0.0, 0.0
	for i := range simulation.requestedValue {
		requested += simulation.requestedValue[i]
		served += simulation.servedValue[i]
	}
	return served / requested, simulation
}

// arrive lets clients ask a node at a rate a second.
func (f *fleetSimulation) scheduleArrival(node *simulatedNode, baseRate float64) {
	rate := baseRate
	elapsed := f.now - simulationStart
	if elapsed >= f.scenario.burstFrom && elapsed < f.scenario.burstTo {
		rate *= f.scenario.burstFactor
	}
	gap := time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
	f.schedule(f.now+gap, func() {
		if f.now-simulationStart >= f.scenario.duration {
			return
		}
		client := &simulatedClient{requestedAt: f.now, heedsRetryAfter: f.rng.Float64() < f.scenario.heedRetryAfterShare}
		if f.rng.Float64() >= firstClassShare {
			client.class = 1
		}
		client.deadline = f.now + f.settings.Classes[client.class].Deadline
		client.workSeconds = meanWorkSeconds[client.class] * math.Exp(0.45*f.rng.NormFloat64()-0.1)
		f.requestedValue[int((client.requestedAt-simulationStart)/time.Second)] += f.settings.Classes[client.class].Value
		f.startTry(node, client)
		f.scheduleArrival(node, baseRate)
	})
}

// try makes one try of a client at a node.
func (f *fleetSimulation) startTry(node *simulatedNode, client *simulatedClient) {
	left := client.deadline - f.now
	if left <= 0 {
		return
	}
	client.tries++
	node.nextID++
	id := node.nextID
	node.clients[id] = client
	f.schedule(f.now+left, func() { node.deliver(func(b *Balancer) { node.endAtDeadline(b, id) }) })
	node.deliver(func(b *Balancer) { b.RequestArrived(f.now, Request{ID: id, Class: client.class, TimeLeft: left}) })
}

// leave ends a request at its client's deadline.
func (n *simulatedNode) endAtDeadline(b *Balancer, id RequestID) {
	if n.clients[id] == nil {
		return
	}
	for _, attempt := range n.attempts[id] {
		n.deliverOutcome(b, attempt, Timeout)
	}
	delete(n.clients, id)
	b.ClientDisconnected(n.fleet.now, id)
}

// event hands an event to the policy and then carries its actions out.
func (n *simulatedNode) deliver(do func(b *Balancer)) {
	do(n.balancer)
	for len(n.actions) > 0 {
		action := n.actions[0]
		n.actions = n.actions[1:]
		action()
	}
}

func (n *simulatedNode) deliverOutcome(b *Balancer, attempt *simulatedAttempt, status Status) {
	if attempt.hasOutcome {
		return
	}
	attempt.hasOutcome = true
	now := n.fleet.now
	client := n.clients[attempt.id]
	if status == OK && client != nil {
		if now-client.requestedAt <= n.fleet.settings.Classes[client.class].LatencyTarget {
			n.fleet.servedValue[int((client.requestedAt-simulationStart)/time.Second)] += n.fleet.settings.Classes[client.class].Value
		}
		delete(n.clients, attempt.id)
	}
	b.AttemptEnded(now, Outcome{ID: attempt.id, Attempt: attempt.index, Server: attempt.server, Status: status,
		RequestDone: n.clients[attempt.id] == nil, Latency: now - attempt.sent})
}

// again lets a client come back after it was turned away.
func (n *simulatedNode) scheduleRetry(id RequestID, wait time.Duration) {
	f, client := n.fleet, n.clients[id]
	if client == nil {
		return
	}
	delete(n.clients, id)
	if client.tries > f.scenario.retries {
		return
	}
	backoff := time.Duration((0.02 + 0.14*f.rng.Float64()) * float64(time.Second) * float64(int(1)<<(client.tries-1)))
	if client.heedsRetryAfter {
		backoff = max(backoff, wait)
	}
	f.schedule(f.now+backoff, func() { f.startTry(n, client) })
}

// Send implements Host.
func (n *simulatedNode) Send(id RequestID, server ServerID, _ time.Duration) {
	f := n.fleet
	f.sends++
	work := meanWorkSeconds[0]
	if client := n.clients[id]; client != nil {
		work = client.workSeconds
	}
	attempt := &simulatedAttempt{id: id, index: len(n.attempts[id]), node: n, server: server, sent: f.now, workSeconds: work}
	n.attempts[id] = append(n.attempts[id], attempt)
	f.schedule(f.now+2*ms, func() { f.servers[server-1].enqueue(f, attempt) })
}

// WriteBy implements Host.
func (n *simulatedNode) SetWriteDeadline(RequestID, time.Duration) {}

// Cancel implements Host; the work goes on.
func (n *simulatedNode) Cancel(id RequestID, index int) {
	n.actions = append(n.actions, func() { n.deliverOutcome(n.balancer, n.attempts[id][index], Cancelled) })
}

// Withdraw implements Host; every attempt is under way at once.
func (n *simulatedNode) CancelUnsent(RequestID, int) {}

// Refuse implements Host.
func (n *simulatedNode) Refuse(id RequestID, retryAfter time.Duration, _ Reason) {
	n.actions = append(n.actions, func() { n.scheduleRetry(id, retryAfter) })
}

// Fail implements Host.
func (n *simulatedNode) Fail(id RequestID, _ Reason) {
	n.actions = append(n.actions, func() { delete(n.clients, id) })
}

// SetTimer implements Host.
func (n *simulatedNode) SetTimer(at time.Duration, token uint64) {
	n.fleet.schedule(at, func() { n.deliver(func(b *Balancer) { b.TimerFired(n.fleet.now, token) }) })
}

// CallList implements Host.
func (n *simulatedNode) StartCall(Call) {}

// EndCall implements Host.
func (n *simulatedNode) CancelCall(CallID) {}

// Ready implements Host.
func (n *simulatedNode) MarkReady() {}

// take puts an attempt into the server's queue or turns it away.
func (s *simulatedServer) enqueue(f *fleetSimulation, attempt *simulatedAttempt) {
	if len(s.queue) >= s.maxQueue {
		f.schedule(f.now+2*ms, func() { attempt.node.deliver(func(b *Balancer) { attempt.node.deliverOutcome(b, attempt, Rejected) }) })
		return
	}
	s.queue = append(s.queue, attempt)
	s.startWork(f)
}

// next starts work on free cores.
func (s *simulatedServer) startWork(f *fleetSimulation) {
	s.updateSlowdown(f.now)
	for s.busyCores < s.cores && len(s.queue) > 0 {
		attempt := s.queue[0]
		s.queue = s.queue[1:]
		s.busyCores++
		serviceTime := time.Duration(attempt.workSeconds / s.speed * s.slowdown * float64(time.Second))
		f.schedule(f.now+serviceTime, func() {
			s.busyCores--
			attempt.node.deliver(func(b *Balancer) { attempt.node.deliverOutcome(b, attempt, OK) })
			s.startWork(f)
		})
	}
}

// choke makes a server slow that has had many requests waiting for long, until it has rested.
func (s *simulatedServer) updateSlowdown(now time.Duration) {
	waiting, cores := len(s.queue), float64(s.cores)
	overloaded := float64(waiting) > 5*cores
	lightlyLoaded := float64(s.busyCores+waiting) < 0.35*cores || s.busyCores+waiting == 0
	if !overloaded {
		s.overloadedSince = -1
	} else if s.overloadedSince < 0 {
		s.overloadedSince = now
	}
	if !lightlyLoaded {
		s.lightlyLoadedSince = -1
	} else if s.lightlyLoadedSince < 0 {
		s.lightlyLoadedSince = now
	}
	switch {
	case s.slowdown == 1 && s.overloadedSince >= 0 && now-s.overloadedSince > 2*time.Second:
		s.slowdown = 2.8
	case s.slowdown > 1 && s.lightlyLoadedSince >= 0 && now-s.lightlyLoadedSince > 3*time.Second:
		s.slowdown = 1
	}
}

// report gives the share served and the mean admitted share in spans of 2 s.
func (f *fleetSimulation) servedShares() string {
	text := ""
	for i := 0; i+1 < len(f.requestedValue); i += 2 {
		text += fmt.Sprintf(" %.2f", (f.servedValue[i]+f.servedValue[i+1])/(f.requestedValue[i]+f.requestedValue[i+1]))
	}
	return text
}

// Guards a large fleet against itself: all nodes see a burst late and in the same answers, shed
// more than it takes, and clients that are turned away come again. The burst asks for an eighth more than
// the servers can do, for four seconds.
func TestFleetServesMostThroughABurst(t *testing.T) {
	scenario := fleetScenario{
		nodes: 150, servers: 80, loadShare: 0.75, burstFactor: 1.5, burstFrom: 6 * time.Second, burstTo: 10 * time.Second,
		duration: 18 * time.Second, retries: 2, heedRetryAfterShare: 0.35,
	}
	sum := 0.0
	const seeds = 2
	for seed := range uint64(seeds) {
		served, simulation := scenario.run(t, seed)
		t.Logf("seed %d: served %.3f, in spans of 2 s%s", seed, served, simulation.servedShares())
		sum += served
	}
	if mean := sum / seeds; mean < 0.8 {
		t.Errorf("%.3f of the worth is served, want 0.8", mean)
	}
}
