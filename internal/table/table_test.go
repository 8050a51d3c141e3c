package table

import (
	"math/rand/v2"
	"testing"
)

type entry struct{ key, value int }

// A table must agree with a plain map after any sequence of changes.
func TestTableAgreesWithAMap(t *testing.T) {
	table := New(func(e entry) int { return e.key })
	want := map[int]int{}
	random := rand.New(rand.NewPCG(1, 2))
	for step := range 20000 {
		key := random.IntN(200)
		switch {
		case step%5000 == 4999:
			table.Clear()
			clear(want)
		case random.IntN(3) == 0:
			table.Remove(key)
			delete(want, key)
		default:
			table.Put(entry{key, step + 1})
			want[key] = step + 1
		}
		if got, ok := table.Get(key); ok != (want[key] != 0) || got.value != want[key] {
			t.Fatalf("step %d: key %d has %v, want %d", step, key, got, want[key])
		}
		if len(table.Entries) != len(want) {
			t.Fatalf("step %d: %d entries, want %d", step, len(table.Entries), len(want))
		}
	}
	for _, e := range table.Entries {
		if want[e.key] != e.value {
			t.Errorf("key %d has %d, want %d", e.key, e.value, want[e.key])
		}
	}
}

func TestEntriesKeepTheirInsertionOrder(t *testing.T) {
	table := New(func(e entry) int { return e.key })
	for _, key := range []int{5, 3, 9, 1} {
		table.Put(entry{key, 0})
	}
	table.Put(entry{3, 7})
	for i, key := range []int{5, 3, 9, 1} {
		if table.Entries[i].key != key {
			t.Fatalf("entry %d has key %d, want %d", i, table.Entries[i].key, key)
		}
	}
}
