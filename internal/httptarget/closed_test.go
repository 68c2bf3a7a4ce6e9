package httptarget_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// TestConnectionOfClosedTransport guards against connections that stay open for good, and targets that wait for them, as
// the exchange on them ends after the transport was closed.
func TestConnectionOfClosedTransport(t *testing.T) {
	for name, asks := range map[string]bool{"request": false, "question": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			g := group.New(t.Context())
			defer g.Stop()
			transport := httptarget.New(g)
			conns := make(chan net.Conn, 1)
			g.Go(func() {
				defer close(conns)
				c, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					transport.Close()
					_, _ = io.WriteString(c, okAnswer("a", "done"))
				}
				conns <- c
			})
			r := request("a", "")
			r.Asks = asks
			a, err := transport.Send(t.Context(), l.Addr().String(), r)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadAll(a)
			a.Close()
			c := <-conns
			defer c.Close()
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("the connection is still open: %v", err)
			}
		})
	}
}
