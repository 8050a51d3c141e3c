package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

// recorder is an AnswerObserver that records the reports of a replica.
type recorder struct {
	mu         sync.Mutex
	completing int
	entries    []Entry
	completed  int
	abandoned  int
}

// Completing implements AnswerObserver.
func (r *recorder) Completing(*Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completing++
}

// EntriesWritten implements AnswerObserver.
func (r *recorder) EntriesWritten(_ *Answer, entries []Entry, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, entries...)
	if complete {
		r.completed++
	}
}

// Abandoned implements AnswerObserver.
func (r *recorder) Abandoned(*Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abandoned++
}

func startReplica(t *testing.T, history *History, lag time.Duration, offset int, observer AnswerObserver) *Replica {
	t.Helper()
	replica := history.NewReplica(lag, offset, observer)
	t.Cleanup(replica.Close)
	return replica
}

func twoEntries() []Entry {
	return []Entry{{UID: "a", State: InService}, {UID: "b", State: InService}}
}

// callReplica returns the list that a call gets, and the time that the call took.
func callReplica(t *testing.T, r *Replica, query string) (list List, took time.Duration) {
	t.Helper()
	startedAt := time.Now()
	resp, err := http.Get("http://" + r.Addr() + "/discovery/hosts" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	return list, time.Since(startedAt)
}

func TestReplicaReportsChangesAfterItsLag(t *testing.T) {
	const lag = 300 * time.Millisecond
	history := NewHistory(twoEntries())
	current, lagging := startReplica(t, history, 0, 0, nil), startReplica(t, history, lag, 7, nil)
	history.Change(Entry{UID: "a", State: Terminated})
	if list, _ := callReplica(t, current, ""); list.Version != 102 || !list.IsWhole || len(list.Entries) != 1 {
		t.Errorf("the replica without a lag answers %+v", list)
	}
	if list, _ := callReplica(t, lagging, ""); list.Version != 108 || len(list.Entries) != 2 {
		t.Errorf("the lagging replica answers %+v", list)
	}
	list, took := callReplica(t, lagging, "?since=108&timeout_ms=5000")
	if list.Version != 109 || list.IsWhole || len(list.Entries) != 1 || list.Entries[0].State != Terminated || took > 10*lag {
		t.Errorf("the watch gets %+v after %v, want the change soon after the lag", list, took)
	}
}

func TestReplicaGivesTheWholeListOnceItsVersionsRestart(t *testing.T) {
	history := NewHistory(twoEntries())
	r := startReplica(t, history, 0, 0, nil)
	for range 5 {
		history.Change(Entry{UID: "a", State: Terminating})
	}
	before, _ := callReplica(t, r, "")
	r.Restart()
	after, _ := callReplica(t, r, fmt.Sprintf("?since=%d&timeout_ms=5000", before.Version))
	if after.Version != restartVersion || !after.IsWhole || len(after.Entries) != 2 {
		t.Errorf("a watch from version %d gets %+v after the restart, want the whole list", before.Version, after)
	}
}

func TestReplicaAnswersSomeCallsWithStaleLists(t *testing.T) {
	history := NewHistory(twoEntries())
	r := startReplica(t, history, 0, 0, nil)
	history.Change(Entry{UID: "a", State: Terminating})
	r.SetStalePattern(StalePattern{Kind: StaleList, Lag: time.Hour, Count: 2, Period: 4})
	for i := range 8 {
		list, _ := callReplica(t, r, "?since=101&timeout_ms=5000")
		if isStale := (i+1)%4 < 2; list.IsWhole != isStale || isStale != (list.Version == 101) {
			t.Errorf("call %d gets %+v", i, list)
		}
	}
	r.SetStalePattern(StalePattern{Kind: StaleReplica, Lag: time.Hour, Count: 1, Period: 2})
	const waitMs = 100
	if _, took := callReplica(t, r, "?since=101&timeout_ms=100"); took > waitMs*time.Millisecond {
		t.Errorf("the call that is not stale took %v", took)
	}
	if list, took := callReplica(t, r, "?since=101&timeout_ms=100"); list.Version != 101 || took < waitMs*time.Millisecond {
		t.Errorf("the stale watch gets %+v after %v, want version 101 after the timeout", list, took)
	}
}

// A reader that stops at the closing brace must understand every framing, and the observer must get a
// report of every entry that was written.
func TestFramings(t *testing.T) {
	for name, testCase := range map[string]struct {
		framing      Framing
		wantEntries  int
		wantComplete bool
	}{
		"length":               {Framing{}, 2, true},
		"chunked":              {Framing{Delimiter: Chunked}, 2, true},
		"until close":          {Framing{Delimiter: UntilClose}, 2, true},
		"late end":             {Framing{Delimiter: Chunked, Ending: EndsLate, EndDelay: 10 * time.Second}, 2, true},
		"late white space":     {Framing{Ending: EndsLate, EndDelay: 10 * time.Second}, 2, true},
		"no end":               {Framing{Delimiter: Chunked, Ending: EndsNever}, 2, true},
		"reset":                {Framing{Delimiter: Chunked, Ending: EndsByReset}, 2, true},
		"indented":             {Framing{Indented: true, VersionLast: true}, 2, true},
		"pieces":               {Framing{Pieces: 5, Pause: time.Millisecond}, 2, true},
		"entry per piece":      {Framing{Delimiter: Chunked, EntryPerPiece: true, Pause: time.Millisecond}, 2, true},
		"late rest":            {Framing{RestDelay: 50 * time.Millisecond}, 2, true},
		"reset after an entry": {Framing{Delimiter: Chunked, ResetAfterEntries: 1}, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var written recorder
			r := startReplica(t, NewHistory(twoEntries()), 0, 0, &written)
			r.SetFraming(testCase.framing)
			resp, err := http.Get("http://" + r.Addr() + "/discovery/hosts")
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			var list List
			err = json.NewDecoder(resp.Body).Decode(&list)
			if (err == nil) != testCase.wantComplete || testCase.wantComplete && (list.Version != 101 || !list.IsWhole || len(list.Entries) != 2) {
				t.Errorf("the answer decodes to %+v, error %v", list, err)
			}
			if !testCase.wantComplete {
				if _, err := io.ReadAll(resp.Body); err == nil {
					t.Error("the body ends without an error")
				}
			}
			time.Sleep(50 * time.Millisecond) // the report follows the flush
			written.mu.Lock()
			defer written.mu.Unlock()
			if len(written.entries) != testCase.wantEntries || (written.completed == 1) != testCase.wantComplete ||
				written.completing != written.completed {
				t.Errorf("reported: %d entries, %d complete messages, %d messages about to be complete",
					len(written.entries), written.completed, written.completing)
			}
		})
	}
}
