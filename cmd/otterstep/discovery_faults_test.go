package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"otterstep/internal/standin"
)

// These tests guard against an incident in which nodes kept sending requests to draining and gone servers, dozens of
// times, while discovery was slow, overloaded or failing, and long after it had recovered.
//
// Servers left while calls to discovery failed for some seconds: with 503, with no answer, with an answer after more
// than 2 s, or with a truncated answer. After that the nodes called seconds apart, or waited for a call that was never
// answered, although discovery would have answered a new call at once.
//
// The timeouts and retry intervals of calls were made for hundreds of nodes and one service that answers in 10 ms, and
// applied to every fleet. A node dropped an answer that took more than 2 s, and then the next one, which was as late.
// It made no other call while one got no answer. Retries were up to 5 s apart whatever the fleet size. A node dropped
// the list deadline once it had passed.
//
// In the incident's log, a call at 13.87 s was answered after 2.3 s, 0.06 s before the list deadline, while calls that
// failed within 10 ms were followed by growing intervals. Under each fault below, the program of that time sent to
// servers that had left for longer than the rules allow; under most of them it never stopped.

const (
	nodesPerFault         = 3                      // several nodes, because the fault meets each at a random moment
	faultFleetSize        = 8                      // number of nodes in the settings
	faultLeavingServers   = 12                     // unused: goneServerCount servers leave
	faultDrainGrace       = 300 * time.Millisecond // drain grace in the settings
	faultTolerance        = 50 * time.Millisecond  // what the rules add to each limit
	configurationsPerNode = 5                      // number of discovery addresses that a node's configurations can name
	watchesBeforeFault    = 3                      // number of watches to wait for before a fault that begins with a watch

	faultSchedulingSlack = 250 * time.Millisecond  // allowance for a busy machine
	watchSettleTime      = 1500 * time.Millisecond // time for nodes to open their watches before the fault
)

// discoveryFaultCase is a fault of discovery that begins at the instant at which servers leave.
type discoveryFaultCase struct {
	name        string
	newFault    func() standin.Fault // constructor of the fault, called once for each discovery service
	duration    time.Duration        // duration of the fault; 0: to the end of the test
	isPushed    bool                 // an agent pushes lists; otherwise one service gives them on request
	withReloads bool                 // new configurations follow one another during the fault
	atNodeStart bool                 // the nodes start when the fault begins, with the list from before the change

	atWatchStart bool // the fault begins when a watch begins, so that the next watch is as far away as possible
}

// everyCall returns a constructor of a fault that affects every call.
func everyCall(fault standin.Fault) func() standin.Fault {
	return func() standin.Fault { return fault }
}

// allButEveryNth returns a constructor of a fault that affects all calls of a node but every nth.
func allButEveryNth(nth int, fault standin.Fault) func() standin.Fault {
	return func() standin.Fault { return standin.AllButEveryNth(nth, fault) }
}

// maxSendDelay returns how long after the change a node may still send to servers that left.
func (c discoveryFaultCase) maxSendDelay() time.Duration {
	maxNoticeDelay := maxListAge
	switch {
	case c.isPushed:
		maxNoticeDelay = c.duration
	case c.withReloads:
		maxNoticeDelay = maxAddressChangeDelay
	case c.duration > 0:
		maxNoticeDelay += c.duration
	}
	return maxNoticeDelay + faultDrainGrace + faultTolerance + faultSchedulingSlack
}

// discoveryFaultCases are the faults under which nodes have to know a change in time.
var discoveryFaultCases = []discoveryFaultCase{
	{name: "on request, calls delayed by 2.5 s", newFault: everyCall(standin.DelayedCalls(2500 * time.Millisecond))},
	{name: "on request, calls delayed by 5 s", newFault: everyCall(standin.DelayedCalls(5 * time.Second))},
	{name: "on request, answers delayed by 2.5 s", newFault: everyCall(standin.DelayedAnswers(2500 * time.Millisecond))},
	{name: "on request, answers delayed by 4 s", newFault: everyCall(standin.DelayedAnswers(4 * time.Second))},
	{name: "on request, answers delayed by 5.5 s", newFault: everyCall(standin.DelayedAnswers(5500 * time.Millisecond))},
	{name: "on request, answers 503 for 12 s", newFault: everyCall(standin.Unavailable), duration: 12 * time.Second},
	{name: "on request, resets for 75 s", newFault: everyCall(standin.Reset), duration: 75 * time.Second},
	{name: "on request, no answers for 12 s", newFault: everyCall(standin.NoAnswer), duration: 12 * time.Second},
	{name: "on request, no answers for 75 s", newFault: everyCall(standin.NoAnswer), duration: 75 * time.Second},
	{name: "on request, answers 503 after 2 s for 75 s", newFault: everyCall(standin.UnavailableAfter(2 * time.Second)),
		duration: 75 * time.Second},
	{name: "on request, answers 503 to two of three calls", newFault: allButEveryNth(3, standin.Unavailable)},
	{name: "on request, truncates three of four answers", newFault: allButEveryNth(4, standin.Truncated)},
	{name: "on request, no answer to one of two calls", newFault: allButEveryNth(2, standin.NoAnswer)},
	{name: "on request, answers in pieces", newFault: everyCall(standin.Pieces(4, 700*time.Millisecond))},
	{name: "on request, new configurations, delayed calls", withReloads: true,
		newFault: everyCall(standin.DelayedCalls(1200 * time.Millisecond))},
	{name: "on request, new configurations, answers 503 for 1.5 s", withReloads: true,
		newFault: everyCall(standin.Unavailable), duration: 1500 * time.Millisecond},
	{name: "pushed, no answers for 0.7 s", isPushed: true, newFault: everyCall(standin.NoAnswer), duration: 700 * time.Millisecond},
	{name: "pushed, no answers for 2 s", isPushed: true, newFault: everyCall(standin.NoAnswer), duration: 2 * time.Second},
	{name: "pushed, no answers for 6 s", isPushed: true, newFault: everyCall(standin.NoAnswer), duration: 6 * time.Second},
	{name: "pushed, answers stall for 4 s", isPushed: true, newFault: everyCall(standin.Stalled), duration: 4 * time.Second},
	{name: "pushed, only headers for 3 s", isPushed: true, newFault: everyCall(standin.HeadersOnly), duration: 3 * time.Second},
	{name: "pushed, no answers for 7 s from the start", isPushed: true, atNodeStart: true,
		newFault: everyCall(standin.NoAnswer), duration: 7 * time.Second},
	{name: "on request, no answers for 7 s from the start", atNodeStart: true,
		newFault: everyCall(standin.NoAnswer), duration: 7 * time.Second},
}

