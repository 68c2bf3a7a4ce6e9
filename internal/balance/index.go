package balance

import (
	"github.com/stepcroft/stepcroft/internal/enginespeed"
	"github.com/stepcroft/stepcroft/internal/ranking"
)

// service holds the listed targets of one service.
type service struct {
	all *ranking.Index[*target]
	// zones has the targets of each availability zone.
	zones map[string]*ranking.Index[*target]
	// spread tells whether its engines differ in speed.
	spread enginespeed.Spread
}

// newIndex returns an empty list of targets sorted by id.
func newIndex() *ranking.Index[*target] {
	return ranking.New(func(t *target) string { return t.ID }, func(t *target) uint64 { return t.hash })
}

// targetsOf returns the listed targets of a service, sorted by id.
func (s *State) targetsOf(name string) []*target {
	if v := s.services[name]; v != nil {
		return v.all.Members()
	}
	return nil
}

// addToService adds targets to their service.
func (s *State) addToService(name string, added []*target) {
	v := s.services[name]
	if v == nil {
		v = &service{all: newIndex(), zones: map[string]*ranking.Index[*target]{}}
		s.services[name] = v
	}
	v.all.Add(added)
	zones := map[string][]*target{}
	for _, t := range added {
		zones[t.Zone] = append(zones[t.Zone], t)
	}
	for zone, list := range zones {
		if v.zones[zone] == nil {
			v.zones[zone] = newIndex()
		}
		v.zones[zone].Add(list)
	}
}

func (s *State) removeFromService(t *target) {
	v := s.services[t.Service]
	v.all.Remove(t)
	v.zones[t.Zone].Remove(t)
	if len(v.zones[t.Zone].Members()) == 0 {
		delete(v.zones, t.Zone)
	}
	if len(v.all.Members()) == 0 {
		delete(s.services, t.Service)
	}
}
