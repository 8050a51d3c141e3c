package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// sourceBeginning tells from when on a judge counts a source as the present one. The interface names the
// move to it; a node knows what a source has from its first answer on. What may be sent is judged by the
// earlier instant and what has to be sent by the later one, so that both are free in between. So is whether
// a source begins anew that a new configuration names again, with no other one heard meanwhile.
type sourceStartRule uint8

const (
	startsAtAddressChange sourceStartRule = iota
	startsAtFirstAnswer
)

// breakKind is a way in which a rule is broken.
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

var violationNames = [...]string{
	noViolation: "keeps the rules", sentUnconfirmed: "sent before the list is confirmed",
	sentToUnlisted: "sent though it is not listed", sentToFormerIncarnation: "sent though it has started again",
	sentToOutOfService: "sent though it was told to be out of service", notCancelledOutOfService: "not withdrawn though it was told to be out of service",
	cancelledInService: "withdrawn though it is in service", inServiceWithoutWork: "in service and gets no work",
}

func (k violationKind) String() string { return violationNames[k] }

// ruleBreak is a rule that was broken.
type ruleViolation struct {
	kind      violationKind
	at        time.Duration // since the first process has started
	server    ServerID
	startedAt time.Duration // of the server
}

func (v ruleViolation) String() string {
	return fmt.Sprintf("at %v, server %d (start %v): %v", v.at, v.server, v.startedAt, v.kind)
}

// listEvent is one call of Balancer.MembersFrom.
type listUpdate struct {
	origin  Origin
	kind    ListKind
	entries []Entry
}

// outStatement is one statement that a life of a server takes no new work.
type outOfServiceNotice struct {
	startedAt   time.Duration
	origin      Origin
	heardAt     time.Duration
	partial     bool // by an answer that is not whole, or of an earlier version
	listedAgain bool // a whole answer has listed the server in service since
}

// listedWord is the last line of a whole answer about a server that counts.
type latestEntry struct {
	known     bool
	startedAt time.Duration
	inService bool // false also where a whole list does not name the server
	origin    Origin
	heardAt   time.Duration
}

// serverRecord is all that a process was told of a server and that still counts.
type serverRecord struct {
	latest  latestEntry
	notices []outOfServiceNotice
}

// lifecycleJudge tells from the events alone which lives of servers a process may send to. It keeps every
// statement that a life is out of service until that very statement has been undone.
type lifecycleChecker struct {
	sourceStart sourceStartRule
	onRequest   bool

	processStartedAt time.Duration
	confirmed        bool // by a whole answer
	latestOrigin     Origin
	addressChanged   bool          // to an address that has not answered yet,
	addressChangedAt time.Duration // and when
	sourceSince      time.Duration // the present source began
	records          map[ServerID]*serverRecord
}

func newLifecycleChecker(now time.Duration, onRequest bool, sourceStart sourceStartRule) *lifecycleChecker {
	return &lifecycleChecker{
		sourceStart: sourceStart, onRequest: onRequest, processStartedAt: now, addressChangedAt: now, sourceSince: now,
		records: map[ServerID]*serverRecord{},
	}
}

// record gives what is known of a server.
func (c *lifecycleChecker) record(server ServerID) *serverRecord {
	r := c.records[server]
	if r == nil {
		r = &serverRecord{}
		c.records[server] = r
	}
	return r
}

// hear takes an event in.
func (c *lifecycleChecker) apply(now time.Duration, event listUpdate) {
	switch event.kind {
	case ListAddressChanged:
		c.addressChanged, c.addressChangedAt = true, now
	case ListPartial, ListOutdated:
		c.applyPartial(now, event)
	case ListCached, ListChanges, ListWhole:
		c.applyWhole(now, event)
		c.expireNotices(now)
	}
}

// hearPart takes in an event of which only what leaves counts. A line of a former life may count against
// the present one where it could in a whole answer: such a server need not get work, and may.
func (c *lifecycleChecker) applyPartial(now time.Duration, event listUpdate) {
	for _, e := range event.entries {
		if e.State == StateInService {
			continue
		}
		r, started := c.record(e.Server), e.StartedAt
		later := event.origin.Source == r.latest.origin.Source && event.origin.Version > r.latest.origin.Version
		if c.sourceStart == startsAtFirstAnswer && (later || now >= r.latest.heardAt+maxReplicaLag) {
			started = max(started, r.latest.startedAt)
		}
		r.recordOutOfService(now, event.origin, started, true)
	}
	if event.kind == ListOutdated {
		c.recordUnnamedOutOfService(now, event, true)
	}
}

