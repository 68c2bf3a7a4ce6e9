package ingress_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/ingress"
)

// BenchmarkKeptConnection measures a request on a kept connection, with its caller: one that is refused from its first
// bytes, and one that the HTTP server serves and for which there is no route.
func BenchmarkKeptConnection(b *testing.B) {
	for name, request := range map[string]string{
		"refused quickly": head("/engine/a", "k1", "r", 9, "") + "123456789",
		"served":          head("/none/a", "k2", "r", 9, "") + "123456789",
		"served, chunks": strings.Replace(head("/none/a", "k2", "r", 0, ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1) +
			"9\r\n123456789\r\n0\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			g := group.New(context.Background())
			defer g.Stop()
			c, err := net.Dial("tcp", newServer(g))
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			text, answer := []byte(request), make([]byte, 4096)
			for b.Loop() {
				if _, err := c.Write(text); err != nil {
					b.Fatal(err)
				}
				if n, err := c.Read(answer); err != nil || !bytes.Contains(answer[:n], []byte("HTTP/1.1 ")) {
					b.Fatal(string(answer[:n]), err)
				}
			}
		})
	}
}

// sameRequest is a connection on which the same request arrives a number of times.
type sameRequest struct {
	net.Conn
	text []byte
	left int
}

func (c *sameRequest) Read(b []byte) (int, error) {
	if c.left--; c.left < 0 {
		return 0, io.EOF
	}
	return copy(b, c.text), nil
}

func (*sameRequest) Write(b []byte) (int, error) { return len(b), nil }

func (*sameRequest) SetReadDeadline(time.Time) error { return nil }

// BenchmarkQuickRefusal measures a refusal from a request's first bytes without the time of sockets.
func BenchmarkQuickRefusal(b *testing.B) {
	g := group.New(context.Background())
	defer g.Stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var server *ingress.Server
	serveObserved(g, l, ignoringObserver{}, func(s *ingress.Server) { server = s })
	b.ReportAllocs()
	b.ResetTimer()
	server.ReadAll(&sameRequest{text: []byte(head("/engine/a", "k1", "r", 9, "") + "123456789"), left: b.N})
}
