package httptarget_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// TestTargetThatReadsSlowly guards against giving a target up that reads nothing of a long body for a while, and
// against waiting for it beyond the request's deadline.
func TestTargetThatReadsSlowly(t *testing.T) {
	for name, c := range map[string]struct {
		pause, deadline time.Duration
		answered        bool
	}{
		"within the deadline": {pause: 3 * time.Second, deadline: 20 * time.Second, answered: true},
		"beyond the deadline": {pause: 20 * time.Second, deadline: 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			g := group.New(context.Background())
			defer g.Stop()
			ended := make(chan struct{})
			defer close(ended)
			g.Go(func() {
				c2, err := l.Accept()
				if err != nil {
					return
				}
				defer c2.Close()
				select {
				case <-time.After(c.pause):
				case <-ended:
					return
				}
				serveRequests(c2, func(_ int, r *http.Request) bool {
					_, _ = io.WriteString(c2, okAnswer(r.Header.Get("X-Id"), "done"))
					return true
				})
			})
			ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
			defer cancel()
			began := time.Now()
			transport := httptarget.New(g)
			defer transport.Close()
			a, err := transport.Send(ctx, l.Addr().String(), request("a", strings.Repeat("b", beyondBuffers)))
			if err == nil {
				defer a.Close()
			}
			if answered := err == nil && a.Status == http.StatusOK; answered != c.answered {
				t.Errorf("answered %v after %v, want %v: %v", answered, time.Since(began), c.answered, err)
			}
			if took := time.Since(began); !c.answered && took > c.deadline+time.Second {
				t.Errorf("given up after %v, the deadline was %v", took, c.deadline)
			}
		})
	}
}
