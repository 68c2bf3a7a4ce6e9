package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/callerconn"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/room"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// anyResult is an observer that ignores all results.
type anyResult struct{}

func (anyResult) RequestEnded(forward.Request, forward.Result, time.Duration) {}

const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n"

// startTestServer serves a new listener until the test ends, and checks the account of its requests then.
func startTestServer(t *testing.T, s *Server) net.Addr {
	t.Helper()
	// Callers of other tests may still dial ports of 127.0.0.1 that are free again.
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	g := group.New(context.Background())
	s.server.Handler = s.accounted(s.server.Handler)
	t.Cleanup(func() {
		checkAccount(t, s)
		g.Stop()
	})
	g.Go(func() { _ = s.Serve(l) })
	return l.Addr()
}

// dialServer connects to a server and sends text.
func dialServer(t *testing.T, a net.Addr, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", a.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, text)
	return c
}

// Connections that this process closes with a request that has no answer are counted, and no others are.
func TestClosedUnansweredAreCounted(t *testing.T) {
	for name, c := range map[string]struct {
		sent string
		end  func(s *Server, caller net.Conn)
		want map[string]int64
		ends map[lifecycle.End]int64
	}{
		"nothing was sent": {"", func(s *Server, _ net.Conn) { _ = s.Close() }, nil, nil},
		"its request was answered": {wholeRequest, func(s *Server, caller net.Conn) {
			_, _ = io.ReadFull(caller, make([]byte, 16))
			_ = s.Close()
		}, nil, ends{lifecycle.Answered: 1}},
		"the caller closed it within a request": {wholeRequest[:20], func(_ *Server, caller net.Conn) { _ = caller.Close() }, nil, ends{lifecycle.CallerGone: 1}},
		"the server is closed within a request": {
			wholeRequest[:20], func(s *Server, _ net.Conn) { _ = s.Close() },
			map[string]int64{callerconn.Stopping: 1},
			ends{lifecycle.Unanswered: 1},
		},
		"the rest does not come": {
			"GET / HTTP/1.1\r\n", func(*Server, net.Conn) { time.Sleep(300 * time.Millisecond) },
			map[string]int64{callerconn.Timeout: 1},
			ends{lifecycle.Incomplete: 1},
		},
		"its answer is aborted": {
			strings.Replace(wholeRequest, "GET", "DELETE", 1), func(*Server, net.Conn) {},
			map[string]int64{callerconn.Aborted: 1},
			ends{lifecycle.Unanswered: 1},
		},
		"the server stops after the first byte of a request": {
			wholeRequest + "G", func(s *Server, _ net.Conn) { s.room.End() },
			nil,
			ends{lifecycle.Answered: 1, lifecycle.Refused: 1},
		},
		"the server stops after the first bytes of a request": {
			wholeRequest + wholeRequest[:20], func(s *Server, _ net.Conn) { s.room.End() },
			nil,
			ends{lifecycle.Answered: 1, lifecycle.Refused: 1},
		},
		"the server is closed after the first byte of a request": {
			wholeRequest + "G", func(s *Server, _ net.Conn) { _ = s.Close() },
			map[string]int64{callerconn.Stopping: 1},
			ends{lifecycle.Answered: 1, lifecycle.Unanswered: 1},
		},
		"the server is closed after the first bytes of a request": {
			wholeRequest + wholeRequest[:20], func(s *Server, _ net.Conn) { _ = s.Close() },
			map[string]int64{callerconn.Stopping: 1},
			ends{lifecycle.Answered: 1, lifecycle.Unanswered: 1},
		},
		"the rest of a second request does not come": {
			wholeRequest + "GET / HTTP/1.1\r\n", func(*Server, net.Conn) { time.Sleep(300 * time.Millisecond) },
			map[string]int64{callerconn.Timeout: 1},
			ends{lifecycle.Answered: 1, lifecycle.Incomplete: 1},
		},
		"the server stops after the first byte behind chunks": {
			strings.Replace(text(chunked, chunkedBody), "POST", "PATCH", 1), func(s *Server, caller net.Conn) {
				fmt.Fprint(caller, "G")
				time.Sleep(60 * time.Millisecond)
				s.room.End()
			},
			nil,
			ends{lifecycle.Answered: 1, lifecycle.Refused: 1},
		},
		"the caller closed it after the first byte of a request": {
			wholeRequest + "G", func(_ *Server, caller net.Conn) { _ = caller.(*net.TCPConn).CloseWrite() },
			nil,
			ends{lifecycle.Answered: 1, lifecycle.CallerGone: 1},
		},
		"another one is behind the last": {
			strings.Replace(wholeRequest, "GET", "PUT", 1) + wholeRequest, waitEnd,
			map[string]int64{callerconn.Behind: 1},
			ends{lifecycle.Answered: 1, lifecycle.Unanswered: 1},
		},
		"another one is behind an aborted one": {
			strings.Replace(wholeRequest, "GET", "DELETE", 1) + wholeRequest, waitEnd,
			map[string]int64{callerconn.Aborted: 1, callerconn.Behind: 1},
			ends{lifecycle.Unanswered: 2},
		},
		"no HTTP":                     {"hello\r\n\r\n", waitEnd, nil, ends{lifecycle.Incomplete: 1}},
		"no HTTP after a request":     {wholeRequest + "hello\r\n\r\n", waitEnd, nil, ends{lifecycle.Answered: 1, lifecycle.Incomplete: 1}},
		"no HTTP after chunks":        {text(chunked, chunkedBody) + "hello\r\n\r\n", waitEnd, nil, ends{lifecycle.Answered: 1, lifecycle.Incomplete: 1}},
		"an expectation that is none": {text("Expect: x\r\nContent-Length: 1\r\n", "x"), waitEnd, nil, ends{lifecycle.Incomplete: 1}},
		"asks before its body":        {text("Expect: 100-continue\r\nContent-Length: 1\r\n", ""), waitEnd, nil, ends{lifecycle.Answered: 1}},
		"three requests at once":      {wholeRequest + text(chunked, chunkedBody) + wholeRequest, waitEnd, nil, ends{lifecycle.Answered: 3}},
		"HTTP/1.0":                    {"GET / HTTP/1.0\r\n\r\n", waitEnd, nil, ends{lifecycle.Answered: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(anyResult{}, false)
			s.server.ReadHeaderTimeout = 200 * time.Millisecond
			s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch r.Method {
				case http.MethodDelete:
					panic(http.ErrAbortHandler)
				case http.MethodPut:
					w.Header().Set("Connection", "close")
				case http.MethodPatch:
					_, _ = io.Copy(io.Discard, r.Body)
					time.Sleep(80 * time.Millisecond)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			caller := dialServer(t, startTestServer(t, s), c.sent)
			time.Sleep(50 * time.Millisecond)
			c.end(s, caller)
			time.Sleep(50 * time.Millisecond)
			if got := s.ClosedUnanswered(); !maps.Equal(got, c.want) {
				t.Errorf("counted %v, want %v", got, c.want)
			}
			s.Ends()
			_ = s.Close()
			if got := s.Ends(); !maps.Equal(got, c.ends) {
				t.Errorf("ends %v, want %v", got, c.ends)
			}
		})
	}
}

// ends holds numbers of requests by their ends.
type ends = map[lifecycle.End]int64

// waitEnd waits until a caller's request has ended by itself.
func waitEnd(*Server, net.Conn) {}

// TestUnansweredRequestIsNamed guards against requests that get no answer and of which no line tells.
func TestUnansweredRequestIsNamed(t *testing.T) {
	s := newTestServer(anyResult{}, false)
	lines := make(chan string, 10)
	s.requests = lifecycle.New(time.Second, funcr.New(func(_, args string) { lines <- args }, funcr.Options{}))
	s.conns = s.newConns()
	dialServer(t, startTestServer(t, s), "GET / HTTP/1.1\r\nX-Id: 1\r\nHost")
	for s.requests.Sums(time.Now()).Open == 0 {
		time.Sleep(time.Millisecond)
	}
	_ = s.Close()
	s.Ends()
	select {
	case got := <-lines:
		if !strings.Contains(got, `"request left unanswered" "id"="1"`) {
			t.Error("logged ", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("no line")
	}
}

// TestUnwrittenRefusalIsNotCounted guards against refusals that count as such although the server was closed before
// they were written.
func TestUnwrittenRefusalIsNotCounted(t *testing.T) {
	s := newTestServer(anyResult{}, false)
	s.server.Handler = ownAccount{http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.ServeHTTP(w, r)
		_ = s.Close()
	})}
	if got := status(dialServer(t, startTestServer(t, s), wholeRequest)); got != 0 {
		t.Error("status", got)
	}
	if got, want := s.Ends(), (ends{lifecycle.Unanswered: 1}); !maps.Equal(got, want) {
		t.Errorf("ends %v, want %v", got, want)
	}
}

// status returns the status of the next answer on a connection, or 0 if the connection ends without one.
func status(c net.Conn) int {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// A request that came on an idle connection as that was closed to make room used to get no answer, although
// it had been read.
func TestRequestIsRefusedIfItsConnectionIsEvicted(t *testing.T) {
	s := newTestServer(anyResult{}, false)
	evictOldest, idle := fillRoom(s), noteIdle(s)
	caller := dialServer(t, startTestServer(t, s), wholeRequest)
	if got := status(caller); got != http.StatusServiceUnavailable {
		t.Fatal("status", got)
	}
	<-idle
	// The reader gets the request, and the connection is evicted before it can be marked as in use.
	evicted := evictOldest(func() {
		fmt.Fprint(caller, wholeRequest)
		time.Sleep(50 * time.Millisecond)
	})
	if got := status(caller); !evicted || got != http.StatusServiceUnavailable {
		t.Errorf("evicted %t, status %d, counted %v", evicted, got, s.ClosedUnanswered())
	}
}

// fillRoom leaves room for one connection. evictOldest makes room for one of another router, in place of one that is
// idle, and returns false if there is none; no connection can be marked as in use before it returns, nor during f.
func fillRoom(s *Server) (evictOldest func(f func()) bool) {
	var during atomic.Pointer[func()]
	s.room = room.New(2, s.arrivals, func() bool {
		if f := during.Swap(nil); f != nil {
			(*f)()
		}
		return s.overloaded()
	})
	s.conns = s.newConns()
	s.room.Reserve()
	return func(f func()) bool {
		during.Store(&f)
		return s.room.ReserveReceived()
	}
}

// noteIdle returns a channel that is closed once a connection is between two requests.
func noteIdle(s *Server) <-chan struct{} {
	idle := make(chan struct{})
	var once sync.Once
	s.server.ConnState = func(raw net.Conn, state http.ConnState) {
		callerconn.State(raw, state)
		if state == http.StateIdle {
			once.Do(func() { close(idle) })
		}
	}
	return idle
}

// A request that arrived whole while the server shut down used to be read, and its connection closed.
func TestRequestIsRefusedWhileServerShutsDown(t *testing.T) {
	for name, sentBefore := range map[string]string{"of which nothing had come": "", "of which a part had come": wholeRequest[:20]} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(anyResult{}, false)
			caller := dialServer(t, startTestServer(t, s), sentBefore)
			time.Sleep(50 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			var wait sync.WaitGroup
			wait.Go(func() { _ = s.Shutdown(ctx) })
			time.Sleep(100 * time.Millisecond)
			fmt.Fprint(caller, wholeRequest[len(sentBefore):])
			if got := status(caller); got != http.StatusServiceUnavailable {
				t.Errorf("status %d, counted %v", got, s.ClosedUnanswered())
			}
			wait.Wait()
		})
	}
}

