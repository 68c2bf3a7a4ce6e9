package forward

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/answerbuffer"
)

// blockedCaller is a caller whose host takes nothing.
type blockedCaller struct{ stopped chan struct{} }

func (*blockedCaller) Head(int, http.Header, int64) {}

func (c *blockedCaller) Write([]byte) error {
	<-c.stopped
	return errors.New("write deadline exceeded")
}

func (*blockedCaller) Unacknowledged() int { return 0 }

func (c *blockedCaller) StopWriting() { close(c.stopped) }

// newBlockedDelivery returns a delivery of two events, the first of which is being written.
func newBlockedDelivery(t *testing.T) *inflight {
	t.Helper()
	f := (&Forwarder{}).WithBuffers(answerbuffer.New(1<<20), func() bool { return true }).WithMaxStall(DefaultMaxStall)
	x := &inflight{Forwarder: f, caller: &blockedCaller{stopped: make(chan struct{})}, cancel: func() {}}
	x.startDelivery()
	for range 2 {
		if err := x.delivery.Append(t.Context(), []byte("event")); err != nil {
			t.Fatal(err)
		}
	}
	return x
}

// TestStallAfterCut guards against a stream that was cut at its deadline, or broken off by its engine, and
// is reported as cut by its caller.
func TestStallAfterCut(t *testing.T) {
	for _, reason := range []Reason{ReasonDeadline, ReasonBroken} {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newBlockedDelivery(t)
				x.result.Truncated, x.result.Reason = true, reason
				x.deliverRest(t.Context())
				if x.result.Reason != reason {
					t.Errorf("reason %q", x.result.Reason)
				}
			})
		})
	}
}

// TestStalledCallerCutsItsAnswer guards against an answer that looks complete although its caller was given up.
func TestStalledCallerCutsItsAnswer(t *testing.T) {
	tests := map[string]struct {
		gone func() bool
		want Reason
	}{
		"it accepts nothing": {nil, ReasonCallerStalled},
		"it has gone":        {func() bool { return true }, ReasonCallerGone},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newBlockedDelivery(t)
				x.CallerGone = c.gone
				x.deliverRest(t.Context())
				if !x.result.Truncated || x.result.Reason != c.want {
					t.Errorf("truncated %t, reason %q, want %q", x.result.Truncated, x.result.Reason, c.want)
				}
			})
		})
	}
}
