package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"
)

// callDiscovery returns the answer of a service, or the error of reading or decoding its body.
func callDiscovery(t *testing.T, d *Discovery, query string) (list List, bodyErr error) {
	t.Helper()
	resp, err := http.Get("http://" + d.Addr() + "/discovery/hosts" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return List{}, err
	}
	return list, json.Unmarshal(text, &list)
}

// A watch that is open when the fault is set misses the next change; the next call does not.
func TestOpenWatchMissesTheChange(t *testing.T) {
	d := NewDiscovery([]Entry{{UID: "a", State: InService}})
	defer d.Close()
	answered := make(chan List)
	go func() {
		list, _ := callDiscovery(t, d, "?since=1&timeout_ms=60000")
		answered <- list
	}()
	for d.WatchedVersion() < 1 {
		time.Sleep(time.Millisecond)
	}
	d.SetFault(OpenWatchesMissChanges((*Call).Answer))
	d.Change(Entry{UID: "a", State: Terminating})
	if list := <-answered; list.Version != 1 || len(list.Entries) != 0 {
		t.Errorf("the open watch gets %+v, want no changes and version 1", list)
	}
	if list, err := callDiscovery(t, d, "?since=1&timeout_ms=1"); err != nil || list.Version != 2 || len(list.Entries) != 1 {
		t.Errorf("the next call gets %+v, error %v, want the change as version 2", list, err)
	}
}

// A delayed fault must not apply before its delay is over.
func TestFaultAppliesAfterItsDelay(t *testing.T) {
	const delay = 50 * time.Millisecond
	d := NewDiscovery(nil)
	defer d.Close()
	d.SetFault(After(delay, Unavailable))
	startedAt := time.Now()
	resp, err := http.Get("http://" + d.Addr() + "/discovery/hosts")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if took := time.Since(startedAt); took < delay || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d after %v, want 503 after the delay", resp.StatusCode, took)
	}
}
