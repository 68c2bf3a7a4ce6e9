package sockopt_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// pair returns the two ends of a TCP connection.
func pair(t *testing.T) (a, b net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	b, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		a.Close()
		b.Close()
	})
	return a, b
}

// eventually waits until ok returns true, and fails the test with the message what otherwise.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(what)
}

func TestIdle(t *testing.T) {
	cases := map[string]func(other net.Conn) error{
		"unread input": func(other net.Conn) error {
			_, err := other.Write([]byte("x"))
			return err
		},
		"closed by the remote side": func(other net.Conn) error { return other.Close() },
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			a, b := pair(t)
			if !sockopt.Idle(a) {
				t.Fatal("Idle is false for a new connection")
			}
			if err := act(b); err != nil {
				t.Fatal(err)
			}
			eventually(t, "Idle is still true", func() bool { return !sockopt.Idle(a) })
		})
	}
}

func TestHasInput(t *testing.T) {
	a, b := pair(t)
	if sockopt.HasInput(a) {
		t.Error("a new connection has input")
	}
	if _, err := b.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "input did not arrive", func() bool { return sockopt.HasInput(a) })
	if _, err := a.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	b.Close()
	eventually(t, "the end did not arrive", func() bool { return sockopt.RemoteClosed(a) })
	if sockopt.HasInput(a) {
		t.Error("the end of input is input")
	}
}

func TestIdleWithBlockedReader(t *testing.T) {
	a, b := pair(t)
	var wait sync.WaitGroup
	wait.Go(func() { _, _ = a.Read(make([]byte, 1)) })
	time.Sleep(20 * time.Millisecond)
	if !sockopt.Idle(a) {
		t.Error("Idle is false for a connection with a blocked reader")
	}
	if err := b.Close(); err != nil {
		t.Error(err)
	}
	wait.Wait()
}

func TestRemoteClosed(t *testing.T) {
	a, b := pair(t)
	if sockopt.RemoteClosed(b) {
		t.Error("RemoteClosed is true for an open connection")
	}
	if _, err := a.Write([]byte("xy")); err != nil {
		t.Fatal(err)
	}
	a.Close()
	one := make([]byte, 1)
	if _, err := b.Read(one); err != nil {
		t.Fatal(err)
	}
	if sockopt.RemoteClosed(b) {
		t.Error("RemoteClosed is true for a connection with an unread byte")
	}
	if _, err := b.Read(one); err != nil {
		t.Fatal(err)
	}
	eventually(t, "RemoteClosed is still false after the remote side closed the connection", func() bool { return sockopt.RemoteClosed(b) })
}

func TestClosed(t *testing.T) {
	a, b := pair(t)
	if err := b.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "end of input did not arrive", func() bool { return sockopt.RemoteClosed(a) })
	if sockopt.Closed(a) {
		t.Error("Closed is true for a connection that is closed in one direction")
	}
	if err := b.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	b.Close()
	eventually(t, "Closed is still false after a reset", func() bool { return sockopt.Closed(a) })
}

func TestRemoteClosedFor(t *testing.T) {
	const wait, margin = 50 * time.Millisecond, 20 * time.Millisecond
	for name, c := range map[string]struct {
		end    func(a, b net.Conn)
		closed bool
	}{
		"open":                      {end: func(_, _ net.Conn) {}},
		"closed":                    {closed: true, end: func(_, b net.Conn) { _ = b.Close() }},
		"closed behind unread text": {closed: true, end: func(_, b net.Conn) { _, _ = io.WriteString(b, "text"); _ = b.Close() }},
		"reset":                     {end: func(_, b net.Conn) { _ = b.(*net.TCPConn).SetLinger(0); _ = b.Close() }},
		"closed here":               {end: func(a, b net.Conn) { _ = b.Close(); _ = a.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := pair(t)
			time.Sleep(wait)
			began := time.Now()
			c.end(a, b)
			ended := time.Since(began)
			time.Sleep(wait)
			ago, closed := sockopt.RemoteClosedFor(a)
			since := time.Since(began)
			if closed != c.closed || closed && (ago < since-ended-margin || ago > since+margin) {
				t.Errorf("closed %v ago: %v; want %v, between %v and %v", ago, closed, c.closed, since-ended, since)
			}
		})
	}
}

func TestReceived(t *testing.T) {
	a, b := pair(t)
	if _, err := a.Write([]byte("xy")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "bytes did not arrive", func() bool { n, ended := sockopt.Received(b); return n == 2 && !ended })
	if _, err := b.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if n, ended := sockopt.Received(b); n != 2 || ended {
		t.Errorf("with an unread byte: %d, %v", n, ended)
	}
	a.Close()
	eventually(t, "the end behind an unread byte is not told", func() bool { _, ended := sockopt.Received(b); return ended })
	b.Close()
	if _, ended := sockopt.Received(b); !ended {
		t.Error("a closed connection has not ended")
	}
}

// TestUnacknowledged guards against a caller that reads slowly being taken for one that has stopped
// reading: what its host has not received must go down as it reads.
func TestUnacknowledged(t *testing.T) {
	l, _ := listening(t)
	remote := arrive(t, l)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	block := make([]byte, 1<<20)
	written := 0
	for full := false; !full; {
		if written >= 64*len(block) {
			t.Fatal("the kernel has taken up 64 MB, so all may be acknowledged")
		}
		if err := c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		n, err := c.Write(block)
		written += n
		// The deadline may be over before anything is written.
		full = err != nil && n == 0 && written > 0
	}
	before := sockopt.Unacknowledged(c)
	if before <= 0 || before > written {
		t.Errorf("%d of %d bytes are not acknowledged", before, written)
	}
	if _, err := io.CopyN(io.Discard, remote, int64(written)); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); sockopt.Unacknowledged(c) != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are not acknowledged, all were read", sockopt.Unacknowledged(c))
		}
	}
	if n := sockopt.Unacknowledged(nil); n != 0 {
		t.Errorf("%d for a connection that is not TCP", n)
	}
}
