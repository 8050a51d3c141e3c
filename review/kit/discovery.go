package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Entry is the entry of one billing server in the list.
type Entry struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	AZ           string  `json:"az"`
	Model        string  `json:"model"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMs       int64   `json:"boot_ms"`
}

// List is an answer of discovery.
type List struct {
	Rev     int64   `json:"rev"`
	All     bool    `json:"all"`
	Targets []Entry `json:"targets"`
}

// Discovery answers calls for the list as the protocol page says. It has no faults.
type Discovery struct {
	listener net.Listener
	server   *http.Server

	mu        sync.Mutex
	rev       int64
	entries   map[string]Entry
	changedAt map[string]int64
	changed   chan struct{}
}

// NewDiscovery starts discovery with the given entries.
func NewDiscovery(entries []Entry) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{listener: listener, entries: map[string]Entry{}, changedAt: map[string]int64{}, changed: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	d.Change(entries...)
	go d.server.Serve(listener)
	return d, nil
}

// Addr returns the address of discovery.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Close stops discovery.
func (d *Discovery) Close() { d.server.Close() }

// Change adds or replaces entries as one new version.
func (d *Discovery) Change(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	for _, e := range entries {
		d.entries[e.UID], d.changedAt[e.UID] = e, d.rev
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// Known returns the whole list.
func (d *Discovery) Known() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(-1)
}

// list returns the changes since a version, or the whole list if that is negative. The caller holds the lock.
func (d *Discovery) list(since int64) List {
	list := List{Rev: d.rev, All: since < 0, Targets: []Entry{}}
	for uid, e := range d.entries {
		if since < 0 && e.State != "terminated" || since >= 0 && d.changedAt[uid] > since {
			list.Targets = append(list.Targets, e)
		}
	}
	slices.SortFunc(list.Targets, func(a, b Entry) int { return strings.Compare(a.UID, b.UID) })
	return list
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	since := int64(-1)
	if text := r.URL.Query().Get("since"); text != "" {
		var err error
		if since, err = strconv.ParseInt(text, 10, 64); err != nil {
			http.Error(w, "since", http.StatusBadRequest)
			return
		}
		wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		d.mu.Lock()
		isNewer, changed := d.rev > since, d.changed
		d.mu.Unlock()
		if !isNewer {
			select {
			case <-changed:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
	}
	d.mu.Lock()
	text, err := json.Marshal(d.list(since))
	d.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text)
}
