package httptarget_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// TestCancelledEndOfAnswer guards against requests that stay open after they were cancelled, as their target has no room
// for the connection that would tell whether its process goes on.
func TestCancelledEndOfAnswer(t *testing.T) {
	g := startTarget(t, 1)
	if err := sockopt.SetBacklog(g.listener, 0); err != nil {
		t.Fatal(err)
	}
	answered := make(chan net.Conn, 1)
	g.Go(func() {
		c := g.arrived()
		_, _ = io.WriteString(c, unframedBegin)
		answered <- c
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, err := g.Send(ctx, g.address(), g.request())
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	target := <-answered
	for full := false; !full; {
		waiting, err := net.DialTimeout("tcp", g.address(), 50*time.Millisecond)
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
	if _, ended := g.CheckUnused(g.address(), ""); ended {
		t.Error("the target counts as one whose process may have ended")
	}
}
