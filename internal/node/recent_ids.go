package node

import (
	"hash/maphash"
	"time"

	"otterstep/policy"
)

// recentIDs is the set of ids of requests that are open or were received recently. Servers distinguish
// requests by their ids, so a second request with the id of another client's open request could
// get that request's answer. The second one may also arrive shortly after that answer, so ids stay in
// the set for a while. The set keeps hashes of ids in two generations, and drops a whole generation at
// a time to stay small.
type recentIDs struct {
	seed              maphash.Seed
	generationLength  time.Duration // time for which ids are added to one generation
	currentSince      time.Duration // start of the current generation
	current, previous map[uint64]struct{}
}

// newRecentIDs returns a set that keeps an id for at least the longest deadline of a class, so for as
// long as any request may be open.
func newRecentIDs(classes []policy.Class) recentIDs {
	length := 2 * time.Second
	for _, c := range classes {
		length = max(length, c.Deadline)
	}
	return recentIDs{seed: maphash.MakeSeed(), generationLength: length, current: map[uint64]struct{}{}}
}

// add adds an id and reports whether it was new.
func (ids *recentIDs) add(now time.Duration, id string) bool {
	if now-ids.currentSince > ids.generationLength {
		if ids.previous = ids.current; now-ids.currentSince > 2*ids.generationLength {
			ids.previous = nil
		}
		ids.currentSince, ids.current = now, map[uint64]struct{}{}
	}
	hash := maphash.String(ids.seed, id)
	_, inCurrent := ids.current[hash]
	_, inPrevious := ids.previous[hash]
	ids.current[hash] = struct{}{}
	return !inCurrent && !inPrevious
}
