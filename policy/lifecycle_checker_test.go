package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// sourceStartRule determines from when on a checker counts a source as the current one. The interface reports the
// change of the address; a node knows what a source has from its first answer on. What may be sent is checked
// by the earlier time and what has to be sent by the later one, so that both are allowed in between. The rule also
// determines whether a source counts as a new one when another configuration names it again, without any other
// source in between: it does by startsAtFirstAnswer alone.
type sourceStartRule uint8

const (
	startsAtAddressChange sourceStartRule = iota
	startsAtFirstAnswer
)

// violationKind is a way in which a Balancer violates a rule.
type violationKind uint8

const (
	noViolation violationKind = iota
	sentUnconfirmed
	sentToUnlisted
	sentToFormerIncarnation
	sentToOutOfService
	notCancelledOutOfService
	cancelledInService
	inServiceWithoutWork
)

// violationNames describes each kind of violation in test output.
var violationNames = [...]string{
	noViolation: "no violation", sentUnconfirmed: "sent before the list is confirmed",
	sentToUnlisted: "sent though it is not listed", sentToFormerIncarnation: "sent though it has restarted",
	sentToOutOfService:       "sent though it was reported out of service",
	notCancelledOutOfService: "not cancelled though it was reported out of service",
	cancelledInService:       "cancelled though it is in service", inServiceWithoutWork: "in service and gets no work",
}

func (k violationKind) String() string { return violationNames[k] }

// ruleViolation is a violation of a rule.
type ruleViolation struct {
	kind      violationKind
	at        time.Duration // time since the start of the first process
	server    ServerID
	startedAt time.Duration // start of the server, which identifies its incarnation
}

func (v ruleViolation) String() string {
	return fmt.Sprintf("at %v, server %d (start %v): %v", v.at, v.server, v.startedAt, v.kind)
}

// listUpdate holds the arguments of a call to Balancer.ListUpdatedFrom.
type listUpdate struct {
	origin  Origin
	kind    ListKind
	entries []Entry
}

// outOfServiceNotice is a statement that an incarnation of a server takes no new work.
type outOfServiceNotice struct {
	startedAt   time.Duration
	origin      Origin
	receivedAt  time.Duration
	partial     bool // the answer was partial, or of an earlier version
	listedAgain bool // a whole answer has listed the server in service since
}

// latestEntry is the last entry of a server that counts, from a whole answer.
type latestEntry struct {
	known      bool
	startedAt  time.Duration
	inService  bool // false also where a whole list does not name the server
	origin     Origin
	receivedAt time.Duration
}

// serverRecord is all that a process has received about a server and that still counts.
type serverRecord struct {
	latest  latestEntry
	notices []outOfServiceNotice
}

// lifecycleChecker determines from list updates alone which incarnations of servers a process may send to. It keeps
// every notice that an incarnation is out of service until that notice has been undone.
type lifecycleChecker struct {
	sourceStart sourceStartRule
	onRequest   bool

	processStartedAt time.Duration
	confirmed        bool // a whole answer has confirmed the list
	latestOrigin     Origin
	addressChanged   bool          // the current address has not answered yet
	addressChangedAt time.Duration // time of the latest address change
	sourceSince      time.Duration // start of the current source
	records          map[ServerID]*serverRecord
}

// newLifecycleChecker returns a checker of a process that starts now.
func newLifecycleChecker(now time.Duration, onRequest bool, sourceStart sourceStartRule) *lifecycleChecker {
	return &lifecycleChecker{
		sourceStart: sourceStart, onRequest: onRequest, processStartedAt: now, addressChangedAt: now, sourceSince: now,
		records: map[ServerID]*serverRecord{},
	}
}

// record returns the record of a server, a new one if there is none.
func (c *lifecycleChecker) record(server ServerID) *serverRecord {
	r := c.records[server]
	if r == nil {
		r = &serverRecord{}
		c.records[server] = r
	}
	return r
}

// apply applies a list update.
func (c *lifecycleChecker) apply(now time.Duration, update listUpdate) {
	switch update.kind {
	case ListAddressChanged:
		c.addressChanged, c.addressChangedAt = true, now
	case ListPartial, ListOutdated:
		c.applyPartial(now, update)
	case ListCached, ListChanges, ListWhole:
		c.applyWhole(now, update)
		c.expireNotices(now)
	}
}

