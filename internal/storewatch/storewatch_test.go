package storewatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/storewatch"
)

// TestWatchers checks how many routers of a fleet watch the store, and that those that can't reach it are replaced.
func TestWatchers(t *testing.T) {
	const routers = 40
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		after time.Duration
		// failing is the number of routers, of those that watch otherwise, whose calls failed a time before.
		failing int
		since   time.Duration
		// uninformed is set if all lack the configuration, leaving if all are about to end.
		uninformed, leaving bool
		least, most         int
	}{
		"just started":                 {after: 10 * time.Millisecond, least: 0, most: 0},
		"later":                        {after: time.Second, least: 3, most: 3},
		"one can't reach it":           {after: time.Second, failing: 1, least: 4, most: 4},
		"one couldn't reach it before": {after: 10 * time.Second, failing: 1, since: 6 * time.Second, least: 3, most: 3},
		"all are leaving":              {after: time.Second, leaving: true, least: 0, most: 0},
		"none has a configuration":     {after: time.Second, uninformed: true, least: 3, most: routers / 2},
	} {
		t.Run(name, func(t *testing.T) {
			now := start.Add(c.after)
			var records []message.RouterRecord
			var watches []*storewatch.Watch
			for i := range routers {
				r := message.RouterRecord{ID: message.RouterID(fmt.Sprint("r", i)), Zone: fmt.Sprint("z", i%3)}
				records = append(records, r)
				watches = append(watches, storewatch.New(start, r.ID, r.Zone))
			}
			failed := 0
			for i, w := range watches {
				if failed < c.failing && w.Should(now, slices.Values(records), false, false) {
					w.Failed(now.Add(-c.since), message.StoreConfig)
					records[i].StoreFailing = !w.Reaches(now)
					failed++
				}
			}
			// Ranks are kept for a while.
			now = now.Add(20 * time.Millisecond)
			n := 0
			for _, w := range watches {
				if w.Should(now, slices.Values(records), c.uninformed, c.leaving) {
					n++
				}
			}
			if n < c.least || n > c.most {
				t.Errorf("%d routers watch, want %d to %d", n, c.least, c.most)
			}
		})
	}
}
