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

// readyTimeout is the time within which nine in ten restarted nodes have to be ready.
const readyTimeout = 10 * time.Second

// startServer starts a server on loopback that uses the given handler, and returns its address.
func startServer(t *testing.T, handler http.Handler) (addr string) {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

// startProxy starts a proxy that forwards to an address.
func startProxy(t *testing.T, target string) *standin.Proxy {
	t.Helper()
	p, err := standin.NewProxy(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// startCountingServer starts a server on loopback and returns its address and the number of its requests so far.
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

// goneServerCount is the number of servers that leave while the node is down. They are most of its list, so that
// a node that serves from the old list is sure to send to one of them.
const goneServerCount = 15

// newEntry returns discovery's list entry of a server.
func newEntry(uid, addr, state string) standin.Entry {
	return standin.Entry{UID: uid, Endpoint: addr, AZ: "a", State: state, CapacityHint: 1}
}

// goneEntries returns the entries of the servers that leave; all of them have one address.
func goneEntries(addr, state string) (entries []standin.Entry) {
	for i := range goneServerCount {
		entries = append(entries, newEntry(fmt.Sprint("gone-", i), addr, state))
	}
	return entries
}

// addressesGiven is the number of addresses that freeAddress has returned.
var addressesGiven atomic.Int64

// freeAddress returns a loopback address at which nothing listens, a different one each time. It does not look for a
// free port of 127.0.0.1, because another process might take that port before it is used. Each test process has its
// own block of addresses, chosen by its process id: with only a few blocks in all, processes that ran at the same
// time took each other's addresses.
func freeAddress(t *testing.T) string {
	t.Helper()
	const (
		// The numbers of values of the last three octets, and the lowest second octet.
		fourthOctets, thirdOctets, firstSecondOctet, secondOctets = 250, 250, 64, 128

		firstPort, portCount = 8000, 1000 // below the ports that the system assigns to outgoing connections
	)
	index := int(addressesGiven.Add(1) - 1)
	if index >= fourthOctets*portCount {
		t.Fatal("all loopback addresses of this process have been given out")
	}
	block := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", firstSecondOctet+block/thirdOctets%secondOctets, block%thirdOctets,
		1+index%fourthOctets, firstPort+index/fourthOctets)
}

// restartedNode is one process of the program, started with the list that it had before it went down.
type restartedNode struct {
	t         *testing.T
	addr      string
	cmd       *exec.Cmd
	stderr    bytes.Buffer
	startedAt time.Time
	client    http.Client
}

// startRestartedNode starts a node of a fleet of 300 with a known list, in the mode "pushed" or "on_request".
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

// awaitReady waits until the node reports at /up that it is ready.
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
			n.t.Fatalf("the node is not ready within %v", readyTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestRestartedNodeSendsNothingToServersThatAreGone guards the rule that no request goes to a server that the
// node has to know to be out of service, after a restart: a change that was made while the node was down may be one that
// it has to know before its first call to discovery. It cannot detect that, so it must not serve from its old list until
// discovery has answered, also where the first calls fail.
func TestRestartedNodeSendsNothingToServersThatAreGone(t *testing.T) {
	delayedCall := standin.DelayedCalls(1200 * time.Millisecond)
	for name, faults := range map[string][]standin.Fault{
		"discovery answers at once":                         nil,
		"discovery resets the first call":                   {standin.Reset},
		"discovery answers 503 to two calls":                {standin.Unavailable, standin.Unavailable},
		"discovery's first answer is malformed":             {standin.Malformed},
		"discovery's first answer is truncated":             {standin.Truncated},
		"discovery gives no answer at first":                {standin.NoAnswer},
		"discovery's first answer stalls after its headers": {standin.HeadersOnly},
		"discovery gets three calls 1.2 s late":             {delayedCall, delayedCall, delayedCall},
	} {
		for _, mode := range []string{"on_request", "pushed"} {
			t.Run(strings.ReplaceAll(name, " ", "_")+"/"+mode, func(t *testing.T) {
				t.Parallel()
				stayingAddr, served := startCountingServer(t)
				goneAddr, misrouted := startCountingServer(t)
				discovery := standin.NewDiscovery(append(
					goneEntries(goneAddr, standin.InService), newEntry("s1", stayingAddr, standin.InService)))
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
					t.Errorf("%d of %d requests went to the server that stayed, want half of them at least", served.Load(), requests)
				}
			})
		}
	}
}

// maxConfirmationWait is the time after which a node that gets lists on request serves from its known list although
// discovery has not confirmed it. It is below 30 s because each node has to serve within 30 s.
const maxConfirmationWait = 28 * time.Second

// TestRestartedNodeServesWhileDiscoveryIsDown guards against a restarted node that never serves because a discovery
// with lists on request is down. The node has to know a change only once discovery can be reached, so it refuses
// requests until shortly before it has to serve and then serves from its old list. When discovery returns, the node
// has to know what changed within maxListAge.
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
		t.Fatalf("the node serves from its unconfirmed list %v too early", remaining)
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
			t.Fatalf("the node still sends to a server that is gone %v after the return of discovery", maxListAge)
		}
	}
	if discovery.CallCount() == 0 {
		t.Error("the node has not called discovery since discovery returned")
	}
}

// TestRestartedNodeSendsNothingWhileItsAgentIsDown guards against serving from an old list where an agent pushes
// lists. A new process has to know from its start what the agent has. A node that cannot reach the agent has
// to be ready in time and send nothing, and it has to serve as soon as the agent answers.
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
		t.Fatalf("%d of %d requests were sent to servers of an unconfirmed list", sent, i)
	}
	agent, err := standin.NewDiscoveryAt(addr, previousEntries)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	agent.Change(goneEntries(goneAddr, standin.Terminated)...)
	for returnedAt := time.Now(); served.Load() == 0; i++ {
		if time.Since(returnedAt) > time.Second {
			t.Fatal("no request is served 1 s after the return of the agent")
		}
		sendRequest(&node.client, node.addr, i)
	}
	if misrouted.Load() > 0 {
		t.Errorf("%d requests went to servers that are gone", misrouted.Load())
	}
}