// applyPartial applies an update of which only the entries out of service count. An entry of a former incarnation may
// take the current one out of service where it could in a whole answer: such a server need not get work, but may.
func (c *lifecycleChecker) applyPartial(now time.Duration, update listUpdate) {
	for _, e := range update.entries {
		if e.State == StateInService {
			continue
		}
		r, startedAt := c.record(e.Server), e.StartedAt
		isLater := update.origin.Source == r.latest.origin.Source && update.origin.Version > r.latest.origin.Version
		if c.sourceStart == startsAtFirstAnswer && (isLater || now >= r.latest.receivedAt+maxReplicaLag) {
			startedAt = max(startedAt, r.latest.startedAt)
		}
		r.recordOutOfService(now, update.origin, startedAt, true)
	}
	if update.kind == ListOutdated {
		c.recordUnnamedOutOfService(now, update, true)
	}
}

// applyWhole applies an answer of which all entries count.
func (c *lifecycleChecker) applyWhole(now time.Duration, update listUpdate) {
	origin := update.origin
	isAnother := origin.Source != c.latestOrigin.Source
	switch {
	case isAnother && c.sourceStart == startsAtAddressChange:
		c.sourceSince = c.addressChangedAt
	case !isAnother && origin.Version < c.latestOrigin.Version, c.addressChanged && c.sourceStart == startsAtFirstAnswer:
		c.sourceSince = now
	}
	c.latestOrigin, c.addressChanged = origin, false
	if update.kind != ListCached {
		c.confirmed = true
	}
	for _, e := range update.entries {
		c.applyEntry(now, origin, e)
	}
	if update.kind != ListChanges {
		c.recordUnnamedOutOfService(now, update, false)
		return
	}
	for server, r := range c.records {
		if !update.names(server) {
			r.undoPartialNotices(now, origin, c.sourceSince)
		}
	}
}

// names reports whether an update has an entry of a server.
func (u *listUpdate) names(server ServerID) bool {
	return slices.ContainsFunc(u.entries, func(entry Entry) bool { return entry.Server == server })
}

// recordUnnamedOutOfService records as out of service the servers that a whole list does not name.
func (c *lifecycleChecker) recordUnnamedOutOfService(now time.Duration, update listUpdate, partial bool) {
	for server, r := range c.records {
		if update.names(server) {
			continue
		}
		if !partial {
			r.latest.inService, r.latest.origin, r.latest.receivedAt = false, update.origin, now
		}
		r.recordOutOfService(now, update.origin, r.latestStart(), partial)
	}
}

// latestStart returns the latest start of a server that any entry has given.
func (r *serverRecord) latestStart() time.Duration {
	latest := r.latest.startedAt
	for _, n := range r.notices {
		latest = max(latest, n.startedAt)
	}
	return latest
}

// applyEntry applies an entry of a whole answer. One of an earlier incarnation than the known one is ignored, unless it
// is a later statement of the same source, or maxReplicaLag has passed, after which all sources must have caught up.
func (c *lifecycleChecker) applyEntry(now time.Duration, origin Origin, e Entry) {
	r := c.record(e.Server)
	if isFormer := r.latest.known && e.StartedAt < r.latest.startedAt; isFormer {
		isLater := origin.Source == r.latest.origin.Source && origin.Version > r.latest.origin.Version
		if !isLater && now < max(r.latest.receivedAt, c.sourceSince)+maxReplicaLag {
			return
		}
	}
	r.latest = latestEntry{known: true, startedAt: e.StartedAt, inService: e.State == StateInService, origin: origin, receivedAt: now}
	if e.State != StateInService {
		r.recordOutOfService(now, origin, e.StartedAt, false)
		return
	}
	r.relist(origin, e.StartedAt)
}

// recordOutOfService records that an incarnation takes no new work. If the same notice comes again, it counts
// from then on.
func (r *serverRecord) recordOutOfService(now time.Duration, origin Origin, startedAt time.Duration, partial bool) {
	isSame := func(n outOfServiceNotice) bool {
		return n.startedAt == startedAt && n.origin.Source == origin.Source && n.partial == partial
	}
	next := outOfServiceNotice{startedAt: startedAt, origin: origin, receivedAt: now, partial: partial}
	if i := slices.IndexFunc(r.notices, isSame); i >= 0 {
		next.origin.Version = max(next.origin.Version, r.notices[i].origin.Version)
		r.notices = slices.Delete(r.notices, i, i+1)
	}
	r.notices = append(r.notices, next)
}

