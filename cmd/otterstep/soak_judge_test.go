package main

import (
	"slices"
	"testing"
	"time"

	"otterstep/internal/standin"
)

// The soak's judge has to see what it is there for.
func TestSoakCheckerSeesSendsToDrainingServers(t *testing.T) {
	env := &soakEnvironment{t: t, configured: &soakAddress{}}
	at := time.Now()
	env.recordChange("s-0", standin.Terminating, at)
	afterGrace := at.Add(maxListAge + drainGrace + soakSchedulingSlack + time.Millisecond)
	if !env.maySendTo("s-0", afterGrace.Add(-2*time.Millisecond)) || env.maySendTo("s-0", afterGrace) {
		t.Error("a server that drains may be sent to up to the grace after it counts as told, and no longer")
	}
	env.recordOutageStart(at.Add(time.Second))
	if !env.maySendTo("s-0", afterGrace.Add(time.Hour)) {
		t.Error("nothing counts as told during an outage")
	}
	env.recordOutageEnd(at.Add(4 * time.Second))
	if !env.maySendTo("s-0", afterGrace) || env.maySendTo("s-0", afterGrace.Add(4*time.Second)) {
		t.Error("an outage makes it count as told later")
	}
	env.recordReload(at)
	if env.maySendTo("s-0", at.Add(maxAddressChangeDelay+drainGrace+soakSchedulingSlack+time.Millisecond)) {
		t.Error("a reload makes it count as told sooner")
	}
	env.recordChange("s-0", standin.InService, time.Now())
	if !env.maySendTo("s-0", afterGrace.Add(time.Hour)) || !slices.ContainsFunc(env.changes, func(change soakChange) bool { return change.state == standin.InService }) {
		t.Error("a server that is back may be sent to")
	}
}

// What an agent has counts as told at once, and what it has at its return then.
func TestSoakCheckerSeesSendsAfterAnAgentHasTheChange(t *testing.T) {
	env := &soakEnvironment{t: t, isPushed: true, configured: &soakAddress{}}
	at := time.Now()
	env.recordChange("s-0", standin.Terminating, at)
	afterGrace := at.Add(drainGrace + soakSchedulingSlack + time.Millisecond)
	if !env.maySendTo("s-0", afterGrace.Add(-2*time.Millisecond)) || env.maySendTo("s-0", afterGrace) {
		t.Error("a server that drains may be sent to up to the grace after an agent has it, and no longer")
	}
	env.recordOutageStart(at)
	if !env.maySendTo("s-0", afterGrace.Add(time.Hour)) {
		t.Error("nothing counts as told while an agent is silent")
	}
	env.recordOutageEnd(at.Add(time.Minute))
	if !env.maySendTo("s-0", afterGrace.Add(time.Minute-2*time.Millisecond)) || env.maySendTo("s-0", afterGrace.Add(time.Minute)) {
		t.Error("what an agent has at its return counts as told then")
	}
}

// What an address that lags gets only later counts from then on, and what was told before a new
// configuration stays told.
func TestSoakCheckerAllowsForAnAddressThatLags(t *testing.T) {
	const lag = 5 * time.Second
	const bound = drainGrace + soakSchedulingSlack + time.Millisecond
	for _, testCase := range []struct {
		pushed                 bool
		deadlineIfLagging      time.Duration // told, where the address has lagged all along
		deadlineIfReconfigured time.Duration // told, where it is named 1 s after the change
	}{
		{pushed: false, deadlineIfLagging: lag + maxListAge, deadlineIfReconfigured: lag + maxListAge},
		{pushed: true, deadlineIfLagging: lag, deadlineIfReconfigured: 0},
	} {
		at := time.Now()
		lagging := &soakEnvironment{t: t, isPushed: testCase.pushed, configured: &soakAddress{lag: lag}}
		lagging.recordChange("s-0", standin.Terminating, at)
		reconfigured := &soakEnvironment{t: t, isPushed: testCase.pushed, configured: &soakAddress{}}
		reconfigured.recordChange("s-0", standin.Terminating, at)
		reconfigured.configured = &soakAddress{lag: lag}
		reconfigured.recordReload(at.Add(time.Second))
		for _, variant := range []struct {
			env      *soakEnvironment
			deadline time.Duration
		}{{lagging, testCase.deadlineIfLagging}, {reconfigured, testCase.deadlineIfReconfigured}} {
			afterGrace := at.Add(variant.deadline + bound)
			if !variant.env.maySendTo("s-0", afterGrace.Add(-2*time.Millisecond)) || variant.env.maySendTo("s-0", afterGrace) {
				t.Errorf("pushed %v: not told after %v", testCase.pushed, variant.deadline)
			}
		}
	}
}

