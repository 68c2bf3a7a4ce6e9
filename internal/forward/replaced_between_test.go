package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// TestEngineReplacedAfterItsStatus guards against streams that go on at the process after the one that has just said
// that it runs, as it ends before the rest is sent to it.
func TestEngineReplacedAfterItsStatus(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	first := func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, eventsFrom(0, 3))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	f := newBufferedForwarder(t, 1<<20, first, refuse)
	f.Forwarder = f.WithStatusQuery(forward.StatusQuery{Path: "/status", Field: "born"}).WithBuffers(f.budget, func() bool { return false })
	f.targets[1].Address = l.Addr().String()
	table, err := routing.New(routing.Spec{Version: 1, Services: []routing.Service{{Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	f.loop.PostAndWait(t.Context(), func(s *balance.State, _ time.Time) { s.Configure(table) })
	f.setTargets(t, f.targets[0])
	// The process that says when it started ends after its first answer.
	var born, rests atomic.Int64
	born.Store(f.targets[1].Born)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/status" {
			text := fmt.Sprintf(`{"born":%d}`, born.Load())
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			born.Store(f.targets[1].Born + 1)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			_ = c.Close()
			return
		}
		rests.Add(1)
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set(headerSeal, "s")
		fmt.Fprint(w, eventsFrom(3, 6))
	})}
	var wait sync.WaitGroup
	wait.Go(func() { _ = server.Serve(l) })
	t.Cleanup(func() {
		_ = server.Close()
		wait.Wait()
	})
	time.AfterFunc(10*time.Millisecond, func() { f.setTargets(t, f.targets...) })
	now, c := time.Now(), &textCaller{}
	result := f.Forward(t.Context(), forward.Request{
		ID: "r", Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Organisation: "o", ToEngine: true,
		Arrived: now, Deadline: now.Add(2 * time.Second),
		Route: &routing.Route{Kind: routing.Streaming, Goal: time.Second, MaxPause: 400 * time.Millisecond, MaxAttempts: 2, Resumable: true},
	}, c)
	if got := c.text.String(); got != eventsFrom(0, 3) || !result.Truncated {
		t.Errorf("the caller got %q; the rest was sent %d times; %+v", got, rests.Load(), result)
	}
}
