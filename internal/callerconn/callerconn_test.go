package callerconn_test

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/arrivals"
	"github.com/stepcroft/stepcroft/internal/callerconn"
	"github.com/stepcroft/stepcroft/internal/classify"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/earlyrefusal"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/room"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

// shedder sheds all requests to engines if it is set.
type shedder bool

func (s shedder) ShedReason(string, throttle.RequestSize) forward.Reason {
	if s {
		return forward.ReasonOrganisationQueueFull
	}
	return ""
}

// results holds the reasons of refused requests by their ids.
type results map[string]forward.Reason

func (r results) RequestEnded(q forward.Request, v forward.Result, _ time.Duration) {
	r[q.ID] = v.Reason
}

const request = "POST /a HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nAuthorization: Bearer k\r\nContent-Length: 2\r\n\r\nab"

// TestEndsOfRequests guards against requests without an answer, a name in the log or an end in the account, whatever the
// HTTP server, or this process, does with their connection.
func TestEndsOfRequests(t *testing.T) {
	read := func(c *callerconn.Conn) string {
		b := make([]byte, 4096)
		n, _ := c.Read(b)
		return string(b[:n])
	}
	for name, c := range map[string]struct {
		sent  string
		sheds shedder
		// serve does what the HTTP server does, and returns what it has read.
		serve func(c *callerconn.Conn, r *room.Room) string
		// read is what it is to read, answer what the caller is to get.
		read, answer string
		reasons      results
		ends         map[lifecycle.End]int64
		unanswered   map[string]int64
	}{
		"served": {
			sent: request, read: request, answer: "HTTP/1.1 200",
			serve: func(c *callerconn.Conn, _ *room.Room) string {
				got := read(c)
				ctx := callerconn.WithConn(context.Background(), c)
				callerconn.Of(ctx).NoteServing()
				callerconn.Of(ctx).Account().Decide(clock.Now(), "7", lifecycle.Answered)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
				callerconn.State(c, http.StateIdle)
				return got
			},
			ends: map[lifecycle.End]int64{lifecycle.Answered: 1},
		},
		"shed": {
			sent: request, sheds: true, answer: "HTTP/1.1 503",
			serve:   func(c *callerconn.Conn, _ *room.Room) string { return read(c) },
			reasons: results{"7": forward.ReasonOrganisationQueueFull},
			ends:    map[lifecycle.End]int64{lifecycle.Refused: 1},
		},
		"the server shuts down": {
			sent: request, answer: "HTTP/1.1 503",
			serve: func(c *callerconn.Conn, r *room.Room) string {
				r.End()
				return read(c)
			},
			reasons: results{"7": refusal.Leaving},
			ends:    map[lifecycle.End]int64{lifecycle.Refused: 1},
		},
		"the server does not understand it": {
			sent: request, read: request, answer: "HTTP/1.1 400",
			serve: func(c *callerconn.Conn, _ *room.Room) string {
				got := read(c)
				_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n")
				return got
			},
			reasons: results{"7": refusal.Improper},
			ends:    map[lifecycle.End]int64{lifecycle.Incomplete: 1},
		},
		"closed without an answer": {
			sent: request, read: request,
			serve:      func(c *callerconn.Conn, _ *room.Room) string { return read(c) },
			ends:       map[lifecycle.End]int64{lifecycle.Unanswered: 1},
			unanswered: map[string]int64{callerconn.Aborted: 1},
		},
		"closed without an answer as the server stops": {
			sent: request, read: request,
			serve: func(c *callerconn.Conn, r *room.Room) string {
				defer r.Close()
				return read(c)
			},
			ends:       map[lifecycle.End]int64{lifecycle.Unanswered: 1},
			unanswered: map[string]int64{callerconn.Stopping: 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			caller, accepted := connect(t)
			if _, err := io.WriteString(caller, c.sent); err != nil {
				t.Fatal(err)
			}
			if c.sheds {
				_ = caller.CloseWrite()
			}
			queue, requests, reasons := arrivals.New(), lifecycle.New(time.Second, logr.Discard()), results{}
			r := room.New(10, queue, func() bool { return false })
			classifier := newClassifier(t)
			conns := callerconn.New(callerconn.Options{
				RequestID: "X-Id", Room: r, Classifier: classifier, Requests: requests, Observer: reasons, Leaving: r.Ending,
				Early:       earlyrefusal.New("X-Id", classifier, c.sheds, queue, requests, reasons, logr.Discard()),
				IdleTimeout: time.Minute, BodyTimeout: time.Minute, Log: logr.Discard(),
			})
			if !r.Reserve() {
				t.Fatal("no room")
			}
			conn := conns.Open(accepted, r.Accept(), nil, nil)
			if got := c.serve(conn, r); got != c.read {
				t.Errorf("the server has read %q", got)
			}
			_ = conn.Close()
			callerconn.State(conn, http.StateClosed)
			answer, _ := io.ReadAll(caller)
			if !strings.HasPrefix(string(answer), c.answer) || len(answer) > 0 != (c.answer != "") {
				t.Errorf("answer %q", answer)
			}
			if len(c.reasons) > 0 && !strings.Contains(strings.ToLower(string(answer)), "x-id: 7") {
				t.Errorf("no id in %q", answer)
			}
			if !maps.Equal(reasons, c.reasons) {
				t.Errorf("reasons %v, want %v", reasons, c.reasons)
			}
			if sums := requests.Sums(clock.Now()); sums.Open > 0 || !maps.Equal(sums.Ends, c.ends) {
				t.Errorf("%d open, ends %v, want %v", sums.Open, sums.Ends, c.ends)
			}
			if got := conns.Unanswered(); !maps.Equal(got, c.unanswered) {
				t.Errorf("unanswered %v, want %v", got, c.unanswered)
			}
		})
	}
}

// TestNoConnection guards against a panic at a request that came on a connection of another kind.
func TestNoConnection(t *testing.T) {
	c := callerconn.Of(context.Background())
	c.NoteServing()
	c.SetResetOnClose(true)
	if c.Account() != nil || c.Disconnected() || c.ClosedServing() || c.Received() || c.EndsAfter(true) || c.Unacknowledged() != 0 {
		t.Error("says something of a connection")
	}
}

// connect returns both ends of a connection.
func connect(t *testing.T) (caller *net.TCPConn, accepted net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if accepted, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn), accepted
}

// newClassifier returns a classifier with a route to an engine.
func newClassifier(t *testing.T) *classify.Classifier {
	t.Helper()
	table, err := routing.New(routing.Spec{
		Routes:        []routing.Route{{Name: "a", Host: "h", Prefix: "/", Shares: []routing.Share{{Service: "llm", Weight: 1}}}},
		Services:      []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 4}}},
		Organisations: []routing.Organisation{{Name: "loud", Keys: []string{"k"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	c := classify.New(forward.HeaderNames{RequestID: "X-Id"})
	c.Configure(table)
	return c
}
