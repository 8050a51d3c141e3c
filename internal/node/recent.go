package node

import (
	"hash/maphash"
	"time"

	"otterstep/policy"
)

// recentIDs knows the ids of requests that are open or were lately. Servers tell
// requests apart by their ids, so a second one with the id of another client's open
// request could be given that one's answer. It may also reach the node a moment
// after that answer, so ids stay known for a while. Two generations of hashes keep
// it small: each is dropped whole.
type recentIDs struct {
	seed              maphash.Seed
	generationLength  time.Duration
	currentSince      time.Duration
	current, previous map[uint64]struct{}
}

// newRecentIDs keeps an id for longer than any request may be open.
func newRecentIDs(classes []policy.Class) recentIDs {
	length := 2 * time.Second
	for _, c := range classes {
		length = max(length, c.Deadline)
	}
	return recentIDs{seed: maphash.MakeSeed(), generationLength: length, current: map[uint64]struct{}{}}
}

// add notes an id; false if it is known already.
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
