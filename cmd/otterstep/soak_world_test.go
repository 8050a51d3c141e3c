package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"otterstep/internal/standin"
)

// soakChange is a change of a server's state; a node counts as told of it at a time.
type soakChange struct {
	uid   string
	state string
	at    time.Time
	told  time.Time

	heard bool // discovery could be reached for soakReached behind it: no later outage excuses a node
}

// soakAddress is an address of discovery: a replica behind a link.
type soakAddress struct {
	number  int
	replica *standin.Replica
	link    *standin.Proxy
	lag     time.Duration
}

// soakSpan is a span of time.
type soakSpan struct{ from, to time.Time }

// soakRequest is what is known of a request of a client.
type soakRequest struct {
	end     time.Time // when its client gives up
	process int       // that it was sent to
	runs    int       // times that a server got it
}

// soakWorld is what the stand-ins know together. It judges each request that comes to a server.
type soakWorld struct {
	t         *testing.T
	rng       *rand.Rand // of the timeline alone
	history   *standin.History
	addresses []*soakAddress
	servers   []*standin.Proxy // the links to them
	pushed    bool             // what an agent has counts as told at once
	fleet     int              // nodes, by the settings
	played    []string         // names of faults

	changing sync.Mutex // held while a server's state is changed

	mu       sync.Mutex
	present  *soakAddress // that the configuration names
	changes  []soakChange
	outage   time.Time   // discovery can't be reached since then; zero: it can
	outages  []soakSpan  // of before
	movedAt  time.Time   // the latest new configuration
	starts   []time.Time // of processes
	written  soakWritten // to the present process
	process  int         // its number
	requests map[string]*soakRequest
	problems []soakProblem
	timeline []string // what was done, for the report of a failure
}

// note keeps what is done for the report of a failure.
func (w *soakWorld) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeline = append(w.timeline, stamped(format, args...))
}

// watchMachine notes where the test's own process stands still: what is late then is not the node's.
func (w *soakWorld) watchMachine(ctx context.Context) {
	const every, long = 20 * time.Millisecond, 300 * time.Millisecond
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(every)
		if took := time.Since(began); took > long {
			w.note("the test stood still for %v", took)
		}
	}
}

// at is the address that the configuration names.
func (w *soakWorld) at() *soakAddress {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.present
}

// change puts a server into a state. One that comes back has started anew, unless its drain was called off.
func (w *soakWorld) change(uid, state string, anew bool) {
	w.changing.Lock()
	defer w.changing.Unlock()
	line := w.history.Entry(uid)
	line.State = state
	now := time.Now()
	if anew {
		line.BootMs = now.UnixMilli()
	}
	w.changed(uid, state, now)
	w.history.Change(line)
	w.note("%s %s, start %d", uid, state, line.BootMs)
}

// changed notes a change, and by when it counts as told.
func (w *soakWorld) changed(uid, state string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	had := at.Add(w.present.lag)
	w.changes = append(w.changes, soakChange{uid: uid, state: state, at: at, told: w.toldOf(had)})
}

// toldOf is when a node counts as told of what an address of discovery got at a time.
func (w *soakWorld) toldOf(had time.Time) time.Time {
	if w.pushed {
		return had
	}
	return had.Add(toldAfter)
}

// outageBegins notes that discovery can't be reached from now on: nothing counts as told until it can.
func (w *soakWorld) outageBegins(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outage = at
	reached := at.Add(-soakReached)
	if w.pushed || w.fleet > soakHandful || w.movedAt.After(reached) || w.lastOutage().After(reached) {
		return
	}
	for i, c := range w.changes {
		if !c.at.Add(w.present.lag).After(reached) {
			w.changes[i].heard = true
		}
	}
}

// lastOutage is when discovery could be reached again for the last time. The lock is held.
func (w *soakWorld) lastOutage() time.Time {
	if len(w.outages) == 0 {
		return time.Time{}
	}
	return w.outages[len(w.outages)-1].to
}

// outageEnds notes that it can be reached again: what it has counts as told toldAfter later, or at once
// where an agent has it.
func (w *soakWorld) outageEnds(to time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	from, told := w.outage, w.toldOf(to)
	w.outage = time.Time{}
	w.outages = append(w.outages, soakSpan{from, to})
	for i, c := range w.changes {
		if !c.heard && c.at.Before(to) && !c.told.Before(from) && told.After(c.told) {
			w.changes[i].told = told
		}
	}
}

