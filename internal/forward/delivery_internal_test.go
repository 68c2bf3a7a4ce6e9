package forward

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/answerbuffer"
	"github.com/stepcroft/stepcroft/internal/clock"
)

// blockedCaller is a caller whose host takes none or a part of a write that does not return.
type blockedCaller struct {
	left    atomic.Int64
	stopped chan struct{}
}

func (*blockedCaller) Head(int, http.Header, int64) {}

func (c *blockedCaller) Write([]byte) error {
	<-c.stopped
	return errors.New("write deadline exceeded")
}

func (c *blockedCaller) Unacknowledged() int { return int(c.left.Load()) }

func (c *blockedCaller) StopWriting() { close(c.stopped) }

// newBlockedDelivery returns a delivery of two events, the first of which is being written.
func newBlockedDelivery(t *testing.T, onCancel func(*answerbuffer.Budget)) *inflight {
	t.Helper()
	budget := answerbuffer.New(1 << 20)
	f := (&Forwarder{}).WithBuffers(budget, func() bool { return true }).WithMaxStall(DefaultMaxStall)
	x := &inflight{Forwarder: f, caller: &blockedCaller{stopped: make(chan struct{})}, cancel: func() { onCancel(budget) }}
	x.startDelivery()
	for range 2 {
		if err := x.delivery.buffer.Append(t.Context(), []byte("event")); err != nil {
			t.Fatal(err)
		}
	}
	return x
}

// TestStallLimit guards against callers that hold memory for good without reading, and against
// cutting off one that reads so slowly that a single write takes longer than the limit.
func TestStallLimit(t *testing.T) {
	tests := map[string]struct {
		// reads is for how long the caller reads some bytes each nine seconds.
		reads time.Duration
	}{"it reads nothing": {}, "it reads some bytes for a minute": {reads: time.Minute}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := answerbuffer.New(1 << 20)
				c := &blockedCaller{stopped: make(chan struct{})}
				c.left.Store(1000)
				x := &inflight{Forwarder: (&Forwarder{}).WithBuffers(budget, func() bool { return true }).WithMaxStall(DefaultMaxStall), caller: c, cancel: func() {}}
				x.startDelivery()
				for range 2 {
					if err := x.delivery.buffer.Append(t.Context(), []byte("event")); err != nil {
						t.Fatal(err)
					}
				}
				began, last := clock.Now(), clock.Now()
				var reader *time.Timer
				reader = time.AfterFunc(9*time.Second, func() {
					if clock.Since(began) < test.reads {
						c.left.Add(-1)
						last = clock.Now()
						reader.Reset(9 * time.Second)
					}
				})
				x.deliverRest(t.Context())
				reader.Stop()
				took := clock.Since(last)
				if test.reads == 0 && took >= DefaultMaxStall+stallCheckInterval {
					t.Errorf("the caller, which read nothing, was given %v", took)
				}
				if took < DefaultMaxStall || took > DefaultMaxStall+2*stallCheckInterval {
					t.Errorf("given up %v after the caller last read", took)
				}
				if !x.result.Truncated || x.result.Reason != ReasonCallerStalled {
					t.Errorf("truncated %t, reason %q", x.result.Truncated, x.result.Reason)
				}
				if s := budget.Stats(); s.Bytes != 0 {
					t.Errorf("%d bytes are still counted", s.Bytes)
				}
			})
		})
	}
}

// TestStallAfterCut guards against a stream that was cut at its deadline, or broken off by its engine, and
// is reported as cut by its caller.
func TestStallAfterCut(t *testing.T) {
	for _, reason := range []Reason{ReasonDeadline, ReasonBroken} {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newBlockedDelivery(t, func(*answerbuffer.Budget) {})
				x.result.Truncated, x.result.Reason = true, reason
				x.deliverRest(t.Context())
				if x.result.Reason != reason {
					t.Errorf("reason %q", x.result.Reason)
				}
			})
		})
	}
}

// TestFailedWrite guards against a buffer that is discarded before the exchange is cancelled: the
// goroutine that reads from the engine then takes that for a failure of the engine.
func TestFailedWrite(t *testing.T) {
	var counted int64
	x := newBlockedDelivery(t, func(b *answerbuffer.Budget) { counted = b.Stats().Bytes })
	x.caller.StopWriting()
	<-x.delivery.done
	if counted == 0 {
		t.Error("discarded before the exchange was cancelled")
	}
}
