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

// headerServedBy is the name of a header in these tests.
const headerServedBy = "X-Served-By"

// TestRestSentWhereAnotherAnswers guards against streams that go on at the process after the one of an engine's entry, as
// something else that answers in the engine's place is taken for that.
func TestRestSentWhereAnotherAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		status http.HandlerFunc
		// known is set if the engine had answered a request on the connection on which it is asked.
		known, sent bool
	}{
		"the engine":               {status: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"born":1}`) }, sent: true},
		"engine without its start": {status: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"running":1}`) }, sent: true},
		"gateway":                  {status: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }},
		"gateway that had passed an answer on": {
			status: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, known: true,
		},
		"page of a relay":          {status: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>soon</html>") }},
		"server of other paths":    {status: http.NotFound},
		"engine that is not meant": {status: notMeant},
		"engine with another's name": {status: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerServedBy, "e9")
			fmt.Fprint(w, `{"running":1}`)
		}},
		"engine without a status": {status: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerServedBy, "e1")
			http.NotFound(w, r)
		}, sent: true},
		"engine without a status or a name": {status: http.NotFound, known: true, sent: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var f *bufferedForwarder
			f = newBufferedForwarder(t, 1<<20, func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprint(w, eventsFrom(0, 3))
				_ = http.NewResponseController(w).Flush()
				f.setTargets(t, f.targets...)
				time.Sleep(20 * time.Millisecond)
				panic(http.ErrAbortHandler)
			}, refuse)
			f.Forwarder = f.WithStatusQuery(forward.StatusQuery{Path: "/status", Field: "born"}).WithBuffers(f.budget, func() bool { return false })
			f.configure(t)
			var rests atomic.Int64
			f.targets[1].Address = startEngine(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/status" {
					c.status(w, r)
					return
				}
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
				if r.URL.Path == "/before" {
					return
				}
				// The next process listens by now.
				rests.Add(1)
				fmt.Fprint(w, eventsFrom(3, 6))
			})
			if c.known {
				f.setTargets(t, f.targets[1])
				f.askEngine(t, "before", routing.Route{Kind: routing.Idempotent, MaxAttempts: 1})
			}
			f.setTargets(t, f.targets[0])
			got, result := f.askEngine(t, "r", routing.Route{Kind: routing.Streaming, MaxAttempts: 2, Resumable: true})
			want := eventsFrom(0, 3)
			if c.sent {
				want = eventsFrom(0, 6)
			}
			if got != want || result.Truncated == c.sent || rests.Load() > 0 != c.sent {
				t.Errorf("the caller got %q; the rest was sent %d times; %+v", got, rests.Load(), result)
			}
		})
	}
}

// notMeant answers a request that is not meant for an engine.
func notMeant(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect") == "e9" {
		fmt.Fprint(w, `{"running":1}`)
		return
	}
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}
