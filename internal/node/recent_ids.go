package node

import (
	"hash/maphash"
	"time"

	"otterstep/policy"
)

// defaultRecentIDs is the number of ids in a generation of a node without a memory limit.
const defaultRecentIDs = 1 << 20

// recentIDs is the set of ids of requests that are open, or that were open recently and may have run. Servers
// distinguish requests by their ids, so a second request with the id of another client's open request could
// get that request's answer. The second one may also arrive shortly after that answer, or after its client has
// disconnected, so ids stay in the set for a while. The set keeps hashes of ids in two generations, and drops a whole
// generation at a time to stay small.
type recentIDs struct {
	seed              maphash.Seed
	generationLength  time.Duration // time for which ids are added to one generation
	generationSize    int           // number of ids after which another generation begins before its time
	currentSince      time.Duration // start of the current generation
	open              map[uint64]struct{}
	current, previous map[uint64]struct{}
}

// newRecentIDs returns a set that keeps an id for at least the longest deadline of a class after the end of its request,
// unless more than generationSize ids come meanwhile.
func newRecentIDs(classes []policy.Class) recentIDs {
	length := 2 * time.Second
	for _, c := range classes {
		length = max(length, c.Deadline)
	}
	return recentIDs{seed: maphash.MakeSeed(), generationLength: length, generationSize: defaultRecentIDs,
		open: map[uint64]struct{}{}, current: map[uint64]struct{}{}}
}

// add adds the id of a request that is open from now on. It returns the id's hash, and whether the id was new; if it was
// not, nothing is added.
func (ids *recentIDs) add(now time.Duration, id string) (hash uint64, isNew bool) {
	ids.rotate(now)
	hash = maphash.String(ids.seed, id)
	for _, known := range []map[uint64]struct{}{ids.open, ids.current, ids.previous} {
		if _, isKnown := known[hash]; isKnown {
			return hash, false
		}
	}
	ids.open[hash] = struct{}{}
	return hash, true
}

// end records that the request of an id is no longer open. The id stays known for a while if the request may have run.
func (ids *recentIDs) end(now time.Duration, hash uint64, mayHaveRun bool) {
	delete(ids.open, hash)
	if mayHaveRun {
		ids.rotate(now)
		ids.current[hash] = struct{}{}
	}
}

// rotate begins another generation when the current one is old or full.
func (ids *recentIDs) rotate(now time.Duration) {
	age := now - ids.currentSince
	if age <= ids.generationLength && len(ids.current) < ids.generationSize {
		return
	}
	if ids.previous = ids.current; age > 2*ids.generationLength {
		ids.previous = nil
	}
	ids.currentSince, ids.current = now, map[uint64]struct{}{}
}
