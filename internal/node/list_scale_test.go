package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"runtime"
	"testing"
)

// What whole lists and changes of one line cost a node, from discovery's text through the loop to
// the policy. The test asserts a ratio; the benchmarks print the slopes that docs/CAPACITY.md
// rests on.

// scaleListSizes are numbers of servers, up to the target's.
var scaleListSizes = []int{200, 1000, 5000, 20_000, targetServers}

// scaleLoop gives a node's loop and a discovery client that hands lists to it at once.
func scaleLoop(tb testing.TB, servers int) (*loop, *discoveryClient) {
	tb.Helper()
	site := fleetSite(tb, max(1, servers*targetNodes/targetServers), siteMaxCallInterval)
	c := newClock()
	client := newDiscoveryClient("", site, c, slog.New(slog.DiscardHandler))
	l, err := newLoop(site.Policy, 1, c, newUpstream(site.ConnIdleTimeout, site.ConnectTimeout, 0), client.commands)
	if err != nil {
		tb.Fatal(err)
	}
	client.onList = func(update listUpdate) {
		l.runEvent(func() { l.applyListUpdate(update) })
	}
	return l, client
}

// heapBytes is what is on the heap once garbage is collected.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // a second time, for what the first has only marked to be freed
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// take reads a list's text and hands it on, as a call does with an answer's body.
func acceptText(tb testing.TB, client *discoveryClient, text []byte) {
	tb.Helper()
	list, err := readList(bytes.NewReader(text), client.zones, client.clock)
	if err != nil {
		tb.Fatal(err)
	}
	client.accept(list)
}

// encodeMessage gives a whole list, or changes to one, as the text of discovery's message.
func encodeMessage(tb testing.TB, list listMessage) []byte {
	tb.Helper()
	text, err := json.Marshal(list)
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

// changeGarbage is how many bytes a node allocates for a change of one line, from its text to the
// policy.
func allocatedBytesPerChange(t *testing.T, servers int) float64 {
	t.Helper()
	const changes = 16
	_, client := scaleLoop(t, servers)
	acceptText(t, client, encodeMessage(t, listMessage{Version: firstVersion, IsWhole: true, Entries: fleetEntries(servers)}))
	entry := fleetEntry(servers / 2)
	entry.State = "terminating"
	text := encodeMessage(t, listMessage{Version: firstVersion + 1, Entries: []listEntry{entry}})
	acceptText(t, client, text)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range changes {
		acceptText(t, client, text)
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / changes
}

// A change of one line must not make a node copy what it knows of all servers.
func TestScaleChangeOfOneEntryMakesLittleGarbage(t *testing.T) {
	const few, many = 500, 8000
	small, large := allocatedBytesPerChange(t, few), allocatedBytesPerChange(t, many)
	t.Logf("a change of one line allocates %.0f B before %d servers, %.0f B before %d", small, few, large, many)
	if large > 2*small {
		t.Errorf("a change of one line allocates %.0f B before %d servers, %.0f B before %d", small, few, large, many)
	}
}

// ---- benchmarks: the slopes

func eachListSize(b *testing.B, run func(b *testing.B, servers int, text []byte)) {
	for _, servers := range scaleListSizes {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			run(b, servers, encodeMessage(b, listMessage{Version: firstVersion, IsWhole: true, Entries: fleetEntries(servers)}))
		})
	}
}

// BenchmarkScaleNodeList is a whole list that a node reads and takes over, from the text to the
// policy. It reports what the node holds of it and the garbage that reading makes.
func BenchmarkScaleNodeList(b *testing.B) {
	eachListSize(b, func(b *testing.B, servers int, text []byte) {
		before := heapBytes()
		l, client := scaleLoop(b, servers)
		acceptText(b, client, text)
		heldBytes := heapBytes() - before
		b.ReportAllocs()
		for b.Loop() {
			acceptText(b, client, text)
		}
		b.ReportMetric(float64(len(text))/float64(servers), "wire-B/server")
		b.ReportMetric(heldBytes/float64(servers), "heap-B/server")
		runtime.KeepAlive(l)
	})
}

// BenchmarkScaleNodeChange is a change of one line, from the text to the policy.
func BenchmarkScaleNodeChange(b *testing.B) {
	eachListSize(b, func(b *testing.B, servers int, text []byte) {
		_, client := scaleLoop(b, servers)
		acceptText(b, client, text)
		entry := fleetEntry(servers / 2)
		var changes [2][]byte
		for i, state := range []string{"terminating", "in_service"} {
			entry.State = state
			changes[i] = encodeMessage(b, listMessage{Version: firstVersion + 1, Entries: []listEntry{entry}})
		}
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			acceptText(b, client, changes[i%2])
		}
		b.ReportMetric(float64(len(changes[0])), "wire-B")
	})
}
