package main

import (
	"slices"
	"testing"
	"time"

	"otterstep/internal/standin"
)

// The checker has to see sends to a server that drains, from the time at which the node has to know of the drain,
// which an outage postpones and a reload brings forward.
func TestSoakCheckerSeesSendsToDrainingServers(t *testing.T) {
	env := &soakEnvironment{t: t, configured: &soakAddress{}}
	at := time.Now()
	env.recordChange("s-0", standin.Terminating, at)
	afterGrace := at.Add(maxListAge + drainGrace + soakSchedulingSlack + time.Millisecond)
	if !env.maySendTo("s-0", afterGrace.Add(-2*time.Millisecond)) || env.maySendTo("s-0", afterGrace) {
		t.Error("a draining server may be sent to until the drain grace after the notice deadline, and no longer")
	}
	env.recordOutageStart(at.Add(time.Second))
	if !env.maySendTo("s-0", afterGrace.Add(time.Hour)) {
		t.Error("during an outage the node need not know the change")
	}
	env.recordOutageEnd(at.Add(4 * time.Second))
	if !env.maySendTo("s-0", afterGrace) || env.maySendTo("s-0", afterGrace.Add(4*time.Second)) {
		t.Error("an outage postpones the notice deadline")
	}
	env.recordReload(at)
	if env.maySendTo("s-0", at.Add(maxAddressChangeDelay+drainGrace+soakSchedulingSlack+time.Millisecond)) {
		t.Error("a reload brings the notice deadline forward")
	}
	env.recordChange("s-0", standin.InService, time.Now())
	if !env.maySendTo("s-0", afterGrace.Add(time.Hour)) ||
		!slices.ContainsFunc(env.changes, func(change soakChange) bool { return change.state == standin.InService }) {
		t.Error("a server that is back in service may be sent to")
	}
}

// In pushed mode a node has to know at once what its agent has, and after an outage what the agent has at its return.
func TestSoakCheckerSeesSendsAfterAnAgentHasTheChange(t *testing.T) {
	env := &soakEnvironment{t: t, isPushed: true, configured: &soakAddress{}}
	at := time.Now()
	env.recordChange("s-0", standin.Terminating, at)
	afterGrace := at.Add(drainGrace + soakSchedulingSlack + time.Millisecond)
	if !env.maySendTo("s-0", afterGrace.Add(-2*time.Millisecond)) || env.maySendTo("s-0", afterGrace) {
		t.Error("a draining server may be sent to until the drain grace after the agent has the change, and no longer")
	}
	env.recordOutageStart(at)
	if !env.maySendTo("s-0", afterGrace.Add(time.Hour)) {
		t.Error("during an outage of the agent the node need not know the change")
	}
	env.recordOutageEnd(at.Add(time.Minute))
	if !env.maySendTo("s-0", afterGrace.Add(time.Minute-2*time.Millisecond)) || env.maySendTo("s-0", afterGrace.Add(time.Minute)) {
		t.Error("the node has to know at the agent's return what the agent has then")
	}
}

// A change that a lagging address gets late counts from then on. What an agent pushed to the node before a new
// configuration still counts after it.
func TestSoakCheckerAllowsForAnAddressThatLags(t *testing.T) {
	const lag = 5 * time.Second
	const bound = drainGrace + soakSchedulingSlack + time.Millisecond
	for _, testCase := range []struct {
		isPushed               bool
		deadlineIfLagging      time.Duration // from the change, if the address has lagged all along
		deadlineIfReconfigured time.Duration // from the change, if the address is configured 1 s after it
	}{
		{isPushed: false, deadlineIfLagging: lag + maxListAge, deadlineIfReconfigured: lag + maxListAge},
		{isPushed: true, deadlineIfLagging: lag, deadlineIfReconfigured: 0},
	} {
		at := time.Now()
		lagging := &soakEnvironment{t: t, isPushed: testCase.isPushed, configured: &soakAddress{lag: lag}}
		lagging.recordChange("s-0", standin.Terminating, at)
		reconfigured := &soakEnvironment{t: t, isPushed: testCase.isPushed, configured: &soakAddress{}}
		reconfigured.recordChange("s-0", standin.Terminating, at)
		reconfigured.configured = &soakAddress{lag: lag}
		reconfigured.recordReload(at.Add(time.Second))
		for _, variant := range []struct {
			env      *soakEnvironment
			deadline time.Duration
		}{{lagging, testCase.deadlineIfLagging}, {reconfigured, testCase.deadlineIfReconfigured}} {
			afterGrace := at.Add(variant.deadline + bound)
			if !variant.env.maySendTo("s-0", afterGrace.Add(-2*time.Millisecond)) || variant.env.maySendTo("s-0", afterGrace) {
				t.Errorf("pushed %v: the notice deadline is not %v after the change", testCase.isPushed, variant.deadline)
			}
		}
	}
}

