package httptarget_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// TestProcessExited calls ProcessExited many times at once, as happens when a target breaks
// off all its requests.
func TestProcessExited(t *testing.T) {
	g := group.New(t.Context())
	defer g.Stop()
	running := httptest.NewServer(http.NotFoundHandler())
	defer running.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for address, want := range map[string]bool{running.Listener.Addr().String(): false, closed: true} {
		transport := httptarget.New(g)
		var wait sync.WaitGroup
		for range 20 {
			wait.Go(func() {
				at, got := transport.ProcessExited(t.Context(), address, "t")
				if got != want || at.IsZero() == want {
					t.Errorf("%s exited: %v at %v, want %v", address, got, at, want)
				}
			})
		}
		wait.Wait()
		transport.Close()
	}
}

// TestProbeConnectionIsReused checks that the next request reuses the connection of a probe.
func TestProbeConnectionIsReused(t *testing.T) {
	g := group.New(t.Context())
	defer g.Stop()
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	transport := httptarget.New(g)
	defer transport.Close()
	address := server.Listener.Addr().String()
	if _, exited := transport.ProcessExited(t.Context(), address, "t"); exited {
		t.Fatal("a running target was reported as exited")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	a, err := transport.Send(ctx, address, httptarget.Request{
		Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), Instance: "t",
	})
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	if s := transport.Stats(); s.Dialled != 1 || s.Reused != 1 {
		t.Errorf("%+v, want one connection, used twice", s)
	}
}

// TestConnectionRefused checks that a refused connection differs from other failures to connect.
func TestConnectionRefused(t *testing.T) {
	g := group.New(t.Context())
	defer g.Stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	_, err = httptarget.New(g).Send(t.Context(), address, httptarget.Request{Method: http.MethodGet})
	if !errors.Is(err, httptarget.ErrConnectionRefused) || !errors.Is(err, httptarget.ErrNotSent) {
		t.Errorf("refused: %v", err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = httptarget.New(g).Send(cancelled, address, httptarget.Request{Method: http.MethodGet})
	if errors.Is(err, httptarget.ErrConnectionRefused) || !errors.Is(err, httptarget.ErrNotSent) {
		t.Errorf("cancelled: %v", err)
	}
}

// maxAsks is how often a target is asked whether it goes on.
const maxAsks = 3

// unframedBegin is the begin of an answer that ends with its connection.
const unframedBegin = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nbegin"

// endWithFullQueue returns a function that ends an answer while attempts to connect to its target time out. The target
// exits some time later.
func endWithFullQueue(later time.Duration) func(*net.TCPListener, *net.TCPConn) {
	return func(l *net.TCPListener, c *net.TCPConn) {
		_ = sockopt.SetBacklog(l, 0)
		// A connection that this router has made in advance may fill the queue instead.
		if waiting, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond); err == nil {
			defer waiting.Close()
		}
		_ = c.Close()
		time.Sleep(later)
		_ = l.Close()
	}
}

// TestEndOfUnframedAnswer guards against an answer without a length that looks complete although its target's
// process has exited, whose kernel closes its connections like those of a complete answer, and against taking a
// running target for one that has exited.
func TestEndOfUnframedAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		// end ends the answer on connection c of the target that listens on l, which accepts that one and
		// further connections.
		end      func(l *net.TCPListener, c *net.TCPConn)
		further  int
		complete bool
	}{
		"process runs": {complete: true, further: maxAsks, end: func(_ *net.TCPListener, c *net.TCPConn) { _ = c.Close() }},
		"process takes no new connections, and answers on one made before": {complete: true, further: maxAsks, end: func(l *net.TCPListener, c *net.TCPConn) {
			time.Sleep(50 * time.Millisecond)
			_ = l.Close()
			_ = c.Close()
		}},
		"process accepts and is silent": {end: func(_ *net.TCPListener, c *net.TCPConn) { _ = c.Close() }},
		"process exits":                 {end: func(l *net.TCPListener, c *net.TCPConn) { _ = l.Close(); _ = c.Close() }},
		"process exits, the listening socket last": {end: func(l *net.TCPListener, c *net.TCPConn) {
			_ = c.Close()
			if other, err := l.Accept(); err == nil {
				_ = other.Close()
			}
			_ = l.Close()
		}},
		"process resets": {end: func(_ *net.TCPListener, c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
		"process resets other connections": {end: func(l *net.TCPListener, c *net.TCPConn) {
			_ = c.Close()
			for {
				other, err := l.AcceptTCP()
				if err != nil {
					return
				}
				_ = other.SetLinger(0)
				_ = other.Close()
			}
		}},
		"process accepts no other connections":             {end: endWithFullQueue(1500 * time.Millisecond)},
		"process accepts no other connections, then exits": {end: endWithFullQueue(150 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startTarget(t, 1+c.further)
			g.Go(func() {
				c2 := g.arrived()
				_, _ = io.WriteString(c2, unframedBegin)
				c.end(g.listener, c2)
			})
			a, err := g.Send(t.Context(), g.address(), g.request())
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			began := time.Now()
			text, err := io.ReadAll(a)
			if c.complete != (err == nil) || string(text) != "begin" {
				t.Errorf("read %q, %v; complete: want %v", text, err, c.complete)
			}
			if err != nil && !errors.Is(err, httptarget.ErrBroken) {
				t.Errorf("%v, want ErrBroken", err)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("its end took %v to be told", took)
			}
		})
	}
}

// TestResetWhileBodyIsWritten guards against an answer without a length that looks complete although its connection
// was reset: if the write of a long body fails first, the kernel reports the reset to it alone, and an end of
// input to the reader.
func TestResetWhileBodyIsWritten(t *testing.T) {
	for name, c := range map[string]struct {
		end      func(c *net.TCPConn)
		complete bool
	}{
		"reset":  {end: func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
		"closed": {complete: true, end: func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c); _ = c.Close() }},
		"closed, then reset": {complete: true, end: func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = c.SetLinger(0)
			_ = c.Close()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			g := group.New(t.Context())
			defer g.Stop()
			defer l.Close()
			g.Go(func() {
				for {
					raw, err := l.Accept()
					if err != nil {
						return
					}
					g.Go(func() {
						buffer := make([]byte, 1)
						if n, _ := raw.Read(buffer); n == 0 {
							return
						}
						_, _ = io.WriteString(raw, unframedBegin)
						time.Sleep(50 * time.Millisecond)
						c.end(raw.(*net.TCPConn))
					})
				}
			})
			transport := httptarget.New(g)
			defer transport.Close()
			long := request("a", strings.Repeat("b", beyondBuffers))
			long.Witness = func(context.Context, time.Time) error { return nil }
			a, err := transport.Send(t.Context(), l.Addr().String(), long)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			// The writer learns of the reset first.
			time.Sleep(100 * time.Millisecond)
			text, err := io.ReadAll(a)
			if c.complete != (err == nil) || string(text) != "begin" {
				t.Errorf("read %q, %v; complete: want %v", text, err, c.complete)
			}
		})
	}
}
