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

// How one node's decisions, list changes, whole lists and memory grow with the number of
// servers and tenants. Everything here goes through the exported interface on a driven clock.
// The benchmarks print the slopes that docs/CAPACITY.md rests on; the tests assert shapes: the
// cost at one size over the cost at another, or counts of work, never a time.

// The operators' target.
const (
	targetNodes             = 5300
	targetServers           = 55_000
	targetTenants           = 160_000
	targetZones             = 24
	targetRequestsPerSecond = 700_000
	targetMemoryBytes       = 32 << 20 // for control, on each node
)

// baseServers is the size that costs at the target are compared with. A cost that follows the
// size grows by targetServers/baseServers, which is about 17; a bounded one stays.
const baseServers = 3200

const (
	arrivalGap     = time.Second * targetNodes / targetRequestsPerSecond // between requests at a node
	serverLatency  = 20 * time.Millisecond
	warmUpRequests = 1500 // requests before anything is measured: a node sizes its subset by 10 s of them
)

// benchmarkSizes are numbers of servers.
var benchmarkServerCounts = []int{200, 1000, 3200, 5000, 20_000, targetServers}

// nodesBefore is the size of a fleet with the target's ratio of nodes to servers.
func nodesForServers(servers int) int {
	return max(1, servers*targetNodes/targetServers)
}

// timerEvent is a timer that the policy has set.
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

// attemptOut is an attempt that a server is working on.
type inFlightAttempt struct {
	id      policy.RequestID
	attempt int
	server  policy.ServerID
	sent    time.Duration
}

// scaleNode is one node's policy on a driven clock, before servers that answer each attempt
// after serverLatency. It implements policy.Host.
type scaleNode struct {
	balancer         *policy.Balancer
	now              time.Duration
	lastID           policy.RequestID
	timers           timerQueue
	inFlight         []inFlightAttempt // oldest first
	attempts         map[policy.RequestID]int
	attemptsByServer map[policy.ServerID]int // attempts sent to each server
	refused          int
}

// newScaleNode makes the policy of one node; it knows no server yet.
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

// listedScaleNode gives a node that knows the servers.
func listedScaleNode(tb testing.TB, nodes, servers int) *scaleNode {
	tb.Helper()
	node := newScaleNode(tb, scaleSettings(nodes, 0))
	node.balancer.ListUpdated(node.now, policy.ListWhole, scaleServers(servers))
	return node
}

// startScaleNode gives a node that knows the servers and has served some requests.
func warmedUpScaleNode(tb testing.TB, nodes, servers int) *scaleNode {
	tb.Helper()
	node := listedScaleNode(tb, nodes, servers)
	node.serve(warmUpRequests)
	return node
}

