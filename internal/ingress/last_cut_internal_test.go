package ingress

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/refusal"
)

// heldRefusal is an observer that holds the refusal of a last request until it is released.
type heldRefusal struct{ held, release chan struct{} }

func (o heldRefusal) RequestEnded(_ forward.Request, v forward.Result, _ time.Duration) {
	if v.Reason == refusal.Leaving {
		close(o.held)
		<-o.release
	}
}

// TestShutdownReportsLastAnswersInProgress guards against a shutdown that reports no error although its time is over
// while the request behind the last answer of a connection is being refused.
func TestShutdownReportsLastAnswersInProgress(t *testing.T) {
	for name, c := range map[string]struct {
		// wait is how long the refusal takes, at the end of which the time is over if cut is set.
		wait time.Duration
		cut  bool
	}{
		// http.Server looks for its connections every half second at most.
		"cut while connections are in use": {cut: true},
		"cut once none is":                 {wait: 700 * time.Millisecond, cut: true},
		"not cut":                          {wait: 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := heldRefusal{make(chan struct{}), make(chan struct{})}
			s := newTestServer(o, false)
			began, end := make(chan struct{}), make(chan struct{})
			s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprint(w, "event\n")
				_ = http.NewResponseController(w).Flush()
				close(began)
				<-end
			})
			caller := dialServer(t, startTestServer(t, s), wholeRequest)
			<-began
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var wait sync.WaitGroup
			wait.Go(func() {
				if err := s.Shutdown(ctx); errors.Is(err, context.Canceled) != c.cut || err != nil != c.cut {
					t.Errorf("reported %v with %d last answers in progress", err, s.room.Lasting())
				}
			})
			time.Sleep(50 * time.Millisecond)
			fmt.Fprint(caller, wholeRequest)
			close(end)
			<-o.held
			time.Sleep(c.wait)
			if c.cut {
				cancel()
				wait.Wait()
			}
			close(o.release)
			wait.Wait()
		})
	}
}
