package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	pressureServerCount      = 12                      // servers in the list
	pressureServerDelay      = 20 * time.Millisecond   // time that a server takes for a request
	usualRequestsPerSecond   = 80                      // rate of the usual clients
	usualTimeLeft            = 1200 * time.Millisecond // time that a usual client gives the node
	maxLateness              = 500 * time.Millisecond  // time after which an answer is lost, counted from the end of the client's time
	minServedWithACore       = 0.95                    // served share of the usual requests
	minServedWithPartOfACore = 0.9
	pressureWarmUp           = 500 * time.Millisecond // time for which the pressing clients run before the usual ones
)

// builtProgram is the path of the program, built without the race detector, as its memory is measured.
var builtProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "otterstep")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "otterstep")
	output, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the program: %w: %s", err, output)
	}
	return path, nil
})

// pressedNode is a process of the program on one core, before stand-ins for discovery and servers.
type pressedNode struct {
	addr   string
	pid    int
	served *pressureServers
}

// pressureServers is the handler of all servers. It counts how often each id was received.
type pressureServers struct {
	mu       sync.Mutex
	received map[string]int
}

// ServeHTTP implements http.Handler.
func (s *pressureServers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Correlation-Id")
	s.mu.Lock()
	s.received[id]++
	s.mu.Unlock()
	io.Copy(io.Discard, r.Body)
	if strings.HasSuffix(r.URL.Path, slowKey) {
		time.Sleep(slowServerDelay)
	} else {
		time.Sleep(pressureServerDelay)
	}
	if strings.HasSuffix(r.URL.Path, largeKey) {
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, `"`+strings.Repeat("r", largeAnswerBytes)+`"`)
		return
	}
	io.WriteString(w, id)
}

// The full set of limits takes minutes and runs only where pressureVariable is set.
const pressureVariable = "OTTERSTEP_PRESSURE"

// isFullPressure reports whether the full set of limits runs, with the nodes bound to one core.
func isFullPressure() bool { return os.Getenv(pressureVariable) != "" }

// nodeLimits are the limits of a node that its configuration names.
type nodeLimits struct{ memoryMB, sockets int }

// startPressedNode starts the program with one processor and limits in its configuration, and waits until it is ready. If
// isPinned is set, the process is bound to one core.
func startPressedNode(t *testing.T, limits nodeLimits, isPinned bool) *pressedNode {
	t.Helper()
	program, err := builtProgram()
	if err != nil {
		t.Fatal(err)
	}
	node := &pressedNode{addr: freeAddress(t), served: &pressureServers{received: map[string]int{}}}
	var entries []any
	for i := range pressureServerCount {
		server := httptest.NewServer(node.served)
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		entries = append(entries, map[string]any{"uid": fmt.Sprint("s-", i), "endpoint": server.Listener.Addr().String(),
			"az": "a", "state": "in_service", "capacity_hint": 1.0})
	}
	wholeList, err := json.Marshal(map[string]any{"rev": 1, "all": true, "targets": entries})
	if err != nil {
		t.Fatal(err)
	}
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.URL.Query().Has("since") {
			w.Write(wholeList)
			return
		}
		select {
		case <-r.Context().Done():
		case <-time.After(200 * time.Millisecond):
		}
		io.WriteString(w, `{"rev":1,"all":false,"targets":[]}`)
	}))
	t.Cleanup(func() { discovery.CloseClientConnections(); discovery.Close() })
	configPath := writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = node.addr, discovery.Listener.Addr().String()
		c["limits"] = map[string]any{"cores": 1.0, "memory_mb": limits.memoryMB, "sockets": limits.sockets}
		c["known"] = json.RawMessage(wholeList)
		deadlineMs := usualTimeLeft.Milliseconds()
		c["settings"] = map[string]any{
			"Classes": []any{
				map[string]any{"Name": "read", "DeadlineMs": deadlineMs, "PromiseMs": deadlineMs / 2, "Effect": "pure"},
				map[string]any{"Name": "book", "DeadlineMs": deadlineMs, "PromiseMs": deadlineMs / 2, "Effect": "side_effect"}},
			"Limits": map[string]any{"MaxAttempts": 3, "Cancel": true, "RetryAfter": true, "MaxRetryAfterMs": 200},
		}
	})
	cmd := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, limits.sockets), "sh")
	if isPinned {
		cmd.Args = append(cmd.Args, "taskset", "-c", lastAllowedCPU(t))
	}
	cmd.Args = append(cmd.Args, program)
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+configPath, "GOMAXPROCS=1")
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	node.pid = cmd.Process.Pid
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
		if t.Failed() {
			t.Logf("the node's log: %.2000s", &stderr)
		}
	})
	for startedAt := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if resp, err := http.Get("http://" + node.addr + "/up"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return node
			}
		}
		if time.Since(startedAt) > readyTimeout {
			t.Fatalf("the node is not ready: %s", &stderr)
		}
	}
}

// lastAllowedCPU returns the number of a processor that this process may run on.
func lastAllowedCPU(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "Cpus_allowed_list:")
	allowed := strings.Fields(rest)[0]
	return allowed[strings.LastIndexAny(allowed, ",-")+1:]
}

