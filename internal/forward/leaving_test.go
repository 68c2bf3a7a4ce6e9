package forward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// headerLeaving and headerNotRun are the names of headers in these tests.
const headerLeaving, headerNotRun = "X-Leaving", "X-Not-Run"

// testForwarder is a forwarder with its control loop, for targets that the test runs.
type testForwarder struct {
	*forward.Forwarder
	loop     *balance.Loop
	requests int
}

// newTestForwarder returns a forwarder that has no targets yet.
func newTestForwarder(t *testing.T) *testForwarder {
	t.Helper()
	g := group.New(context.Background())
	t.Cleanup(g.Stop)
	limits := balance.Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Second, QuotaWindow: time.Second}
	loop := balance.NewLoop(balance.New(time.Now(), "z", limits, rand.New(rand.NewPCG(1, 1))))
	g.GoContext(loop.Run)
	d := forward.HeaderNames{
		RequestID: "X-Id", Deadline: "X-Wait-Ms", ExpectTarget: "X-Expect", ServedBy: headerServedBy, NotRun: headerNotRun, Seal: headerSeal, Leaving: headerLeaving,
	}
	return &testForwarder{loop: loop, Forwarder: forward.New(d, httptarget.New(g), loop, noSuspects{}, logr.Discard(), discard{})}
}

// setTargets replaces the list of targets.
func (f *testForwarder) setTargets(t testing.TB, list ...balance.Target) {
	t.Helper()
	if !f.loop.PostAndWait(t.Context(), func(s *balance.State, now time.Time) { s.SetTargets(now, list) }) {
		t.Fatal("the control loop did not apply the list of targets")
	}
}

// send forwards a request and returns its result.
func (f *testForwarder) send(kind routing.Kind) forward.Result { return f.sendTo(kind, discard{}) }

// sendTo forwards a request of a caller and returns its result.
func (f *testForwarder) sendTo(kind routing.Kind, c forward.Caller) forward.Result {
	return f.Forward(context.Background(), f.prepare(kind), c)
}

// prepare returns the next request.
func (f *testForwarder) prepare(kind routing.Kind) forward.Request {
	f.requests++
	now := time.Now()
	return forward.Request{
		ID: fmt.Sprint("r", f.requests), Method: http.MethodPost, URI: "/", Host: "h", Service: "s",
		Arrived: now, Deadline: now.Add(10 * time.Second), HealthPath: healthPath,
		Route: &routing.Route{Kind: kind, Goal: time.Second, MaxPause: time.Second, MaxAttempts: 2},
	}
}

// healthPath is where targets say that they are well.
const healthPath = "/healthz"

// startTarget starts a target that answers with h and counts its requests in count.
func startTarget(t testing.TB, id string, count *atomic.Int64, h http.HandlerFunc) balance.Target {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == healthPath {
			w.Header().Set(headerServedBy, id)
			w.WriteHeader(http.StatusOK)
			return
		}
		count.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set(headerSeal, "s")
		h(w, r)
	}))
	t.Cleanup(server.Close)
	return balance.Target{ID: id, Service: "s", Zone: "z", Slots: 4, Address: server.Listener.Addr().String(), Born: 1}
}

// succeed answers with status 200 and one event.
func succeed(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "id: 1\ndata: x\n\n") }

// withLeaving returns a handler that also reports that its target is leaving.
func withLeaving(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerLeaving, "1")
		h(w, r)
	}
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// breakOff closes the connection in the middle of the answer.
func breakOff(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", strconv.Itoa(1000))
	fmt.Fprint(w, "part")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Guards against sending requests to a target that has reported in an answer that it is
// leaving while its entry in the store still says that it is ready.
func TestLeavingTargetIsSkipped(t *testing.T) {
	cases := map[string]struct {
		kind   routing.Kind
		answer http.HandlerFunc
	}{
		"in a whole answer":          {routing.Idempotent, succeed},
		"in a stream":                {routing.Streaming, succeed},
		"in a refusal":               {routing.Idempotent, refuse},
		"in a failure":               {routing.Idempotent, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }},
		"in an answer that is cut":   {routing.Idempotent, breakOff},
		"in a long answer":           {routing.Idempotent, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 300<<10)) }},
		"in a stream that is broken": {routing.Streaming, breakOff},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			checkTargetSkipped(t, c.kind, withLeaving(c.answer))
		})
	}
}

// checkTargetSkipped checks that a target gets no further request once it has answered with
// the handler, even if its entry disappears and returns, and that another target serves them
// all.
func checkTargetSkipped(t *testing.T, kind routing.Kind, answer http.HandlerFunc) {
	t.Helper()
	f := newTestForwarder(t)
	var skipped, other atomic.Int64
	a := startTarget(t, "a", &skipped, answer)
	b := startTarget(t, "b", &other, succeed)
	f.setTargets(t, a)
	f.send(kind)
	if skipped.Load() == 0 {
		t.Fatal("the target got no request")
	}
	skipped.Store(0)
	const requests = 20
	lists := [][]balance.Target{{a, b}, {b}, {b, a}}
	for i := range requests {
		f.setTargets(t, lists[i%len(lists)]...)
		if v := f.send(kind); v.Status != http.StatusOK || v.Truncated {
			t.Fatalf("status %d, reason %q", v.Status, v.Reason)
		}
	}
	if skipped.Load() != 0 || other.Load() != requests {
		t.Errorf("%d requests reached the target that must be skipped, %d the other one", skipped.Load(), other.Load())
	}
}

// If all targets are leaving, a request is refused as not run.
func TestAllTargetsLeaving(t *testing.T) {
	f := newTestForwarder(t)
	var sent atomic.Int64
	f.setTargets(t, startTarget(t, "a", &sent, withLeaving(succeed)))
	f.send(routing.Idempotent)
	v := f.send(routing.Idempotent)
	if sent.Load() != 1 || v.Status != http.StatusServiceUnavailable || v.Reason != forward.ReasonNoTarget || v.RetryAfter <= 0 {
		t.Errorf("%d sent; status %d, reason %q, retry after %v", sent.Load(), v.Status, v.Reason, v.RetryAfter)
	}
}

// A report of one process must not be applied to another with the same id or address.
func TestLeavingAppliesToOneProcess(t *testing.T) {
	cases := map[string]struct {
		answer    http.HandlerFunc
		successor func(balance.Target) balance.Target
	}{
		"restarted with the same id": {succeed, func(t balance.Target) balance.Target { t.Born++; return t }},
		"same address, other id":     {succeed, func(t balance.Target) balance.Target { t.ID = "b"; return t }},
		"answered with status 421": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headerNotRun, "1")
				w.WriteHeader(http.StatusMisdirectedRequest)
			}, func(t balance.Target) balance.Target { return t },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(t)
			var sent atomic.Int64
			a := startTarget(t, "a", &sent, withLeaving(c.answer))
			f.setTargets(t, a)
			f.send(routing.Idempotent)
			f.setTargets(t, c.successor(a))
			before := sent.Load()
			f.send(routing.Idempotent)
			if sent.Load() == before {
				t.Error("the other process got no request")
			}
		})
	}
}
