package policy_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"runtime"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"otterstep/policy"
)

// The benchmarks and tests in this file show how the costs of one node's decisions, list changes and whole lists and its
// memory grow with the number of servers and tenants. They use the exported interface alone, on a clock that they
// advance themselves. The benchmarks print the figures that docs/CAPACITY.md is based on. The tests compare the cost at
// one size with the cost at another, or count work; they never assert a time.

// The operators' target.
const (
	targetNodes             = 5300
	targetServers           = 55_000
	targetTenants           = 160_000
	targetZones             = 24
	targetRequestsPerSecond = 700_000
	targetMemoryBytes       = 32 << 20 // memory for control on each node
)

// baseServers is the number of servers that costs at the target are compared with. A cost that is proportional to that
// number grows by targetServers/baseServers, which is about 17; a bounded one stays the same.
const baseServers = 3200

const (
	arrivalGap     = time.Second * targetNodes / targetRequestsPerSecond // time between requests at a node
	serverLatency  = 20 * time.Millisecond
	warmUpRequests = 1500 // requests before a measurement, because a node sizes its subset by 10 s of them
)

// benchmarkServerCounts are the numbers of servers that benchmarks are run with.
var benchmarkServerCounts = []int{200, 1000, 3200, 5000, 20_000, targetServers}

// nodesForServers returns the size of a fleet with the target's ratio of nodes to servers.
func nodesForServers(servers int) int {
	return max(1, servers*targetNodes/targetServers)
}

// timerEvent is a timer that the Balancer has set.
type timerEvent struct {
	at    time.Duration
	token uint64
}

// timerQueue is a heap of timers, the earliest first.
type timerQueue []timerEvent

func (q timerQueue) Len() int           { return len(q) }
func (q timerQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q timerQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)        { *q = append(*q, x.(timerEvent)) }
func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// inFlightAttempt is an attempt that a server is working on.
type inFlightAttempt struct {
	id      policy.RequestID
	attempt int
	server  policy.ServerID
	sentAt  time.Duration
}

// scaleNode is the Balancer of one node on a simulated clock. Its servers answer each attempt after serverLatency. It
// implements policy.Host.
type scaleNode struct {
	balancer         *policy.Balancer
	now              time.Duration
	lastID           policy.RequestID
	timers           timerQueue
	inFlight         []inFlightAttempt        // oldest first
	attempts         map[policy.RequestID]int // number of attempts for each request
	attemptsByServer map[policy.ServerID]int  // number of attempts sent to each server
	refused          int
}

// newScaleNode returns a node that has no list yet.
func newScaleNode(tb testing.TB, settings policy.Settings) *scaleNode {
	tb.Helper()
	node := &scaleNode{
		now:              time.Hour,
		attempts:         map[policy.RequestID]int{},
		attemptsByServer: map[policy.ServerID]int{},
	}
	balancer, err := policy.New(settings, 1, node)
	if err != nil {
		tb.Fatal(err)
	}
	node.balancer = balancer
	return node
}

// listedScaleNode returns a node of a fleet that has a list of the given number of servers.
func listedScaleNode(tb testing.TB, nodes, servers int) *scaleNode {
	tb.Helper()
	node := newScaleNode(tb, scaleSettings(nodes, 0))
	node.balancer.ListUpdated(node.now, policy.ListWhole, scaleServers(servers))
	return node
}

// warmedUpScaleNode returns a node of a fleet that has a list of the given number of servers and has served
// warmUpRequests.
func warmedUpScaleNode(tb testing.TB, nodes, servers int) *scaleNode {
	tb.Helper()
	node := listedScaleNode(tb, nodes, servers)
	node.serve(warmUpRequests)
	return node
}

// scaleSettings returns the settings of a node of a fleet with these numbers of nodes and tenants.
func scaleSettings(nodes, tenants int) policy.Settings {
	settings := policy.Defaults()
	settings.NodeCount = nodes
	settings.NodeIndex = nodes / 2 // fixed instead of drawn, so that each run has the same subset
	settings.Classes = []policy.Class{{
		Deadline: 2 * time.Second, LatencyTarget: 800 * time.Millisecond, Value: 1, Idempotency: policy.Idempotent,
	}}
	settings.Limits = policy.Limits{MaxAttempts: 4, AllowCancel: true, MaxRetryAfter: time.Second}
	settings.Tenants = make([]policy.Tenant, tenants)
	for i := range settings.Tenants {
		settings.Tenants[i].QuotaPerSecond = 2 * targetRequestsPerSecond / float64(tenants)
	}
	return settings
}

