package httptarget_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// TestProcessExited calls ProcessExited many times at once, as happens when a target breaks
// off all its requests.
func TestProcessExited(t *testing.T) {
	g := group.New(t.Context())
	defer g.Stop()
	running := httptest.NewServer(http.NotFoundHandler())
	defer running.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for address, want := range map[string]bool{running.Listener.Addr().String(): false, closed: true} {
		transport := httptarget.New(g)
		var wait sync.WaitGroup
		for range 20 {
			wait.Go(func() {
				if got := transport.ProcessExited(t.Context(), address, "t"); got != want {
					t.Errorf("%s exited: %v, want %v", address, got, want)
				}
			})
		}
		wait.Wait()
		transport.Close()
	}
}

// TestProbeConnectionIsReused checks that the next request reuses the connection of a probe.
func TestProbeConnectionIsReused(t *testing.T) {
	g := group.New(t.Context())
	defer g.Stop()
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	transport := httptarget.New(g)
	defer transport.Close()
	address := server.Listener.Addr().String()
	if transport.ProcessExited(t.Context(), address, "t") {
		t.Fatal("a running target was reported as exited")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	a, err := transport.Send(ctx, address, httptarget.Request{
		Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), Instance: "t",
	})
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	if s := transport.Stats(); s.Dialled != 1 || s.Reused != 1 {
		t.Errorf("%+v, want one connection, used twice", s)
	}
}

// TestConnectionRefused checks that a refused connection differs from other failures to connect.
func TestConnectionRefused(t *testing.T) {
	g := group.New(t.Context())
	defer g.Stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	_, err = httptarget.New(g).Send(t.Context(), address, httptarget.Request{Method: http.MethodGet})
	if !errors.Is(err, httptarget.ErrConnectionRefused) || !errors.Is(err, httptarget.ErrNotSent) {
		t.Errorf("refused: %v", err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = httptarget.New(g).Send(cancelled, address, httptarget.Request{Method: http.MethodGet})
	if errors.Is(err, httptarget.ErrConnectionRefused) || !errors.Is(err, httptarget.ErrNotSent) {
		t.Errorf("cancelled: %v", err)
	}
}
