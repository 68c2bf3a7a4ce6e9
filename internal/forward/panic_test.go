package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// panickingCaller is a caller whose answer cannot be written, as net/http reports for an invalid status.
type panickingCaller struct{ discard }

func (panickingCaller) Head(status int, _ http.Header, _ int64) {
	panic(fmt.Sprint("invalid WriteHeader code ", status))
}

// load returns the number of requests that the balancer counts at its targets.
func (f *testForwarder) load(t testing.TB) int {
	t.Helper()
	n := 0
	f.loop.PostAndWait(t.Context(), func(s *balance.State, now time.Time) {
		for _, l := range s.Report(now).Loads {
			n += l.Running
		}
	})
	return n
}

// Guards against a request that stays counted at its target for ever as its handler panicked: no router would
// send the target anything once it seems full.
func TestPanicReleasesTarget(t *testing.T) {
	for _, kind := range []routing.Kind{routing.NonIdempotent, routing.Streaming} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			f := newTestForwarder(t)
			f.setTargets(t, startRawTarget(t, "a", func(id string, _ int) string { return whole(id) }))
			func() {
				defer func() {
					if recover() == nil {
						t.Error("the handler did not panic: the test shows nothing")
					}
				}()
				f.sendTo(kind, panickingCaller{})
			}()
			if n := f.load(t); n != 0 {
				t.Errorf("%d requests are counted at the target", n)
			}
		})
	}
}
