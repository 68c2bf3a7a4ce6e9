package routing

import (
	"slices"
	"strings"

	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

// Regions are the regions in which a request may be served: those that both its route and its organisation allow.
// The zero value allows all.
type Regions struct {
	// of is the route by which the request was admitted.
	of routeKey
	// route is what that route allows, newer what the one allows that has taken its place for the request.
	route, newer, organisation regionLimit
}

// routeKey identifies a route by what it is chosen by. Names of routes may change while requests wait, and several routes
// may have the same.
type routeKey struct {
	// prefix is empty for no route.
	host, prefix string
}

func keyOf(r *Route) routeKey { return routeKey{strings.ToLower(r.Host), r.Prefix} }

// regionLimit is what a route or an organisation allows.
type regionLimit struct {
	// limited is set if only the regions in list are allowed.
	limited bool
	list    []string
}

func limitOf(list []string) regionLimit { return regionLimit{limited: len(list) > 0, list: list} }

func (l regionLimit) allow(region string) bool { return !l.limited || slices.Contains(l.list, region) }

// Allow reports whether a request may be served in a region.
func (r Regions) Allow(region string) bool {
	return r.route.allow(region) && r.newer.allow(region) && r.organisation.allow(region)
}

// With returns the regions after t has come into force, for a request with a host and a path. What t says replaces what
// was known of the request's route and organisation. One that t does not have any more still restricts the requests that
// were admitted before, besides the route that t has for them.
func (r Regions) With(t *Table, host, path, organisation string) Regions {
	if !t.restricted && !r.route.limited && !r.newer.limited && !r.organisation.limited {
		return r
	}
	route, _ := t.Lookup(host, path)
	return r.with(t, route, organisation)
}

// with is With for a request that t has a route for, nil if it has none.
func (r Regions) with(t *Table, route *Route, organisation string) Regions {
	if old := t.routes[r.of.host][r.of.prefix]; old != nil {
		r.route = limitOf(old.Regions)
	}
	r.newer = regionLimit{}
	if route != nil {
		r.newer = limitOf(route.Regions)
	}
	if list, ok := t.organisationRegions[organisation]; ok {
		r.organisation = limitOf(list)
	}
	return r
}

// RegionsOf returns the regions in which an organisation's requests on a route may be served.
func (t *Table) RegionsOf(route *Route, organisation string) Regions {
	return Regions{of: keyOf(route)}.with(t, route, organisation)
}

// RegionLimits returns a number that differs for tables which limit requests to other regions, 0 if none are.
func (t *Table) RegionLimits() uint64 {
	if !t.restricted {
		return 0
	}
	var sum uint64
	add := func(kind, host, name string, regions []string) {
		if len(regions) == 0 {
			return
		}
		sorted := slices.Sorted(slices.Values(regions))
		sum += rendezvous.Hash(strings.Join(append([]string{kind, host, name}, sorted...), "\x00"))
	}
	for route := range t.Routes() {
		add("route", strings.ToLower(route.Host), route.Prefix, route.Regions)
	}
	for name, list := range t.organisationRegions {
		add("organisation", "", name, list)
	}
	return max(sum, 1)
}

// addRegions adds the regions that an organisation allows. Of several with the same name, the last one with a restriction
// counts.
func (t *Table) addRegions(name string, list []string) {
	if _, ok := t.organisationRegions[name]; !ok || len(list) > 0 {
		t.organisationRegions[name] = list
	}
	t.restricted = t.restricted || len(list) > 0
}
