package forward_test

import (
	"bufio"
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

// TestEndOfReplacedEngine guards against answers without a length that look complete as their engine's process is
// killed and the next one listens at once, where no other connection tells.
func TestEndOfReplacedEngine(t *testing.T) {
	for name, kind := range map[string]routing.Kind{"stream": routing.Streaming, "other": routing.NonIdempotent} {
		for _, replaced := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, replaced: %t", name, replaced), func(t *testing.T) {
				t.Parallel()
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				f := newBufferedForwarder(t, 1<<20, refuse)
				f.Forwarder = f.WithStatusQuery(forward.StatusQuery{Path: "/status", Field: "born"})
				f.targets[0].Address = l.Addr().String()
				f.setTargets(t, f.targets...)
				table, err := routing.New(routing.Spec{Version: 1, Services: []routing.Service{{Name: "s"}}})
				if err != nil {
					t.Fatal(err)
				}
				f.loop.PostAndWait(t.Context(), func(s *balance.State, _ time.Time) { s.Configure(table) })
				var born atomic.Int64
				born.Store(f.targets[0].Born)
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/status" {
						fmt.Fprintf(w, `{"born":%d}`, born.Load())
						return
					}
					c, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return
					}
					defer c.Close()
					write := bufio.NewWriter(c)
					fmt.Fprintf(write, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s: s\r\n\r\n%s", r.Header.Get("X-Id"), headerSeal, eventsFrom(0, 3))
					_ = write.Flush()
					time.Sleep(20 * time.Millisecond)
					if replaced {
						born.Add(1)
					}
				})}
				var wait sync.WaitGroup
				wait.Go(func() { _ = server.Serve(l) })
				t.Cleanup(func() {
					_ = server.Close()
					wait.Wait()
				})
				now, c := time.Now(), &textCaller{}
				result := f.Forward(t.Context(), forward.Request{
					ID: "r", Method: http.MethodPost, URI: "/", Host: "h", Service: "s", Organisation: "o", ToEngine: true,
					Arrived: now, Deadline: now.Add(2 * time.Second),
					Route: &routing.Route{Kind: kind, Goal: time.Second, MaxPause: 400 * time.Millisecond, MaxAttempts: 2},
				}, c)
				if complete := result.Status == http.StatusOK && !result.Truncated; complete == replaced {
					t.Errorf("complete: %t, the caller got %q; %+v", complete, c.text.String(), result)
				}
			})
		}
	}
}