// relist removes the notices that an entry in service undoes: earlier ones of the same source, and those of
// former incarnations.
func (r *serverRecord) relist(origin Origin, startedAt time.Duration) {
	kept := r.notices[:0]
	for _, n := range r.notices {
		if n.startedAt < startedAt || n.undoneBy(origin) {
			continue
		}
		n.listedAgain = true
		kept = append(kept, n)
	}
	r.notices = kept
}

// undoneBy reports whether a later statement of the same source undoes a notice.
func (n *outOfServiceNotice) undoneBy(origin Origin) bool {
	if origin.Source != n.origin.Source {
		return false
	}
	return origin.Version > n.origin.Version
}

// undoPartialNotices removes notices by partial answers after changes that do not name the server: those of the
// same source up to the version of the changes, or of any source once every source must have caught up. Where whole
// answers list the server as out of service too, nothing is removed.
func (r *serverRecord) undoPartialNotices(now time.Duration, origin Origin, sourceSince time.Duration) {
	if !r.latest.inService {
		return
	}
	r.notices = slices.DeleteFunc(r.notices, func(n outOfServiceNotice) bool {
		caughtUp := now >= max(n.receivedAt, sourceSince)+maxReplicaLag
		return n.partial && (n.undoneBy(origin) || caughtUp)
	})
}

// expireNotices is called at each answer. It removes notices about servers that are nevertheless listed in service, once
// every source must have caught up. Time alone removes no notice.
func (c *lifecycleChecker) expireNotices(now time.Duration) {
	for _, r := range c.records {
		if !r.latest.inService {
			continue
		}
		r.notices = slices.DeleteFunc(r.notices, func(n outOfServiceNotice) bool {
			return n.listedAgain && now >= max(n.receivedAt, c.sourceSince)+maxReplicaLag
		})
	}
}

// serving reports whether requests may be served at all.
func (c *lifecycleChecker) serving(now time.Duration) bool {
	return c.confirmed || c.onRequest && now >= c.processStartedAt+maxConfirmationWait
}

// isOutOfService reports whether an incarnation of a server was reported to take no new work.
func (c *lifecycleChecker) isOutOfService(server ServerID, startedAt time.Duration) bool {
	r := c.record(server)
	if r.latest.known && !r.latest.inService && r.latest.startedAt >= startedAt {
		return true
	}
	return slices.ContainsFunc(r.notices, func(n outOfServiceNotice) bool { return n.startedAt >= startedAt })
}

// mustGetWork reports whether a server has to get work, and which incarnation of it.
func (c *lifecycleChecker) mustGetWork(now time.Duration, server ServerID) (startedAt time.Duration, required bool) {
	latest := c.record(server).latest
	return latest.startedAt, c.serving(now) && latest.inService && !c.isOutOfService(server, latest.startedAt)
}

// checkSend returns the way in which a new attempt violates a rule, or noViolation.
func (c *lifecycleChecker) checkSend(now time.Duration, server ServerID, startedAt time.Duration) violationKind {
	latest := c.record(server).latest
	switch {
	case !c.serving(now):
		return sentUnconfirmed
	case !latest.known:
		return sentToUnlisted
	case startedAt < latest.startedAt:
		return sentToFormerIncarnation
	case c.isOutOfService(server, startedAt):
		return sentToOutOfService
	}
	return noViolation
}

// writeState writes all that later results of the checker depend on.
func (c *lifecycleChecker) writeState(text *strings.Builder) {
	fmt.Fprint(text, c.processStartedAt, c.confirmed, c.latestOrigin, c.addressChanged, c.addressChangedAt, c.sourceSince)
	for server := range ServerID(lifecycleServers) {
		if r := c.records[server+1]; r != nil {
			fmt.Fprint(text, "|", r.latest, r.notices)
		}
	}
}

// newConfirmedChecker returns a checker of a process whose list of two servers, version 1 of source 1, is
// confirmed.
func newConfirmedChecker() *lifecycleChecker {
	checker := newLifecycleChecker(0, true, startsAtAddressChange)
	checker.apply(0, listUpdate{Origin{1, 1}, ListWhole, inServiceEntries(1, 2)})
	return checker
}

