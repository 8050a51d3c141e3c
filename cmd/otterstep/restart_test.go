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
const readyWithin = 10 * time.Second

// startServer starts a server of requests on loopback and gives its address.
func startServer(t *testing.T, handler http.Handler) (addr string) {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

// startProxy starts a proxy to an address.
func startProxy(t *testing.T, to string) *standin.Proxy {
	t.Helper()
	p, err := standin.NewProxy(to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// countingBackend counts the requests that come to a server.
func countingBackend(t *testing.T) (addr string, count *atomic.Int64) {
	t.Helper()
	count = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		io.WriteString(w, r.Header.Get("X-Correlation-Id"))
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), count
}

// goneServers is the number of servers that leave while the node is down: most of its list, so
// that a node that serves from it is sure to meet one.
const goneServers = 15

// line gives discovery's line of a server.
func line(uid, addr, state string) standin.Entry {
	return standin.Entry{UID: uid, Endpoint: addr, AZ: "a", State: state, CapacityHint: 1}
}

// goneLines gives the lines of the servers that leave, all of them at one address.
func goneLines(addr, state string) (all []standin.Entry) {
	for i := range goneServers {
		all = append(all, line(fmt.Sprint("gone-", i), addr, state))
	}
	return all
}

// addresses counts those that freeAddress has given.
var addresses atomic.Int64

// freeAddress gives an address of loopback at which nobody listens, and that is given once. A free port of
// 127.0.0.1 may be taken by any other party before it is used. Each process of tests has a block of addresses of
// its own, by its id: with a few blocks for all, those that ran at the same time took one another's.
func freeAddress(t *testing.T) string {
	t.Helper()
	const (
		hosts, nets, firstNet, netsAbove = 250, 250, 64, 128
		firstPort, ports                 = 8000, 1000 // below the ports that the system gives to connections
	)
	n := int(addresses.Add(1) - 1)
	if n >= hosts*ports {
		t.Fatal("no address of loopback is left")
	}
	block := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", firstNet+block/nets%netsAbove, block%nets, 1+n%hosts, firstPort+n/hosts)
}

// restartedNode is the program, started with the list that it had before it was down.
type restartedNode struct {
	t      *testing.T
	addr   string
	cmd    *exec.Cmd
	stderr bytes.Buffer
	began  time.Time
	client http.Client
}

func startRestarted(t *testing.T, discovery, mode string, known standin.List) *restartedNode {
	t.Helper()
	n := &restartedNode{t: t, addr: freeAddress(t), client: http.Client{Transport: &http.Transport{}}}
	n.cmd = program(configFile(t, func(c map[string]any) {
		c["listen"], c["discovery"], c["known"] = n.addr, discovery, known
		c["settings"] = map[string]any{
			"Balancers": 300, "Me": 17, "RegistryMode": mode, "Zones": []string{"a"},
			"Classes":  []any{map[string]any{"Name": "read", "DeadlineMs": 2000, "PromiseMs": 1000, "Effect": "pure"}},
			"Contract": map[string]any{"MustAskInMs": 10000, "DrainGraceMs": 300},
			"Limits":   map[string]any{"MaxAttempts": 2},
		}
	}))
	n.cmd.Stderr = &n.stderr
	n.began = time.Now()
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		n.cmd.Process.Kill()
		n.cmd.Wait()
		n.client.CloseIdleConnections()
		if t.Failed() {
			t.Logf("the node's log: %s", &n.stderr)
		}
	})
	return n
}

