// Package spread maps names to numbers that are spread evenly, the same in every process.
package spread

import "hash/fnv"

// Hash returns the hash of a list of names.
func Hash(names ...string) uint64 {
	h := fnv.New64a()
	for i, name := range names {
		if i > 0 {
			h.Write([]byte{0}) //nolint:errcheck // never fails by its contract
		}
		h.Write([]byte(name)) //nolint:errcheck // never fails by its contract
	}
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd // finalizer of MurmurHash3, since FNV mixes the last bytes poorly
	return x ^ x>>33
}

// Fraction returns a number from 0 to below 1 for a list of names.
func Fraction(names ...string) float64 {
	const bits = 53 // of the mantissa of a float64
	return float64(Hash(names...)>>(64-bits)) / (1 << bits)
}