// loadedNode is one process of the program, with a client that sends requests to it all the time.
type loadedNode struct {
	nodeIndex  int
	addr       string
	proxies    []*standin.Proxy // proxies to discovery; each configuration names another one
	configPath string
	cmd        *exec.Cmd
	client     http.Client
}

// discoveryFaultRun is a run of one case: some nodes, their discovery services, and servers most of which leave at one
// instant.
type discoveryFaultRun struct {
	t           *testing.T
	testCase    discoveryFaultCase
	discoveries []*standin.Discovery // one for each node, so that a fault that counts calls treats all nodes alike
	nodes       []*loadedNode

	knownList any // list from before the change

	mu              sync.Mutex
	lastMisroutedAt map[string]time.Time // time of the latest request to a leaving server, by node name
	faultBeganAt    map[string]time.Time // time when the servers left and the fault began, by node name
	served          atomic.Int64         // number of requests to the staying server
}

// serverHandler returns the handler of the servers at one address. Requests to leaving servers are recorded by node.
func (r *discoveryFaultRun) serverHandler(leaving bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("X-Correlation-Id")
		if leaving {
			nodeName, _, _ := strings.Cut(id, "-")
			r.mu.Lock()
			r.lastMisroutedAt[nodeName] = time.Now()
			r.mu.Unlock()
		} else {
			r.served.Add(1)
		}
		fmt.Fprint(w, id)
	})
}

// startNode starts a node with the settings of a small fleet.
func (r *discoveryFaultRun) startNode(nodeIndex int) *loadedNode {
	node := &loadedNode{nodeIndex: nodeIndex, addr: freeAddress(r.t), client: http.Client{Transport: &http.Transport{}}}
	for range configurationsPerNode {
		node.proxies = append(node.proxies, startProxy(r.t, r.discoveries[nodeIndex].Addr()))
	}
	mode := "on_request"
	if r.testCase.isPushed {
		mode = "pushed"
	}
	node.configPath = writeConfig(r.t, func(c map[string]any) {
		c["listen"], c["discovery"], c["known"] = node.addr, node.proxies[0].Addr(), r.knownList
		c["settings"] = map[string]any{
			"Balancers": faultFleetSize, "Me": nodeIndex, "RegistryMode": mode, "Zones": []string{"a"},
			"Classes":  []any{map[string]any{"Name": "read", "DeadlineMs": 2000, "PromiseMs": 1000, "Effect": "pure"}},
			"Contract": map[string]any{"MustAskInMs": 10000, "DrainGraceMs": faultDrainGrace.Milliseconds()},
			"Limits":   map[string]any{"MaxAttempts": 2},
		}
	})
	node.cmd = programCommand(node.configPath)
	var log strings.Builder
	node.cmd.Stderr = &log
	if err := node.cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.nodes = append(r.nodes, node)
	r.t.Cleanup(func() {
		node.cmd.Process.Kill()
		node.cmd.Wait()
		node.client.CloseIdleConnections()
		if r.t.Failed() {
			text := log.String()
			r.t.Logf("the log of n%d: %s", nodeIndex, text[max(0, len(text)-3000):])
		}
	})
	return node
}

// sendRequests sends one request after the other to a node until the channel is closed.
func (r *discoveryFaultRun) sendRequests(node *loadedNode, done <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		request, err := http.NewRequest(http.MethodGet, "http://"+node.addr+"/read/k", nil)
		if err != nil {
			r.t.Error(err)
			return
		}
		request.Header = http.Header{
			"X-Correlation-Id": {fmt.Sprintf("n%d-%d", node.nodeIndex, i)}, "X-Service-Class": {"read"}, "X-Time-Left": {"2.0"},
		}
		if resp, err := node.client.Do(request); err == nil {
			resp.Body.Close()
		}
	}
}

