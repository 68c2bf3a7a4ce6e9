package routing_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/routing"
)

// longestPrefix finds the longest matching prefix by linear search.
func longestPrefix(routes []routing.Route, host, path string) string {
	best := ""
	for _, r := range routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > len(best) {
			best = r.Prefix
		}
	}
	return best
}

// TestLookup compares Lookup with a linear search.
func TestLookup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SampledFrom([]string{"a/", "b/", "aa/", "/"})
		path := rapid.Custom(func(t *rapid.T) string {
			return "/" + strings.Join(rapid.SliceOfN(piece, 0, 4).Draw(t, "pieces"), "")
		})
		host := rapid.SampledFrom([]string{"h", "k"})
		var routes []routing.Route
		for i, prefix := range rapid.SliceOfN(path, 0, 8).Draw(t, "prefixes") {
			routes = append(routes, routing.Route{
				Name: fmt.Sprint(i), Host: host.Draw(t, "host"), Prefix: prefix, Shares: []routing.Share{{Service: "s"}},
			})
		}
		table, err := routing.New(routing.Spec{Routes: routes})
		if err != nil {
			t.Fatal(err)
		}
		h, p := host.Draw(t, "asked host"), path.Draw(t, "path")+rapid.SampledFrom([]string{"", "x", "x/y"}).Draw(t, "rest")
		got := ""
		if r, ok := table.Lookup(h, p); ok {
			got = r.Prefix
		}
		if want := longestPrefix(routes, h, p); got != want {
			t.Fatalf("%s at %s: %q, want %q", p, h, got, want)
		}
	})
}

func TestNew(t *testing.T) {
	for name, r := range map[string]routing.Route{
		"no service":      {Prefix: "/a/"},
		"relative prefix": {Prefix: "a/", Shares: []routing.Share{{Service: "s"}}},
	} {
		if _, err := routing.New(routing.Spec{Routes: []routing.Route{r}}); !errors.Is(err, routing.ErrInvalid) {
			t.Errorf("%s: error is %v", name, err)
		}
	}
}

func ExampleTable_Lookup() {
	table, err := routing.New(routing.Spec{Routes: []routing.Route{
		{Name: "all", Host: "h", Prefix: "/", Shares: []routing.Share{{Service: "s"}}},
		{Name: "some", Host: "h", Prefix: "/a/", Shares: []routing.Share{{Service: "s"}}},
	}})
	if err != nil {
		fmt.Println(err)
		return
	}
	r, ok := table.Lookup("h", "/a/b")
	fmt.Println(r.Name, ok)
	// Output: some true
}