// hearWhole takes in an answer that counts as a whole.
func (c *lifecycleChecker) applyWhole(now time.Duration, event listUpdate) {
	origin := event.origin
	isAnother := origin.Source != c.latestOrigin.Source
	switch {
	case isAnother && c.sourceStart == startsAtAddressChange:
		c.sourceSince = c.addressChangedAt
	case !isAnother && origin.Version < c.latestOrigin.Version, c.addressChanged && c.sourceStart == startsAtFirstAnswer:
		c.sourceSince = now
	}
	c.latestOrigin, c.addressChanged = origin, false
	if event.kind != ListCached {
		c.confirmed = true
	}
	for _, e := range event.entries {
		c.applyEntry(now, origin, e)
	}
	if event.kind != ListChanges {
		c.recordUnnamedOutOfService(now, event, false)
		return
	}
	for server, r := range c.records {
		if !event.names(server) {
			r.undoPartialNotices(now, origin, c.sourceSince)
		}
	}
}

// names tells whether an event has a line of a server.
func (e *listUpdate) names(server ServerID) bool {
	return slices.ContainsFunc(e.entries, func(line Entry) bool { return line.Server == server })
}

// unnamedAreOut takes in what a whole list does not name.
func (c *lifecycleChecker) recordUnnamedOutOfService(now time.Duration, event listUpdate, partial bool) {
	for server, r := range c.records {
		if event.names(server) {
			continue
		}
		if !partial {
			r.latest.inService, r.latest.origin, r.latest.heardAt = false, event.origin, now
		}
		r.recordOutOfService(now, event.origin, r.latestStart(), partial)
	}
}

// latestStart is the latest start of a server that any line has told.
func (r *serverRecord) latestStart() time.Duration {
	latest := r.latest.startedAt
	for _, o := range r.notices {
		latest = max(latest, o.startedAt)
	}
	return latest
}

// hearLine takes in a line of a whole answer. One of an earlier life than is known says nothing, unless
// it is a later word of the same source, or all sources must have caught up.
func (c *lifecycleChecker) applyEntry(now time.Duration, origin Origin, e Entry) {
	r := c.record(e.Server)
	if former := r.latest.known && e.StartedAt < r.latest.startedAt; former {
		later := origin.Source == r.latest.origin.Source && origin.Version > r.latest.origin.Version
		if !later && now < max(r.latest.heardAt, c.sourceSince)+maxReplicaLag {
			return
		}
	}
	r.latest = latestEntry{known: true, startedAt: e.StartedAt, inService: e.State == StateInService, origin: origin, heardAt: now}
	if e.State != StateInService {
		r.recordOutOfService(now, origin, e.StartedAt, false)
		return
	}
	r.relist(origin, e.StartedAt)
}

// out notes that a life takes no new work. The same statement once more counts from then on.
func (r *serverRecord) recordOutOfService(now time.Duration, origin Origin, startedAt time.Duration, partial bool) {
	same := func(o outOfServiceNotice) bool {
		return o.startedAt == startedAt && o.origin.Source == origin.Source && o.partial == partial
	}
	next := outOfServiceNotice{startedAt: startedAt, origin: origin, heardAt: now, partial: partial}
	if i := slices.IndexFunc(r.notices, same); i >= 0 {
		next.origin.Version = max(next.origin.Version, r.notices[i].origin.Version)
		r.notices = slices.Delete(r.notices, i, i+1)
	}
	r.notices = append(r.notices, next)
}

// listAgain undoes what a line in service undoes: statements of the same source that are earlier, and
// those of lives that are over.
func (r *serverRecord) relist(origin Origin, startedAt time.Duration) {
	kept := r.notices[:0]
	for _, o := range r.notices {
		if o.startedAt < startedAt || o.undoneBy(origin) {
			continue
		}
		o.listedAgain = true
		kept = append(kept, o)
	}
	r.notices = kept
}

// undoneBy tells whether a later word of the same source undoes a statement.
func (o *outOfServiceNotice) undoneBy(origin Origin) bool {
	if origin.Source != o.origin.Source {
		return false
	}
	return origin.Version > o.origin.Version
}

// settle undoes what was not told by a whole answer, by whole changes that do not name the server: those
// of the same source up to that version, or of the present one once any source must have caught up. Where
// whole answers have it out of service too, there is nothing to go back to.
func (r *serverRecord) undoPartialNotices(now time.Duration, origin Origin, sourceSince time.Duration) {
	if !r.latest.inService {
		return
	}
	r.notices = slices.DeleteFunc(r.notices, func(o outOfServiceNotice) bool {
		caughtUp := now >= max(o.heardAt, sourceSince)+maxReplicaLag
		return o.partial && (o.undoneBy(origin) || caughtUp)
	})
}

