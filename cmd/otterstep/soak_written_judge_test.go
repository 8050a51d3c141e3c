package main

import (
	"testing"
	"time"

	"otterstep/internal/standin"
)

// writtenTrial plays what is written to a process.
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

// soakLine is a line of the server of a trial.
func newSoakEntry(state string, bootMs int64) standin.Entry {
	return standin.Entry{UID: soakServerUID(0), State: state, BootMs: bootMs}
}

// after gives the time since the process began.
func (f *deliveryFixture) timeAfter(delay time.Duration) time.Time {
	return f.processStartedAt.Add(delay)
}

// answer is one that an address begins.
func (f *deliveryFixture) newAnswer(counter int, version int64, isWhole bool, entries ...standin.Entry) *standin.Answer {
	f.callCount++
	return &standin.Answer{
		CallNumber: f.callCount, CalledAt: f.processStartedAt, FirstByteAt: f.timeAfter(time.Millisecond), VersionRestarts: counter,
		List: standin.List{Version: version, IsWhole: isWhole, Entries: entries},
	}
}

// writes has an address write an answer at a time, whole or up to its last line.
func (f *deliveryFixture) writeAnswer(addressNumber int, answer *standin.Answer, complete bool, delay time.Duration) {
	if complete {
		f.checker.recordCompleting(f.addresses[addressNumber], answer, f.timeAfter(delay))
	}
	f.checker.recordWritten(f.addresses[addressNumber], answer, answer.List.Entries, complete, f.timeAfter(delay))
}

// expect checks whether the process may send to the server.
func (f *deliveryFixture) expectForbidden(wantForbidden bool, delay time.Duration, description string) {
	f.t.Helper()
	at := f.timeAfter(delay)
	if reason, isForbidden := f.checker.forbidsSend(soakServerUID(0), at, at); isForbidden != wantForbidden {
		f.t.Errorf("%s: forbidden %v, %s", description, isForbidden, reason)
	}
}

// A line counts as soon as it is written, whatever becomes of its message, and up to the grace the server
// may be sent to.
func TestSoakDeliveryCheckerSeesAServerThatWasWrittenAsOutOfService(t *testing.T) {
	const writtenAfter = time.Second
	const bound = writtenAfter + drainGrace + soakSchedulingSlack
	for name, write := range map[string]func(fixture *deliveryFixture){
		"changes": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 2, false, newSoakEntry(standin.Terminating, 7)), true, writtenAfter)
		},
		"half an answer": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 2, false, newSoakEntry(standin.Terminated, 7)), false, writtenAfter)
		},
		"a whole list that does not name it": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 2, true), true, writtenAfter)
		},
		"a version that starts anew": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 9, false, newSoakEntry(standin.InService, 7)), true, writtenAfter/2)
			fixture.writeAnswer(0, fixture.newAnswer(1, 2, false, newSoakEntry(standin.Terminating, 7)), true, writtenAfter)
		},
	} {
		fixture := newDeliveryFixture(t)
		fixture.expectForbidden(false, time.Hour, name+", before")
		write(fixture)
		fixture.expectForbidden(false, bound, name+", up to the grace")
		fixture.expectForbidden(true, bound+time.Millisecond, name+", beyond it")
		fixture.expectForbidden(true, time.Hour, name+", for long")
	}
}

// What puts a server back: a later version of the address that told it, a later start, or an address that
// has had time to catch up. Nothing else does.
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
		"a later version that is not whole": {func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 6, true, inService), false, later)
		}, later, true},
		"the same version": {func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 5, true, inService), true, later)
		}, later, true},
		"an earlier version": {func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 4, true, inService), true, later)
		}, later, true},
		"a later start": {func(fixture *deliveryFixture) {
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
		"an address that is not named any more": {func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 5, true, inService), true, later)
			fixture.checker.recordAddressChange(fixture.addresses[1], fixture.timeAfter(later))
		}, later + 2*maxCatchUpTime, true},
		"another address that told it too, in a later version": {func(fixture *deliveryFixture) {
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

// What may not have arrived does not count, and an answer from before does not take out what a later version
// of the same address has put into service.
func TestSoakDeliveryCheckerIgnoresWhatMayNotHaveArrived(t *testing.T) {
	const writtenAfter = time.Second
	outOfService := newSoakEntry(standin.Terminating, 7)
	for name, write := range map[string]func(fixture *deliveryFixture){
		"a link that is broken": func(fixture *deliveryFixture) {
			fixture.checker.recordLinkChange(fixture.addresses[0], standin.LinkDropsData, fixture.timeAfter(0))
			fixture.writeAnswer(0, fixture.newAnswer(0, 5, false, outOfService), true, writtenAfter)
		},
		"a link that breaks just behind it": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 5, false, outOfService), true, writtenAfter)
			fixture.checker.recordLinkChange(fixture.addresses[0], standin.LinkResets, fixture.timeAfter(writtenAfter+maxUnreadTime))
		},
		"a new configuration just behind it": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 5, false, outOfService), true, writtenAfter)
			fixture.checker.recordAddressChange(fixture.addresses[1], fixture.timeAfter(writtenAfter+maxUnreadTime))
		},
		"an address that is not named": func(fixture *deliveryFixture) {
			fixture.writeAnswer(1, fixture.newAnswer(0, 5, false, outOfService), true, writtenAfter)
		},
		"a call that is left just behind it": func(fixture *deliveryFixture) {
			answer := fixture.newAnswer(0, 5, false, outOfService)
			fixture.writeAnswer(0, answer, false, writtenAfter)
			fixture.checker.recordAbandoned(0, answer.CallNumber, fixture.timeAfter(writtenAfter+maxUnreadTime))
		},
		"an answer from before": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 6, false, newSoakEntry(standin.InService, 7)), true, writtenAfter)
			fixture.writeAnswer(0, fixture.newAnswer(0, 5, false, outOfService), true, writtenAfter)
		},
		"an earlier start": func(fixture *deliveryFixture) {
			fixture.writeAnswer(0, fixture.newAnswer(0, 5, false, newSoakEntry(standin.Terminating, 6)), true, writtenAfter)
		},
	} {
		fixture := newDeliveryFixture(t)
		write(fixture)
		fixture.expectForbidden(false, time.Hour, name)
	}
	fixture := newDeliveryFixture(t)
	fixture.writeAnswer(0, fixture.newAnswer(0, 5, false, outOfService), true, writtenAfter)
	fixture.checker.recordLinkChange(fixture.addresses[0], standin.LinkResets, fixture.timeAfter(writtenAfter+maxUnreadTime+time.Millisecond))
	fixture.expectForbidden(true, time.Hour, "a link that breaks some time behind it")
}
