package main

import (
	"testing"
	"time"

	"otterstep/internal/standin"
)

// writtenTrial plays what is written to a process.
type writtenTrial struct {
	t         *testing.T
	at        time.Time
	addresses [2]*soakAddress
	written   soakWritten
	calls     int
}

func newWrittenTrial(t *testing.T) *writtenTrial {
	trial := &writtenTrial{t: t, at: time.Now(), addresses: [2]*soakAddress{{number: 0}, {number: 1}}}
	known := standin.List{Version: 1, IsWhole: true, Entries: []standin.Entry{soakLine(standin.InService, 7)}}
	trial.written = newSoakWritten(trial.at, trial.addresses[0], known)
	return trial
}

// soakLine is a line of the server of a trial.
func soakLine(state string, bootMs int64) standin.Entry {
	return standin.Entry{UID: soakUID(0), State: state, BootMs: bootMs}
}

// after gives the time since the process began.
func (trial *writtenTrial) after(d time.Duration) time.Time { return trial.at.Add(d) }

// answer is one that an address begins.
func (trial *writtenTrial) answer(counter int, version int64, all bool, lines ...standin.Entry) *standin.Answer {
	trial.calls++
	return &standin.Answer{
		CallNumber: trial.calls, CalledAt: trial.at, FirstByteAt: trial.after(time.Millisecond), VersionRestarts: counter,
		List: standin.List{Version: version, IsWhole: all, Entries: lines},
	}
}

// writes has an address write an answer at a time, whole or up to its last line.
func (trial *writtenTrial) writes(address int, answer *standin.Answer, whole bool, after time.Duration) {
	if whole {
		trial.written.completing(trial.addresses[address], answer, trial.after(after))
	}
	trial.written.wrote(trial.addresses[address], answer, answer.List.Entries, whole, trial.after(after))
}

// expect checks whether the process may send to the server.
func (trial *writtenTrial) expect(forbidden bool, after time.Duration, what string) {
	trial.t.Helper()
	at := trial.after(after)
	if why, is := trial.written.forbids(soakUID(0), at, at); is != forbidden {
		trial.t.Errorf("%s: forbidden %v, %s", what, is, why)
	}
}

// A line counts as soon as it is written, whatever becomes of its message, and up to the grace the server
// may be sent to.
func TestSoakJudgeSeesAServerThatWasWrittenToBeOut(t *testing.T) {
	const told = time.Second
	const bound = told + drainGrace + soakSlack
	for name, write := range map[string]func(trial *writtenTrial){
		"changes": func(trial *writtenTrial) {
			trial.writes(0, trial.answer(0, 2, false, soakLine(standin.Terminating, 7)), true, told)
		},
		"half an answer": func(trial *writtenTrial) {
			trial.writes(0, trial.answer(0, 2, false, soakLine(standin.Terminated, 7)), false, told)
		},
		"a whole list that does not name it": func(trial *writtenTrial) {
			trial.writes(0, trial.answer(0, 2, true), true, told)
		},
		"a version that starts anew": func(trial *writtenTrial) {
			trial.writes(0, trial.answer(0, 9, false, soakLine(standin.InService, 7)), true, told/2)
			trial.writes(0, trial.answer(1, 2, false, soakLine(standin.Terminating, 7)), true, told)
		},
	} {
		trial := newWrittenTrial(t)
		trial.expect(false, time.Hour, name+", before")
		write(trial)
		trial.expect(false, bound, name+", up to the grace")
		trial.expect(true, bound+time.Millisecond, name+", beyond it")
		trial.expect(true, time.Hour, name+", for long")
	}
}

