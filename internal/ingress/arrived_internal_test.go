package ingress

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

// TestArrivedRequestIsAccountedFor guards against requests that the listener has read and that no account would miss if they
// were dropped before the HTTP server gets their connections.
func TestArrivedRequestIsAccountedFor(t *testing.T) {
	for name, end := range map[string]struct {
		leaves func(s *Server)
		want   ends
	}{
		"it is served":  {func(*Server) {}, ends{lifecycle.Answered: 2}},
		"it is refused": {func(s *Server) { s.room.Close() }, ends{lifecycle.Answered: 1, lifecycle.Refused: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(anyResult{}, true)
			s.limitConnections(1)
			serving, release := make(chan struct{}, 2), make(chan struct{})
			s.server.Handler = s.accounted(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				serving <- struct{}{}
				<-release
			}))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			// Both requests have arrived before their connections are accepted.
			dialServer(t, l.Addr(), wholeRequest)
			c := dialServer(t, l.Addr(), wholeRequest)
			time.Sleep(20 * time.Millisecond)
			g := group.New(t.Context())
			defer g.Stop()
			defer checkAccount(t, s)
			g.Go(func() { _ = s.Serve(l) })
			<-serving
			for until := time.Now().Add(5 * time.Second); s.requests.Sums(clock.Now()).Open < 2; time.Sleep(time.Millisecond) {
				if time.Now().After(until) {
					t.Fatalf("the request waits for room and has no account: %+v", s.requests.Sums(clock.Now()))
				}
			}
			end.leaves(s)
			close(release)
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = res.Body.Close()
			for until := time.Now().Add(5 * time.Second); s.requests.Sums(clock.Now()).Open > 0 && time.Now().Before(until); {
				time.Sleep(time.Millisecond)
			}
			if sums := s.requests.Sums(clock.Now()); sums.Read != 2 || sums.Ends[lifecycle.Answered] != end.want[lifecycle.Answered] {
				t.Errorf("%+v, want %v", sums, end.want)
			}
		})
	}
}
