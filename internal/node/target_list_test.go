package node

import (
	"testing"
	"time"
)

// A node has to take a list of the target's size, 8 MB of text, at the first call or the second.
// Such a list must not be asked for again and again.
func TestScaleListOfTheTargetSizeIsAccepted(t *testing.T) {
	const maxCalls = 2
	service := newDiscoveryService(t, serviceCosts{queueTimeout: time.Second}, fleetEntries(targetServers))
	service.mu.Lock()
	_, err := service.encode(noVersion) // beforehand, so that the call's time is for the node
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
