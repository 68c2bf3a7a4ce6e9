package sockopt_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// sendUrgent sends a byte as urgent data.
func sendUrgent(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { err = syscall.Sendto(int(fd), []byte("u"), syscall.MSG_OOB, nil) }); err != nil {
		t.Fatal(err)
	}
}

// TestLookAtStates guards against looks that tell something else of a connection than its next read would.
func TestLookAtStates(t *testing.T) {
	write := func(_, far *net.TCPConn) { _, _ = io.WriteString(far, "x") }
	reset := func(far *net.TCPConn) { _ = far.SetLinger(0); _ = far.Close() }
	for name, c := range map[string]struct {
		do                  func(near, far *net.TCPConn)
		idle, input, closed bool
	}{
		"open":                     {do: func(_, _ *net.TCPConn) {}, idle: true},
		"input":                    {do: write, input: true},
		"input, closed":            {do: func(near, far *net.TCPConn) { write(near, far); _ = far.Close() }, input: true},
		"input, reset":             {do: func(near, far *net.TCPConn) { write(near, far); time.Sleep(10 * time.Millisecond); reset(far) }, input: true},
		"closed":                   {do: func(_, far *net.TCPConn) { _ = far.Close() }, closed: true},
		"reset":                    {do: func(_, far *net.TCPConn) { reset(far) }, closed: true},
		"half closed here":         {do: func(near, _ *net.TCPConn) { _ = near.CloseWrite() }, idle: true},
		"half closed here, input":  {do: func(near, far *net.TCPConn) { _ = near.CloseWrite(); write(near, far) }, input: true},
		"half closed here, closed": {do: func(near, far *net.TCPConn) { _ = near.CloseWrite(); _ = far.Close() }, closed: true},
		"half closed both, input":  {do: func(near, far *net.TCPConn) { _ = near.CloseWrite(); write(near, far); _ = far.Close() }, input: true},
		"closed, half closed here": {do: func(near, far *net.TCPConn) {
			_ = far.Close()
			time.Sleep(10 * time.Millisecond)
			_ = near.CloseWrite()
		}, closed: true},
		"closed here":         {do: func(near, _ *net.TCPConn) { _ = near.Close() }, closed: true},
		"urgent input":        {do: func(near, far *net.TCPConn) { sendUrgent(t, far); write(near, far) }, input: true},
		"input, urgent input": {do: func(near, far *net.TCPConn) { write(near, far); sendUrgent(t, far); write(near, far) }, input: true},
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := listening(t)
			near := arrive(t, l).(*net.TCPConn)
			far, err := l.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer far.Close()
			if _, err := io.ReadFull(far, make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			c.do(near, far)
			time.Sleep(30 * time.Millisecond)
			if idle, input, closed := sockopt.Idle(near), sockopt.HasInput(near), sockopt.RemoteClosed(near); idle != c.idle || input != c.input || closed != c.closed {
				t.Errorf("idle %t, input %t, closed %t; want %t, %t, %t", idle, input, closed, c.idle, c.input, c.closed)
			}
		})
	}
}

func BenchmarkIdle(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		sockopt.Idle(c)
	}
}
