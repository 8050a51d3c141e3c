package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"runtime"
	"testing"
)

// This file measures what whole lists and changes of one entry cost a node, from discovery's text through the loop to
// the Balancer. The test asserts a ratio. The benchmarks print the figures for docs/CAPACITY.md.

// scaleListSizes are numbers of servers, up to the operators' target.
var scaleListSizes = []int{200, 1000, 5000, 20_000, targetServers}

// scaleLoop returns a node's loop and a discovery client that calls the loop directly with each list.
func scaleLoop(tb testing.TB, servers int) (*loop, *discoveryClient) {
	tb.Helper()
	settings := fleetNodeSettings(tb, max(1, servers*targetNodes/targetServers), deployedMaxCallInterval)
	c := newClock()
	client := newDiscoveryClient("", settings, c, slog.New(slog.DiscardHandler))
	l, err := newLoop(settings.Policy, 1, c, newUpstream(settings.ConnIdleTimeout, settings.ConnectTimeout, 0), client.commands)
	if err != nil {
		tb.Fatal(err)
	}
	client.onList = func(update listUpdate) {
		l.runEvent(func() { l.applyListUpdate(update) })
	}
	return l, client
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // the second run frees what the first one only marked
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// acceptText reads a list's text and accepts it, as a call does with the body of its answer.
func acceptText(tb testing.TB, client *discoveryClient, text []byte) {
	tb.Helper()
	list, err := readList(bytes.NewReader(text), client.zones, client.clock)
	if err != nil {
		tb.Fatal(err)
	}
	client.accept(list)
}

// encodeMessage returns the text of discovery's message with a whole list or changes to it.
func encodeMessage(tb testing.TB, list listMessage) []byte {
	tb.Helper()
	text, err := json.Marshal(list)
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

// allocatedBytesPerChange returns the number of bytes that a node allocates for a change of one entry, from its text
// to the Balancer.
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

// Guards against a node that copies what it knows about all servers when one entry changes.
func TestScaleChangeOfOneEntryMakesLittleGarbage(t *testing.T) {
	const few, many = 500, 8000
	small, large := allocatedBytesPerChange(t, few), allocatedBytesPerChange(t, many)
	t.Logf("a change of one entry allocates %.0f B with %d servers, %.0f B with %d", small, few, large, many)
	if large > 2*small {
		t.Errorf("a change of one entry allocates %.0f B with %d servers, %.0f B with %d; want at most twice as much",
			small, few, large, many)
	}
}

// ---- benchmarks

// eachListSize runs a benchmark with a whole list of each size.
func eachListSize(b *testing.B, run func(b *testing.B, servers int, text []byte)) {
	for _, servers := range scaleListSizes {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			run(b, servers, encodeMessage(b, listMessage{Version: firstVersion, IsWhole: true, Entries: fleetEntries(servers)}))
		})
	}
}

// BenchmarkScaleNodeList measures a whole list that a node reads and accepts, from the text to the Balancer. It reports
// the memory that the node keeps for the list and what it allocates to read it.
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

// BenchmarkScaleNodeChange measures a change of one entry, from the text to the Balancer.
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
