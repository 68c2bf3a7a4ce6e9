package streams

import (
	"maps"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/streamversion"
)

const (
	// maxSightings bounds the minutes in which versions were seen that are kept.
	maxSightings = 100_000
	// clockTolerance is how much the clocks of two routers may differ.
	clockTolerance = 2 * time.Second
)

// place is a route or a service.
type place struct {
	service bool
	name    string
}

// sightings has when streams began at each version, by their routes and services.
type sightings struct {
	// byPlace holds the first time in each minute.
	byPlace map[place]map[string]map[int64]time.Time
	count   int
}

func newSightings() *sightings {
	return &sightings{byPlace: map[place]map[string]map[int64]time.Time{}}
}

// add notes that a stream of a route and a service began at a version. It returns false if there is no more room.
func (s *sightings) add(route, service, version string, at time.Time) bool {
	if version == "" || at.IsZero() {
		return true
	}
	ok := true
	for _, p := range []place{{name: route}, {service: true, name: service}} {
		if p.name == "" {
			continue
		}
		if s.byPlace[p] == nil {
			s.byPlace[p] = map[string]map[int64]time.Time{}
		}
		if s.byPlace[p][version] == nil {
			s.byPlace[p][version] = map[int64]time.Time{}
		}
		minutes, minute := s.byPlace[p][version], at.Unix()/60
		switch first, seen := minutes[minute]; {
		case seen && !at.Before(first):
		case !seen && s.count >= maxSightings:
			ok = false
		default:
			if !seen {
				s.count++
			}
			minutes[minute] = at
		}
	}
	return ok
}

// others returns the versions but one at which streams of a route or a service began within the time before another
// time for which callers may take one up.
func (s *sightings) others(route, service, version string, at time.Time) []string {
	found := map[string]bool{}
	from, to := at.Add(-streamversion.TTL-clockTolerance), at.Add(clockTolerance)
	for _, p := range []place{{name: route}, {service: true, name: service}} {
		for other, minutes := range s.byPlace[p] {
			for minute := from.Unix() / 60; minute <= to.Unix()/60; minute++ {
				if first, seen := minutes[minute]; seen && other != version && !first.After(to) {
					found[other] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}
