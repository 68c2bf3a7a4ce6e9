package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// wellPath is where targets say that they are well, as the handlers of these tests do.
const wellPath = "/well"

// answerToEnd writes an answer that ends with its connection.
func answerToEnd(w http.ResponseWriter, status int, headers, body string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%s\r\n%s", status, headers, body)
}

// configure applies a configuration with the service of the tests.
func (f *testForwarder) configure(t *testing.T) {
	t.Helper()
	table, err := routing.New(routing.Spec{Version: 1, Services: []routing.Service{{Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	f.loop.PostAndWait(t.Context(), func(s *balance.State, _ time.Time) { s.Configure(table) })
}

// TestQuestionAnsweredWithoutLength guards against whole answers that look cut as their target's answers
// to questions have no length either.
func TestQuestionAnsweredWithoutLength(t *testing.T) {
	for name, c := range map[string]struct {
		toEngine bool
		kind     routing.Kind
	}{
		"health, stream": {kind: routing.Streaming},
		"health, other":  {kind: routing.NonIdempotent},
		"status, stream": {kind: routing.Streaming, toEngine: true},
		"status, other":  {kind: routing.NonIdempotent, toEngine: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newBufferedForwarder(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/status":
					answerToEnd(w, http.StatusOK, "", `{"born":1}`)
				case wellPath:
					answerToEnd(w, http.StatusOK, headerServedBy+": e0\r\n", "well")
				default:
					answerToEnd(w, http.StatusOK, fmt.Sprintf("X-Id: %s\r\n%s: s\r\n", r.Header.Get("X-Id"), headerSeal), eventsFrom(0, 3))
				}
			})
			f.Forwarder = f.WithStatusQuery(forward.StatusQuery{Path: "/status", Field: "born"})
			f.configure(t)
			now, caller := time.Now(), &textCaller{}
			result := f.Forward(t.Context(), forward.Request{
				ID: "r", Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Organisation: "o", ToEngine: c.toEngine,
				Arrived: now, Deadline: now.Add(3 * time.Second), HealthPath: wellPath,
				Route: &routing.Route{Kind: c.kind, Goal: time.Second, MaxPause: 400 * time.Millisecond, MaxAttempts: 1},
			}, caller)
			if result.Status != http.StatusOK || result.Truncated {
				t.Errorf("the caller got %q; %+v", caller.text.String(), result)
			}
			if result.CompleteBy != httptarget.ByAnswer {
				t.Errorf("complete by %q", result.CompleteBy)
			}
		})
	}
}
