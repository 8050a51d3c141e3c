package main

import (
	"testing"
	"time"

	"otterstep/internal/standin"
)

// deliveryFixture simulates what two addresses write to a process.
type deliveryFixture struct {
	t                *testing.T
	processStartedAt time.Time
	addresses        [2]*soakAddress
	checker          deliveryChecker
	callCount        int
}

func newDeliveryFixture(t *testing.T) *deliveryFixture {
	f := &deliveryFixture{t: t, processStartedAt: time.Now(), addresses: [2]*soakAddress{{number: 0}, {number: 1}}}
	knownList := standin.List{Version: 1, IsWhole: true, Entries: []standin.Entry{newSoakEntry(standin.InService, 7)}}
	f.checker = newDeliveryChecker(f.processStartedAt, f.addresses[0], knownList)
	return f
}

// newSoakEntry returns an entry of the server that the tests of the checker use.
func newSoakEntry(state string, bootMs int64) standin.Entry {
	return standin.Entry{UID: soakServerUID(0), State: state, BootMs: bootMs}
}

// timeAfter returns the time at a delay after the start of the process.
func (f *deliveryFixture) timeAfter(delay time.Duration) time.Time {
	return f.processStartedAt.Add(delay)
}

// newAnswer returns the answer to the next call.
func (f *deliveryFixture) newAnswer(versionRestarts int, version int64, isWhole bool, entries ...standin.Entry) *standin.Answer {
	f.callCount++
	return &standin.Answer{
		CallNumber: f.callCount, CalledAt: f.processStartedAt, FirstByteAt: f.timeAfter(time.Millisecond), VersionRestarts: versionRestarts,
		List: standin.List{Version: version, IsWhole: isWhole, Entries: entries},
	}
}

// writeAnswer has an address write all entries of an answer, with the end of the message if complete is set.
func (f *deliveryFixture) writeAnswer(addressNumber int, answer *standin.Answer, complete bool, delay time.Duration) {
	if complete {
		f.checker.recordCompleting(f.addresses[addressNumber], answer, f.timeAfter(delay))
	}
	f.checker.recordWritten(f.addresses[addressNumber], answer, answer.List.Entries, complete, f.timeAfter(delay))
}

// expectForbidden checks whether the process is forbidden to send to the server.
func (f *deliveryFixture) expectForbidden(wantForbidden bool, delay time.Duration, description string) {
	f.t.Helper()
	at := f.timeAfter(delay)
	if reason, isForbidden := f.checker.forbidsSend(soakServerUID(0), at, at); isForbidden != wantForbidden {
		f.t.Errorf("%s: forbidden %v, %s", description, isForbidden, reason)
	}
}

// An entry that takes a server out of service counts as soon as it is written, even if its message stays incomplete.
// Until the end of the drain grace the node may send to the server.
func TestSoakDeliveryCheckerSeesAServerThatWasWrittenAsOutOfService(t *testing.T) {
	const writtenAfter = time.Second
	const bound = writtenAfter + drainGrace + soakSchedulingSlack
	for name, write := range map[string]func(fixture *deliveryFixture){
		"changes": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 2, false, newSoakEntry(standin.Terminating, 7)), true, writtenAfter)
		},
		"an incomplete answer": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 2, false, newSoakEntry(standin.Terminated, 7)), false, writtenAfter)
		},
		"a whole list that does not name it": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 2, true), true, writtenAfter)
		},
		"versions that restart": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 9, false, newSoakEntry(standin.InService, 7)), true, writtenAfter/2)
			fixture.writeAnswer(0, fixture.newAnswer(1, 2, false, newSoakEntry(standin.Terminating, 7)), true, writtenAfter)
		},
	} {
		fixture := newDeliveryFixture(t)
		fixture.expectForbidden(false, time.Hour, name+", before")
		write(fixture)
		fixture.expectForbidden(false, bound, name+", at the end of the drain grace")
		fixture.expectForbidden(true, bound+time.Millisecond, name+", past the drain grace")
		fixture.expectForbidden(true, time.Hour, name+", long after")
	}
}

