package policy

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Servers that were reported to be out of service, and the sources that reported it.
//
// A list is what one replica of discovery reports at one version. The next list may come from a replica that
// lags, from an earlier time or from another service, so it must not undo the drain of a server. Each server that
// is reported to be out of service gets a tombstone with the origin of that notice. The tombstone is removed by a
// later start of the server, by a later version of the same source, or once every replica must have caught up.

const (
	// maxReplicaLag is the longest time by which a replica of discovery may lag behind another one. Discovery
	// reports a change within maxListAge, and a replica that lags by ten times as much is not in operation.
	maxReplicaLag = 10 * maxListAge

	// tombstoneRetention is the time for which the tombstone of a server that is not listed is kept. maxTombstones
	// limits the number of tombstones to as many as a list may have servers.
	tombstoneRetention   = 10 * time.Minute
	minTombstonesToSweep = 1 << 10 // number of tombstones below which none is dropped
	maxTombstones        = 256 << 10
)

// SourceID identifies a discovery service. Versions compare only where their sources are equal. The host
// chooses it.
type SourceID uint64

// Origin is where an entry or a list comes from: a discovery service and the version of its list.
type Origin struct {
	Source  SourceID
	Version int64
}

// UnknownVersion is the version of entries that arrive before their version: no version is known to be later.
const UnknownVersion = math.MaxInt64

// tombstone records that an incarnation of a server, from one start to the next, is out of service. Each source
// that has reported this has to revoke it.
type tombstone struct {
	startedAt time.Duration // start of the incarnation, as given by the list
	since     time.Duration // time of the first notice
	notices   []notice      // the last notice of each source and kind
}

// notice is the last report of a source, of one kind, that an incarnation is out of service.
type notice struct {
	origin     Origin
	receivedAt time.Duration
	kind       noticeKind
	stale      bool // its version is earlier than that of the list that the node had from the same source
}

// noticeKind is the kind of answer that reported a server to be out of service.
type noticeKind uint8

const (
	noticeByWholeAnswer   noticeKind = iota // an entry of a whole answer, or a whole list without the server
	noticeByPartialAnswer                   // an incomplete or unusable answer, or a whole list of an earlier version
	noticeByEmptyList                       // a whole list without any server, which the same version may correct
)

// undoneBy reports whether a whole answer with an origin undoes the notice, if it contradicts the notice or does
// not name the server.
func (n notice) undoneBy(origin Origin) bool {
	corrects := n.kind == noticeByEmptyList && origin.Version == n.origin.Version
	return origin.Source == n.origin.Source && (origin.Version > n.origin.Version || corrects)
}

// replacedBy reports whether a whole answer with an origin replaces the notice, if it reports the same and the
// notice is by a partial answer.
func (n notice) replacedBy(origin Origin) bool {
	versioned := n.origin.Version != UnknownVersion
	return n.kind == noticeByPartialAnswer && n.origin.Source == origin.Source &&
		!(versioned && n.origin.Version > origin.Version)
}

// tombstones holds the tombstones of servers and the entries held under them.
type tombstones struct {
	byServer     map[ServerID]tombstone
	held         map[ServerID]sourcedEntry // entries that list a server in service and are held under its tombstone
	sweepAtCount int                       // number of tombstones at which old ones are dropped
}

// newTombstones returns an empty set of tombstones.
func newTombstones() tombstones {
	return tombstones{
		byServer: map[ServerID]tombstone{}, held: map[ServerID]sourcedEntry{}, sweepAtCount: minTombstonesToSweep}
}

// OutOfService reports whether a server was reported to be out of service, and since when.
func (b *Balancer) OutOfService(server ServerID) (since time.Duration, isOut bool) {
	record, isOut := b.tombstones.byServer[server]
	return record.since, isOut
}

// replicasHaveCaughtUp reports whether every replica must know by now what a notice reports. The time for that
// counts from the notice or from sourceFollowedSince, whichever is later.
func (b *Balancer) replicasHaveCaughtUp(now time.Duration, n notice) bool {
	return now >= max(n.receivedAt, b.sourceFollowedSince)+maxReplicaLag
}

// recordOutOfService records that an incarnation of a server is out of service: the listed one, unless the given
// start is later.
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
	next := notice{origin: origin, receivedAt: now, kind: kind}
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

// removeNotices removes the notices that are undone from the tombstone of a server, and the tombstone with the last
// of them. It reports whether none is left.
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

// renewUnlistedTombstones records that a whole list confirms the tombstones of servers that it does not name.
func (b *Balancer) renewUnlistedTombstones(now time.Duration, origin Origin, kind noticeKind) {
	for server, record := range b.tombstones.byServer {
		if _, isListed := b.serverList.Get(server); !isListed {
			b.recordOutOfService(now, origin, server, record.startedAt, kind)
		}
	}
}

