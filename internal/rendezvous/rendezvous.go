// Package rendezvous implements rendezvous (highest random weight) hashing:
// whoever knows the same ids names the same one for a key, and a change of
// the ids moves few keys.
package rendezvous

import "hash/fnv"

// Weight returns the weight of id for key; the id with the highest weight
// gets the key.
func Weight(key, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix spreads the differences in a hash over all its bits, as MurmurHash3
// does at its end: FNV's sums of similar texts differ in few bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