// reloadNodes reloads all nodes several times; each new configuration names the next address of discovery.
func (r *discoveryFaultRun) reloadNodes() {
	for i, pause := range []time.Duration{0, 300 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond} {
		time.Sleep(pause)
		for _, node := range r.nodes {
			current, next := node.proxies[i].Addr(), node.proxies[i+1].Addr()
			text, err := os.ReadFile(node.configPath)
			if err == nil {
				err = os.WriteFile(node.configPath, []byte(strings.Replace(string(text), current, next, 1)), 0o600)
			}
			if err != nil {
				r.t.Error(err)
			}
			node.cmd.Process.Signal(syscall.SIGHUP)
		}
	}
}

// beginFault lets the servers leave and the fault begin at each discovery service, and returns a time at which it has
// begun at all of them.
func (r *discoveryFaultRun) beginFault(leavingAddr string) time.Time {
	var faultsBegun sync.WaitGroup
	for nodeIndex, discovery := range r.discoveries {
		faultsBegun.Go(func() {
			if r.testCase.atWatchStart {
				for range watchesBeforeFault {
					r.awaitNextCall(discovery)
				}
			}
			beganAt := time.Now()
			discovery.SetFault(r.testCase.newFault())
			discovery.Change(goneEntries(leavingAddr, standin.Terminating)...)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.faultBeganAt[fmt.Sprint("n", nodeIndex)] = beganAt
		})
	}
	faultsBegun.Wait()
	return time.Now()
}

// awaitNextCall waits for the next call to a discovery service.
func (r *discoveryFaultRun) awaitNextCall(discovery *standin.Discovery) {
	for calls, end := discovery.CallCount(), time.Now().Add(readyTimeout); discovery.CallCount() == calls; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Errorf("no call to discovery within %v", readyTimeout)
			return
		}
	}
}

// checkChangesUnderFault runs a case, and checks that no node sends to leaving servers for longer than allowed and that
// requests are served.
func checkChangesUnderFault(t *testing.T, fault discoveryFaultCase) {
	run := &discoveryFaultRun{
		t: t, testCase: fault, lastMisroutedAt: map[string]time.Time{}, faultBeganAt: map[string]time.Time{},
	}
	stayingAddr, leavingAddr := startServer(t, run.serverHandler(false)), startServer(t, run.serverHandler(true))
	entries := append(goneEntries(leavingAddr, standin.InService), newEntry("stays", stayingAddr, standin.InService))
	for range nodesPerFault {
		discovery := standin.NewDiscovery(entries)
		t.Cleanup(discovery.Close)
		run.discoveries = append(run.discoveries, discovery)
	}
	run.knownList = run.discoveries[0].KnownList()
	done := make(chan struct{})
	var clients sync.WaitGroup
	startNodes := func() {
		for nodeIndex := range nodesPerFault {
			node := run.startNode(nodeIndex)
			clients.Go(func() { run.sendRequests(node, done) })
		}
	}
	if !fault.atNodeStart {
		startNodes()
		time.Sleep(watchSettleTime) // open watches; how long they have been open is random
	}
	beganAt := run.beginFault(leavingAddr)
	switch {
	case fault.atNodeStart:
		startNodes()
	case fault.withReloads:
		run.reloadNodes()
	}
	if fault.duration > 0 {
		time.Sleep(time.Until(beganAt.Add(fault.duration)))
		for _, discovery := range run.discoveries {
			discovery.SetFault(nil)
		}
	}
	maxDelay := fault.maxSendDelay()
	const extraObservation = time.Second // time for which nodes are observed after the allowed delay
	time.Sleep(time.Until(beganAt.Add(maxDelay + extraObservation)))
	close(done)
	clients.Wait()
	run.mu.Lock()
	defer run.mu.Unlock()
	for nodeName, misroutedAt := range run.lastMisroutedAt {
		if delay := misroutedAt.Sub(run.faultBeganAt[nodeName]); delay > maxDelay {
			t.Errorf("%s still sent to a leaving server %v after the change, %v is allowed", nodeName, delay, maxDelay)
		}
	}
	if run.served.Load() == 0 || !fault.atNodeStart && len(run.lastMisroutedAt) < nodesPerFault {
		t.Errorf("%d requests went to the staying server, and %d of %d nodes have sent to the leaving servers",
			run.served.Load(), len(run.lastMisroutedAt), nodesPerFault)
	}
}

// TestChangesAreKnownInTimeThoughDiscoveryFails guards against nodes that learn of a change too late while calls to
// discovery fail. The rules allow 6 s after discovery could be reached, no delay where an agent pushes lists, and 4 s
// after a new configuration.
func TestChangesAreKnownInTimeThoughDiscoveryFails(t *testing.T) {
	for _, fault := range discoveryFaultCases {
		t.Run(strings.ReplaceAll(fault.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			checkChangesUnderFault(t, fault)
		})
	}
}
