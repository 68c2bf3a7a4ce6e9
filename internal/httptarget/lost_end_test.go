package httptarget_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// TestLostEndOfUnusedConnection guards against an answer without a length that looks complete although its target was
// killed, as the end of an unused connection to it is lost on the way.
func TestLostEndOfUnusedConnection(t *testing.T) {
	for name, c := range map[string]struct {
		// end ends the answer on connection ended of the target that listens on l. An unused connection stays open.
		end      func(l *net.TCPListener, ended *net.TCPConn)
		accepts  int
		complete bool
	}{
		"process runs": {complete: true, accepts: 2 + maxAsks, end: func(_ *net.TCPListener, ended *net.TCPConn) { _ = ended.Close() }},
		"is killed, the end of an unused connection is lost": {accepts: 3, end: func(l *net.TCPListener, ended *net.TCPConn) {
			_ = ended.Close()
			_ = l.Close()
		}},
		"is killed, the end of a connection made meanwhile is lost": {accepts: 3, end: func(l *net.TCPListener, ended *net.TCPConn) {
			_ = ended.Close()
			_ = l.SetDeadline(time.Now().Add(10 * time.Millisecond))
			meanwhile, err := l.Accept()
			_ = l.Close()
			if err == nil {
				time.Sleep(time.Second)
				_ = meanwhile.Close()
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startTarget(t, c.accepts)
			a, ended := g.exchange(t, unframedBegin)
			defer a.Close()
			defer ended.Close()
			other, unused := g.exchange(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n")
			defer unused.Close()
			if _, err := io.ReadAll(other); err != nil {
				t.Fatal(err)
			}
			other.Close()
			g.killed.Store(!c.complete)
			g.Go(func() { c.end(g.listener, ended) })
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