// A process that starts before an agent that lags has got a change counts as told once it has.
func TestSoakCheckerAllowsForAnAgentThatLagsAtAStart(t *testing.T) {
	const lag = 5 * time.Second
	const bound = drainGrace + soakSchedulingSlack + time.Millisecond
	env := &soakEnvironment{t: t, isPushed: true, configured: &soakAddress{}}
	at := time.Now().Add(-lag / 2)
	env.recordChange("s-0", standin.Terminating, at)
	env.recordChange("s-1", standin.Terminating, at.Add(-lag))
	env.configured = &soakAddress{lag: lag}
	env.recordProcessStart(standin.List{})
	if afterGrace := at.Add(lag + bound); !env.maySendTo("s-0", afterGrace.Add(-2*time.Millisecond)) || env.maySendTo("s-0", afterGrace) {
		t.Error("what the agent gets later counts from then on")
	}
	if env.maySendTo("s-1", at.Add(bound)) {
		t.Error("what the agent has counts from the first moment on")
	}
}

// What an agent told just before a new configuration may not have been read, and an address that lags does
// not repeat it; what it told longer before stays told.
func TestSoakCheckerAllowsForAnAddressChangeJustAfterANotice(t *testing.T) {
	const lag = 5 * time.Second
	const bound = drainGrace + soakSchedulingSlack + time.Millisecond
	for timeSinceChange, deadline := range map[time.Duration]time.Duration{
		maxUnreadTime:                    lag,
		maxUnreadTime + time.Millisecond: 0,
	} {
		env := &soakEnvironment{t: t, isPushed: true, configured: &soakAddress{}}
		at := time.Now()
		env.recordChange("s-0", standin.Terminating, at)
		env.configured = &soakAddress{lag: lag}
		env.recordReload(at.Add(timeSinceChange))
		if afterGrace := at.Add(deadline + bound); !env.maySendTo("s-0", afterGrace.Add(-2*time.Millisecond)) || env.maySendTo("s-0", afterGrace) {
			t.Errorf("%v before: not told after %v", timeSinceChange, deadline)
		}
	}
}

// An agent's process may send nothing before a whole answer, and what the node finds out itself counts.
func TestSoakCheckerSeesSendsBeforeTheFirstWholeAnswer(t *testing.T) {
	env := &soakEnvironment{t: t, isPushed: true, configured: &soakAddress{}, requests: map[string]*soakRequest{}}
	env.recordProcessStart(standin.List{Entries: []standin.Entry{newSoakEntry(standin.InService, 7)}})
	env.requests["r"] = &soakRequest{processNumber: env.processNumber}
	observer := &soakObserver{env: env, address: env.configured}
	answer := &standin.Answer{CalledAt: time.Now(), FirstByteAt: time.Now(), List: standin.List{Version: 2}}
	env.checkSend(soakServerUID(0), "r", time.Now())
	if len(env.violations) != 1 {
		t.Errorf("a request before the first answer: %q", env.violations)
	}
	formerAnswer := &standin.Answer{CalledAt: time.Now().Add(-time.Minute), FirstByteAt: time.Now()}
	observer.Completing(formerAnswer) // of a call of the process before
	observer.EntriesWritten(answer, answer.List.Entries, false)
	env.checkSend(soakServerUID(0), "r", time.Now())
	if len(env.violations) != 2 {
		t.Errorf("a request before the first whole answer: %q", env.violations)
	}
	observer.Completing(answer)
	env.checkSend(soakServerUID(0), "r", time.Now())
	if len(env.violations) != 2 {
		t.Errorf("a request behind the first whole answer: %q", env.violations[2:])
	}
}

// A request that a server gets past the grace has to be seen through the world, too.
func TestSoakCheckerSeesARequestPastTheDrainGrace(t *testing.T) {
	env := &soakEnvironment{t: t, configured: &soakAddress{}, requests: map[string]*soakRequest{}}
	env.recordProcessStart(standin.List{Entries: []standin.Entry{newSoakEntry(standin.InService, 7)}})
	env.requests["r"] = &soakRequest{processNumber: env.processNumber}
	observer := &soakObserver{env: env, address: env.configured}
	answer := &standin.Answer{CalledAt: time.Now(), FirstByteAt: time.Now(), List: standin.List{Version: 2, Entries: []standin.Entry{newSoakEntry(standin.Terminating, 7)}}}
	observer.EntriesWritten(answer, answer.List.Entries, false)
	bound := drainGrace + soakSchedulingSlack + soakMaxLinkDelay
	env.checkSend(soakServerUID(0), "r", time.Now())
	if len(env.violations) != 0 {
		t.Errorf("within the grace: %q", env.violations)
	}
	env.checkSend(soakServerUID(0), "r", time.Now().Add(bound+time.Millisecond))
	if len(env.violations) != 1 {
		t.Errorf("past the grace: %q", env.violations)
	}
}

