package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterstep/internal/standin"
)

// readyWithin is the time in which nine in ten restarted nodes have to be ready.
const readyTimeout = 10 * time.Second

// startServer starts a server of requests on loopback and gives its address.
func startServer(t *testing.T, handler http.Handler) (addr string) {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

// startProxy starts a proxy to an address.
func startProxy(t *testing.T, target string) *standin.Proxy {
	t.Helper()
	p, err := standin.NewProxy(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// countingBackend counts the requests that come to a server.
func startCountingServer(t *testing.T) (addr string, requestCount *atomic.Int64) {
	t.Helper()
	requestCount = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestCount.Add(1)
		io.WriteString(w, r.Header.Get("X-Correlation-Id"))
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), requestCount
}

// goneServers is the number of servers that leave while the node is down: most of its list, so
// that a node that serves from it is sure to meet one.
const goneServerCount = 15

// line gives discovery's line of a server.
func newEntry(uid, addr, state string) standin.Entry {
	return standin.Entry{UID: uid, Endpoint: addr, AZ: "a", State: state, CapacityHint: 1}
}

// goneLines gives the lines of the servers that leave, all of them at one address.
func goneEntries(addr, state string) (entries []standin.Entry) {
	for i := range goneServerCount {
		entries = append(entries, newEntry(fmt.Sprint("gone-", i), addr, state))
	}
	return entries
}

// addresses counts those that freeAddress has given.
var addressesGiven atomic.Int64

// freeAddress gives an address of loopback at which nobody listens, and that is given once. A free port of
// 127.0.0.1 may be taken by any other party before it is used. Each process of tests has a block of addresses of
// its own, by its id: with a few blocks for all, those that ran at the same time took one another's.
func freeAddress(t *testing.T) string {
	t.Helper()
	const (
		fourthOctets, thirdOctets, firstSecondOctet, secondOctets = 250, 250, 64, 128
		firstPort, portCount                                      = 8000, 1000 // below the ports that the system gives to connections
	)
	index := int(addressesGiven.Add(1) - 1)
	if index >= fourthOctets*portCount {
		t.Fatal("no address of loopback is left")
	}
	block := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", firstSecondOctet+block/thirdOctets%secondOctets, block%thirdOctets, 1+index%fourthOctets, firstPort+index/fourthOctets)
}

// restartedNode is the program, started with the list that it had before it was down.
type restartedNode struct {
	t         *testing.T
	addr      string
	cmd       *exec.Cmd
	stderr    bytes.Buffer
	startedAt time.Time
	client    http.Client
}

func startRestartedNode(t *testing.T, discoveryAddr, mode string, knownList standin.List) *restartedNode {
	t.Helper()
	node := &restartedNode{t: t, addr: freeAddress(t), client: http.Client{Transport: &http.Transport{}}}
	node.cmd = programCommand(writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"], c["known"] = node.addr, discoveryAddr, knownList
		c["settings"] = map[string]any{
			"Balancers": 300, "Me": 17, "RegistryMode": mode, "Zones": []string{"a"},
			"Classes":  []any{map[string]any{"Name": "read", "DeadlineMs": 2000, "PromiseMs": 1000, "Effect": "pure"}},
			"Contract": map[string]any{"MustAskInMs": 10000, "DrainGraceMs": 300},
			"Limits":   map[string]any{"MaxAttempts": 2},
		}
	}))
	node.cmd.Stderr = &node.stderr
	node.startedAt = time.Now()
	if err := node.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		node.cmd.Process.Kill()
		node.cmd.Wait()
		node.client.CloseIdleConnections()
		if t.Failed() {
			t.Logf("the node's log: %s", &node.stderr)
		}
	})
	return node
}

