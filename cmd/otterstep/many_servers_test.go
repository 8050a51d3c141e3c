package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	requestsPerSecond = 132  // rate of requests to the node under test
	largeFleetSize    = 5300 // number of nodes in the settings; they share the servers
	nodeSocketLimit   = 1024
	// maxServerListeners limits the listeners of the fake servers. Where more servers are listed, several share a
	// listener, and the number of reached servers is an estimate.
	maxServerListeners = 8192
	// loadDurationVariable is the environment variable that enables the test at full size; its value is the duration
	// of the load.
	loadDurationVariable = "OTTERSTEP_LARGE"
)

// fakeServers is a set of servers that answer at once. It records which of them got requests.
type fakeServers struct {
	server       http.Server
	addrs        []string
	mu           sync.Mutex
	reachedAddrs map[string]bool
}

// newFakeServers starts servers with the given number of listeners.
func newFakeServers(t *testing.T, listenerCount int) *fakeServers {
	t.Helper()
	s := &fakeServers{reachedAddrs: map[string]bool{}}
	s.server.Handler = s
	for range listenerCount {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s.addrs = append(s.addrs, listener.Addr().String())
		go s.server.Serve(listener)
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *fakeServers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.reachedAddrs[r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()] = true
	s.mu.Unlock()
	io.WriteString(w, r.Header.Get("X-Correlation-Id"))
}

// reachedCount returns how many servers got requests. It is exact where each server has its own listener.
func (s *fakeServers) reachedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reachedAddrs)
}

// largeDiscovery is a discovery service with many servers that changes one entry at the end of each watch.
type largeDiscovery struct {
	entries        []string // JSON text of one entry per server
	wholeList      []byte
	wholeListCalls atomic.Int64  // number of calls for the whole list
	bytesWritten   atomic.Int64  // bytes of all answers
	listAccepted   chan struct{} // closed at the first watch, which shows that the node has accepted the list
	acceptedOnce   sync.Once
}

// newLargeDiscovery returns a service that lists the given number of servers at the addresses of the fake servers.
func newLargeDiscovery(serverCount int, servers *fakeServers) *largeDiscovery {
	d := &largeDiscovery{listAccepted: make(chan struct{})}
	for i := range serverCount {
		d.entries = append(d.entries, fmt.Sprintf(`{"uid":"s-%08x","endpoint":%q,"az":"a","model":"m2","pod_group":3,`+
			`"state":"in_service","capacity_hint":1.0,"boot_ms":0}`, i, servers.addrs[i%len(servers.addrs)]))
	}
	d.wholeList = []byte(`{"rev":1,"all":true,"targets":[` + strings.Join(d.entries, ",\n") + "]}\n")
	return d
}

// ServeHTTP implements http.Handler.
func (d *largeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !r.URL.Query().Has("since") {
		d.wholeListCalls.Add(1)
		n, _ := w.Write(d.wholeList)
		d.bytesWritten.Add(int64(n))
		return
	}
	d.acceptedOnce.Do(func() { close(d.listAccepted) }) // a node that watches has accepted the list
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	select {
	case <-r.Context().Done():
		return
	case <-time.After(time.Duration(wait) * time.Millisecond):
	}
	n, _ := fmt.Fprintf(w, `{"rev":%d,"all":false,"targets":[%s]}`, since+1, d.entries[since%len(d.entries)])
	d.bytesWritten.Add(int64(n))
}

// nodeMeasurement holds the measured figures of a node with a given number of servers.
type nodeMeasurement struct {
	servers, requests, served      int
	p50, p99                       time.Duration // latencies measured by the client
	startCPUTime, loadCPUTime      time.Duration // CPU time until the list was accepted, and under load
	residentKiB, peakResidentKiB   int           // resident memory after the load, and its peak
	reachedServers                 int
	wholeListCalls, discoveryBytes int64 // calls for the whole list, and bytes of all of discovery's answers
}

// String describes the measurement for the test's log.
func (m nodeMeasurement) String() string {
	return fmt.Sprintf("%d servers: %d requests, %.2f%% answered 200, p50 %v, p99 %v, CPU time %v to accept the list and %v "+
		"under load, resident %.1f MB (peak %.1f MB), %d servers reached, %d whole lists, %.1f MB from discovery",
		m.servers, m.requests, 100*m.servedShare(), m.p50, m.p99, m.startCPUTime, m.loadCPUTime,
		float64(m.residentKiB)/1024, float64(m.peakResidentKiB)/1024, m.reachedServers, m.wholeListCalls, float64(m.discoveryBytes)/1e6)
}

// servedShare returns the share of requests that were served.
func (m nodeMeasurement) servedShare() float64 {
	return float64(m.served) / float64(max(1, m.requests))
}

