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

// fleetSettings are the settings of a fleet that gets its list on request, with the zones of the operators' target.
const fleetSettings = `{
 "RegistryMode": "on_request", "Balancers": %d,
 "Contract": {"MustAskInMs": %d},
 "Classes": [{"Name": "read", "DeadlineMs": 3000, "PromiseMs": 2000, "Effect": "pure"}],
 "Zones": ["z0","z1","z2","z3","z4","z5","z6","z7","z8","z9","z10","z11",
  "z12","z13","z14","z15","z16","z17","z18","z19","z20","z21","z22","z23"]}`

const fleetZones = 24 // number of zones in fleetSettings

// fleetNodeSettings returns the settings of a node in a fleet of the given number of nodes.
func fleetNodeSettings(tb testing.TB, nodes int, maxCallInterval time.Duration) wire.NodeSettings {
	tb.Helper()
	settings, err := wire.ParseNodeSettings(fmt.Appendf(nil, fleetSettings, nodes, maxCallInterval.Milliseconds()))
	if err != nil {
		tb.Fatal(err)
	}
	return settings
}

// fleetEntry returns discovery's entry of a server.
func fleetEntry(index int) listEntry {
	return listEntry{
		UID: fmt.Sprintf("s-%08x", index), Endpoint: fmt.Sprintf("10.%d.%d.%d:8000", index>>16, index>>8&255, index&255),
		AZ: fmt.Sprint("z", index%fleetZones), PodGroup: index / 17, State: "in_service", CapacityHint: 1,
	}
}

// fleetEntries returns the entries of the given number of servers.
func fleetEntries(count int) []listEntry {
	entries := make([]listEntry, count)
	for i := range entries {
		entries[i] = fleetEntry(i)
	}
	return entries
}

// headlessNode is a node with the real Balancer, loop and discovery client, but without a front and without connections
// to servers.
type headlessNode struct {
	loop  *loop
	calls *callCounts
	stop  func() // ends the node and waits for its goroutines
}

// callCounts counts a node's calls to discovery, over all its restarts.
type callCounts struct {
	made        atomic.Int64 // calls that began
	failed      atomic.Int64 // calls that ended without a usable answer
	overlapping atomic.Int64 // calls that began while another one had no answer
	inFlight    atomic.Int64 // calls that have no answer yet
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

// startHeadlessNode starts the node with the given number in its fleet. It knows a list, which may be empty. onVersion
// is called with the version of each list that the node has applied.
func startHeadlessNode(tb testing.TB, settings wire.NodeSettings, addr string, number int, known listMessage,
	calls *callCounts, onVersion func(version int64)) *headlessNode {
	tb.Helper()
	c, log := newClock(), slog.New(slog.DiscardHandler)
	upstream := newUpstream(settings.ConnIdleTimeout, settings.ConnectTimeout, 0)
	client := newDiscoveryClient(addr, settings, c, log)
	client.client.Transport = countingTransport{&http.Transport{MaxIdleConnsPerHost: 1}, calls}
	settings.Policy.NodeIndex, settings.Policy.LongPolling = number, true
	l, err := newLoop(settings.Policy, uint64(number), c, upstream, client.commands)
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
		client.start(known, settings.Policy.ListOnRequest)
		client.run(ctx)
	})
	return &headlessNode{loop: l, calls: calls, stop: func() { cancel(); running.Wait() }}
}

// endpoints returns the addresses of the servers that the node knows.
func (n *headlessNode) endpoints() map[policy.ServerID]string {
	known := make(chan map[policy.ServerID]string, 1)
	n.loop.post(func() {
		all := make(map[policy.ServerID]string, len(n.loop.servers))
		for id, incarnation := range n.loop.servers {
			all[id] = incarnation.addr
		}
		known <- all
	})
	return <-known
}

// headlessFleet is a number of headless nodes in this process that call one discovery.
type headlessFleet struct {
	tb          testing.TB
	settings    wire.NodeSettings
	service     *discoveryService
	propagation *propagation
	nodes       []*headlessNode
}

