package node

import (
	"otterstep/policy"
)

// addressOwners records which incarnation a listed address belongs to. Two servers may be listed at one address for a
// while: the process that started last has taken the address of one that has gone, which discovery has not noticed yet.
type addressOwners map[string]serverIncarnation

// claim records an incarnation at its address. If another server has the same address, claim returns the incarnation
// that started earlier, whose process is gone.
func (o addressOwners) claim(incarnation serverIncarnation) (superseded serverIncarnation, supersedes bool) {
	owner, isOwned := o[incarnation.addr]
	if isOwned && owner.startedAt > incarnation.startedAt && owner.id != incarnation.id {
		return incarnation, true
	}
	o[incarnation.addr] = incarnation
	return owner, isOwned && owner.id != incarnation.id && owner.startedAt < incarnation.startedAt
}

// release ends the claim of an incarnation.
func (o addressOwners) release(incarnation serverIncarnation) {
	if o[incarnation.addr] == incarnation {
		delete(o, incarnation.addr)
	}
}

// isSuperseded reports whether a server that started later has the address of an incarnation.
func (o addressOwners) isSuperseded(incarnation serverIncarnation) bool {
	owner, isOwned := o[incarnation.addr]
	return isOwned && owner.id != incarnation.id && owner.startedAt > incarnation.startedAt
}

// applyListUpdate applies a whole list or changes to it to the addresses of servers, and passes the
// update on to the Balancer.
func (l *loop) applyListUpdate(update listUpdate) {
	switch update.kind {
	case policy.ListWhole, policy.ListCached:
		l.replaceServers(update)
	case policy.ListChanges:
		l.changeServers(update)
	}
	l.balancer.ListUpdatedFrom(l.now, update.origin, update.kind, update.entries)
}

// replaceServers replaces the addresses of all servers by those of a whole list. A server whose entry
// the Balancer does not accept keeps its address.
func (l *loop) replaceServers(update listUpdate) {
	previous := l.servers
	l.servers = make(map[policy.ServerID]serverIncarnation, len(update.entries))
	l.addressOwners = make(addressOwners, len(update.entries))
	var dropped []serverIncarnation
	accepted := l.balancer.AcceptedEntries(l.now, update.origin, update.entries)
	for i, entry := range update.entries {
		if accepted[i] {
			dropped = append(dropped, l.setServer(entry, update.endpoints[i])...)
		} else if incarnation, listed := previous[entry.Server]; listed && l.servers[entry.Server] == (serverIncarnation{}) {
			l.servers[entry.Server] = incarnation
			l.addressOwners.claim(incarnation)
		}
	}
	var unlistedAddrs []string
	for id, incarnation := range previous {
		if l.servers[id] != incarnation {
			dropped = append(dropped, incarnation)
		}
		if _, isListed := l.servers[id]; !isListed {
			unlistedAddrs = append(unlistedAddrs, incarnation.addr)
		}
	}
	if len(unlistedAddrs) > 0 {
		l.requestLog.logger.Info("servers not in the whole list", "count", len(unlistedAddrs),
			"endpoints", unlistedAddrs[:min(len(unlistedAddrs), maxLoggedServers)])
	}
	l.dropIncarnations(dropped)
}

// changeServers applies changes to the list. It looks at no unchanged server, because there may be
// very many, and changes often come one by one.
func (l *loop) changeServers(update listUpdate) {
	var dropped []serverIncarnation
	accepted := l.balancer.AcceptedEntries(l.now, update.origin, update.entries)
	for i, entry := range update.entries {
		if !accepted[i] {
			continue
		}
		previous, listed := l.servers[entry.Server]
		dropped = append(dropped, l.setServer(entry, update.endpoints[i])...)
		if listed && l.servers[entry.Server] != previous {
			dropped = append(dropped, previous)
		}
	}
	l.dropIncarnations(dropped)
}

// setServer sets or removes the address of one server. It returns the incarnation whose process is gone, because
// another server has its address.
func (l *loop) setServer(entry policy.Entry, endpoint string) (superseded []serverIncarnation) {
	l.addressOwners.release(l.servers[entry.Server])
	if entry.State == policy.StateGone {
		delete(l.servers, entry.Server)
		return nil
	}
	incarnation := serverIncarnation{entry.Server, endpoint, entry.StartedAt}
	l.servers[entry.Server] = incarnation
	if former, supersedes := l.addressOwners.claim(incarnation); supersedes {
		return []serverIncarnation{former}
	}
	return nil
}

// dropIncarnations closes the idle connections to servers that are gone, have restarted or have
// another address, and cancels the unsent attempts at them. It goes by incarnation, so that a late
// message about an old server does not affect a new one at the same address.
func (l *loop) dropIncarnations(incarnations []serverIncarnation) {
	if len(incarnations) == 0 {
		return
	}
	dropped := make(map[serverIncarnation]bool, len(incarnations))
	for _, incarnation := range incarnations {
		dropped[incarnation] = true
		l.upstream.closeIdle(incarnation)
	}
	for _, r := range l.requests {
		for _, a := range r.attempts {
			if dropped[a.incarnation] {
				l.CancelUnsent(r.id, a.index)
			}
		}
	}
}