// scaleServer returns the list's entry for a server, which is warm and in service. Servers are spread over the zones,
// and their IDs over the whole range, because IDs are hashes in a real node.
func scaleServer(index int) policy.Entry {
	return policy.Entry{
		Server: policy.ServerID(uint64(index+1) * 0x9e3779b97f4a7c15),
		Zone:   index % targetZones,
		Cell:   index / 17,
		State:  policy.StateInService,
		Weight: 1,
	}
}

// scaleServers returns the entries of a list of servers.
func scaleServers(count int) []policy.Entry {
	entries := make([]policy.Entry, count)
	for i := range entries {
		entries[i] = scaleServer(i)
	}
	return entries
}

// serve sends requests to the node at the target's rate, and delivers the outcomes and timers between them.
func (n *scaleNode) serve(requests int) {
	n.serveTenants(requests, 0)
}

// serveTenants does the same as serve, with each request from the next tenant, beginning with first.
func (n *scaleNode) serveTenants(requests, first int) {
	for i := range requests {
		n.advance(arrivalGap)
		n.lastID++
		n.balancer.RequestArrived(n.now, policy.Request{ID: n.lastID, TimeLeft: 2 * time.Second, Tenant: first + i})
	}
}

// advance advances the clock and delivers the timers and answers that are due.
func (n *scaleNode) advance(duration time.Duration) {
	for end := n.now + duration; ; {
		timerAt, answerAt := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
		if len(n.timers) > 0 {
			timerAt = n.timers[0].at
		}
		if len(n.inFlight) > 0 {
			answerAt = n.inFlight[0].sentAt + serverLatency
		}
		if min(timerAt, answerAt) > end {
			n.now = end
			return
		}
		n.now = max(n.now, min(timerAt, answerAt))
		if answerAt <= timerAt {
			n.answer()
			continue
		}
		due := heap.Pop(&n.timers).(timerEvent)
		n.balancer.TimerFired(n.now, due.token)
	}
}

// answer delivers the outcome of the oldest attempt.
func (n *scaleNode) answer() {
	oldest := n.inFlight[0]
	n.inFlight = slices.Delete(n.inFlight, 0, 1)
	delete(n.attempts, oldest.id)
	n.balancer.AttemptEnded(n.now, policy.Outcome{
		ID: oldest.id, Attempt: oldest.attempt, Server: oldest.server,
		Status: policy.OK, RequestDone: true, Latency: n.now - oldest.sentAt,
	})
}

// Send implements policy.Host.
func (n *scaleNode) Send(id policy.RequestID, server policy.ServerID, _ time.Duration) {
	n.inFlight = append(n.inFlight, inFlightAttempt{id, n.attempts[id], server, n.now})
	n.attempts[id]++
	n.attemptsByServer[server]++
}

// SetTimer implements policy.Host.
func (n *scaleNode) SetTimer(at time.Duration, token uint64) {
	heap.Push(&n.timers, timerEvent{at, token})
}

// Refuse implements policy.Host.
func (n *scaleNode) Refuse(policy.RequestID, time.Duration, policy.Reason) { n.refused++ }

// Fail implements policy.Host.
func (n *scaleNode) Fail(policy.RequestID, policy.Reason) { n.refused++ }

// Cancel implements policy.Host. Each attempt is answered in time, so nothing is cancelled.
func (n *scaleNode) Cancel(policy.RequestID, int) {}

// CancelUnsent implements policy.Host.
func (n *scaleNode) CancelUnsent(policy.RequestID, int) {}

// SetWriteDeadline implements policy.Host.
func (n *scaleNode) SetWriteDeadline(policy.RequestID, time.Duration) {}

// StartCall implements policy.Host.
func (n *scaleNode) StartCall(policy.Call) {}

// CancelCall implements policy.Host.
func (n *scaleNode) CancelCall(policy.CallID) {}

// MarkReady implements policy.Host.
func (n *scaleNode) MarkReady() {}

// changeOneEntry delivers a list change of one server, which drains or is in service again.
func (n *scaleNode) changeOneEntry(index int, state policy.ServerState) {
	entry := scaleServer(index)
	entry.State = state
	n.balancer.ListUpdated(n.now, policy.ListChanges, []policy.Entry{entry})
}

