package member

import (
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

// Standing works out whether one member is among those that Spread names, in one
// pass and without putting all in order: a router of hundreds asks that several
// times a second, which took half of the processor time of one without callers
// (BenchmarkIdleFleet). Use NewStanding to make one.
type Standing struct {
	id   message.RouterID
	zone string
	key  uint64
	own  uint64
	// zones has the members added, by availability zone.
	zones map[string]zoneCount
}

// zoneCount counts members of an availability zone, and those of them that rank
// before the member in question.
type zoneCount struct{ all, before int }

// NewStanding returns the standing of a member for a key among none yet.
func NewStanding(key string, id message.RouterID, zone string) *Standing {
	hash := rendezvous.Hash(key)
	return &Standing{
		id: id, zone: zone, key: hash, own: rendezvous.WeightFromHashes(hash, rendezvous.Hash(string(id))),
		zones: map[string]zoneCount{},
	}
}

// Add adds a member; the one in question may be among them.
func (s *Standing) Add(id message.RouterID, zone string) {
	if id == s.id {
		return
	}
	z := s.zones[zone]
	z.all++
	if rendezvous.WeightFromHashes(s.key, rendezvous.Hash(string(id))) > s.own {
		z.before++
	}
	s.zones[zone] = z
}

// Among reports whether the member is among the first n of those added and itself:
// the first of each availability zone come before the second of any.
func (s *Standing) Among(n int) bool {
	place := s.zones[s.zone].before
	before := place
	for zone, z := range s.zones {
		if zone == s.zone {
			continue
		}
		before += min(z.all, place)
		if z.before > place {
			before++
		}
	}
	return before < n
}
