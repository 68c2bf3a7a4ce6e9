package routing

import "slices"

// Regions are the regions in which a request may be served.
type Regions struct {
	// limited is set if only the regions in list are allowed.
	limited bool
	list    []string
}

// Allow reports whether a request may be served in a region.
func (r Regions) Allow(region string) bool { return !r.limited || slices.Contains(r.list, region) }

// And returns the regions that are allowed by both.
func (r Regions) And(other Regions) Regions {
	switch {
	case !r.limited:
		return other
	case !other.limited:
		return r
	}
	return Regions{limited: true, list: slices.DeleteFunc(slices.Clone(r.list), func(region string) bool { return !other.Allow(region) })}
}

// RegionsOf returns the regions in which an organisation's requests on a route may be served: those
// that both allow.
func (t *Table) RegionsOf(route, organisation string) Regions {
	if len(t.routeRegions)+len(t.organisationRegions) == 0 {
		return Regions{}
	}
	return newRegions(t.routeRegions[route]).And(newRegions(t.organisationRegions[organisation]))
}

func newRegions(list []string) Regions { return Regions{limited: len(list) > 0, list: list} }