// newHeadlessFleet returns a fleet of which no node runs yet.
func newHeadlessFleet(tb testing.TB, nodes int, maxCallInterval time.Duration, service *discoveryService) *headlessFleet {
	tb.Helper()
	f := &headlessFleet{
		tb: tb, settings: fleetNodeSettings(tb, nodes, maxCallInterval), service: service, propagation: newPropagation(nodes),
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

// restart ends some nodes together and then starts them together, each with a known list that may be empty. It also
// starts nodes that do not run yet.
func (f *headlessFleet) restart(nodes []int, known func(node int) listMessage) {
	var stopping sync.WaitGroup
	for _, i := range nodes {
		stopping.Go(f.nodes[i].stop)
	}
	stopping.Wait()
	for _, i := range nodes {
		list := known(i)
		f.propagation.nodeStarted(i, list.Version)
		f.nodes[i] = startHeadlessNode(f.tb, f.settings, f.service.Listener.Addr().String(), i, list, f.nodes[i].calls,
			func(version int64) { f.propagation.versionReached(i, version) })
	}
}

// start starts all nodes together.
func (f *headlessFleet) start(known listMessage) {
	f.restart(f.everyNth(1), func(int) listMessage { return known })
}

// everyNth returns the numbers of every nth node.
func (f *headlessFleet) everyNth(nth int) (nodes []int) {
	for i := 0; i < len(f.nodes); i += nth {
		nodes = append(nodes, i)
	}
	return nodes
}

// change makes discovery change an entry, and records when. It returns the new version.
func (f *headlessFleet) change(entry listEntry) int64 {
	at := time.Now()
	version := f.service.change(entry)
	f.propagation.changeMade(version, at)
	return version
}

// awaitVersion waits until every node has a version or a later one.
func (f *headlessFleet) awaitVersion(version int64) {
	f.tb.Helper()
	timeout := time.NewTimer(testTimeout)
	defer timeout.Stop()
	for {
		lowest, progress := f.propagation.lowestVersion()
		if lowest >= version {
			return
		}
		select {
		case <-progress:
		case <-timeout.C:
			f.tb.Fatalf("a node still has version %d, want %d", lowest, version)
		}
	}
}

// failedCalls returns the numbers of calls of all nodes that failed, and that began while another one had no answer.
func (f *headlessFleet) failedCalls() (failed, overlapping int) {
	for _, n := range f.nodes {
		failed += int(n.calls.failed.Load())
		overlapping += int(n.calls.overlapping.Load())
	}
	return failed, overlapping
}

// listChange is a change of the list and the time at which it was made.
type listChange struct {
	version int64
	at      time.Time
}

// propagation records when changes reach the nodes.
type propagation struct {
	mu           sync.Mutex
	nodeVersions []int64 // version of each node
	startedAt    []time.Time
	pending      []listChange // changes that not every node has, oldest first
	changes      []listChange // all changes, oldest first
	progress     chan struct{}

	changeToNode     *hdrhistogram.Histogram // time from a change until a node has it, for each node that ran at the change
	changeToLastNode *hdrhistogram.Histogram // time from a change until all nodes have it, including restarted ones
	startToCurrent   *hdrhistogram.Histogram // time from a node's start until it has a change made before
}

// newHistogram returns a histogram of times in microseconds, up to a minute, to three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// newPropagation returns a record for the given number of nodes.
func newPropagation(nodes int) *propagation {
	return &propagation{
		nodeVersions: make([]int64, nodes), startedAt: make([]time.Time, nodes), progress: make(chan struct{}),
		changeToNode: newHistogram(), changeToLastNode: newHistogram(), startToCurrent: newHistogram(),
	}
}

// nodeStarted records that a node starts with a known version. A later version that it had before is lost.
func (p *propagation) nodeStarted(node int, known int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodeVersions[node], p.startedAt[node] = known, time.Now()
}

// changeMade records a change. A node may have received it before this call.
func (p *propagation) changeMade(version int64, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change := listChange{version, at}
	p.changes, p.pending = append(p.changes, change), append(p.pending, change)
	now := time.Now()
	for node, known := range p.nodeVersions {
		if known >= version {
			p.record(node, change, now)
		}
	}
	p.recordCompleted(now)
}

// versionReached records that a node has a version.
func (p *propagation) versionReached(node int, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, previous := time.Now(), p.nodeVersions[node]
	if version <= previous {
		return
	}
	p.nodeVersions[node] = version
	for _, change := range p.changes {
		if change.version > previous && change.version <= version {
			p.record(node, change, now)
		}
	}
	p.recordCompleted(now)
	close(p.progress)
	p.progress = make(chan struct{})
}

// record records that a node has a change. The caller holds the lock.
func (p *propagation) record(node int, change listChange, now time.Time) {
	histogram, from := p.changeToNode, change.at
	if start := p.startedAt[node]; start.After(change.at) {
		histogram, from = p.startToCurrent, start
	}
	histogram.RecordValue(now.Sub(from).Microseconds())
}

// recordCompleted records the changes that every node has by now. The caller holds the lock.
func (p *propagation) recordCompleted(now time.Time) {
	lowest := slices.Min(p.nodeVersions)
	for len(p.pending) > 0 && p.pending[0].version <= lowest {
		p.changeToLastNode.RecordValue(now.Sub(p.pending[0].at).Microseconds())
		p.pending = p.pending[1:]
	}
}

// lowestVersion returns the lowest version of all nodes, and a channel that is closed when a node has a later version.
func (p *propagation) lowestVersion() (version int64, progress <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Min(p.nodeVersions), p.progress
}
