package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/callerconn"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/room"
)

// overdueListener is a listener whose connections have waited for a second before their first
// read.
type overdueListener struct{ listener }

func (a overdueListener) Accept() (net.Conn, error) {
	socket, err := a.acceptor.Accept()
	if err != nil {
		return nil, err
	}
	ahead := slices.Clone(a.buffer[:socket.ReadNow(a.buffer[:])])
	account := a.server.early.Begin(len(ahead))
	raw, err := socket.Conn()
	if err != nil {
		return nil, err
	}
	return a.admit(raw, a.server.arrivals.Enqueue(clock.Now().Add(-time.Second), true), account, ahead)
}

// rejectedOnly is an observer that expects only rejections of overdue connections.
type rejectedOnly struct{ t *testing.T }

func (o rejectedOnly) RequestEnded(r forward.Request, result forward.Result, _ time.Duration) {
	if result.Reason != refusal.Overdue || result.Status != http.StatusServiceUnavailable {
		o.t.Errorf("request %q: %+v", r.ID, result)
	}
}

// newTestServer returns a server with observer o that is always short of CPU time, or never is.
func newTestServer(o Observer, short bool) *Server {
	loop := balance.NewLoop(balance.New(clock.Now(), "z", balance.Limits{}, rand.New(rand.NewPCG(1, 1))))
	d := forward.HeaderNames{RequestID: "X-Id"}
	s := New(d, forward.New(d, nil, loop, nil, logr.Discard(), nil), o, Limits{Requests: 100, Connections: 100}, memory.New(1<<30), lifecycle.New(time.Second, logr.Discard()), logr.Discard())
	s.overloaded = func() bool { return short }
	s.limitConnections(100)
	return s
}

// limitConnections makes room for n connections, before the server serves.
func (s *Server) limitConnections(n int) {
	s.room = room.New(n, s.arrivals, s.overloaded)
	s.conns = s.newConns()
}

// A caller whose connection waited too long for CPU time must get 503 with a Retry-After. It
// used to get no answer, or 400 Bad Request, after which callers do not retry.
func TestOverdueCallerGetsRetryAfter(t *testing.T) {
	const body = 9000
	for name, overdue := range map[string]bool{"has waited for too long": true, "comes after one that has": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := newTestServer(rejectedOnly{t}, true)
			g := group.New(context.Background())
			defer g.Stop()
			defer checkAccount(t, s)
			var in net.Listener = newListener(l, s)
			if overdue {
				in = overdueListener{newListener(l, s)}
			} else {
				s.arrivals.Enqueue(clock.Now().Add(-time.Second), true)
			}
			g.Go(func() { _ = s.server.Serve(in) })
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: %d\r\n\r\n%*s", body, body, "")
			if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal("no answer:", err)
			}
			defer res.Body.Close()
			if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || !res.Close {
				t.Errorf("%s, header %v", res.Status, res.Header)
			}
		})
	}
}

// leavingOnly is an observer that expects only refusals because the router shuts down.
type leavingOnly struct{ t *testing.T }

func (o leavingOnly) RequestEnded(r forward.Request, result forward.Result, _ time.Duration) {
	if result.Reason != refusal.Leaving || r.ID != "1" {
		o.t.Errorf("request %q: %+v", r.ID, result)
	}
}

// A request whose connection could not be admitted, since all connections were in use, must be answered if
// the router shuts down before there is room, whether the listener reads in advance or not. One that it had
// not read used to be refused without its id, on a connection that was then reset; one whose connection nobody had
// accepted used to get a reset.
func TestArrivedRequestIsAnsweredWhenTheListenerCloses(t *testing.T) {
	for name, c := range map[string]struct{ readsAhead, accepted bool }{
		"read in advance": {true, true}, "unread": {false, true}, "not accepted": {false, false},
	} {
		t.Run(name, func(t *testing.T) { closeListenerOfWaiting(t, c.readsAhead, c.accepted) })
	}
}

