package policy

import (
	"slices"
	"time"

	"otterstep/internal/permutation"
	"otterstep/internal/table"
)

// sourcedEntry is an entry of the list with its origin and the time of its receipt.
type sourcedEntry struct {
	Entry
	origin     Origin
	receivedAt time.Duration
}

// listedServer is an entry of the list as the node applies it: one that is held has StateDraining.
type listedServer struct {
	sourcedEntry
	position     uint32        // index of this node in the server's own order of all nodes
	processStart time.Duration // start of the server's process by this node's clock; 0: long ago
}

// serverList holds the entries of all listed servers. What a node measures of a server is in server.
type serverList struct {
	table.Table[ServerID, listedServer]
	inServiceCount      int
	latestProcessStart  time.Duration // latest process start of any server listed so far
	meanCapacityShare   float64       // mean capacity share of the servers in service, as of meanCapacityShareAt
	meanCapacityShareAt time.Duration // time of the latest update of meanCapacityShare; -1: an update is due
}

// update puts a server into the list in place of its former entry. A server that is gone is removed.
func (l *serverList) update(server listedServer) {
	l.meanCapacityShareAt, l.latestProcessStart = -1, max(l.latestProcessStart, server.processStart)
	if old, known := l.Get(server.Server); known && old.State == StateInService {
		l.inServiceCount--
	}
	if server.State == StateInService {
		l.inServiceCount++
	}
	if server.State == StateGone {
		l.Remove(server.Server)
	} else {
		l.Put(server)
	}
}

// ListUpdated applies a list event for a host with one source, whose events come in the order of its versions.
// A host that knows the origins of its lists calls ListUpdatedFrom instead.
func (b *Balancer) ListUpdated(now time.Duration, kind ListKind, entries []Entry) {
	b.ListUpdatedFrom(now, Origin{Source: b.listOrigin.Source, Version: b.listOrigin.Version + 1}, kind, entries)
}

// ListUpdatedFrom applies a list event: it applies lists and changes, and plans calls to discovery. With
// LongPolling the ends of calls are reported by CallEnded. The origin is ignored for events without a list.
func (b *Balancer) ListUpdatedFrom(now time.Duration, origin Origin, kind ListKind, entries []Entry) {
	switch kind {
	case ListFailed:
		b.callFailed(now, b.subscriptionCall(), true, CallEnd{Result: CallFailed})
		return
	case ListSilent:
		b.subscriptionSilent(now)
		return
	case ListAddressChanged:
		b.sourceFollowedSince = now
		b.addressChanged(now)
		return
	case ListPartial, ListOutdated:
		b.applyPartial(now, origin, kind, entries)
		b.listChanged(now)
		return
	case ListCached:
		b.planFirstCall(now, len(entries) > 0)
	}
	since := b.appliedVersion
	b.followSource(now, origin)
	b.appliedVersion = origin.Version
	b.applyList(now, origin, kind, entries, since)
	if kind != ListCached && !b.settings.LongPolling {
		b.callAnswered(now, b.subscriptionCall(), true, true)
	}
	b.listChanged(now)
	if kind != ListCached || !b.settings.ConfirmCachedList {
		b.startServing()
	}
}

// followSource records the origin of the latest answer, whose source the node follows from now on. A source whose
// version goes back counts as another one. Where it goes back repeatedly, as with replicas that answer in turn,
// this happens at most once in maxReplicaLag.
func (b *Balancer) followSource(now time.Duration, origin Origin) {
	goesBack := origin.Version < b.listOrigin.Version && now-b.sourceFollowedSince >= maxReplicaLag
	if origin.Source != b.listOrigin.Source || goesBack {
		b.sourceFollowedSince = now
	}
	b.listOrigin = origin
}

// listChanged adapts requests to a new list: it cancels unsent attempts at servers out of service and dispatches
// the queue.
func (b *Balancer) listChanged(now time.Duration) {
	b.cancelUnsentOutOfService()
	b.scoresUpdatedAt = -1
	b.dispatch(now)
}

// subscriptionCall returns the latest call, which is that of the subscription, also after it was answered.
func (b *Balancer) subscriptionCall() inFlightCall { return inFlightCall{beganAt: b.calls.lastCallAt} }