// expire undoes statements against servers that are listed in service all the same, at an answer that comes
// once any source must have caught up. Silence undoes nothing.
func (c *lifecycleChecker) expireNotices(now time.Duration) {
	for _, r := range c.records {
		if !r.latest.inService {
			continue
		}
		r.notices = slices.DeleteFunc(r.notices, func(o outOfServiceNotice) bool {
			return o.listedAgain && now >= max(o.heardAt, c.sourceSince)+maxReplicaLag
		})
	}
}

// serving tells whether requests may be served at all.
func (c *lifecycleChecker) serving(now time.Duration) bool {
	return c.confirmed || c.onRequest && now >= c.processStartedAt+maxConfirmationWait
}

// toldOut tells whether a life of a server was told to take no new work.
func (c *lifecycleChecker) isOutOfService(server ServerID, startedAt time.Duration) bool {
	r := c.record(server)
	if r.latest.known && !r.latest.inService && r.latest.startedAt >= startedAt {
		return true
	}
	return slices.ContainsFunc(r.notices, func(o outOfServiceNotice) bool { return o.startedAt >= startedAt })
}

// inService tells whether a server has to get work, and which life of it.
func (c *lifecycleChecker) mustGetWork(now time.Duration, server ServerID) (startedAt time.Duration, required bool) {
	latest := c.record(server).latest
	return latest.startedAt, c.serving(now) && latest.inService && !c.isOutOfService(server, latest.startedAt)
}

// judgeSend tells which rule an attempt breaks that begins, or keepsRules.
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

// state words all that the judge's later verdicts rest on.
func (c *lifecycleChecker) writeState(text *strings.Builder) {
	fmt.Fprint(text, c.processStartedAt, c.confirmed, c.latestOrigin, c.addressChanged, c.addressChangedAt, c.sourceSince)
	for server := range ServerID(lifecycleServers) {
		if r := c.records[server+1]; r != nil {
			fmt.Fprint(text, "|", r.latest, r.notices)
		}
	}
}

// toldRig is a judge of a process whose list of two servers, version 1 of source 1, is confirmed.
func newConfirmedChecker() *lifecycleChecker {
	checker := newLifecycleChecker(0, true, startsAtAddressChange)
	checker.apply(0, listUpdate{Origin{1, 1}, ListWhole, inServiceEntries(1, 2)})
	return checker
}

// draining gives a line of a server that drains.
func drainingEntry(server ServerID, started time.Duration) Entry {
	return Entry{Server: server, State: StateDraining, StartedAt: started}
}

// The judge of the model has to catch each break of the rules, or the model proves nothing.
func TestLifecycleCheckerCatchesSendsThatBreakTheRules(t *testing.T) {
	inService := inServiceEntries(1, 1)[0]
	later := inService
	later.StartedAt = time.Hour
	for name, c := range map[string]struct {
		events []listUpdate
		at     time.Duration
		want   violationKind
	}{
		"told by changes":      {[]listUpdate{{Origin{1, 2}, ListChanges, []Entry{drainingEntry(1, 0)}}}, 0, sentToOutOfService},
		"told gone":            {[]listUpdate{{Origin{1, 2}, ListChanges, []Entry{{Server: 1, State: StateGone}}}}, 0, sentToOutOfService},
		"not named":            {[]listUpdate{{Origin{1, 2}, ListWhole, inServiceEntries(2, 2)}}, 0, sentToOutOfService},
		"told by a cut answer": {[]listUpdate{{Origin{1, 2}, ListPartial, []Entry{drainingEntry(1, 0)}}}, 0, sentToOutOfService},
		"told by an earlier version": {[]listUpdate{
			{Origin{1, 3}, ListWhole, inServiceEntries(1, 2)}, {Origin{1, 2}, ListOutdated, inServiceEntries(2, 2)}}, 0, sentToOutOfService},
		"told, and silence since": {[]listUpdate{{Origin{1, 2}, ListChanges, []Entry{drainingEntry(1, 0)}}}, 10 * maxReplicaLag, sentToOutOfService},
		"told by a cut answer, and silence since": {
			[]listUpdate{{Origin{1, 2}, ListPartial, []Entry{drainingEntry(1, 0)}}}, 10 * maxReplicaLag, sentToOutOfService},
		"listed by another source, and silence since": {[]listUpdate{
			{Origin{1, 2}, ListChanges, []Entry{drainingEntry(1, 0)}}, {Origin{2, 9}, ListAddressChanged, nil},
			{Origin{2, 9}, ListWhole, inServiceEntries(1, 2)}}, 10 * maxReplicaLag, sentToOutOfService},
		"listed by a version that went back": {[]listUpdate{
			{Origin{1, 5}, ListChanges, []Entry{drainingEntry(1, 0)}}, {Origin{1, 1}, ListWhole, inServiceEntries(1, 2)}}, 10 * maxReplicaLag, sentToOutOfService},
		"listed by the second of two sources that told it": {[]listUpdate{
			{Origin{1, 2}, ListChanges, []Entry{drainingEntry(1, 0)}}, {Origin{2, 1}, ListAddressChanged, nil},
			{Origin{2, 1}, ListWhole, inServiceEntries(2, 2)}, {Origin{2, 2}, ListChanges, []Entry{inService}}}, 0, sentToOutOfService},
		"an earlier start": {[]listUpdate{
			{Origin{1, 2}, ListChanges, []Entry{later}}, {Origin{2, 9}, ListWhole, inServiceEntries(1, 2)}}, 0, sentToFormerIncarnation},
		"a later start that is out, an earlier one listed": {[]listUpdate{
			{Origin{1, 2}, ListChanges, []Entry{drainingEntry(1, time.Hour)}}, {Origin{2, 9}, ListWhole, inServiceEntries(1, 2)}}, 0, sentToFormerIncarnation},
	} {
		checker := newConfirmedChecker()
		for _, event := range c.events {
			checker.apply(0, event)
		}
		if got := checker.checkSend(c.at, 1, 0); got != c.want {
			t.Errorf("%s: a send %v, want: %v", name, got, c.want)
		}
		if started, required := checker.mustGetWork(c.at, 1); required && started == 0 {
			t.Errorf("%s: the server would have to get work", name)
		}
		if got := checker.checkSend(0, 2, 0); got != noViolation {
			t.Errorf("%s: a send to the other server: %v", name, got)
		}
	}
}

