package routing_test

import (
	"fmt"
	"testing"

	"github.com/stepcroft/stepcroft/internal/routing"
)

// ExampleTable_RegionsOf shows the regions of requests whose route and organisation allow
// different ones.
func ExampleTable_RegionsOf() {
	t, err := routing.New(routing.Spec{
		Routes: []routing.Route{
			{Name: "inland", Prefix: "/a/", Shares: []routing.Share{{Service: "s"}}, Regions: []string{"east", "west"}},
			{Name: "any", Prefix: "/b/", Shares: []routing.Share{{Service: "s"}}},
		},
		Organisations: []routing.Organisation{{Name: "local", Regions: []string{"west"}}, {Name: "free"}, {Name: "abroad", Regions: []string{"north"}}},
	})
	if err != nil {
		fmt.Println(err)
	}
	for _, path := range []string{"/a/x", "/b/x"} {
		for _, organisation := range []string{"local", "free", "abroad"} {
			route, _ := t.Lookup("", path)
			r := t.RegionsOf(route, organisation)
			fmt.Println(route.Name, organisation, r.Allow("east"), r.Allow("west"), r.Allow("north"))
		}
	}
	// Output:
	// inland local false true false
	// inland free true true false
	// inland abroad false false false
	// any local false true false
	// any free true true true
	// any abroad false false true
}

func TestRegionsOfUnrestrictedTable(t *testing.T) {
	table, err := routing.New(routing.Spec{})
	if err != nil {
		t.Fatal(err)
	}
	if !table.RegionsOf(&routing.Route{Name: "r", Prefix: "/"}, "o").Allow("") {
		t.Error("a table without regions restricts requests")
	}
}

// TestRegionsOfRemovedNames guards against requests that lose the restrictions of a route or an organisation as it is
// removed.
func TestRegionsOfRemovedNames(t *testing.T) {
	route := func(regions ...string) []routing.Route {
		return []routing.Route{{Name: "r", Host: "h", Prefix: "/a/", Shares: []routing.Share{{Service: "s"}}, Regions: regions}}
	}
	// and returns the routes besides others.
	and := func(routes []routing.Route, others ...routing.Route) []routing.Route {
		for i := range others {
			others[i].Shares = routes[0].Shares
		}
		return append(routes, others...)
	}
	named := func(name string, routes []routing.Route) []routing.Route {
		routes[0].Name = name
		return routes
	}
	organisation := func(regions ...string) []routing.Organisation {
		return []routing.Organisation{{Name: "o", Regions: regions}}
	}
	cases := map[string]struct {
		then              routing.Spec
		east, west, north bool
	}{
		"nothing changes":              {then: routing.Spec{Routes: route("east", "west"), Organisations: organisation("west", "north")}, west: true},
		"the route is removed":         {then: routing.Spec{Organisations: organisation("west", "north")}, west: true},
		"the organisation is removed":  {then: routing.Spec{Routes: route("east", "west")}, west: true},
		"both are removed":             {west: true},
		"the route allows all":         {then: routing.Spec{Routes: route(), Organisations: organisation("west", "north")}, west: true, north: true},
		"the organisation allows all":  {then: routing.Spec{Routes: route("east", "west"), Organisations: organisation()}, east: true, west: true},
		"both allow all":               {then: routing.Spec{Routes: route(), Organisations: organisation()}, east: true, west: true, north: true},
		"the route allows another one": {then: routing.Spec{Routes: route("north"), Organisations: organisation("west", "north")}, north: true},
		"the route has another name":   {then: routing.Spec{Routes: named("q", route("north")), Organisations: organisation("west", "north")}, north: true},
		"another route has its name": {then: routing.Spec{
			Routes: and(named("q", route("east", "west")), routing.Route{Name: "r", Host: "h", Prefix: "/b/"}), Organisations: organisation("west", "north"),
		}, west: true},
		"a wider route takes its place": {then: routing.Spec{
			Routes: and(route(), routing.Route{Name: "r", Host: "h", Prefix: "/"})[1:], Organisations: organisation("west", "north"),
		}, west: true},
		"a wider route that is limited takes its place": {then: routing.Spec{
			Routes: and(route(), routing.Route{Name: "r", Host: "h", Prefix: "/", Regions: []string{"east", "north"}})[1:], Organisations: organisation("west", "north", "east"),
		}, east: true},
		"a narrower route takes its place": {then: routing.Spec{
			Routes: and(route("east", "west"), routing.Route{Name: "n", Host: "h", Prefix: "/a/x", Regions: []string{"east", "north"}}), Organisations: organisation(),
		}, east: true},
		"the route goes, one is barred": {then: routing.Spec{Organisations: organisation("north")}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before, err := routing.New(routing.Spec{Routes: route("east", "west"), Organisations: organisation("west", "north")})
			if err != nil {
				t.Fatal(err)
			}
			then, err := routing.New(c.then)
			if err != nil {
				t.Fatal(err)
			}
			admittedBy, _ := before.Lookup("h", "/a/x")
			r := before.RegionsOf(admittedBy, "o").With(then, "h", "/a/x", "o")
			if r.Allow("east") != c.east || r.Allow("west") != c.west || r.Allow("north") != c.north {
				t.Errorf("east %t, west %t, north %t, want %+v", r.Allow("east"), r.Allow("west"), r.Allow("north"), c)
			}
		})
	}
}
