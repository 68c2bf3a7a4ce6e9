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
	// tallyInterval is the interval between two log lines about an organisation's requests.
	tallyInterval = time.Second
	// maxTallyLines is the most organisations that get such a line in one interval.
	maxTallyLines = 4
)

// outcomes counts an organisation's requests by how they ended.
type outcomes struct {
	answered, refused, cut int
	// unlogged counts the requests without a log line of their own.
	unlogged int
	// tokens is the sum that the answered and cut requests count for in fair shares.
	tokens float64
}

func (o outcomes) requests() int { return o.answered + o.refused + o.cut }

// tally counts request outcomes by organisation. At high rates most requests have no log line; the
// sums still show what each organisation was served. The zero value is empty.
type tally struct {
	mu             sync.Mutex
	byOrganisation map[string]outcomes
	due            time.Time
}

// add counts a request that has ended; unlogged is set if it has no log line.
func (t *tally) add(r forward.Request, v forward.Result, unlogged bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byOrganisation == nil {
		t.byOrganisation = map[string]outcomes{}
	}
	o := t.byOrganisation[r.Organisation]
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
	if unlogged {
		o.unlogged++
	}
	t.byOrganisation[r.Organisation] = o
}

// take returns and resets the sums, or returns nil if tallyInterval has not passed since the last
// call that returned them.
func (t *tally) take(now time.Time) map[string]outcomes {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.due) {
		return nil
	}
	t.due = now.Add(tallyInterval)
	by := t.byOrganisation
	t.byOrganisation = nil
	return by
}

// logTallies logs the sums of the organisations with the most requests, leaving out those whose
// requests all have log lines.
func (g *Gateway) logTallies(now time.Time) {
	by := g.tally.take(now)
	maps.DeleteFunc(by, func(_ string, o outcomes) bool { return o.unlogged == 0 })
	names := slices.SortedFunc(maps.Keys(by), func(a, b string) int {
		return cmp.Or(cmp.Compare(by[b].requests(), by[a].requests()), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxTallyLines)] {
		o := by[name]
		g.Log.Info("requests of an organisation", "organisation", name, "answered", o.answered, "refused", o.refused,
			"cut", o.cut, "tokens", int(o.tokens), "without_line", o.unlogged)
	}
}
