package policy_test

import (
	"runtime"
	"slices"
	"testing"

	"otterstep/policy"
)

// The tests in this file check the purpose of a bounded subset of servers per node: bounded costs of requests, few
// connections and little memory. They do not depend on how the subset is chosen, and log their figures for
// docs/CAPACITY.md.

// requestCostRatio returns the cost of a request with the target's numbers of nodes and servers, as a multiple of the
// cost with the given ones.
func requestCostRatio(t *testing.T, nodes, servers int) float64 {
	t.Helper()
	const requests = 20
	serve := func(nodes, servers int) func() {
		node := warmedUpScaleNode(t, nodes, servers)
		return func() { node.serve(requests) }
	}
	ratio := costRatio(serve(nodes, servers), serve(targetNodes, targetServers))
	t.Logf("a request with %d servers costs %.2f times as much as with %d", targetServers, ratio, servers)
	return ratio
}

// Guards against a cost of requests that grows with the number of servers: the subset of a node has a few hundred of
// them at most.
func TestScaleRequestCostIsBounded(t *testing.T) {
	if ratio := requestCostRatio(t, nodesForServers(baseServers), baseServers); ratio > 2 {
		t.Errorf("a request with %d servers costs %.1f times as much as with %d, want twice as much at most", targetServers, ratio, baseServers)
	}
}

// Guards against a cost of requests that grows with the number of servers while the number of nodes stays the same.
func TestScaleRequestCostIsBoundedForOneFleet(t *testing.T) {
	const servers = 500
	if ratio := requestCostRatio(t, targetNodes, servers); ratio > 2 {
		t.Errorf("a request with %d servers costs %.1f times as much as with %d, want twice as much at most", targetServers, ratio, servers)
	}
}

// Guards against a node that sends to so many servers that it sends to each once in minutes: it would learn nothing
// about them, and each attempt would need a new connection.
func TestScaleNodeSendsToFewServers(t *testing.T) {
	const servers, requests, maxServers = 5000, 1200, 600
	node := listedScaleNode(t, nodesForServers(servers), servers)
	node.serve(requests)
	t.Logf("%d requests were sent to %d of %d servers", requests, len(node.attemptsByServer), servers)
	if node.refused > 0 {
		t.Errorf("%d of %d requests were refused", node.refused, requests)
	}
	if len(node.attemptsByServer) > maxServers {
		t.Errorf("%d requests were sent to %d of %d servers, want %d at most",
			requests, len(node.attemptsByServer), servers, maxServers)
	}
}

// Guards against memory for statistics of servers outside the subset: of these a node needs only the entry of the list.
func TestScaleMemoryPerServerFallsWithTheListSize(t *testing.T) {
	few, all := heapBytesPerServer(t, 200), heapBytesPerServer(t, targetServers)
	t.Logf("%.0f B per server with 200 servers, %.0f B with %d", few, all, targetServers)
	if all > few/4 {
		t.Errorf("%.0f B per server with 200 servers, %.0f B with %d, want a quarter or less", few, all, targetServers)
	}
}

// Guards against a Balancer that needs more memory than targetMemoryBytes.
func TestScaleStateFitsTheControlBudget(t *testing.T) {
	settings, entries := scaleSettings(targetNodes, targetTenants), scaleServers(targetServers)
	heldBytes := heapBytesOf(func() *scaleNode {
		node := newScaleNode(t, settings)
		node.balancer.ListUpdated(node.now, policy.ListWhole, entries)
		return node
	})
	heldBytes += heapBytesOf(func() []policy.Tenant { return slices.Clone(settings.Tenants) })
	runtime.KeepAlive(entries)
	t.Logf("%d servers and %d tenants need %.1f MiB", targetServers, targetTenants, heldBytes/(1<<20))
	if heldBytes > targetMemoryBytes {
		t.Errorf("the Balancer needs %.1f MiB for %d servers and %d tenants, want %d MiB at most",
			heldBytes/(1<<20), targetServers, targetTenants, targetMemoryBytes>>20)
	}
}
