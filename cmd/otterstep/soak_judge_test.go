package main

import (
	"slices"
	"testing"
	"time"

	"otterstep/internal/standin"
)

// The soak's judge has to see what it is there for.
func TestSoakJudgeSeesABreak(t *testing.T) {
	w := &soakWorld{t: t, present: &soakAddress{}}
	at := time.Now()
	w.changed("s-0", standin.Terminating, at)
	late := at.Add(toldAfter + drainGrace + soakSlack + time.Millisecond)
	if !w.mayBeSent("s-0", late.Add(-2*time.Millisecond)) || w.mayBeSent("s-0", late) {
		t.Error("a server that drains may be sent to up to the grace after it counts as told, and no longer")
	}
	w.outageBegins(at.Add(time.Second))
	if !w.mayBeSent("s-0", late.Add(time.Hour)) {
		t.Error("nothing counts as told during an outage")
	}
	w.outageEnds(at.Add(4 * time.Second))
	if !w.mayBeSent("s-0", late) || w.mayBeSent("s-0", late.Add(4*time.Second)) {
		t.Error("an outage makes it count as told later")
	}
	w.reloaded(at)
	if w.mayBeSent("s-0", at.Add(reloadAfter+drainGrace+soakSlack+time.Millisecond)) {
		t.Error("a reload makes it count as told sooner")
	}
	w.changed("s-0", standin.InService, time.Now())
	if !w.mayBeSent("s-0", late.Add(time.Hour)) || !slices.ContainsFunc(w.changes, func(c soakChange) bool { return c.state == standin.InService }) {
		t.Error("a server that is back may be sent to")
	}
}

// What an agent has counts as told at once, and what it has at its return then.
func TestSoakJudgeSeesABreakOfAnAgentsNews(t *testing.T) {
	w := &soakWorld{t: t, pushed: true, present: &soakAddress{}}
	at := time.Now()
	w.changed("s-0", standin.Terminating, at)
	late := at.Add(drainGrace + soakSlack + time.Millisecond)
	if !w.mayBeSent("s-0", late.Add(-2*time.Millisecond)) || w.mayBeSent("s-0", late) {
		t.Error("a server that drains may be sent to up to the grace after an agent has it, and no longer")
	}
	w.outageBegins(at)
	if !w.mayBeSent("s-0", late.Add(time.Hour)) {
		t.Error("nothing counts as told while an agent is silent")
	}
	w.outageEnds(at.Add(time.Minute))
	if !w.mayBeSent("s-0", late.Add(time.Minute-2*time.Millisecond)) || w.mayBeSent("s-0", late.Add(time.Minute)) {
		t.Error("what an agent has at its return counts as told then")
	}
}

// What an address that lags gets only later counts from then on, and what was told before a new
// configuration stays told.
func TestSoakJudgeOfAnAddressThatLags(t *testing.T) {
	const lag = 5 * time.Second
	const bound = drainGrace + soakSlack + time.Millisecond
	for _, c := range []struct {
		pushed bool
		lagged time.Duration // told, where the address has lagged all along
		moved  time.Duration // told, where it is named 1 s after the change
	}{
		{pushed: false, lagged: lag + toldAfter, moved: lag + toldAfter},
		{pushed: true, lagged: lag, moved: 0},
	} {
		at := time.Now()
		lags := &soakWorld{t: t, pushed: c.pushed, present: &soakAddress{lag: lag}}
		lags.changed("s-0", standin.Terminating, at)
		moves := &soakWorld{t: t, pushed: c.pushed, present: &soakAddress{}}
		moves.changed("s-0", standin.Terminating, at)
		moves.present = &soakAddress{lag: lag}
		moves.reloaded(at.Add(time.Second))
		for _, world := range []struct {
			w    *soakWorld
			told time.Duration
		}{{lags, c.lagged}, {moves, c.moved}} {
			late := at.Add(world.told + bound)
			if !world.w.mayBeSent("s-0", late.Add(-2*time.Millisecond)) || world.w.mayBeSent("s-0", late) {
				t.Errorf("pushed %v: not told after %v", c.pushed, world.told)
			}
		}
	}
}

