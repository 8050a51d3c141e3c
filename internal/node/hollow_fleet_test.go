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
func fleetSite(tb testing.TB, nodes int, maxCallInterval time.Duration) wire.NodeSettings {
	tb.Helper()
	site, err := wire.ParseNodeSettings(fmt.Appendf(nil, fleetSettings, nodes, maxCallInterval.Milliseconds()))
	if err != nil {
		tb.Fatal(err)
	}
	return site
}

// fleetTarget is discovery's line for a server.
func fleetEntry(index int) listEntry {
	return listEntry{
		UID: fmt.Sprintf("s-%08x", index), Endpoint: fmt.Sprintf("10.%d.%d.%d:8000", index>>16, index>>8&255, index&255),
		AZ: fmt.Sprint("z", index%fleetZones), PodGroup: index / 17, State: "in_service", CapacityHint: 1,
	}
}

func fleetEntries(count int) []listEntry {
	entries := make([]listEntry, count)
	for i := range entries {
		entries[i] = fleetEntry(i)
	}
	return entries
}

// hollowNode is a node's real policy, loop and discovery client. It has no front and meets no
// server.
type headlessNode struct {
	loop  *loop
	calls *callCounts
	stop  func() // returns once nothing of the node runs
}

// callCounts counts a node's calls to discovery, over all lives of the node.
type callCounts struct {
	made        atomic.Int64
	failed      atomic.Int64 // refused, broken or given up
	overlapping atomic.Int64 // begun while another one had no answer yet
	inFlight    atomic.Int64 // that have none yet
}

// countingTransport counts the calls that go through it.
type countingTransport struct {
	*http.Transport
	calls *callCounts
}

// RoundTrip implements http.RoundTripper.
func (c countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.calls.made.Add(1)
	if c.calls.inFlight.Add(1) > 1 {
		c.calls.overlapping.Add(1)
	}
	defer c.calls.inFlight.Add(-1)
	return c.Transport.RoundTrip(r)
}

