// Package standin provides stand-ins for the parties that a node talks to, for tests and experiments on one
// machine: a discovery service with injectable faults, and a TCP proxy that injects faults into
// connections.
package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The states of a listed server, as discovery spells them.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// Entry is discovery's list entry for one server.
type Entry struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	AZ           string  `json:"az"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMs       int64   `json:"boot_ms"` // start of the server, Unix time in milliseconds; 0: long ago
}

// List is an answer of discovery: the whole list, or the changes since a version.
type List struct {
	Version int64   `json:"rev"`
	IsWhole bool    `json:"all"`
	Entries []Entry `json:"targets"`
}

// listChange holds the entries that one version of the list changed.
type listChange struct {
	version int64
	entries []Entry
}

// Discovery is a discovery service that speaks the discovery protocol: it answers calls for the whole list,
// and watches, which wait for changes. It is safe for concurrent use.
type Discovery struct {
	server *httptest.Server

	mu               sync.Mutex
	version          int64
	entries          map[string]Entry
	changedAtVersion map[string]int64 // version of each server's latest change, by UID
	changed          chan struct{}    // channel that is closed and replaced at each change
	fault            Fault            // fault that applies to calls; nil: none
	faultChanged     chan struct{}    // channel that is closed and replaced when the fault changes
	callCount        int

	changeLog      []listChange       // changes of all versions, oldest first
	replicas       []discoveryReplica // services that copy the changes
	watchedVersion int64              // latest version since which a call asked for changes
}

// NewDiscovery starts a service on loopback whose first version, 1, has the given entries. Close stops it.
func NewDiscovery(entries []Entry) *Discovery {
	d := newDiscovery(entries)
	d.server = httptest.NewServer(d)
	return d
}

// NewDiscoveryAt starts a service like NewDiscovery, at an address in the form host:port.
func NewDiscoveryAt(addr string, entries []Entry) (*Discovery, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	d := newDiscovery(entries)
	d.server = httptest.NewUnstartedServer(d)
	d.server.Listener.Close()
	d.server.Listener = listener
	d.server.Start()
	return d, nil
}

// newDiscovery returns a service without a listener, at version 1 with the given entries.
func newDiscovery(entries []Entry) *Discovery {
	d := &Discovery{
		version: 1, entries: map[string]Entry{}, changedAtVersion: map[string]int64{},
		changed: make(chan struct{}), faultChanged: make(chan struct{}),
	}
	d.addVersion(d.version, entries)
	return d
}

// Addr returns the service's address as host:port.
func (d *Discovery) Addr() string { return d.server.Listener.Addr().String() }

// Close stops the service and closes its connections.
func (d *Discovery) Close() {
	d.SetFault(nil)
	d.server.CloseClientConnections()
	d.server.Close()
}

// Change adds or replaces entries as one new version and returns that version.
func (d *Discovery) Change(entries ...Entry) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addVersion(d.version+1, entries)
	d.replicate(d.version, entries)
	return d.version
}

// addVersion adds or replaces entries as the given version. The caller holds d.mu.
func (d *Discovery) addVersion(version int64, entries []Entry) {
	d.version = version
	for _, entry := range entries {
		d.entries[entry.UID], d.changedAtVersion[entry.UID] = entry, version
	}
	d.changeLog = append(d.changeLog, listChange{version: version, entries: slices.Clone(entries)})
	close(d.changed)
	d.changed = make(chan struct{})
}

// listAtVersion returns the whole list as it was at a version.
func (d *Discovery) listAtVersion(version int64) List {
	d.mu.Lock()
	defer d.mu.Unlock()
	earlier := newDiscovery(nil)
	for _, change := range d.changeLog {
		if change.version <= version {
			earlier.addVersion(change.version, change.entries)
		}
	}
	return earlier.listSince(0)
}

// WatchedVersion returns the latest version since which a call asked for changes. Its caller has accepted
// that version.
func (d *Discovery) WatchedVersion() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watchedVersion
}

// Entry returns the current entry of a server.
func (d *Discovery) Entry(uid string) Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[uid]
}

// KnownList returns the whole list in the form in which a configuration holds it.
func (d *Discovery) KnownList() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listSince(0)
}

// CallCount returns the number of calls so far.
func (d *Discovery) CallCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callCount
}

// SetFault sets the fault that applies to open watches and to calls that arrive from now on; nil answers
// them. Faults that wait for the next change of the fault stop waiting.
func (d *Discovery) SetFault(fault Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
	close(d.faultChanged)
	d.faultChanged = make(chan struct{})
}

// ServeHTTP implements http.Handler. A fault applies to open watches as well as to calls that arrive later.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.callCount++
	d.mu.Unlock()
	call := &Call{Writer: w, Request: r, discovery: d, awaitAnswer: func() ([]byte, error) { return d.awaitAnswer(r, nil) }}
	if call.faultChanged = d.applyFault(call); call.faultChanged == nil {
		return
	}
	text, err := d.awaitAnswer(r, call.faultChanged)
	call.beganBeforeFault = true
	if d.applyFault(call) == nil {
		return // a fault was set while the call waited
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call.write(text)
}

// applyFault has the current fault finish a call and returns nil. Without a fault it returns a channel that
// is closed when the fault changes.
func (d *Discovery) applyFault(call *Call) <-chan struct{} {
	d.mu.Lock()
	fault, faultChanged := d.fault, d.faultChanged
	d.mu.Unlock()
	if fault == nil {
		return faultChanged
	}
	call.faultChanged = faultChanged
	fault(call)
	return nil
}

// awaitAnswer returns the text that answers a call. For a watch it first waits for a change, until the
// timeout of the watch or until the channel is closed.
func (d *Discovery) awaitAnswer(r *http.Request, until <-chan struct{}) ([]byte, error) {
	query := r.URL.Query()
	if !query.Has("since") {
		return json.Marshal(d.KnownList())
	}
	since, err := strconv.ParseInt(query.Get("since"), 10, 64)
	if err != nil {
		return nil, err
	}
	waitMs, err := strconv.Atoi(query.Get("timeout_ms"))
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.watchedVersion = max(d.watchedVersion, since)
	d.mu.Unlock()
	d.awaitChange(r, since, time.Duration(waitMs)*time.Millisecond, until)
	d.mu.Lock()
	defer d.mu.Unlock()
	return json.Marshal(d.listSince(since))
}

// awaitChange waits until the list is newer than a version, the wait is over, the channel is closed or the
// caller disconnects.
func (d *Discovery) awaitChange(r *http.Request, since int64, wait time.Duration, until <-chan struct{}) {
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
	case <-until:
	case <-r.Context().Done():
	}
}

// listSince returns the changes since a version, or the whole list for version 0. The caller holds d.mu.
func (d *Discovery) listSince(version int64) List {
	list := List{Version: d.version, IsWhole: version == 0, Entries: []Entry{}}
	for uid, entry := range d.entries {
		if version == 0 && entry.State != Terminated || version > 0 && d.changedAtVersion[uid] > version {
			list.Entries = append(list.Entries, entry)
		}
	}
	slices.SortFunc(list.Entries, func(a, b Entry) int { return strings.Compare(a.UID, b.UID) })
	return list
}
