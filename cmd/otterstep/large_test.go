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
	requestsPerSecond = 132  // a second, at the node under test
	largeFleetSize    = 5300 // that share the servers, as the settings say
	nodeSocketLimit   = 1024
	// farmListeners bounds the listeners that stand in for the listed servers. Where more
	// are listed, several share one, and the count of servers met is an estimate.
	maxServerListeners = 8192
	// longLoad is the environment variable that turns the test at full size on; it holds the
	// duration of the load.
	loadDurationVariable = "OTTERSTEP_LARGE"
)

// farm is a set of servers that answer at once. It notes which of them were met.
type fakeServers struct {
	server       http.Server
	addrs        []string
	mu           sync.Mutex
	reachedAddrs map[string]bool
}

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

func (s *fakeServers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.reachedAddrs[r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()] = true
	s.mu.Unlock()
	io.WriteString(w, r.Header.Get("X-Correlation-Id"))
}

// servers is how many servers were met: exact where each has a listener of its own.
func (s *fakeServers) reachedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reachedAddrs)
}

// largeDiscovery lists many servers, and changes one at the end of each watch.
type largeDiscovery struct {
	entries        []string // one a server
	wholeList      []byte
	wholeListCalls atomic.Int64 // whole lists that were called for
	bytesWritten   atomic.Int64 // written
	listAccepted   chan struct{}
	acceptedOnce   sync.Once
}

func newLargeDiscovery(serverCount int, servers *fakeServers) *largeDiscovery {
	d := &largeDiscovery{listAccepted: make(chan struct{})}
	for i := range serverCount {
		d.entries = append(d.entries, fmt.Sprintf(`{"uid":"s-%08x","endpoint":%q,"az":"a","model":"m2","pod_group":3,`+
			`"state":"in_service","capacity_hint":1.0,"boot_ms":0}`, i, servers.addrs[i%len(servers.addrs)]))
	}
	d.wholeList = []byte(`{"rev":1,"all":true,"targets":[` + strings.Join(d.entries, ",\n") + "]}\n")
	return d
}

func (d *largeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !r.URL.Query().Has("since") {
		d.wholeListCalls.Add(1)
		n, _ := w.Write(d.wholeList)
		d.bytesWritten.Add(int64(n))
		return
	}
	d.acceptedOnce.Do(func() { close(d.listAccepted) }) // who watches has taken the list
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

// figures are what a node before many servers was measured at.
type nodeMeasurement struct {
	servers, requests, served      int
	p50, p99                       time.Duration // at the client
	startCPUTime, loadCPUTime      time.Duration // of the processor: until the list was taken, and under load
	residentKiB, peakResidentKiB   int           // KiB
	reachedServers                 int
	wholeListCalls, discoveryBytes int64
}

func (m nodeMeasurement) String() string {
	return fmt.Sprintf("%d servers: %d requests, %.2f%% answered 200, p50 %v, p99 %v, processor %v to take the list and %v "+
		"under load, resident %.1f MB (peak %.1f MB), %d servers met, %d whole lists, %.1f MB from discovery",
		m.servers, m.requests, 100*m.servedShare(), m.p50, m.p99, m.startCPUTime, m.loadCPUTime,
		float64(m.residentKiB)/1024, float64(m.peakResidentKiB)/1024, m.reachedServers, m.wholeListCalls, float64(m.discoveryBytes)/1e6)
}

func (m nodeMeasurement) servedShare() float64 {
	return float64(m.served) / float64(max(1, m.requests))
}

// measureNode runs the program before so many servers, has it take the list, and then puts
// the load on it. Where discovery is asked, the node finds the list in its configuration.
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
		t.Fatalf("%d servers: the list was not taken after %d calls", serverCount, discovery.wholeListCalls.Load())
	}
	startCPUTime := processCPUTime(t, node.Process.Pid)
	result := applyLoad(addr, loadDuration)
	result.servers, result.startCPUTime = serverCount, startCPUTime
	result.loadCPUTime = processCPUTime(t, node.Process.Pid) - startCPUTime
	result.residentKiB, result.peakResidentKiB = processMemoryKiB(t, node.Process.Pid, "VmRSS:"), processMemoryKiB(t, node.Process.Pid, "VmHWM:")
	result.reachedServers, result.wholeListCalls, result.discoveryBytes = servers.reachedCount(), discovery.wholeListCalls.Load(), discovery.bytesWritten.Load()
	return result
}

