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
	byPlace map[place]map[string]map[int64]sighting
	count   int
}

// sighting is what is known of a minute.
type sighting struct {
	// first is the first time in it, config the version of the configuration by which requests were routed, and several is
	// set if there were several.
	first   time.Time
	config  int64
	several bool
}

func newSightings() *sightings { return &sightings{byPlace: map[place]map[string]map[int64]sighting{}} }

// begun is a stream that has begun: its route and its service, either empty if it is not known, and the version of the
// configuration by which its request was routed, 0 if that is not known.
type begun struct {
	route, service, version string
	config                  int64
	at                      time.Time
}

func (b begun) places() []place {
	return slices.DeleteFunc([]place{{name: b.route}, {service: true, name: b.service}}, func(p place) bool { return p.name == "" })
}

// add notes that a stream began. It returns false if there is no more room.
func (s *sightings) add(b begun) bool {
	if b.version == "" || b.at.IsZero() {
		return true
	}
	ok := true
	for _, p := range b.places() {
		if s.byPlace[p] == nil {
			s.byPlace[p] = map[string]map[int64]sighting{}
		}
		if s.byPlace[p][b.version] == nil {
			s.byPlace[p][b.version] = map[int64]sighting{}
		}
		minutes, minute := s.byPlace[p][b.version], b.at.Unix()/60
		of, seen := minutes[minute]
		if !seen && s.count >= maxSightings {
			ok = false
			continue
		}
		if !seen {
			s.count++
			of = sighting{first: b.at, config: b.config}
		}
		if b.at.Before(of.first) {
			of.first = b.at
		}
		of.several = of.several || b.config != of.config
		minutes[minute] = of
	}
	return ok
}

// others returns the versions but that of a stream at which other streams of its service began within the time for which
// callers may take one up, or others of its route by another configuration: by one configuration the route leads the requests
// for a stream to one service.
func (s *sightings) others(b begun) []string {
	found := map[string]bool{}
	from, to := b.at.Add(-streamversion.TTL-clockTolerance), b.at.Add(clockTolerance)
	for _, p := range b.places() {
		for other, minutes := range s.byPlace[p] {
			for minute := from.Unix() / 60; minute <= to.Unix()/60; minute++ {
				of, seen := minutes[minute]
				mayDiffer := p.service || of.several || of.config == 0 || of.config != b.config
				if seen && other != b.version && mayDiffer && !of.first.After(to) {
					found[other] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}
