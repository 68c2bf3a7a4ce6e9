package routehistory_test

import (
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// TestLimitsChanged guards against limits of regions that are taken for those under which all streams have begun, and
// against ones that count as changed though nothing has.
func TestLimitsChanged(t *testing.T) {
	table := func(organisation string, regions ...string) *routing.Table {
		limited := stream("/", only("x"))
		limited.Regions = regions
		out, err := routing.New(routing.Spec{Routes: []routing.Route{limited}, Organisations: []routing.Organisation{{Name: organisation, Regions: regions}}})
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	free, near := table("o"), table("o", "near")
	for name, c := range map[string]struct {
		// before are the configurations until the others were told, a second ago each, later those that followed what was stored.
		before, later []*routing.Table
		now           *routing.Table
		want          bool
	}{
		"never any":                         {before: []*routing.Table{free}, now: free},
		"the same":                          {before: []*routing.Table{near}, now: table("o", "near")},
		"in another order":                  {before: []*routing.Table{table("o", "near", "far")}, now: table("o", "far", "near")},
		"came":                              {before: []*routing.Table{free, near}, now: near, want: true},
		"came and went":                     {before: []*routing.Table{free, near, free}, now: free, want: true},
		"of another organisation":           {before: []*routing.Table{near, table("p", "near")}, now: table("p", "near"), want: true},
		"came after what was stored":        {before: []*routing.Table{free}, later: []*routing.Table{near}, now: near, want: true},
		"came and went since":               {before: []*routing.Table{free}, later: []*routing.Table{near, free}, now: free, want: true},
		"the one in force has others":       {before: []*routing.Table{free}, now: near, want: true},
		"the same configurations and later": {before: []*routing.Table{near}, later: []*routing.Table{near}, now: near},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			h := routehistory.New(now, keep)
			for _, before := range c.before {
				h.Set(now, before)
				now = now.Add(time.Second)
			}
			l := h.Limits(now)
			restarted := routehistory.New(now, keep)
			restarted.Set(now, c.now)
			restarted.RestoreLimits(now, l, c.later)
			restarted.Restore(now, h.Uses(now), c.later)
			if got := restarted.LimitsChanged(now); got != c.want {
				t.Errorf("changed %t, want %t; %+v", got, c.want, l)
			}
			if restarted.LimitsChanged(now.Add(2 * keep)) {
				t.Error("changed for good")
			}
		})
	}
}
