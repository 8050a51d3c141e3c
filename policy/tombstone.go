package policy

import (
	"maps"
	"math"
	"slices"
	"time"
)

// What a node was told of servers that are out of service, and by whom.
//
// A list is the word of one replica of discovery at one version. The next one may come from a replica that
// lags, from before, or from another service, so it must not undo that a server was told to drain. Each
// server that is told to take no new work leaves a tombstone with the origin of that word. It is lifted by
// a later start of the server, by a later version of the same source, or once any replica must have caught
// up.

const (
	// catchUpMost is how far a replica of discovery may lag behind another one. Discovery tells a change
	// within toldAfter, and a replica that lags by ten times as much is not in service.
	maxReplicaLag = 10 * maxListAge

	// tombstonesKept is how long the tombstone of a server that is not listed is kept, and tombstonesMost
	// bounds their number: as many as a list may have servers.
	tombstoneRetention   = 10 * time.Minute
	minTombstonesToSweep = 1 << 10 // that are kept before any is dropped
	maxTombstones        = 256 << 10
)

// SourceID names a discovery service: versions of equal sources compare. The host chooses it.
type SourceID uint64

// Origin tells who said something of servers: a discovery service, and the version of its list.
type Origin struct {
	Source  SourceID
	Version int64
}

// UnknownVersion is the version of lines that have come ahead of it: none is known to be later.
const UnknownVersion = math.MaxInt64

// tombstone notes that a life of a server, from one start to the next, takes no new work. Each source that
// has told so has to tell otherwise.
type tombstone struct {
	startedAt time.Duration // of the life, as the list tells it
	since     time.Duration // when it was told first
	notices   []notice
}

// notice is the last statement of a source that a life takes no new work.
type notice struct {
	origin  Origin
	heardAt time.Duration
	kind    noticeKind
	stale   bool // it was of an earlier version than the list that the node had from the same source
}

// noticeKind tells by what a server was told to be out of service.
type noticeKind uint8

const (
	noticeByWholeAnswer   noticeKind = iota
	noticeByPartialAnswer            // by a line of an answer that was not whole, or not taken
	noticeByEmptyList                // by a whole list without any server, which the same version may correct
)

// undoneBy tells whether a whole answer that says otherwise, or does not name the server, undoes a notice.
func (n notice) undoneBy(origin Origin) bool {
	corrects := n.kind == noticeByEmptyList && origin.Version == n.origin.Version
	return origin.Source == n.origin.Source && (origin.Version > n.origin.Version || corrects)
}

// confirmedBy tells whether a whole answer that says the same stands for a notice by a part of an answer.
func (n notice) replacedBy(origin Origin) bool {
	versioned := n.origin.Version != UnknownVersion
	return n.kind == noticeByPartialAnswer && n.origin.Source == origin.Source && !(versioned && n.origin.Version > origin.Version)
}

// tombstones holds what was told of servers out of service.
type tombstones struct {
	byServer     map[ServerID]tombstone
	held         map[ServerID]sourcedEntry // lines in service of servers that are out
	sweepAtCount int                       // their number at which old ones are dropped
}

func newTombstones() tombstones {
	return tombstones{byServer: map[ServerID]tombstone{}, held: map[ServerID]sourcedEntry{}, sweepAtCount: minTombstonesToSweep}
}

// OutOfService tells whether a server was told to take no new work, and since when.
func (b *Balancer) OutOfService(server ServerID) (since time.Duration, isOut bool) {
	record, isOut := b.tombstones.byServer[server]
	return record.since, isOut
}

// caughtUp tells whether any replica must know by now what a notice tells: the present source may have
// begun since.
func (b *Balancer) hasCaughtUp(now time.Duration, n notice) bool {
	return now >= max(n.heardAt, b.sourceFollowedSince)+maxReplicaLag
}

