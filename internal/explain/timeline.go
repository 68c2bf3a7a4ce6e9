package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// NeighbourWindow is how far apart the ends of two neighbouring requests may be.
	NeighbourWindow = 2 * time.Second
	// maxStateLines bounds the lines about routers' state that are kept in memory. A fleet of
	// hundreds of routers writes as many in some hours of normal operation.
	maxStateLines = 200_000
)

// Messages of the lines that routers write about one request.
const (
	msgRequest       = "request"
	MessageSentAgain = "sent again"
	MessageGivenUp   = "given up"
)

// stateMessages holds the messages of the lines that report a router's state, such as its
// configuration, its targets, the store and the requests that it quarantined. They show what the
// router knew when the request came.
var stateMessages = map[string]bool{
	"configuration in force": true, "targets known": true, "store lost": true, "store regained": true,
	"organisation throttled": true, "organisation no longer throttled": true, "router runs": true, "target says that it leaves": true, "target asks for a rest": true, "targets left alone that turn requests away": true, "store came back older": true, "planned stop begins": true,
	"copy of the store is old": true, "copy of the store is recent": true, "watch of the store begins": true, "watch of the store ends": true,
	"box was suspended": true, "configuration confirmed": true, "request held back": true, "request suspected": true,
	"part held back": true, "part suspected": true, "part cleared": true,
	"request cleared": true, "lapsed targets given up": true, msgLinesDropped: true, "callers turned away": true, "streams bounded": true,
}

// States holds lines that report routers' state. The timelines of several requests may share one. The zero value is
// empty.
type States struct {
	lines []Line
	// dropped is the number of lines that routers did not write because they logged too fast.
	dropped int
	// truncated is set if there were more than maxStateLines, so that later ones are missing.
	truncated bool
	sorted    bool
}

// Add keeps a line if it reports a router's state.
func (s *States) Add(l Line) {
	if !stateMessages[l.Message] {
		return
	}
	if l.Message == msgLinesDropped {
		s.dropped += int(l.Number("lines"))
	}
	if len(s.lines) >= maxStateLines {
		s.truncated = true
		return
	}
	s.lines, s.sorted = append(s.lines, l), false
}

// sort orders the lines by time.
func (s *States) sort() {
	if !s.sorted {
		slices.SortStableFunc(s.lines, byTime)
		s.sorted = true
	}
}

// Timeline collects what is known about one request. Pass each line to Add, call Sort, then pass
// each line to AddNeighbour.
type Timeline struct {
	ID string
	// RequestLines holds the lines about the request.
	RequestLines []Line
	states       *States
	// neighbours counts the outcomes of other requests that ended at about the same time.
	neighbours neighbours
}

// neighbours counts requests that ended at about the same time as the explained one.
type neighbours struct {
	// counted is set once a line was passed to AddNeighbour.
	counted bool
	// reasonsAtTarget counts failures at the same target by reason, outcomesOfOrganisation
	// requests of the same organisation at the same router by outcome.
	reasonsAtTarget, outcomesOfOrganisation map[string]int
}

// New returns an empty timeline of the request with this ID.
func New(id string) *Timeline { return NewShared(id, &States{}) }

// NewShared returns an empty timeline of the request with this ID that shares the lines about routers' state.
func NewShared(id string, s *States) *Timeline { return &Timeline{ID: id, states: s} }

// Add keeps a line if it is about the request or reports a router's state.
func (t *Timeline) Add(l Line) {
	if l.Text("id") == t.ID {
		t.RequestLines = append(t.RequestLines, l)
		return
	}
	t.states.Add(l)
}