// measureNode runs the program with a list of the given length, waits until it has accepted the list, and applies the
// load. Where lists are given on request, the node also has the list in its configuration.
func measureNode(t *testing.T, serverCount int, onRequest bool, loadDuration time.Duration) nodeMeasurement {
	t.Helper()
	servers := newFakeServers(t, min(serverCount, maxServerListeners))
	defer servers.server.Close()
	discovery := newLargeDiscovery(serverCount, servers)
	discoveryServer := httptest.NewServer(discovery)
	defer discoveryServer.Close()
	node, addr, stop := startLargeFleetNode(t, discoveryServer.Listener.Addr().String(), onRequest, discovery.wholeList)
	defer stop()
	select {
	case <-discovery.listAccepted:
	case <-time.After(time.Minute):
		t.Fatalf("%d servers: the node has not accepted the list after a minute and %d calls for it",
			serverCount, discovery.wholeListCalls.Load())
	}
	startCPUTime := processCPUTime(t, node.Process.Pid)
	result := applyLoad(addr, loadDuration)
	result.servers, result.startCPUTime = serverCount, startCPUTime
	result.loadCPUTime = processCPUTime(t, node.Process.Pid) - startCPUTime
	result.residentKiB, result.peakResidentKiB =
		processMemoryKiB(t, node.Process.Pid, "VmRSS:"), processMemoryKiB(t, node.Process.Pid, "VmHWM:")
	result.reachedServers, result.wholeListCalls, result.discoveryBytes =
		servers.reachedCount(), discovery.wholeListCalls.Load(), discovery.bytesWritten.Load()
	return result
}

// startLargeFleetNode starts the program with the settings of a large fleet on one CPU core, with the descriptor limit
// of its configuration.
func startLargeFleetNode(
	t *testing.T, discoveryAddr string, onRequest bool, knownList []byte,
) (node *exec.Cmd, addr string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = listener.Addr().String()
	listener.Close()
	cmd := programCommand(writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = addr, discoveryAddr
		c["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": nodeSocketLimit}
		c["settings"] = map[string]any{
			"Balancers": largeFleetSize, "Zones": []string{"a"},
			"Classes": []any{map[string]any{"Name": "read", "DeadlineMs": 2000, "PromiseMs": 1000, "Effect": "pure"}},
			"Limits":  map[string]any{"MaxAttempts": 3, "Cancel": true, "RetryAfter": true, "MaxRetryAfterMs": 500},
		}
		if onRequest {
			c["known"] = json.RawMessage(knownList)
			c["settings"].(map[string]any)["RegistryMode"] = "on_request"
		}
	}))
	node = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, nodeSocketLimit), os.Args[0])
	node.Env = append(cmd.Env, "GOMAXPROCS=1") // the limits of its configuration allow one core
	var stderr bytes.Buffer
	node.Stderr = &stderr
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	return node, addr, func() {
		node.Process.Kill()
		node.Wait()
		if t.Failed() {
			t.Logf("the node's log: %.2000s", &stderr)
		}
	}
}

// applyLoad sends requests at a constant rate, whether or not earlier ones were answered.
func applyLoad(addr string, duration time.Duration) (result nodeMeasurement) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport}
	latencies := make([]time.Duration, requestsPerSecond*int(duration/time.Second))
	var served atomic.Int64
	var clients sync.WaitGroup
	startedAt := time.Now()
	for i := range latencies {
		dueAt := startedAt.Add(time.Duration(i) * time.Second / requestsPerSecond)
		time.Sleep(time.Until(dueAt))
		clients.Go(func() {
			if sendRequest(&client, addr, i) {
				served.Add(1)
			}
			latencies[i] = time.Since(dueAt)
		})
	}
	clients.Wait()
	slices.Sort(latencies)
	return nodeMeasurement{
		requests: len(latencies), served: int(served.Load()),
		p50: latencies[len(latencies)/2].Round(time.Microsecond), p99: latencies[len(latencies)*99/100].Round(time.Microsecond),
	}
}

// sendRequest sends one request and reports whether it was served.
func sendRequest(client *http.Client, addr string, number int) bool {
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/read/k%d", addr, number), nil)
	if err != nil {
		return false
	}
	id := fmt.Sprint("id-", number)
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("X-Service-Class", "read")
	r.Header.Set("X-Time-Left", "2.0")
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == id
}

// processCPUTime returns the CPU time that a process has used so far, with the resolution of the kernel's ticks of 10 ms.
func processCPUTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the fields after the program's name
	fields := strings.Fields(rest)
	userTicks, err1 := strconv.Atoi(fields[11])
	systemTicks, err2 := strconv.Atoi(fields[12])
	if err1 != nil || err2 != nil {
		t.Fatalf("no CPU time in %q", text)
	}
	return time.Duration(userTicks+systemTicks) * 10 * time.Millisecond
}

