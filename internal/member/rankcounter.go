package member

import (
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

// RankCounter computes whether one member is among those that TopAcrossZones
// returns, in one pass and without sorting. Each of hundreds of routers needs this
// several times a second, and sorting took half of the CPU time of a router without
// callers (BenchmarkIdleFleet). Use NewRankCounter to make one.
type RankCounter struct {
	id      message.RouterID
	zone    string
	keyHash uint64
	weight  uint64
	// zones counts the members added, by availability zone.
	zones map[string]zoneCount
}

// zoneCount counts the members of an availability zone (total), and those among
// them that rank before the member in question (before).
type zoneCount struct{ total, before int }

// NewRankCounter returns a counter for the rank of a member for a key, with no other
// members added yet.
func NewRankCounter(key string, id message.RouterID, zone string) *RankCounter {
	hash := rendezvous.Hash(key)
	return &RankCounter{
		id: id, zone: zone, keyHash: hash, weight: rendezvous.WeightFromHashes(hash, rendezvous.Hash(string(id))),
		zones: map[string]zoneCount{},
	}
}

// Add adds a member; the member in question itself is ignored.
func (c *RankCounter) Add(id message.RouterID, zone string) {
	if id == c.id {
		return
	}
	z := c.zones[zone]
	z.total++
	if rendezvous.WeightFromHashes(c.keyHash, rendezvous.Hash(string(id))) > c.weight {
		z.before++
	}
	c.zones[zone] = z
}

// InTop reports whether the member is among the first n of those added and itself,
// in the order of TopAcrossZones: the first of each availability zone comes before
// the second of any.
func (c *RankCounter) InTop(n int) bool { return c.Rank() < n }

// ZoneRank returns the number of members added of the same availability zone that come before the
// member.
func (c *RankCounter) ZoneRank() int { return c.zones[c.zone].before }

// Rank returns the number of members added that come before the member in the order of
// TopAcrossZones.
func (c *RankCounter) Rank() int {
	zoneRank := c.ZoneRank()
	before := zoneRank
	for zone, z := range c.zones {
		if zone == c.zone {
			continue
		}
		before += min(z.total, zoneRank)
		if z.before > zoneRank {
			before++
		}
	}
	return before
}
