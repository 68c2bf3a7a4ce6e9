package httptarget_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestWitnessOnLaterConnection guards against a cut answer that looks complete since the next process answers in the place
// of its own, on a connection made after the end that counts as an earlier one.
func TestWitnessOnLaterConnection(t *testing.T) {
	const (
		// unread is how long the end of the answer is not read, and imprecision that of the kernel's times.
		unread, imprecision = 300 * time.Millisecond, 10 * time.Millisecond
	)
	closeWrite := func(c *net.TCPConn) { _ = c.CloseWrite() }
	for name, c := range map[string]struct {
		body string
		// end ends the answer, and after is what the target does with the connection then.
		end, after func(c *net.TCPConn)
	}{
		"closed":             {end: func(c *net.TCPConn) { _ = c.Close() }},
		"closed, then reset": {end: closeWrite, after: func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }},
		"closed, the body is read on": {body: strings.Repeat("b", beyondBuffers), end: closeWrite, after: func(c *net.TCPConn) {
			_ = c.SetReadDeadline(time.Now().Add(2 * unread))
			for buffer := make([]byte, 64<<10); ; time.Sleep(5 * time.Millisecond) {
				if _, err := c.Read(buffer); err != nil {
					return
				}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startTarget(t, 1)
			var mu sync.Mutex
			var endedAt, before time.Time
			g.Go(func() {
				conn := g.arrived()
				_, _ = io.WriteString(conn, unframedBegin)
				time.Sleep(20 * time.Millisecond)
				c.end(conn)
				mu.Lock()
				endedAt = time.Now()
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				if c.after != nil {
					c.after(conn)
				}
			})
			r := request("a", c.body)
			r.Witness = func(_ context.Context, at time.Time) error {
				mu.Lock()
				defer mu.Unlock()
				before = at
				return nil
			}
			a, err := g.Send(t.Context(), g.address(), r)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			time.Sleep(unread)
			if text, err := io.ReadAll(a); err != nil || string(text) != "begin" {
				t.Errorf("read %q, %v", text, err)
			}
			mu.Lock()
			defer mu.Unlock()
			if late := before.Sub(endedAt); before.IsZero() || late > imprecision {
				t.Errorf("connections made until %v after the end count as earlier ones", late)
			}
		})
	}
}