// recordOut notes that a life of a server takes no new work: the one that is known, where the line does not date a
// later start.
func (b *Balancer) recordOutOfService(
	now time.Duration, origin Origin, server ServerID, startedAt time.Duration, kind noticeKind,
) {
	if listed, isListed := b.serverList.Get(server); isListed {
		startedAt = max(startedAt, listed.StartedAt)
	}
	record, known := b.tombstones.byServer[server]
	if !known || record.startedAt < startedAt {
		record = tombstone{startedAt: startedAt, since: now}
	}
	next := notice{origin: origin, heardAt: now, kind: kind}
	next.stale = origin.Source == b.listOrigin.Source && origin.Version < b.listOrigin.Version
	isSame := func(n notice) bool { return n.origin.Source == origin.Source && n.kind == kind }
	if i := slices.IndexFunc(record.notices, isSame); i >= 0 {
		next.origin.Version = max(origin.Version, record.notices[i].origin.Version)
		next.stale = next.stale && record.notices[i].stale
	}
	record.notices = append(slices.DeleteFunc(record.notices, func(n notice) bool {
		return isSame(n) || kind == noticeByWholeAnswer && n.replacedBy(origin)
	}), next)
	b.tombstones.byServer[server] = record
	if kind != noticeByPartialAnswer {
		delete(b.tombstones.held, server)
	}
	if len(b.tombstones.byServer) >= b.tombstones.sweepAtCount {
		b.sweepTombstones(now)
	}
}

// lift takes the notices from a tombstone that are undone. It tells whether none is left.
func (b *Balancer) removeNotices(server ServerID, undone func(n notice) bool) bool {
	record := b.tombstones.byServer[server]
	record.notices = slices.DeleteFunc(record.notices, undone)
	if len(record.notices) == 0 {
		delete(b.tombstones.byServer, server)
		return true
	}
	b.tombstones.byServer[server] = record
	return false
}

// renewUnnamed has a whole list tell again that servers are out of service that it does not name.
func (b *Balancer) renewUnlistedTombstones(now time.Duration, origin Origin, kind noticeKind) {
	for server, record := range b.tombstones.byServer {
		if _, isListed := b.serverList.Get(server); !isListed {
			b.recordOutOfService(now, origin, server, record.startedAt, kind)
		}
	}
}

// sweepTombstones drops those that are old, and those of unknown servers if there are very many.
func (b *Balancer) sweepTombstones(now time.Duration) {
	records := b.tombstones.byServer
	tooMany := len(records) >= maxTombstones
	for server, record := range records {
		_, isHeld := b.tombstones.held[server]
		listed, isListed := b.serverList.Get(server)
		isNeeded := isHeld || isListed && listed.State != StateInService
		if !isNeeded && (now-record.since >= tombstoneRetention || tooMany) {
			delete(records, server)
		}
	}
	b.tombstones.sweepAtCount = max(minTombstonesToSweep, min(2*len(records), max(maxTombstones, len(records)*9/8)))
}

// admitLine gives a line of a whole answer as it counts: one that puts a server into service is held while
// its tombstone is in force.
func (b *Balancer) admitEntry(now time.Duration, origin Origin, e Entry) Entry {
	delete(b.tombstones.held, e.Server)
	if e.State != StateInService {
		b.recordOutOfService(now, origin, e.Server, e.StartedAt, noticeByWholeAnswer)
		return e
	}
	if record := b.tombstones.byServer[e.Server]; e.StartedAt > record.startedAt {
		delete(b.tombstones.byServer, e.Server)
	}
	if b.removeNotices(e.Server, func(n notice) bool { return n.undoneBy(origin) || b.hasCaughtUp(now, n) }) {
		return e
	}
	b.tombstones.held[e.Server] = sourcedEntry{Entry: e, origin: origin, heardAt: now}
	b.reportServerHeld(e.Server, b.tombstones.byServer[e.Server].notices[0].origin, origin)
	e.State = StateDraining
	return e
}

