package policy

import "time"

// Observer receives decisions that no action of the Host shows, for logs. It decides nothing and must not
// call back into the Balancer.
type Observer interface {
	// CallPlanned reports when discovery is called next, unless an event changes that before, and the list
	// deadline: from then on the node is expected to know what it has not received (0: it has had no answer
	// yet).
	CallPlanned(at, listDeadline time.Duration)
	// ListOverdue reports that there may be a change that the node is expected to know and does not: since the
	// given time, what it has received from discovery is older than the rules allow. It is reported once until
	// the node has received something newer.
	ListOverdue(since time.Duration)
	// BreakerChanged reports the new state of a server's circuit breaker.
	BreakerChanged(server ServerID, state BreakerState)
	// ServerHeld reports that a source lists a server in service that another source, or a later version,
	// reported to be out of service: the server gets no work until the source has caught up.
	ServerHeld(server ServerID, outOrigin, listedOrigin Origin)
}

// Observe sets the observer. Without one, no decision is reported.
func (b *Balancer) Observe(o Observer) { b.observer = o }

// reportCallPlanned tells the observer of the next call.
func (b *Balancer) reportCallPlanned() {
	if b.observer != nil {
		b.observer.CallPlanned(b.calls.nextAt, b.calls.listDeadline)
	}
}

// reportListOverdue tells the observer that the list is overdue.
func (b *Balancer) reportListOverdue() {
	if b.observer != nil {
		b.observer.ListOverdue(b.calls.listDeadline)
	}
}

// reportBreakerChange tells the observer the state of a breaker if it differs from the state before.
func (b *Balancer) reportBreakerChange(s *server, before BreakerState) {
	if b.observer != nil && s.breaker != before {
		b.observer.BreakerChanged(s.Server, s.breaker)
	}
}

// reportServerHeld tells the observer of a server that is listed in service and gets no work.
func (b *Balancer) reportServerHeld(server ServerID, outOrigin, listedOrigin Origin) {
	if b.observer != nil {
		b.observer.ServerHeld(server, outOrigin, listedOrigin)
	}
}
