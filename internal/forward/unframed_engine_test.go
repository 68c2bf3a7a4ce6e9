package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/suspicion"
)

// answerUnframed answers with a status of 200 and neither a length nor chunks, calls wait and closes the connection.
func answerUnframed(w http.ResponseWriter, r *http.Request, text string, wait func()) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s: s\r\n\r\n%s", r.Header.Get("X-Id"), headerSeal, text)
	wait()
}

// startEngine starts a server with a handler and returns its address.
func startEngine(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, DisableGeneralOptionsHandler: true}
	var wait sync.WaitGroup
	wait.Go(func() { _ = server.Serve(l) })
	t.Cleanup(func() {
		_ = server.Close()
		wait.Wait()
	})
	return l.Addr().String()
}

// engineAt returns a forwarder with one engine that runs with a handler and tells its start at /status.
func engineAt(t *testing.T, q suspicion.Suspects, h http.HandlerFunc) *bufferedForwarder {
	t.Helper()
	f := newSuspectingForwarder(t, q, 1<<20, refuse)
	f.Forwarder = f.WithStatusQuery(forward.StatusQuery{Path: "/status", Field: "born"})
	f.targets[0].Address = startEngine(t, h)
	f.setTargets(t, f.targets...)
	f.configure(t)
	return f
}

// askEngine sends a request to an engine and returns what its caller gets.
func (f *bufferedForwarder) askEngine(t *testing.T, id string, route routing.Route) (string, forward.Result) {
	now, c := time.Now(), &textCaller{}
	route.Goal, route.MaxPause = time.Second, 400*time.Millisecond
	result := f.Forward(t.Context(), forward.Request{
		ID: id, Method: http.MethodPost, URI: "/" + id, Host: "h", Service: "s", Organisation: "o", ToEngine: true,
		Arrived: now, Deadline: now.Add(3 * time.Second), Route: &route, HealthPath: healthPath,
	}, c)
	return c.text.String(), result
}

// TestWholeAnswerOfEngineWithoutLengths guards against whole answers that look cut as the engine's status, which shows
// that it goes on, ends with its connection too, while another answer pauses.
func TestWholeAnswerOfEngineWithoutLengths(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	f := engineAt(t, noSuspects{}, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/status":
			answerUnframed(w, r, `{"born":1}`, func() {})
		case "/pauses":
			answerUnframed(w, r, eventsFrom(0, 1), func() {
				close(begun)
				<-release
			})
		default:
			answerUnframed(w, r, eventsFrom(0, 3), func() { time.Sleep(20 * time.Millisecond) })
		}
	})
	stream := routing.Route{Kind: routing.Streaming, MaxAttempts: 1}
	var wait sync.WaitGroup
	defer wait.Wait()
	defer close(release)
	wait.Go(func() { f.askEngine(t, "pauses", stream) })
	<-begun
	if got, result := f.askEngine(t, "whole", stream); got != eventsFrom(0, 3) || result.Truncated {
		t.Errorf("the caller got %q; %+v", got, result)
	}
}

// TestWholeAnswerOfSlowlyReportingEngine guards against whole answers that look cut as their engine, which does not name
// itself in its status, takes longer than the wait for a witness to tell that and its health as the answer begins.
func TestWholeAnswerOfSlowlyReportingEngine(t *testing.T) {
	const delay = 300 * time.Millisecond
	f := engineAt(t, noSuspects{}, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/status":
			time.Sleep(delay)
			fmt.Fprint(w, "{}")
		case healthPath:
			time.Sleep(delay)
			w.Header().Set(headerServedBy, "e0")
		default:
			answerUnframed(w, r, eventsFrom(0, 3), func() { time.Sleep(3 * delay) })
		}
	})
	if got, result := f.askEngine(t, "slow", routing.Route{Kind: routing.NonIdempotent, MaxAttempts: 1}); got != eventsFrom(0, 3) || result.Truncated {
		t.Errorf("the caller got %q; %+v", got, result)
	}
}
