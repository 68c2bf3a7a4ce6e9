package forward_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// backoffSeconds is the backoff that targets ask for, longer than any test takes.
const backoffSeconds = "60"

// withRetryAfter returns a handler that also asks for a backoff.
func withRetryAfter(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", backoffSeconds)
		h(w, r)
	}
}

// Guards against sending requests to a target that has rejected one and asked for a backoff.
func TestTargetInBackoffIsSkipped(t *testing.T) {
	cases := map[string]struct {
		kind   routing.Kind
		answer http.HandlerFunc
	}{
		"refused":              {routing.Idempotent, refuse},
		"refused stream":       {routing.Streaming, refuse},
		"may have run":         {routing.Idempotent, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }},
		"must not be repeated": {routing.NonIdempotent, refuse},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			checkTargetSkipped(t, c.kind, withRetryAfter(c.answer))
		})
	}
}

// Guards against sending requests while all targets are backing off, and against telling
// callers to retry before the backoff ends.
func TestRetryAfterWhenAllTargetsBackOff(t *testing.T) {
	f := newTestForwarder(t)
	var sent atomic.Int64
	f.setTargets(t, startTarget(t, "a", &sent, withRetryAfter(refuse)), startTarget(t, "b", &sent, withRetryAfter(refuse)))
	for i, reason := range []forward.Reason{forward.ReasonRefused, forward.ReasonTargetsBackingOff, forward.ReasonTargetsBackingOff} {
		v := f.send(routing.Idempotent)
		if v.Status != http.StatusServiceUnavailable || v.Reason != reason || v.RetryAfter < 50*time.Second {
			t.Errorf("request %d: status %d, reason %q, retry after %v", i, v.Status, v.Reason, v.RetryAfter)
		}
	}
	if sent.Load() != 2 {
		t.Errorf("%d sent, want one to each target", sent.Load())
	}
}