// reloaded notes that what another address of discovery has counts as told some time after a new
// configuration, also where an agent has had it before. What it gets only later counts from then on.
func (w *soakWorld) reloaded(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, c := range w.changes {
		had, by := c.at.Add(w.present.lag), at.Add(reloadAfter)
		heard := at // what counted as told before was heard from the address of before
		if w.pushed && had.After(at) {
			heard = at.Add(-writtenUnsure) // unless it had just come, and is not repeated at once
		}
		switch {
		case c.told.Before(heard):
		case had.After(at):
			w.changes[i].told = w.toldOf(had)
			if w.pushed && by.After(had) {
				w.changes[i].told = by
			}
		case by.Before(c.told) || w.pushed:
			w.changes[i].told = by
		}
	}
}

// mayBeSent tells whether a node may send to a server at a time, by some of what it was told lately.
func (w *soakWorld) mayBeSent(uid string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := standin.InService
	for _, c := range w.changes {
		if c.uid != uid {
			continue
		}
		if c.told.Add(drainGrace+soakSlack).After(at) || !w.outage.IsZero() && !c.heard && !c.told.Before(w.outage) {
			return true // it may not know this one yet, or know it by now
		}
		state = c.state
	}
	return state == standin.InService
}

// processBegins notes that a process starts with a list in its configuration.
func (w *soakWorld) processBegins(known standin.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.process++
	w.starts = append(w.starts, now)
	w.written = newSoakWritten(now, w.present, known)
	for i, c := range w.changes {
		had := c.at.Add(w.present.lag)
		if w.pushed && had.After(now) && had.After(c.told) {
			w.changes[i].told = had // an agent that lags has not got it yet, and nothing else tells this process
		}
	}
}

// movesTo notes that the configuration names another address from now on.
func (w *soakWorld) movesTo(next *soakAddress, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.present, w.movedAt = next, at
	w.written.moved(next, at)
}

// setLink sets what the link to an address does.
func (w *soakWorld) setLink(address *soakAddress, fault standin.LinkFault) {
	w.mu.Lock()
	w.written.linkChanges(address, fault, time.Now())
	w.mu.Unlock()
	address.link.SetFault(fault)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written.linkChanges(address, fault, time.Now())
}

// judge checks a request that a server got: whether its node may have sent it.
func (w *soakWorld) judge(uid, id string, now time.Time) {
	sent := now.Add(-soakLink)
	if !w.mayBeSent(uid, sent) {
		w.problem(breakDrain, "request %s went to %s, which is gone", id, uid)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	request := w.requests[id]
	if request == nil || request.process != w.process {
		return // of no client, which is checked elsewhere, or from a process that has ended
	}
	if out, told := w.written.forbids(uid, sent, now); told {
		w.found(breakWritten, "request %s went to %s, which was written to be out: %s", id, uid, out)
	}
	if w.pushed && !w.written.confirmed {
		w.found(breakUnconfirmed, "request %s went to %s before the process got an answer", id, uid)
	}
}

// checkRequest checks what a server was told of a request.
func (w *soakWorld) checkRequest(r *http.Request, now time.Time) {
	id := r.Header.Get("X-Correlation-Id")
	left, err := strconv.ParseFloat(r.Header.Get("X-Time-Left"), 64)
	told := time.Duration(left * float64(time.Second))
	w.mu.Lock()
	defer w.mu.Unlock()
	request := w.requests[id]
	if request == nil {
		w.found(breakAnswer, "request %s is of no client", id)
		return
	}
	if request.runs++; request.runs > 1 && r.Method == http.MethodPost {
		w.found(breakDuplicate, "request %s", id)
	}
	if err != nil || now.Add(told).After(request.end.Add(150*time.Millisecond+soakLink+soakSlack)) {
		w.found(breakDeadline, "request %s is told %v with %v left", id, told, request.end.Sub(now))
	}
}

// server is one of the listed servers.
func (w *soakWorld) server(uid string) http.Handler {
	rng := rand.New(rand.NewPCG(uint64(len(uid)), uint64(uid[len(uid)-1])))
	var mu sync.Mutex
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		now := time.Now()
		id := r.Header.Get("X-Correlation-Id")
		w.judge(uid, id, now)
		mu.Lock()
		fate := rng.Float64()
		mu.Unlock()
		if fate < 0.05 {
			out.Header().Set("X-Unprocessed", "1")
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.checkRequest(r, now)
		switch {
		case fate < 0.10:
			out.WriteHeader(http.StatusInternalServerError)
			return
		case fate < 0.13:
			panic(http.ErrAbortHandler)
		case fate < 0.15:
			<-r.Context().Done()
			return
		case fate < 0.5:
			time.Sleep(time.Duration(fate * float64(50*time.Millisecond)))
		}
		fmt.Fprint(out, id)
	})
}

// leaves tells whether a line takes its server out of service.
func leaves(line standin.Entry) bool { return line.State != standin.InService }
