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
type fleetModel struct {
	nodes, servers int
	load           float64 // share of the servers' capacity that is asked for,
	burst          float64 // times that from burstFrom to burstTo
	burstFrom      time.Duration
	burstTo        time.Duration
	length         time.Duration
	retries        int     // further tries of a client after a refusal
	heed           float64 // share of the clients that wait as long as they are told
}

// modelServer serves its queue in turn on each core.
type modelServer struct {
	cores, room  int
	speed        float64
	busy         int
	queue        []*modelAttempt
	slow         float64 // times longer than usual, while choked
	crowdedSince time.Duration
	restedSince  time.Duration
}

type modelAttempt struct {
	id      RequestID
	index   int
	node    *modelNode
	server  ServerID
	sent    time.Duration
	work    float64 // seconds on a core of speed 1
	over    bool    // the node has its outcome
	started bool
}

type modelClient struct {
	class    int
	asked    time.Duration
	tries    int
	heeds    bool
	work     float64
	deadline time.Duration
}

type modelNode struct {
	fleet    *fleet
	number   int
	balancer *Balancer
	nextID   RequestID
	clients  map[RequestID]*modelClient
	attempts map[RequestID][]*modelAttempt
	actions  []func()
}

type modelEvent struct {
	at   time.Duration
	turn int
	do   func()
}

type modelEvents []modelEvent

func (q modelEvents) Len() int { return len(q) }
func (q modelEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].turn < q[j].turn
}
func (q modelEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelEvents) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type fleet struct {
	t       *testing.T
	model   fleetModel
	set     Settings
	rng     *rand.Rand
	now     time.Duration
	events  modelEvents
	turn    int
	servers []*modelServer
	nodes   []*modelNode
	asked   []float64 // worth, by second
	served  []float64
	sends   int
}

const modelStart = time.Hour

func (f *fleet) at(at time.Duration, do func()) {
	f.turn++
	heap.Push(&f.events, modelEvent{max(at, f.now), f.turn, do})
}

// modelSettings has short requests that are wanted soon and longer ones of more worth.
func modelSettings(nodes int) Settings {
	set := testSettings()
	set.NodeCount = nodes
	set.Classes = []Class{
		{Deadline: 900 * ms, LatencyTarget: 350 * ms, Value: 1, LateValueShare: 0.3},
		{Deadline: 4500 * ms, LatencyTarget: 900 * ms, Value: 12, LateValueShare: 0.1, Idempotency: IdempotentByKey, DedupScope: DedupCell, DedupWindow: 3 * time.Second},
	}
	set.Limits = Limits{MaxAttempts: 3, AllowHedging: true, AllowCancel: true, MaxRetryAfter: 800 * ms}
	set.Penalties = Penalties{WastedWork: 0.02, LateFailure: 0.037}
	return set
}

var modelWork = []float64{0.085, 0.140} // seconds, by class

const firstClass = 0.78 // share of the requests

// play plays a model and gives the worth served in time as a share of the worth asked for, by second.
func (model fleetModel) play(t *testing.T, seed uint64) (whole float64, f *fleet) {
	t.Helper()
	f = &fleet{t: t, model: model, set: modelSettings(model.nodes), rng: rand.New(rand.NewPCG(seed, 7)), now: modelStart}
	seconds := int(model.length/time.Second) + 1
	f.asked, f.served = make([]float64, seconds), make([]float64, seconds)
	var list []Entry
	capacity := 0.0
	for i := range model.servers {
		s := &modelServer{cores: 3, speed: 2, room: 14 * 3, slow: 1, crowdedSince: -1, restedSince: -1}
		switch draw := f.rng.Float64(); {
		case draw < 0.47:
			s.cores, s.speed, s.room = 2, 0.8, 16*2
		case draw < 0.72:
			s.speed = 1.2
		}
		capacity += float64(s.cores) * s.speed
		f.servers = append(f.servers, s)
		list = append(list, Entry{Server: ServerID(i + 1), Zone: i % 2, Cell: i / 6, State: StateInService, Weight: float64(s.cores) * s.speed})
	}
	weights, sum := make([]float64, model.nodes), 0.0
	for i := range weights {
		weights[i] = 1
		if f.rng.Float64() < 0.25 {
			weights[i] = 3
		}
		sum += weights[i]
	}
	for i := range model.nodes {
		n := &modelNode{fleet: f, number: i, clients: map[RequestID]*modelClient{}, attempts: map[RequestID][]*modelAttempt{}}
		set := f.set
		set.NodeIndex, set.Zone = i, i%2
		var err error
		if n.balancer, err = New(set, seed<<20+uint64(i), n); err != nil {
			t.Fatal(err)
		}
		f.nodes = append(f.nodes, n)
		n.event(func(b *Balancer) { b.ListUpdated(f.now, ListCached, list) })
		work := firstClass*modelWork[0] + (1-firstClass)*modelWork[1]
		f.arrive(n, model.load*capacity/work*weights[i]/sum)
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(modelEvent)
		f.now = e.at
		if f.now > modelStart+model.length+5*time.Second {
			break
		}
		e.do()
	}
	asked, served := 0.0, 0.0
	for i := range f.asked {
		asked += f.asked[i]
		served += f.served[i]
	}
	return served / asked, f
}

