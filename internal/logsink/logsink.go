// Package logsink writes log lines without ever blocking the caller: the queue of lines and the
// number of lines a second are bounded, and lines beyond the bounds are dropped and counted.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxBatchBytes is the size from which a batch of lines takes no further line.
const maxBatchBytes = 16 << 10

// Sink is an io.Writer for log lines, which takes one line for each call. Use New to create one.
type Sink struct {
	out       io.Writer
	lines     chan []byte
	perSecond int64
	// thisSecond counts the lines of the current second, unreported the lines dropped since
	// the last log line about them, and dropped all dropped lines.
	thisSecond, unreported, dropped atomic.Int64
}

// New returns a sink that queues up to queued lines and accepts up to perSecond lines a second
// for out. Run writes the lines.
func New(out io.Writer, queued, perSecond int) *Sink {
	return &Sink{out: out, lines: make(chan []byte, queued), perSecond: int64(perSecond)}
}

// detailPercent is the percentage of a second's lines that is open to high-volume lines, such as
// those about single requests. The rest is reserved for other lines, so that changes of the
// process's state are logged under a flood of requests, too.
const detailPercent = 80

// DetailsFull reports whether the sink should get no more high-volume lines this second. The
// caller should then call Drop instead of formatting such a line.
func (s *Sink) DetailsFull() bool { return s.thisSecond.Load()*100 >= s.perSecond*detailPercent }

// Drop counts a line as dropped.
func (s *Sink) Drop() {
	s.unreported.Add(1)
	s.dropped.Add(1)
}

// Write queues a line; it never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if s.thisSecond.Add(1) > s.perSecond {
		s.Drop()
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.Drop()
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Run writes lines until ctx ends, and then the lines that are still queued.
func (s *Sink) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return
		case <-ticker.C:
			s.thisSecond.Store(0)
			s.reportDropped()
		case line := <-s.lines:
			s.write(s.batch(line))
		}
	}
}

// batch returns a line joined with those that are queued behind it, up to about maxBatchBytes.
func (s *Sink) batch(line []byte) []byte {
	for len(line) < maxBatchBytes {
		select {
		case next := <-s.lines:
			line = append(line, next...)
		default:
			return line
		}
	}
	return line
}

// flush writes the queued lines.
func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.write(s.batch(line))
		default:
			s.reportDropped()
			return
		}
	}
}

// reportDropped logs how many lines were dropped since its last log line.
func (s *Sink) reportDropped() {
	if n := s.unreported.Swap(0); n > 0 {
		s.write(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n))
	}
}

// write writes lines. Since an error cannot be logged, a failed write counts as a dropped line.
func (s *Sink) write(lines []byte) {
	if _, err := s.out.Write(lines); err != nil {
		s.dropped.Add(1)
	}
}