// A shutdown that cut a request short used to report nothing.
func TestShutdownReportsRequestsCutShort(t *testing.T) {
	const body = "POST /engine/x HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\n"
	for name, c := range map[string]struct {
		sent string
		cut  bool
	}{"a request runs": {body, true}, "none does": {wholeRequest, false}} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(anyResult{}, false)
			s.server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				s.open.Add(1)
				defer s.open.Add(-1)
				_, _ = io.ReadAll(r.Body)
			})
			caller := dialServer(t, startTestServer(t, s), c.sent)
			if !c.cut && status(caller) != http.StatusOK {
				t.Fatal("not answered")
			}
			time.Sleep(50 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			if err := s.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) != c.cut {
				t.Error("reported", err)
			}
		})
	}
}

// panicOnly is an observer that expects only the request "1", whose handler panicked.
type panicOnly struct{ t *testing.T }

func (o panicOnly) RequestEnded(r forward.Request, result forward.Result, _ time.Duration) {
	if r.ID != "1" || result.Reason != refusal.Panic {
		o.t.Errorf("request %q: %+v", r.ID, result)
	}
}

// A request whose handler panicked used to get no answer, and to leave no line with its id.
func TestRequestIsAnsweredIfItsHandlerPanics(t *testing.T) {
	s := newTestServer(panicOnly{t}, false)
	s.bodies = nil
	table, err := routing.New(routing.Spec{
		Routes:   []routing.Route{{Name: "r", Host: "h", Prefix: "/", Shares: []routing.Share{{Service: "s", Weight: 1}}}},
		Services: []routing.Service{{Name: "s"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Configure(table)
	caller := dialServer(t, startTestServer(t, s), "POST / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx")
	if got := status(caller); got != http.StatusBadGateway {
		t.Errorf("status %d, counted %v", got, s.ClosedUnanswered())
	}
}
