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
	for _, route := range []string{"inland", "any"} {
		for _, organisation := range []string{"local", "free", "abroad"} {
			r := t.RegionsOf(route, organisation)
			fmt.Println(route, organisation, r.Allow("east"), r.Allow("west"), r.Allow("north"))
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
	if !table.RegionsOf("r", "o").Allow("") {
		t.Error("a table without regions restricts requests")
	}
}