// up waits until the node says that it is ready.
func (n *restartedNode) up() {
	n.t.Helper()
	for {
		resp, err := n.client.Get("http://" + n.addr + "/up")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Since(n.began) > readyWithin {
			n.t.Fatalf("not ready within %v", readyWithin)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards rule 3 after a restart: what changed while a node was down may count as told before
// the node's first call to discovery, and it can't know. So it serves nothing from the list of
// before until discovery has told it what changed, also where the first calls come to nothing.
func TestRestartedNodeSendsNothingToServersThatAreGone(t *testing.T) {
	crowded := standin.DelayedCalls(1200 * time.Millisecond)
	for name, faults := range map[string][]standin.Fault{
		"discovery answers at once":           nil,
		"discovery resets the first call":     {standin.Reset},
		"discovery answers 503 to two calls":  {standin.Unavailable, standin.Unavailable},
		"discovery's first answer is garbage": {standin.Malformed},
		"discovery's first answer is cut off": {standin.Truncated},
		"discovery says nothing at first":     {standin.NoAnswer},
		"discovery's first answer stalls":     {standin.HeadersOnly},
		"discovery is crowded":                {crowded, crowded, crowded},
	} {
		for _, mode := range []string{"on_request", "pushed"} {
			t.Run(strings.ReplaceAll(name, " ", "_")+"/"+mode, func(t *testing.T) {
				t.Parallel()
				stays, served := countingBackend(t)
				gone, missent := countingBackend(t)
				d := standin.NewDiscovery(append(goneLines(gone, standin.InService), line("s1", stays, standin.InService)))
				t.Cleanup(d.Close)
				known := d.KnownList()
				d.Change(goneLines(gone, standin.Terminated)...)
				d.SetFault(standin.Sequence(faults...))
				n := startRestarted(t, d.Addr(), mode, known)
				n.up()
				const requests = 40
				for i := range requests {
					ask(&n.client, n.addr, i)
				}
				if missent.Load() > 0 {
					t.Errorf("%d of %d requests went to a server that left before the node started", missent.Load(), requests)
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
const serveUnconfirmed = 28 * time.Second

// A discovery that has to be asked and is down does not keep a restarted node from serving for ever: what it has
// counts as told only once it can be reached. Until shortly before the node has to serve it refuses. What
// discovery says at its return is heard within toldAfter.
func TestRestartedNodeServesWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	stays, _ := countingBackend(t)
	gone, missent := countingBackend(t)
	addr := freeAddress(t)
	before := append(goneLines(gone, standin.InService), line("s1", stays, standin.InService))
	n := startRestarted(t, addr, "on_request", standin.List{Version: 1, IsWhole: true, Entries: before})
	n.up()
	for i := 0; missent.Load() == 0; i++ {
		if time.Since(n.began) > 30*time.Second {
			t.Fatal("no request went to a server of the known list")
		}
		ask(&n.client, n.addr, i)
		time.Sleep(5 * time.Millisecond)
	}
	if early := serveUnconfirmed - time.Since(n.began); early > 0 {
		t.Fatalf("the list of before serves %v too early", early)
	}
	returned := time.Now()
	d, err := standin.NewDiscoveryAt(addr, before)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Change(goneLines(gone, standin.Terminated)...)
	for i := 1000; ; i++ {
		before := missent.Load()
		for j := range 20 {
			ask(&n.client, n.addr, i*100+j)
		}
		if missent.Load() == before {
			break
		}
		if time.Since(returned) > maxListAge {
			t.Fatalf("a server that is gone is sent to %v after discovery's return", maxListAge)
		}
	}
	if d.CallCount() == 0 {
		t.Error("the node has not called discovery since its return")
	}
}

// What an agent has counts as told from the first moment of a new process: a node that can't reach it is ready in
// time, sends nothing by the list of before, and serves as soon as the agent answers.
func TestRestartedNodeSendsNothingWhileItsAgentIsAway(t *testing.T) {
	t.Parallel()
	stays, served := countingBackend(t)
	gone, missent := countingBackend(t)
	addr := freeAddress(t)
	before := append(goneLines(gone, standin.InService), line("s1", stays, standin.InService))
	n := startRestarted(t, addr, "pushed", standin.List{Version: 1, IsWhole: true, Entries: before})
	n.up()
	i := 0
	for ; time.Since(n.began) < readyWithin; i++ {
		ask(&n.client, n.addr, i)
	}
	if sent := missent.Load() + served.Load(); sent > 0 {
		t.Fatalf("%d of %d requests were sent by a list that is not confirmed", sent, i)
	}
	d, err := standin.NewDiscoveryAt(addr, before)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	d.Change(goneLines(gone, standin.Terminated)...)
	for returned := time.Now(); served.Load() == 0; i++ {
		if time.Since(returned) > time.Second {
			t.Fatal("nothing is served though the agent is back")
		}
		ask(&n.client, n.addr, i)
	}
	if missent.Load() > 0 {
		t.Errorf("%d requests went to servers that are gone", missent.Load())
	}
}
