package ingress_test

import (
	"context"
	"io"
	"maps"
	"net"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/ingress"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/refusal"
)

// resultObserver is an observer that passes on the results of the request "r".
type resultObserver chan forward.Result

func (o resultObserver) RequestEnded(r forward.Request, result forward.Result, _ time.Duration) {
	if r.ID == "r" {
		o <- result
	}
}

// TestEndOfExchangeHasItsReason guards against requests that the router ends itself and whose line blames the caller,
// or that have no line at all.
func TestEndOfExchangeHasItsReason(t *testing.T) {
	const head, event = "HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n", "f\r\nid: 1\ndata: x\n\n\r\n"
	for name, c := range map[string]struct {
		answer string
		end    func(caller, target net.Conn, s *ingress.Server)
		want   forward.Reason
		status int
		ends   lifecycle.End
	}{
		"whole":                  {head + event, func(_, target net.Conn, _ *ingress.Server) { _, _ = io.WriteString(target, "0\r\n\r\n") }, "", 200, lifecycle.Answered},
		"caller goes":            {head + event, func(caller, _ net.Conn, _ *ingress.Server) { _ = caller.Close() }, forward.ReasonCallerGone, 200, lifecycle.CallerGone},
		"target breaks off":      {head + event, func(_, target net.Conn, _ *ingress.Server) { _ = target.Close() }, forward.ReasonBroken, 200, lifecycle.TargetFailed},
		"server is closed":       {head + event, func(_, _ net.Conn, s *ingress.Server) { _ = s.Close() }, refusal.Stopped, 200, lifecycle.Cut},
		"time for stop over":     {head + event, func(_, _ net.Conn, s *ingress.Server) { shutDown(s) }, refusal.Stopped, 200, lifecycle.Cut},
		"stop before the answer": {"", func(_, _ net.Conn, s *ingress.Server) { shutDown(s) }, refusal.Stopped, 504, lifecycle.Cut},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			results := make(resultObserver, 1)
			s, address, targets := newObservedServer(t, results)
			caller, target := exchange(t, address, targets, "HTTP/1.1")
			_, _ = io.WriteString(target, c.answer)
			time.Sleep(100 * time.Millisecond)
			c.end(caller, target, s)
			select {
			case got := <-results:
				if got.Reason != c.want || got.Status != c.status {
					t.Errorf("status %d, reason %q, want %d, %q", got.Status, got.Reason, c.status, c.want)
				}
			case <-time.After(5 * time.Second):
				t.Error("no result")
			}
			if got := s.Ends(); !maps.Equal(got, map[lifecycle.End]int64{c.ends: 1}) {
				t.Errorf("ends %v, want %q", got, c.ends)
			}
		})
	}
}

// shutDown shuts a server down whose time is over soon.
func shutDown(s *ingress.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_ = s.Shutdown(ctx)
}

// TestEndWithinBodyHasItsReason guards against requests whose caller goes, or that the router ends, before their body has
// arrived, and whose line says that they were improper and refused.
func TestEndWithinBodyHasItsReason(t *testing.T) {
	const length, chunks = "Content-Length: 5\r\n\r\nhe", "Transfer-Encoding: chunked\r\n\r\n5\r\nhe"
	for name, c := range map[string]struct {
		body string
		end  func(caller *net.TCPConn, s *ingress.Server)
		want forward.Reason
		ends lifecycle.End
	}{
		"caller goes":              {length, func(caller *net.TCPConn, _ *ingress.Server) { _ = caller.Close() }, forward.ReasonCallerGone, lifecycle.CallerGone},
		"caller goes, chunks":      {chunks, func(caller *net.TCPConn, _ *ingress.Server) { _ = caller.Close() }, forward.ReasonCallerGone, lifecycle.CallerGone},
		"caller resets":            {length, func(caller *net.TCPConn, _ *ingress.Server) { _ = caller.SetLinger(0); _ = caller.Close() }, forward.ReasonCallerGone, lifecycle.CallerGone},
		"no chunk":                 {chunks, func(caller *net.TCPConn, _ *ingress.Server) { _, _ = io.WriteString(caller, "hello\r\n") }, refusal.BadRequest, lifecycle.Refused},
		"server is closed":         {length, func(_ *net.TCPConn, s *ingress.Server) { _ = s.Close() }, refusal.Stopped, lifecycle.Cut},
		"time for stop over":       {length, func(_ *net.TCPConn, s *ingress.Server) { shutDown(s) }, refusal.Stopped, lifecycle.Cut},
		"server is closed, chunks": {chunks, func(_ *net.TCPConn, s *ingress.Server) { _ = s.Close() }, refusal.Stopped, lifecycle.Cut},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			results := make(resultObserver, 1)
			s, address, _ := newObservedServer(t, results)
			caller, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			_, _ = io.WriteString(caller, "POST /x HTTP/1.1\r\nHost: h\r\nX-Id: r\r\n"+c.body)
			time.Sleep(100 * time.Millisecond)
			c.end(caller.(*net.TCPConn), s)
			select {
			case got := <-results:
				if got.Reason != c.want {
					t.Errorf("reason %q, want %q", got.Reason, c.want)
				}
			case <-time.After(5 * time.Second):
				t.Error("no result")
			}
			if got := s.Ends(); !maps.Equal(got, map[lifecycle.End]int64{c.ends: 1}) {
				t.Errorf("ends %v, want %q", got, c.ends)
			}
		})
	}
}