// startHollowNode starts the node of a number in its fleet; it knows a list, or none. heard is
// called with the version of the list that is in place.
func startHeadlessNode(tb testing.TB, site wire.NodeSettings, addr string, number int, known listMessage, calls *callCounts, onVersion func(rev int64)) *headlessNode {
	tb.Helper()
	c, log := newClock(), slog.New(slog.DiscardHandler)
	upstream := newUpstream(site.ConnIdleTimeout, site.ConnectTimeout, 0)
	client := newDiscoveryClient(addr, site, c, log)
	client.client.Transport = countingTransport{&http.Transport{MaxIdleConnsPerHost: 1}, calls}
	site.Policy.NodeIndex, site.Policy.LongPolling = number, true
	l, err := newLoop(site.Policy, uint64(number), c, upstream, client.commands)
	if err != nil {
		tb.Fatal(err)
	}
	client.attachTo(l)
	onList, onCallEnd := client.onList, client.onCallEnd
	client.onList = func(update listUpdate) {
		onList(update)
		switch update.kind {
		case policy.ListWhole, policy.ListChanges:
			onVersion(client.version)
		case policy.ListCached:
			onVersion(known.Version)
		}
	}
	client.onCallEnd = func(end policy.CallEnd) {
		onCallEnd(end)
		if end.Result != policy.CallAnswered {
			calls.failed.Add(1)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { l.run(ctx) })
	running.Go(func() {
		client.start(known, site.Policy.ListOnRequest)
		client.run(ctx)
	})
	return &headlessNode{loop: l, calls: calls, stop: func() { cancel(); running.Wait() }}
}

// endpoints gives the servers that the node knows, with their addresses.
func (n *headlessNode) endpoints() map[policy.ServerID]string {
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
type headlessFleet struct {
	tb          testing.TB
	site        wire.NodeSettings
	service     *discoveryService
	propagation *propagation
	nodes       []*headlessNode
}

// newHollowFleet makes a fleet; no node runs yet.
func newHeadlessFleet(tb testing.TB, nodes int, maxCallInterval time.Duration, service *discoveryService) *headlessFleet {
	tb.Helper()
	f := &headlessFleet{
		tb: tb, site: fleetSite(tb, nodes, maxCallInterval), service: service, propagation: newPropagation(nodes),
		nodes: make([]*headlessNode, nodes),
	}
	for i := range f.nodes {
		f.nodes[i] = &headlessNode{calls: new(callCounts), stop: func() {}}
	}
	tb.Cleanup(f.stop)
	return f
}

// stop ends all nodes.
func (f *headlessFleet) stop() {
	var stopping sync.WaitGroup
	for _, n := range f.nodes {
		stopping.Go(n.stop)
	}
	stopping.Wait()
}

// restart ends some nodes together and then starts them together, each with a list that it
// knows or none. It starts nodes that do not run yet, too.
func (f *headlessFleet) restart(nodes []int, known func(node int) listMessage) {
	var stopping sync.WaitGroup
	for _, i := range nodes {
		stopping.Go(f.nodes[i].stop)
	}
	stopping.Wait()
	for _, i := range nodes {
		list := known(i)
		f.propagation.nodeStarted(i, list.Version)
		f.nodes[i] = startHeadlessNode(f.tb, f.site, f.service.Listener.Addr().String(), i, list, f.nodes[i].calls,
			func(rev int64) { f.propagation.versionReached(i, rev) })
	}
}

// start starts all nodes together.
func (f *headlessFleet) start(known listMessage) {
	f.restart(f.everyNth(1), func(int) listMessage { return known })
}

// each gives every nth node.
func (f *headlessFleet) everyNth(nth int) (nodes []int) {
	for i := 0; i < len(f.nodes); i += nth {
		nodes = append(nodes, i)
	}
	return nodes
}

// change makes discovery change a line, and notes when.
func (f *headlessFleet) change(entry listEntry) int64 {
	at := time.Now()
	rev := f.service.change(entry)
	f.propagation.changeMade(rev, at)
	return rev
}

// await waits until every node has a version.
func (f *headlessFleet) awaitVersion(rev int64) {
	f.tb.Helper()
	timeout := time.NewTimer(testTimeout)
	defer timeout.Stop()
	for {
		lowest, progress := f.propagation.lowestVersion()
		if lowest >= rev {
			return
		}
		select {
		case <-progress:
		case <-timeout.C:
			f.tb.Fatalf("some node has version %d and not %d", lowest, rev)
		}
	}
}

// failedCalls gives the calls of all nodes that failed, and those that began beside a late one.
func (f *headlessFleet) failedCalls() (failed, overlapping int) {
	for _, n := range f.nodes {
		failed += int(n.calls.failed.Load())
		overlapping += int(n.calls.overlapping.Load())
	}
	return failed, overlapping
}

// madeChange is a change that not every node has.
type listChange struct {
	version int64
	at      time.Time
}

// spread follows how changes reach the nodes.
type propagation struct {
	mu           sync.Mutex
	nodeVersions []int64 // that the nodes have
	startedAt    []time.Time
	pending      []listChange // oldest first
	changes      []listChange // all changes, oldest first
	progress     chan struct{}

	changeToNode     *hdrhistogram.Histogram // from a change to each node that ran at its time
	changeToLastNode *hdrhistogram.Histogram // from a change to the last node, restarted ones included
	startToCurrent   *hdrhistogram.Histogram // from a node's start until it has what changed before
}

// Times are recorded in microseconds, up to a minute, to three digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func newPropagation(nodes int) *propagation {
	return &propagation{
		nodeVersions: make([]int64, nodes), startedAt: make([]time.Time, nodes), progress: make(chan struct{}),
		changeToNode: newHistogram(), changeToLastNode: newHistogram(), startToCurrent: newHistogram(),
	}
}

// started notes that a node starts with the version that it knows; what else it had is lost.
func (s *propagation) nodeStarted(node int, known int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodeVersions[node], s.startedAt[node] = known, time.Now()
}

// made notes a change. A node may have heard of it before.
func (s *propagation) changeMade(version int64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := listChange{version, at}
	s.changes, s.pending = append(s.changes, change), append(s.pending, change)
	now := time.Now()
	for node, known := range s.nodeVersions {
		if known >= version {
			s.record(node, change, now)
		}
	}
	s.recordCompleted(now)
}

// heard notes that a node has a version.
func (s *propagation) versionReached(node int, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, previous := time.Now(), s.nodeVersions[node]
	if version <= previous {
		return
	}
	s.nodeVersions[node] = version
	for _, change := range s.changes {
		if change.version > previous && change.version <= version {
			s.record(node, change, now)
		}
	}
	s.recordCompleted(now)
	close(s.progress)
	s.progress = make(chan struct{})
}

func (s *propagation) record(node int, change listChange, now time.Time) {
	histogram, from := s.changeToNode, change.at
	if start := s.startedAt[node]; start.After(change.at) {
		histogram, from = s.startToCurrent, start
	}
	histogram.RecordValue(now.Sub(from).Microseconds())
}

// settle records the changes that every node has by now.
func (s *propagation) recordCompleted(now time.Time) {
	lowest := slices.Min(s.nodeVersions)
	for len(s.pending) > 0 && s.pending[0].version <= lowest {
		s.changeToLastNode.RecordValue(now.Sub(s.pending[0].at).Microseconds())
		s.pending = s.pending[1:]
	}
}

// lowest gives the lowest version that a node has, and tells when another node has news.
func (s *propagation) lowestVersion() (rev int64, progress <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Min(s.nodeVersions), s.progress
}
