package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// near is the longest time between the ends of two requests that count as neighbours.
	near = 2 * time.Second
	// beliefsMost bounds the lines about routers' state that are kept in memory. A fleet of
	// hundreds of routers writes as many in some hours of normal operation.
	beliefsMost = 200_000
)

// Messages of the lines that routers write about one request.
const (
	lineRequest   = "request"
	lineSentAgain = "sent again"
	lineGivenUp   = "given up"
)

// beliefs holds the messages of the lines that report a router's state: its configuration, its
// targets, the store and the requests that it quarantined. They show what the router knew when
// the request came.
var beliefs = map[string]bool{
	"configuration in force": true, "targets known": true, "store lost": true, "store regained": true,
	"organisation throttled": true, "organisation no longer throttled": true, "router runs": true, "target says that it leaves": true, "target asks for a rest": true, "targets left alone that turn requests away": true, "store came back older": true, "planned stop begins": true,
	"box was suspended": true, "configuration confirmed": true, "request held back": true, "request suspected": true,
	"request cleared": true, "lapsed targets given up": true, lineDropped: true, "callers turned away": true,
}

// Story collects what is known about one request. Pass each line to Add, call Sort, then pass
// each line to AddNeighbour.
type Story struct {
	ID string
	// Own holds the lines about the request, Beliefs the lines about routers' state. Dropped
	// is the number of lines that routers did not write because they logged too fast.
	Own     []Line
	Beliefs []Line
	Dropped int
	// lost is set if Beliefs reached its bound and lines were left out.
	lost bool
	// neighbours counts the outcomes of other requests that ended at about the same time.
	neighbours neighbours
}

// neighbours counts requests that ended at about the same time as the explained one.
type neighbours struct {
	counted bool
	// target counts failures at the same target by reason; organisation counts requests of
	// the same organisation at the same router by outcome.
	target, organisation map[string]int
}

// New returns an empty story of the request with an ID.
func New(id string) *Story { return &Story{ID: id} }

// Add keeps a line if it is about the request or reports a router's state.
func (s *Story) Add(l Line) {
	switch {
	case l.text("id") == s.ID:
		s.Own = append(s.Own, l)
	case beliefs[l.What]:
		if l.What == lineDropped {
			s.Dropped += int(l.number("lines"))
		}
		if len(s.Beliefs) >= beliefsMost {
			s.lost = true
			return
		}
		s.Beliefs = append(s.Beliefs, l)
	}
}

// Sort orders the lines by time. Call it after the last Add.
func (s *Story) Sort() {
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Own, byTime)
	slices.SortStableFunc(s.Beliefs, byTime)
}

// AddNeighbour counts a line if it is about a neighbour of the request. It needs a second pass
// over all lines, after Sort, since neighbours are found by the time at which the request ended.
func (s *Story) AddNeighbour(l Line) {
	n := &s.neighbours
	if !n.counted {
		*n = neighbours{counted: true, target: map[string]int{}, organisation: map[string]int{}}
	}
	end := s.end()
	if end.What == "" || l.text("id") == s.ID || l.text("id") == "" {
		return
	}
	if d := l.Time.Sub(end.Time); d > near || d < -near {
		return
	}
	if target := s.target(); target != "" && l.text("target") == target && l.What != lineRequest {
		n.target[l.text("reason")]++
	}
	if l.What == lineRequest && l.Router == end.Router && l.text("organisation") == end.text("organisation") {
		n.organisation[l.text("outcome")]++
	}
}

// end returns the line that the router wrote when the request ended, or an empty one.
func (s *Story) end() Line {
	for _, l := range slices.Backward(s.Own) {
		if l.What == lineRequest {
			return l
		}
	}
	return Line{}
}

// target returns the last target that failed the request, or else the one in its final line.
func (s *Story) target() string {
	for _, l := range slices.Backward(s.Own) {
		if l.What == lineGivenUp || l.What == lineSentAgain {
			return l.text("target")
		}
	}
	return s.end().text("target")
}

// last returns the last line with a message that a router wrote no later than a time and that
// keep accepts, or an empty one. A nil keep accepts all lines.
func (s *Story) last(what, router string, before time.Time, keep func(Line) bool) Line {
	for _, l := range slices.Backward(s.Beliefs) {
		if l.What == what && l.Router == router && !l.Time.After(before) && (keep == nil || keep(l)) {
			return l
		}
	}
	return Line{}
}

// Told is the explanation of a request's outcome.
type Told struct {
	ID string `json:"id"`
	// Events lists what happened, in order, and the router's state when the request came.
	Events []string `json:"events"`
	// Cause is the most likely cause of the outcome, Because the log lines that support it.
	Cause   string   `json:"cause"`
	Because []string `json:"because"`
}

