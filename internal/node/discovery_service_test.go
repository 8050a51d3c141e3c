package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// serviceCosts is the time that the stand-in for discovery takes for its work. It works on one call after the other,
// so a call waits for all earlier ones. A call that would wait longer than queueTimeout fails, and costs the same.
type serviceCosts struct {
	perCall      time.Duration // cost of a call
	perEntry     time.Duration // additional cost of each entry of a whole list
	queueTimeout time.Duration

	freeContinuedWatches bool // whether calls within watchContinuationWindow of the last answer cost nothing
}

// watchContinuationWindow is the time after an answer within which the next call continues the watch.
const watchContinuationWindow = 200 * time.Millisecond

// serviceCounts counts the calls to the stand-in for discovery and its answers.
type serviceCounts struct {
	calls          int
	wholeLists     int   // answers that were whole lists
	changes        int   // answers that held changes
	unchanged      int   // watches whose time ended without a change
	failed         int   // calls that failed after queueTimeout
	changedEntries int   // entries in all answers that held changes
	wholeBytes     int64 // size of all answers that were whole lists
	changeBytes    int64 // size of all answers that held changes
}

// discoveryService is a stand-in for discovery as the single service of all nodes. It implements the published
// protocol, counts its calls, and takes time for its work.
type discoveryService struct {
	*httptest.Server
	costs   serviceCosts
	traffic traffic

	mu             sync.Mutex
	version        int64
	entries        map[string]listEntry
	changeLog      []listEntry      // entry that changed with each version after firstVersion
	encodedAnswers map[int64][]byte // encoded answers of the present version, by the version since which a call asks
	changed        chan struct{}    // closed and replaced at each change
	busyUntil      time.Time
	lastAnswerAt   map[string]time.Time // time of the last answer on each connection, by the node's address
	counts         serviceCounts
}

// firstVersion is the version of discovery's first list.
const firstVersion = 1

// noVersion stands for a call that names no version and asks for the whole list.
const noVersion = 0

// newDiscoveryService starts a stand-in for discovery that lists the entries and ends with the test.
func newDiscoveryService(tb testing.TB, costs serviceCosts, entries []listEntry) *discoveryService {
	tb.Helper()
	d := &discoveryService{
		costs: costs, version: firstVersion, entries: make(map[string]listEntry, len(entries)),
		encodedAnswers: map[int64][]byte{}, changed: make(chan struct{}), lastAnswerAt: map[string]time.Time{},
	}
	for _, entry := range entries {
		d.entries[entry.UID] = entry
	}
	d.Server = httptest.NewUnstartedServer(d)
	d.Server.Listener = countingListener{d.Server.Listener, &d.traffic}
	d.Server.Start()
	tb.Cleanup(func() {
		d.CloseClientConnections()
		d.Close()
	})
	return d
}

// change makes a new version with one changed entry and returns its number.
func (d *discoveryService) change(entry listEntry) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.changeLog = append(d.changeLog, entry)
	if entry.State == "terminated" {
		delete(d.entries, entry.UID)
	} else {
		d.entries[entry.UID] = entry
	}
	clear(d.encodedAnswers)
	close(d.changed)
	d.changed = make(chan struct{})
	return d.version
}

// list returns the whole list, as a node's configuration may hold it.
func (d *discoveryService) list() listMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wholeList()
}

// countsSoFar returns the counts so far.
func (d *discoveryService) countsSoFar() serviceCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

// ServeHTTP answers a call for the whole list or a watch.
func (d *discoveryService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, wait := int64(noVersion), time.Duration(0)
	if query.Has("since") {
		version, err := strconv.ParseInt(query.Get("since"), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		waitMs, err := strconv.Atoi(query.Get("timeout_ms"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		since, wait = version, time.Duration(waitMs)*time.Millisecond
	}
	if !d.continuesWatch(r.RemoteAddr) && !d.waitForTurn(r.Context(), since == noVersion) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if since != noVersion {
		d.awaitChange(r.Context(), since, wait)
	}
	body, err := d.answer(since)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastAnswerAt[r.RemoteAddr] = time.Now()
}

// continuesWatch reports whether a call continues the watch of its node at no cost.
func (d *discoveryService) continuesWatch(nodeAddr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.costs.freeContinuedWatches && time.Since(d.lastAnswerAt[nodeAddr]) < watchContinuationWindow
}

// waitForTurn waits for the time that the work on earlier calls and on this one takes, and returns false if that is
// longer than queueTimeout. The wait only simulates the work.
func (d *discoveryService) waitForTurn(ctx context.Context, whole bool) bool {
	d.mu.Lock()
	cost := d.costs.perCall
	if whole {
		cost += time.Duration(len(d.entries)) * d.costs.perEntry
	}
	now := time.Now()
	if d.busyUntil.Before(now) {
		d.busyUntil = now
	}
	d.busyUntil = d.busyUntil.Add(cost)
	wait := d.busyUntil.Sub(now)
	inTime := wait <= d.costs.queueTimeout
	d.counts.calls++
	if !inTime {
		d.counts.failed++
		wait = d.costs.queueTimeout
	}
	d.mu.Unlock()

	turn := time.NewTimer(wait)
	defer turn.Stop()
	select {
	case <-turn.C:
	case <-ctx.Done():
	}
	return inTime
}

// awaitChange waits until there is a later version, or until the wait is over.
func (d *discoveryService) awaitChange(ctx context.Context, since int64, wait time.Duration) {
	d.mu.Lock()
	changed, isNewer := d.changed, d.version > since
	d.mu.Unlock()
	if isNewer {
		return
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-changed:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// answer returns the text of what is newer than a version, and counts the answer.
func (d *discoveryService) answer(since int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	body, err := d.encode(since)
	if err != nil {
		return nil, err
	}
	switch {
	case since == noVersion:
		d.counts.wholeLists++
		d.counts.wholeBytes += int64(len(body))
	case since < d.version:
		d.counts.changes++
		d.counts.changedEntries += int(d.version - since)
		d.counts.changeBytes += int64(len(body))
	default:
		d.counts.unchanged++
	}
	return body, nil
}

// encode returns the text of what is newer than a version. It encodes each text once for all nodes. The caller holds
// the lock.
func (d *discoveryService) encode(since int64) ([]byte, error) {
	if body, known := d.encodedAnswers[since]; known {
		return body, nil
	}
	body, err := json.Marshal(d.listSince(since))
	if err != nil {
		return nil, fmt.Errorf("discovery's answer: %w", err)
	}
	d.encodedAnswers[since] = body
	return body, nil
}

// listSince returns what is newer than a version. The caller holds the lock.
func (d *discoveryService) listSince(since int64) listMessage {
	if since == noVersion {
		return d.wholeList()
	}
	return listMessage{Version: d.version, Entries: d.changeLog[since-firstVersion:]}
}

// wholeList returns the whole list. The caller holds the lock.
func (d *discoveryService) wholeList() listMessage {
	whole := listMessage{Version: d.version, IsWhole: true, Entries: make([]listEntry, 0, len(d.entries))}
	for _, entry := range d.entries {
		whole.Entries = append(whole.Entries, entry)
	}
	return whole
}

// traffic counts the bytes on discovery's connections, including the heads of calls and answers.
type traffic struct {
	toNodes, fromNodes atomic.Int64
}

// countingListener counts the traffic of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{accepted, l.traffic}, nil
}

// countingConn counts the traffic of one connection.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.fromNodes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.toNodes.Add(int64(n))
	return n, err
}
