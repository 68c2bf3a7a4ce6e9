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

// Sink is an io.Writer for log lines, one for each call. Use New to make one.
type Sink struct {
	out       io.Writer
	lines     chan []byte
	perSecond int
	dropped   atomic.Int64
	total     atomic.Int64
}

// New returns a sink that holds up to queued lines and writes up to perSecond
// lines a second to out. Run must be running.
func New(out io.Writer, queued, perSecond int) *Sink {
	return &Sink{out: out, lines: make(chan []byte, queued), perSecond: perSecond}
}

// Write queues a line; it never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
		s.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() int64 { return s.total.Load() }

// Run writes lines until ctx ends, and then those that are queued.
func (s *Sink) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	written := 0
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return
		case <-ticker.C:
			written = 0
			s.tell()
		case line := <-s.lines:
			written++
			if written > s.perSecond {
				s.dropped.Add(1)
				s.total.Add(1)
				continue
			}
			s.write(line)
		}
	}
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
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

// write writes a line. There is nowhere to tell of an error, so the line
// counts as dropped.
func (s *Sink) write(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.total.Add(1)
	}
}
