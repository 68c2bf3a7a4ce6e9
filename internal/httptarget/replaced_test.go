package httptarget_test

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestBrokenAnswerOfReplacedTarget guards against an answer without a length that looks complete although its target was
// killed, as another process listens at its address at once.
func TestBrokenAnswerOfReplacedTarget(t *testing.T) {
	g := startTarget(t, 3)
	a, ended := g.exchange(t, unframedBegin)
	defer a.Close()
	other, unused := g.exchange(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n")
	if _, err := io.ReadAll(other); err != nil {
		t.Fatal(err)
	}
	other.Close()
	_ = ended.Close()
	_ = unused.Close()
	_ = g.listener.Close()
	time.Sleep(5 * time.Millisecond)
	next, err := net.Listen("tcp", g.address())
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	if text, err := io.ReadAll(a); err == nil {
		t.Errorf("read %q as complete", text)
	}
}