// drainingEntry returns the entry of a server that drains.
func drainingEntry(server ServerID, startedAt time.Duration) Entry {
	return Entry{Server: server, State: StateDraining, StartedAt: startedAt}
}

// Guards against a checker that misses violations, so that the model would prove nothing.
func TestLifecycleCheckerCatchesSendsThatBreakTheRules(t *testing.T) {
	inService := inServiceEntries(1, 1)[0]
	later := inService
	later.StartedAt = time.Hour
	for name, c := range map[string]struct {
		updates []listUpdate
		at      time.Duration
		want    violationKind
	}{
		"drained by changes":        {[]listUpdate{{Origin{1, 2}, ListChanges, []Entry{drainingEntry(1, 0)}}}, 0, sentToOutOfService},
		"removed by changes":        {[]listUpdate{{Origin{1, 2}, ListChanges, []Entry{{Server: 1, State: StateGone}}}}, 0, sentToOutOfService},
		"not named by a whole list": {[]listUpdate{{Origin{1, 2}, ListWhole, inServiceEntries(2, 2)}}, 0, sentToOutOfService},
		"drained by an answer that is cut off": {
			[]listUpdate{{Origin{1, 2}, ListPartial, []Entry{drainingEntry(1, 0)}}}, 0, sentToOutOfService},
		"not named by an earlier version": {[]listUpdate{
			{Origin{1, 3}, ListWhole, inServiceEntries(1, 2)}, {Origin{1, 2}, ListOutdated, inServiceEntries(2, 2)}}, 0, sentToOutOfService},
		"drained by changes, and no answer since": {
			[]listUpdate{{Origin{1, 2}, ListChanges, []Entry{drainingEntry(1, 0)}}}, 10 * maxReplicaLag, sentToOutOfService},
		"drained by an answer that is cut off, and no answer since": {
			[]listUpdate{{Origin{1, 2}, ListPartial, []Entry{drainingEntry(1, 0)}}}, 10 * maxReplicaLag, sentToOutOfService},
		"listed by another source, and no answer since": {[]listUpdate{
			{Origin{1, 2}, ListChanges, []Entry{drainingEntry(1, 0)}}, {Origin{2, 9}, ListAddressChanged, nil},
			{Origin{2, 9}, ListWhole, inServiceEntries(1, 2)}}, 10 * maxReplicaLag, sentToOutOfService},
		"listed by a version that went back": {[]listUpdate{
			{Origin{1, 5}, ListChanges, []Entry{drainingEntry(1, 0)}},
			{Origin{1, 1}, ListWhole, inServiceEntries(1, 2)}}, 10 * maxReplicaLag, sentToOutOfService},
		"listed again by the second of two sources that reported it out of service": {[]listUpdate{
			{Origin{1, 2}, ListChanges, []Entry{drainingEntry(1, 0)}}, {Origin{2, 1}, ListAddressChanged, nil},
			{Origin{2, 1}, ListWhole, inServiceEntries(2, 2)}, {Origin{2, 2}, ListChanges, []Entry{inService}}}, 0, sentToOutOfService},
		"an earlier start": {[]listUpdate{
			{Origin{1, 2}, ListChanges, []Entry{later}}, {Origin{2, 9}, ListWhole, inServiceEntries(1, 2)}}, 0, sentToFormerIncarnation},
		"a later start out of service, an earlier one listed": {[]listUpdate{
			{Origin{1, 2}, ListChanges, []Entry{drainingEntry(1, time.Hour)}},
			{Origin{2, 9}, ListWhole, inServiceEntries(1, 2)}}, 0, sentToFormerIncarnation},
	} {
		checker := newConfirmedChecker()
		for _, update := range c.updates {
			checker.apply(0, update)
		}
		if got := checker.checkSend(c.at, 1, 0); got != c.want {
			t.Errorf("%s: send: %v, want: %v", name, got, c.want)
		}
		if startedAt, required := checker.mustGetWork(c.at, 1); required && startedAt == 0 {
			t.Errorf("%s: the checker requires work for the server", name)
		}
		if got := checker.checkSend(0, 2, 0); got != noViolation {
			t.Errorf("%s: send to the other server: %v", name, got)
		}
	}
}

