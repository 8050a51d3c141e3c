package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"otterstep/internal/wire"
	"otterstep/policy"
)

// fleetSettings is for a fleet that has to ask for its list, with the target's zones.
const fleetSettings = `{
 "RegistryMode": "on_request", "Balancers": %d,
 "Contract": {"MustAskInMs": %d},
 "Classes": [{"Name": "read", "DeadlineMs": 3000, "PromiseMs": 2000, "Effect": "pure"}],
 "Zones": ["z0","z1","z2","z3","z4","z5","z6","z7","z8","z9","z10","z11",
  "z12","z13","z14","z15","z16","z17","z18","z19","z20","z21","z22","z23"]}`

const fleetZones = 24

// fleetSite gives the settings of a fleet.
func fleetSite(tb testing.TB, nodes int, mustAsk time.Duration) wire.Site {
	tb.Helper()
	site, err := wire.ParseSite(fmt.Appendf(nil, fleetSettings, nodes, mustAsk.Milliseconds()))
	if err != nil {
		tb.Fatal(err)
	}
	return site
}

// fleetTarget is discovery's line for a server.
func fleetTarget(index int) target {
	return target{
		UID: fmt.Sprintf("s-%08x", index), Endpoint: fmt.Sprintf("10.%d.%d.%d:8000", index>>16, index>>8&255, index&255),
		AZ: fmt.Sprint("z", index%fleetZones), PodGroup: index / 17, State: "in_service", CapacityHint: 1,
	}
}

func fleetTargets(count int) []target {
	targets := make([]target, count)
	for i := range targets {
		targets[i] = fleetTarget(i)
	}
	return targets
}

// hollowNode is a node's real policy, loop and discovery client. It has no front and meets no
// server.
type hollowNode struct {
	loop  *loop
	calls *callCounts
	stop  func() // returns once nothing of the node runs
}

// callCounts counts a node's calls to discovery, over all lives of the node.
type callCounts struct {
	made   atomic.Int64
	failed atomic.Int64 // refused, broken or given up
	beside atomic.Int64 // begun while another one had no answer yet
	out    atomic.Int64 // that have none yet
}

// countingTransport counts the calls that go through it.
type countingTransport struct {
	*http.Transport
	calls *callCounts
}

// RoundTrip implements http.RoundTripper.
func (c countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.calls.made.Add(1)
	if c.calls.out.Add(1) > 1 {
		c.calls.beside.Add(1)
	}
	defer c.calls.out.Add(-1)
	return c.Transport.RoundTrip(r)
}

