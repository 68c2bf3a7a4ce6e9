package member

import (
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

// Standing computes whether one member is among those that Spread returns, in one
// pass and without sorting. Each of hundreds of routers needs this several times a
// second, and sorting took half of the CPU time of a router without callers
// (BenchmarkIdleFleet). Use NewStanding to make one.
type Standing struct {
	id      message.RouterID
	zone    string
	keyHash uint64
	weight  uint64
	// zones counts the members added, by availability zone.
	zones map[string]zoneCount
}

// zoneCount counts the members of an availability zone (all), and those among
// them that rank before the member in question (before).
type zoneCount struct{ total, before int }

// NewStanding returns the standing of a member for a key, with no other members
// added yet.
func NewStanding(key string, id message.RouterID, zone string) *Standing {
	hash := rendezvous.Hash(key)
	return &Standing{
		id: id, zone: zone, keyHash: hash, weight: rendezvous.WeightFromHashes(hash, rendezvous.Hash(string(id))),
		zones: map[string]zoneCount{},
	}
}

// Add adds a member; the member in question itself is ignored.
func (s *Standing) Add(id message.RouterID, zone string) {
	if id == s.id {
		return
	}
	z := s.zones[zone]
	z.total++
	if rendezvous.WeightFromHashes(s.keyHash, rendezvous.Hash(string(id))) > s.weight {
		z.before++
	}
	s.zones[zone] = z
}

// Among reports whether the member is among the first n of those added and itself,
// in the order of Spread: the first of each availability zone comes before the
// second of any.
func (s *Standing) Among(n int) bool {
	place := s.zones[s.zone].before
	before := place
	for zone, z := range s.zones {
		if zone == s.zone {
			continue
		}
		before += min(z.total, place)
		if z.before > place {
			before++
		}
	}
	return before < n
}
