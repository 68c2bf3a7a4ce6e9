package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// near is within which time of a request others are looked at.
	near = 2 * time.Second
	// beliefsMost bounds the lines kept of what routers believed: some hours of a fleet
	// of hundreds in calm time.
	beliefsMost = 200_000
)

// Lines of a router that say something of one request.
const (
	lineRequest   = "request"
	lineSentAgain = "sent again"
	lineGivenUp   = "given up"
)

// beliefs are the lines that say what a router believes, of which a story has the last one
// before the request.
var beliefs = map[string]bool{
	"configuration in force": true, "targets known": true, "store lost": true, "store regained": true,
	"organisation throttled": true, "organisation no longer throttled": true, "router runs": true, "target says that it leaves": true, "target asks for a rest": true, "targets left alone that turn requests away": true, "store came back older": true, "planned stop begins": true,
	"box was suspended": true, "configuration confirmed": true, "request held back": true, "request suspected": true,
	"request cleared": true, "lapsed targets given up": true, lineDropped: true, "callers turned away": true,
}

// Story is what is known of one request. Use New to begin one, and Add for each line.
type Story struct {
	ID string
	// Own are the lines of the request, Beliefs others that routers wrote, Dropped how
	// many lines all routers left out.
	Own     []Line
	Beliefs []Line
	Dropped int
	// lost is set where beliefs were left out.
	lost bool
	// neighbours counts what became of other requests near this one.
	neighbours neighbours
}

// neighbours are other requests near one in time.
type neighbours struct {
	counted bool
	// target counts those at the same target by reason, organisation those of the same
	// organisation at the same router by outcome.
	target, organisation map[string]int
}

// New returns the story of a request of which nothing is known.
func New(id string) *Story { return &Story{ID: id} }

// Add takes in a line.
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

// Sort puts the lines in order. Call it when all lines were added.
func (s *Story) Sort() {
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Own, byTime)
	slices.SortStableFunc(s.Beliefs, byTime)
}

// AddNeighbour takes in a line once more, after Sort, to count other requests.
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

// end returns the line by which the request ended, an empty one if there is none.
func (s *Story) end() Line {
	for _, l := range slices.Backward(s.Own) {
		if l.What == lineRequest {
			return l
		}
	}
	return Line{}
}

// target returns the target that mattered last.
func (s *Story) target() string {
	for _, l := range slices.Backward(s.Own) {
		if l.What == lineGivenUp || l.What == lineSentAgain {
			return l.text("target")
		}
	}
	return s.end().text("target")
}

// last returns the last line of a kind that a router wrote before a time, for which keep
// is true; an empty one if there is none.
func (s *Story) last(what, router string, before time.Time, keep func(Line) bool) Line {
	for _, l := range slices.Backward(s.Beliefs) {
		if l.What == what && l.Router == router && !l.Time.After(before) && (keep == nil || keep(l)) {
			return l
		}
	}
	return Line{}
}

// Told is a story as it is told.
type Told struct {
	ID string `json:"id"`
	// Events are what happened, in order, and what the router held before.
	Events []string `json:"events"`
	// Cause is the most likely cause of how it ended, Because the lines that show it.
	Cause   string   `json:"cause"`
	Because []string `json:"because"`
}

// Text returns the story in lines.
func (t Told) Text() []string {
	out := append(slices.Clone(t.Events), "cause: "+t.Cause)
	for _, l := range t.Because {
		out = append(out, "  "+l)
	}
	return out
}

// Tell tells the story.
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

// events says what happened.
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

// nothing says what is known of a request that no line names.
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

// knew says what the router held when the request came.
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

// tellOwn says what a line of the request says.
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

// show returns a line's message and fields in order.
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
