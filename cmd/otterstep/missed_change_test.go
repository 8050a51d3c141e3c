package main

import (
	"strings"
	"testing"
	"time"

	"otterstep/internal/standin"
)

// missedChangeFaults are faults that begin at the instant of a change that open watches miss. Discovery can be reached
// all the time.
var missedChangeFaults = []discoveryFaultCase{
	{name: "each answer takes 4 s", newFault: withMissedChange(standin.DelayedAnswers(4 * time.Second))},
	{name: "each answer takes 5 s", newFault: withMissedChange(standin.DelayedAnswers(5 * time.Second))},
	{name: "each answer comes in 50 pieces over 5 s", newFault: withMissedChange(standin.Pieces(50, 100*time.Millisecond))},
	{name: "three of four calls get a 503, answers take 2 s", newFault: withMissedChange(
		standin.Unavailable, standin.Unavailable, standin.Unavailable, standin.DelayedAnswers(2*time.Second))},
	{name: "answers take 2 s, two of three calls are reset instead", newFault: withMissedChange(
		standin.After(2*time.Second, standin.Reset), standin.After(2*time.Second, standin.Reset),
		standin.DelayedAnswers(2*time.Second))},
	{name: "answers take 3 s, every other call gets no answer", newFault: withMissedChange(
		standin.NoAnswer, standin.DelayedAnswers(3*time.Second))},
}

// withMissedChange returns a constructor of a fault: watches that are open when it begins miss what changes, and each of
// the given faults applies to one call, in a cycle.
func withMissedChange(faults ...standin.Fault) func() standin.Fault {
	return func() standin.Fault { return standin.OpenWatchesMissChanges(standin.Cycle(faults...)) }
}

// TestMissedChangeIsKnownInTimeThoughAnswersAreLate guards the rule that no request goes to a server that the
// node has to know to be out of service, where an open watch misses a change and discovery, from then on, answers late or
// fails some calls.
func TestMissedChangeIsKnownInTimeThoughAnswersAreLate(t *testing.T) {
	for _, fault := range missedChangeFaults {
		t.Run(strings.ReplaceAll(fault.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			fault.atWatchStart = true
			checkChangesUnderFault(t, fault)
		})
	}
}
