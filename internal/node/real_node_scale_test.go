package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// realNode is one complete node with a front, in front of servers that share one address. Each server has its own id,
// breaker and connections, and answers at once.
type realNode struct {
	front, server string // addresses of the node and of the servers
	client        http.Client
	connections   func() int // number of connections that the node has opened to servers
	requests      int
}

// startRealNode runs a node whose configuration holds the list, so its length is not limited by what a call can bring.
func startRealNode(b *testing.B, nodes, servers int) *realNode {
	b.Helper()
	opened, openedMu := 0, sync.Mutex{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	backends := http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") }),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				openedMu.Lock()
				defer openedMu.Unlock()
				opened++
			}
		},
	}
	go backends.Serve(listener)
	b.Cleanup(func() { backends.Close() })

	entries := fleetEntries(servers)
	for i := range entries {
		entries[i].Endpoint = listener.Addr().String()
	}
	service := newDiscoveryService(b, serviceCosts{queueTimeout: time.Second}, entries)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	config := Config{
		Name: "n0", Listen: front.Addr().String(), Discovery: service.Listener.Addr().String(), Seed: 1,
		Sockets: 1024, KnownList: service.list(), Settings: fleetNodeSettings(b, nodes, deployedMaxCallInterval),
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, config, front, ConfigReloader{}, slog.New(slog.DiscardHandler)) }()
	node := &realNode{front: front.Addr().String(), server: listener.Addr().String()}
	node.client.Transport = &http.Transport{MaxIdleConnsPerHost: 64}
	b.Cleanup(func() {
		node.client.CloseIdleConnections()
		cancel()
		if err := <-ended; err != nil {
			b.Error(err)
		}
	})
	node.connections = func() int {
		openedMu.Lock()
		defer openedMu.Unlock()
		return opened
	}
	return node
}

// sendRequest sends one request and returns how long its answer took, and whether it was served.
func (n *realNode) sendRequest(addr string, id int) (took time.Duration, served bool, err error) {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/read/%d", addr, id), nil)
	if err != nil {
		return 0, false, err
	}
	request.Header.Set("X-Correlation-Id", fmt.Sprint("scale-", id))
	request.Header.Set("X-Service-Class", "read")
	request.Header.Set("X-Time-Left", "2.9")
	begin := time.Now()
	answer, err := n.client.Do(request)
	if err != nil {
		return 0, false, err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, false, err
	}
	return time.Since(begin), answer.StatusCode == http.StatusOK, nil
}

// sendAtTargetRate sends requests at the rate of the operators' target without waiting for earlier answers, and then
// waits for all answers. It returns the number of requests that were served.
func (n *realNode) sendAtTargetRate(b *testing.B, addr string, count int, times *hdrhistogram.Histogram) (served int) {
	b.Helper()
	var mu sync.Mutex
	var sending sync.WaitGroup
	due := time.NewTicker(time.Second * targetNodes / targetRequestsPerSecond)
	defer due.Stop()
	for range count {
		<-due.C
		n.requests++
		id := n.requests
		sending.Go(func() {
			took, ok, err := n.sendRequest(addr, id)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				b.Error(err)
				return
			}
			times.RecordValue(took.Microseconds())
			if ok {
				served++
			}
		})
	}
	sending.Wait()
	return served
}

// BenchmarkScaleRealNode sends requests at the rate of the operators' target to one complete node of a fleet of 5,300,
// and others directly to a server. Clients, node and servers share this process.
func BenchmarkScaleRealNode(b *testing.B) {
	const requestsEach = 30
	for _, servers := range []int{200, 500, 5000, 20_000, targetServers} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			node := startRealNode(b, targetNodes, servers)
			direct, through := newHistogram(), newHistogram()
			node.sendAtTargetRate(b, node.server, 300, direct)
			node.sendAtTargetRate(b, node.front, 100, newHistogram()) // opens connections before the measurement
			before, requested, served := processCPUTime(b), 0, 0
			opened, begin := node.connections(), time.Now()
			for b.Loop() {
				served += node.sendAtTargetRate(b, node.front, requestsEach, through)
				requested += requestsEach
			}
			elapsed := time.Since(begin).Seconds()
			b.ReportMetric(100*(processCPUTime(b)-before).Seconds()/elapsed, "%core")
			b.ReportMetric(100*float64(served)/float64(requested), "%served")
			b.ReportMetric(float64(node.connections()-opened)/float64(requested), "connections/request")
			reportQuantiles(b, "direct", direct)
			reportQuantiles(b, "through", through)
		})
	}
}
