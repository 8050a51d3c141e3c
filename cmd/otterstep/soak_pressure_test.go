package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// The numbers of pressing clients of one kind in the soak. They leave connections to the other clients.
const (
	soakMaxHoldingClients   = 60 // clients that make the node hold memory
	soakMaxFullSpeedClients = 3  // clients that send as fast as they can; all seeds share the cores of the machine
)

// soakPressure is a number of pressing clients of one kind.
type soakPressure struct {
	name   string
	count  int
	client pressingClient
}

// drawPressure draws clients that hold memory, and clients that send at full speed.
func drawPressure(rng *rand.Rand) []soakPressure {
	holding := memoryShapes()[rng.IntN(len(memoryShapes()))]
	fullSpeed := coreShapes()[rng.IntN(len(coreShapes()))]
	return []soakPressure{
		{holding.name, 1 + rng.IntN(soakMaxHoldingClients), holding.client},
		{fullSpeed.name, 1 + rng.IntN(soakMaxFullSpeedClients), fullSpeed.client},
	}
}

// pressOnNode has clients press on the node for some seconds, during which another event may happen to the node.
func (env *soakEnvironment) pressOnNode(node *soakNode, event func()) {
	for _, pressure := range drawPressure(env.rng) {
		env.recordEvent("%d clients press: %s", pressure.count, pressure.name)
		defer startPressingClients(pressure.count, pressure.client, node.addr)()
	}
	sleepFor(env.rng, time.Second, 3*time.Second)
	event()
	sleepFor(env.rng, 500*time.Millisecond, 2*time.Second)
	env.recordEvent("no client presses")
}

// isPressing reports whether an id is one of a pressing client.
func isPressing(id string) bool { return strings.HasPrefix(id, pressingIDPrefix) }

// checkPressingRequest checks that a request of a pressing client reaches a server only once if it is a POST. The
// caller holds env.mu.
func (env *soakEnvironment) checkPressingRequest(r *http.Request, id string) {
	if r.Method != http.MethodPost {
		return
	}
	env.pressingPosts[id]++
	if env.pressingPosts[id] > 1 {
		env.recordViolationLocked(violationDuplicate, "request %s of a pressing client was received more than once", id)
	}
}
