package httptarget_test

import (
	"io"
	"math"
	"net"
	"testing"
	"time"
)

// TestConnectedAfterEnd guards against connections that may have been accepted by the next process of a target and count
// as those to the earlier one, as the end of its connections was not read yet.
func TestConnectedAfterEnd(t *testing.T) {
	const (
		empty = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n"
		part  = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\npart"
	)
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }
	closed := func(c *net.TCPConn) { _ = c.Close() }
	for name, c := range map[string]struct {
		// answer is that on the other connection, and end what becomes of it, nil for nothing.
		answer string
		end    func(*net.TCPConn)
		want   bool
	}{
		"it goes on":                 {answer: part},
		"it ended unused":            {answer: empty, end: closed, want: true},
		"it was reset unused":        {answer: empty, end: reset, want: true},
		"it ended within its answer": {answer: part, end: closed, want: true},
		"it was reset in its answer": {answer: part, end: reset, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startTarget(t, math.MaxInt)
			a, conn := g.exchange(t, c.answer)
			defer conn.Close()
			if c.answer == empty {
				_, _ = io.ReadAll(a)
				a.Close()
			} else {
				defer a.Close()
			}
			if c.end != nil {
				c.end(conn)
				time.Sleep(50 * time.Millisecond)
			}
			next, other := g.exchange(t, part)
			defer next.Close()
			defer other.Close()
			if got := next.ConnectedAfterEnd(); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
