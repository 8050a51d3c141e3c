package permutation

import "testing"

// Each number must have one position, and each position one number.
func TestPositionsArePermutations(t *testing.T) {
	for _, n := range []uint32{1, 2, 3, 12, 300, 307, 5300} {
		for seed := range uint64(20) {
			seen := make([]bool, n)
			for i := range n {
				position := Position(seed, i, n)
				if position >= n || seen[position] {
					t.Fatalf("n %d, seed %d: position %d of %d is out of range or taken", n, seed, position, i)
				}
				seen[position] = true
			}
		}
	}
}

// All numbers must be equally often among the first positions, and neighbouring seeds must be independent
// of each other.
func TestFirstPositionsAreUniform(t *testing.T) {
	const n, firstPositions, seeds = 300, 30, 20000
	inBothOrders := 0
	for i := range uint32(n) {
		count := 0
		for seed := range uint64(seeds) {
			if Position(seed, i, n) < firstPositions {
				count++
				if Position(seed+1, i, n) < firstPositions {
					inBothOrders++
				}
			}
		}
		if want := seeds * firstPositions / n; count < want*9/10 || count > want*11/10 {
			t.Errorf("%d is among the first %d of %d for %d of %d seeds, want about %d", i, firstPositions, n, count, seeds, want)
		}
	}
	if want := seeds * firstPositions * firstPositions / n; inBothOrders < want*9/10 || inBothOrders > want*11/10 {
		t.Errorf("%d times a number is among the first positions for two neighbouring seeds, want about %d", inBothOrders, want)
	}
}