// up waits until the node says that it is ready.
func (n *restartedNode) awaitReady() {
	n.t.Helper()
	for {
		resp, err := n.client.Get("http://" + n.addr + "/up")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Since(n.startedAt) > readyTimeout {
			n.t.Fatalf("not ready within %v", readyTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards rule 3 after a restart: what changed while a node was down may count as told before
// the node's first call to discovery, and it can't know. So it serves nothing from the list of
// before until discovery has told it what changed, also where the first calls come to nothing.
func TestRestartedNodeSendsNothingToServersThatAreGone(t *testing.T) {
	lateRefusal := standin.DelayedCalls(1200 * time.Millisecond)
	for name, faults := range map[string][]standin.Fault{
		"discovery answers at once":           nil,
		"discovery resets the first call":     {standin.Reset},
		"discovery answers 503 to two calls":  {standin.Unavailable, standin.Unavailable},
		"discovery's first answer is garbage": {standin.Malformed},
		"discovery's first answer is cut off": {standin.Truncated},
		"discovery says nothing at first":     {standin.NoAnswer},
		"discovery's first answer stalls":     {standin.HeadersOnly},
		"discovery is crowded":                {lateRefusal, lateRefusal, lateRefusal},
	} {
		for _, mode := range []string{"on_request", "pushed"} {
			t.Run(strings.ReplaceAll(name, " ", "_")+"/"+mode, func(t *testing.T) {
				t.Parallel()
				stayingAddr, served := startCountingServer(t)
				goneAddr, misrouted := startCountingServer(t)
				discovery := standin.NewDiscovery(append(goneEntries(goneAddr, standin.InService), newEntry("s1", stayingAddr, standin.InService)))
				t.Cleanup(discovery.Close)
				knownList := discovery.KnownList()
				discovery.Change(goneEntries(goneAddr, standin.Terminated)...)
				discovery.SetFault(standin.Sequence(faults...))
				node := startRestartedNode(t, discovery.Addr(), mode, knownList)
				node.awaitReady()
				const requests = 40
				for i := range requests {
					sendRequest(&node.client, node.addr, i)
				}
				if misrouted.Load() > 0 {
					t.Errorf("%d of %d requests went to a server that left before the node started", misrouted.Load(), requests)
				}
				if served.Load() < requests/2 {
					t.Errorf("%d of %d requests went to the server that stayed", served.Load(), requests)
				}
			})
		}
	}
}

// serveUnconfirmed is when a node that has to ask serves from its kept list without an answer: each node has to
// be ready within 30 s.
const maxConfirmationWait = 28 * time.Second

// A discovery that has to be asked and is down does not keep a restarted node from serving for ever: what it has
// counts as told only once it can be reached. Until shortly before the node has to serve it refuses. What
// discovery says at its return is heard within toldAfter.
func TestRestartedNodeServesWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	stayingAddr, _ := startCountingServer(t)
	goneAddr, misrouted := startCountingServer(t)
	addr := freeAddress(t)
	previousEntries := append(goneEntries(goneAddr, standin.InService), newEntry("s1", stayingAddr, standin.InService))
	node := startRestartedNode(t, addr, "on_request", standin.List{Version: 1, IsWhole: true, Entries: previousEntries})
	node.awaitReady()
	for i := 0; misrouted.Load() == 0; i++ {
		if time.Since(node.startedAt) > 30*time.Second {
			t.Fatal("no request went to a server of the known list")
		}
		sendRequest(&node.client, node.addr, i)
		time.Sleep(5 * time.Millisecond)
	}
	if remaining := maxConfirmationWait - time.Since(node.startedAt); remaining > 0 {
		t.Fatalf("the list of before serves %v too early", remaining)
	}
	returnedAt := time.Now()
	discovery, err := standin.NewDiscoveryAt(addr, previousEntries)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	discovery.Change(goneEntries(goneAddr, standin.Terminated)...)
	for i := 1000; ; i++ {
		misroutedBefore := misrouted.Load()
		for j := range 20 {
			sendRequest(&node.client, node.addr, i*100+j)
		}
		if misrouted.Load() == misroutedBefore {
			break
		}
		if time.Since(returnedAt) > maxListAge {
			t.Fatalf("a server that is gone is sent to %v after discovery's return", maxListAge)
		}
	}
	if discovery.CallCount() == 0 {
		t.Error("the node has not called discovery since its return")
	}
}

// What an agent has counts as told from the first moment of a new process: a node that can't reach it is ready in
// time, sends nothing by the list of before, and serves as soon as the agent answers.
func TestRestartedNodeSendsNothingWhileItsAgentIsDown(t *testing.T) {
	t.Parallel()
	stayingAddr, served := startCountingServer(t)
	goneAddr, misrouted := startCountingServer(t)
	addr := freeAddress(t)
	previousEntries := append(goneEntries(goneAddr, standin.InService), newEntry("s1", stayingAddr, standin.InService))
	node := startRestartedNode(t, addr, "pushed", standin.List{Version: 1, IsWhole: true, Entries: previousEntries})
	node.awaitReady()
	i := 0
	for ; time.Since(node.startedAt) < readyTimeout; i++ {
		sendRequest(&node.client, node.addr, i)
	}
	if sent := misrouted.Load() + served.Load(); sent > 0 {
		t.Fatalf("%d of %d requests were sent by a list that is not confirmed", sent, i)
	}
	agent, err := standin.NewDiscoveryAt(addr, previousEntries)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	agent.Change(goneEntries(goneAddr, standin.Terminated)...)
	for returnedAt := time.Now(); served.Load() == 0; i++ {
		if time.Since(returnedAt) > time.Second {
			t.Fatal("nothing is served though the agent is back")
		}
		sendRequest(&node.client, node.addr, i)
	}
	if misrouted.Load() > 0 {
		t.Errorf("%d requests went to servers that are gone", misrouted.Load())
	}
}
