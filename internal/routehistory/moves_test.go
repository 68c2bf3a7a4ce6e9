package routehistory_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// movedTo returns a table with a route to some services.
func movedTo(t *testing.T, name, prefix string, services ...string) *routing.Table {
	t.Helper()
	r := routing.Route{Name: name, Host: "h", Prefix: prefix}
	for _, s := range services {
		r.Shares = append(r.Shares, routing.Share{Service: s, Weight: 1})
	}
	table, err := routing.New(routing.Spec{Routes: []routing.Route{r}})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestMoves(t *testing.T) {
	for name, c := range map[string]struct {
		tables []*routing.Table
		want   []string
	}{
		"none":                      {tables: []*routing.Table{movedTo(t, "r", "/a/", "s")}},
		"another service":           {tables: []*routing.Table{movedTo(t, "r", "/a/", "s"), movedTo(t, "r", "/a/", "t")}, want: []string{"s"}},
		"another name":              {tables: []*routing.Table{movedTo(t, "r", "/a/", "s"), movedTo(t, "q", "/a/", "t")}, want: []string{"s"}},
		"only another name":         {tables: []*routing.Table{movedTo(t, "r", "/a/", "t"), movedTo(t, "q", "/a/", "t")}},
		"removed for a wider route": {tables: []*routing.Table{movedTo(t, "r", "/a/", "s"), movedTo(t, "r", "/", "t")}, want: []string{"s"}},
		"a route of other requests": {tables: []*routing.Table{movedTo(t, "r", "/b/", "s"), movedTo(t, "r", "/a/", "t")}},
		"there and back":            {tables: []*routing.Table{movedTo(t, "r", "/a/", "t"), movedTo(t, "r", "/a/", "s"), movedTo(t, "r", "/a/", "t")}, want: []string{"s"}},
		"twice":                     {tables: []*routing.Table{movedTo(t, "r", "/a/", "s"), movedTo(t, "r", "/a/", "u"), movedTo(t, "r", "/a/", "t")}, want: []string{"s", "u"}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			h := routehistory.New(now, keep)
			m := h.Moves()
			for _, table := range c.tables {
				h.Set(now, table)
				now = now.Add(time.Second)
			}
			for _, host := range []string{"h", "H:80"} {
				if got := m.Services(host, "/a/x", "id", "t"); !slices.Equal(got, c.want) {
					t.Errorf("%s: got %v, want %v", host, got, c.want)
				}
			}
			last := c.tables[len(c.tables)-1]
			h.Set(now.Add(time.Hour/2), last)
			if got := m.Services("h", "/a/x", "id", "t"); !slices.Equal(got, c.want) {
				t.Errorf("got %v half an hour after, want %v", got, c.want)
			}
			h.Set(now.Add(time.Hour), last)
			if got := m.Services("h", "/a/x", "id", "t"); got != nil {
				t.Errorf("got %v long after", got)
			}
		})
	}
}

// TestMovesOfSplitRoute guards against taking each service of a split route for one that all of its requests went to.
func TestMovesOfSplitRoute(t *testing.T) {
	split, now := movedTo(t, "r", "/", "s", "t"), time.Unix(1000, 0)
	h := routehistory.New(now, keep)
	h.Set(now, split)
	h.Set(now, movedTo(t, "r", "/", "u"))
	m := h.Moves()
	route, _ := split.Lookup("h", "/")
	for i := range 20 {
		id := fmt.Sprint(i)
		if got := m.Services("h", "/", id, "u"); !slices.Equal(got, []string{route.Service(id)}) {
			t.Errorf("request %s: got %v, want %s", id, got, route.Service(id))
		}
	}
}

// TestMovesAreBounded guards against routes that move again and again and take ever more memory and time.
func TestMovesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	h := routehistory.New(now, keep)
	for i := range 101 {
		h.Set(now, movedTo(t, "r", "/", fmt.Sprint("s", i)))
	}
	if got := h.Moves().Services("h", "/", "id", ""); len(got) != 8 || got[7] != "s99" {
		t.Errorf("got %v, want the last 8", got)
	}
	const routes = 3000
	wave := func(host string) *routing.Table {
		var list []routing.Route
		for i := range routes {
			list = append(list, routing.Route{Name: "r", Host: host, Prefix: fmt.Sprintf("/%d/", i), Shares: []routing.Share{{Service: "s"}}})
		}
		table, err := routing.New(routing.Spec{Routes: list})
		if err != nil {
			t.Fatal(err)
		}
		return table
	}
	h = routehistory.New(now, keep)
	for i, table := range []*routing.Table{wave("first"), tableOf(t), wave("second"), tableOf(t)} {
		h.Set(now.Add(time.Duration(i)*time.Second), table)
	}
	m := h.Moves()
	kept := map[string]int{}
	for i := range routes {
		for _, host := range []string{"first", "second"} {
			kept[host] += len(m.Services(host, fmt.Sprintf("/%d/", i), "id", ""))
		}
	}
	if kept["second"] != routes || kept["first"] != 4096-routes {
		t.Errorf("%v routes are remembered, want the later ones first", kept)
	}
}

// TestMovesOutliveRestore guards against moves that are forgotten, or not followed any more, once the routes of the time
// before the start are known.
func TestMovesOutliveRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	h := routehistory.New(now, keep)
	m := h.Moves()
	h.Set(now, movedTo(t, "r", "/", "s"))
	h.Set(now, movedTo(t, "r", "/", "t"))
	h.Restore(now, h.Uses(now), []*routing.Table{movedTo(t, "r", "/", "v")})
	if got := m.Services("h", "/", "id", "t"); !slices.Equal(got, []string{"s"}) {
		t.Errorf("got %v, want s", got)
	}
	h.Set(now, movedTo(t, "r", "/", "u"))
	if got := m.Services("h", "/", "id", "u"); !slices.Equal(got, []string{"s", "t"}) {
		t.Errorf("got %v, want s and t", got)
	}
}

// TestMovesAreReadBesideChanges guards against requests that wait for the goroutine of the history, or see half of a change.
func TestMovesAreReadBesideChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	h := routehistory.New(now, keep)
	m := h.Moves()
	tables := []*routing.Table{movedTo(t, "r", "/", "s"), movedTo(t, "r", "/", "t"), movedTo(t, "r", "/", "u")}
	for _, table := range tables {
		h.Set(now, table)
	}
	var stopped atomic.Bool
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for !stopped.Load() {
				// Of three services in turn two are known at least, whatever is in force.
				if got := m.Services("h", "/", "id", ""); len(got) < 2 {
					t.Errorf("got %v", got)
					return
				}
			}
		})
	}
	for i := range 3000 {
		now = now.Add(time.Second)
		h.Set(now, tables[i%len(tables)])
	}
	stopped.Store(true)
	readers.Wait()
}
