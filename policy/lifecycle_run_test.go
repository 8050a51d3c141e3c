package policy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	lifecycleServers = 2
	lifecycleStartAt = time.Hour // start of the first process

	// The waits are the times that pass in a step. The long one ends shortly before all sources must have caught up.
	shortWait        = time.Second
	longWait         = maxReplicaLag - shortWait/2
	confirmationWait = maxConfirmationWait - shortWait/2
)

// lifecycleAttempt is an attempt that the Balancer has passed to Host.Send.
type lifecycleAttempt struct {
	request   RequestID
	index     int
	server    ServerID
	startedAt time.Duration // incarnation of the server as the Balancer knows it
	cancelled bool
}

// lifecycleHost is the Host of one Balancer. It records the attempts in flight and the timers.
type lifecycleHost struct {
	attempts []*lifecycleAttempt
	timers   []timer
	onSend   func(a *lifecycleAttempt) // called with each attempt that begins

	ignoresCancelUnsent bool
}

// Send implements Host.
func (h *lifecycleHost) Send(id RequestID, server ServerID, _ time.Duration) {
	a := &lifecycleAttempt{request: id, server: server}
	for _, earlier := range h.attempts {
		if earlier.request == id {
			a.index++
		}
	}
	h.attempts = append(h.attempts, a)
	h.onSend(a)
}

// CancelUnsent implements Host.
func (h *lifecycleHost) CancelUnsent(id RequestID, index int) {
	for _, a := range h.attempts {
		if a.request == id && a.index == index && !h.ignoresCancelUnsent {
			a.cancelled = true
		}
	}
}

// SetTimer implements Host.
func (h *lifecycleHost) SetTimer(at time.Duration, token uint64) {
	h.timers = append(h.timers, timer{at, token})
}

// takeDueTimer removes and returns the first timer up to a time.
func (h *lifecycleHost) takeDueTimer(until time.Duration) (next timer, due bool) {
	if len(h.timers) == 0 {
		return timer{}, false
	}
	first := 0
	for i, t := range h.timers {
		if t.at < h.timers[first].at {
			first = i
		}
	}
	if next = h.timers[first]; next.at > until {
		return timer{}, false
	}
	h.timers = slices.Delete(h.timers, first, first+1)
	return next, true
}

// The model ignores the other actions of a Host.

func (h *lifecycleHost) SetWriteDeadline(RequestID, time.Duration) {}
func (h *lifecycleHost) Cancel(RequestID, int)                     {}
func (h *lifecycleHost) Refuse(RequestID, time.Duration, Reason)   {}
func (h *lifecycleHost) Fail(RequestID, Reason)                    {}
func (h *lifecycleHost) MarkReady()                                {}
func (h *lifecycleHost) StartCall(Call)                            {}
func (h *lifecycleHost) CancelCall(CallID)                         {}

// mutation is a simulated fault of the code, which the model has to find.
type mutation struct {
	changeUpdate        func(update listUpdate) listUpdate // changes an update on its way to the Balancer; may be nil
	ignoresCancelUnsent bool                               // the host does not carry out CancelUnsent
}

// lifecycleRun runs the process of a node, and those that replace it at restarts, with updates of a list. It sends
// requests after each update and collects the violations of rules.
type lifecycleRun struct {
	settings     Settings
	mutation     mutation
	balancer     *Balancer
	host         *lifecycleHost
	now          time.Duration
	lastRequest  RequestID
	openRequests []RequestID

	safety     *lifecycleChecker // checks what may be sent
	liveness   *lifecycleChecker // checks what has to be sent
	violations []ruleViolation
}

// lifecycleSettings returns the settings of a node that works with each server, and for which restarted servers
// are never cold.
func lifecycleSettings(onRequest bool) Settings {
	settings := testSettings()
	settings.ListOnRequest, settings.ConfirmCachedList = onRequest, true
	settings.Rules.ColdCapacityShare = 1
	return settings
}

// newLifecycleRun returns a run with no process yet; restart starts the first one.
func newLifecycleRun(onRequest bool, mutation mutation) *lifecycleRun {
	return &lifecycleRun{settings: lifecycleSettings(onRequest), mutation: mutation, now: lifecycleStartAt}
}

// restart ends the process and starts another one with a cached list.
func (r *lifecycleRun) restart(cached listUpdate) {
	r.host = &lifecycleHost{onSend: r.checkSend, ignoresCancelUnsent: r.mutation.ignoresCancelUnsent}
	r.openRequests = r.openRequests[:0]
	balancer, err := New(r.settings, 1, r.host)
	if err != nil {
		panic(err) // the settings of the model are valid
	}
	r.balancer = balancer
	r.safety = newLifecycleChecker(r.now, r.settings.ListOnRequest, startsAtAddressChange)
	r.liveness = newLifecycleChecker(r.now, r.settings.ListOnRequest, startsAtFirstAnswer)
	r.deliver(cached)
}

