package routehistory_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/routing"
)

const keep = time.Minute

func tableOf(t *testing.T, routes ...routing.Route) *routing.Table {
	t.Helper()
	table, err := routing.New(routing.Spec{Routes: routes})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func stream(prefix string, shares ...routing.Share) routing.Route {
	return routing.Route{Name: prefix, Host: "h", Prefix: prefix, Kind: routing.Streaming, Shares: shares}
}

func only(service string) routing.Share { return routing.Share{Service: service, Weight: 1} }

func TestServices(t *testing.T) {
	start := time.Unix(1000, 0)
	type step struct {
		after  time.Duration
		routes []routing.Route
	}
	plain := stream("/a/", only("x"))
	plain.Kind = routing.Idempotent
	renamed := stream("/a/", only("x"))
	renamed.Name = "other"
	for name, c := range map[string]struct {
		steps []step
		want  []string
	}{
		"it did not move":              {steps: []step{{routes: []routing.Route{stream("/a/", only("x"))}}}, want: []string{"x"}},
		"it has another name":          {steps: []step{{routes: []routing.Route{stream("/a/", only("x"))}}, {time.Second, []routing.Route{renamed}}}, want: []string{"x"}},
		"it moved":                     {steps: []step{{routes: []routing.Route{stream("/a/", only("x"))}}, {time.Second, []routing.Route{stream("/a/", only("y"))}}}, want: []string{"x", "y"}},
		"it moved long ago":            {steps: []step{{routes: []routing.Route{stream("/a/", only("x"))}}, {time.Second, []routing.Route{stream("/a/", only("y"))}}, {2 * keep, []routing.Route{stream("/a/", only("y"))}}}, want: []string{"y"}},
		"it moved and came back":       {steps: []step{{routes: []routing.Route{stream("/a/", only("x"))}}, {time.Second, []routing.Route{stream("/a/", only("y"))}}, {time.Second, []routing.Route{stream("/a/", only("x"))}}}, want: []string{"x", "y"}},
		"it went and came back":        {steps: []step{{routes: []routing.Route{stream("/a/", only("x"))}}, {time.Second, nil}, {time.Second, []routing.Route{stream("/a/", only("y"))}}}, want: []string{"x", "y"}},
		"a longer prefix came":         {steps: []step{{routes: []routing.Route{stream("/", only("x"))}}, {time.Second, []routing.Route{stream("/", only("x")), stream("/a/", only("y"))}}}, want: []string{"x", "y"}},
		"a longer prefix came first":   {steps: []step{{routes: []routing.Route{stream("/", only("x")), stream("/a/", only("y"))}}}, want: []string{"y"}},
		"a longer prefix went":         {steps: []step{{routes: []routing.Route{stream("/", only("x")), stream("/a/", only("y"))}}, {time.Second, []routing.Route{stream("/", only("x"))}}}, want: []string{"x", "y"}},
		"its requests were no streams": {steps: []step{{routes: []routing.Route{plain}}, {time.Second, []routing.Route{stream("/a/", only("y"))}}}, want: []string{"y"}},
		"another route moved":          {steps: []step{{routes: []routing.Route{stream("/a/", only("x")), stream("/b/", only("x"))}}, {time.Second, []routing.Route{stream("/a/", only("x")), stream("/b/", only("y"))}}}, want: []string{"x"}},
	} {
		t.Run(name, func(t *testing.T) {
			h := routehistory.New(start, keep)
			now := start
			var table *routing.Table
			for _, s := range c.steps {
				now = now.Add(s.after)
				table = tableOf(t, s.routes...)
				h.Set(now, table)
			}
			r, ok := table.Lookup("h", "/a/b")
			if !ok {
				t.Fatal("no route")
			}
			got := h.Services(now, "h", "/a/b", "id", r.Service("id"))
			if slices.Sort(got); !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against memory that grows with the number of configurations.
func TestManyRoutes(t *testing.T) {
	now := time.Unix(1000, 0)
	h := routehistory.New(now, keep)
	h.Restore(now, nil, nil)
	const perTable, tables = 1000, 40
	forgotten := false
	for i := range tables {
		now = now.Add(100 * time.Millisecond)
		var list []routing.Route
		for k := range perTable {
			list = append(list, stream(fmt.Sprintf("/%d/%d/", i, k), only("x")))
		}
		h.Set(now, tableOf(t, list...))
		if n := len(h.Uses(now)); n > 1<<15 {
			t.Fatalf("%d uses after %d configurations", n, i+1)
		}
		forgotten = forgotten || !h.Known(now)
	}
	if !forgotten {
		t.Error("nothing was forgotten: the test shows nothing")
	}
	if now = now.Add(keep + time.Second); !h.Known(now) {
		t.Error("not known again")
	}
}

// TestKnownOnceConfigurationIsOldEnough guards against a router that takes its history for complete as it was started a
// minute ago, but had no configuration until now.
func TestKnownOnceConfigurationIsOldEnough(t *testing.T) {
	start := time.Unix(1000, 0)
	h := routehistory.New(start, keep)
	came := start.Add(2 * keep)
	if h.Known(came) {
		t.Error("known without a configuration")
	}
	h.Set(came, tableOf(t, stream("/", only("x"))))
	if h.Known(came.Add(keep)) || !h.Known(came.Add(keep+1)) {
		t.Error("not known from a minute after the first configuration on")
	}
}

// Guards against streams that are taken for ones of the service to which their route has moved, also after a restart of
// all routers: each service that a configuration of the last minute chose must be among those that the history tells.
func TestServicesAgainstAllConfigurations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := []string{"x", "y", "z"}
		route := rapid.Custom(func(t *rapid.T) routing.Route {
			r := routing.Route{
				Name: "r", Host: "h", Prefix: rapid.SampledFrom([]string{"/", "/a/", "/a/b/", "/c/"}).Draw(t, "prefix"),
				Kind: rapid.SampledFrom([]routing.Kind{routing.Streaming, routing.Streaming, routing.Streaming, routing.Idempotent}).Draw(t, "kind"),
			}
			for _, s := range rapid.SliceOfNDistinct(rapid.SampledFrom(services), 1, 2, func(s string) string { return s }).Draw(t, "services") {
				r.Shares = append(r.Shares, routing.Share{Service: s, Weight: rapid.IntRange(0, 2).Draw(t, "weight")})
			}
			return r
		})
		newTable := func() *routing.Table {
			table, err := routing.New(routing.Spec{Routes: rapid.SliceOfN(route, 1, 4).Draw(t, "routes")})
			if err != nil {
				t.Fatal(err)
			}
			return table
		}
		type inForce struct {
			table       *routing.Table
			since, till time.Time
		}
		now := time.Unix(1000, 0)
		var all []inForce
		put := func(table *routing.Table) {
			if n := len(all); n > 0 {
				all[n-1].till = now
			}
			all = append(all, inForce{table: table, since: now})
		}
		h := routehistory.New(now, keep)
		h.Restore(now, nil, nil)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			switch {
			case len(all) == 0 || rapid.IntRange(0, 3).Draw(t, "restart") > 0:
				table := newTable()
				put(table)
				h.Set(now, table)
			default:
				// All routers restart. Configurations that came while none ran are read from the store's history.
				uses := h.Uses(now)
				var later []*routing.Table
				for range rapid.IntRange(0, 2).Draw(t, "configurations") {
					now = now.Add(time.Second)
					later = append(later, newTable())
					put(later[len(later)-1])
				}
				for i := range uses {
					if uses[i].Gone {
						uses[i].GoneFor += time.Duration(len(later)) * time.Second
					}
				}
				restarted := routehistory.New(now, keep)
				if restarted.Known(now) {
					t.Fatal("known before it is restored")
				}
				if rapid.Bool().Draw(t, "configuration first") {
					restarted.Set(now, all[len(all)-1].table)
					restarted.Restore(now, uses, later)
				} else {
					restarted.Restore(now, uses, later)
					restarted.Set(now, all[len(all)-1].table)
				}
				h = restarted
			}
			if !h.Known(now) {
				t.Fatal("not known")
			}
			for _, path := range []string{"/a/b/x", "/a/x", "/c/x", "/x"} {
				for i := range 4 {
					id := fmt.Sprint(i)
					current, ok := all[len(all)-1].table.Lookup("h", path)
					if !ok {
						continue
					}
					got := h.Services(now, "h", path, id, current.Service(id))
					for _, c := range all {
						r, ok := c.table.Lookup("h", path)
						if !ok || r.Kind != routing.Streaming || !c.till.IsZero() && now.Sub(c.till) > keep {
							continue
						}
						if want := r.Service(id); !slices.Contains(got, want) {
							t.Fatalf("%s of %s may have begun at %s, got %v", id, path, want, got)
						}
						for _, s := range r.Shares {
							if all := h.Services(now, "h", path, "", current.Service(id)); !slices.Contains(all, s.Service) {
								t.Fatalf("a stream of %s without an id may have begun at %s, got %v", path, s.Service, all)
							}
						}
					}
				}
			}
		}
	})
}
