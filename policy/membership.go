package policy

import (
	"slices"
	"time"

	"otterstep/internal/permutation"
	"otterstep/internal/table"
)

// statement is a line of the list with its origin.
type sourcedEntry struct {
	Entry
	origin  Origin
	heardAt time.Duration
}

// listed is a line of the list as it counts.
type listedServer struct {
	sourcedEntry
	position     uint32        // of this node in the server's own order of all nodes
	processStart time.Duration // by this node's clock; 0: for long
}

// directory keeps what the list says of every server; what a node finds out is in server.
type serverList struct {
	table.Table[ServerID, listedServer]
	inServiceCount     int
	latestProcessStart time.Duration // the latest of any server listed so far
	meanCapacityShare  float64       // of their capacity that the ready servers have, as of sharesAt
	meanShareAt        time.Duration
}

// update takes in one line of a list; one for a server that is gone removes it.
func (d *serverList) update(server listedServer) {
	d.meanShareAt, d.latestProcessStart = -1, max(d.latestProcessStart, server.processStart)
	if old, known := d.Get(server.Server); known && old.State == StateInService {
		d.inServiceCount--
	}
	if server.State == StateInService {
		d.inServiceCount++
	}
	if server.State == StateGone {
		d.Remove(server.Server)
	} else {
		d.Put(server)
	}
}

// Members follows the server list for a host with one source, whose events come in the order of its
// versions. MembersFrom is the same for a host that knows the origin of what it is told.
func (b *Balancer) ListUpdated(now time.Duration, kind ListKind, entries []Entry) {
	b.ListUpdatedFrom(now, Origin{Source: b.listOrigin.Source, Version: b.listOrigin.Version + 1}, kind, entries)
}

// MembersFrom follows the server list: it takes lists and changes in, and has the list called for. With
// LongPoll what becomes of calls is told by CallEnded. The origin counts where there are entries.
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
	since := b.changesBase
	b.followSource(now, origin)
	b.changesBase = origin.Version
	b.applyList(now, origin, kind, entries, since)
	if kind != ListCached && !b.settings.LongPolling {
		b.callAnswered(now, b.subscriptionCall(), true, true)
	}
	b.listChanged(now)
	if kind != ListCached || !b.settings.ConfirmCachedList {
		b.startServing()
	}
}

// follow takes note of the source that is followed from now on. One whose versions go back counts as another
// one; where they go back again and again, as of replicas that take turns, once in catchUpMost.
func (b *Balancer) followSource(now time.Duration, origin Origin) {
	goesBack := origin.Version < b.listOrigin.Version && now-b.sourceFollowedSince >= maxReplicaLag
	if origin.Source != b.listOrigin.Source || goesBack {
		b.sourceFollowedSince = now
	}
	b.listOrigin = origin
}

// listChanged has requests go by the list as it is now.
func (b *Balancer) listChanged(now time.Duration) {
	b.cancelUnsentOutOfService()
	b.scoresUpdatedAt = -1
	b.dispatch(now)
}

// subscription gives the latest call for one, also after it was answered.
func (b *Balancer) subscriptionCall() inFlightCall { return inFlightCall{began: b.calls.lastCallAt} }

// takeBack withdraws what may still wait for a connection to a server that takes no new work.
func (b *Balancer) cancelUnsentOutOfService() {
	for _, r := range b.activeRequests {
		for i := range r.attempts {
			if a := &r.attempts[i]; a.inFlight && a.server.State != StateInService {
				b.host.CancelUnsent(r.ID, i)
			}
		}
	}
}

// list applies a list or the changes to one since a version, by a whole answer. What a server was found to be is kept
// while it stays the same process; a restart makes it unmeasured again.
func (b *Balancer) applyList(now time.Duration, origin Origin, kind ListKind, entries []Entry, since int64) {
	reselect := kind != ListChanges
	accepted := b.AcceptedEntries(now, origin, entries)
	if reselect {
		b.replaceList(now, origin, kind, entries, accepted)
	} else {
		for i, e := range entries {
			reselect = accepted[i] && b.admitAndApply(now, origin, kind, e) || reselect
		}
		b.releaseHeld(now, origin, since, entries)
	}
	if reselect || b.needsSubsetResize() {
		b.chooseSubset(now)
	}
}

// replace puts a whole list in place of the one before. What it does not name is gone.
func (b *Balancer) replaceList(now time.Duration, origin Origin, kind ListKind, entries []Entry, accepted []bool) {
	previous := slices.Clone(b.serverList.Entries)
	applied := make([]sourcedEntry, 0, len(entries))
	for i, e := range entries {
		if accepted[i] {
			applied = append(applied, sourcedEntry{Entry: b.admitEntry(now, origin, e), origin: origin, heardAt: now})
		} else if !b.isFormerIncarnation(now, origin, e) {
			continue // another line about the server counts
		} else if entry, isListed := b.serverList.Get(e.Server); isListed {
			applied = append(applied, entry.sourcedEntry)
		}
	}
	b.serverList.Clear()
	b.serverList.inServiceCount, b.nodesPerServer = 0, 0 // none is worked with before all are known
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
		if _, named := b.serverList.Get(entry.Server); !named {
			b.recordOutOfService(now, origin, entry.Server, entry.StartedAt, notice)
		}
	}
	b.renewUnlistedTombstones(now, origin, notice)
}

// take takes in one line of changes. It tells whether the subset lost a server by it.
func (b *Balancer) admitAndApply(now time.Duration, origin Origin, kind ListKind, e Entry) (lost bool) {
	return b.applyEntry(now, kind, sourcedEntry{Entry: b.admitEntry(now, origin, e), origin: origin, heardAt: now})
}

// update puts a line into the directory. It tells whether the subset lost a server by it.
func (b *Balancer) applyEntry(now time.Duration, kind ListKind, entry sourcedEntry) (lost bool) {
	e := entry.Entry
	orderKey := uint64(e.Server)
	if b.hasCellDedup {
		orderKey = uint64(e.Cell)
	}
	listed := listedServer{
		sourcedEntry: entry, position: permutation.Position(orderKey, uint32(b.settings.NodeIndex), uint32(b.settings.NodeCount)),
		processStart: b.estimateProcessStart(now, kind, e),
	}
	b.serverList.update(listed)
	s := b.servers[e.Server]
	if s != nil {
		if e.StartedAt != s.StartedAt {
			*s = server{roundingOffset: s.roundingOffset, openDuration: initialOpenDuration, inFlight: s.inFlight, inSubset: s.inSubset}
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
