package policy

import "time"

// Observer is told of decisions that no action shows, for logs. It decides nothing and must not call
// back into the Balancer.
type Observer interface {
	// CallPlanned tells that discovery is called at a time, unless an event changes that before, and
	// from when on what the node has not heard counts as told (0: it has had no answer yet).
	CallPlanned(at, listDeadline time.Duration)
	// ListOverdue tells that a change may count as told that the node does not know: what it has heard from
	// discovery is older than the rules allow, since an instant. It is told once until the node has heard something
	// newer.
	ListOverdue(since time.Duration)
	// BreakerChanged tells the new state of a server's circuit breaker.
	BreakerChanged(server ServerID, state BreakerState)
	// ServerHeld tells that a source lists a server in service that another source, or a later version,
	// has told to be out: it gets no work until the source has caught up.
	ServerHeld(server ServerID, outOrigin, listedOrigin Origin)
}

// Observe sets the observer; without one nobody is told.
func (b *Balancer) Observe(o Observer) { b.observer = o }

// callPlanned tells the observer of the next call.
func (b *Balancer) reportCallPlanned() {
	if b.observer != nil {
		b.observer.CallPlanned(b.calls.nextAt, b.calls.listDeadline)
	}
}

// listOverdue tells the observer of a list that is due.
func (b *Balancer) reportListOverdue() {
	if b.observer != nil {
		b.observer.ListOverdue(b.calls.listDeadline)
	}
}

// breakerChanged tells the observer of a breaker, if it is no longer as it was before.
func (b *Balancer) reportBreakerChange(s *server, before BreakerState) {
	if b.observer != nil && s.breaker != before {
		b.observer.BreakerChanged(s.Server, s.breaker)
	}
}

// serverHeld tells the observer of a server that is listed in service and gets no work.
func (b *Balancer) reportServerHeld(server ServerID, outOrigin, listedOrigin Origin) {
	if b.observer != nil {
		b.observer.ServerHeld(server, outOrigin, listedOrigin)
	}
}
