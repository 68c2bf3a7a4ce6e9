package ingress

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/callerconn"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

// Ends waits until no request is in progress, and returns the number of requests by their ends.
func (s *Server) Ends() map[lifecycle.End]int64 {
	for end := time.Now().Add(5 * time.Second); s.requests.Sums(clock.Now()).Open > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return s.requests.Sums(clock.Now()).Ends
}

// CheckAccount returns an error unless each request that was read, and each one that was served, has one end. The
// server must be closed.
func (s *Server) CheckAccount() error {
	s.Ends()
	sums := s.requests.Sums(clock.Now())
	switch {
	case sums.Open > 0:
		return errors.Errorf("%d requests still in progress", sums.Open)
	case sums.Read < s.TotalRequests():
		return errors.Errorf("%d requests served, %d read", s.TotalRequests(), sums.Read)
	}
	return sums.Check()
}

// checkAccount closes a server and checks its account.
func checkAccount(t *testing.T, s *Server) {
	t.Helper()
	_ = s.Close()
	if err := s.CheckAccount(); err != nil {
		t.Error("account of requests: ", err)
	}
}

// ownAccount is a handler that keeps account of its requests itself.
type ownAccount struct{ http.Handler }

// accounted returns a handler that keeps account of the requests that h serves, as ServeHTTP does.
func (s *Server) accounted(h http.Handler) http.Handler {
	if _, ok := h.(ownAccount); ok || h == http.Handler(s) {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.started.Add(1)
		callerconn.Of(r.Context()).NoteServing()
		defer callerconn.Of(r.Context()).Account().Decide(clock.Now(), r.Header.Get("X-Id"), lifecycle.Answered)
		h.ServeHTTP(w, r)
	})
}

// ReadAll reads from a connection to its end, as the HTTP server does, which gets no request that is refused quickly.
func (s *Server) ReadAll(raw net.Conn) {
	c := s.conns.Open(raw, s.room.Accept(), nil, nil)
	_, _ = io.Copy(io.Discard, struct{ io.Reader }{c})
}
