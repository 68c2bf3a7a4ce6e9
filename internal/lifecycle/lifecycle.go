// Package lifecycle keeps account of callers' requests, from the first byte that is read to their end. Each
// request has exactly one end, so that the requests read are those that have ended and those in progress.
package lifecycle

import (
	"container/list"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

// End is how a request ended, as its caller sees it.
type End string

// The ends of requests.
const (
	// Answered means that the caller was sent the whole answer of a target.
	Answered End = "answered"
	// Refused means that the caller was sent a refusal: no target ran the request.
	Refused End = "refused"
	// TargetFailed means that the target failed to answer, or broke its answer off.
	TargetFailed End = "target-failed"
	// TimeOver means that the request's deadline passed.
	TimeOver End = "time-over"
	// CallerGone means that the caller closed its connection, or took no more of the answer.
	CallerGone End = "caller-gone"
	// Cut means that this router ended the request, though its target had not failed.
	Cut End = "cut"
	// Incomplete means that the rest of the request did not arrive in time, or was no HTTP.
	Incomplete End = "incomplete"
	// Unanswered means that this router closed the connection without an answer.
	Unanswered End = "unanswered"
	// Forgotten means that nothing in this router has said how the request ended.
	Forgotten End = "forgotten"
)

var (
	// ErrForgotten means that a request is over and nothing has said how it ended.
	ErrForgotten = errors.New("request without an end")
	// ErrEndedTwice means that a request has been given two ends.
	ErrEndedTwice = errors.New("request with two ends")
	// ErrUnbalanced means that the requests read are not those ended and in progress.
	ErrUnbalanced = errors.New("requests read are not those ended and in progress")
)

// Sums holds the numbers of requests since the start.
type Sums struct {
	// Read is the number of requests of which something was read, and Open that of those in progress.
	Read int64 `json:"read"`
	Open int64 `json:"open"`
	// Ends has the requests that have ended, and NearChange those of them that ended just after a change of the
	// configuration.
	Ends       map[End]int64 `json:"ends"`
	NearChange map[End]int64 `json:"near_change"`
	// EndedTwice is the number of requests that were given a second end, which does not count.
	EndedTwice int64 `json:"ended_twice"`
	// OldestMillis is how long the oldest request has been in progress, in milliseconds.
	OldestMillis int64 `json:"oldest_ms"`
}

// Check returns an error if a request was forgotten, was given two ends or is missing in the sums.
func (s Sums) Check() error {
	ended := int64(0)
	for _, n := range s.Ends {
		ended += n
	}
	switch {
	case s.Read != ended+s.Open:
		return errors.Wrapf(ErrUnbalanced, "%d read, %d ended, %d in progress", s.Read, ended, s.Open)
	case s.Ends[Forgotten] > 0:
		return errors.Wrapf(ErrForgotten, "%d of %d", s.Ends[Forgotten], s.Read)
	case s.EndedTwice > 0:
		return errors.Wrapf(ErrEndedTwice, "%d of %d", s.EndedTwice, s.Read)
	}
	return nil
}

// Tracker keeps the account of one router. Use New to create one. It is safe for concurrent use.
type Tracker struct {
	window time.Duration
	log    logr.Logger

	mu               sync.Mutex
	read, endedTwice int64
	ends, nearChange map[End]int64
	// open holds the requests in progress, the oldest one first.
	open   list.List
	change Change
}

// New returns a tracker that counts ends within a window after a change of the configuration by themselves. It
// logs each request that is forgotten or that ends twice.
func New(window time.Duration, l logr.Logger) *Tracker {
	return &Tracker{window: window, log: l, ends: map[End]int64{}, nearChange: map[End]int64{}}
}

// Change is a change of the configuration.
type Change struct {
	// Version is the version that is in force since then; At is zero before the first one.
	Version int64
	At      time.Time
}

// NoteChange notes a change of the configuration.
func (t *Tracker) NoteChange(c Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.change = c
}

// LastChange returns the last change of the configuration.
func (t *Tracker) LastChange() Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.change
}

// Begin counts a request of which the first bytes were read. Close must be called when it is over.
func (t *Tracker) Begin(now time.Time) *Request {
	r := &Request{tracker: t, began: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.read++
	r.element = t.open.PushBack(r)
	return r
}

// Count counts a request that begins and ends at once.
func (t *Tracker) Count(now time.Time, e End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.read++
	t.count(now, e)
}

// count counts an end. mu must be held.
func (t *Tracker) count(now time.Time, e End) {
	t.ends[e]++
	if t.change.At.IsZero() {
		return
	}
	if since := now.Sub(t.change.At); since >= 0 && since < t.window {
		t.nearChange[e]++
	}
}

// Sums returns the numbers of requests since the start.
func (t *Tracker) Sums(now time.Time) Sums {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Sums{Read: t.read, Open: int64(t.open.Len()), Ends: maps.Clone(t.ends), NearChange: maps.Clone(t.nearChange), EndedTwice: t.endedTwice}
	if oldest := t.open.Front(); oldest != nil {
		out.OldestMillis = now.Sub(oldest.Value.(*Request).began).Milliseconds()
	}
	return out
}

// Request is a request in progress. Its methods may be called on nil, and do nothing then.
type Request struct {
	tracker *Tracker
	began   time.Time

	// The fields below are guarded by the tracker's mutex. end is how the request ends once its answer has been
	// written, as decided at a time, and undelivered how it ends instead since that failed; both are empty if that is
	// not known. element is nil once the request is over.
	id               string
	end, undelivered End
	decidedAt        time.Time
	element          *list.Element
}

// Identify tells the request's id, for the log.
func (r *Request) Identify(id string) {
	if r == nil {
		return
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.id = id
}

// Decide says how the request ends once its answer has been written.
func (r *Request) Decide(now time.Time, id string, e End) {
	if r == nil {
		return
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.end != "" || r.element == nil {
		r.tracker.endedTwice++
		r.tracker.log.Error(ErrEndedTwice, "request has two ends", "id", id, "first", string(r.end), "second", string(e))
		return
	}
	r.id, r.end, r.decidedAt = id, e, now
}

// NoteUndelivered says how the request ends instead of as decided, since its answer could not be written.
func (r *Request) NoteUndelivered(e End) {
	if r == nil {
		return
	}
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.undelivered == "" {
		r.undelivered = e
	}
}

// Close counts the request's end. A request for which none was decided ends as otherwise says, or is
// Forgotten if that is empty. Only the first call counts.
func (r *Request) Close(now time.Time, otherwise End) {
	if r == nil {
		return
	}
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.element == nil {
		return
	}
	t.open.Remove(r.element)
	r.element = nil
	if r.end != "" {
		now = r.decidedAt
	}
	end := r.finalEnd(otherwise)
	if end == Unanswered && r.end != Answered {
		t.log.Info("request left unanswered", "id", r.id, "began", r.began)
	}
	t.count(now, end)
}

// finalEnd returns how the request ended; mu must be held.
func (r *Request) finalEnd(otherwise End) End {
	switch {
	case r.undelivered != "" && (r.end == Answered || r.end == Refused):
		if r.end == Answered {
			r.tracker.log.Info("answer not delivered", "id", r.id, "end", string(r.undelivered))
		}
		return r.undelivered
	case r.end != "":
		return r.end
	case r.undelivered != "":
		return r.undelivered
	case otherwise != "":
		return otherwise
	}
	r.tracker.log.Error(ErrForgotten, "request has no end", "id", r.id, "began", r.began)
	return Forgotten
}
