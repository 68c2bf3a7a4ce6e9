package balance

import (
	"slices"

	"github.com/stepcroft/stepcroft/internal/enginespeed"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

// service holds the listed targets of one service.
type service struct {
	all index
	// zones has the targets of each availability zone.
	zones map[string]*index
	// spread tells whether its engines differ in speed.
	spread enginespeed.Spread
}

// index is a list of targets sorted by id. Their rendezvous hashes lie side by side, since a
// search through thousands of them would otherwise load each target from memory.
type index struct {
	targets []*target
	hashes  []uint64
}

// targetsOf returns the listed targets of a service, sorted by id.
func (s *State) targetsOf(name string) []*target {
	if v := s.services[name]; v != nil {
		return v.all.targets
	}
	return nil
}

// addToService adds targets to their service.
func (s *State) addToService(name string, added []*target) {
	v := s.services[name]
	if v == nil {
		v = &service{zones: map[string]*index{}}
		s.services[name] = v
	}
	v.all.add(added)
	zones := map[string][]*target{}
	for _, t := range added {
		zones[t.Zone] = append(zones[t.Zone], t)
	}
	for zone, list := range zones {
		if v.zones[zone] == nil {
			v.zones[zone] = &index{}
		}
		v.zones[zone].add(list)
	}
}

func (s *State) removeFromService(t *target) {
	v := s.services[t.Service]
	v.all.remove(t)
	v.zones[t.Zone].remove(t)
	if len(v.zones[t.Zone].targets) == 0 {
		delete(v.zones, t.Zone)
	}
	if len(v.all.targets) == 0 {
		delete(s.services, t.Service)
	}
}

// add adds targets, which need not be sorted. It compares each with some of those there, and moves
// the others in blocks: sorting all again took most of a router's time while targets registered.
func (x *index) add(added []*target) {
	slices.SortFunc(added, func(a, b *target) int { return compare(a.ID, b.ID) })
	n, k := len(x.targets), len(added)
	x.targets = slices.Grow(x.targets, k)[:n+k]
	x.hashes = slices.Grow(x.hashes, k)[:n+k]
	for j := k - 1; j >= 0; j-- {
		at, _ := findID(x.targets[:n], added[j].ID)
		copy(x.targets[at+j+1:], x.targets[at:n])
		copy(x.hashes[at+j+1:], x.hashes[at:n])
		x.targets[at+j], x.hashes[at+j] = added[j], added[j].hash
		n = at
	}
}

func (x *index) remove(t *target) {
	if i, ok := findID(x.targets, t.ID); ok {
		x.targets = slices.Delete(x.targets, i, i+1)
		x.hashes = slices.Delete(x.hashes, i, i+1)
	}
}

// findID returns the position of a target in a list that is sorted by id, or where it would be.
func findID(list []*target, id string) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(t *target, id string) int { return compare(t.ID, id) })
}

// maxRanks is the largest number of targets that first returns.
const maxRanks = 8

// first returns the n targets that rank first for a key's hash by rendezvous hashing, best
// first; n is at most maxRanks.
func (x *index) first(key uint64, n int) []*target {
	var weights [maxRanks]uint64
	var ranked [maxRanks]int
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
	list := make([]*target, found)
	for i, at := range ranked[:found] {
		list[i] = x.targets[at]
	}
	return list
}
