package policy

import "time"

// Observer receives decisions that no action of the Host shows, for logs. It has no influence on decisions and must
// not call back into the Balancer.
type Observer interface {
	// CallPlanned reports when discovery is called next, unless an event changes that before, and the list
	// deadline, from which on the list is overdue unless discovery has answered (0: no answer yet).
	CallPlanned(at, listDeadline time.Duration)
	// ListOverdue reports that there may be a change that the node has to know and does not: since the given time,
	// what it has received from discovery is older than the rules allow. It is reported once until the node has
	// received something newer.
	ListOverdue(since time.Duration)
	// BreakerChanged reports the new state of a server's circuit breaker.
	BreakerChanged(server ServerID, state BreakerState)
	// ServerHeld reports that a source lists a server in service that another source, or a later version,
	// reported to be out of service: the server gets no requests until the source has caught up.
	ServerHeld(server ServerID, outOrigin, listedOrigin Origin)
}

// Observe sets the observer. Without one, no decision is reported.
func (b *Balancer) Observe(o Observer) { b.observer = o }

// reportCallPlanned reports the next call to the observer.
func (b *Balancer) reportCallPlanned() {
	if b.observer != nil {
		b.observer.CallPlanned(b.calls.nextAt, b.calls.listDeadline)
	}
}

// reportListOverdue reports to the observer that the list is overdue.
func (b *Balancer) reportListOverdue() {
	if b.observer != nil {
		b.observer.ListOverdue(b.calls.listDeadline)
	}
}

// reportBreakerChange reports the state of a breaker to the observer if it differs from the state before.
func (b *Balancer) reportBreakerChange(s *server, before BreakerState) {
	if b.observer != nil && s.breaker != before {
		b.observer.BreakerChanged(s.Server, s.breaker)
	}
}

// reportServerHeld reports to the observer that an entry which lists a server in service is held.
func (b *Balancer) reportServerHeld(server ServerID, outOrigin, listedOrigin Origin) {
	if b.observer != nil {
		b.observer.ServerHeld(server, outOrigin, listedOrigin)
	}
}