// arrive lets clients ask a node at a rate a second.
func (f *fleet) arrive(n *modelNode, base float64) {
	rate := base
	elapsed := f.now - modelStart
	if elapsed >= f.model.burstFrom && elapsed < f.model.burstTo {
		rate *= f.model.burst
	}
	gap := time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
	f.at(f.now+gap, func() {
		if f.now-modelStart >= f.model.length {
			return
		}
		c := &modelClient{asked: f.now, heeds: f.rng.Float64() < f.model.heed}
		if f.rng.Float64() >= firstClass {
			c.class = 1
		}
		c.deadline = f.now + f.set.Classes[c.class].Deadline
		c.work = modelWork[c.class] * math.Exp(0.45*f.rng.NormFloat64()-0.1)
		f.asked[int((c.asked-modelStart)/time.Second)] += f.set.Classes[c.class].Value
		f.try(n, c)
		f.arrive(n, base)
	})
}

// try makes one try of a client at a node.
func (f *fleet) try(n *modelNode, c *modelClient) {
	left := c.deadline - f.now
	if left <= 0 {
		return
	}
	c.tries++
	n.nextID++
	id := n.nextID
	n.clients[id] = c
	f.at(f.now+left, func() { n.event(func(b *Balancer) { n.leave(b, id) }) })
	n.event(func(b *Balancer) { b.RequestArrived(f.now, Request{ID: id, Class: c.class, TimeLeft: left}) })
}

// leave ends a request at its client's deadline.
func (n *modelNode) leave(b *Balancer, id RequestID) {
	if n.clients[id] == nil {
		return
	}
	for _, a := range n.attempts[id] {
		n.outcome(b, a, Timeout)
	}
	delete(n.clients, id)
	b.ClientDisconnected(n.fleet.now, id)
}

// event hands an event to the policy and then carries its actions out.
func (n *modelNode) event(do func(b *Balancer)) {
	do(n.balancer)
	for len(n.actions) > 0 {
		next := n.actions[0]
		n.actions = n.actions[1:]
		next()
	}
}

func (n *modelNode) outcome(b *Balancer, a *modelAttempt, status Status) {
	if a.over {
		return
	}
	a.over = true
	now := n.fleet.now
	c := n.clients[a.id]
	if status == OK && c != nil {
		if now-c.asked <= n.fleet.set.Classes[c.class].LatencyTarget {
			n.fleet.served[int((c.asked-modelStart)/time.Second)] += n.fleet.set.Classes[c.class].Value
		}
		delete(n.clients, a.id)
	}
	b.AttemptEnded(now, Outcome{ID: a.id, Attempt: a.index, Server: a.server, Status: status,
		RequestDone: n.clients[a.id] == nil, Latency: now - a.sent})
}

// again lets a client come back after it was turned away.
func (n *modelNode) again(id RequestID, wait time.Duration) {
	f, c := n.fleet, n.clients[id]
	if c == nil {
		return
	}
	delete(n.clients, id)
	if c.tries > f.model.retries {
		return
	}
	pause := time.Duration((0.02 + 0.14*f.rng.Float64()) * float64(time.Second) * float64(int(1)<<(c.tries-1)))
	if c.heeds {
		pause = max(pause, wait)
	}
	f.at(f.now+pause, func() { f.try(n, c) })
}

// Send implements Host.
func (n *modelNode) Send(id RequestID, server ServerID, _ time.Duration) {
	f := n.fleet
	f.sends++
	work := modelWork[0]
	if c := n.clients[id]; c != nil {
		work = c.work
	}
	a := &modelAttempt{id: id, index: len(n.attempts[id]), node: n, server: server, sent: f.now, work: work}
	n.attempts[id] = append(n.attempts[id], a)
	f.at(f.now+2*ms, func() { f.servers[server-1].take(f, a) })
}

