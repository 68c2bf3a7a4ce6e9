package routing_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

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
			var m routing.Moves
			now := time.Unix(1000, 0)
			for i, table := range c.tables[1:] {
				m = m.With(now, c.tables[i], table, now.Add(-time.Minute))
				now = now.Add(time.Second)
			}
			for _, host := range []string{"h", "H:80"} {
				if got := m.Services(host, "/a/x", "id", "t"); !slices.Equal(got, c.want) {
					t.Errorf("%s: got %v, want %v", host, got, c.want)
				}
			}
			last := c.tables[len(c.tables)-1]
			if got := m.With(now, last, last, now).Services("h", "/a/x", "id", "t"); got != nil {
				t.Errorf("got %v long after", got)
			}
		})
	}
}

// TestMovesOfSplitRoute guards against taking each service of a split route for one that all of its requests went to.
func TestMovesOfSplitRoute(t *testing.T) {
	split, now := movedTo(t, "r", "/", "s", "t"), time.Unix(1000, 0)
	m := routing.Moves{}.With(now, split, movedTo(t, "r", "/", "u"), now)
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
	var m routing.Moves
	for i := range 100 {
		m = m.With(now, movedTo(t, "r", "/", fmt.Sprint("s", i)), movedTo(t, "r", "/", fmt.Sprint("s", i+1)), now)
	}
	if got := m.Services("h", "/", "id", ""); len(got) != 8 || got[7] != "s99" {
		t.Errorf("got %v, want the last 8", got)
	}
	const routes = 5000
	for i := range routes {
		at := now.Add(time.Duration(i) * time.Millisecond)
		m = m.With(at, movedTo(t, "r", fmt.Sprintf("/%d/", i), "s"), movedTo(t, "r", fmt.Sprintf("/%d/", i+1), "s"), now)
	}
	if first, last := m.Services("h", "/1/", "id", ""), m.Services("h", fmt.Sprintf("/%d/", routes-1), "id", ""); first != nil || len(last) != 1 {
		t.Errorf("got %v for the route that was removed first, %v for the last one", first, last)
	}
}
