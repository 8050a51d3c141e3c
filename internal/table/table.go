// Package table has a map whose entries lie side by side in memory, for large sets of small entries
// that are walked often.
package table

// Table maps keys to entries. Walking Entries gives them in the order in which they were
// added, as long as none was removed. Create it with New.
type Table[K comparable, V any] struct {
	Entries []V // not to be appended to or reordered

	keyOf      func(V) K
	indexByKey map[K]int32
}

// New makes a table of entries that tell their own keys.
func New[K comparable, V any](keyOf func(V) K) Table[K, V] {
	return Table[K, V]{keyOf: keyOf, indexByKey: map[K]int32{}}
}

// Clear removes all entries.
func (t *Table[K, V]) Clear() {
	clear(t.Entries)
	t.Entries = t.Entries[:0]
	clear(t.indexByKey)
}

// Get gives the entry of a key; false where there is none.
func (t *Table[K, V]) Get(key K) (entry V, ok bool) {
	index, ok := t.indexByKey[key]
	if ok {
		entry = t.Entries[index]
	}
	return entry, ok
}

// Put adds an entry or replaces the one of the same key.
func (t *Table[K, V]) Put(entry V) {
	key := t.keyOf(entry)
	if index, ok := t.indexByKey[key]; ok {
		t.Entries[index] = entry
		return
	}
	t.indexByKey[key] = int32(len(t.Entries))
	t.Entries = append(t.Entries, entry)
}

// Remove removes the entry of a key, if there is one; the last entry takes its place.
func (t *Table[K, V]) Remove(key K) {
	index, ok := t.indexByKey[key]
	if !ok {
		return
	}
	last := len(t.Entries) - 1
	moved := t.Entries[last]
	t.Entries[index] = moved
	t.indexByKey[t.keyOf(moved)] = index
	clear(t.Entries[last:])
	t.Entries = t.Entries[:last]
	delete(t.indexByKey, key)
}