// liveHeapBytes returns the size of the heap after garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC() // a second time, because the first only marks some of it to be freed
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapBytesOf returns the size of the heap that the result of build holds.
func heapBytesOf[T any](build func() T) float64 {
	before := liveHeapBytes()
	held := build()
	after := liveHeapBytes()
	runtime.KeepAlive(held)
	return after - before
}

// allocatedBytes returns the number of bytes that do allocates, freed ones included.
func allocatedBytes(do func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}

// threadCPUTime returns the processor time that this thread has used, which leaves out the time in which other threads
// held the processor. The caller has to lock the thread.
func threadCPUTime() time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		panic(err)
	}
	return time.Duration(used.Nano())
}

// costRounds is the number of times that two costs are measured in turn; the result is the median of their ratios.
const costRounds = 7

// costRatio returns the processor time of large as a multiple of that of small. Both are measured right after one
// another, so that whatever slows the machine slows both.
func costRatio(small, large func()) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	ratios := make([]float64, costRounds)
	for i := range ratios {
		runtime.GC() // so that this thread does not spend time on collecting earlier garbage
		start := threadCPUTime()
		small()
		middle := threadCPUTime()
		large()
		ratios[i] = float64(threadCPUTime()-middle) / float64(max(middle-start, time.Microsecond))
	}
	return median(ratios)
}

// median returns the median, or the higher of the two middle values of an even number.
func median[T cmp.Ordered](values []T) T {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// ---- benchmarks

// runForEachServerCount runs a benchmark with each of benchmarkServerCounts.
func runForEachServerCount(b *testing.B, run func(b *testing.B, servers int)) {
	for _, servers := range benchmarkServerCounts {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { run(b, servers) })
	}
}

// requestsPerIteration is the number of requests in one iteration of a benchmark.
const requestsPerIteration = 20

// reportRequests reports the time per request, and as %core the share of a core that requests take at the target's rate.
func reportRequests(b *testing.B) {
	nanosecondsPerRequest := float64(b.Elapsed().Nanoseconds()) / float64(b.N) / requestsPerIteration
	b.ReportMetric(nanosecondsPerRequest, "ns/request")
	b.ReportMetric(100*nanosecondsPerRequest*targetRequestsPerSecond/targetNodes/1e9, "%core")
}

// BenchmarkScaleRequest measures a request with its outcome and the timers that are due, in a fleet with the target's
// ratio of nodes to servers.
func BenchmarkScaleRequest(b *testing.B) {
	runForEachServerCount(b, func(b *testing.B, servers int) {
		node := warmedUpScaleNode(b, nodesForServers(servers), servers)
		for b.Loop() {
			node.serve(requestsPerIteration)
		}
		reportRequests(b)
		b.ReportMetric(float64(len(node.attemptsByServer)), "servers-met")
	})
}

// BenchmarkScaleRequestTargetNodes measures a request with its outcome and the timers that are due, in a fleet with the
// target's number of nodes for each number of servers; where nodes outnumber servers, other rules hold for load shedding
// and for the choice of servers.
func BenchmarkScaleRequestTargetNodes(b *testing.B) {
	runForEachServerCount(b, func(b *testing.B, servers int) {
		node := warmedUpScaleNode(b, targetNodes, servers)
		for b.Loop() {
			node.serve(requestsPerIteration)
		}
		reportRequests(b)
	})
}

// BenchmarkScaleChange measures a list change of one entry.
func BenchmarkScaleChange(b *testing.B) {
	runForEachServerCount(b, func(b *testing.B, servers int) {
		node := warmedUpScaleNode(b, nodesForServers(servers), servers)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			index := i / 2 * 7919 % servers
			node.changeOneEntry(index, []policy.ServerState{policy.StateDraining, policy.StateInService}[i%2])
		}
	})
}

// BenchmarkScaleSubsetChange measures a list change of one entry, of a server that the node has sent to, so that its
// subset changes.
func BenchmarkScaleSubsetChange(b *testing.B) {
	runForEachServerCount(b, func(b *testing.B, servers int) {
		node := warmedUpScaleNode(b, nodesForServers(servers), servers)
		var triedServers []int
		for index := range servers {
			if node.attemptsByServer[scaleServer(index).Server] > 0 {
				triedServers = append(triedServers, index)
			}
		}
		for i := 0; b.Loop(); i++ {
			node.changeOneEntry(triedServers[i/2%len(triedServers)],
				[]policy.ServerState{policy.StateDraining, policy.StateInService}[i%2])
		}
	})
}

