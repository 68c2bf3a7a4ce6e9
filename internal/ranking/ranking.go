// Package ranking finds the members of a set that rank first for a key by rendezvous hashing.
package ranking

import (
	"slices"
	"strings"

	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

// MaxRanks is the largest number of members that First returns.
const MaxRanks = 8

// Index is a list of members sorted by id. Their rendezvous hashes lie side by side, since a
// search through thousands of them would otherwise load each member from memory. Use New to make
// one. It is not safe for concurrent use.
type Index[T any] struct {
	id      func(T) string
	hash    func(T) uint64
	members []T
	hashes  []uint64
}

// New returns an empty index of members with these ids, which are unique, and the rendezvous hashes of the ids.
func New[T any](id func(T) string, hash func(T) uint64) *Index[T] {
	return &Index[T]{id: id, hash: hash}
}

// Members returns the members sorted by id, as of now. The caller must not change the list.
func (x *Index[T]) Members() []T { return x.members }

// Hashes returns the hashes of the members, in the same order. The caller must not change the list.
func (x *Index[T]) Hashes() []uint64 { return x.hashes }

// Add adds members, which it sorts. It compares each with some of those there, and moves
// the others in blocks: sorting all again took most of a router's time while many were added.
func (x *Index[T]) Add(added []T) {
	slices.SortFunc(added, func(a, b T) int { return strings.Compare(x.id(a), x.id(b)) })
	n, k := len(x.members), len(added)
	x.members = slices.Grow(x.members, k)[:n+k]
	x.hashes = slices.Grow(x.hashes, k)[:n+k]
	for j := k - 1; j >= 0; j-- {
		at, _ := x.find(x.members[:n], x.id(added[j]))
		copy(x.members[at+j+1:], x.members[at:n])
		copy(x.hashes[at+j+1:], x.hashes[at:n])
		x.members[at+j], x.hashes[at+j] = added[j], x.hash(added[j])
		n = at
	}
}

// Remove removes a member, if there is one with its id.
func (x *Index[T]) Remove(t T) {
	if i, ok := x.find(x.members, x.id(t)); ok {
		x.members = slices.Delete(x.members, i, i+1)
		x.hashes = slices.Delete(x.hashes, i, i+1)
	}
}

// find returns the position of a member in a list that is sorted by id, or where it would be.
func (x *Index[T]) find(list []T, id string) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(t T, id string) int { return strings.Compare(x.id(t), id) })
}

// First returns the n members that rank first for a key's hash by rendezvous hashing, best
// first; n is at most MaxRanks.
func (x *Index[T]) First(key uint64, n int) []T {
	var weights [MaxRanks]uint64
	var ranked [MaxRanks]int
	found := 0
	for i, hash := range x.hashes {
		w := rendezvous.WeightFromHashes(key, hash)
		if found == n && w <= weights[n-1] {
			continue
		}
		if found < n {
			found++
		}
		at := found - 1
		for at > 0 && weights[at-1] < w {
			weights[at], ranked[at] = weights[at-1], ranked[at-1]
			at--
		}
		weights[at], ranked[at] = w, i
	}
	list := make([]T, found)
	for i, at := range ranked[:found] {
		list[i] = x.members[at]
	}
	return list
}
