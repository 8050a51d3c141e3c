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
	uid            string
	state          string
	madeAt         time.Time
	noticeDeadline time.Time

	mustBeKnown bool // discovery could be reached for soakReached behind it: no later outage excuses a node
}

// soakAddress is an address of discovery: a replica behind a link.
type soakAddress struct {
	number  int
	replica *standin.Replica
	link    *standin.Proxy
	lag     time.Duration
}

// soakSpan is a span of time.
type soakOutage struct{ from, to time.Time }

// soakRequest is what is known of a request of a client.
type soakRequest struct {
	deadline      time.Time // when its client gives up
	processNumber int       // that it was sent to
	receivedCount int       // times that a server got it
}

// soakWorld is what the stand-ins know together. It judges each request that comes to a server.
type soakEnvironment struct {
	t             *testing.T
	rng           *rand.Rand // of the timeline alone
	history       *standin.History
	addresses     []*soakAddress
	serverLinks   []*standin.Proxy // the links to them
	isPushed      bool             // what an agent has counts as told at once
	fleetSize     int              // nodes, by the settings
	appliedFaults []string         // names of faults

	changeMu sync.Mutex // held while a server's state is changed

	mu               sync.Mutex
	configured       *soakAddress // that the configuration names
	changes          []soakChange
	outageSince      time.Time       // discovery can't be reached since then; zero: it can
	pastOutages      []soakOutage    // of before
	addressChangedAt time.Time       // the latest new configuration
	processStarts    []time.Time     // of processes
	deliveries       deliveryChecker // to the present process
	processNumber    int             // its number
	requests         map[string]*soakRequest
	violations       []soakViolation
	timeline         []string // what was done, for the report of a failure
}

// note keeps what is done for the report of a failure.
func (env *soakEnvironment) recordEvent(format string, args ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.timeline = append(env.timeline, withTimestamp(format, args...))
}

// watchMachine notes where the test's own process stands still: what is late then is not the node's.
func (env *soakEnvironment) recordStalls(ctx context.Context) {
	const interval, threshold = 20 * time.Millisecond, 300 * time.Millisecond
	for ctx.Err() == nil {
		startedAt := time.Now()
		time.Sleep(interval)
		if took := time.Since(startedAt); took > threshold {
			env.recordEvent("the test stood still for %v", took)
		}
	}
}

// at is the address that the configuration names.
func (env *soakEnvironment) configuredAddress() *soakAddress {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.configured
}

// change puts a server into a state. One that comes back has started anew, unless its drain was called off.
func (env *soakEnvironment) setServerState(uid, state string, restarted bool) {
	env.changeMu.Lock()
	defer env.changeMu.Unlock()
	entry := env.history.Entry(uid)
	entry.State = state
	now := time.Now()
	if restarted {
		entry.BootMs = now.UnixMilli()
	}
	env.recordChange(uid, state, now)
	env.history.Change(entry)
	env.recordEvent("%s %s, start %d", uid, state, entry.BootMs)
}

// changed notes a change, and by when it counts as told.
func (env *soakEnvironment) recordChange(uid, state string, madeAt time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	visibleAt := madeAt.Add(env.configured.lag)
	env.changes = append(env.changes, soakChange{uid: uid, state: state, madeAt: madeAt, noticeDeadline: env.noticeDeadline(visibleAt)})
}

// toldOf is when a node counts as told of what an address of discovery got at a time.
func (env *soakEnvironment) noticeDeadline(visibleAt time.Time) time.Time {
	if env.isPushed {
		return visibleAt
	}
	return visibleAt.Add(maxListAge)
}

// outageBegins notes that discovery can't be reached from now on: nothing counts as told until it can.
func (env *soakEnvironment) recordOutageStart(at time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.outageSince = at
	reachableSince := at.Add(-soakMinReachableTime)
	if env.isPushed || env.fleetSize > soakSmallFleetMaxNodes || env.addressChangedAt.After(reachableSince) || env.lastOutageEnd().After(reachableSince) {
		return
	}
	for i, change := range env.changes {
		if !change.madeAt.Add(env.configured.lag).After(reachableSince) {
			env.changes[i].mustBeKnown = true
		}
	}
}

// lastOutage is when discovery could be reached again for the last time. The lock is held.
func (env *soakEnvironment) lastOutageEnd() time.Time {
	if len(env.pastOutages) == 0 {
		return time.Time{}
	}
	return env.pastOutages[len(env.pastOutages)-1].to
}

// outageEnds notes that it can be reached again: what it has counts as told toldAfter later, or at once
// where an agent has it.
func (env *soakEnvironment) recordOutageEnd(to time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	from, deadline := env.outageSince, env.noticeDeadline(to)
	env.outageSince = time.Time{}
	env.pastOutages = append(env.pastOutages, soakOutage{from, to})
	for i, change := range env.changes {
		if !change.mustBeKnown && change.madeAt.Before(to) && !change.noticeDeadline.Before(from) && deadline.After(change.noticeDeadline) {
			env.changes[i].noticeDeadline = deadline
		}
	}
}