// startLargeNode starts the program with the settings of a large fleet.
func startLargeFleetNode(t *testing.T, discoveryAddr string, onRequest bool, knownList []byte) (node *exec.Cmd, addr string, stop func()) {
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
	node.Env = append(cmd.Env, "GOMAXPROCS=1") // as on the one core of its limits
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

// putLoad sends requests at an even rate, whether or not those before were answered.
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

// ask sends one request and tells whether it was served.
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

// processorTime is what a process has used so far, in the kernel's ticks of 10 ms.
func processCPUTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), ") ") // behind the program's name
	fields := strings.Fields(rest)
	userTicks, err1 := strconv.Atoi(fields[11])
	systemTicks, err2 := strconv.Atoi(fields[12])
	if err1 != nil || err2 != nil {
		t.Fatalf("processor time of %q", text)
	}
	return time.Duration(userTicks+systemTicks) * 10 * time.Millisecond
}

// memory gives a line of a process's memory in KiB.
func processMemoryKiB(t *testing.T, pid int, field string) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), field)
	kib, err := strconv.Atoi(strings.Fields(rest + " none")[0])
	if err != nil {
		t.Fatalf("%s %v", field, err)
	}
	return kib
}

// A node before few servers serves all, from the one whole list that it calls for.
func TestNodeServesFromAListOfServers(t *testing.T) {
	measured := measureNode(t, 20, false, time.Second)
	t.Log(measured)
	if measured.served != measured.requests || measured.reachedServers == 0 || measured.wholeListCalls != 1 {
		t.Errorf("want each request served, from one whole list: %v", measured)
	}
}

// What a node before very many servers may cost, beside one before few.
const (
	fewServers          = 500
	manyServers         = 55_000
	minServedShare      = 0.999
	maxCostRatio        = 2.0      // of p99 and of the processor's time
	maxExtraMemoryKiB   = 32 << 10 // KiB more
	maxReachedServers   = 600
	maxWholeListCalls   = 2
	rounds              = 3
	requiredDescriptors = maxServerListeners + 2048 // of this test
)

// Guards the node's cost where very many servers are listed. It runs only where the
// environment variable asks for it.
func TestNodeCostWithVeryManyServers(t *testing.T) {
	loadDuration, err := time.ParseDuration(os.Getenv(loadDurationVariable))
	if err != nil {
		t.Skipf("%s holds no duration for the load, such as 10s", loadDurationVariable)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < requiredDescriptors {
		t.Skipf("the test needs %d descriptors, the limit is %d, %v", requiredDescriptors, limit.Cur, err)
	}
	for mode, onRequest := range map[string]bool{"pushed": false, "asked": true} {
		t.Run(mode, func(t *testing.T) {
			var few, many nodeMeasurement
			for range rounds { // in turn, as a busy machine changes by the minute
				few.merge(t, measureNode(t, fewServers, onRequest, loadDuration))
				many.merge(t, measureNode(t, manyServers, onRequest, loadDuration))
			}
			many.requireSimilarCost(t, few)
		})
	}
}

// merge takes in one more round: the least time, as what else runs only adds to it, and the
// most of all other costs.
func (m *nodeMeasurement) merge(t *testing.T, round nodeMeasurement) {
	t.Helper()
	t.Log(round)
	if m.requests == 0 {
		*m = round
		return
	}
	m.requests, m.served = m.requests+round.requests, m.served+round.served
	m.p99, m.loadCPUTime = min(m.p99, round.p99), min(m.loadCPUTime, round.loadCPUTime)
	m.residentKiB, m.reachedServers, m.wholeListCalls = max(m.residentKiB, round.residentKiB), max(m.reachedServers, round.reachedServers), max(m.wholeListCalls, round.wholeListCalls)
}

// compare checks what a node before many servers costs beside one before few.
func (m nodeMeasurement) requireSimilarCost(t *testing.T, few nodeMeasurement) {
	t.Helper()
	if m.servedShare() < minServedShare {
		t.Errorf("%.2f%% answered 200, want %.1f%%", 100*m.servedShare(), 100*minServedShare)
	}
	if ratio := float64(m.p99) / float64(few.p99); ratio > maxCostRatio {
		t.Errorf("p99 is %.1f times that before %d servers, want %.0f", ratio, few.servers, maxCostRatio)
	}
	if ratio := float64(m.loadCPUTime) / float64(few.loadCPUTime); ratio > maxCostRatio {
		t.Errorf("processor time is %.1f times that before %d servers, want %.0f", ratio, few.servers, maxCostRatio)
	}
	if extraKiB := m.residentKiB - few.residentKiB; extraKiB > maxExtraMemoryKiB {
		t.Errorf("%d KiB more memory than before %d servers, want %d", extraKiB, few.servers, maxExtraMemoryKiB)
	}
	if m.reachedServers > maxReachedServers {
		t.Errorf("%d servers met, want %d at most", m.reachedServers, maxReachedServers)
	}
	if m.wholeListCalls > maxWholeListCalls {
		t.Errorf("%d whole lists called for, want %d at most", m.wholeListCalls, maxWholeListCalls)
	}
}
