package forward_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// TestStreamCutBeforeItsFirstEvent guards against streams without any event that look complete as an engine that goes on
// closes the connection before the first one.
func TestStreamCutBeforeItsFirstEvent(t *testing.T) {
	for name, c := range map[string]struct {
		resumable bool
		first     http.HandlerFunc
		want      string
		truncated bool
	}{
		"closed":                   {resumable: true, first: closeWithoutEvents, want: eventsFrom(0, 3)},
		"closed, not repeatable":   {first: closeWithoutEvents, truncated: true},
		"whole in chunks":          {resumable: true, first: func(w http.ResponseWriter, _ *http.Request) { _ = http.NewResponseController(w).Flush() }},
		"whole with a length of 0": {resumable: true, first: func(http.ResponseWriter, *http.Request) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sends atomic.Int64
			answer := func(w http.ResponseWriter, r *http.Request) {
				if sends.Add(1) == 1 {
					c.first(w, r)
					return
				}
				streamTo(3, complete)(w, r)
			}
			f := newBufferedForwarder(t, 1<<20, answer, answer)
			f.configure(t)
			got, result := f.askEngine(t, "r", routing.Route{Kind: routing.Streaming, MaxAttempts: 2, Resumable: c.resumable})
			if failed := result.Reason != ""; got != c.want || failed != c.truncated {
				t.Errorf("%q, %+v", got, result)
			}
		})
	}
}

// closeWithoutEvents answers with the head of a stream and closes the connection.
func closeWithoutEvents(w http.ResponseWriter, r *http.Request) { answerUnframed(w, r, "", func() {}) }

// TestEmptyRest guards against streams that look cut as the rest of one whose last event the caller has is empty, and
// against ones that look complete as another process ends in place of the one that was asked for the rest.
func TestEmptyRest(t *testing.T) {
	for name, c := range map[string]struct {
		rest  http.HandlerFunc
		born  int64
		whole bool
	}{
		"in chunks":                       {rest: func(w http.ResponseWriter, _ *http.Request) { _ = http.NewResponseController(w).Flush() }, whole: true},
		"in chunks, cut":                  {rest: breakOff},
		"without a length":                {rest: closeWithoutEvents, born: 1, whole: true},
		"without a length, other process": {rest: closeWithoutEvents, born: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newBufferedForwarder(t, 1<<20, func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprint(w, eventsFrom(0, 3))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(20 * time.Millisecond)
				panic(http.ErrAbortHandler)
			}, refuse)
			f.Forwarder = f.WithStatusQuery(forward.StatusQuery{Path: "/status", Field: "born"}).WithBuffers(f.budget, func() bool { return false })
			f.configure(t)
			f.setTargets(t, f.targets[0])
			var sent atomic.Bool
			f.targets[1].Address = startEngine(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
				switch {
				case r.URL.Path != "/status":
					sent.Store(true)
					c.rest(w, r)
				case sent.Load():
					fmt.Fprintf(w, `{"born":%d}`, c.born)
				default:
					fmt.Fprint(w, `{"born":1}`)
				}
			})
			time.AfterFunc(10*time.Millisecond, func() { f.setTargets(t, f.targets...) })
			got, result := f.askEngine(t, "r", routing.Route{Kind: routing.Streaming, MaxAttempts: 2, Resumable: true})
			if got != eventsFrom(0, 3) || result.Truncated == c.whole || !sent.Load() {
				t.Errorf("%q, rest sent: %t; %+v", got, sent.Load(), result)
			}
		})
	}
}
