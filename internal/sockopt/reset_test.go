package sockopt_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// TestResetLooksLikeEnd guards against looks at a connection that take the error of a reset from it, so that its reader
// gets a plain end of input.
func TestResetLooksLikeEnd(t *testing.T) {
	looks := map[string]func(net.Conn){
		"no look":      func(net.Conn) {},
		"Idle":         func(c net.Conn) { sockopt.Idle(c) },
		"HasInput":     func(c net.Conn) { sockopt.HasInput(c) },
		"RemoteClosed": func(c net.Conn) { sockopt.RemoteClosed(c) },
		"Received":     func(c net.Conn) { sockopt.Received(c) },
	}
	for name, look := range looks {
		t.Run(name, func(t *testing.T) {
			l, _ := listening(t)
			near := arrive(t, l)
			far, err := l.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer far.Close()
			if _, err := io.ReadFull(far, make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			if err := far.SetLinger(0); err != nil {
				t.Fatal(err)
			}
			_ = far.Close()
			time.Sleep(20 * time.Millisecond)
			look(near)
			if n, err := near.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("read %d bytes, %v, want a reset", n, err)
			}
		})
	}
}

// TestWasReset guards against a connection that was reset and counts as closed, or the reverse.
func TestWasReset(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*net.TCPConn)
		want bool
	}{
		"open":   {end: func(*net.TCPConn) {}},
		"closed": {end: func(far *net.TCPConn) { _ = far.Close() }},
		"reset":  {want: true, end: func(far *net.TCPConn) { _ = far.SetLinger(0); _ = far.Close() }},
		"closed, then reset": {end: func(far *net.TCPConn) {
			_ = far.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = far.SetLinger(0)
			_ = far.Close()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := listening(t)
			near := arrive(t, l)
			far, err := l.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer far.Close()
			if _, err := io.ReadFull(far, make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			c.end(far)
			time.Sleep(40 * time.Millisecond)
			if name != "open" {
				_, _ = io.Copy(io.Discard, near)
			}
			if got := sockopt.WasReset(near); got != c.want {
				t.Errorf("reset: %t, want %t", got, c.want)
			}
		})
	}
}