func closeListenerOfWaiting(t *testing.T, readsAhead, accepts bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newTestServer(leavingOnly{t}, readsAhead)
	s.limitConnections(1)
	s.room.Reserve()
	in := newListener(l, s)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	g := group.New(context.Background())
	defer g.Stop()
	if accepts {
		g.Go(func() {
			if accepted, err := in.Accept(); err == nil {
				t.Error("accepted")
				_ = accepted.Close()
			}
		})
	}
	// By then its connection waits for room.
	time.Sleep(50 * time.Millisecond)
	if err := in.Close(); err != nil {
		t.Fatal(err)
	}
	defer checkAccount(t, s)
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	answers := bufio.NewReader(c)
	res, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatal("no answer:", err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Error(err)
	}
	if _, err := answers.ReadByte(); !errors.Is(err, io.EOF) {
		t.Error("connection ended with", err)
	}
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("%s, header %v", res.Status, res.Header)
	}
}

// TestStopRefusesRequestBehindLastAnswer guards against a request that is closed without an answer, since the HTTP server
// had begun to read it as a planned stop began and the answer before it could not announce that.
func TestStopRefusesRequestBehindLastAnswer(t *testing.T) {
	for before, first := range map[string]string{"plain": wholeRequest, "chunks": text("X-Id: 0\r\n"+chunked, chunkedBody)} {
		for name, c := range map[string]struct{ with, later, id string }{
			"while the one before is served": {"", wholeRequest, "1"},
			"its first bytes":                {"", wholeRequest[:20], ""},
			"with the one before":            {wholeRequest, "", ""},
			"its first byte with that":       {"G", wholeRequest[1:], ""},
		} {
			if before == "chunks" {
				// Where the next one begins is not known.
				c.id, c.later, c.with = "", c.with+c.later, ""
			}
			t.Run(name+", "+before, func(t *testing.T) {
				t.Parallel()
				checkRefusalBehindLastAnswer(t, newTestServer(anyResult{}, false), first+c.with, c.later, c.id)
			})
		}
	}
}

// TestStopRefusesRequestAsConnectionTurnsIdle is the same if the HTTP server takes the connection for idle, and closes it
// in its stop, before the router knows that the answer is over.
func TestStopRefusesRequestAsConnectionTurnsIdle(t *testing.T) {
	for name, c := range map[string]struct{ with, later, id string }{
		"while the one before is served": {"", wholeRequest, "1"},
		"with the one before":            {wholeRequest, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(anyResult{}, false)
			s.server.ConnState = func(raw net.Conn, state http.ConnState) {
				if state == http.StateIdle {
					time.Sleep(100 * time.Millisecond)
				}
				callerconn.State(raw, state)
			}
			checkRefusalBehindLastAnswer(t, s, wholeRequest+c.with, c.later, c.id)
		})
	}
}

// checkRefusalBehindLastAnswer stops a server in the middle of an answer, and checks that the request which the caller
// has sent behind the first one, with it or later, is refused.
func checkRefusalBehindLastAnswer(t *testing.T, s *Server, sent, later, id string) {
	t.Helper()
	g := group.New(t.Context())
	defer g.Stop()
	serving, stopping := make(chan struct{}), make(chan struct{})
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_ = http.NewResponseController(w).Flush()
		close(serving)
		<-stopping
	})
	caller := dialServer(t, startTestServer(t, s), sent)
	answers := bufio.NewReader(caller)
	res, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatal(err)
	}
	<-serving
	_, _ = io.WriteString(caller, later)
	time.Sleep(10 * time.Millisecond)
	stopped := make(chan error, 1)
	g.GoContext(func(ctx context.Context) { stopped <- s.Shutdown(ctx) })
	time.Sleep(30 * time.Millisecond)
	close(stopping)
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	res, err = http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatal("no refusal: ", err)
	}
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("X-Id") != id || !res.Close {
		t.Errorf("%s, %q, want id %q", res.Status, res.Header, id)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if got, want := s.Ends(), (ends{lifecycle.Answered: 1, lifecycle.Refused: 1}); !maps.Equal(got, want) {
		t.Errorf("ends %v, want %v", got, want)
	}
}
