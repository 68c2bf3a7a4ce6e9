package httptarget_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// target is a target whose connections a test answers and ends itself, with the transport under test.
type target struct {
	*httptarget.Transport
	*group.Group
	listener *net.TCPListener
	// conns has the connections on which a request has arrived.
	conns chan *net.TCPConn
}

// startTarget starts a target that accepts a number of connections, and reads a request on each.
func startTarget(t *testing.T, accepts int) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := group.New(t.Context())
	t.Cleanup(g.Stop)
	t.Cleanup(func() { _ = l.Close() })
	out := &target{Transport: httptarget.New(g), Group: g, listener: l.(*net.TCPListener), conns: make(chan *net.TCPConn, 2)}
	t.Cleanup(out.Transport.Close)
	g.Go(func() {
		for range accepts {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			g.Go(func() { out.receive(raw.(*net.TCPConn)) })
		}
	})
	return out
}

// receive reads a request.
func (g *target) receive(c *net.TCPConn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		g.conns <- c
	}
}

func (g *target) address() string { return g.listener.Addr().String() }

// exchange sends a request and returns its answer, of which the target sends a text, and the target's connection.
func (g *target) exchange(t *testing.T, answer string) (*httptarget.Answer, *net.TCPConn) {
	t.Helper()
	var conn *net.TCPConn
	answered := make(chan struct{})
	g.Go(func() {
		defer close(answered)
		conn = <-g.conns
		_, _ = io.WriteString(conn, answer)
	})
	a, err := g.Send(t.Context(), g.address(), request("a", ""))
	if err != nil {
		t.Fatal(err)
	}
	<-answered
	return a, conn
}
