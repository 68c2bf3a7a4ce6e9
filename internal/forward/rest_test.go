package forward_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// restSeconds is the rest that targets ask for, longer than any test takes.
const restSeconds = "60"

// resting makes a handler ask for a rest.
func resting(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", restSeconds)
		h(w, r)
	}
}

// Requests went on reaching a target that had turned one away and asked for a rest.
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

// Callers were sent to targets of which all rested, or were told to come back at once.
func TestCallersAreToldWhenAllTargetsRest(t *testing.T) {
	d := newDesk(t)
	var sent atomic.Int64
	d.list(t, played(t, "a", &sent, resting(refuses)), played(t, "b", &sent, resting(refuses)))
	for i, reason := range []forward.Reason{forward.ReasonRefused, forward.ReasonResting, forward.ReasonResting} {
		v := d.ask(routing.Idempotent)
		if v.Status != http.StatusServiceUnavailable || v.Reason != reason || v.RetryAfter < 50*time.Second {
			t.Errorf("request %d: status %d, reason %q, come back after %v", i, v.Status, v.Reason, v.RetryAfter)
		}
	}
	if sent.Load() != 2 {
		t.Errorf("%d sent, want one to each target", sent.Load())
	}
}
