package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

const (
	// tallyPeriod is the time between two lines about an organisation's requests.
	tallyPeriod = time.Second
	// talliesMost is the number of organisations that have such a line at a time.
	talliesMost = 4
)

// outcomes is what became of an organisation's requests.
type outcomes struct {
	answered, refused, cut int
	// hidden is how many have no line of their own.
	hidden int
	// tokens is what those count for in shares that were answered or cut.
	tokens float64
}

func (o outcomes) requests() int { return o.answered + o.refused + o.cut }

// tally counts what became of requests by organisation. Of many requests few have a line;
// the sums tell what an organisation got all the same. The zero value is empty.
type tally struct {
	mu  sync.Mutex
	by  map[string]outcomes
	due time.Time
}

// add counts a request that ended; hidden tells that it has no line.
func (t *tally) add(r forward.Request, v forward.Result, hidden bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.by == nil {
		t.by = map[string]outcomes{}
	}
	o := t.by[r.Organisation]
	switch outcome(v) {
	case "refused":
		o.refused++
	case "cut":
		o.cut++
	default:
		o.answered++
	}
	if v.HeadSent {
		o.tokens += throttle.RequestSize{Input: r.Input, Output: r.Output}.Tokens()
	}
	if hidden {
		o.hidden++
	}
	t.by[r.Organisation] = o
}

// take returns the sums since the last call, or nil before they are due.
func (t *tally) take(now time.Time) map[string]outcomes {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.due) {
		return nil
	}
	t.due = now.Add(tallyPeriod)
	by := t.by
	t.by = nil
	return by
}

// logTallies logs sums for the organisations with most requests of which some have no line.
func (g *Gateway) logTallies(now time.Time) {
	by := g.tally.take(now)
	maps.DeleteFunc(by, func(_ string, o outcomes) bool { return o.hidden == 0 })
	names := slices.SortedFunc(maps.Keys(by), func(a, b string) int {
		return cmp.Or(cmp.Compare(by[b].requests(), by[a].requests()), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), talliesMost)] {
		o := by[name]
		g.Log.Info("requests of an organisation", "organisation", name, "answered", o.answered, "refused", o.refused,
			"cut", o.cut, "tokens", int(o.tokens), "without_line", o.hidden)
	}
}
