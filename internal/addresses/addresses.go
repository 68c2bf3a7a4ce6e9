// Package addresses chooses the routers that callers should connect to.
package addresses

import (
	"cmp"
	"slices"

	"github.com/stepcroft/stepcroft/internal/message"
)

const (
	// minAddresses is the least number of addresses returned to a caller if there are as many
	// routers, since one of them may fail.
	minAddresses = 2
	// minCapacityPercent is the percentage of the largest router's capacity in a zone below which
	// a router's address is returned only if there are too few others: a burst that a large
	// router can reject overloads a small one.
	minCapacityPercent = 50
)

// Choose returns the addresses that callers in an availability zone should connect to: the
// large routers of that zone that are ready, small ones too if there are fewer than minAddresses
// large ones, and one router of another zone if this one has a single router. If the zone has
// none, it returns routers of other zones. regions has the region of each zone; nil if there is only one region.
func Choose(zone string, regions map[string]string, routers []message.RouterRecord) []string {
	var sameZone, otherZones []message.RouterRecord
	for _, r := range routers {
		if !r.Ready || r.State != message.Alive {
			continue
		}
		if r.Zone == zone {
			sameZone = append(sameZone, r)
			continue
		}
		otherZones = append(otherZones, r)
	}
	sameZone, otherZones = large(sameZone), large(near(zone, regions, otherZones))
	if len(sameZone) == 0 {
		sameZone, otherZones = otherZones, nil
	}
	if len(sameZone) < minAddresses && len(otherZones) > 0 {
		sameZone = append(sameZone, otherZones[0])
	}
	var list []string
	for _, m := range sameZone {
		list = append(list, m.Address)
	}
	return list
}

// near returns the routers of a list that are in the region of an availability zone, or all
// if none is: callers' requests should not leave the region.
func near(zone string, regions map[string]string, list []message.RouterRecord) []message.RouterRecord {
	region := regions[zone]
	var near []message.RouterRecord
	for _, r := range list {
		if regions[r.Zone] == region {
			near = append(near, r)
		}
	}
	if len(near) == 0 {
		return list
	}
	return near
}

// large returns the routers whose capacity is at least minCapacityPercent percent of the
// greatest, and smaller ones as long as there are fewer than minAddresses. It sorts the list by
// capacity.
func large(list []message.RouterRecord) []message.RouterRecord {
	slices.SortStableFunc(list, func(a, b message.RouterRecord) int { return cmp.Compare(b.Capacity, a.Capacity) })
	for i, r := range list {
		if i >= minAddresses && r.Capacity*100 < list[0].Capacity*minCapacityPercent {
			return list[:i]
		}
	}
	return list
}
