package policy_test

import (
	"runtime"
	"slices"
	"testing"

	"otterstep/policy"
)

// What a bounded subset of servers for each node has to bring. None of it depends on how the
// subset is chosen. The tests log their figures for docs/CAPACITY.md.

// requestCostRatio is the cost of a request at the target over that before fewer servers.
func requestCostRatio(t *testing.T, nodes, servers int) float64 {
	t.Helper()
	const requests = 20
	serve := func(nodes, servers int) func() {
		node := warmedUpScaleNode(t, nodes, servers)
		return func() { node.serve(requests) }
	}
	ratio := costRatio(serve(nodes, servers), serve(targetNodes, targetServers))
	t.Logf("a request before %d servers costs %.2f times one before %d", targetServers, ratio, servers)
	return ratio
}

// A request must not cost more because there are more servers: each node works with a few
// hundred of them at most.
func TestScaleRequestCostIsBounded(t *testing.T) {
	if ratio := requestCostRatio(t, nodesForServers(baseServers), baseServers); ratio > 2 {
		t.Errorf("a request before %d servers costs %.1f times one before %d", targetServers, ratio, baseServers)
	}
}

// The same for one fleet of nodes whose servers grow in number.
func TestScaleRequestCostIsBoundedForOneFleet(t *testing.T) {
	const servers = 500
	if ratio := requestCostRatio(t, targetNodes, servers); ratio > 2 {
		t.Errorf("a request before %d servers costs %.1f times one before %d", targetServers, ratio, servers)
	}
}

// A node that meets a server once in minutes learns nothing of it, and each meeting is a new
// connection.
func TestScaleNodeSendsToFewServers(t *testing.T) {
	const servers, requests, mostMet = 5000, 1200, 600
	node := listedScaleNode(t, nodesForServers(servers), servers)
	node.serve(requests)
	t.Logf("%d requests met %d of %d servers", requests, len(node.attemptsByServer), servers)
	if node.refused > 0 {
		t.Errorf("%d of %d requests were refused", node.refused, requests)
	}
	if len(node.attemptsByServer) > mostMet {
		t.Errorf("%d requests met %d of %d servers, %d at most are wanted", requests, len(node.attemptsByServer), servers, mostMet)
	}
}

// What is remembered of a server's answers is for servers that the node meets; of the others it
// needs the list's line alone.
func TestScaleMemoryPerServerFallsWithTheListSize(t *testing.T) {
	few, all := heapBytesPerServer(t, 200), heapBytesPerServer(t, targetServers)
	t.Logf("a server takes %.0f B of 200, %.0f B of %d", few, all, targetServers)
	if all > few/4 {
		t.Errorf("a server takes %.0f B of 200, %.0f B of %d: a quarter is wanted", few, all, targetServers)
	}
}

// All that the policy remembers has to fit into what is set aside for control on a node.
func TestScaleStateFitsTheControlBudget(t *testing.T) {
	settings, entries := scaleSettings(targetNodes, targetTenants), scaleServers(targetServers)
	held := heapBytesOf(func() *scaleNode {
		node := newScaleNode(t, settings)
		node.balancer.ListUpdated(node.now, policy.ListWhole, entries)
		return node
	})
	held += heapBytesOf(func() []policy.Tenant { return slices.Clone(settings.Tenants) })
	runtime.KeepAlive(entries)
	t.Logf("%d servers and %d tenants take %.1f MiB", targetServers, targetTenants, held/(1<<20))
	if held > targetMemoryBytes {
		t.Errorf("the policy holds %.1f MiB for %d servers and %d tenants, %d MiB are set aside for all control",
			held/(1<<20), targetServers, targetTenants, targetMemoryBytes>>20)
	}
}
