package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"otterstep/internal/standin"
)

// soakChange is a change of a server's state.
type soakChange struct {
	uid            string
	state          string
	madeAt         time.Time
	noticeDeadline time.Time // time by which a node has to know the change

	mustBeKnown bool // discovery was reachable for soakMinReachableTime after it, so no later outage excuses the node
}

// soakAddress is an address of discovery: a replica behind a link whose faults can be set.
type soakAddress struct {
	number  int
	replica *standin.Replica
	link    *standin.Proxy
	lag     time.Duration
}

// soakOutage is a span of time in which discovery cannot be reached.
type soakOutage struct{ from, to time.Time }

// soakRequest records a client's request.
type soakRequest struct {
	deadline      time.Time // time at which the client's time is over
	processNumber int       // number of the process that the request was sent to
	receivedCount int       // number of times that a server received the request
}

// soakEnvironment holds the stand-ins and the state that they share. It checks each request that reaches a server.
type soakEnvironment struct {
	t             *testing.T
	rng           *rand.Rand // used by the timeline only
	history       *standin.History
	addresses     []*soakAddress
	serverLinks   []*standin.Proxy // links to the servers
	isPushed      bool             // whether an agent pushes the list; the node has to know its changes at once
	fleetSize     int              // number of nodes in the settings
	appliedFaults []string         // names of the faults so far

	changeMu sync.Mutex // serializes changes of server states

	mu               sync.Mutex
	configured       *soakAddress // address that the configuration names
	changes          []soakChange
	outageSince      time.Time       // start of the present outage, zero if discovery is reachable
	pastOutages      []soakOutage    // outages that have ended
	addressChangedAt time.Time       // time of the latest change of the configured address
	processStarts    []time.Time     // start times of all processes
	deliveries       deliveryChecker // what discovery has written to the present process
	processNumber    int             // number of the present process
	requests         map[string]*soakRequest
	pressingPosts    map[string]int // how often each POST of a pressing client was received
	violations       []soakViolation
	timeline         []string // events for the report of a failure
}

// recordEvent adds an event to the timeline.
func (env *soakEnvironment) recordEvent(format string, args ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.timeline = append(env.timeline, withTimestamp(format, args...))
}

// recordStalls records when the test's own process stalls. The node does not cause delays at such times.
func (env *soakEnvironment) recordStalls(ctx context.Context) {
	const interval, threshold = 20 * time.Millisecond, 300 * time.Millisecond
	for ctx.Err() == nil {
		startedAt := time.Now()
		time.Sleep(interval)
		if took := time.Since(startedAt); took > threshold {
			env.recordEvent("the test process stalled for %v", took)
		}
	}
}

// configuredAddress returns the address that the configuration names.
func (env *soakEnvironment) configuredAddress() *soakAddress {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.configured
}

// setServerState puts a server into a state. If restarted is set, the server has restarted; a server that
// returns without a restart has had its drain cancelled.
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
	env.recordEvent("server %s is %s, boot_ms %d", uid, state, entry.BootMs)
}

// recordChange records a change and when a node has to know it.
func (env *soakEnvironment) recordChange(uid, state string, madeAt time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	visibleAt := madeAt.Add(env.configured.lag)
	env.changes = append(env.changes, soakChange{uid: uid, state: state, madeAt: madeAt, noticeDeadline: env.noticeDeadline(visibleAt)})
}

// noticeDeadline returns when a node has to know a change that its address of discovery has since visibleAt.
func (env *soakEnvironment) noticeDeadline(visibleAt time.Time) time.Time {
	if env.isPushed {
		return visibleAt
	}
	return visibleAt.Add(maxListAge)
}

// recordOutageStart records that discovery cannot be reached from now on. Until it can, the node need not know changes
// whose deadline has not passed, except those that a small fleet in on-request mode could learn of in
// soakMinReachableTime before the outage.
func (env *soakEnvironment) recordOutageStart(at time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.outageSince = at
	reachableSince := at.Add(-soakMinReachableTime)
	if env.isPushed || env.fleetSize > soakSmallFleetMaxNodes ||
		env.addressChangedAt.After(reachableSince) || env.lastOutageEnd().After(reachableSince) {
		return
	}
	for i, change := range env.changes {
		if !change.madeAt.Add(env.configured.lag).After(reachableSince) {
			env.changes[i].mustBeKnown = true
		}
	}
}

// lastOutageEnd returns when the latest past outage ended, zero if there was none. The caller holds env.mu.
func (env *soakEnvironment) lastOutageEnd() time.Time {
	if len(env.pastOutages) == 0 {
		return time.Time{}
	}
	return env.pastOutages[len(env.pastOutages)-1].to
}

// recordOutageEnd records that discovery can be reached again. A node has to know what discovery has maxListAge
// later, or at once if an agent pushes the list.
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

