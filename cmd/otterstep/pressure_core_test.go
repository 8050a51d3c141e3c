package main

import (
	"fmt"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// coreShape is a number of clients that keep the core of a node busy.
type coreShape struct {
	name          string
	count         int
	client        pressingClient
	busyProcesses int     // number of other processes that are always busy on the node's core
	minServed     float64 // least served share of the usual requests
}

// upRequest is a request that the node answers at once.
const upRequest = "GET /up HTTP/1.1\r\nHost: api\r\n\r\n"

// coreShapes are the shapes that TestClientsAtFullSpeedLeaveTheCoreToOthers plays.
func coreShapes() []coreShape {
	neverPausing := pressingClient{request: literal(strings.Repeat(upRequest, 100))}
	expired := func() string {
		return strings.Replace(requestText("GET", "read", "k", "", 0), pressingTimeLeft, "0.000", 1)
	}
	longName := func() string {
		return strings.Replace(requestText("GET", "read", "k", "", 0), "X-Service-Class: read",
			fmt.Sprintf("X-Service-Class: %d%s", pressingIDs.Add(1), strings.Repeat("n", 8<<10)), 1)
	}
	return []coreShape{
		{"one that never pauses", 1, neverPausing, 0, minServedWithACore},
		{"six that never pause", 6, neverPausing, 0, minServedWithACore},
		{"six with 100 requests on their way", 6, pressingClient{request: literal(upRequest), pipelined: 100}, 0, minServedWithACore},
		{"six with 100 requests on their way, on a third of a core", 6, pressingClient{request: literal(upRequest), pipelined: 100}, 2, minServedWithPartOfACore},
		{"sixty with 20 requests on their way", 60, pressingClient{request: literal(upRequest), pipelined: 20}, 0, minServedWithACore},
		{"six one behind the other", 6, pressingClient{request: literal(upRequest)}, 0, minServedWithACore},
		{"metrics", 6, pressingClient{request: literal(strings.ReplaceAll(upRequest, "/up", "/metrics")), pipelined: 100}, 0, minServedWithACore},
		{"expired times under new ids", 6, pressingClient{request: expired, pipelined: 20}, 0, minServedWithACore},
		{"requests under new ids", 6, pressingClient{request: read("k", ""), pipelined: 20}, 0, minServedWithACore},
		{"long names", 6, pressingClient{request: longName, pipelined: 20}, 0, minServedWithACore},
		{"unsound heads", 6, pressingClient{request: literal(strings.Repeat("GET /read/1 HTTP/1.1\r\nno colon\r\n\r\n", 20)), pipelined: 20}, 0, minServedWithACore},
		{"heads with a length and a coding", 6, pressingClient{request: bookWithCoding(""), pipelined: 20}, 0, minServedWithACore},
		{"noise", 6, pressingClient{request: literal(strings.Repeat("\x00\x01\xff\xfe", 16<<10))}, 0, minServedWithACore},
		{"noise behind an open request", 6, pressingClient{ignoresAll: true, request: requestThenNoise()}, 0, minServedWithACore},
		{"new connections", 40, pressingClient{request: literal(upRequest), isPerRequest: true}, 0, minServedWithACore},
	}
}

// requestThenNoise returns a source of one request to a slow server, which noise without end follows.
func requestThenNoise() func() string {
	return func() string {
		return requestText("GET", "read", slowKey, "", 0) + strings.Repeat("\x00\x01\xff\xfe", 1<<20)
	}
}

// coreTestLimits are the least memory that the pages name, and the most descriptors.
var coreTestLimits = nodeLimits{memoryMB: 32, sockets: 1024}

// TestClientsAtFullSpeedLeaveTheCoreToOthers guards against usual clients that are late, refused or never answered
// while others send as fast as they can, and against memory that grows under such clients.
func TestClientsAtFullSpeedLeaveTheCoreToOthers(t *testing.T) {
	for _, shape := range coreShapes() {
		t.Run(shape.name, func(t *testing.T) {
			if _, err := exec.LookPath("taskset"); err != nil && shape.busyProcesses > 0 {
				t.Skip("no program to choose the core of a process")
			}
			node := startPressedNode(t, coreTestLimits, isFullPressure() || shape.busyProcesses > 0)
			startBusyProcesses(t, shape.busyProcesses)
			defer startPressingClients(shape.count, shape.client, node.addr)()
			time.Sleep(pressureWarmUp)
			node.sendUsualLoad(2*time.Second).requireServed(t, shape.minServed)
			node.requirePeakMemory(t, coreTestLimits.memoryMB)
		})
	}
}

// startBusyProcesses runs processes that do nothing but use the core of the pressed node.
func startBusyProcesses(t *testing.T, count int) {
	t.Helper()
	for range count {
		busy := exec.Command("taskset", "-c", lastAllowedCPU(t), "sh", "-c", "while :; do :; done")
		if err := busy.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			busy.Process.Kill()
			busy.Wait()
		})
	}
}