// A process that starts before an agent that lags has got a change counts as told once it has.
func TestSoakJudgeOfAProcessThatStartsBeforeAnAgentThatLags(t *testing.T) {
	const lag = 5 * time.Second
	const bound = drainGrace + soakSlack + time.Millisecond
	w := &soakWorld{t: t, pushed: true, present: &soakAddress{}}
	at := time.Now().Add(-lag / 2)
	w.changed("s-0", standin.Terminating, at)
	w.changed("s-1", standin.Terminating, at.Add(-lag))
	w.present = &soakAddress{lag: lag}
	w.processBegins(standin.List{})
	if late := at.Add(lag + bound); !w.mayBeSent("s-0", late.Add(-2*time.Millisecond)) || w.mayBeSent("s-0", late) {
		t.Error("what the agent gets later counts from then on")
	}
	if w.mayBeSent("s-1", at.Add(bound)) {
		t.Error("what the agent has counts from the first moment on")
	}
}

// What an agent told just before a new configuration may not have been read, and an address that lags does
// not repeat it; what it told longer before stays told.
func TestSoakJudgeOfANewConfigurationJustBehindAChange(t *testing.T) {
	const lag = 5 * time.Second
	const bound = drainGrace + soakSlack + time.Millisecond
	for before, told := range map[time.Duration]time.Duration{
		writtenUnsure:                    lag,
		writtenUnsure + time.Millisecond: 0,
	} {
		w := &soakWorld{t: t, pushed: true, present: &soakAddress{}}
		at := time.Now()
		w.changed("s-0", standin.Terminating, at)
		w.present = &soakAddress{lag: lag}
		w.reloaded(at.Add(before))
		if late := at.Add(told + bound); !w.mayBeSent("s-0", late.Add(-2*time.Millisecond)) || w.mayBeSent("s-0", late) {
			t.Errorf("%v before: not told after %v", before, told)
		}
	}
}

// An agent's process may send nothing before a whole answer, and what the node finds out itself counts.
func TestSoakJudgeOfAProcessThatWasNotAnswered(t *testing.T) {
	w := &soakWorld{t: t, pushed: true, present: &soakAddress{}, requests: map[string]*soakRequest{}}
	w.processBegins(standin.List{Entries: []standin.Entry{soakLine(standin.InService, 7)}})
	w.requests["r"] = &soakRequest{process: w.process}
	observer := &soakObserver{w: w, address: w.present}
	answer := &standin.Answer{CalledAt: time.Now(), FirstByteAt: time.Now(), List: standin.List{Version: 2}}
	w.judge(soakUID(0), "r", time.Now())
	if len(w.problems) != 1 {
		t.Errorf("a request before the first answer: %q", w.problems)
	}
	early := &standin.Answer{CalledAt: time.Now().Add(-time.Minute), FirstByteAt: time.Now()}
	observer.Completing(early) // of a call of the process before
	observer.EntriesWritten(answer, answer.List.Entries, false)
	w.judge(soakUID(0), "r", time.Now())
	if len(w.problems) != 2 {
		t.Errorf("a request before the first whole answer: %q", w.problems)
	}
	observer.Completing(answer)
	w.judge(soakUID(0), "r", time.Now())
	if len(w.problems) != 2 {
		t.Errorf("a request behind the first whole answer: %q", w.problems[2:])
	}
}

// A request that a server gets past the grace has to be seen through the world, too.
func TestSoakJudgeSeesARequestPastTheGrace(t *testing.T) {
	w := &soakWorld{t: t, present: &soakAddress{}, requests: map[string]*soakRequest{}}
	w.processBegins(standin.List{Entries: []standin.Entry{soakLine(standin.InService, 7)}})
	w.requests["r"] = &soakRequest{process: w.process}
	observer := &soakObserver{w: w, address: w.present}
	answer := &standin.Answer{CalledAt: time.Now(), FirstByteAt: time.Now(), List: standin.List{Version: 2, Entries: []standin.Entry{soakLine(standin.Terminating, 7)}}}
	observer.EntriesWritten(answer, answer.List.Entries, false)
	bound := drainGrace + soakSlack + soakLink
	w.judge(soakUID(0), "r", time.Now())
	if len(w.problems) != 0 {
		t.Errorf("within the grace: %q", w.problems)
	}
	w.judge(soakUID(0), "r", time.Now().Add(bound+time.Millisecond))
	if len(w.problems) != 1 {
		t.Errorf("past the grace: %q", w.problems)
	}
}