// cancelUnsentOutOfService cancels unsent attempts, which may wait for a connection, at servers out of service.
func (b *Balancer) cancelUnsentOutOfService() {
	for _, r := range b.activeRequests {
		for i := range r.attempts {
			if a := &r.attempts[i]; a.inFlight && a.server.State != StateInService {
				b.host.CancelUnsent(r.ID, i)
			}
		}
	}
}

// applyList applies a whole list, or the changes since a version, from a whole answer. What a node has measured
// of a server is kept for the same incarnation; a restarted server has no measurements yet.
func (b *Balancer) applyList(now time.Duration, origin Origin, kind ListKind, entries []Entry, since int64) {
	reselect := kind != ListChanges
	accepted := b.AcceptedEntries(now, origin, entries)
	if reselect {
		b.replaceList(now, origin, kind, entries, accepted)
	} else {
		for i, e := range entries {
			reselect = accepted[i] && b.reconcileAndApply(now, origin, kind, e) || reselect
		}
		b.releaseHeld(now, origin, since, entries)
	}
	if reselect || b.needsSubsetResize() {
		b.chooseSubset(now)
	}
}

// replaceList replaces the current list by a whole list. Servers that the whole list does not name are gone.
func (b *Balancer) replaceList(now time.Duration, origin Origin, kind ListKind, entries []Entry, accepted []bool) {
	previous := slices.Clone(b.serverList.Entries)
	applied := make([]sourcedEntry, 0, len(entries))
	for i, e := range entries {
		if accepted[i] {
			applied = append(applied, sourcedEntry{
				Entry: b.reconcileEntry(now, origin, e), origin: origin, receivedAt: now})
		} else if !b.isFormerIncarnation(now, origin, e) {
			continue // another entry for the server is accepted
		} else if entry, isListed := b.serverList.Get(e.Server); isListed {
			applied = append(applied, entry.sourcedEntry)
		}
	}
	b.serverList.Clear()
	b.serverList.inServiceCount, b.nodesPerServer = 0, 0 // no server joins the subset before all are listed
	for _, s := range b.servers {
		s.State = StateGone
	}
	for _, entry := range applied {
		b.applyEntry(now, kind, entry)
	}
	notice := noticeByWholeAnswer
	if len(entries) == 0 {
		notice = noticeByEmptyList
	}
	for _, entry := range previous {
		if _, isNamed := b.serverList.Get(entry.Server); !isNamed {
			b.recordOutOfService(now, origin, entry.Server, entry.StartedAt, notice)
		}
	}
	b.renewUnlistedTombstones(now, origin, notice)
}

// reconcileAndApply applies one entry of changes. It reports whether the subset lost a server by it.
func (b *Balancer) reconcileAndApply(now time.Duration, origin Origin, kind ListKind, e Entry) (lost bool) {
	return b.applyEntry(now, kind,
		sourcedEntry{Entry: b.reconcileEntry(now, origin, e), origin: origin, receivedAt: now})
}

// applyEntry puts an entry into the server list. It reports whether the subset lost a server by it.
func (b *Balancer) applyEntry(now time.Duration, kind ListKind, entry sourcedEntry) (lost bool) {
	e := entry.Entry
	orderKey := uint64(e.Server)
	if b.hasCellDedup {
		orderKey = uint64(e.Cell)
	}
	listed := listedServer{
		sourcedEntry: entry,
		position:     permutation.Position(orderKey, uint32(b.settings.NodeIndex), uint32(b.settings.NodeCount)),
		processStart: b.estimateProcessStart(now, kind, e),
	}
	b.serverList.update(listed)
	s := b.servers[e.Server]
	if s != nil {
		if e.StartedAt != s.StartedAt {
			*s = server{
				randomOffset: s.randomOffset, openDuration: initialOpenDuration,
				inFlight: s.inFlight, inSubset: s.inSubset}
		}
		s.Entry, s.processStart, s.inOwnZone = e, listed.processStart, e.Zone == b.settings.Zone
	}
	switch {
	case s != nil && s.inSubset:
		return e.State != StateInService
	case e.State == StateInService && int(listed.position) < b.nodesPerServer:
		b.addToSubset(listed)
	}
	return false
}