// BenchmarkScaleWholeList measures a whole list that changes nothing.
func BenchmarkScaleWholeList(b *testing.B) {
	runForEachServerCount(b, func(b *testing.B, servers int) {
		node := warmedUpScaleNode(b, nodesForServers(servers), servers)
		entries := scaleServers(servers)
		b.ReportAllocs()
		for b.Loop() {
			node.balancer.ListUpdated(node.now, policy.ListWhole, entries)
		}
	})
}

// BenchmarkScaleStart measures a new node that gets its first list, and reports the memory that the node then holds
// beside the entries of the list.
func BenchmarkScaleStart(b *testing.B) {
	runForEachServerCount(b, func(b *testing.B, servers int) {
		settings, entries := scaleSettings(nodesForServers(servers), 0), scaleServers(servers)
		start := func() *scaleNode {
			node := newScaleNode(b, settings)
			node.balancer.ListUpdated(node.now, policy.ListWhole, entries)
			return node
		}
		for b.Loop() {
			start()
		}
		heldBytes := heapBytesOf(start)
		runtime.KeepAlive(entries) // otherwise they may be freed before the measurement ends, which would lower it
		b.ReportMetric(heldBytes/float64(servers), "heap-B/server")
		b.ReportMetric(heldBytes/(1<<20), "heap-MiB")
	})
}

// benchmarkTenantCounts are the numbers of tenants that benchmarks are run with.
var benchmarkTenantCounts = []int{1000, 10_000, 40_000, targetTenants}

// BenchmarkScaleTenants measures a request with 200 servers, each from another tenant.
func BenchmarkScaleTenants(b *testing.B) {
	const servers = 200
	for _, tenants := range benchmarkTenantCounts {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			settings := scaleSettings(nodesForServers(servers), tenants)
			settingsBytes := heapBytesOf(func() []policy.Tenant { return slices.Clone(settings.Tenants) })
			heldBytes := heapBytesOf(func() *scaleNode { return newScaleNode(b, settings) })
			node := newScaleNode(b, settings)
			node.balancer.ListUpdated(node.now, policy.ListWhole, scaleServers(servers))
			node.serve(warmUpRequests)
			for first := 0; b.Loop(); first = (first + requestsPerIteration) % (tenants - requestsPerIteration) {
				node.serveTenants(requestsPerIteration, first)
			}
			reportRequests(b)
			b.ReportMetric((heldBytes+settingsBytes)/float64(tenants), "heap-B/tenant")
		})
	}
}

// ---- tests

// Guards against list changes whose garbage grows with the size of the list: at the target a node is notified of
// many changes.
func TestScaleChangeAllocatesTheSameAtEachSize(t *testing.T) {
	const changes = 32
	perChange := func(servers int) float64 {
		node := listedScaleNode(t, nodesForServers(servers), servers)
		node.changeOneEntry(0, policy.StateDraining)
		node.changeOneEntry(0, policy.StateInService)
		return allocatedBytes(func() {
			for i := range changes {
				node.changeOneEntry(i/2, []policy.ServerState{policy.StateDraining, policy.StateInService}[i%2])
			}
		}) / changes
	}
	// An entry costs some hundreds of bytes at most; the bound leaves room for a slice that grows.
	if small, large := perChange(baseServers), perChange(targetServers); large > 2*small+8192 {
		t.Errorf("a change of one entry allocates %.0f B with %d servers, %.0f B with %d",
			small, baseServers, large, targetServers)
	}
}

// Guards against requests whose garbage grows with the size of the list.
func TestScaleRequestAllocatesTheSameAtEachSize(t *testing.T) {
	const requests = 64
	perRequest := func(servers int) float64 {
		node := warmedUpScaleNode(t, nodesForServers(servers), servers)
		return allocatedBytes(func() { node.serve(requests) }) / requests
	}
	if small, large := perRequest(200), perRequest(baseServers); large > 2*small+4096 {
		t.Errorf("a request allocates %.0f B with 200 servers, %.0f B with %d", small, large, baseServers)
	}
}