// deliver passes an update to the Balancer and checks what the Balancer does with it.
func (r *lifecycleRun) deliver(update listUpdate) {
	r.safety.apply(r.now, update)
	r.liveness.apply(r.now, update)
	if r.mutation.changeUpdate != nil {
		update = r.mutation.changeUpdate(update)
	}
	r.balancer.ListUpdatedFrom(r.now, update.origin, update.kind, update.entries)
	r.checkCancellations()
	r.endRequests()
	r.probe()
}

// wait advances the time.
func (r *lifecycleRun) wait(span time.Duration) {
	r.endRequests()
	end := r.now + span
	for {
		next, due := r.host.takeDueTimer(end)
		if !due {
			break
		}
		r.now = max(r.now, next.at)
		r.balancer.TimerFired(r.now, next.token)
	}
	r.now = end
	r.probe()
}

// probe sends a request for each server. A server that takes work gets one of them, as each has room for one.
func (r *lifecycleRun) probe() {
	for range lifecycleServers {
		r.lastRequest++
		r.openRequests = append(r.openRequests, r.lastRequest)
		r.balancer.RequestArrived(r.now, Request{ID: r.lastRequest, TimeLeft: r.settings.Classes[0].Deadline})
	}
	for server := ServerID(1); server <= lifecycleServers; server++ {
		startedAt, required := r.mustGetWork(server)
		if !required {
			continue
		}
		isAttemptThere := func(a *lifecycleAttempt) bool { return a.server == server && a.startedAt == startedAt }
		if !slices.ContainsFunc(r.host.attempts, isAttemptThere) {
			r.recordViolation(inServiceWithoutWork, server, startedAt)
		}
	}
}

// mustGetWork reports whether a server has to get work, and which incarnation of it. Where the checkers differ, it does
// not have to.
func (r *lifecycleRun) mustGetWork(server ServerID) (startedAt time.Duration, required bool) {
	startedAt, required = r.liveness.mustGetWork(r.now, server)
	safetyStartedAt, mayBeRequired := r.safety.mustGetWork(r.now, server)
	return startedAt, required && mayBeRequired && startedAt == safetyStartedAt
}

// endRequests has the clients of all open requests disconnect. Attempts that were cancelled unsent end as not
// sent.
func (r *lifecycleRun) endRequests() {
	for _, id := range r.openRequests {
		r.balancer.ClientDisconnected(r.now, id)
	}
	r.openRequests = r.openRequests[:0]
	for _, a := range r.host.attempts {
		status := Cancelled
		if a.cancelled {
			status = NotSent
		}
		r.balancer.AttemptEnded(r.now, Outcome{ID: a.request, Attempt: a.index, Server: a.server, Status: status, RequestDone: true})
	}
	r.host.attempts = r.host.attempts[:0]
}

// checkSend checks an attempt that begins.
func (r *lifecycleRun) checkSend(a *lifecycleAttempt) {
	entry, isListed := r.balancer.serverList.Get(a.server)
	if !isListed {
		r.recordViolation(sentToUnlisted, a.server, 0)
		return
	}
	a.startedAt = entry.StartedAt
	if kind := r.safety.checkSend(r.now, a.server, a.startedAt); kind != noViolation {
		r.recordViolation(kind, a.server, a.startedAt)
	}
}

// checkCancellations checks which attempts an update has cancelled.
func (r *lifecycleRun) checkCancellations() {
	for _, a := range r.host.attempts {
		startedAt, required := r.mustGetWork(a.server)
		switch {
		case !a.cancelled && r.safety.isOutOfService(a.server, a.startedAt):
			r.recordViolation(notCancelledOutOfService, a.server, a.startedAt)
		case a.cancelled && required && startedAt == a.startedAt:
			r.recordViolation(cancelledInService, a.server, a.startedAt)
		}
	}
}

// recordViolation records that a rule was violated.
func (r *lifecycleRun) recordViolation(kind violationKind, server ServerID, startedAt time.Duration) {
	r.violations = append(r.violations, ruleViolation{kind: kind, at: r.now - lifecycleStartAt, server: server, startedAt: startedAt})
}

// writeState writes all that later results depend on: two runs with equal states continue in the same way. It leaves out
// what the Balancer learns of servers by outcomes, as all outcomes are alike.
func (r *lifecycleRun) writeState(text *strings.Builder) {
	b := r.balancer
	fmt.Fprint(text, r.now, b.listOrigin, b.sourceFollowedSince, b.readyReported, b.serving)
	for server := ServerID(1); server <= lifecycleServers; server++ {
		entry, isListed := b.serverList.Get(server)
		fmt.Fprint(text, "|", isListed, entry.Entry, entry.origin, entry.receivedAt)
	}
	fmt.Fprint(text, "|", b.tombstones)
	timers := slices.Clone(r.host.timers)
	slices.SortFunc(timers, func(x, y timer) int {
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.token, y.token))
	})
	for _, t := range timers {
		if t.token != tokenSweep && t.token != tokenCall {
			fmt.Fprint(text, "|", t)
		}
	}
	r.safety.writeState(text)
	r.liveness.writeState(text)
}
