package delivery

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/answerbuffer"
	"github.com/stepcroft/stepcroft/internal/clock"
)

// maxStall is how long callers of these tests may accept nothing.
const maxStall = 10 * time.Second

// blockedCaller is a caller whose host takes none or a part of a write that does not return.
type blockedCaller struct {
	left    atomic.Int64
	stopped chan struct{}
}

func (c *blockedCaller) Write([]byte) error {
	<-c.stopped
	return errors.New("write deadline exceeded")
}

func (c *blockedCaller) Unacknowledged() int { return int(c.left.Load()) }

func (c *blockedCaller) StopWriting() { close(c.stopped) }

// startBlocked starts the delivery of two events, the first of which is being written.
func startBlocked(t *testing.T, c Caller, budget *answerbuffer.Budget, cancel func()) *Delivery {
	t.Helper()
	d := Start(budget.Open("o"), c, cancel)
	for range 2 {
		if err := d.Append(t.Context(), []byte("event")); err != nil {
			t.Fatal(err)
		}
	}
	return d
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
				d := startBlocked(t, c, budget, func() {})
				began, last := clock.Now(), clock.Now()
				var reader *time.Timer
				reader = time.AfterFunc(9*time.Second, func() {
					if clock.Since(began) < test.reads {
						c.left.Add(-1)
						last = clock.Now()
						reader.Reset(9 * time.Second)
					}
				})
				err := d.Finish(t.Context(), true, maxStall, nil)
				reader.Stop()
				took := clock.Since(last)
				if test.reads == 0 && took >= maxStall+checkInterval {
					t.Errorf("the caller, which read nothing, was given %v", took)
				}
				if took < maxStall || took > maxStall+2*checkInterval {
					t.Errorf("given up %v after the caller last read", took)
				}
				if !errors.Is(err, ErrStalled) {
					t.Errorf("given up as %v", err)
				}
				if s := budget.Stats(); s.Bytes != 0 {
					t.Errorf("%d bytes are still counted", s.Bytes)
				}
			})
		})
	}
}

// TestFailedWrite guards against a buffer that is discarded before the exchange is cancelled: the
// goroutine that reads from the engine then takes that for a failure of the engine.
func TestFailedWrite(t *testing.T) {
	var counted int64
	budget, c := answerbuffer.New(1<<20), &blockedCaller{stopped: make(chan struct{})}
	d := startBlocked(t, c, budget, func() { counted = budget.Stats().Bytes })
	c.StopWriting()
	<-d.done
	if counted == 0 {
		t.Error("discarded before the exchange was cancelled")
	}
}
