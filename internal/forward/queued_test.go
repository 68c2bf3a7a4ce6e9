package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// TestWitnessOnQueuedConnection guards against a cut answer that looks complete since the next process, which says of
// itself that it runs, has accepted a connection made before the end: that waited at the address until then.
func TestWitnessOnQueuedConnection(t *testing.T) {
	for name, replaced := range map[string]bool{"the process goes on": false, "the next one has its address": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			g := group.New(context.Background())
			t.Cleanup(g.Stop)
			t.Cleanup(func() { _ = l.Close() })
			transport := httptarget.New(g)
			t.Cleanup(transport.Close)
			loop := balance.NewLoop(balance.New(time.Now(), "z", balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second}, rand.New(rand.NewPCG(1, 1))))
			g.GoContext(loop.Run)
			names := forward.HeaderNames{RequestID: "X-Id", Deadline: "X-Wait-Ms", ExpectTarget: "X-Expect", ServedBy: "X-Served"}
			f := &testForwarder{loop: loop, Forwarder: forward.New(names, transport, loop, noSuspects{}, logr.Discard(), discard{})}
			f.Forwarder = f.WithStatusQuery(forward.StatusQuery{Path: "/status", Field: "born"})
			to := balance.Target{ID: "a", Service: "s", Zone: "z", Slots: 4, Address: l.Addr().String(), Born: 1}
			f.setTargets(t, to)
			f.configure(t)
			g.Go(func() {
				first, err := l.Accept()
				if err != nil {
					return
				}
				r, err := http.ReadRequest(bufio.NewReader(first))
				if err != nil {
					return
				}
				fmt.Fprintf(first, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\n%s", r.Header.Get("X-Id"), eventsFrom(0, 3))
				// This connection waits to be accepted.
				_, _ = transport.ProcessExited(context.Background(), to.Address, to.Incarnation())
				time.Sleep(50 * time.Millisecond)
				_ = first.Close()
				id := "a"
				if replaced {
					id = "b"
				}
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					g.Go(func() { answerFor(c, id) })
				}
			})
			now, c := time.Now(), &textCaller{}
			result := f.Forward(t.Context(), forward.Request{
				ID: "r", Method: http.MethodPost, URI: "/", Host: "h", Service: "s", ToEngine: true, HealthPath: wellPath,
				Arrived: now, Deadline: now.Add(2 * time.Second),
				Route: &routing.Route{Kind: routing.NonIdempotent, Goal: time.Second, MaxAttempts: 1},
			}, c)
			if (result.Status == http.StatusOK) == replaced {
				t.Errorf("the caller got %q; %+v", c.text.String(), result)
			}
		})
	}
}

// answerFor answers questions on a connection as the target with an id: its status names nobody.
func answerFor(c net.Conn, id string) {
	defer c.Close()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		switch expected := r.Header.Get("X-Expect"); {
		case r.URL.Path == "/status":
		case expected != id:
			answer = "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n"
		default:
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Served: %s\r\nContent-Length: 0\r\n\r\n", id)
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}
