// Package table provides a map whose entries are contiguous in memory, for large sets of small entries that
// are iterated over often.
package table

// Table maps keys to entries. Entries holds them in the order of their insertion as long as none was
// removed. Create a Table with New.
type Table[K comparable, V any] struct {
	Entries []V // all entries, which callers must not reorder or append to

	keyOf      func(V) K
	indexByKey map[K]int32
}

// New returns an empty table whose entries have the keys that keyOf returns.
func New[K comparable, V any](keyOf func(V) K) Table[K, V] {
	return Table[K, V]{keyOf: keyOf, indexByKey: map[K]int32{}}
}

// Clear removes all entries.
func (t *Table[K, V]) Clear() {
	clear(t.Entries)
	t.Entries = t.Entries[:0]
	clear(t.indexByKey)
}

// Get returns the entry of a key, and false if there is none.
func (t *Table[K, V]) Get(key K) (entry V, ok bool) {
	index, ok := t.indexByKey[key]
	if ok {
		entry = t.Entries[index]
	}
	return entry, ok
}

// Put adds an entry or replaces the one with the same key.
func (t *Table[K, V]) Put(entry V) {
	key := t.keyOf(entry)
	if index, ok := t.indexByKey[key]; ok {
		t.Entries[index] = entry
		return
	}
	t.indexByKey[key] = int32(len(t.Entries))
	t.Entries = append(t.Entries, entry)
}

// Remove removes the entry of a key, if there is one. The last entry moves to its index.
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
