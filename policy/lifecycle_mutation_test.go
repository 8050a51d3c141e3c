package policy

import (
	"maps"
	"slices"
	"testing"
)

// always gives a mutation that changes events in a way.
func changeEachUpdate(change func(event *listUpdate)) mutation {
	return mutation{changeUpdate: func(event listUpdate) listUpdate {
		event.entries = slices.Clone(event.entries)
		change(&event)
		return event
	}}
}

// lastWordCounts is a node that takes each list as the latest word, as the release before tombstones did.
func latestUpdateWins() mutation {
	version := int64(0)
	return changeEachUpdate(func(event *listUpdate) {
		version++
		event.origin = Origin{Source: 1, Version: version}
		if event.kind == ListOutdated {
			event.kind = ListWhole
		}
	})
}

// lifecycleMutations are faults that the model has to find, with the rule that each breaks.
var lifecycleMutations = []struct {
	name     string
	scenario string
	mutation func() mutation
	want     violationKind
}{
	{"the last word counts", "one source", latestUpdateWins, sentToOutOfService},
	{"the last word counts", "two sources", latestUpdateWins, sentToOutOfService},
	{"the last word counts, also of a former start", "two sources", latestUpdateWins, sentToFormerIncarnation},
	{"all sources are one", "two sources", func() mutation {
		return changeEachUpdate(func(event *listUpdate) { event.origin.Source = 1 })
	}, sentToOutOfService},
	{"starts are not told apart", "two sources", func() mutation {
		return changeEachUpdate(func(event *listUpdate) {
			for i := range event.entries {
				event.entries[i].StartedAt = 0
			}
		})
	}, sentToFormerIncarnation},
	{"lines of answers that are not whole are dropped", "two sources, partial answers", func() mutation {
		return changeEachUpdate(func(event *listUpdate) {
			if event.kind == ListPartial {
				event.entries = nil
			}
		})
	}, notCancelledOutOfService},
	{"what an earlier list does not name stays", "one source", func() mutation {
		return changeEachUpdate(func(event *listUpdate) {
			if event.kind == ListOutdated {
				event.kind = ListPartial
			}
		})
	}, sentToOutOfService},
	{"what a whole list does not name stays", "one source", func() mutation {
		return changeEachUpdate(func(event *listUpdate) {
			if event.kind == ListWhole {
				event.kind = ListChanges
			}
		})
	}, sentToOutOfService},
	{"each answer comes from a source of its own", "one source", func() mutation {
		source := SourceID(0)
		return changeEachUpdate(func(event *listUpdate) {
			source++
			event.origin.Source = source
		})
	}, inServiceWithoutWork},
	{"whole answers count in part", "one source", func() mutation {
		return changeEachUpdate(func(event *listUpdate) {
			if event.kind == ListChanges {
				event.kind = ListPartial
			}
		})
	}, inServiceWithoutWork},
	{"servers that start are left out", "two sources", func() mutation {
		return changeEachUpdate(func(event *listUpdate) {
			event.entries = slices.DeleteFunc(event.entries, func(e Entry) bool { return e.StartedAt > 0 })
		})
	}, inServiceWithoutWork},
	{"each line of an answer that is not whole counts as leaving", "one source", func() mutation {
		return changeEachUpdate(func(event *listUpdate) {
			for i := range event.entries {
				if event.kind == ListPartial {
					event.entries[i].State = StateDraining
				}
			}
		})
	}, cancelledInService},
	{"a kept list counts as confirmed", "restarts, pushed", func() mutation {
		return changeEachUpdate(func(event *listUpdate) {
			if event.kind == ListCached {
				event.kind = ListWhole
			}
		})
	}, sentUnconfirmed},
	{"a kept list counts as confirmed", "restarts, asked", func() mutation {
		return changeEachUpdate(func(event *listUpdate) {
			if event.kind == ListCached {
				event.kind = ListWhole
			}
		})
	}, sentUnconfirmed},
	{"attempts go on at servers that leave", "one source", func() mutation {
		return mutation{ignoresCancelUnsent: true}
	}, notCancelledOutOfService},
}

// scenarioOf gives the scenario of a name.
func scenarioNamed(name string) scenario {
	return scenarios[slices.IndexFunc(scenarios, func(s scenario) bool { return s.name == name })]
}

// The model has to find what breaks a rule, or it proves nothing.
func TestLifecycleModelFindsMutations(t *testing.T) {
	for _, c := range lifecycleMutations {
		finds := func(broken []violatingPath) bool {
			return len(broken) > 0 && broken[len(broken)-1].violates(c.want)
		}
		e := exploration{scenario: scenarioNamed(c.scenario), newMutation: c.mutation, isEnough: finds}
		e.explore()
		if !finds(e.violating) {
			t.Errorf("%s (%s): not found in %d paths: %v", c.name, c.scenario, e.paths, c.want)
			continue
		}
		t.Logf("%s (%s): found by path %d of the exploration: %v", c.name, c.scenario, e.paths, e.violating[len(e.violating)-1])
	}
}

// Paths that lead to equal states are merged. With faults in place, what is found must be the same without.
func TestLifecycleModelFindsTheSameWithoutMerging(t *testing.T) {
	const depth = 3
	all := func([]violatingPath) bool { return false }
	for _, name := range []string{"two sources", "two servers", "restarts, asked"} {
		s := scenarioNamed(name)
		s.maxDepth = depth
		merged := exploration{scenario: s, newMutation: latestUpdateWins, isEnough: all}
		apart := exploration{scenario: s, newMutation: latestUpdateWins, isEnough: all, withoutMerging: true}
		merged.explore()
		apart.explore()
		want, got := distinctViolations(apart.violating), distinctViolations(merged.violating)
		if len(want) == 0 || !maps.Equal(got, want) {
			t.Errorf("%s: %d breaks in %d merged paths, %d in %d paths", s.name, len(got), merged.paths, len(want), apart.paths)
		}
	}
}

// ruleBreaks gives the different breaks of rules.
func distinctViolations(paths []violatingPath) map[ruleViolation]struct{} {
	violations := map[ruleViolation]struct{}{}
	for _, path := range paths {
		for _, violation := range path.violations {
			violations[violation] = struct{}{}
		}
	}
	return violations
}