// What a node logs of a break, and how many goroutines it dumps, has to be seen.
func TestSoakReadsTheLogOfANode(t *testing.T) {
	w := &soakWorld{t: t}
	n := &soakNode{w: w}
	n.log.Write([]byte("time=1 level=INFO msg=\"no drain violation\"\n"))
	n.checkLog()
	if len(w.problems) != 0 {
		t.Errorf("without a break: %q", w.problems)
	}
	n.log.Write([]byte("time=1 level=ERROR msg=\"drain violation\" server=s-0\n"))
	n.checkLog()
	if len(w.problems) != 1 {
		t.Errorf("with a break: %q", w.problems)
	}
	before := n.log.String()
	n.log.Write([]byte("SIGQUIT: quit\nPC=0x1\n\ngoroutine 0 [idle]:\nx\n\ngoroutine 1 [select]:\ny\n"))
	if count := n.log.dropDump(); count != 2 || n.log.String() != before {
		t.Errorf("%d goroutines, the log is then %q", count, n.log.String())
	}
}

// A small fleet that could hear a change before an outage is not excused by it, and a large one is.
func TestSoakJudgeOfAChangeThatCouldBeHeardBeforeAnOutage(t *testing.T) {
	for _, c := range []struct {
		fleet   int
		reached time.Duration // from the change to the outage
		excused bool
	}{
		{soakHandful, soakReached, false},
		{soakHandful, soakReached - time.Millisecond, true},
		{soakHandful + 1, toldAfter - time.Second, true},
	} {
		w := &soakWorld{t: t, fleet: c.fleet, present: &soakAddress{}}
		at := time.Now()
		w.changed("s-0", standin.Terminating, at)
		from := at.Add(c.reached)
		w.outageBegins(from)
		late := at.Add(max(c.reached, toldAfter) + drainGrace + soakSlack + time.Millisecond)
		if w.mayBeSent("s-0", late) != c.excused {
			t.Errorf("%d nodes, outage %v behind the change: excused %v during it", c.fleet, c.reached, !c.excused)
		}
		w.outageEnds(late)
		if w.mayBeSent("s-0", late.Add(time.Second)) != (c.excused && c.reached < toldAfter) {
			t.Errorf("%d nodes, outage %v behind the change: excused %v behind it", c.fleet, c.reached, !c.excused)
		}
	}
}

// A list that is overdue though discovery could be reached is a break; behind an outage or a start it is none.
func TestSoakJudgeOfAListThatIsOverdue(t *testing.T) {
	const allowed = toldAfter + drainGrace + soakSlack
	at := time.Now()
	line := "time=" + at.UTC().Format(time.RFC3339Nano) + " level=WARN msg=\"the list is overdue and goes on serving\"\n"
	for name, c := range map[string]struct {
		world *soakWorld
		want  int
	}{
		"reached":                    {&soakWorld{fleet: 1}, 1},
		"an outage just ended":       {&soakWorld{fleet: 1, outages: []soakSpan{{at.Add(-time.Minute), at.Add(time.Millisecond - allowed)}}}, 0},
		"an outage ended before":     {&soakWorld{fleet: 1, outages: []soakSpan{{at.Add(-time.Minute), at.Add(-time.Millisecond - allowed)}}}, 1},
		"an outage begins later":     {&soakWorld{fleet: 1, outages: []soakSpan{{at.Add(time.Second), at.Add(time.Minute)}}}, 1},
		"the process has just begun": {&soakWorld{fleet: 1, starts: []time.Time{at.Add(-time.Second)}}, 0},
		"a large fleet":              {&soakWorld{fleet: soakHandful + 1}, 0},
	} {
		w := c.world
		w.t = t
		n := &soakNode{w: w}
		n.log.Write([]byte(line))
		n.checkLog()
		if len(w.problems) != c.want {
			t.Errorf("%s: %d problems, want %d: %q", name, len(w.problems), c.want, w.problems)
		}
	}
}
