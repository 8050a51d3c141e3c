package policy

import (
	"maps"
	"slices"
	"testing"
)

// changeEachUpdate returns a mutation that applies a change to each update.
func changeEachUpdate(change func(update *listUpdate)) mutation {
	return mutation{changeUpdate: func(update listUpdate) listUpdate {
		update.entries = slices.Clone(update.entries)
		change(&update)
		return update
	}}
}

// latestUpdateWins returns a mutation by which each list counts as the latest statement, as it would without
// tombstones.
func latestUpdateWins() mutation {
	version := int64(0)
	return changeEachUpdate(func(update *listUpdate) {
		version++
		update.origin = Origin{Source: 1, Version: version}
		if update.kind == ListOutdated {
			update.kind = ListWhole
		}
	})
}

// lifecycleMutations are faults that the model has to find, with the rule that each violates.
var lifecycleMutations = []struct {
	name     string
	scenario string
	mutation func() mutation
	want     violationKind
}{
	{"the latest update wins", "one source", latestUpdateWins, sentToOutOfService},
	{"the latest update wins", "two sources", latestUpdateWins, sentToOutOfService},
	{"the latest update wins, also about a former start", "two sources", latestUpdateWins, sentToFormerIncarnation},
	{"all sources are one", "two sources", func() mutation {
		return changeEachUpdate(func(update *listUpdate) { update.origin.Source = 1 })
	}, sentToOutOfService},
	{"starts are not distinguished", "two sources", func() mutation {
		return changeEachUpdate(func(update *listUpdate) {
			for i := range update.entries {
				update.entries[i].StartedAt = 0
			}
		})
	}, sentToFormerIncarnation},
	{"entries of partial answers are dropped", "two sources, partial answers", func() mutation {
		return changeEachUpdate(func(update *listUpdate) {
			if update.kind == ListPartial {
				update.entries = nil
			}
		})
	}, notCancelledOutOfService},
	{"what an earlier list does not name stays", "one source", func() mutation {
		return changeEachUpdate(func(update *listUpdate) {
			if update.kind == ListOutdated {
				update.kind = ListPartial
			}
		})
	}, sentToOutOfService},
	{"what a whole list does not name stays", "one source", func() mutation {
		return changeEachUpdate(func(update *listUpdate) {
			if update.kind == ListWhole {
				update.kind = ListChanges
			}
		})
	}, sentToOutOfService},
	{"each answer comes from a source of its own", "one source", func() mutation {
		source := SourceID(0)
		return changeEachUpdate(func(update *listUpdate) {
			source++
			update.origin.Source = source
		})
	}, inServiceWithoutWork},
	{"changes count as partial answers", "one source", func() mutation {
		return changeEachUpdate(func(update *listUpdate) {
			if update.kind == ListChanges {
				update.kind = ListPartial
			}
		})
	}, inServiceWithoutWork},
	{"servers that start are left out", "two sources", func() mutation {
		return changeEachUpdate(func(update *listUpdate) {
			update.entries = slices.DeleteFunc(update.entries, func(e Entry) bool { return e.StartedAt > 0 })
		})
	}, inServiceWithoutWork},
	{"each entry of a partial answer counts as out of service", "one source", func() mutation {
		return changeEachUpdate(func(update *listUpdate) {
			for i := range update.entries {
				if update.kind == ListPartial {
					update.entries[i].State = StateDraining
				}
			}
		})
	}, cancelledInService},
	{"a cached list counts as confirmed", "restarts, pushed", func() mutation {
		return changeEachUpdate(func(update *listUpdate) {
			if update.kind == ListCached {
				update.kind = ListWhole
			}
		})
	}, sentUnconfirmed},
	{"a cached list counts as confirmed", "restarts, on request", func() mutation {
		return changeEachUpdate(func(update *listUpdate) {
			if update.kind == ListCached {
				update.kind = ListWhole
			}
		})
	}, sentUnconfirmed},
	{"unsent attempts at servers out of service are not cancelled", "one source", func() mutation {
		return mutation{ignoresCancelUnsent: true}
	}, notCancelledOutOfService},
}

// scenarioNamed returns the scenario with a name.
func scenarioNamed(name string) scenario {
	return scenarios[slices.IndexFunc(scenarios, func(s scenario) bool { return s.name == name })]
}

// Guards against a model that misses violations, and so proves nothing.
func TestLifecycleModelFindsMutations(t *testing.T) {
	for _, c := range lifecycleMutations {
		finds := func(violating []violatingPath) bool {
			return len(violating) > 0 && violating[len(violating)-1].violates(c.want)
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

// Guards against violations that are missed because paths with equal states are merged: without merging, the
// same ones have to be found.
func TestLifecycleModelFindsTheSameWithoutMerging(t *testing.T) {
	const depth = 3
	never := func([]violatingPath) bool { return false }
	for _, name := range []string{"two sources", "two servers", "restarts, on request"} {
		s := scenarioNamed(name)
		s.maxDepth = depth
		merged := exploration{scenario: s, newMutation: latestUpdateWins, isEnough: never}
		unmerged := exploration{scenario: s, newMutation: latestUpdateWins, isEnough: never, withoutMerging: true}
		merged.explore()
		unmerged.explore()
		want, got := distinctViolations(unmerged.violating), distinctViolations(merged.violating)
		if len(want) == 0 || !maps.Equal(got, want) {
			t.Errorf("%s: %d violations in %d merged paths, %d in %d paths", s.name, len(got), merged.paths, len(want), unmerged.paths)
		}
	}
}

// distinctViolations returns the distinct violations of rules.
func distinctViolations(paths []violatingPath) map[ruleViolation]struct{} {
	violations := map[ruleViolation]struct{}{}
	for _, path := range paths {
		for _, violation := range path.violations {
			violations[violation] = struct{}{}
		}
	}
	return violations
}