// A process that starts before its lagging agent has a change has to know the change once the agent has it.
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
		t.Error("a change that the agent gets later counts from then on")
	}
	if env.maySendTo("s-1", at.Add(bound)) {
		t.Error("a change that the agent already has counts from the start on")
	}
}

// The process may not have read what an agent pushed just before a new configuration, and an address that lags does not
// repeat it. What the agent pushed earlier still counts.
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
		if afterGrace := at.Add(deadline + bound); !env.maySendTo("s-0", afterGrace.Add(-2*time.Millisecond)) ||
			env.maySendTo("s-0", afterGrace) {
			t.Errorf("reload %v after the change: the notice deadline is not %v after the change", timeSinceChange, deadline)
		}
	}
}

// In pushed mode a process may send nothing before its agent's first complete answer. Answers to calls of the previous
// process and partial answers do not count.
func TestSoakCheckerSeesSendsBeforeTheFirstCompleteAnswer(t *testing.T) {
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
	observer.Completing(formerAnswer) // an answer to a call of the previous process
	observer.EntriesWritten(answer, answer.List.Entries, false)
	env.checkSend(soakServerUID(0), "r", time.Now())
	if len(env.violations) != 2 {
		t.Errorf("a request before the first complete answer: %q", env.violations)
	}
	observer.Completing(answer)
	env.checkSend(soakServerUID(0), "r", time.Now())
	if len(env.violations) != 2 {
		t.Errorf("a request after the first complete answer: %q", env.violations[2:])
	}
}

// The environment has to report a request that a server receives past the drain grace, by what was written to the
// process.
func TestSoakCheckerSeesARequestPastTheDrainGrace(t *testing.T) {
	env := &soakEnvironment{t: t, configured: &soakAddress{}, requests: map[string]*soakRequest{}}
	env.recordProcessStart(standin.List{Entries: []standin.Entry{newSoakEntry(standin.InService, 7)}})
	env.requests["r"] = &soakRequest{processNumber: env.processNumber}
	observer := &soakObserver{env: env, address: env.configured}
	answer := &standin.Answer{CalledAt: time.Now(), FirstByteAt: time.Now(),
		List: standin.List{Version: 2, Entries: []standin.Entry{newSoakEntry(standin.Terminating, 7)}}}
	observer.EntriesWritten(answer, answer.List.Entries, false)
	bound := drainGrace + soakSchedulingSlack + soakMaxLinkDelay
	env.checkSend(soakServerUID(0), "r", time.Now())
	if len(env.violations) != 0 {
		t.Errorf("within the drain grace: %q", env.violations)
	}
	env.checkSend(soakServerUID(0), "r", time.Now().Add(bound+time.Millisecond))
	if len(env.violations) != 1 {
		t.Errorf("past the drain grace: %q", env.violations)
	}
}

