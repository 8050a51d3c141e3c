package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// versionBase is the number from which a replica with offset 0 counts its versions: it gives the first
	// revision of a history version 101.
	versionBase = 100

	// restartVersion is the version that a replica gives to the current revision when its versions restart.
	restartVersion = 20
)

// revision is one change of a history: the entries that it changed, and its time.
type revision struct {
	madeAt  time.Time
	entries []Entry
}

// History is the sequence of changes of a server list. Replicas serve it, each with its own lag. It is safe
// for concurrent use.
type History struct {
	mu        sync.Mutex
	revisions []revision
	changed   chan struct{} // channel that is closed and replaced at each change
}

// NewHistory returns a history whose first revision has the given entries.
func NewHistory(entries []Entry) *History {
	return &History{revisions: []revision{{madeAt: time.Now(), entries: entries}}, changed: make(chan struct{})}
}

// Change adds or replaces entries as one new revision.
func (h *History) Change(entries ...Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revisions = append(h.revisions, revision{madeAt: time.Now(), entries: entries})
	close(h.changed)
	h.changed = make(chan struct{})
}

// Entry returns the current entry of a server.
func (h *History) Entry(uid string) Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changedEntries(len(h.revisions), 0)[uid]
}

// revisionCount returns the number of revisions.
func (h *History) revisionCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.revisions)
}

// visibleRevisions returns the number of revisions that a replica with the given lag has, the time at which
// it gets the next one (zero if there is none), and a channel that is closed when the history changes.
func (h *History) visibleRevisions(lag time.Duration) (count int, nextAt time.Time, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	cutoff := time.Now().Add(-lag)
	count = 1
	for count < len(h.revisions) && !h.revisions[count].madeAt.After(cutoff) {
		count++
	}
	if count < len(h.revisions) {
		nextAt = h.revisions[count].madeAt.Add(lag)
	}
	return count, nextAt, h.changed
}

// changedEntries returns the latest entry, by UID, of each server that changed after one revision and up to
// another one. The caller holds h.mu.
func (h *History) changedEntries(upTo, after int) map[string]Entry {
	entries := map[string]Entry{}
	for _, r := range h.revisions[min(after, upTo):upTo] {
		for _, entry := range r.entries {
			entries[entry.UID] = entry
		}
	}
	return entries
}

// listEntries returns the entries of the whole list, or of the changes after a revision greater than 0,
// sorted by UID.
func (h *History) listEntries(upTo, after int) []Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	byUID := h.changedEntries(upTo, after)
	entries := []Entry{}
	for _, uid := range slices.Sorted(maps.Keys(byUID)) {
		if entry := byUID[uid]; after > 0 || entry.State != Terminated {
			entries = append(entries, entry)
		}
	}
	return entries
}

// StaleKind says with what state a replica answers stale calls.
type StaleKind int

// The states with which stale calls are answered.
const (
	StaleReplica StaleKind = iota // state of a second, lagging replica, whose changes watches wait for
	StaleList                     // earlier whole list, also for a watch after a change
)

// StalePattern says which calls to a replica are stale and by how much: Count in a row out of every Period
// calls. With the zero value no call is stale.
type StalePattern struct {
	Kind   StaleKind
	Lag    time.Duration
	Count  int
	Period int
}

// isStale reports whether the call with the given number is stale.
func (s StalePattern) isStale(call int) bool { return s.Period > 0 && call%s.Period < s.Count }

// Replica is a discovery service that serves a history with a lag. It speaks the discovery protocol and is
// safe for concurrent use.
type Replica struct {
	history  *History
	server   *httptest.Server
	lag      time.Duration
	observer AnswerObserver // receiver of reports; nil: none

	mu              sync.Mutex
	versionOffset   int // difference between the replica's versions and the revision numbers of the history
	versionRestarts int // number of restarts of the versions
	stalePattern    StalePattern
	framing         Framing
	fault           Fault         // fault that applies to calls; nil: none
	faultChanged    chan struct{} // channel that is closed and replaced when the fault changes
	callCount       int
}

// NewReplica starts a replica on loopback. Its versions are greater by offset than those of a replica with
// offset 0. The observer, if it is not nil, receives reports of what the replica writes. Close stops it.
func (h *History) NewReplica(lag time.Duration, offset int, observer AnswerObserver) *Replica {
	r := &Replica{
		history: h, lag: lag, versionOffset: versionBase + offset, observer: observer, faultChanged: make(chan struct{}),
	}
	r.server = httptest.NewServer(r)
	return r
}

// Addr returns the replica's address as host:port.
func (r *Replica) Addr() string { return r.server.Listener.Addr().String() }

// Lag returns the time by which the replica lags behind its history.
func (r *Replica) Lag() time.Duration { return r.lag }

// Close stops the replica and closes its connections.
func (r *Replica) Close() {
	r.SetFault(nil)
	r.server.CloseClientConnections()
	r.server.Close()
}

// SetFault sets the fault that applies to open watches and to calls that arrive from now on; nil answers
// them. Faults that wait for the next change of the fault stop waiting.
func (r *Replica) SetFault(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
	close(r.faultChanged)
	r.faultChanged = make(chan struct{})
}

// SetFraming sets the framing of the answers to calls that arrive from now on.
func (r *Replica) SetFraming(framing Framing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.framing = framing
}

// SetStalePattern sets which of the calls that arrive from now on are stale.
func (r *Replica) SetStalePattern(pattern StalePattern) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalePattern = pattern
}