// Sort orders the lines by time. Call it after the last Add.
func (t *Timeline) Sort() {
	slices.SortStableFunc(t.RequestLines, byTime)
	t.states.sort()
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// AddNeighbour counts a line if it is about a neighbour of the request. It needs a second pass
// over all lines, after Sort, since neighbours are found by the time at which the request ended.
func (t *Timeline) AddNeighbour(l Line) {
	n := &t.neighbours
	if !n.counted {
		*n = neighbours{counted: true, reasonsAtTarget: map[string]int{}, outcomesOfOrganisation: map[string]int{}}
	}
	end := t.endLine()
	if end.Message == "" || l.Text("id") == t.ID || l.Text("id") == "" {
		return
	}
	if d := l.Time.Sub(end.Time); d > NeighbourWindow || d < -NeighbourWindow {
		return
	}
	if target := t.target(); target != "" && l.Text("target") == target && l.Message != msgRequest {
		n.reasonsAtTarget[l.Text("reason")]++
	}
	if l.Message == msgRequest && l.Router == end.Router && l.Text("organisation") == end.Text("organisation") {
		n.outcomesOfOrganisation[l.Text("outcome")]++
	}
}

// endLine returns the line that the router wrote when the request ended, or an empty one.
func (t *Timeline) endLine() Line {
	for _, l := range slices.Backward(t.RequestLines) {
		if l.Message == msgRequest {
			return l
		}
	}
	return Line{}
}

// target returns the last target that failed the request, or else the one in its final line.
func (t *Timeline) target() string {
	for _, l := range slices.Backward(t.RequestLines) {
		if l.Message == MessageGivenUp || l.Message == MessageSentAgain {
			return l.Text("target")
		}
	}
	return t.endLine().Text("target")
}

// lastBefore returns the last line with a message that a router wrote no later than a time and
// that keep accepts, or an empty one. A nil keep accepts all lines.
func (t *Timeline) lastBefore(message, router string, before time.Time, keep func(Line) bool) Line {
	for _, l := range slices.Backward(t.states.lines) {
		if l.Message == message && l.Router == router && !l.Time.After(before) && (keep == nil || keep(l)) {
			return l
		}
	}
	return Line{}
}

// Explanation says what happened to a request and why, in the form shown to operators.
type Explanation struct {
	ID string `json:"id"`
	// Events lists what happened, in order, and the router's state when the request came.
	Events []string `json:"events"`
	// Cause is the most likely cause of the outcome, Because the log lines that support it.
	Cause   string   `json:"cause"`
	Because []string `json:"because"`
}

// Text returns the explanation as lines of text.
func (t Explanation) Text() []string {
	out := append(slices.Clone(t.Events), "cause: "+t.Cause)
	for _, l := range t.Because {
		out = append(out, "  "+l)
	}
	return out
}

// Explain returns the explanation. Call it after all lines were added.
func (t *Timeline) Explain() Explanation {
	if len(t.RequestLines) == 0 {
		return t.noLinesFound()
	}
	cause, because := t.cause()
	out := Explanation{ID: t.ID, Events: t.events(), Cause: cause, Because: []string{}}
	for _, l := range because {
		out.Because = append(out.Because, clockText(l.Time)+"  "+l.Router+" "+l.String())
	}
	if t.states.truncated {
		out.Because = append(out.Because, fmt.Sprintf("only the first %d lines of what routers believed were looked at", maxStateLines))
	}
	return out
}

// events describes the arrival of the request, the router's state at that time, and each line
// about the request.
func (t *Timeline) events() []string {
	end := t.endLine()
	var out []string
	if end.Message != "" {
		arrival := end.Time.Add(-time.Duration(end.Number("took_ms") * float64(time.Millisecond)))
		out = append(out, fmt.Sprintf("%s  %s reads it: organisation %s, route %s, %.0f tokens in, %.0f out",
			clockText(arrival), end.Router, orDefault(end.Text("organisation"), "none"), orDefault(end.Text("route"), "none"), end.Number("input"), end.Number("output")))
		out = append(out, t.routerState(end.Router, arrival)...)
	}
	for _, l := range t.RequestLines {
		out = append(out, clockText(l.Time)+"  "+l.Router+" "+describe(l))
	}
	return out
}

// noLinesFound returns the explanation for a request that no line names. It lists the lines that
// routers dropped, since the request may be among them.
func (t *Timeline) noLinesFound() Explanation {
	out := Explanation{ID: t.ID, Events: []string{}, Cause: "no line has this id", Because: []string{}}
	if t.states.dropped > 0 {
		out.Cause += fmt.Sprintf("; %d lines were left out by routers that wrote too many", t.states.dropped)
	}
	for _, l := range t.states.lines {
		if l.Message == msgLinesDropped {
			out.Because = append(out.Because, fmt.Sprintf("%s  %s left out %.0f", clockText(l.Time), l.Router, l.Number("lines")))
		}
	}
	return out
}

// routerState describes the router's configuration, targets and store when the request came. Lapsed
// targets are those whose TTL ran out while the store was unavailable.
func (t *Timeline) routerState(router string, at time.Time) []string {
	var out []string
	if l := t.lastBefore("configuration in force", router, at, nil); l.Message != "" {
		out = append(out, fmt.Sprintf("    configuration %.0f, for %s, from %s", l.Number("version"), ageText(at.Sub(l.Time)), l.Text("from")))
	}
	if l := t.lastBefore("targets known", router, at, nil); l.Message != "" {
		out = append(out, fmt.Sprintf("    %.0f targets (%.0f leaving, %.0f lapsed) as of %s before, from %s",
			l.Number("targets"), l.Number("leaving"), l.Number("lapsed"), ageText(at.Sub(l.Time)), l.Text("from")))
	}
	lost := t.lastBefore("store lost", router, at, nil)
	if regained := t.lastBefore("store regained", router, at, nil); lost.Message != "" && regained.Time.Before(lost.Time) {
		out = append(out, fmt.Sprintf("    the store was lost to it %s before", ageText(at.Sub(lost.Time))))
	}
	return out
}

// describe puts a line about the request into words.
func describe(l Line) string {
	switch l.Message {
	case msgRequest:
		outcome := fmt.Sprintf("%s, status %.0f", l.Text("outcome"), l.Number("status"))
		if reason := l.Text("reason"); reason != "" {
			outcome += ", " + reason
		}
		return fmt.Sprintf("ends it: %s; waited %.1f ms, %.0f sends, first %.1f ms, took %.1f ms", outcome, l.Number("waited_ms"), l.Number("sends"), l.Number("first_ms"), l.Number("took_ms"))
	case MessageSentAgain:
		return fmt.Sprintf("leaves target %s: %s (%s) after %.0f events", l.Text("target"), l.Text("reason"), l.Text("cause"), l.Number("events"))
	case MessageGivenUp:
		return fmt.Sprintf("gives up at target %s: %s (%s) after %.0f events", l.Text("target"), l.Text("reason"), l.Text("cause"), l.Number("events"))
	}
	return l.String()
}

// String returns the line's message and its fields, sorted by name.
func (l Line) String() string {
	out := []string{l.Message}
	for _, name := range sortedNames(l.Fields) {
		out = append(out, fmt.Sprintf("%s=%v", name, l.Fields[name]))
	}
	return strings.Join(out, " ")
}

// sortedNames returns the names of the fields that are specific to the message, sorted.
func sortedNames(fields map[string]any) []string {
	var names []string
	for name := range fields {
		if !slices.Contains([]string{"time", "level", "msg", "router"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// clockText formats the time of day.
func clockText(t time.Time) string { return t.Format("15:04:05.000") }

func ageText(d time.Duration) string { return d.Round(time.Millisecond).String() }

func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}
