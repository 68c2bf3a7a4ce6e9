package forward_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// knownVersion answers each look-up with one version.
type knownVersion struct{ answer streamversion.Answer }

func (k knownVersion) Lookup(context.Context, forward.TakeUp) streamversion.Answer {
	return k.answer
}

// TestJoinIsLogged guards against runs of a stream whose order and versions can't be told from the lines.
func TestJoinIsLogged(t *testing.T) {
	resumed := streamTo(8, complete)
	for name, c := range map[string]struct {
		handlers []http.HandlerFunc
		version  streamversion.Answer
		// after and resumes are the caller's, if it takes a stream up.
		after, resumes string
		runs, events   int
		want           []string
	}{
		"within an answer": {
			handlers: []http.HandlerFunc{streamTo(5, breaks), resumed}, runs: 2, events: 8,
			want: []string{`"stream"="r1"`, `"after"="5" "first"="6"`, `"from_version"="" "id"="r1"`, `"evidence"="same-answer" "process_by"="entry"`},
		},
		"taken up, version recorded": {
			handlers: []http.HandlerFunc{resumed}, version: streamversion.Answer{Known: true, Evidence: streamversion.EvidenceRecord},
			after: "3", resumes: "r0", runs: 1, events: 5,
			want: []string{`"id"="r1" "stream"="r0" "after"="3" "first"="4"`, `"evidence"="record"`},
		},
		"taken up, then broken off": {
			handlers: []http.HandlerFunc{streamTo(5, breaks), resumed}, version: streamversion.Answer{Known: true, Evidence: streamversion.EvidenceOnlyVersion},
			after: "3", resumes: "r0", runs: 2, events: 5,
			want: []string{`"stream"="r0" "after"="5" "first"="6"`, `"evidence"="same-answer"`},
		},
		"one run": {handlers: []http.HandlerFunc{resumed}, runs: 1, events: 8},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sends atomic.Int64
			next := func(w http.ResponseWriter, r *http.Request) { c.handlers[sends.Add(1)-1](w, r) }
			f := newBufferedForwarder(t, 1<<20, next, next)
			f.Forwarder = f.WithStreamVersions(knownVersion{c.version})
			now := time.Now()
			result := f.Forward(t.Context(), forward.Request{
				ID: "r1", Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Arrived: now, Deadline: now.Add(10 * time.Second),
				LastEventID: c.after, Resumes: c.resumes,
				Route: &routing.Route{Kind: routing.Streaming, Goal: time.Second, MaxPause: time.Second, MaxAttempts: 2, Resumable: true},
			}, discard{})
			if result.Runs != c.runs || result.Events != c.events || result.LastEventID != "8" || result.RunTarget.ID == "" {
				t.Errorf("runs %d, events %d, last event %q, target %q", result.Runs, result.Events, result.LastEventID, result.RunTarget.ID)
			}
			if logged := f.logged.has("stream goes on"); logged != (c.want != nil) {
				t.Errorf("a join was logged: %t", logged)
			}
			if c.want != nil && !f.logged.has(append(c.want, "stream goes on")...) {
				t.Errorf("no line has %q: %q", c.want, f.logged.lines)
			}
		})
	}
}
