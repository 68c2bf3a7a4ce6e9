package httptarget_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// TestCancelledEndOfAnswer guards against requests that stay open after they were cancelled, as their target has no room
// for the connection that would tell whether its process goes on.
func TestCancelledEndOfAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := sockopt.SetBacklog(l.(*net.TCPListener), 0); err != nil {
		t.Fatal(err)
	}
	g := group.New(t.Context())
	defer g.Stop()
	transport := httptarget.New(g)
	defer transport.Close()
	answered := make(chan net.Conn, 1)
	g.Go(func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, unframedBegin)
			answered <- c
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, err := transport.Send(ctx, l.Addr().String(), request("a", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	target := <-answered
	for full := false; !full; {
		waiting, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond)
		if full = err != nil; !full {
			defer waiting.Close()
		}
	}
	_ = target.Close()
	time.AfterFunc(50*time.Millisecond, cancel)
	began := time.Now()
	if text, err := io.ReadAll(a); err == nil {
		t.Errorf("read %q as complete", text)
	}
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("the answer ended after %v, %v after it was cancelled", took, took-50*time.Millisecond)
	}
	if _, ended := transport.CheckUnused(l.Addr().String(), ""); ended {
		t.Error("the target counts as one whose process may have ended")
	}
}
