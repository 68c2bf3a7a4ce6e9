package changes

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/stepcroft/stepcroft/internal/explain"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/refusal"
)

// msgRequest is the message of the lines that routers write as requests end.
const msgRequest = "request"

// endUnknown is the end of a request that was sent to targets near the change and of whose end there is no line.
const endUnknown lifecycle.End = "no line"

// Request is a request that ended near a selected change.
type Request struct {
	ID     string        `json:"id"`
	Router string        `json:"router"`
	Time   time.Time     `json:"time"`
	End    lifecycle.End `json:"end"`
	// Derived is set if the line does not have the end, so that it was derived from the other fields.
	Derived bool   `json:"derived,omitempty"`
	Reason  string `json:"reason"`
	Status  int    `json:"status"`
	// Config is the version that the request was admitted under, and ConfigEnd the one that it ended under, 0 if the
	// line does not have it. SinceChange is the time since that came into force at the router, in milliseconds.
	Config      int64    `json:"config"`
	ConfigEnd   int64    `json:"config_end"`
	SinceChange *float64 `json:"since_change_ms,omitempty"`
	ExchangeEnd string   `json:"exchange_end"`
	NotRetried  string   `json:"not_retried"`
	Target      string   `json:"target"`
	TookMillis  float64  `json:"took_ms"`
	// Cause is the most likely cause, Because the log lines that support it.
	Cause   string   `json:"cause"`
	Because []string `json:"because"`
}

// newRequest returns the request of a line with msgRequest.
func newRequest(l explain.Line) Request {
	end, derived := endOf(l)
	out := Request{
		ID: l.Text("id"), Router: l.Router, Time: l.Time, End: end, Derived: derived, Reason: l.Text("reason"), Status: int(l.Number("status")),
		Config: int64(l.Number("config")), ConfigEnd: int64(l.Number("config_end")),
		ExchangeEnd: l.Text("exchange_end"), NotRetried: l.Text("not_retried"), Target: l.Text("target"), TookMillis: l.Number("took_ms"),
		Because: []string{},
	}
	if ms, known := l.Fields["since_change_ms"].(float64); known {
		out.SinceChange = &ms
	}
	return out
}

// endOf returns how a request ended, and whether that was derived from other fields, since its router is of a version
// that does not write it.
func endOf(l explain.Line) (lifecycle.End, bool) {
	if end := l.Text("end"); end != "" {
		return lifecycle.End(end), false
	}
	return refusal.EndOf(forward.Result{
		Status: int(l.Number("status")), HeadSent: l.Number("first_ms") > 0, Truncated: l.Text("outcome") == "cut",
		Reason: forward.Reason(l.Text("reason")), ExchangeEnd: forward.Reason(l.Text("exchange_end")),
	}), true
}

func (r Request) text() []string {
	if r.End == endUnknown {
		return []string{fmt.Sprintf("%s  %s  %s  no line of its end", clock(r.Time), r.ID, r.Router), "  cause: " + r.Cause}
	}
	words := []string{fmt.Sprintf("%s  %s  %s  %s", clock(r.Time), cmp.Or(r.ID, "without an id"), r.Router, r.End)}
	add := func(name, value string) {
		if value != "" {
			words = append(words, name+" "+value)
		}
	}
	if r.Derived {
		words[0] += " (derived)"
	}
	add("reason", r.Reason)
	words = append(words, fmt.Sprintf("status %d, configuration %d", r.Status, r.Config))
	if r.ConfigEnd != 0 {
		words = append(words, fmt.Sprintf("ended under %d", r.ConfigEnd))
	}
	if r.SinceChange != nil {
		words = append(words, fmt.Sprintf("%.0f ms after it came into force there", *r.SinceChange))
	}
	add("last exchange", r.ExchangeEnd)
	add("not retried:", r.NotRetried)
	add("target", r.Target)
	out := []string{strings.Join(append(words, fmt.Sprintf("took %.1f ms", r.TookMillis)), ", "), "  cause: " + r.Cause}
	for _, l := range r.Because {
		out = append(out, "    "+l)
	}
	return out
}

// clock formats a time of day.
func clock(t time.Time) string { return t.Format("15:04:05.000") }

// found is a request with the lines about it.
type found struct {
	Request
	timeline *explain.Timeline
}

// finds holds the requests that are listed, a limited number by end.
type finds struct {
	limit   int
	list    []found
	byEnd   map[lifecycle.End]int
	leftOut map[lifecycle.End]int
}

func newFinds(limit int) finds {
	return finds{limit: limit, byEnd: map[lifecycle.End]int{}, leftOut: map[lifecycle.End]int{}}
}

// add lists a request with the lines about it.
func (f *finds) add(r Request, states *explain.States, lines ...explain.Line) {
	if f.byEnd[r.End] >= f.limit {
		f.leftOut[r.End]++
		return
	}
	f.byEnd[r.End]++
	t := explain.NewShared(r.ID, states)
	for _, l := range lines {
		t.Add(l)
	}
	f.list = append(f.list, found{r, t})
}

func (f *finds) sort() {
	slices.SortStableFunc(f.list, func(a, b found) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.ID, b.ID)) })
	for _, r := range f.list {
		r.timeline.Sort()
	}
}

// from returns the requests from the first one that ended soon enough before a time to have neighbours then.
func (f *finds) from(t time.Time) []found {
	first, _ := slices.BinarySearchFunc(f.list, t.Add(-explain.NeighbourWindow), func(r found, t time.Time) int { return r.Time.Compare(t) })
	return f.list[first:]
}

// wants reports whether a line of a time may be about a neighbour of one of the requests.
func (f *finds) wants(t time.Time) bool {
	list := f.from(t)
	return len(list) > 0 && list[0].Time.Sub(t) <= explain.NeighbourWindow
}

// addNeighbour passes a line to the timelines of the requests that ended at about the same time.
func (f *finds) addNeighbour(l explain.Line) {
	for _, r := range f.from(l.Time) {
		if r.Time.Sub(l.Time) > explain.NeighbourWindow {
			return
		}
		r.timeline.AddNeighbour(l)
	}
}

// explained returns the requests with their causes.
func (f *finds) explained() []Request {
	out := []Request{}
	for _, r := range f.list {
		e := r.timeline.Explain()
		r.Cause, r.Because = e.Cause, e.Because
		out = append(out, r.Request)
	}
	return out
}

// maxPendingLines bounds the lines that are kept until their request's end is read.
const maxPendingLines = 50_000

// pending holds lines about requests whose end has not been read. Routers write these before the end.
type pending struct {
	lines map[string][]explain.Line
	// order has the ids in the order in which they came; some may be gone.
	order []string
	count int
	// leftOut is the number of requests that were dropped for want of room.
	leftOut int
}

func (p *pending) add(l explain.Line) {
	id := l.Text("id")
	if p.lines == nil {
		p.lines = map[string][]explain.Line{}
	}
	if p.lines[id] == nil {
		p.order = append(p.order, id)
	}
	p.lines[id] = append(p.lines[id], l)
	p.count++
	for p.count > maxPendingLines || len(p.order) > 2*maxPendingLines {
		oldest := p.order[0]
		p.order = p.order[1:]
		if len(p.take(oldest)) > 0 {
			p.leftOut++
		}
	}
}

// take returns the lines about a request and forgets them.
func (p *pending) take(id string) []explain.Line {
	lines := p.lines[id]
	p.count -= len(lines)
	delete(p.lines, id)
	return lines
}