// sweepTombstones drops tombstones that no held or listed entry needs: the old ones or, where there are too many,
// all of them.
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

// reconcileEntry returns an entry of a whole answer as the node applies it: one that lists a server in service is
// held while the server has a tombstone, and applied as if the server were draining.
func (b *Balancer) reconcileEntry(now time.Duration, origin Origin, e Entry) Entry {
	delete(b.tombstones.held, e.Server)
	if e.State != StateInService {
		b.recordOutOfService(now, origin, e.Server, e.StartedAt, noticeByWholeAnswer)
		return e
	}
	if record := b.tombstones.byServer[e.Server]; e.StartedAt > record.startedAt {
		delete(b.tombstones.byServer, e.Server)
	}
	if b.removeNotices(e.Server, func(n notice) bool { return n.undoneBy(origin) || b.replicasHaveCaughtUp(now, n) }) {
		return e
	}
	b.tombstones.held[e.Server] = sourcedEntry{Entry: e, origin: origin, receivedAt: now}
	b.reportServerHeld(e.Server, b.tombstones.byServer[e.Server].notices[0].origin, origin)
	e.State = StateDraining
	return e
}

// AcceptedEntries reports which entries of a list or of changes the Balancer accepts. It rejects an entry about
// an earlier incarnation than the listed one, which a replica that lags may send. Of several entries for a server
// it accepts the last one about the latest incarnation. The source of the entries is followed from now on.
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

// isFormerIncarnation reports whether an entry is about an earlier incarnation of its server than the listed one.
func (b *Balancer) isFormerIncarnation(now time.Duration, origin Origin, e Entry) bool {
	listed, isListed := b.serverList.Get(e.Server)
	if !isListed || e.StartedAt >= listed.StartedAt || e.StartedAt == 0 && e.State != StateInService {
		return false // an entry without a start time may be about any start
	}
	isLater := origin.Source == listed.origin.Source && origin.Version > listed.origin.Version
	return !isLater && now < max(listed.receivedAt, b.sourceFollowedSince)+maxReplicaLag
}

// releaseHeld puts held servers back into service after changes of the current source since a version. The changes
// undo notices by earlier partial answers about servers that the changes do not name, if they span the version of
// the notice. Notices that every replica must know by now are undone in any case.
func (b *Balancer) releaseHeld(now time.Duration, origin Origin, since int64, named []Entry) {
	held := b.tombstones.held
	if len(held) == 0 {
		return
	}
	isNamed := serverSet(named)
	for _, server := range slices.Sorted(maps.Keys(held)) {
		isReleased := b.removeNotices(server, func(n notice) bool {
			isSpanned := n.undoneBy(origin) && (n.stale || since < n.origin.Version)
			return n.kind == noticeByPartialAnswer && !isNamed[server] && isSpanned || b.replicasHaveCaughtUp(now, n)
		})
		if !isReleased {
			continue
		}
		entry := held[server]
		delete(held, server)
		b.applyEntry(now, ListChanges, entry)
	}
}

// applyPartial applies the entries of a partial answer that take servers out of service, and ignores the others. A
// whole list of an earlier version also takes the servers that it does not name out of service.
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

// serverSet returns the set of servers that entries name.
func serverSet(entries []Entry) map[ServerID]bool {
	servers := make(map[ServerID]bool, len(entries))
	for _, entry := range entries {
		servers[entry.Server] = true
	}
	return servers
}

// takeUnnamedOutOfService takes servers out of service that a list does not name. It reports whether the subset
// lost one.
func (b *Balancer) takeUnnamedOutOfService(now time.Duration, origin Origin, entries []Entry) (lost bool) {
	isNamed := serverSet(entries)
	for _, listed := range slices.Clone(b.serverList.Entries) {
		if !isNamed[listed.Server] {
			lost = b.takeOutOfService(now, origin, listed.Server, listed.StartedAt) || lost
		}
	}
	return lost
}

// takeOutOfService takes a server out of service until a whole answer lists it in service or not, and holds its
// entry. It reports whether the subset lost the server.
func (b *Balancer) takeOutOfService(
	now time.Duration, origin Origin, server ServerID, startedAt time.Duration) (lost bool) {
	b.recordOutOfService(now, origin, server, startedAt, noticeByPartialAnswer)
	listed, isListed := b.serverList.Get(server)
	if !isListed || listed.State != StateInService {
		return false
	}
	b.tombstones.held[server] = listed.sourcedEntry
	listed.State = StateDraining
	return b.applyEntry(now, ListChanges, listed.sourcedEntry)
}