// What puts a server back: a later version of the address that told it, a later start, or an address that
// has had time to catch up. Nothing else does.
func TestSoakJudgeOfWhatPutsAServerBack(t *testing.T) {
	const later = time.Minute / 2
	in, started := soakLine(standin.InService, 7), soakLine(standin.InService, 8)
	for name, c := range map[string]struct {
		write     func(trial *writtenTrial)
		after     time.Duration
		forbidden bool
	}{
		"a later version": {func(trial *writtenTrial) {
			trial.writes(0, trial.answer(0, 6, true, in), true, later)
		}, later, false},
		"a later version that is not whole": {func(trial *writtenTrial) {
			trial.writes(0, trial.answer(0, 6, true, in), false, later)
		}, later, true},
		"the same version": {func(trial *writtenTrial) {
			trial.writes(0, trial.answer(0, 5, true, in), true, later)
		}, later, true},
		"an earlier version": {func(trial *writtenTrial) {
			trial.writes(0, trial.answer(0, 4, true, in), true, later)
		}, later, true},
		"a later start": {func(trial *writtenTrial) {
			trial.writes(0, trial.answer(0, 4, true, started), true, later)
		}, later, false},
		"a later version of another address": {func(trial *writtenTrial) {
			trial.written.moved(trial.addresses[1], trial.after(later))
			trial.writes(1, trial.answer(0, 6, true, in), true, later)
		}, later + catchUpAfter, true},
		"another address that has caught up": {func(trial *writtenTrial) {
			trial.written.moved(trial.addresses[1], trial.after(later))
			trial.writes(1, trial.answer(0, 6, true, in), true, later)
		}, later + catchUpAfter + time.Millisecond, false},
		"an address that is not named any more": {func(trial *writtenTrial) {
			trial.writes(0, trial.answer(0, 5, true, in), true, later)
			trial.written.moved(trial.addresses[1], trial.after(later))
		}, later + 2*catchUpAfter, true},
		"another address that told it too, in a later version": {func(trial *writtenTrial) {
			trial.written.moved(trial.addresses[1], trial.after(later))
			trial.writes(1, trial.answer(0, 1, true, soakLine(standin.Terminating, 7)), true, later)
			trial.writes(1, trial.answer(0, 2, false, in), true, later)
		}, later, false},
	} {
		trial := newWrittenTrial(t)
		trial.writes(0, trial.answer(0, 5, false, soakLine(standin.Terminating, 7)), true, time.Second)
		trial.expect(true, later, name+", before")
		c.write(trial)
		trial.expect(c.forbidden, c.after, name)
	}
}

// What may not have arrived does not count, and an answer from before does not take out what a later version
// of the same address has put into service.
func TestSoakJudgeOfWhatMayNotHaveArrived(t *testing.T) {
	const told = time.Second
	out := soakLine(standin.Terminating, 7)
	for name, write := range map[string]func(trial *writtenTrial){
		"a link that is broken": func(trial *writtenTrial) {
			trial.written.linkChanges(trial.addresses[0], standin.LinkDropsData, trial.after(0))
			trial.writes(0, trial.answer(0, 5, false, out), true, told)
		},
		"a link that breaks just behind it": func(trial *writtenTrial) {
			trial.writes(0, trial.answer(0, 5, false, out), true, told)
			trial.written.linkChanges(trial.addresses[0], standin.LinkResets, trial.after(told+writtenUnsure))
		},
		"a new configuration just behind it": func(trial *writtenTrial) {
			trial.writes(0, trial.answer(0, 5, false, out), true, told)
			trial.written.moved(trial.addresses[1], trial.after(told+writtenUnsure))
		},
		"an address that is not named": func(trial *writtenTrial) {
			trial.writes(1, trial.answer(0, 5, false, out), true, told)
		},
		"a call that is left just behind it": func(trial *writtenTrial) {
			answer := trial.answer(0, 5, false, out)
			trial.writes(0, answer, false, told)
			trial.written.abandoned(0, answer.CallNumber, trial.after(told+writtenUnsure))
		},
		"an answer from before": func(trial *writtenTrial) {
			trial.writes(0, trial.answer(0, 6, false, soakLine(standin.InService, 7)), true, told)
			trial.writes(0, trial.answer(0, 5, false, out), true, told)
		},
		"an earlier start": func(trial *writtenTrial) {
			trial.writes(0, trial.answer(0, 5, false, soakLine(standin.Terminating, 6)), true, told)
		},
	} {
		trial := newWrittenTrial(t)
		write(trial)
		trial.expect(false, time.Hour, name)
	}
	trial := newWrittenTrial(t)
	trial.writes(0, trial.answer(0, 5, false, out), true, told)
	trial.written.linkChanges(trial.addresses[0], standin.LinkResets, trial.after(told+writtenUnsure+time.Millisecond))
	trial.expect(true, time.Hour, "a link that breaks some time behind it")
}
