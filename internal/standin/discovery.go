// Package standin has stand-ins for the parties that a node talks to, for tests and experiments on this
// machine: a discovery service whose answers can be spoilt in many ways, and a proxy that spoils
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

// The states of a listed server, in discovery's words.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

// Line is discovery's line for one server.
type Entry struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	AZ           string  `json:"az"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMs       int64   `json:"boot_ms"` // Unix time in milliseconds; 0: long ago
}

// List is an answer of discovery: the whole list or the changes to it.
type List struct {
	Version int64   `json:"rev"`
	IsWhole bool    `json:"all"`
	Entries []Entry `json:"targets"`
}

// version is what one version of the list changed.
type listChange struct {
	version int64
	entries []Entry
}

// Discovery is a discovery service that speaks the published protocol: whole lists, and watches that wait
// for changes. It is safe for concurrent use.
type Discovery struct {
	server *httptest.Server

	mu               sync.Mutex
	version          int64
	entries          map[string]Entry
	changedAtVersion map[string]int64 // version of the latest change, by uid
	changed          chan struct{}    // closed and replaced at each change
	fault            Fault            // nil: none
	faultChanged     chan struct{}    // closed and replaced when the fault changes
	callCount        int

	changeLog      []listChange       // all versions, oldest first
	replicas       []discoveryReplica // services that take the changes over
	watchedVersion int64              // the latest version that a call asked for changes since
}

// NewDiscovery starts a service on loopback whose first version, 1, has the given lines. Close ends it.
func NewDiscovery(entries []Entry) *Discovery {
	d := newDiscovery(entries)
	d.server = httptest.NewServer(d)
	return d
}

// NewDiscoveryAt is NewDiscovery at an address, as host:port.
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

func newDiscovery(entries []Entry) *Discovery {
	d := &Discovery{
		version: 1, entries: map[string]Entry{}, changedAtVersion: map[string]int64{},
		changed: make(chan struct{}), faultChanged: make(chan struct{}),
	}
	d.addVersion(d.version, entries)
	return d
}

// Addr is where it listens, as host:port.
func (d *Discovery) Addr() string { return d.server.Listener.Addr().String() }

// Close ends the service and all its connections.
func (d *Discovery) Close() {
	d.SetFault(nil)
	d.server.CloseClientConnections()
	d.server.Close()
}

// Change puts lines in place as one new version and gives its number.
func (d *Discovery) Change(entries ...Entry) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addVersion(d.version+1, entries)
	d.replicate(d.version, entries)
	return d.version
}

// put puts lines in place as a version. The lock is held.
func (d *Discovery) addVersion(version int64, entries []Entry) {
	d.version = version
	for _, entry := range entries {
		d.entries[entry.UID], d.changedAtVersion[entry.UID] = entry, version
	}
	d.changeLog = append(d.changeLog, listChange{version: version, entries: slices.Clone(entries)})
	close(d.changed)
	d.changed = make(chan struct{})
}

// listOf gives the whole list as of a version.
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

// Watched is the latest version that a call asked for changes since: its caller has taken that version.
func (d *Discovery) WatchedVersion() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watchedVersion
}

// Line gives the present line of a server.
func (d *Discovery) Entry(uid string) Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[uid]
}

// Known gives the whole list, as a configuration may hold it.
func (d *Discovery) KnownList() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listSince(0)
}

// Calls is the number of calls that came so far.
func (d *Discovery) CallCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callCount
}

// SetFault sets what happens to calls that come from now on; nil: they are answered. Faults that wait for
// the next change of the fault end their waiting.
func (d *Discovery) SetFault(fault Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
	close(d.faultChanged)
	d.faultChanged = make(chan struct{})
}

// ServeHTTP implements http.Handler. A fault strikes open watches as well as the calls that come after it.
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
		return // a fault has begun meanwhile
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call.write(text)
}

// strike has the present fault strike a call; nil once it is done with it. Where there is none it gives
// what is closed when that changes.
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

// answer waits for what a call asks for, or until the channel closes, and gives its text.
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

// await waits until there is something newer than a version or the channel closes, for some time at most.
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

// since gives what is newer than a version; 0: the whole list. The lock is held.
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
