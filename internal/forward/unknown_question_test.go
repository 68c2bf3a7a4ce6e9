package forward_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// TestAnswerOfTargetThatKnowsNoQuestion guards against whole answers without a length that always look cut as their
// target, which does not name itself, has no path for the question, and against cut ones that look complete as a gateway
// answers the question in its target's place, on the connection that the target had answered on.
func TestAnswerOfTargetThatKnowsNoQuestion(t *testing.T) {
	for name, c := range map[string]struct {
		toEngine bool
		health   string
		// status is that of answers to questions, after the end of the first answer if ends is set.
		status int
		ends   bool
	}{
		"engine without a status":                {toEngine: true, status: http.StatusNotFound},
		"engine without a status or health":      {toEngine: true, health: wellPath, status: http.StatusNotFound},
		"engine that takes no GET":               {toEngine: true, health: wellPath, status: http.StatusMethodNotAllowed},
		"service whose health is without a text": {health: wellPath, status: http.StatusNoContent},
		"service that takes no OPTIONS":          {status: http.StatusMethodNotAllowed},
		"gateway before an engine":               {toEngine: true, status: http.StatusBadGateway, ends: true},
		"gateway before a service":               {health: wellPath, status: http.StatusGatewayTimeout, ends: true},
		"gateway before one without health":      {status: http.StatusBadGateway, ends: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &http.Server{DisableGeneralOptionsHandler: true, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X-Id") != "" {
					answerUnframed(w, r, eventsFrom(0, 3), func() { time.Sleep(50 * time.Millisecond) })
					close(ended)
					return
				}
				status := c.status
				if c.ends {
					select {
					case <-ended:
					default:
						status = http.StatusOK
					}
				}
				w.WriteHeader(status)
			})}
			var wait sync.WaitGroup
			wait.Go(func() { _ = server.Serve(l) })
			t.Cleanup(func() {
				_ = server.Close()
				wait.Wait()
			})
			f := newBufferedForwarder(t, 1<<20, refuse)
			f.Forwarder = f.WithStatusQuery(forward.StatusQuery{Path: "/status", Field: "born"})
			f.targets[0].Address = l.Addr().String()
			f.setTargets(t, f.targets...)
			f.configure(t)
			now, caller := time.Now(), &textCaller{}
			result := f.Forward(t.Context(), forward.Request{
				ID: "r", Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Organisation: "o", ToEngine: c.toEngine,
				Arrived: now, Deadline: now.Add(3 * time.Second), HealthPath: c.health,
				Route: &routing.Route{Kind: routing.Streaming, Goal: time.Second, MaxPause: 400 * time.Millisecond, MaxAttempts: 1},
			}, caller)
			if whole := result.CompleteBy == httptarget.ByAnswer && !result.Truncated; whole == c.ends {
				t.Errorf("whole: %t, the caller got %q; %+v", whole, caller.text.String(), result)
			}
		})
	}
}
