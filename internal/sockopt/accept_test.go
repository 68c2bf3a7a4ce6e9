package sockopt_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// listening returns a listener and an acceptor for it, and closes both when the test ends.
func listening(t *testing.T) (*net.TCPListener, *sockopt.Acceptor) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	a, err := sockopt.NewAcceptor(l.(*net.TCPListener))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.Close() })
	return l.(*net.TCPListener), a
}

// arrive connects to a listener, sends a byte and returns the connection.
func arrive(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, "a"); err != nil {
		t.Fatal(err)
	}
	return c
}

func TestSocketIsAnsweredAndClosed(t *testing.T) {
	l, a := listening(t)
	c := arrive(t, l)
	s, err := a.Accept()
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "nothing read", func() bool { return s.ReadNow(make([]byte, 8)) == 1 })
	if n := s.ReadNow(make([]byte, 8)); n != 0 {
		t.Errorf("second ReadNow returned %d bytes, want 0", n)
	}
	if _, err := io.WriteString(s, "answer"); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(c); string(got) != "answer" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}

func TestSocketBecomesConn(t *testing.T) {
	l, a := listening(t)
	c := arrive(t, l)
	s, err := a.Accept()
	if err != nil {
		t.Fatal(err)
	}
	served, err := s.Conn()
	if err != nil {
		t.Fatal(err)
	}
	defer served.Close()
	if _, ok := served.(*net.TCPConn); !ok {
		t.Errorf("got a %T, want a *net.TCPConn", served)
	}
	if _, err := io.WriteString(served, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Error(err)
	}
}

func TestAcceptorBesideItsListener(t *testing.T) {
	l, a := listening(t)
	arrive(t, l)
	if _, err := l.Accept(); err != nil {
		t.Error(err)
	}
	arrive(t, l)
	if _, err := a.Accept(); err != nil {
		t.Error(err)
	}
}

func TestClosingEndsAccept(t *testing.T) {
	_, a := listening(t)
	var wait sync.WaitGroup
	var failed error
	wait.Go(func() { _, failed = a.Accept() })
	if err := a.Close(); err != nil {
		t.Fatal(err)
	}
	wait.Wait()
	if failed == nil {
		t.Error("accepted")
	}
}

func TestBacklogLimitsPendingConnections(t *testing.T) {
	l, _ := listening(t)
	if err := sockopt.SetBacklog(l, 1); err != nil {
		t.Fatal(err)
	}
	const callers = 8
	connected := 0
	for range callers {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err != nil {
			continue
		}
		defer c.Close()
		connected++
	}
	if connected == 0 || connected == callers {
		t.Errorf("%d of %d callers connected, want some but not all", connected, callers)
	}
}

func TestAcceptQueue(t *testing.T) {
	l, _ := listening(t)
	const limit, callers = 5, 3
	if err := sockopt.SetBacklog(l, limit); err != nil {
		t.Fatal(err)
	}
	for range callers {
		arrive(t, l)
	}
	eventually(t, "queue is not as long as callers have connected", func() bool {
		queued, got, err := sockopt.AcceptQueue(l)
		return err == nil && queued == callers && got == limit
	})
}
