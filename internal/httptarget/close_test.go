package httptarget_test

import (
	"io"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// TestConnectionKeptAfterClose guards against connections that stay open, and targets that wait for more on them without
// end, as their exchange was over after the transport was closed.
func TestConnectionKeptAfterClose(t *testing.T) {
	for name, asks := range map[string]bool{"a request": false, "a question": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startTarget(t, math.MaxInt)
			answered := make(chan struct{})
			g.Go(func() {
				conn := g.arrived()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				_ = conn.SetReadDeadline(time.Now().Add(time.Second))
				if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
					t.Errorf("the target read %v, want the connection's end", err)
				}
				close(answered)
			})
			a, err := g.Send(t.Context(), g.address(), httptarget.Request{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), Asks: asks})
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadAll(a)
			g.Close()
			a.Close()
			<-answered
		})
	}
}