// recordReload records that a new configuration names another address of discovery. A node has to know what
// that address has maxAddressChangeDelay after the reload, also in pushed mode, in which it otherwise has to know
// at once what the agent has. For a change that the address gets only later, the time counts from then on.
func (env *soakEnvironment) recordReload(reloadedAt time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for i, change := range env.changes {
		visibleAt, deadline := change.madeAt.Add(env.configured.lag), reloadedAt.Add(maxAddressChangeDelay)
		settledBefore := reloadedAt // deadlines before this time were met with the former address
		if env.isPushed && visibleAt.After(reloadedAt) {
			// The process may not have read a change that was pushed just before the reload, and the new address does
			// not repeat it at once.
			settledBefore = reloadedAt.Add(-maxUnreadTime)
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

// maySendTo reports whether a node may send to a server at a time. It may if the latest change has the server in
// service, or if there is a change of the server that the node need not know yet.
func (env *soakEnvironment) maySendTo(uid string, at time.Time) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	state := standin.InService
	for _, change := range env.changes {
		if change.uid != uid {
			continue
		}
		if change.noticeDeadline.Add(drainGrace+soakSchedulingSlack).After(at) ||
			!env.outageSince.IsZero() && !change.mustBeKnown && !change.noticeDeadline.Before(env.outageSince) {
			return true // the node may or may not know this change
		}
		state = change.state
	}
	return state == standin.InService
}

// recordProcessStart records that a process starts with a known list in its configuration.
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
			// The lagging agent does not have the change yet, and nothing else notifies the new process of it.
			env.changes[i].noticeDeadline = visibleAt
		}
	}
}

// recordAddressChange records that the configuration names another address from now on.
func (env *soakEnvironment) recordAddressChange(next *soakAddress, at time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.configured, env.addressChangedAt = next, at
	env.deliveries.recordAddressChange(next, at)
}

// setLinkFault sets the fault of the link to an address. It records the change both before and after it takes
// effect, so that nothing written in between counts as sure to arrive.
func (env *soakEnvironment) setLinkFault(address *soakAddress, fault standin.LinkFault) {
	env.mu.Lock()
	env.deliveries.recordLinkChange(address, fault, time.Now())
	env.mu.Unlock()
	address.link.SetFault(fault)
	env.mu.Lock()
	defer env.mu.Unlock()
	env.deliveries.recordLinkChange(address, fault, time.Now())
}

// checkSend checks whether the node was allowed to send a request that a server has received.
func (env *soakEnvironment) checkSend(uid, id string, receivedAt time.Time) {
	sentAt := receivedAt.Add(-soakMaxLinkDelay)
	if !env.maySendTo(uid, sentAt) {
		env.recordViolation(violationDrain, "request %s went to %s, which the node has to know to be out of service", id, uid)
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	request := env.requests[id]
	if request == nil || request.processNumber != env.processNumber {
		return // checkReceivedRequest reports unknown requests; the others are of a process that has ended
	}
	if reason, isForbidden := env.deliveries.forbidsSend(uid, sentAt, receivedAt); isForbidden {
		env.recordViolationLocked(violationWritten,
			"request %s went to %s, which was written to the process as out of service: %s", id, uid, reason)
	}
	if env.isPushed && !env.deliveries.isConfirmed {
		env.recordViolationLocked(violationUnconfirmed,
			"request %s went to %s before the process got a complete answer from its agent", id, uid)
	}
}

// checkReceivedRequest checks that a request is a client's, reaches a server only once if it is a POST, and
// states no more time than its client has left.
func (env *soakEnvironment) checkReceivedRequest(r *http.Request, now time.Time) {
	id := r.Header.Get("X-Correlation-Id")
	secondsLeft, err := strconv.ParseFloat(r.Header.Get("X-Time-Left"), 64)
	timeLeft := time.Duration(secondsLeft * float64(time.Second))
	env.mu.Lock()
	defer env.mu.Unlock()
	if isPressing(id) {
		env.checkPressingRequest(r, id)
		return
	}
	request := env.requests[id]
	if request == nil {
		env.recordViolationLocked(violationAnswer, "request %s was sent by no client", id)
		return
	}
	if request.receivedCount++; request.receivedCount > 1 && r.Method == http.MethodPost {
		env.recordViolationLocked(violationDuplicate, "request %s was received more than once", id)
	}
	if err != nil || now.Add(timeLeft).After(request.deadline.Add(150*time.Millisecond+soakMaxLinkDelay+soakSchedulingSlack)) {
		env.recordViolationLocked(violationDeadline, "request %s states X-Time-Left %v, its client has %v left",
			id, timeLeft, request.deadline.Sub(now))
	}
}

// serverHandler returns the handler of a listed server, which answers in ways drawn at random.
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
			if _, err := io.Copy(io.Discard, r.Body); err == nil { // net/http sees the end of a connection only behind the body
				<-r.Context().Done()
			}
			return
		case outcome < 0.5:
			time.Sleep(time.Duration(outcome * float64(50*time.Millisecond)))
		}
		fmt.Fprint(w, id)
	})
}

// isOutOfService reports whether an entry takes its server out of service.
func isOutOfService(entry standin.Entry) bool { return entry.State != standin.InService }
