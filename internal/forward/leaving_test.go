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

// headerLeaving and headerNotRun are the names of headers in these tests' dialect.
const headerLeaving, headerNotRun = "X-Leaving", "X-Not-Run"

// desk is a forwarder with its control loop, which sends requests to the test's HTTP servers.
type desk struct {
	*forward.Forwarder
	loop  *balance.Loop
	asked int
}

// newDesk returns a desk that has no targets yet.
func newDesk(t *testing.T) *desk {
	t.Helper()
	g := group.New(context.Background())
	t.Cleanup(g.Stop)
	limits := balance.Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Second, QuotaWindow: time.Second}
	loop := balance.NewLoop(balance.New(time.Now(), "z", limits, rand.New(rand.NewPCG(1, 1))))
	g.GoContext(loop.Run)
	d := forward.Dialect{
		RequestID: "X-Id", Deadline: "X-Wait-Ms", ExpectTarget: "X-Expect", NotRun: headerNotRun, Leaving: headerLeaving,
	}
	return &desk{loop: loop, Forwarder: forward.New(d, httptarget.New(g), loop, trusting{}, logr.Discard(), ignored{})}
}

// list replaces the list of targets.
func (d *desk) list(t *testing.T, list ...balance.Target) {
	t.Helper()
	if !d.loop.Ask(t.Context(), func(s *balance.State, now time.Time) { s.SetTargets(now, list) }) {
		t.Fatal("the control loop did not apply the list of targets")
	}
}

// ask forwards a request and returns its verdict.
func (d *desk) ask(kind routing.Kind) forward.Verdict {
	d.asked++
	now := time.Now()
	return d.Forward(context.Background(), forward.Request{
		ID: fmt.Sprint("r", d.asked), Method: http.MethodPost, Target: "/", Host: "h", Service: "s",
		Arrived: now, Deadline: now.Add(10 * time.Second),
		Route: &routing.Route{Kind: kind, Goal: time.Second, MaxPause: time.Second, MaxAttempts: 2},
	}, ignored{})
}

// played starts a target that answers with h and counts its requests in count.
func played(t *testing.T, id string, count *atomic.Int64, h http.HandlerFunc) balance.Target {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		h(w, r)
	}))
	t.Cleanup(server.Close)
	return balance.Target{ID: id, Service: "s", Zone: "z", Slots: 4, Address: server.Listener.Addr().String(), Born: 1}
}

func fine(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "id: 1\ndata: x\n\n") }

// leaving returns a handler that also reports that its target is leaving.
func leaving(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerLeaving, "1")
		h(w, r)
	}
}

func refuses(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func breaksOff(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", strconv.Itoa(1000))
	fmt.Fprint(w, "part")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Guards against sending requests to a target that has reported in an answer that it is
// leaving while its entry in the store still says that it is ready.
func TestRequestsAfterTargetSaidThatItLeaves(t *testing.T) {
	cases := map[string]struct {
		kind   routing.Kind
		answer http.HandlerFunc
	}{
		"in a whole answer":          {routing.Idempotent, fine},
		"in a stream":                {routing.Streaming, fine},
		"in a refusal":               {routing.Idempotent, refuses},
		"in a failure":               {routing.Idempotent, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }},
		"in an answer that is cut":   {routing.Idempotent, breaksOff},
		"in a long answer":           {routing.Idempotent, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 300<<10)) }},
		"in a stream that is broken": {routing.Streaming, breaksOff},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			leavesAlone(t, c.kind, leaving(c.answer))
		})
	}
}

// leavesAlone checks that a target gets no further request once it has answered with the
// handler, even if its entry disappears and returns, and that another target serves them all.
func leavesAlone(t *testing.T, kind routing.Kind, answer http.HandlerFunc) {
	t.Helper()
	d := newDesk(t)
	var alone, others atomic.Int64
	a := played(t, "a", &alone, answer)
	b := played(t, "b", &others, fine)
	d.list(t, a)
	d.ask(kind)
	if alone.Load() == 0 {
		t.Fatal("the target got no request")
	}
	alone.Store(0)
	const requests = 20
	lists := [][]balance.Target{{a, b}, {b}, {b, a}}
	for i := range requests {
		d.list(t, lists[i%len(lists)]...)
		if v := d.ask(kind); v.Status != http.StatusOK || v.Cut {
			t.Fatalf("status %d, reason %q", v.Status, v.Reason)
		}
	}
	if alone.Load() != 0 || others.Load() != requests {
		t.Errorf("%d requests reached the target that must be skipped, %d the other one", alone.Load(), others.Load())
	}
}

// If all targets are leaving, a request is refused as not run.
func TestAllTargetsSaidThatTheyLeave(t *testing.T) {
	d := newDesk(t)
	var sent atomic.Int64
	d.list(t, played(t, "a", &sent, leaving(fine)))
	d.ask(routing.Idempotent)
	v := d.ask(routing.Idempotent)
	if sent.Load() != 1 || v.Status != http.StatusServiceUnavailable || v.Reason != forward.ReasonNoTarget || v.RetryAfter <= 0 {
		t.Errorf("%d sent; status %d, reason %q, retry after %v", sent.Load(), v.Status, v.Reason, v.RetryAfter)
	}
}

// A report of one process must not be applied to another with the same id or address.
func TestAnotherProcessDoesNotLeave(t *testing.T) {
	cases := map[string]struct {
		answer http.HandlerFunc
		again  func(balance.Target) balance.Target
	}{
		"started again under its id": {fine, func(t balance.Target) balance.Target { t.Born++; return t }},
		"another id at its address":  {fine, func(t balance.Target) balance.Target { t.ID = "b"; return t }},
		"answered for another process": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(headerNotRun, "1")
				w.WriteHeader(http.StatusMisdirectedRequest)
			}, func(t balance.Target) balance.Target { return t },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t)
			var sent atomic.Int64
			a := played(t, "a", &sent, leaving(c.answer))
			d.list(t, a)
			d.ask(routing.Idempotent)
			d.list(t, c.again(a))
			before := sent.Load()
			d.ask(routing.Idempotent)
			if sent.Load() == before {
				t.Error("the other process got no request")
			}
		})
	}
}