// Text returns the explanation as lines of text.
func (t Told) Text() []string {
	out := append(slices.Clone(t.Events), "cause: "+t.Cause)
	for _, l := range t.Because {
		out = append(out, "  "+l)
	}
	return out
}

// Tell returns the explanation. Call it after all lines were added.
func (s *Story) Tell() Told {
	if len(s.Own) == 0 {
		return s.nothing()
	}
	cause, because := s.cause()
	out := Told{ID: s.ID, Events: s.events(), Cause: cause, Because: []string{}}
	for _, l := range because {
		out.Because = append(out.Because, clockText(l.Time)+"  "+l.Router+" "+show(l))
	}
	if s.lost {
		out.Because = append(out.Because, fmt.Sprintf("only the first %d lines of what routers believed were looked at", beliefsMost))
	}
	return out
}

// events describes the arrival of the request, the router's state at that time, and each line
// about the request.
func (s *Story) events() []string {
	end := s.end()
	var out []string
	if end.What != "" {
		came := end.Time.Add(-time.Duration(end.number("took_ms") * float64(time.Millisecond)))
		out = append(out, fmt.Sprintf("%s  %s reads it: organisation %s, route %s, %.0f tokens in, %.0f out",
			clockText(came), end.Router, or(end.text("organisation"), "none"), or(end.text("route"), "none"), end.number("input"), end.number("output")))
		out = append(out, s.knew(end.Router, came)...)
	}
	for _, l := range s.Own {
		out = append(out, clockText(l.Time)+"  "+l.Router+" "+tellOwn(l))
	}
	return out
}

// nothing returns the explanation for a request that no line names. It lists the lines that
// routers dropped, since the request may be among them.
func (s *Story) nothing() Told {
	out := Told{ID: s.ID, Events: []string{}, Cause: "no line has this id", Because: []string{}}
	if s.Dropped > 0 {
		out.Cause += fmt.Sprintf("; %d lines were left out by routers that wrote too many", s.Dropped)
	}
	for _, l := range s.Beliefs {
		if l.What == lineDropped {
			out.Because = append(out.Because, fmt.Sprintf("%s  %s left out %.0f", clockText(l.Time), l.Router, l.number("lines")))
		}
	}
	return out
}

// knew describes the router's configuration, targets and store when the request came.
func (s *Story) knew(router string, at time.Time) []string {
	var out []string
	if l := s.last("configuration in force", router, at, nil); l.What != "" {
		out = append(out, fmt.Sprintf("    configuration %.0f, for %s, from %s", l.number("version"), ageText(at.Sub(l.Time)), l.text("from")))
	}
	if l := s.last("targets known", router, at, nil); l.What != "" {
		out = append(out, fmt.Sprintf("    %.0f targets (%.0f leaving, %.0f lapsed) as of %s before, from %s",
			l.number("targets"), l.number("leaving"), l.number("lapsed"), ageText(at.Sub(l.Time)), l.text("from")))
	}
	lost := s.last("store lost", router, at, nil)
	if back := s.last("store regained", router, at, nil); lost.What != "" && back.Time.Before(lost.Time) {
		out = append(out, fmt.Sprintf("    the store was lost to it %s before", ageText(at.Sub(lost.Time))))
	}
	return out
}

// tellOwn describes a line about the request in words.
func tellOwn(l Line) string {
	switch l.What {
	case lineRequest:
		how := fmt.Sprintf("%s, status %.0f", l.text("outcome"), l.number("status"))
		if why := l.text("reason"); why != "" {
			how += ", " + why
		}
		return fmt.Sprintf("ends it: %s; waited %.1f ms, %.0f sends, first %.1f ms, took %.1f ms", how, l.number("waited_ms"), l.number("sends"), l.number("first_ms"), l.number("took_ms"))
	case lineSentAgain:
		return fmt.Sprintf("leaves target %s: %s (%s) after %.0f events", l.text("target"), l.text("reason"), l.text("cause"), l.number("events"))
	case lineGivenUp:
		return fmt.Sprintf("gives up at target %s: %s (%s) after %.0f events", l.text("target"), l.text("reason"), l.text("cause"), l.number("events"))
	}
	return show(l)
}

// show returns a line's message and its fields, sorted by name.
func show(l Line) string {
	out := []string{l.What}
	for _, name := range sortedNames(l.Fields) {
		out = append(out, fmt.Sprintf("%s=%v", name, l.Fields[name]))
	}
	return strings.Join(out, " ")
}

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

func clockText(t time.Time) string { return t.Format("15:04:05.000") }

func ageText(d time.Duration) string { return d.Round(time.Millisecond).String() }

func or(a, b string) string {
	if a == "" {
		return b
	}
	return a
}
