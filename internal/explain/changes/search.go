package changes

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/explain"
	"github.com/stepcroft/stepcroft/internal/explain/routerlog"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

// stateMargin is how long before and after a change's window what routers say of their state may explain a request.
const stateMargin = time.Minute

// Options say what a search lists.
type Options struct {
	// After is how long after a change has reached the last router requests count as near it.
	After time.Duration
	// All lists refused requests and those whose callers left, too.
	All bool
	// Limit is the number of requests that are listed of each end.
	Limit int
}

// Search finds the requests near the selected changes that had no whole answer. Pass each line to Add, call Sort, and
// pass the lines that it wants to AddNeighbour. Use New to create one.
type Search struct {
	selected     []Change
	near, others windows
	options      Options
	finds        finds
	pending      pending
	states       explain.States
	total        *Periods
	byRouter     map[string]*Periods
	logs         routerlog.Logs
	gaps         Gaps
	refused      map[string]int
	callersGone  map[string]int
}

// New returns a search near the changes that h selects.
func New(h *History, s Selection, o Options) (*Search, error) {
	selected, others, err := h.Select(s)
	if err != nil {
		return nil, err
	}
	out := &Search{
		selected: selected, near: newWindows(selected, o.After), others: newWindows(others, o.After), options: o,
		finds: newFinds(o.Limit), total: newPeriods(), byRouter: map[string]*Periods{}, logs: routerlog.New(), gaps: newGaps(),
		refused: map[string]int{}, callersGone: map[string]int{},
	}
	out.gaps.ChangesForgotten = h.leftOut
	return out, nil
}

// Add notes a line.
func (s *Search) Add(l explain.Line) {
	s.logs.Add(l)
	if s.near.contains(l.Time, stateMargin) {
		s.states.Add(l)
		if l.Message == explain.MessageSentAgain || l.Message == explain.MessageGivenUp {
			s.pending.add(l)
		}
	}
	near := s.near.contains(l.Time, 0)
	if l.Message == msgRequest {
		s.addRequest(l, near)
		return
	}
	s.gaps.add(l, near)
}

// addRequest notes the end of a request.
func (s *Search) addRequest(l explain.Line, near bool) {
	lines := s.pending.take(l.Text("id"))
	end, derived := endOf(l)
	if derived {
		s.gaps.Derived++
	}
	p := s.byRouter[l.Router]
	if p == nil {
		p = newPeriods()
		s.byRouter[l.Router] = p
	}
	for _, p := range []*Periods{s.total, p} {
		switch {
		case near:
			p.Near.add(end)
		case s.others.contains(l.Time, 0):
			p.NearOthers.add(end)
		default:
			p.Apart.add(end)
		}
	}
	if !near {
		return
	}
	switch end {
	case lifecycle.Answered:
		return
	case lifecycle.Refused:
		s.refused[l.Text("reason")]++
	case lifecycle.CallerGone:
		s.callersGone[l.Text("reason")]++
	}
	if s.options.All || end != lifecycle.Refused && end != lifecycle.CallerGone {
		s.finds.add(newRequest(l), &s.states, append(lines, l)...)
	}
}

// Sort completes the list of requests. Call it after the last Add.
func (s *Search) Sort() {
	for _, id := range s.pending.order {
		lines := s.pending.take(id)
		if len(lines) == 0 {
			continue
		}
		if last := lines[len(lines)-1]; s.near.contains(last.Time, 0) {
			s.finds.add(Request{ID: id, Router: last.Router, Time: last.Time, End: endUnknown, Because: []string{}}, &s.states, lines...)
		}
	}
	s.gaps.Unmatched = s.pending.leftOut
	s.finds.sort()
	s.gaps.finish(s.logs)
}

// WantsNeighbours reports whether lines of a time need to be passed to AddNeighbour.
func (s *Search) WantsNeighbours(t time.Time) bool { return s.finds.wants(t) }

// AddNeighbour passes a line to those of the listed requests that ended at about the same time. It needs a second pass
// over the lines, after Sort.
func (s *Search) AddNeighbour(l explain.Line) { s.finds.addNeighbour(l) }
