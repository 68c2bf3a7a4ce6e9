package forward_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// TestRejectionWithoutLength guards against requests that wait to be sent to another target until it is known whether a
// target that rejects them goes on.
func TestRejectionWithoutLength(t *testing.T) {
	var asked atomic.Int64
	f := newBufferedForwarder(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == wellPath {
			asked.Add(1)
			<-r.Context().Done()
			return
		}
		answerToEnd(w, http.StatusServiceUnavailable, headerNotRun+": 1\r\n", "full")
	})
	f.configure(t)
	now := time.Now()
	result := f.Forward(t.Context(), forward.Request{
		ID: "r", Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Organisation: "o", HealthPath: wellPath,
		Arrived: now, Deadline: now.Add(3 * time.Second),
		Route: &routing.Route{Kind: routing.NonIdempotent, Goal: time.Second, MaxPause: 400 * time.Millisecond, MaxAttempts: 1},
	}, &textCaller{})
	if asked.Load() > 0 || result.Status != http.StatusServiceUnavailable {
		t.Errorf("asked %d times, %v until the rejection was told; %+v", asked.Load(), time.Since(now), result)
	}
}