func scaleSettings(nodes, tenants int) policy.Settings {
	settings := policy.Defaults()
	settings.NodeCount = nodes
	settings.NodeIndex = nodes / 2 // any one: not drawn, so that each run has the same subset
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

// scaleServer is the list's line for a server: warm and ready, spread over the zones. Ids are
// hashes in a real node, so they are spread over the whole range here too.
func scaleServer(index int) policy.Entry {
	return policy.Entry{
		Server: policy.ServerID(uint64(index+1) * 0x9e3779b97f4a7c15),
		Zone:   index % targetZones,
		Cell:   index / 17,
		State:  policy.StateInService,
		Weight: 1,
	}
}

func scaleServers(count int) []policy.Entry {
	entries := make([]policy.Entry, count)
	for i := range entries {
		entries[i] = scaleServer(i)
	}
	return entries
}

// serve takes requests in at the target's rate, with the outcomes and timers between them.
func (n *scaleNode) serve(requests int) {
	n.serveTenant(requests, 0)
}

// serveTenant does the same; the requests belong to one tenant after the other, from first on.
func (n *scaleNode) serveTenant(requests, first int) {
	for i := range requests {
		n.advance(arrivalGap)
		n.lastID++
		n.balancer.RequestArrived(n.now, policy.Request{ID: n.lastID, TimeLeft: 2 * time.Second, Tenant: first + i})
	}
}

// advance lets time go by and delivers what falls due.
func (n *scaleNode) advance(by time.Duration) {
	for end := n.now + by; ; {
		timer, answer := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
		if len(n.timers) > 0 {
			timer = n.timers[0].at
		}
		if len(n.inFlight) > 0 {
			answer = n.inFlight[0].sent + serverLatency
		}
		if min(timer, answer) > end {
			n.now = end
			return
		}
		n.now = max(n.now, min(timer, answer))
		if answer <= timer {
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
		Status: policy.OK, RequestDone: true, Latency: n.now - oldest.sent,
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

// Withdraw implements policy.Host.
func (n *scaleNode) CancelUnsent(policy.RequestID, int) {}

// WriteBy implements policy.Host.
func (n *scaleNode) SetWriteDeadline(policy.RequestID, time.Duration) {}

// CallList implements policy.Host.
func (n *scaleNode) StartCall(policy.Call) {}

// EndCall implements policy.Host.
func (n *scaleNode) CancelCall(policy.CallID) {}

// Ready implements policy.Host.
func (n *scaleNode) MarkReady() {}

// changeOneLine tells of one server that drains, or is ready again.
func (n *scaleNode) changeOneEntry(index int, state policy.ServerState) {
	entry := scaleServer(index)
	entry.State = state
	n.balancer.ListUpdated(n.now, policy.ListChanges, []policy.Entry{entry})
}

// heapBytes is what is on the heap once garbage is collected.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC() // a second time, for what the first has only marked to be freed
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// heapOf is how much of the heap is held by what build gives.
func heapBytesOf[T any](build func() T) float64 {
	before := liveHeapBytes()
	held := build()
	after := liveHeapBytes()
	runtime.KeepAlive(held)
	return after - before
}

// allocated is how many bytes do allocates, freed ones included.
func allocatedBytes(do func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}

// threadTime is the processor time that this thread has used, which does not count the
// time for which others held the processor. The caller has to lock the thread.
func threadCPUTime() time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		panic(err)
	}
	return time.Duration(used.Nano())
}

// costRounds is how often costs are measured, in turn; a ratio is the median of as many.
const costRounds = 7

// costRatio is the processor time of large over that of small. Both are measured right after
// one another, so that what slows the machine slows both.
func costRatio(small, large func()) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	ratios := make([]float64, costRounds)
	for i := range ratios {
		runtime.GC() // what others have left behind is not collected on this thread's time
		start := threadCPUTime()
		small()
		middle := threadCPUTime()
		large()
		ratios[i] = float64(threadCPUTime()-middle) / float64(max(middle-start, time.Microsecond))
	}
	return median(ratios)
}

func median[T cmp.Ordered](values []T) T {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// ---- benchmarks: the slopes

func runForEachServerCount(b *testing.B, run func(b *testing.B, servers int)) {
	for _, servers := range benchmarkServerCounts {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { run(b, servers) })
	}
}

// requestsEach is the number of requests in one iteration of a benchmark.
const requestsPerIteration = 20

func reportRequests(b *testing.B) {
	nanosecondsPerRequest := float64(b.Elapsed().Nanoseconds()) / float64(b.N) / requestsPerIteration
	b.ReportMetric(nanosecondsPerRequest, "ns/request")
	b.ReportMetric(100*nanosecondsPerRequest*targetRequestsPerSecond/targetNodes/1e9, "%core")
}

// BenchmarkScaleRequest is a request with its outcome and the timers that fall due, in a fleet
// with the target's ratio of nodes to servers. %core is the part of a core that this
// takes at the target's rate of requests.
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

// BenchmarkScaleRequestTargetNodes is the same in a fleet that has the target's number of nodes
// at each size; nodes that outnumber their servers shed and pick by other rules.
func BenchmarkScaleRequestTargetNodes(b *testing.B) {
	runForEachServerCount(b, func(b *testing.B, servers int) {
		node := warmedUpScaleNode(b, targetNodes, servers)
		for b.Loop() {
			node.serve(requestsPerIteration)
		}
		reportRequests(b)
	})
}

// BenchmarkScaleChange is a change of the list by one line.
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

// BenchmarkScaleSubsetChange is the same for servers that the node has met, which change its subset.
func BenchmarkScaleSubsetChange(b *testing.B) {
	runForEachServerCount(b, func(b *testing.B, servers int) {
		node := warmedUpScaleNode(b, nodesForServers(servers), servers)
		var met []int
		for index := range servers {
			if node.attemptsByServer[scaleServer(index).Server] > 0 {
				met = append(met, index)
			}
		}
		for i := 0; b.Loop(); i++ {
			node.changeOneEntry(met[i/2%len(met)], []policy.ServerState{policy.StateDraining, policy.StateInService}[i%2])
		}
	})
}

// BenchmarkScaleWholeList is a whole list that changes nothing.
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

// BenchmarkScaleStart is a new node that gets its first list; it reports the memory that the
// node then holds. The lines of the list itself are not counted.
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
		held := heapBytesOf(start)
		runtime.KeepAlive(entries) // else they are freed meanwhile and taken off what the node holds
		b.ReportMetric(held/float64(servers), "heap-B/server")
		b.ReportMetric(held/(1<<20), "heap-MiB")
	})
}

// tenantSizes are numbers of tenants.
var benchmarkTenantCounts = []int{1000, 10_000, 40_000, targetTenants}

// BenchmarkScaleTenants is a request before 200 servers; each request is another tenant's.
func BenchmarkScaleTenants(b *testing.B) {
	const servers = 200
	for _, tenants := range benchmarkTenantCounts {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			settings := scaleSettings(nodesForServers(servers), tenants)
			settingsOf := heapBytesOf(func() []policy.Tenant { return slices.Clone(settings.Tenants) })
			held := heapBytesOf(func() *scaleNode { return newScaleNode(b, settings) })
			node := newScaleNode(b, settings)
			node.balancer.ListUpdated(node.now, policy.ListWhole, scaleServers(servers))
			node.serve(warmUpRequests)
			for first := 0; b.Loop(); first = (first + requestsPerIteration) % (tenants - requestsPerIteration) {
				node.serveTenant(requestsPerIteration, first)
			}
			reportRequests(b)
			b.ReportMetric((held+settingsOf)/float64(tenants), "heap-B/tenant")
		})
	}
}