// startHollowNode starts the node of a number in its fleet; it knows a list, or none. heard is
// called with the version of the list that is in place.
func startHollowNode(tb testing.TB, site wire.Site, addr string, number int, known hostList, calls *callCounts, heard func(rev int64)) *hollowNode {
	tb.Helper()
	c, log := newClock(), slog.New(slog.DiscardHandler)
	up := newUpstream(site.ConnIdle, site.ConnectTimeout, 0)
	disco := newDiscovery(addr, site, c, log)
	disco.client.Transport = countingTransport{&http.Transport{MaxIdleConnsPerHost: 1}, calls}
	site.Settings.NodeIndex, site.Settings.LongPolling = number, true
	l, err := newLoop(site.Settings, uint64(number), c, up, disco.orders)
	if err != nil {
		tb.Fatal(err)
	}
	disco.follow(l)
	members, ended := disco.members, disco.ended
	disco.members = func(news listNews) {
		members(news)
		switch news.kind {
		case policy.ListWhole, policy.ListChanges:
			heard(disco.rev)
		case policy.ListCached:
			heard(known.Rev)
		}
	}
	disco.ended = func(end policy.CallEnd) {
		ended(end)
		if end.Result != policy.CallAnswered {
			calls.failed.Add(1)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { l.run(ctx) })
	running.Go(func() {
		disco.start(known, site.Settings.ListOnRequest)
		disco.run(ctx)
	})
	return &hollowNode{loop: l, calls: calls, stop: func() { cancel(); running.Wait() }}
}

// endpoints gives the servers that the node knows, with their addresses.
func (n *hollowNode) endpoints() map[policy.ServerID]string {
	known := make(chan map[policy.ServerID]string, 1)
	n.loop.post(func() {
		all := make(map[policy.ServerID]string, len(n.loop.servers))
		for id, b := range n.loop.servers {
			all[id] = b.addr
		}
		known <- all
	})
	return <-known
}

// hollowFleet is many hollow nodes in this process, before one discovery.
type hollowFleet struct {
	tb      testing.TB
	site    wire.Site
	service *discoveryService
	spread  *spread
	nodes   []*hollowNode
}

// newHollowFleet makes a fleet; no node runs yet.
func newHollowFleet(tb testing.TB, nodes int, mustAsk time.Duration, service *discoveryService) *hollowFleet {
	tb.Helper()
	f := &hollowFleet{
		tb: tb, site: fleetSite(tb, nodes, mustAsk), service: service, spread: newSpread(nodes),
		nodes: make([]*hollowNode, nodes),
	}
	for i := range f.nodes {
		f.nodes[i] = &hollowNode{calls: new(callCounts), stop: func() {}}
	}
	tb.Cleanup(f.stop)
	return f
}

// stop ends all nodes.
func (f *hollowFleet) stop() {
	var ending sync.WaitGroup
	for _, n := range f.nodes {
		ending.Go(n.stop)
	}
	ending.Wait()
}

// restart ends some nodes together and then starts them together, each with a list that it
// knows or none. It starts nodes that do not run yet, too.
func (f *hollowFleet) restart(nodes []int, known func(node int) hostList) {
	var ending sync.WaitGroup
	for _, i := range nodes {
		ending.Go(f.nodes[i].stop)
	}
	ending.Wait()
	for _, i := range nodes {
		list := known(i)
		f.spread.started(i, list.Rev)
		f.nodes[i] = startHollowNode(f.tb, f.site, f.service.Listener.Addr().String(), i, list, f.nodes[i].calls,
			func(rev int64) { f.spread.heard(i, rev) })
	}
}

// start starts all nodes together.
func (f *hollowFleet) start(known hostList) {
	f.restart(f.each(1), func(int) hostList { return known })
}

// each gives every nth node.
func (f *hollowFleet) each(nth int) (nodes []int) {
	for i := 0; i < len(f.nodes); i += nth {
		nodes = append(nodes, i)
	}
	return nodes
}

// change makes discovery change a line, and notes when.
func (f *hollowFleet) change(line target) int64 {
	at := time.Now()
	rev := f.service.change(line)
	f.spread.made(rev, at)
	return rev
}

// await waits until every node has a version.
func (f *hollowFleet) await(rev int64) {
	f.tb.Helper()
	over := time.NewTimer(patience)
	defer over.Stop()
	for {
		lowest, progress := f.spread.lowest()
		if lowest >= rev {
			return
		}
		select {
		case <-progress:
		case <-over.C:
			f.tb.Fatalf("some node has version %d and not %d", lowest, rev)
		}
	}
}

// failedCalls gives the calls of all nodes that failed, and those that began beside a late one.
func (f *hollowFleet) failedCalls() (failed, beside int) {
	for _, n := range f.nodes {
		failed += int(n.calls.failed.Load())
		beside += int(n.calls.beside.Load())
	}
	return failed, beside
}

// madeChange is a change that not every node has.
type madeChange struct {
	rev int64
	at  time.Time
}

// spread follows how changes reach the nodes.
type spread struct {
	mu       sync.Mutex
	versions []int64 // that the nodes have
	startAt  []time.Time
	pending  []madeChange // oldest first
	recent   []madeChange // all changes, oldest first
	progress chan struct{}

	toNode     *hdrhistogram.Histogram // from a change to each node that ran at its time
	toLast     *hdrhistogram.Histogram // from a change to the last node, restarted ones included
	afterStart *hdrhistogram.Histogram // from a node's start until it has what changed before
}

// Times are recorded in microseconds, up to a minute, to three digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func newSpread(nodes int) *spread {
	return &spread{
		versions: make([]int64, nodes), startAt: make([]time.Time, nodes), progress: make(chan struct{}),
		toNode: newHistogram(), toLast: newHistogram(), afterStart: newHistogram(),
	}
}

// started notes that a node starts with the version that it knows; what else it had is lost.
func (s *spread) started(node int, known int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[node], s.startAt[node] = known, time.Now()
}

// made notes a change. A node may have heard of it before.
func (s *spread) made(rev int64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := madeChange{rev, at}
	s.recent, s.pending = append(s.recent, c), append(s.pending, c)
	now := time.Now()
	for node, version := range s.versions {
		if version >= rev {
			s.record(node, c, now)
		}
	}
	s.settle(now)
}

// heard notes that a node has a version.
func (s *spread) heard(node int, rev int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, had := time.Now(), s.versions[node]
	if rev <= had {
		return
	}
	s.versions[node] = rev
	for _, c := range s.recent {
		if c.rev > had && c.rev <= rev {
			s.record(node, c, now)
		}
	}
	s.settle(now)
	close(s.progress)
	s.progress = make(chan struct{})
}

func (s *spread) record(node int, c madeChange, now time.Time) {
	histogram, from := s.toNode, c.at
	if start := s.startAt[node]; start.After(c.at) {
		histogram, from = s.afterStart, start
	}
	histogram.RecordValue(now.Sub(from).Microseconds())
}

// settle records the changes that every node has by now.
func (s *spread) settle(now time.Time) {
	lowest := slices.Min(s.versions)
	for len(s.pending) > 0 && s.pending[0].rev <= lowest {
		s.toLast.RecordValue(now.Sub(s.pending[0].at).Microseconds())
		s.pending = s.pending[1:]
	}
}

// lowest gives the lowest version that a node has, and tells when another node has news.
func (s *spread) lowest() (rev int64, progress <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Min(s.versions), s.progress
}