// Restart closes all connections and restarts the versions: that of the current revision goes back to
// restartVersion.
func (r *Replica) Restart() {
	latest := r.history.revisionCount()
	r.mu.Lock()
	r.versionOffset = restartVersion - latest
	r.versionRestarts++
	r.mu.Unlock()
	r.server.CloseClientConnections()
}

// KnownList returns the whole list as the replica has it, in the form in which a configuration holds it.
func (r *Replica) KnownList() List {
	count, _, _ := r.history.visibleRevisions(r.lag)
	r.mu.Lock()
	defer r.mu.Unlock()
	return List{Version: int64(count + r.versionOffset), IsWhole: true, Entries: r.history.listEntries(count, 0)}
}

// replicaCall is one call to a replica.
type replicaCall struct {
	replica       *Replica
	request       *http.Request
	answer        *Answer
	stale         *StalePattern // pattern that makes the call stale; nil: it is not stale
	versionOffset int           // version offset of the replica when the call arrived
}

// ServeHTTP implements http.Handler. A fault applies to open watches as well as to calls that arrive later.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	r.callCount++
	call := &replicaCall{replica: r, request: request, versionOffset: r.versionOffset}
	call.answer = &Answer{CallNumber: r.callCount, CalledAt: time.Now(), VersionRestarts: r.versionRestarts}
	if pattern := r.stalePattern; pattern.isStale(r.callCount) {
		call.stale = &pattern
	}
	framing := r.framing
	r.mu.Unlock()
	writer := &observedWriter{ResponseWriter: w, answer: call.answer, observer: r.observer}
	defer writer.finish(request)
	r.serve(call, &Call{Writer: writer, Request: request, framing: &framing})
}

// serve answers a call, or has the current fault finish it.
func (r *Replica) serve(call *replicaCall, discoveryCall *Call) {
	discoveryCall.awaitAnswer = func() ([]byte, error) { return call.awaitAnswer(nil) }
	if discoveryCall.faultChanged = r.applyFault(discoveryCall); discoveryCall.faultChanged == nil {
		return
	}
	text, err := call.awaitAnswer(discoveryCall.faultChanged)
	if r.applyFault(discoveryCall) == nil {
		return // a fault was set while the call waited
	}
	if err != nil {
		http.Error(discoveryCall.Writer, err.Error(), http.StatusBadRequest)
		return
	}
	discoveryCall.write(text)
}

// applyFault has the current fault finish a call and returns nil. Without a fault it returns a channel that
// is closed when the fault changes.
func (r *Replica) applyFault(call *Call) <-chan struct{} {
	r.mu.Lock()
	fault, faultChanged := r.fault, r.faultChanged
	r.mu.Unlock()
	if fault == nil {
		return faultChanged
	}
	call.faultChanged = faultChanged
	fault(call)
	return nil
}

// awaitAnswer returns the text that answers the call. For a watch it first waits for a change, until the
// timeout of the watch or until the channel is closed.
func (c *replicaCall) awaitAnswer(until <-chan struct{}) ([]byte, error) {
	query := c.request.URL.Query()
	if !query.Has("since") {
		return c.encodeList(0)
	}
	since, err := strconv.Atoi(query.Get("since"))
	if err != nil {
		return nil, err
	}
	waitMs, err := strconv.Atoi(query.Get("timeout_ms"))
	if err != nil {
		return nil, err
	}
	after := since - c.versionOffset
	if after < 1 || after > c.replica.history.revisionCount() {
		return c.encodeList(0) // the replica has not given this version since its versions restarted
	}
	c.awaitChange(after, time.Duration(waitMs)*time.Millisecond, until)
	return c.encodeList(after)
}

// lag returns the lag of the state whose changes the call waits for.
func (c *replicaCall) lag() time.Duration {
	if c.stale != nil && c.stale.Kind == StaleReplica {
		return c.stale.Lag
	}
	return c.replica.lag
}

// awaitChange waits until there is a revision after the given one, the wait is over, the channel is closed
// or the caller disconnects.
func (c *replicaCall) awaitChange(after int, wait time.Duration, until <-chan struct{}) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		count, nextAt, changed := c.replica.history.visibleRevisions(c.lag())
		if count > after {
			return
		}
		if !c.awaitNextRevision(nextAt, changed, timeout.C, until) {
			return
		}
	}
}

// awaitNextRevision waits until the replica may have another revision. It returns false if the wait ends
// before that.
func (c *replicaCall) awaitNextRevision(nextAt time.Time, changed <-chan struct{}, timeout <-chan time.Time, until <-chan struct{}) bool {
	var due <-chan time.Time
	if !nextAt.IsZero() {
		timer := time.NewTimer(time.Until(nextAt))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
		return true
	case <-changed:
		return true
	case <-timeout:
	case <-until:
	case <-c.request.Context().Done():
	}
	return false
}

// encodeList returns the text of the changes after a revision, or of the whole list for revision 0.
func (c *replicaCall) encodeList(after int) ([]byte, error) {
	lag := c.lag()
	if c.stale != nil && c.stale.Kind == StaleList {
		lag, after = max(lag, c.stale.Lag), 0
	}
	count, _, _ := c.replica.history.visibleRevisions(lag)
	c.answer.List = List{Version: int64(count + c.versionOffset), IsWhole: after == 0, Entries: c.replica.history.listEntries(count, after)}
	return json.Marshal(c.answer.List)
}
