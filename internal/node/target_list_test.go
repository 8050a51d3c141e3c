package node

import (
	"testing"
	"time"
)

// Guards against a node that requests a long list again and again: it has to accept a list of the target size, 8 MB of
// text, at the first or second call.
func TestScaleListOfTheTargetSizeIsAccepted(t *testing.T) {
	const maxCalls = 2
	service := newDiscoveryService(t, serviceCosts{queueTimeout: time.Second}, fleetEntries(targetServers))
	service.mu.Lock()
	_, err := service.encode(noVersion) // before the call, so that the call takes no time for it
	service.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	fleet := newHeadlessFleet(t, 1, shortMaxCallInterval, service)
	t.Cleanup(func() {
		lists := service.countsSoFar().wholeLists
		t.Logf("%d calls for the whole list", lists)
		if lists > maxCalls {
			failed, _ := fleet.failedCalls()
			t.Errorf("%d calls for the whole list, %d of them failed at the node", lists, failed)
		}
	})
	fleet.start(listMessage{})
	fleet.awaitVersion(firstVersion)
	fleet.requireSameServers()
}
