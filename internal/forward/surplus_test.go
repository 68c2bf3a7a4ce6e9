package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// TestSurplusAnswerIsNoWitness guards against a cut answer that looks complete since late answers to earlier requests
// arrive in the place of those to the question whether its target goes on.
func TestSurplusAnswerIsNoWitness(t *testing.T) {
	for name, surplus := range map[string]bool{"answers": false, "late answers to earlier requests": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newBufferedForwarder(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != wellPath {
					answerToEnd(w, http.StatusOK, fmt.Sprintf("X-Id: %s\r\n%s: s\r\n", r.Header.Get("X-Id"), headerSeal), eventsFrom(0, 3))
					return
				}
				w.Header().Del("X-Id")
				w.Header().Set(headerServedBy, "e0")
				if surplus {
					w.Header().Set("X-Id", "earlier")
				}
			})
			f.configure(t)
			now := time.Now()
			result := f.Forward(t.Context(), forward.Request{
				ID: "r", Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Organisation: "o", HealthPath: wellPath,
				Arrived: now, Deadline: now.Add(3 * time.Second),
				Route: &routing.Route{Kind: routing.Streaming, Goal: time.Second, MaxPause: 400 * time.Millisecond, MaxAttempts: 1},
			}, &textCaller{})
			if result.Truncated != surplus {
				t.Errorf("%+v", result)
			}
		})
	}
}