// processMemoryKiB returns a field of a process's memory status, such as "VmRSS:", in KiB.
func processMemoryKiB(t *testing.T, pid int, field string) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), field)
	kib, err := strconv.Atoi(strings.Fields(rest + " none")[0])
	if err != nil {
		t.Fatalf("memory status field %s: %v", field, err)
	}
	return kib
}

// TestNodeServesFromAListOfServers guards against requests that are not served with a short list, and against calling
// for the whole list more than once.
func TestNodeServesFromAListOfServers(t *testing.T) {
	measured := measureNode(t, 20, false, time.Second)
	t.Log(measured)
	if measured.served != measured.requests || measured.reachedServers == 0 || measured.wholeListCalls != 1 {
		t.Errorf("want every request served, and one whole list: %v", measured)
	}
}

// The limits of what a node with very many servers may cost, compared with a node with few servers.
const (
	fewServers          = 500
	manyServers         = 55_000
	minServedShare      = 0.999
	maxCostRatio        = 2.0      // ratio of p99 latencies and of CPU times under load
	maxExtraMemoryKiB   = 32 << 10 // additional resident memory
	maxReachedServers   = 600
	maxWholeListCalls   = 2
	rounds              = 3
	requiredDescriptors = maxServerListeners + 2048 // descriptors of the test process
)

// TestNodeCostWithVeryManyServers guards against latency, CPU time, memory and traffic that grow with the number of
// listed servers. It runs only where the environment variable OTTERSTEP_LARGE is set to the duration of the load.
func TestNodeCostWithVeryManyServers(t *testing.T) {
	loadDuration, err := time.ParseDuration(os.Getenv(loadDurationVariable))
	if err != nil {
		t.Skipf("%s is not set to the duration of the load, such as 10s", loadDurationVariable)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < requiredDescriptors {
		t.Skipf("the test needs %d descriptors, the limit is %d, %v", requiredDescriptors, limit.Cur, err)
	}
	for mode, onRequest := range map[string]bool{"pushed": false, "on request": true} {
		t.Run(mode, func(t *testing.T) {
			var few, many nodeMeasurement
			for range rounds { // alternating, because the load of a busy machine changes by the minute
				few.merge(t, measureNode(t, fewServers, onRequest, loadDuration))
				many.merge(t, measureNode(t, manyServers, onRequest, loadDuration))
			}
			many.requireSimilarCost(t, few)
		})
	}
}

// merge adds one more round: it keeps the shortest times, because other processes on the machine only lengthen them, and
// the maximum of all other costs.
func (m *nodeMeasurement) merge(t *testing.T, round nodeMeasurement) {
	t.Helper()
	t.Log(round)
	if m.requests == 0 {
		*m = round
		return
	}
	m.requests, m.served = m.requests+round.requests, m.served+round.served
	m.p99, m.loadCPUTime = min(m.p99, round.p99), min(m.loadCPUTime, round.loadCPUTime)
	m.residentKiB, m.reachedServers, m.wholeListCalls = max(m.residentKiB, round.residentKiB),
		max(m.reachedServers, round.reachedServers), max(m.wholeListCalls, round.wholeListCalls)
}

// requireSimilarCost checks that a node with many servers costs little more than a node with few.
func (m nodeMeasurement) requireSimilarCost(t *testing.T, few nodeMeasurement) {
	t.Helper()
	if m.servedShare() < minServedShare {
		t.Errorf("%.2f%% of the requests answered 200, want %.1f%% at least", 100*m.servedShare(), 100*minServedShare)
	}
	if ratio := float64(m.p99) / float64(few.p99); ratio > maxCostRatio {
		t.Errorf("p99 is %.1f times that with %d servers, want %.0f times at most", ratio, few.servers, maxCostRatio)
	}
	if ratio := float64(m.loadCPUTime) / float64(few.loadCPUTime); ratio > maxCostRatio {
		t.Errorf("CPU time under load is %.1f times that with %d servers, want %.0f times at most", ratio, few.servers, maxCostRatio)
	}
	if extraKiB := m.residentKiB - few.residentKiB; extraKiB > maxExtraMemoryKiB {
		t.Errorf("%d KiB more memory than with %d servers, want %d KiB at most", extraKiB, few.servers, maxExtraMemoryKiB)
	}
	if m.reachedServers > maxReachedServers {
		t.Errorf("%d servers reached, want %d at most", m.reachedServers, maxReachedServers)
	}
	if m.wholeListCalls > maxWholeListCalls {
		t.Errorf("%d calls for the whole list, want %d at most", m.wholeListCalls, maxWholeListCalls)
	}
}