// The checker has to see drain violations in the node's log, and to count the goroutines that a process dumps.
func TestSoakCheckerReadsTheLogOfANode(t *testing.T) {
	env := &soakEnvironment{t: t}
	node := &soakNode{env: env}
	node.log.Write([]byte("time=1 level=INFO msg=\"no drain violation\"\n"))
	node.checkLog()
	if len(env.violations) != 0 {
		t.Errorf("without a drain violation in the log: %q", env.violations)
	}
	node.log.Write([]byte("time=1 level=ERROR msg=\"drain violation\" server=s-0\n"))
	node.checkLog()
	if len(env.violations) != 1 {
		t.Errorf("with a drain violation in the log: %q", env.violations)
	}
	logBeforeDump := node.log.String()
	node.log.Write([]byte("SIGQUIT: quit\nPC=0x1\n\ngoroutine 0 [idle]:\nx\n\ngoroutine 1 [select]:\ny\n"))
	if count := node.log.removeGoroutineDump(); count != 2 || node.log.String() != logBeforeDump {
		t.Errorf("%d goroutines, the log without the dump is %q", count, node.log.String())
	}
}

// An outage does not excuse a small fleet that could learn of a change before it; it does excuse a large fleet.
func TestSoakCheckerOfAChangeThatCouldBeKnownBeforeAnOutage(t *testing.T) {
	for _, testCase := range []struct {
		fleetSize    int
		reachableFor time.Duration // time from the change to the outage
		isExcused    bool
	}{
		{soakSmallFleetMaxNodes, soakMinReachableTime, false},
		{soakSmallFleetMaxNodes, soakMinReachableTime - time.Millisecond, true},
		{soakSmallFleetMaxNodes + 1, maxListAge - time.Second, true},
	} {
		env := &soakEnvironment{t: t, fleetSize: testCase.fleetSize, configured: &soakAddress{}}
		at := time.Now()
		env.recordChange("s-0", standin.Terminating, at)
		outageStart := at.Add(testCase.reachableFor)
		env.recordOutageStart(outageStart)
		afterGrace := at.Add(max(testCase.reachableFor, maxListAge) + drainGrace + soakSchedulingSlack + time.Millisecond)
		if env.maySendTo("s-0", afterGrace) != testCase.isExcused {
			t.Errorf("%d nodes, outage %v after the change: excused %v during it", testCase.fleetSize, testCase.reachableFor, !testCase.isExcused)
		}
		env.recordOutageEnd(afterGrace)
		if env.maySendTo("s-0", afterGrace.Add(time.Second)) != (testCase.isExcused && testCase.reachableFor < maxListAge) {
			t.Errorf("%d nodes, outage %v after the change: excused %v after it", testCase.fleetSize, testCase.reachableFor, !testCase.isExcused)
		}
	}
}

// An overdue list is a violation if discovery could be reached, but not just after an outage or a start, nor in a
// large fleet.
func TestSoakCheckerSeesAListThatIsOverdue(t *testing.T) {
	const excuseDuration = maxListAge + drainGrace + soakSchedulingSlack
	at := time.Now()
	line := "time=" + at.UTC().Format(time.RFC3339Nano) + " level=WARN msg=\"the list is overdue and goes on serving\"\n"
	for name, testCase := range map[string]struct {
		env  *soakEnvironment
		want int
	}{
		"discovery is reachable": {&soakEnvironment{fleetSize: 1}, 1},
		"an outage just ended": {&soakEnvironment{fleetSize: 1,
			pastOutages: []soakOutage{{at.Add(-time.Minute), at.Add(time.Millisecond - excuseDuration)}}}, 0},
		"an outage ended long ago": {&soakEnvironment{fleetSize: 1,
			pastOutages: []soakOutage{{at.Add(-time.Minute), at.Add(-time.Millisecond - excuseDuration)}}}, 1},
		"an outage begins later": {&soakEnvironment{fleetSize: 1,
			pastOutages: []soakOutage{{at.Add(time.Second), at.Add(time.Minute)}}}, 1},
		"the process has just started": {&soakEnvironment{fleetSize: 1, processStarts: []time.Time{at.Add(-time.Second)}}, 0},
		"a large fleet":                {&soakEnvironment{fleetSize: soakSmallFleetMaxNodes + 1}, 0},
	} {
		env := testCase.env
		env.t = t
		node := &soakNode{env: env}
		node.log.Write([]byte(line))
		node.checkLog()
		if len(env.violations) != testCase.want {
			t.Errorf("%s: %d violations, want %d: %q", name, len(env.violations), testCase.want, env.violations)
		}
	}
}
