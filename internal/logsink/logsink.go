// Package logsink writes log lines without ever holding up who logs: lines
// queue up to a bound, at most so many a second are written, and what does
// not fit is dropped and counted.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxBatch is the size, in bytes, up to which lines are written together.
const maxBatch = 16 << 10

// Sink is an io.Writer for log lines, one for each call. Use New to make one.
type Sink struct {
	out       io.Writer
	lines     chan []byte
	perSecond int64
	// second counts the lines of the current second, dropped those dropped
	// since it was last told, total all of them.
	second, dropped, total atomic.Int64
}

// New returns a sink that holds up to queued lines and takes up to perSecond
// lines a second for out. Run must be running.
func New(out io.Writer, queued, perSecond int) *Sink {
	return &Sink{out: out, lines: make(chan []byte, queued), perSecond: int64(perSecond)}
}

// detailShare is the part of a second's lines, in percent, that is open to
// lines of which there may be very many. The rest is kept for the others: what
// the process believes must be told under a flood of requests, too.
const detailShare = 80

// Full reports whether the sink should get no more lines this second of which
// there may be very many. One that would log such a line should then not even
// make it, but call Drop.
func (s *Sink) Full() bool { return s.second.Load()*100 >= s.perSecond*detailShare }

// Drop counts a line that was not made.
func (s *Sink) Drop() {
	s.dropped.Add(1)
	s.total.Add(1)
}

// Write queues a line; it never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if s.second.Add(1) > s.perSecond {
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
func (s *Sink) Dropped() int64 { return s.total.Load() }

// Run writes lines until ctx ends, and then those that are queued.
func (s *Sink) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return
		case <-ticker.C:
			s.second.Store(0)
			s.tell()
		case line := <-s.lines:
			s.write(s.batch(line))
		}
	}
}

// batch returns a line and those that are queued behind it.
func (s *Sink) batch(line []byte) []byte {
	for len(line) < maxBatch {
		select {
		case next := <-s.lines:
			line = append(line, next...)
		default:
			return line
		}
	}
	return line
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.write(s.batch(line))
		default:
			s.tell()
			return
		}
	}
}

// tell writes how many lines were dropped since it last did.
func (s *Sink) tell() {
	if n := s.dropped.Swap(0); n > 0 {
		s.write(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n))
	}
}

// write writes lines. There is nowhere to tell of an error, so they count as
// dropped.
func (s *Sink) write(lines []byte) {
	if _, err := s.out.Write(lines); err != nil {
		s.total.Add(1)
	}
}
