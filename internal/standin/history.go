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
	// firstVersion is the version that replicas give to the beginning of a history, and restartVersion the
	// one that they give to its present state when their counter starts anew.
	versionBase    = 100
	restartVersion = 20
)

// revision is one state of a history: the lines that it changed, and since when it holds.
type revision struct {
	madeAt  time.Time
	entries []Entry
}

// History is the sequence of changes of a server list. Replicas serve it, each as it was some time ago. It
// is safe for concurrent use.
type History struct {
	mu        sync.Mutex
	revisions []revision
	changed   chan struct{} // closed and replaced at each change
}

// NewHistory begins a history with the given lines.
func NewHistory(entries []Entry) *History {
	return &History{revisions: []revision{{madeAt: time.Now(), entries: entries}}, changed: make(chan struct{})}
}

// Change puts lines in place as one revision.
func (h *History) Change(entries ...Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revisions = append(h.revisions, revision{madeAt: time.Now(), entries: entries})
	close(h.changed)
	h.changed = make(chan struct{})
}

// Line gives the present line of a server.
func (h *History) Entry(uid string) Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changedEntries(len(h.revisions), 0)[uid]
}

// latest is the number of revisions.
func (h *History) revisionCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.revisions)
}

// visible gives the number of revisions that a replica has that lags by some time, when it gets the next
// one (zero: none is there), and what is closed when there is a change.
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

// state gives the lines that were changed after a revision up to another one. The lock is held.
func (h *History) changedEntries(upTo, after int) map[string]Entry {
	entries := map[string]Entry{}
	for _, r := range h.revisions[min(after, upTo):upTo] {
		for _, entry := range r.entries {
			entries[entry.UID] = entry
		}
	}
	return entries
}

// targets gives the lines of a whole list, or of the changes after a revision, sorted by uid.
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

// StaleKind says what stale calls to a replica are answered from.
type StaleKind int

// What stale calls are answered from.
const (
	StaleReplica StaleKind = iota // a second replica that lags: its watches wait for its own news
	StaleList                     // a whole list from before, also to a watch that is told of news
)

// Stale says which calls to a replica are stale, and by how much: Count in a row of each Of. The zero value
// has none be so.
type StalePattern struct {
	Kind   StaleKind
	Lag    time.Duration
	Count  int
	Period int
}

// strikes tells whether a call is stale.
func (s StalePattern) isStale(call int) bool { return s.Period > 0 && call%s.Period < s.Count }

// Replica is a discovery service that serves a history as it was some time ago. It speaks the published
// protocol. It is safe for concurrent use.
type Replica struct {
	history  *History
	server   *httptest.Server
	lag      time.Duration
	observer AnswerObserver // nil: none

	mu              sync.Mutex
	versionOffset   int // of its versions from the numbers of the history
	versionRestarts int // how often its versions started anew
	stalePattern    StalePattern
	framing         Framing
	fault           Fault         // nil: none
	faultChanged    chan struct{} // closed and replaced when the fault changes
	callCount       int
}

// NewReplica starts a replica on loopback whose versions are apart from those of others by offset. Close
// ends it. The observer, if there is one, is told what it writes.
func (h *History) NewReplica(lag time.Duration, offset int, observer AnswerObserver) *Replica {
	r := &Replica{
		history: h, lag: lag, versionOffset: versionBase + offset, observer: observer, faultChanged: make(chan struct{}),
	}
	r.server = httptest.NewServer(r)
	return r
}

// Addr is where it listens, as host:port.
func (r *Replica) Addr() string { return r.server.Listener.Addr().String() }

// Lag is the time by which it lags behind its history.
func (r *Replica) Lag() time.Duration { return r.lag }

// Close ends the service and all its connections.
func (r *Replica) Close() {
	r.SetFault(nil)
	r.server.CloseClientConnections()
	r.server.Close()
}

// SetFault sets what happens to calls that come from now on; nil: they are answered. Faults that wait for
// the next change of the fault end their waiting.
func (r *Replica) SetFault(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
	close(r.faultChanged)
	r.faultChanged = make(chan struct{})
}

// SetFraming sets how answers are written from now on.
func (r *Replica) SetFraming(framing Framing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.framing = framing
}

// SetStale sets which calls that come from now on are stale.
func (r *Replica) SetStalePattern(pattern StalePattern) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalePattern = pattern
}

// Restart breaks all connections, and has the versions start anew: they go back.
func (r *Replica) Restart() {
	latest := r.history.revisionCount()
	r.mu.Lock()
	r.versionOffset = restartVersion - latest
	r.versionRestarts++
	r.mu.Unlock()
	r.server.CloseClientConnections()
}

// Known gives the whole list as the replica has it, as a configuration may hold it.
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
	stale         *StalePattern // nil: it is answered as it should be
	versionOffset int
}

// ServeHTTP implements http.Handler. A fault strikes open watches as well as the calls that come after it.
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

// serve answers a call, or has a fault strike it.
func (r *Replica) serve(call *replicaCall, discoveryCall *Call) {
	discoveryCall.awaitAnswer = func() ([]byte, error) { return call.awaitAnswer(nil) }
	if discoveryCall.faultChanged = r.applyFault(discoveryCall); discoveryCall.faultChanged == nil {
		return
	}
	text, err := call.awaitAnswer(discoveryCall.faultChanged)
	if r.applyFault(discoveryCall) == nil {
		return // a fault has begun meanwhile
	}
	if err != nil {
		http.Error(discoveryCall.Writer, err.Error(), http.StatusBadRequest)
		return
	}
	discoveryCall.write(text)
}

// strike has the present fault strike a call; nil once it is done with it. Where there is none it gives
// what is closed when that changes.
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

// text waits for what the call asks for, or until the channel closes, and gives its text.
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
		return c.encodeList(0) // of another counter of versions
	}
	c.awaitChange(after, time.Duration(waitMs)*time.Millisecond, until)
	return c.encodeList(after)
}

// lag is how old the state is whose news the call waits for.
func (c *replicaCall) lag() time.Duration {
	if c.stale != nil && c.stale.Kind == StaleReplica {
		return c.stale.Lag
	}
	return c.replica.lag
}

// await waits until there is something newer than a revision or the channel closes, for some time at most.
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

// sleep waits for the next revision; false where the wait is over.
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

// marshal gives the text of the changes after a revision; 0: of the whole list.
func (c *replicaCall) encodeList(after int) ([]byte, error) {
	lag := c.lag()
	if c.stale != nil && c.stale.Kind == StaleList {
		lag, after = max(lag, c.stale.Lag), 0
	}
	count, _, _ := c.replica.history.visibleRevisions(lag)
	c.answer.List = List{Version: int64(count + c.versionOffset), IsWhole: after == 0, Entries: c.replica.history.listEntries(count, after)}
	return json.Marshal(c.answer.List)
}
