// Package permutation computes pseudo-random permutations of the numbers below n one position at a time,
// without storing them, as consistent hashing over numbered nodes needs.
package permutation

import "math/rand/v2"

// Position returns the position, from 0 to n-1, of the number i in the permutation of 0..n-1 that seed
// determines. For one seed and n, different i below n have different positions. It panics if n is 0.
//
// The permutation is the affine map i -> stride*i + offset modulo n, where stride is coprime to n. A PCG
// generator draws both from seed and n.
func Position(seed uint64, i, n uint32) uint32 {
	var random rand.PCG
	random.Seed(seed, uint64(n))
	modulus := uint64(n)
	stride, offset := 1+random.Uint64()%modulus, random.Uint64()%modulus
	for greatestCommonDivisor(stride, modulus) != 1 {
		stride++
	}
	return uint32((stride*uint64(i) + offset) % modulus)
}

func greatestCommonDivisor(x, y uint64) uint64 {
	for y != 0 {
		x, y = y, x%y
	}
	return x
}