// Counted tells which lines of a list or of changes say something: not those about an earlier start of their
// server than the one that is known, as a replica that lags may tell it, and of several lines about a server the
// last one of its latest start.
func (b *Balancer) AcceptedEntries(now time.Duration, origin Origin, entries []Entry) []bool {
	b.followSource(now, origin)
	accepted := make([]bool, len(entries))
	latestIndex := make(map[ServerID]int, len(entries))
	for i, e := range entries {
		if b.isFormerIncarnation(now, origin, e) {
			continue
		}
		if j, isNamed := latestIndex[e.Server]; isNamed {
			if e.StartedAt < entries[j].StartedAt {
				continue
			}
			accepted[j] = false
		}
		accepted[i], latestIndex[e.Server] = true, i
	}
	return accepted
}

// formerLife tells whether a line is about an earlier start of its server than the one that is known.
func (b *Balancer) isFormerIncarnation(now time.Duration, origin Origin, e Entry) bool {
	listed, isListed := b.serverList.Get(e.Server)
	if !isListed || e.StartedAt >= listed.StartedAt || e.StartedAt == 0 && e.State != StateInService {
		return false // a line without a date may be about any start
	}
	isLater := origin.Source == listed.origin.Source && origin.Version > listed.origin.Version
	return !isLater && now < max(listed.heardAt, b.sourceFollowedSince)+maxReplicaLag
}

// releaseHeld puts servers into service that changes of the present source since a version leave as they were:
// notices of earlier answers that were not whole are undone by changes that span their version, and any once
// its source must have caught up.
func (b *Balancer) releaseHeld(now time.Duration, origin Origin, since int64, named []Entry) {
	held := b.tombstones.held
	if len(held) == 0 {
		return
	}
	isNamed := serverSet(named)
	for _, server := range slices.Sorted(maps.Keys(held)) {
		lifted := b.removeNotices(server, func(n notice) bool {
			isSpanned := n.undoneBy(origin) && (n.stale || since < n.origin.Version)
			return n.kind == noticeByPartialAnswer && !isNamed[server] && isSpanned || b.hasCaughtUp(now, n)
		})
		if !lifted {
			continue
		}
		entry := held[server]
		delete(held, server)
		b.applyEntry(now, ListChanges, entry)
	}
}

// leaving takes in what lines take out of service that are of an answer that is not whole, or can't be
// taken: nothing else of it counts. Of a whole list of an earlier version, what it does not name is out too.
func (b *Balancer) applyPartial(now time.Duration, origin Origin, kind ListKind, entries []Entry) {
	lost := false
	for _, e := range entries {
		if e.State != StateInService && !b.isFormerIncarnation(now, origin, e) {
			lost = b.takeOutOfService(now, origin, e.Server, e.StartedAt) || lost
		}
	}
	if kind == ListOutdated {
		lost = b.takeUnnamedOutOfService(now, origin, entries) || lost
	}
	if lost {
		b.chooseSubset(now)
	}
}

// serversOf gives the servers that lines name.
func serverSet(entries []Entry) map[ServerID]bool {
	servers := make(map[ServerID]bool, len(entries))
	for _, entry := range entries {
		servers[entry.Server] = true
	}
	return servers
}

// withdrawUnnamed takes servers out of service that a list does not name.
func (b *Balancer) takeUnnamedOutOfService(now time.Duration, origin Origin, entries []Entry) (lost bool) {
	isNamed := serverSet(entries)
	for _, listed := range slices.Clone(b.serverList.Entries) {
		if !isNamed[listed.Server] {
			lost = b.takeOutOfService(now, origin, listed.Server, listed.StartedAt) || lost
		}
	}
	return lost
}

// withdraw takes a server out of service until a whole answer decides. It tells whether the subset lost it.
func (b *Balancer) takeOutOfService(now time.Duration, origin Origin, server ServerID, startedAt time.Duration) (lost bool) {
	b.recordOutOfService(now, origin, server, startedAt, noticeByPartialAnswer)
	listed, isListed := b.serverList.Get(server)
	if !isListed || listed.State != StateInService {
		return false
	}
	b.tombstones.held[server] = listed.sourcedEntry
	listed.State = StateDraining
	return b.applyEntry(now, ListChanges, listed.sourcedEntry)
}
