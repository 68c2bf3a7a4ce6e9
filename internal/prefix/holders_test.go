package prefix_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/prefix"
)

func TestHolders(t *testing.T) {
	type use struct {
		after  time.Duration
		engine int
	}
	cases := map[string]struct {
		uses  []use
		prune time.Duration
		want  []int
	}{
		"none":               {want: nil},
		"used twice":         {uses: []use{{0, 1}, {1, 2}, {2, 1}}, want: []int{1, 2}},
		"oldest is replaced": {uses: []use{{0, 1}, {1, 2}, {2, 3}, {3, 4}, {4, 5}, {5, 6}, {6, 7}, {7, 8}, {8, 1}, {9, 9}}, want: []int{1, 3, 4, 5, 6, 7, 8, 9}},
		"outdated is pruned": {uses: []use{{0, 1}, {time.Second, 2}}, prune: prefix.CachedTTL + time.Second, want: []int{2}},
		"all outdated":       {uses: []use{{0, 1}, {time.Second, 2}}, prune: prefix.CachedTTL + 2*time.Second, want: nil},
		"pruned too early":   {uses: []use{{-prefix.CachedTTL, 1}, {0, 2}}, prune: time.Second, want: []int{1, 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			h := prefix.NewHolders[int](now)
			for _, u := range c.uses {
				h.Add(now.Add(u.after), "p", u.engine)
			}
			h.Prune(now.Add(c.prune))
			if got := slices.Sorted(h.Of("p")); !slices.Equal(got, c.want) {
				t.Errorf("engines %v, want %v", got, c.want)
			}
		})
	}
}