// WriteBy implements Host.
func (n *modelNode) SetWriteDeadline(RequestID, time.Duration) {}

// Cancel implements Host; the work goes on.
func (n *modelNode) Cancel(id RequestID, index int) {
	n.actions = append(n.actions, func() { n.outcome(n.balancer, n.attempts[id][index], Cancelled) })
}

// Withdraw implements Host; every attempt is under way at once.
func (n *modelNode) CancelUnsent(RequestID, int) {}

// Refuse implements Host.
func (n *modelNode) Refuse(id RequestID, retryAfter time.Duration, _ Reason) {
	n.actions = append(n.actions, func() { n.again(id, retryAfter) })
}

// Fail implements Host.
func (n *modelNode) Fail(id RequestID, _ Reason) {
	n.actions = append(n.actions, func() { delete(n.clients, id) })
}

// SetTimer implements Host.
func (n *modelNode) SetTimer(at time.Duration, token uint64) {
	n.fleet.at(at, func() { n.event(func(b *Balancer) { b.TimerFired(n.fleet.now, token) }) })
}

// CallList implements Host.
func (n *modelNode) StartCall(Call) {}

// EndCall implements Host.
func (n *modelNode) CancelCall(CallID) {}

// Ready implements Host.
func (n *modelNode) MarkReady() {}

// take puts an attempt into the server's queue or turns it away.
func (s *modelServer) take(f *fleet, a *modelAttempt) {
	if len(s.queue) >= s.room {
		f.at(f.now+2*ms, func() { a.node.event(func(b *Balancer) { a.node.outcome(b, a, Rejected) }) })
		return
	}
	s.queue = append(s.queue, a)
	s.next(f)
}

// next starts work on free cores.
func (s *modelServer) next(f *fleet) {
	s.choke(f.now)
	for s.busy < s.cores && len(s.queue) > 0 {
		a := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		took := time.Duration(a.work / s.speed * s.slow * float64(time.Second))
		f.at(f.now+took, func() {
			s.busy--
			a.node.event(func(b *Balancer) { a.node.outcome(b, a, OK) })
			s.next(f)
		})
	}
}

// choke makes a server slow that has had many requests waiting for long, until it has rested.
func (s *modelServer) choke(now time.Duration) {
	waiting, cores := len(s.queue), float64(s.cores)
	crowded := float64(waiting) > 5*cores
	rested := float64(s.busy+waiting) < 0.35*cores || s.busy+waiting == 0
	if !crowded {
		s.crowdedSince = -1
	} else if s.crowdedSince < 0 {
		s.crowdedSince = now
	}
	if !rested {
		s.restedSince = -1
	} else if s.restedSince < 0 {
		s.restedSince = now
	}
	switch {
	case s.slow == 1 && s.crowdedSince >= 0 && now-s.crowdedSince > 2*time.Second:
		s.slow = 2.8
	case s.slow > 1 && s.restedSince >= 0 && now-s.restedSince > 3*time.Second:
		s.slow = 1
	}
}

// report gives the share served and the mean admitted share in spans of 2 s.
func (f *fleet) report() string {
	text := ""
	for i := 0; i+1 < len(f.asked); i += 2 {
		text += fmt.Sprintf(" %.2f", (f.served[i]+f.served[i+1])/(f.asked[i]+f.asked[i+1]))
	}
	return text
}

// Guards a large fleet against itself: all nodes see a burst late and in the same answers, shed
// more than it takes, and clients that are turned away come again. The burst asks for an eighth more than
// the servers can do, for four seconds.
func TestFleetServesMostThroughABurst(t *testing.T) {
	model := fleetModel{
		nodes: 150, servers: 80, load: 0.75, burst: 1.5, burstFrom: 6 * time.Second, burstTo: 10 * time.Second,
		length: 18 * time.Second, retries: 2, heed: 0.35,
	}
	sum := 0.0
	const seeds = 2
	for seed := range uint64(seeds) {
		served, f := model.play(t, seed)
		t.Logf("seed %d: served %.3f, in spans of 2 s%s", seed, served, f.report())
		sum += served
	}
	if mean := sum / seeds; mean < 0.8 {
		t.Errorf("%.3f of the worth is served, want 0.8", mean)
	}
}
