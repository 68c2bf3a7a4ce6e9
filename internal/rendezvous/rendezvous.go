// Package rendezvous implements rendezvous (highest random weight) hashing: everybody who
// knows the same ids selects the same one for a key, and a change of the ids moves few keys.
package rendezvous

import (
	"hash/fnv"
	"math/bits"
)

// Weight returns the weight of id for key; the id with the highest weight
// gets the key.
func Weight(key, id string) uint64 { return WeightFromHashes(Hash(key), Hash(id)) }

// WeightFromHashes is Weight for a key and an id whose hashes are known, which is cheaper
// where one key is weighed for the same ids repeatedly.
func WeightFromHashes(key, id uint64) uint64 { return mix(key ^ bits.RotateLeft64(id, 32)) }

// Hash returns the hash of a key or an id for WeightFromHashes.
func Hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return mix(h.Sum64())
}

// mix spreads the differences in a hash over all its bits, with the finalizer of MurmurHash3:
// FNV hashes of similar texts differ in few bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
