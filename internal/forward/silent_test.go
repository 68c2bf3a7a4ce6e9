package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
)

const (
	// silentEvents is the number of events of a whole stream, after half of which its target falls silent.
	silentEvents = 12
	// shortSilence is a silence of a sound target, longer than the time after which another one is asked.
	shortSilence = 1100 * time.Millisecond
)

// streamWithSilence returns a handler that sends a stream and falls silent for a time after an event, which may be 0.
func streamWithSilence(after int, silence time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("X-Last"))
		for n := last; n < silentEvents; n++ {
			if n == after {
				select {
				case <-time.After(silence):
				case <-r.Context().Done():
					return
				}
			}
			fmt.Fprint(w, eventsFrom(n, n+1))
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// hangs answers nothing.
func hangs(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// silentRoute is a route whose targets count as silent soon.
var silentRoute = routing.Route{Kind: routing.Streaming, Goal: 200 * time.Millisecond, MaxPause: 100 * time.Millisecond, MaxAttempts: 2, Resumable: true}

// silentFirst returns a forwarder that sends a first request to a target with the handler first, and has another
// target with the handler second.
func silentFirst(t *testing.T, first, second http.HandlerFunc) *bufferedForwarder {
	f := newBufferedForwarder(t, 1<<20, first, second)
	f.Forwarder = f.WithBuffers(f.budget, func() bool { return false })
	return f
}

// ask sends a request on a route and returns what its caller gets.
func (f *bufferedForwarder) ask(ctx context.Context, route routing.Route, timeout time.Duration) (string, forward.Result) {
	now, c := time.Now(), &textCaller{}
	result := f.Forward(ctx, forward.Request{
		ID: fmt.Sprint("r", f.ids.Add(1)), Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Organisation: "o",
		Arrived: now, Deadline: now.Add(timeout), Route: &route,
	}, c)
	return c.text.String(), result
}

// onlyFirst lists the first target alone.
func (f *bufferedForwarder) onlyFirst() []balance.Target { return f.targets[:1] }

// TestSilentTargetIsNotGivenUpForNothing guards against answers that are cut, or not given, because their target was
// silent for a moment and no other one took the request.
func TestSilentTargetIsNotGivenUpForNothing(t *testing.T) {
	breakHead := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	answerLate := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(shortSilence):
			fmt.Fprint(w, "whole")
		case <-r.Context().Done():
		}
	}
	reads := silentRoute
	reads.Kind = routing.Idempotent
	cases := map[string]struct {
		route         routing.Route
		first, second http.HandlerFunc
		want          string
	}{
		"within a stream, the other one refuses":       {silentRoute, streamWithSilence(6, shortSilence), refuse, eventsFrom(0, silentEvents)},
		"within a stream, the other one breaks off":    {silentRoute, streamWithSilence(6, shortSilence), breakHead, eventsFrom(0, silentEvents)},
		"within a stream, the other one is silent too": {silentRoute, streamWithSilence(6, shortSilence), hangs, eventsFrom(0, silentEvents)},
		"before the first event, the other one hangs":  {silentRoute, streamWithSilence(0, shortSilence), hangs, eventsFrom(0, silentEvents)},
		"before the first event, the other one fails":  {silentRoute, streamWithSilence(0, shortSilence), refuse, eventsFrom(0, silentEvents)},
		"before an answer, the other one hangs":        {reads, answerLate, hangs, "whole"},
		"before an answer, the other one breaks off":   {reads, answerLate, breakHead, "whole"},
		"before an answer, the other one refuses":      {reads, answerLate, refuse, "whole"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := silentFirst(t, c.first, c.second)
			f.setTargets(t, f.onlyFirst()...)
			time.AfterFunc(50*time.Millisecond, func() { f.setTargets(t, f.targets...) })
			got, result := f.ask(t.Context(), c.route, 5*time.Second)
			if got != c.want || result.Truncated || result.Status != http.StatusOK {
				t.Errorf("the caller got %q, want %q; %+v", got, c.want, result)
			}
		})
	}
}

// TestRequestMovesFromTargetThatStaysSilent guards against requests that wait for a target that is silent for good
// although another one can answer, at once or after a while.
func TestRequestMovesFromTargetThatStaysSilent(t *testing.T) {
	reads := silentRoute
	reads.Kind = routing.Idempotent
	answer := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") }
	cases := map[string]struct {
		route         routing.Route
		first, second http.HandlerFunc
		want          string
		// roomAfter is when the other target is listed.
		roomAfter time.Duration
	}{
		"within a stream":                         {silentRoute, streamWithSilence(6, time.Hour), streamTo(silentEvents, complete), eventsFrom(0, silentEvents), 50 * time.Millisecond},
		"before the first event":                  {silentRoute, streamWithSilence(0, time.Hour), streamTo(silentEvents, complete), eventsFrom(0, silentEvents), 50 * time.Millisecond},
		"before an answer":                        {reads, hangs, answer, "whole", 50 * time.Millisecond},
		"within a stream, room comes late":        {silentRoute, streamWithSilence(6, time.Hour), streamTo(silentEvents, complete), eventsFrom(0, silentEvents), 2 * time.Second},
		"before the first event, room comes late": {silentRoute, streamWithSilence(0, time.Hour), streamTo(silentEvents, complete), eventsFrom(0, silentEvents), 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := silentFirst(t, c.first, c.second)
			f.setTargets(t, f.onlyFirst()...)
			time.AfterFunc(c.roomAfter, func() { f.setTargets(t, f.targets...) })
			began := time.Now()
			got, result := f.ask(t.Context(), c.route, 8*time.Second)
			if got != c.want || result.Truncated || result.Status != http.StatusOK {
				t.Errorf("the caller got %q, want %q; %+v", got, c.want, result)
			}
			if took := time.Since(began); took > c.roomAfter+2*time.Second {
				t.Errorf("the request took %v", took)
			}
		})
	}
}

// TestSecondSendIsLogged guards against targets that run a request twice without a trace of how long they did.
func TestSecondSendIsLogged(t *testing.T) {
	cases := map[string]struct {
		first, second http.HandlerFunc
		result        forward.SecondResult
		resumes       bool
	}{
		"first one goes on":  {streamWithSilence(0, shortSilence), hangs, forward.SecondOvertaken, false},
		"second one goes on": {streamWithSilence(6, time.Hour), streamTo(silentEvents, complete), forward.SecondTookOver, true},
		"second one fails":   {streamWithSilence(0, shortSilence), refuse, forward.SecondFailed, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := silentFirst(t, c.first, c.second)
			f.setTargets(t, f.onlyFirst()...)
			time.AfterFunc(50*time.Millisecond, func() { f.setTargets(t, f.targets...) })
			f.ask(t.Context(), silentRoute, 5*time.Second)
			want := []string{`"second send"`, `"target"="e1"`, fmt.Sprintf(`"result"=%q`, c.result), fmt.Sprintf(`"resumes"=%t`, c.resumes), `"overlap_ms"=`}
			if !f.logged.has(want...) {
				t.Errorf("no line has %q: %q", want, f.logged.lines)
			}
		})
	}
}
