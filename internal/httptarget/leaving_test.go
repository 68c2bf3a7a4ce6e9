package httptarget_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// TestUnframedAnswerOfLeavingTarget guards against an answer without a length that is taken for cut as its target has
// closed its listener to finish what it has begun, and against one that looks complete as its process was killed then.
func TestUnframedAnswerOfLeavingTarget(t *testing.T) {
	const pause = 20 * time.Millisecond
	for name, c := range map[string]struct {
		// end ends an answer, once the listener is closed, and maybe another one.
		end func(ended, other *net.TCPConn)
		// slow is set if the other answer is read slowly.
		slow, complete bool
	}{
		"goes on": {complete: true, end: func(ended, other *net.TCPConn) {
			_ = ended.Close()
			for range 20 {
				time.Sleep(pause)
				_, _ = io.WriteString(other, "more")
			}
		}},
		"goes on after a pause": {complete: true, end: func(ended, other *net.TCPConn) {
			_ = ended.Close()
			time.Sleep(10 * pause)
			_, _ = io.WriteString(other, "more")
			time.Sleep(20 * pause)
		}},
		"is killed": {end: func(ended, other *net.TCPConn) { _ = ended.Close(); _ = other.Close() }},
		"is killed, and an answer arrives later": {end: func(ended, other *net.TCPConn) {
			_ = ended.Close()
			time.Sleep(pause)
			_, _ = io.WriteString(other, "more")
			time.Sleep(pause)
			_ = other.Close()
		}},
		"is killed, and an answer is read slowly": {slow: true, end: func(ended, other *net.TCPConn) {
			_ = other.SetWriteDeadline(time.Now().Add(2 * pause))
			_, _ = other.Write(make([]byte, beyondBuffers))
			_ = ended.Close()
			_ = other.Close()
		}},
		// Its end may have been lost on the way.
		"is killed, and a connection seems open": {end: func(ended, _ *net.TCPConn) { _ = ended.Close() }},
		"ends its last answer":                   {end: func(ended, other *net.TCPConn) { _ = other.Close(); time.Sleep(pause); _ = ended.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startTarget(t, 3)
			first, ended := g.exchange(t, unframedBegin)
			defer first.Close()
			second, other := g.exchange(t, unframedBegin)
			defer second.Close()
			g.Go(func() {
				for piece := make([]byte, 64<<10); ; {
					if _, err := second.Read(piece); err != nil {
						return
					}
					if c.slow {
						time.Sleep(pause / 4)
					}
				}
			})
			defer ended.Close()
			defer other.Close()
			g.closeListener()
			g.Go(func() {
				time.Sleep(pause)
				_, _ = io.WriteString(ended, " end")
				// Connections that were accepted as the listener closed are not answered on either.
				g.killed.Store(!c.complete)
				c.end(ended, other)
			})
			text, err := io.ReadAll(first)
			if c.complete != (err == nil) || string(text) != "begin end" {
				t.Errorf("read %q, %v; complete: want %v (%s)", text, err, c.complete, first.CompleteBy())
			}
			if err != nil && !errors.Is(err, httptarget.ErrBroken) {
				t.Errorf("%v, want ErrBroken", err)
			}
		})
	}
}
