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

// workCosts is what discovery's calls cost it. It works through calls in turn, so a call waits
// for all that came before; one that would wait for longer than patience fails, and costs as much.
type serviceCosts struct {
	perCall      time.Duration // a call
	perEntry     time.Duration // and each line of a whole list besides
	queueTimeout time.Duration

	freeContinuedWatches bool // a call that comes within watchGap of the last answer goes on with its watch and costs nothing
}

// watchGap is the time within which the next call goes on with a watch.
const watchContinuationWindow = 200 * time.Millisecond

// serviceCounts is what discovery was asked and has told.
type serviceCounts struct {
	calls          int
	wholeLists     int   // answers that were whole lists
	changes        int   // answers that held changes
	unchanged      int   // watches whose time ended without one
	failed         int   // calls that waited too long
	changedEntries int   // of changes, over all answers
	wholeBytes     int64 // bodies of whole lists
	changeBytes    int64 // bodies of changes
}

// discoveryService stands in for discovery as the one service for all nodes. It speaks the
// published protocol, counts what it is asked, and takes time for its work.
type discoveryService struct {
	*httptest.Server
	costs   serviceCosts
	traffic traffic

	mu             sync.Mutex
	version        int64
	entries        map[string]listEntry
	changeLog      []listEntry      // the line that changed with each version after firstRev
	encodedAnswers map[int64][]byte // encoded answers of this version, by the version asked from
	changed        chan struct{}    // closed and replaced at each change
	busyUntil      time.Time
	lastAnswerAt   map[string]time.Time // when a node's connection had its last answer, with watchesGoOn
	counts         serviceCounts
}

// firstRev is the version of discovery's first list.
const firstVersion = 1

// sinceNothing asks for the whole list.
const noVersion = 0

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

// change makes a new version with one changed line and gives its number.
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

// list gives the whole list, as a node's configuration may hold it.
func (d *discoveryService) list() listMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wholeList()
}

// counted gives the counts so far.
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

// goesOn tells whether a call goes on with its node's watch at no cost.
func (d *discoveryService) continuesWatch(nodeAddr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.costs.freeContinuedWatches && time.Since(d.lastAnswerAt[nodeAddr]) < watchContinuationWindow
}

// work takes a call's turn; false if that would come too late. The time it takes stands for
// the work, nothing is synchronized by it.
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

// awaitNews waits until there is something newer than a version, for some time at most.
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

// answer gives what is newer than a version, and counts it.
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

// encode gives the text of what is newer than a version, which is made once for all nodes.
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

func (d *discoveryService) listSince(since int64) listMessage {
	if since == noVersion {
		return d.wholeList()
	}
	return listMessage{Version: d.version, Entries: d.changeLog[since-firstVersion:]}
}

func (d *discoveryService) wholeList() listMessage {
	whole := listMessage{Version: d.version, IsWhole: true, Entries: make([]listEntry, 0, len(d.entries))}
	for _, entry := range d.entries {
		whole.Entries = append(whole.Entries, entry)
	}
	return whole
}

// traffic counts the bytes on discovery's connections, heads included.
type traffic struct {
	toNodes, fromNodes atomic.Int64
}

// countingListener counts what goes over the connections that it accepts.
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