// Guards against a checker that forbids sends to servers that are in service again, or does not require them.
func TestLifecycleCheckerRequiresWorkForReturnedServers(t *testing.T) {
	later := inServiceEntries(1, 1)[0]
	later.StartedAt = time.Hour
	drained := listUpdate{Origin{1, 2}, ListChanges, []Entry{drainingEntry(1, 0)}}
	for name, c := range map[string]struct {
		updates   []listUpdate
		startedAt time.Duration
	}{
		"a later version": {[]listUpdate{drained, {Origin{1, 3}, ListChanges, inServiceEntries(1, 1)}}, 0},
		"a later start, whichever source reports it": {[]listUpdate{
			drained, {Origin{2, 1}, ListAddressChanged, nil}, {Origin{2, 1}, ListWhole, []Entry{later, inServiceEntries(2, 2)[0]}}}, time.Hour},
		"an answer that is cut off, which a whole one corrects": {[]listUpdate{
			{Origin{1, 2}, ListPartial, []Entry{drainingEntry(1, 0)}}, {Origin{1, 3}, ListWhole, inServiceEntries(1, 2)}}, 0},
		"an answer that is cut off, and changes that do not name the server": {[]listUpdate{
			{Origin{1, 2}, ListPartial, []Entry{drainingEntry(1, 0)}}, {Origin{1, 3}, ListChanges, nil}}, 0},
		"an earlier version, and the current one again": {[]listUpdate{
			{Origin{1, 4}, ListWhole, inServiceEntries(1, 2)}, {Origin{1, 3}, ListOutdated, inServiceEntries(2, 2)},
			{Origin{1, 4}, ListChanges, nil}}, 0},
	} {
		checker := newConfirmedChecker()
		for _, update := range c.updates {
			checker.apply(0, update)
		}
		if got := checker.checkSend(0, 1, c.startedAt); got != noViolation {
			t.Errorf("%s: send to the server: %v", name, got)
		}
		if startedAt, required := checker.mustGetWork(0, 1); !required || startedAt != c.startedAt {
			t.Errorf("%s: work is required for start %v: %t", name, startedAt, required)
		}
	}
}

// Guards against a checker that puts a server into service too early or too late: one that another source lists in
// service is in service again at the first answer after that source must have caught up.
func TestLifecycleCheckerWaitsForSourcesThatLag(t *testing.T) {
	for _, wait := range []time.Duration{maxReplicaLag - 1, maxReplicaLag} {
		checker := newConfirmedChecker()
		checker.apply(0, listUpdate{Origin{1, 2}, ListChanges, []Entry{drainingEntry(1, 0)}})
		checker.apply(0, listUpdate{kind: ListAddressChanged})
		checker.apply(0, listUpdate{Origin{2, 9}, ListWhole, inServiceEntries(1, 2)})
		checker.apply(wait, listUpdate{Origin{2, 9}, ListChanges, nil})
		allowed := checker.checkSend(wait, 1, 0) == noViolation
		_, required := checker.mustGetWork(wait, 1)
		if caughtUp := wait >= maxReplicaLag; allowed != caughtUp || required != caughtUp {
			t.Errorf("after %v: send allowed: %t, work required: %t", wait, allowed, required)
		}
	}
}

// Guards against a checker that allows sends by a cached list before that list may serve requests.
func TestLifecycleCheckerCatchesSendsByUnconfirmedLists(t *testing.T) {
	for _, onRequest := range []bool{false, true} {
		checker := newLifecycleChecker(0, onRequest, startsAtAddressChange)
		checker.apply(0, listUpdate{Origin{1, 1}, ListCached, inServiceEntries(1, 2)})
		if got := checker.checkSend(maxConfirmationWait-1, 1, 0); got != sentUnconfirmed {
			t.Errorf("on request %t: send before the list is confirmed: %v", onRequest, got)
		}
		if caught := checker.checkSend(maxConfirmationWait, 1, 0) == sentUnconfirmed; caught == onRequest {
			t.Errorf("on request %t: send after %v is caught: %t", onRequest, maxConfirmationWait, caught)
		}
		checker.apply(0, listUpdate{Origin{1, 1}, ListChanges, nil})
		if got := checker.checkSend(0, 1, 0); got != noViolation {
			t.Errorf("on request %t: send after the list is confirmed: %v", onRequest, got)
		}
	}
}