// usualLoad is the result of the usual clients' requests.
type usualLoad struct {
	requests, served, refused, late, unanswered int
	p50, p99                                    time.Duration
	lastError                                   error // an error of a request with no answer
}

// String describes the result for the test's log.
func (l usualLoad) String() string {
	return fmt.Sprintf("%d usual requests: %.3f served, %d refused, %d late, %d with no answer, p50 %v, p99 %v",
		l.requests, float64(l.served)/float64(l.requests), l.refused, l.late, l.unanswered, l.p50, l.p99)
}

// sendUsualLoad sends requests at a constant rate, whether or not earlier ones were answered.
func (n *pressedNode) sendUsualLoad(duration time.Duration) (result usualLoad) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: usualTimeLeft + 3*time.Second}
	latencies := make([]time.Duration, int(usualRequestsPerSecond*duration.Seconds()))
	var served, refused, late, unanswered atomic.Int64
	var lastError atomic.Pointer[error]
	var clients sync.WaitGroup
	startedAt := time.Now()
	for i := range latencies {
		dueAt := startedAt.Add(time.Duration(i) * time.Second / usualRequestsPerSecond)
		time.Sleep(time.Until(dueAt))
		clients.Go(func() {
			sentAt := time.Now()
			status, err := sendUsualRequest(&client, n.addr, i)
			latencies[i] = time.Since(sentAt)
			switch {
			case err != nil:
				unanswered.Add(1)
				lastError.Store(&err)
			case status == http.StatusOK:
				served.Add(1)
			case status == http.StatusServiceUnavailable:
				refused.Add(1)
			}
			if latencies[i] > usualTimeLeft+maxLateness {
				late.Add(1)
			}
		})
	}
	clients.Wait()
	slices.Sort(latencies)
	result = usualLoad{
		requests: len(latencies), served: int(served.Load()), refused: int(refused.Load()), late: int(late.Load()), unanswered: int(unanswered.Load()),
		p50: latencies[len(latencies)/2].Round(time.Millisecond), p99: latencies[len(latencies)*99/100].Round(time.Millisecond),
	}
	if err := lastError.Load(); err != nil {
		result.lastError = *err
	}
	return result
}

// minRestBeforeClose is the time for which a connection has to be silent before the node may close it unread. A request
// that crosses such a close is sent once more on a new connection, as the protocol has clients do.
const minRestBeforeClose = 40 * time.Millisecond

// sendUsualRequest sends one request and returns the status of its answer. Every third request is a POST.
func sendUsualRequest(client *http.Client, addr string, number int) (status int, err error) {
	status, restedFor, err := sendUsualRequestOnce(client, addr, number)
	if err != nil && restedFor >= minRestBeforeClose {
		status, _, err = sendUsualRequestOnce(client, addr, number)
	}
	return status, err
}

// sendUsualRequestOnce sends a request and returns for how long its connection was silent before that.
func sendUsualRequestOnce(client *http.Client, addr string, number int) (status int, restedFor time.Duration, err error) {
	method, class := http.MethodGet, "read"
	if number%3 == 0 {
		method, class = http.MethodPost, "book"
	}
	var mu sync.Mutex // the transport calls back from goroutines of its own
	var restingSince, writtenAt time.Time
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			mu.Lock()
			defer mu.Unlock()
			restingSince = time.Now().Add(-info.IdleTime)
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			mu.Lock()
			defer mu.Unlock()
			writtenAt = time.Now()
		},
	})
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/%s/k%d", addr, class, number), nil)
	if err != nil {
		return 0, 0, err
	}
	id := fmt.Sprint("usual-", number)
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("X-Service-Class", class)
	r.Header.Set("X-Time-Left", pressingTimeLeft)
	resp, err := client.Do(r)
	if err != nil {
		mu.Lock()
		defer mu.Unlock()
		return 0, writtenAt.Sub(restingSince), err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK && string(body) != id {
		err = fmt.Errorf("request %s got the answer %.40q", id, body)
	}
	return resp.StatusCode, 0, err
}

// requireServed checks that the usual clients were served beside the pressing ones.
func (l usualLoad) requireServed(t *testing.T, minServed float64) {
	t.Helper()
	t.Log(l)
	if l.unanswered > 0 || l.late > 0 || float64(l.served) < minServed*float64(l.requests) {
		t.Errorf("want none with no answer, none late and %.2f served: %v, %v", minServed, l, l.lastError)
	}
}

// requirePeakMemory checks that the process exists and that its peak of resident memory is under its limit.
func (n *pressedNode) requirePeakMemory(t *testing.T, memoryMB int) {
	t.Helper()
	if err := syscall.Kill(n.pid, 0); err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	peakKiB := processMemoryKiB(t, n.pid, "VmHWM:")
	t.Logf("peak of resident memory %.1f MiB of %d", float64(peakKiB)/1024, memoryMB)
	if peakKiB > memoryMB<<10 {
		t.Errorf("peak of resident memory %.1f MiB, the limit is %d MiB", float64(peakKiB)/1024, memoryMB)
	}
}