// It has to allow, and to call for, work of servers that are back.
func TestLifecycleCheckerRequiresWorkForReturnedServers(t *testing.T) {
	later := inServiceEntries(1, 1)[0]
	later.StartedAt = time.Hour
	told := listUpdate{Origin{1, 2}, ListChanges, []Entry{drainingEntry(1, 0)}}
	for name, c := range map[string]struct {
		events  []listUpdate
		started time.Duration
	}{
		"a later version": {[]listUpdate{told, {Origin{1, 3}, ListChanges, inServiceEntries(1, 1)}}, 0},
		"a later start, whoever tells it": {[]listUpdate{
			told, {Origin{2, 1}, ListAddressChanged, nil}, {Origin{2, 1}, ListWhole, []Entry{later, inServiceEntries(2, 2)[0]}}}, time.Hour},
		"a cut answer that a whole one corrects": {[]listUpdate{
			{Origin{1, 2}, ListPartial, []Entry{drainingEntry(1, 0)}}, {Origin{1, 3}, ListWhole, inServiceEntries(1, 2)}}, 0},
		"a cut answer, and changes that do not name it": {[]listUpdate{
			{Origin{1, 2}, ListPartial, []Entry{drainingEntry(1, 0)}}, {Origin{1, 3}, ListChanges, nil}}, 0},
		"an earlier version, and the present one again": {[]listUpdate{
			{Origin{1, 4}, ListWhole, inServiceEntries(1, 2)}, {Origin{1, 3}, ListOutdated, inServiceEntries(2, 2)}, {Origin{1, 4}, ListChanges, nil}}, 0},
	} {
		checker := newConfirmedChecker()
		for _, event := range c.events {
			checker.apply(0, event)
		}
		if got := checker.checkSend(0, 1, c.started); got != noViolation {
			t.Errorf("%s: a send: %v", name, got)
		}
		if started, required := checker.mustGetWork(0, 1); !required || started != c.started {
			t.Errorf("%s: start %v, in service %t", name, started, required)
		}
	}
}

// A server that another source lists in service is back once that source must have caught up, and answers.
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
			t.Errorf("after %v: a send is allowed: %t, in service: %t", wait, allowed, required)
		}
	}
}

// Nothing is sent by a kept list before its time.
func TestLifecycleCheckerCatchesSendsByUnconfirmedLists(t *testing.T) {
	for _, onRequest := range []bool{false, true} {
		checker := newLifecycleChecker(0, onRequest, startsAtAddressChange)
		checker.apply(0, listUpdate{Origin{1, 1}, ListCached, inServiceEntries(1, 2)})
		if got := checker.checkSend(maxConfirmationWait-1, 1, 0); got != sentUnconfirmed {
			t.Errorf("asked %t: a send before the list is confirmed: %v", onRequest, got)
		}
		if caught := checker.checkSend(maxConfirmationWait, 1, 0) == sentUnconfirmed; caught == onRequest {
			t.Errorf("asked %t: a send after %v is caught: %t", onRequest, maxConfirmationWait, caught)
		}
		checker.apply(0, listUpdate{Origin{1, 1}, ListChanges, nil})
		if got := checker.checkSend(0, 1, 0); got != noViolation {
			t.Errorf("asked %t: a send once it is confirmed: %v", onRequest, got)
		}
	}
}
