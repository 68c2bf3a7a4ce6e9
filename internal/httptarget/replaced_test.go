package httptarget_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// TestBrokenAnswerOfReplacedTarget guards against an answer without a length that looks complete although its target was
// killed, as another process listens at its address at once.
func TestBrokenAnswerOfReplacedTarget(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := group.New(t.Context())
	defer g.Stop()
	transport := httptarget.New(g)
	defer transport.Close()
	conns := make(chan *net.TCPConn, 2)
	g.Go(func() {
		for range cap(conns) {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(raw)); err == nil {
				conns <- raw.(*net.TCPConn)
			}
		}
	})
	send := func(answer string) (*httptarget.Answer, *net.TCPConn) {
		t.Helper()
		var target *net.TCPConn
		answered := make(chan struct{})
		g.Go(func() {
			defer close(answered)
			target = <-conns
			_, _ = io.WriteString(target, answer)
		})
		a, err := transport.Send(t.Context(), l.Addr().String(), request("a", ""))
		if err != nil {
			t.Fatal(err)
		}
		<-answered
		return a, target
	}
	a, ended := send(unframedBegin)
	defer a.Close()
	other, unused := send("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n")
	if _, err := io.ReadAll(other); err != nil {
		t.Fatal(err)
	}
	other.Close()
	address := l.Addr().String()
	_ = ended.Close()
	_ = unused.Close()
	_ = l.Close()
	time.Sleep(5 * time.Millisecond)
	next, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	if text, err := io.ReadAll(a); err == nil {
		t.Errorf("read %q as complete", text)
	}
}
