package changes

import (
	"fmt"
	"time"

	"github.com/stepcroft/stepcroft/internal/explain/routerlog"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

// maxChangesShown bounds the number of changes that a report names.
const maxChangesShown = 20

// Report says which requests near the selected changes had no whole answer, in the form shown to operators.
type Report struct {
	// Changes are the selected ones, the newest ones if there are many; ChangesLeftOut is the number of others.
	Changes        []Change `json:"changes"`
	ChangesLeftOut int      `json:"changes_left_out"`
	// WindowMillis is how long after the last router's change requests count as near.
	WindowMillis int64 `json:"window_ms"`
	// Requests are those without a whole answer; LeftOut has the number of those that are not listed, by end.
	Requests []Request             `json:"requests"`
	LeftOut  map[lifecycle.End]int `json:"left_out"`
	// Refused and CallersGone count the others without an answer, by reason.
	Refused     map[string]int `json:"refused"`
	CallersGone map[string]int `json:"callers_gone"`
	Comparison  Comparison     `json:"comparison"`
	Gaps        Gaps           `json:"gaps"`
}

// Report returns the report. Call it after all lines were added.
func (s *Search) Report(u routerlog.Unread) Report {
	left := max(0, len(s.selected)-maxChangesShown)
	gaps := s.gaps
	gaps.Unread = u
	gaps.Incomplete = gaps.Incomplete || u.BadLines+u.Files > 0
	return Report{
		Changes: s.selected[left:], ChangesLeftOut: left, WindowMillis: s.options.After.Milliseconds(),
		Requests: s.finds.explained(), LeftOut: s.finds.leftOut, Refused: s.refused, CallersGone: s.callersGone,
		Comparison: newComparison(s.total, s.byRouter), Gaps: gaps,
	}
}

// Text returns the report as lines of text.
func (r Report) Text() []string {
	var out []string
	if r.ChangesLeftOut > 0 {
		out = append(out, fmt.Sprintf("%d older changes, and", r.ChangesLeftOut))
	}
	for _, c := range r.Changes {
		out = append(out, c.text(time.Duration(r.WindowMillis)*time.Millisecond)...)
	}
	total := len(r.Requests)
	for _, n := range r.LeftOut {
		total += n
	}
	out = append(out, "", fmt.Sprintf("requests without a whole answer: %d", total))
	for _, q := range r.Requests {
		out = append(out, q.text()...)
	}
	if total > len(r.Requests) {
		out = append(out, "not listed: "+endsText(r.LeftOut))
	}
	out = append(out, "refused: "+endsText(r.Refused), "left by their callers: "+endsText(r.CallersGone), "")
	out = append(append(out, r.Comparison.text()...), "")
	return append(out, r.Gaps.text()...)
}

func (c Change) text(after time.Duration) []string {
	name := fmt.Sprintf("configuration %d (revision %d), %s: ", c.Version, c.Revision, c.First.Format(time.DateOnly))
	out := []string{fmt.Sprintf("%sin force first %s at %s, last %s at %s, %d routers within %v",
		name, clock(c.First), c.FirstRouter, clock(c.Last), c.LastRouter, c.Routers, c.Last.Sub(c.First).Round(time.Millisecond))}
	if c.Routers == 0 {
		out[0] = fmt.Sprintf("%s%d routers started with it, first %s at %s, last %s at %s", name, c.Starts, clock(c.First), c.FirstRouter, clock(c.Last), c.LastRouter)
	} else if c.Starts > 0 {
		out[0] += fmt.Sprintf("; %d routers started with it", c.Starts)
	}
	return append(out, fmt.Sprintf("  requests that ended from %s to %s", clock(c.First), clock(c.Last.Add(after))))
}