// Guards against a node that allocates its servers again for a whole list that changes nothing.
func TestScaleWholeListAllocatesLessThanTheFirst(t *testing.T) {
	entries := scaleServers(baseServers)
	node := newScaleNode(t, scaleSettings(nodesForServers(baseServers), 0))
	first := allocatedBytes(func() { node.balancer.ListUpdated(node.now, policy.ListWhole, entries) })
	again := allocatedBytes(func() { node.balancer.ListUpdated(node.now, policy.ListWhole, entries) })
	if again > first/4 {
		t.Errorf("the first list allocates %.0f B, the same one again %.0f B, want a quarter or less", first, again)
	}
}

// Guards against memory per server that grows with the size of the list.
func TestScaleMemoryPerServerDoesNotGrow(t *testing.T) {
	small, large := heapBytesPerServer(t, baseServers), heapBytesPerServer(t, targetServers)
	if large > 1.25*small {
		t.Errorf("%.0f B per server with %d servers, %.0f B with %d", small, baseServers, large, targetServers)
	}
}

// heapBytesPerServer returns the memory that a node holds for each server of a list, beside the list's entries.
func heapBytesPerServer(t *testing.T, servers int) float64 {
	t.Helper()
	return heapBytesForList(t, servers) / float64(servers)
}

// heapBytesForList returns the memory that a node holds for a list, beside the list's entries.
func heapBytesForList(t *testing.T, servers int) float64 {
	t.Helper()
	entries := scaleServers(servers)
	settings := scaleSettings(nodesForServers(servers), 0)
	heldBytes := heapBytesOf(func() *scaleNode {
		node := newScaleNode(t, settings)
		node.balancer.ListUpdated(node.now, policy.ListWhole, entries)
		return node
	})
	runtime.KeepAlive(entries)
	return heldBytes
}

// Guards against memory for tenants that grows faster than their number or takes too much of the budget. Tenants are a
// slice, so their memory is proportional to their number.
func TestScaleTenantsNeedLittleMemory(t *testing.T) {
	memory := func(tenants int) float64 {
		settings := scaleSettings(targetNodes, tenants)
		heldBytes := heapBytesOf(func() *scaleNode { return newScaleNode(t, settings) })
		runtime.KeepAlive(settings)
		return heldBytes
	}
	few, all := memory(targetTenants/16), memory(targetTenants)
	if all > 1.25*16*few {
		t.Errorf("%d tenants need %.0f B, 16 times as many need %.0f B", targetTenants/16, few, all)
	}
	if all > targetMemoryBytes/4 {
		t.Errorf("%d tenants need %.1f MiB, more than a quarter of the budget", targetTenants, all/(1<<20))
	}
}

// Guards against a cost of requests that grows with the number of tenants.
func TestScaleRequestCostDoesNotGrowWithTenants(t *testing.T) {
	serve := func(tenants int) func() {
		settings := scaleSettings(nodesForServers(200), tenants)
		node := newScaleNode(t, settings)
		node.balancer.ListUpdated(node.now, policy.ListWhole, scaleServers(200))
		node.serve(warmUpRequests)
		first := 0
		return func() {
			node.serveTenants(200, first)
			first = (first + 200) % (tenants - 200)
		}
	}
	if ratio := costRatio(serve(targetTenants/16), serve(targetTenants)); ratio > 2 {
		t.Errorf("a request costs %.1f times as much with 16 times the tenants", ratio)
	}
}

// Guards against a cost of whole lists that grows with the square of their size. It may be more than proportional to
// the size where the list no longer fits into the processor's caches.
func TestScaleWholeListCostIsNotQuadratic(t *testing.T) {
	const sizeFactor = 8
	list := func(servers, repeats int) func() {
		entries := scaleServers(servers)
		node := listedScaleNode(t, nodesForServers(servers), servers)
		return func() {
			for range repeats {
				node.balancer.ListUpdated(node.now, policy.ListWhole, entries)
			}
		}
	}
	// The number of entries is the same in several small lists and in a large one. A quadratic cost gives a ratio of 8.
	if ratio := costRatio(list(baseServers, sizeFactor), list(baseServers*sizeFactor, 1)); ratio > 5 {
		t.Errorf("an entry costs %.1f times as much in a list that is %d times as long", ratio, sizeFactor)
	}
}