// ---- tests: the shapes

// A change of one line must not bring garbage that follows the size of the list: at the target
// a node hears of many changes.
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
	// A line costs some hundreds of bytes at most; the test leaves room for a slice that grows.
	if small, large := perChange(baseServers), perChange(targetServers); large > 2*small+8192 {
		t.Errorf("a change of one line allocates %.0f B before %d servers, %.0f B before %d",
			small, baseServers, large, targetServers)
	}
}

// Neither may a request.
func TestScaleRequestAllocatesTheSameAtEachSize(t *testing.T) {
	const requests = 64
	perRequest := func(servers int) float64 {
		node := warmedUpScaleNode(t, nodesForServers(servers), servers)
		return allocatedBytes(func() { node.serve(requests) }) / requests
	}
	if small, large := perRequest(200), perRequest(baseServers); large > 2*small+4096 {
		t.Errorf("a request allocates %.0f B before 200 servers, %.0f B before %d", small, large, baseServers)
	}
}

// A whole list that changes nothing must not make a node build its servers anew.
func TestScaleWholeListAllocatesLessThanTheFirst(t *testing.T) {
	entries := scaleServers(baseServers)
	node := newScaleNode(t, scaleSettings(nodesForServers(baseServers), 0))
	first := allocatedBytes(func() { node.balancer.ListUpdated(node.now, policy.ListWhole, entries) })
	again := allocatedBytes(func() { node.balancer.ListUpdated(node.now, policy.ListWhole, entries) })
	if again > first/4 {
		t.Errorf("the first list allocates %.0f B, the same one again %.0f B", first, again)
	}
}

// The memory for a server may fall with the size of the list, but not grow.
func TestScaleMemoryPerServerDoesNotGrow(t *testing.T) {
	small, large := heapBytesPerServer(t, baseServers), heapBytesPerServer(t, targetServers)
	if large > 1.25*small {
		t.Errorf("a server takes %.0f B of %d, %.0f B of %d", small, baseServers, large, targetServers)
	}
}

// memoryForAServer is what a node holds for each server of a list, the list's lines left out.
func heapBytesPerServer(t *testing.T, servers int) float64 {
	t.Helper()
	return heapBytesForList(t, servers) / float64(servers)
}

func heapBytesForList(t *testing.T, servers int) float64 {
	t.Helper()
	entries := scaleServers(servers)
	settings := scaleSettings(nodesForServers(servers), 0)
	held := heapBytesOf(func() *scaleNode {
		node := newScaleNode(t, settings)
		node.balancer.ListUpdated(node.now, policy.ListWhole, entries)
		return node
	})
	runtime.KeepAlive(entries)
	return held
}

// Tenants are a slice: a request's cost does not depend on how many there are, and memory is a
// straight line well inside the budget.
func TestScaleTenantsNeedLittleMemory(t *testing.T) {
	memory := func(tenants int) float64 {
		settings := scaleSettings(targetNodes, tenants)
		held := heapBytesOf(func() *scaleNode { return newScaleNode(t, settings) })
		runtime.KeepAlive(settings)
		return held
	}
	few, all := memory(targetTenants/16), memory(targetTenants)
	if all > 1.25*16*few {
		t.Errorf("%d tenants take %.0f B, 16 times as many %.0f B", targetTenants/16, few, all)
	}
	if all > targetMemoryBytes/4 {
		t.Errorf("%d tenants take %.1f MiB, over a quarter of the budget", targetTenants, all/(1<<20))
	}
}

func TestScaleRequestCostDoesNotGrowWithTenants(t *testing.T) {
	serve := func(tenants int) func() {
		settings := scaleSettings(nodesForServers(200), tenants)
		node := newScaleNode(t, settings)
		node.balancer.ListUpdated(node.now, policy.ListWhole, scaleServers(200))
		node.serve(warmUpRequests)
		first := 0
		return func() {
			node.serveTenant(200, first)
			first = (first + 200) % (tenants - 200)
		}
	}
	if ratio := costRatio(serve(targetTenants/16), serve(targetTenants)); ratio > 2 {
		t.Errorf("a request costs %.1f times as much with 16 times the tenants", ratio)
	}
}

// A list change walks the list: twice the size may cost more than twice as much where the
// processor's caches end, but the cost must not go with the square of the size.
func TestScaleWholeListCostIsNotQuadratic(t *testing.T) {
	const times = 8
	list := func(servers, repeats int) func() {
		entries := scaleServers(servers)
		node := listedScaleNode(t, nodesForServers(servers), servers)
		return func() {
			for range repeats {
				node.balancer.ListUpdated(node.now, policy.ListWhole, entries)
			}
		}
	}
	// The same number of lines in small lists and in a large one. The square would be a factor of 8.
	if ratio := costRatio(list(baseServers, times), list(baseServers*times, 1)); ratio > 5 {
		t.Errorf("a line costs %.1f times as much in a list that is %d times as long", ratio, times)
	}
}