// reloaded notes that what another address of discovery has counts as told some time after a new
// configuration, also where an agent has had it before. What it gets only later counts from then on.
func (env *soakEnvironment) recordReload(reloadedAt time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for i, change := range env.changes {
		visibleAt, deadline := change.madeAt.Add(env.configured.lag), reloadedAt.Add(maxAddressChangeDelay)
		settledBefore := reloadedAt // what counted as told before was heard from the address of before
		if env.isPushed && visibleAt.After(reloadedAt) {
			settledBefore = reloadedAt.Add(-maxUnreadTime) // unless it had just come, and is not repeated at once
		}
		switch {
		case change.noticeDeadline.Before(settledBefore):
		case visibleAt.After(reloadedAt):
			env.changes[i].noticeDeadline = env.noticeDeadline(visibleAt)
			if env.isPushed && deadline.After(visibleAt) {
				env.changes[i].noticeDeadline = deadline
			}
		case deadline.Before(change.noticeDeadline) || env.isPushed:
			env.changes[i].noticeDeadline = deadline
		}
	}
}

// mayBeSent tells whether a node may send to a server at a time, by some of what it was told lately.
func (env *soakEnvironment) maySendTo(uid string, at time.Time) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	state := standin.InService
	for _, change := range env.changes {
		if change.uid != uid {
			continue
		}
		if change.noticeDeadline.Add(drainGrace+soakSchedulingSlack).After(at) || !env.outageSince.IsZero() && !change.mustBeKnown && !change.noticeDeadline.Before(env.outageSince) {
			return true // it may not know this one yet, or know it by now
		}
		state = change.state
	}
	return state == standin.InService
}

// processBegins notes that a process starts with a list in its configuration.
func (env *soakEnvironment) recordProcessStart(knownList standin.List) {
	env.mu.Lock()
	defer env.mu.Unlock()
	now := time.Now()
	env.processNumber++
	env.processStarts = append(env.processStarts, now)
	env.deliveries = newDeliveryChecker(now, env.configured, knownList)
	for i, change := range env.changes {
		visibleAt := change.madeAt.Add(env.configured.lag)
		if env.isPushed && visibleAt.After(now) && visibleAt.After(change.noticeDeadline) {
			env.changes[i].noticeDeadline = visibleAt // an agent that lags has not got it yet, and nothing else tells this process
		}
	}
}

// movesTo notes that the configuration names another address from now on.
func (env *soakEnvironment) recordAddressChange(next *soakAddress, at time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.configured, env.addressChangedAt = next, at
	env.deliveries.recordAddressChange(next, at)
}

// setLink sets what the link to an address does.
func (env *soakEnvironment) setLinkFault(address *soakAddress, fault standin.LinkFault) {
	env.mu.Lock()
	env.deliveries.recordLinkChange(address, fault, time.Now())
	env.mu.Unlock()
	address.link.SetFault(fault)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.deliveries.recordLinkChange(address, fault, time.Now())
}

// judge checks a request that a server got: whether its node may have sent it.
func (env *soakEnvironment) checkSend(uid, id string, receivedAt time.Time) {
	sentAt := receivedAt.Add(-soakMaxLinkDelay)
	if !env.maySendTo(uid, sentAt) {
		env.recordViolation(violationDrain, "request %s went to %s, which is gone", id, uid)
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	request := env.requests[id]
	if request == nil || request.processNumber != env.processNumber {
		return // of no client, which is checked elsewhere, or from a process that has ended
	}
	if reason, isForbidden := env.deliveries.forbidsSend(uid, sentAt, receivedAt); isForbidden {
		env.recordViolationLocked(violationWritten, "request %s went to %s, which was written to be out: %s", id, uid, reason)
	}
	if env.isPushed && !env.deliveries.isConfirmed {
		env.recordViolationLocked(violationUnconfirmed, "request %s went to %s before the process got an answer", id, uid)
	}
}

// checkRequest checks what a server was told of a request.
func (env *soakEnvironment) checkReceivedRequest(r *http.Request, now time.Time) {
	id := r.Header.Get("X-Correlation-Id")
	secondsLeft, err := strconv.ParseFloat(r.Header.Get("X-Time-Left"), 64)
	timeLeft := time.Duration(secondsLeft * float64(time.Second))
	env.mu.Lock()
	defer env.mu.Unlock()
	request := env.requests[id]
	if request == nil {
		env.recordViolationLocked(violationAnswer, "request %s is of no client", id)
		return
	}
	if request.receivedCount++; request.receivedCount > 1 && r.Method == http.MethodPost {
		env.recordViolationLocked(violationDuplicate, "request %s", id)
	}
	if err != nil || now.Add(timeLeft).After(request.deadline.Add(150*time.Millisecond+soakMaxLinkDelay+soakSchedulingSlack)) {
		env.recordViolationLocked(violationDeadline, "request %s is told %v with %v left", id, timeLeft, request.deadline.Sub(now))
	}
}

// server is one of the listed servers.
func (env *soakEnvironment) serverHandler(uid string) http.Handler {
	rng := rand.New(rand.NewPCG(uint64(len(uid)), uint64(uid[len(uid)-1])))
	var mu sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		id := r.Header.Get("X-Correlation-Id")
		env.checkSend(uid, id, now)
		mu.Lock()
		outcome := rng.Float64()
		mu.Unlock()
		if outcome < 0.05 {
			w.Header().Set("X-Unprocessed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		env.checkReceivedRequest(r, now)
		switch {
		case outcome < 0.10:
			w.WriteHeader(http.StatusInternalServerError)
			return
		case outcome < 0.13:
			panic(http.ErrAbortHandler)
		case outcome < 0.15:
			<-r.Context().Done()
			return
		case outcome < 0.5:
			time.Sleep(time.Duration(outcome * float64(50*time.Millisecond)))
		}
		fmt.Fprint(w, id)
	})
}

// leaves tells whether a line takes its server out of service.
func isOutOfService(entry standin.Entry) bool { return entry.State != standin.InService }
