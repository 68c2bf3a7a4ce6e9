package streams

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/stepcroft/stepcroft/internal/explain"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

// Messages of the lines about streams.
const (
	// MessageRequest is that of the lines that routers write as requests end.
	MessageRequest = "request"
	// MessageBegan is that of the lines that routers write as soon as a stream has begun that needs a record.
	MessageBegan = "stream began"

	msgJoin        = "stream goes on"
	msgUndelivered = "answer not delivered"
)

// Answer is a router's answer to a request for a stream or for the rest of one.
type Answer struct {
	ID     string `json:"id"`
	Router string `json:"router"`
	// Time is that of its end, or of its last line if there is none of its end, in which case NoLine is set.
	Time   time.Time `json:"time"`
	NoLine bool      `json:"no_line,omitempty"`
	Took   float64   `json:"took_ms"`
	// After is the last event that the caller has, empty if the answer begins the stream. Resumes is the id of the request
	// that began it, as the caller names it.
	After     string `json:"after,omitempty"`
	Resumes   string `json:"resumes,omitempty"`
	VersionBy string `json:"version_by,omitempty"`
	// Runs is the number of runs, 0 if there were no events or the router is of a version that does not write it; Process,
	// Version and Service are those of the last one.
	Runs       int    `json:"runs"`
	Events     int    `json:"events"`
	LastEvent  string `json:"last_event"`
	Process    string `json:"process"`
	Version    string `json:"version"`
	Service    string `json:"service,omitempty"`
	SkippedIDs int64  `json:"skipped_ids,omitempty"`
	// Beginning is set if it began the stream and has a line of that.
	Beginning *Beginning `json:"beginning,omitempty"`
	// Undelivered is set if the last bytes could not be written.
	End         lifecycle.End `json:"end"`
	Status      int           `json:"status"`
	Reason      string        `json:"reason,omitempty"`
	Undelivered bool          `json:"undelivered,omitempty"`
	// MoreTries is the number of other requests to take the stream up behind the same event that ended alike, with no
	// events.
	MoreTries int    `json:"more_tries,omitempty"`
	Joins     []Join `json:"joins"`
	// unclear is set if it may have sent events that its line does not tell of.
	unclear bool
	// config is the version of the configuration by which the request was routed, 0 if it is not known.
	route  string
	config int64
}

// Beginning is the beginning of a stream, as its router told it at once.
type Beginning struct {
	Time time.Time `json:"time"`
	// Version is empty if it is not known which process began the stream.
	Version string `json:"version"`
	Service string `json:"service"`
	// id is that of the request.
	router, id string
}

func newBeginning(l explain.Line) Beginning {
	return Beginning{Time: l.Time.UTC(), Version: l.Text("version"), Service: l.Text("service"), router: l.Router, id: l.Text("id")}
}

func newAnswer(l explain.Line) Answer {
	runs, status := int(l.Number("runs")), int(l.Number("status"))
	return Answer{
		ID: l.Text("id"), Router: l.Router, Time: l.Time.UTC(), Took: l.Number("took_ms"),
		After: l.Text("after"), Resumes: l.Text("resumes"), VersionBy: l.Text("version_by"),
		Runs: runs, Events: int(l.Number("events")), LastEvent: l.Text("last_event"), Process: l.Text("process"),
		Version: l.Text("run_version"), Service: l.Text("run_service"), route: l.Text("route"), config: int64(l.Number("config")), SkippedIDs: int64(l.Number("skipped_ids")),
		End: lifecycle.End(l.Text("end")), Status: status, Reason: l.Text("reason"), Joins: []Join{}, unclear: runs == 0 && status == http.StatusOK && l.Number("first_ms") > 0,
	}
}

// stream returns the id of the request that began the stream.
func (a Answer) stream() string {
	if a.After != "" {
		return cmp.Or(a.Resumes, a.ID)
	}
	return a.ID
}

// begins reports whether the answer begins the stream.
func (a Answer) begins() bool { return a.After == "" }

// placeUnknown reports whether only joins within the answer have lines, so that it began behind an earlier event.
func (a Answer) placeUnknown() bool { return a.NoLine && a.Beginning == nil && a.Joins[0].within }

// whole reports whether the router took the stream for complete at the answer's end.
func (a Answer) whole() bool { return a.End == lifecycle.Answered && a.Events > 0 && a.LastEvent != "" }

// empty reports whether the router took the stream for complete behind the event that the caller has.
func (a Answer) empty() bool {
	return !a.begins() && a.End == lifecycle.Answered && a.Runs == 0 && (a.Status == http.StatusOK || a.Status == http.StatusNoContent)
}

// begun returns when the request arrived, by the router's clock.
func (a Answer) begun() time.Time {
	return a.Time.Add(-time.Duration(a.Took*float64(time.Millisecond)) - time.Millisecond)
}

// missingJoins returns how many joins the answer's line tells of that have no line.
func (a Answer) missingJoins() int {
	want := a.Runs
	if a.begins() {
		want--
	}
	return max(want-len(a.Joins), 0)
}

// firstVersion returns the version of the first run, and whether it is known. Without the lines of joins it is that of the
// last run.
func (a Answer) firstVersion() (string, bool) {
	switch {
	case a.Beginning != nil:
		return a.Beginning.Version, true
	case len(a.Joins) > 0 && a.Joins[0].within:
		return a.Joins[0].FromVersion, true
	case len(a.Joins) > 0:
		return a.Joins[0].ToVersion, true
	}
	return a.Version, a.Runs > 0
}