// What a node logs of a break, and how many goroutines it dumps, has to be seen.
func TestSoakCheckerReadsTheLogOfANode(t *testing.T) {
	env := &soakEnvironment{t: t}
	node := &soakNode{env: env}
	node.log.Write([]byte("time=1 level=INFO msg=\"no drain violation\"\n"))
	node.checkLog()
	if len(env.violations) != 0 {
		t.Errorf("without a break: %q", env.violations)
	}
	node.log.Write([]byte("time=1 level=ERROR msg=\"drain violation\" server=s-0\n"))
	node.checkLog()
	if len(env.violations) != 1 {
		t.Errorf("with a break: %q", env.violations)
	}
	logBeforeDump := node.log.String()
	node.log.Write([]byte("SIGQUIT: quit\nPC=0x1\n\ngoroutine 0 [idle]:\nx\n\ngoroutine 1 [select]:\ny\n"))
	if count := node.log.removeGoroutineDump(); count != 2 || node.log.String() != logBeforeDump {
		t.Errorf("%d goroutines, the log is then %q", count, node.log.String())
	}
}

// A small fleet that could hear a change before an outage is not excused by it, and a large one is.
func TestSoakCheckerOfAChangeThatCouldBeKnownBeforeAnOutage(t *testing.T) {
	for _, testCase := range []struct {
		fleet        int
		reachableFor time.Duration // from the change to the outage
		isExcused    bool
	}{
		{soakSmallFleetMaxNodes, soakMinReachableTime, false},
		{soakSmallFleetMaxNodes, soakMinReachableTime - time.Millisecond, true},
		{soakSmallFleetMaxNodes + 1, maxListAge - time.Second, true},
	} {
		env := &soakEnvironment{t: t, fleetSize: testCase.fleet, configured: &soakAddress{}}
		at := time.Now()
		env.recordChange("s-0", standin.Terminating, at)
		outageStart := at.Add(testCase.reachableFor)
		env.recordOutageStart(outageStart)
		afterGrace := at.Add(max(testCase.reachableFor, maxListAge) + drainGrace + soakSchedulingSlack + time.Millisecond)
		if env.maySendTo("s-0", afterGrace) != testCase.isExcused {
			t.Errorf("%d nodes, outage %v behind the change: excused %v during it", testCase.fleet, testCase.reachableFor, !testCase.isExcused)
		}
		env.recordOutageEnd(afterGrace)
		if env.maySendTo("s-0", afterGrace.Add(time.Second)) != (testCase.isExcused && testCase.reachableFor < maxListAge) {
			t.Errorf("%d nodes, outage %v behind the change: excused %v behind it", testCase.fleet, testCase.reachableFor, !testCase.isExcused)
		}
	}
}

// A list that is overdue though discovery could be reached is a break; behind an outage or a start it is none.
func TestSoakCheckerSeesAListThatIsOverdue(t *testing.T) {
	const excuseDuration = maxListAge + drainGrace + soakSchedulingSlack
	at := time.Now()
	line := "time=" + at.UTC().Format(time.RFC3339Nano) + " level=WARN msg=\"the list is overdue and goes on serving\"\n"
	for name, testCase := range map[string]struct {
		env  *soakEnvironment
		want int
	}{
		"reached":                    {&soakEnvironment{fleetSize: 1}, 1},
		"an outage just ended":       {&soakEnvironment{fleetSize: 1, pastOutages: []soakOutage{{at.Add(-time.Minute), at.Add(time.Millisecond - excuseDuration)}}}, 0},
		"an outage ended before":     {&soakEnvironment{fleetSize: 1, pastOutages: []soakOutage{{at.Add(-time.Minute), at.Add(-time.Millisecond - excuseDuration)}}}, 1},
		"an outage begins later":     {&soakEnvironment{fleetSize: 1, pastOutages: []soakOutage{{at.Add(time.Second), at.Add(time.Minute)}}}, 1},
		"the process has just begun": {&soakEnvironment{fleetSize: 1, processStarts: []time.Time{at.Add(-time.Second)}}, 0},
		"a large fleet":              {&soakEnvironment{fleetSize: soakSmallFleetMaxNodes + 1}, 0},
	} {
		env := testCase.env
		env.t = t
		node := &soakNode{env: env}
		node.log.Write([]byte(line))
		node.checkLog()
		if len(env.violations) != testCase.want {
			t.Errorf("%s: %d problems, want %d: %q", name, len(env.violations), testCase.want, env.violations)
		}
	}
}
