// Package tally sums up how the requests of organisations ended. At high rates most requests have
// no log line of their own; the sums still show what each organisation was served.
package tally

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

const (
	// Interval is the interval between two log lines about an organisation's requests.
	Interval = time.Second
	// maxLines is the most organisations that get such a line in one interval.
	maxLines = 4
)

// Outcome is one word for how a request ended. It is the value of the key outcome in the log.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered"
	Refused  Outcome = "refused"
	Cut      Outcome = "cut"
)

// OutcomeOf returns how a request with a result ended.
func OutcomeOf(v forward.Result) Outcome {
	switch {
	case v.Truncated:
		return Cut
	case v.Reason != "":
		return Refused
	}
	return Answered
}

// Sums counts an organisation's requests by how they ended.
type Sums struct {
	Answered, Refused, Cut int
	// Unlogged counts the requests without a log line of their own.
	Unlogged int
	// Tokens is the sum that the answered and cut requests count for in fair shares.
	Tokens float64
}

func (s Sums) requests() int { return s.Answered + s.Refused + s.Cut }

// Tally has the sums of all organisations. Any goroutine may use it.
type Tally struct {
	mu             sync.Mutex
	byOrganisation map[string]Sums
	due            time.Time
}

// New returns an empty tally.
func New() *Tally { return &Tally{} }

// Add counts a request that has ended; unlogged is set if it has no log line.
func (t *Tally) Add(r forward.Request, v forward.Result, unlogged bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byOrganisation == nil {
		t.byOrganisation = map[string]Sums{}
	}
	s := t.byOrganisation[r.Organisation]
	switch OutcomeOf(v) {
	case Refused:
		s.Refused++
	case Cut:
		s.Cut++
	default:
		s.Answered++
	}
	if v.HeadSent {
		s.Tokens += throttle.RequestSize{Input: r.Input, Output: r.Output}.Tokens()
	}
	if unlogged {
		s.Unlogged++
	}
	t.byOrganisation[r.Organisation] = s
}

// Take returns and resets the sums, or returns nil if Interval has not passed since the last call
// that returned them.
func (t *Tally) Take(now time.Time) map[string]Sums {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.due) {
		return nil
	}
	t.due = now.Add(Interval)
	by := t.byOrganisation
	t.byOrganisation = nil
	return by
}

// Log logs the sums of the organisations with the most requests if Take returns any, leaving out
// organisations whose requests all have log lines.
func (t *Tally) Log(now time.Time, log logr.Logger) {
	by := t.Take(now)
	maps.DeleteFunc(by, func(_ string, s Sums) bool { return s.Unlogged == 0 })
	names := slices.SortedFunc(maps.Keys(by), func(a, b string) int {
		return cmp.Or(cmp.Compare(by[b].requests(), by[a].requests()), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxLines)] {
		s := by[name]
		log.Info("requests of an organisation", "organisation", name, "answered", s.Answered, "refused", s.Refused,
			"cut", s.Cut, "tokens", int(s.Tokens), "without_line", s.Unlogged)
	}
}
