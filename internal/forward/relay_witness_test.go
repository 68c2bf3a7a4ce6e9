package forward_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// TestRelayAnswersInPlaceOfProcess guards against a cut answer that looks complete since a relay answers in place of its
// process, which does not name itself: on the spare connection, before the answer ends or after that.
func TestRelayAnswersInPlaceOfProcess(t *testing.T) {
	for name, c := range map[string]struct {
		// healthPath is where the target can be asked, and before and after are the statuses that it is answered with until
		// the answer ends, and from then on.
		healthPath    string
		before, after int
		complete      bool
	}{
		"the process says that it is well": {healthPath: wellPath, before: http.StatusOK, after: http.StatusOK, complete: true},
		"a relay answers first":            {healthPath: wellPath, before: http.StatusBadGateway, after: http.StatusOK},
		"a relay answers last":             {healthPath: wellPath, before: http.StatusOK, after: http.StatusBadGateway},
		"the process tells its options":    {before: http.StatusNotFound, after: http.StatusNotFound, complete: true},
		"a relay tells none first":         {before: http.StatusGatewayTimeout, after: http.StatusNotFound},
		"a relay tells none last":          {before: http.StatusNotFound, after: http.StatusBadGateway},
		"a relay is without a server":      {before: http.StatusNotFound, after: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newBufferedForwarder(t, 1<<20, refuse)
			var ended atomic.Bool
			asked, noteAsked := make(chan struct{}), sync.Once{}
			f.targets[0].Address = startEngine(t, func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Path == "/run":
					answerUnframed(w, r, eventsFrom(0, 3), func() {
						<-asked
						time.Sleep(50 * time.Millisecond)
						ended.Store(true)
					})
				case ended.Load():
					w.WriteHeader(c.after)
				default:
					w.WriteHeader(c.before)
					noteAsked.Do(func() { close(asked) })
				}
			})
			f.setTargets(t, f.targets...)
			f.configure(t)
			now, caller := time.Now(), &textCaller{}
			result := f.Forward(t.Context(), forward.Request{
				ID: "r", Method: http.MethodPost, URI: "/run", Host: "h", Service: "s", Organisation: "o", HealthPath: c.healthPath,
				Arrived: now, Deadline: now.Add(3 * time.Second),
				Route: &routing.Route{Kind: routing.Streaming, Goal: time.Second, MaxPause: 400 * time.Millisecond, MaxAttempts: 1},
			}, caller)
			if result.Truncated == c.complete {
				t.Errorf("the caller got %q; %+v", caller.text.String(), result)
			}
		})
	}
}