// firstService returns the service of the first run, empty if it is not known.
func (a Answer) firstService() string {
	switch {
	case a.Beginning != nil:
		return a.Beginning.Service
	case len(a.Joins) > 0:
		return cmp.Or(a.Joins[0].ToService, a.Service)
	}
	return a.Service
}

// firstEvent returns when the first run began, as far as it is known.
func (a Answer) firstEvent() time.Time {
	if len(a.Joins) > 0 && !a.Joins[0].within {
		return a.Joins[0].Time
	}
	return a.begun()
}

// evidence returns how the version was known at which the answer took the stream up.
func (a Answer) evidence() forward.JoinEvidence {
	if len(a.Joins) > 0 && !a.Joins[0].within {
		return a.Joins[0].Evidence
	}
	return forward.JoinEvidence(cmp.Or(a.VersionBy, string(forward.JoinedUnknown)))
}

// text returns the answer as lines of text, with the services of its runs if these are wanted.
func (a Answer) text(services bool) []string {
	what := "began it"
	if !a.begins() {
		what = "took it up behind " + a.After
		if a.placeUnknown() {
			what += " or an earlier event"
		}
	}
	if a.VersionBy != "" {
		what += " (version by " + a.VersionBy + ")"
	}
	switch {
	case a.NoLine && a.Beginning != nil:
		what += fmt.Sprintf(" at version %s; no line of its end", runText(a.Beginning.Version, a.Beginning.Service, services))
	case a.NoLine:
		what += "; no line of its end"
	case a.Runs == 0:
		what += fmt.Sprintf("; no events, %s", a.endText())
	default:
		what += fmt.Sprintf("; %d events to %s in %d runs, the last one at %s, version %s; %s",
			a.Events, orNone(a.LastEvent), a.Runs, a.Process, runText(a.Version, a.Service, services), a.endText())
	}
	out := []string{fmt.Sprintf("  %s  %s  %s  %s", clock(a.Time), a.Router, a.ID, what)}
	for _, j := range a.Joins {
		out = append(out, "    "+j.text(services))
	}
	return out
}

func (a Answer) endText() string {
	out := orNone(string(a.End))
	if a.Runs == 0 && a.Status > 0 {
		out += fmt.Sprintf(" with status %d", a.Status)
	}
	if a.Reason != "" {
		out += ", " + a.Reason
	}
	if a.SkippedIDs > 0 {
		out += fmt.Sprintf(", %d ids left out", a.SkippedIDs)
	}
	if a.MoreTries > 0 {
		out += fmt.Sprintf("; and %d other tries without events", a.MoreTries)
	}
	if a.Undelivered {
		out += ", its last bytes not delivered"
	}
	return out
}

// Join is where a run of a stream follows an earlier one.
type Join struct {
	Time   time.Time `json:"time"`
	Router string    `json:"router"`
	ID     string    `json:"id"`
	// After is the last event before the join, First the first one behind it.
	After string `json:"after"`
	First string `json:"first"`
	// From and FromVersion are empty where the caller takes the stream up.
	From        string                  `json:"from,omitempty"`
	FromVersion string                  `json:"from_version,omitempty"`
	To          string                  `json:"to"`
	ToVersion   string                  `json:"to_version"`
	ToService   string                  `json:"to_service,omitempty"`
	Evidence    forward.JoinEvidence    `json:"evidence"`
	ProcessBy   forward.ProcessEvidence `json:"process_by"`
	// within is set if the run before is of the same answer; stream is the id of the request that began the stream.
	within bool
	stream string
}

func newJoin(l explain.Line) Join {
	_, within := l.Fields["from"]
	return Join{
		Time: l.Time.UTC(), Router: l.Router, ID: l.Text("id"), After: l.Text("after"), First: l.Text("first"),
		From: l.Text("from"), FromVersion: l.Text("from_version"), To: l.Text("to"), ToVersion: l.Text("to_version"), ToService: l.Text("to_service"),
		Evidence: forward.JoinEvidence(l.Text("evidence")), ProcessBy: forward.ProcessEvidence(l.Text("process_by")), within: within, stream: l.Text("stream"),
	}
}

// skipped returns how many ids are between the events at the join, negative if events come twice, and whether both ids
// are numbers.
func (j Join) skipped() (int64, bool) {
	after, ok := number(j.After)
	first, firstOK := number(j.First)
	if !ok || !firstOK {
		return 0, false
	}
	return first - after - 1, true
}

func (j Join) text(services bool) string {
	from := ""
	if j.within {
		from = fmt.Sprintf("from %s, version %s, ", j.From, orNone(j.FromVersion))
	}
	return fmt.Sprintf("%s  behind %s %sat %s, version %s, with %s; %s, process by %s",
		clock(j.Time), j.After, from, j.To, runText(j.ToVersion, j.ToService, services), orNone(j.First), j.Evidence, j.ProcessBy)
}

// number returns an event's id as a number, if it is one.
func number(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}

// before reports whether an event is known to come before another one: ids that are no numbers are not compared.
func before(a, b string) bool {
	m, ok := number(a)
	n, bothOK := number(b)
	return ok && bothOK && m < n
}

// clock formats a time of day.
func clock(t time.Time) string { return t.Format("15:04:05.000") }

func orNone(s string) string { return cmp.Or(s, "none") }

// runText names the version of a run, and its service if that is known and wanted.
func runText(version, service string, services bool) string {
	if !services || service == "" {
		return orNone(version)
	}
	return orNone(version) + " of service " + service
}
