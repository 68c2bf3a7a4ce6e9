package forward_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// restSeconds is the backoff that targets ask for, longer than any test takes.
const restSeconds = "60"

// resting returns a handler that also asks for a backoff.
func resting(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", restSeconds)
		h(w, r)
	}
}

// Guards against sending requests to a target that has rejected one and asked for a backoff.
func TestRequestsAfterTargetAskedForRest(t *testing.T) {
	cases := map[string]struct {
		kind   routing.Kind
		answer http.HandlerFunc
	}{
		"with a refusal":          {routing.Idempotent, refuses},
		"with a refused stream":   {routing.Streaming, refuses},
		"with what may have run":  {routing.Idempotent, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
		"with what must run once": {routing.NonIdempotent, refuses},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			leavesAlone(t, c.kind, resting(c.answer))
		})
	}
}

// Guards against sending requests while all targets are backing off, and against telling
// callers to retry before the backoff ends.
func TestCallersAreToldWhenAllTargetsRest(t *testing.T) {
	d := newDesk(t)
	var sent atomic.Int64
	d.list(t, played(t, "a", &sent, resting(refuses)), played(t, "b", &sent, resting(refuses)))
	for i, reason := range []forward.Reason{forward.ReasonRefused, forward.ReasonResting, forward.ReasonResting} {
		v := d.ask(routing.Idempotent)
		if v.Status != http.StatusServiceUnavailable || v.Reason != reason || v.RetryAfter < 50*time.Second {
			t.Errorf("request %d: status %d, reason %q, retry after %v", i, v.Status, v.Reason, v.RetryAfter)
		}
	}
	if sent.Load() != 2 {
		t.Errorf("%d sent, want one to each target", sent.Load())
	}
}