// A server returns to service by a later version of the address that took it out, by a later incarnation, or by another
// address that has had time to catch up, and by nothing else.
func TestSoakDeliveryCheckerKnowsWhatReturnsAServerToService(t *testing.T) {
	const later = time.Minute / 2
	inService, restarted := newSoakEntry(standin.InService, 7), newSoakEntry(standin.InService, 8)
	for name, testCase := range map[string]struct {
		write         func(fixture *deliveryFixture)
		after         time.Duration
		wantForbidden bool
	}{
		"a later version": {func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 6, true, inService), true, later)
		}, later, false},
		"a later version in an incomplete answer": {func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 6, true, inService), false, later)
		}, later, true},
		"the same version": {func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 5, true, inService), true, later)
		}, later, true},
		"an earlier version": {func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 4, true, inService), true, later)
		}, later, true},
		"a later incarnation": {func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 4, true, restarted), true, later)
		}, later, false},
		"a later version of another address": {func(fixture *deliveryFixture) {
			fixture.checker.recordAddressChange(fixture.addresses[1], fixture.timeAfter(later))
			fixture.writeAnswer(1, fixture.newAnswer(0, 6, true, inService), true, later)
		}, later + maxCatchUpTime, true},
		"another address that has caught up": {func(fixture *deliveryFixture) {
			fixture.checker.recordAddressChange(fixture.addresses[1], fixture.timeAfter(later))
			fixture.writeAnswer(1, fixture.newAnswer(0, 6, true, inService), true, later)
		}, later + maxCatchUpTime + time.Millisecond, false},
		"an address that is no longer configured": {func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 5, true, inService), true, later)
			fixture.checker.recordAddressChange(fixture.addresses[1], fixture.timeAfter(later))
		}, later + 2*maxCatchUpTime, true},
		"another address that took it out, too, in a later version": {func(fixture *deliveryFixture) {
			fixture.checker.recordAddressChange(fixture.addresses[1], fixture.timeAfter(later))
			fixture.writeAnswer(1, fixture.newAnswer(0, 1, true, newSoakEntry(standin.Terminating, 7)), true, later)
			fixture.writeAnswer(1, fixture.newAnswer(0, 2, false, inService), true, later)
		}, later, false},
	} {
		fixture := newDeliveryFixture(t)
		fixture.writeAnswer(0, fixture.newAnswer(0, 5, false, newSoakEntry(standin.Terminating, 7)), true, time.Second)
		fixture.expectForbidden(true, later, name+", before")
		testCase.write(fixture)
		fixture.expectForbidden(testCase.wantForbidden, testCase.after, name)
	}
}

// Entries that may not have arrived do not count, and an earlier version does not take out of service what a later
// version of the same address has in service.
func TestSoakDeliveryCheckerIgnoresWhatMayNotHaveArrived(t *testing.T) {
	const writtenAfter = time.Second
	outOfService := newSoakEntry(standin.Terminating, 7)
	for name, write := range map[string]func(fixture *deliveryFixture){
		"a link with a fault": func(fixture *deliveryFixture) {
			fixture.checker.recordLinkChange(fixture.addresses[0], standin.LinkDropsData, fixture.timeAfter(0))
			fixture.writeAnswer(0, fixture.newAnswer(0, 5, false, outOfService), true, writtenAfter)
		},
		"a link that breaks just after the write": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 5, false, outOfService), true, writtenAfter)
			fixture.checker.recordLinkChange(fixture.addresses[0], standin.LinkResets, fixture.timeAfter(writtenAfter+maxUnreadTime))
		},
		"a new configuration just after the write": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 5, false, outOfService), true, writtenAfter)
			fixture.checker.recordAddressChange(fixture.addresses[1], fixture.timeAfter(writtenAfter+maxUnreadTime))
		},
		"an address that is not configured": func(fixture *deliveryFixture) {
			fixture.writeAnswer(1, fixture.newAnswer(0, 5, false, outOfService), true, writtenAfter)
		},
		"a call that is abandoned just after the write": func(fixture *deliveryFixture) {
			answer := fixture.newAnswer(0, 5, false, outOfService)
			fixture.writeAnswer(0, answer, false, writtenAfter)
			fixture.checker.recordAbandoned(0, answer.CallNumber, fixture.timeAfter(writtenAfter+maxUnreadTime))
		},
		"an earlier version": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 6, false, newSoakEntry(standin.InService, 7)), true, writtenAfter)
			fixture.writeAnswer(0, fixture.newAnswer(0, 5, false, outOfService), true, writtenAfter)
		},
		"an earlier incarnation": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 5, false, newSoakEntry(standin.Terminating, 6)), true, writtenAfter)
		},
	} {
		fixture := newDeliveryFixture(t)
		write(fixture)
		fixture.expectForbidden(false, time.Hour, name)
	}
	fixture := newDeliveryFixture(t)
	fixture.writeAnswer(0, fixture.newAnswer(0, 5, false, outOfService), true, writtenAfter)
	fixture.checker.recordLinkChange(fixture.addresses[0], standin.LinkResets,
		fixture.timeAfter(writtenAfter+maxUnreadTime+time.Millisecond))
	fixture.expectForbidden(true, time.Hour, "a link that breaks some time after the write")
}
