package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/callerconn"
	"github.com/stepcroft/stepcroft/internal/group"
)

// TestStopRefusesNoIDInBody guards against refusals with the id of a request that is a part of another one's body. The HTTP
// server has read the head of that one with the request before, and stops before or after the router knows that the answer
// is over.
func TestStopRefusesNoIDInBody(t *testing.T) {
	stopped := func(shut <-chan struct{}) {
		<-shut
		time.Sleep(50 * time.Millisecond)
	}
	for name, note := range map[string]func(shut <-chan struct{}, raw net.Conn){
		"before": func(shut <-chan struct{}, raw net.Conn) {
			stopped(shut)
			callerconn.State(raw, http.StateIdle)
		},
		"after": func(shut <-chan struct{}, raw net.Conn) {
			callerconn.State(raw, http.StateIdle)
			stopped(shut)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(anyResult{}, false)
			g := group.New(t.Context())
			defer g.Stop()
			idle, shut := make(chan struct{}), make(chan struct{})
			s.server.RegisterOnShutdown(sync.OnceFunc(func() { close(shut) }))
			s.server.ConnState = func(raw net.Conn, state http.ConnState) {
				if state != http.StateIdle {
					callerconn.State(raw, state)
					return
				}
				close(idle)
				note(shut, raw)
			}
			caller := dialServer(t, startTestServer(t, s), wholeRequest+text("Content-Length: 43\r\n", ""))
			answers := bufio.NewReader(caller)
			res, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil {
				t.Fatal(err)
			}
			_ = res.Body.Close()
			<-idle
			if _, err := io.WriteString(caller, otherHead); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			g.GoContext(func(ctx context.Context) { _ = s.Shutdown(ctx) })
			checkRefused(t, caller, "")
		})
	}
}
