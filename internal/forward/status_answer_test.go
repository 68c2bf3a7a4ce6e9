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
		sent   bool
	}{
		"the engine":               {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"born":1}`) }, true},
		"engine without its start": {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"running":1}`) }, true},
		"gateway":                  {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, false},
		"page of a relay":          {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>soon</html>") }, false},
		"server of other paths":    {http.NotFound, false},
		"engine that is not meant": {notMeant, false},
		"engine with another's name": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerServedBy, "e9")
			fmt.Fprint(w, `{"running":1}`)
		}, false},
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
			var rests atomic.Int64
			f.targets[1].Address = startEngine(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/status" {
					c.status(w, r)
					return
				}
				// The next process listens by now.
				rests.Add(1)
				w.Header().Set("X-Id", r.Header.Get("X-Id"))
				fmt.Fprint(w, eventsFrom(3, 6))
			})
			time.AfterFunc(10*time.Millisecond, func() { f.setTargets(t, f.targets...) })
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
