// Package callerconn has callers' connections as an HTTP server uses them. They find out where requests begin and end,
// refuse some before the server sees them, end without losing a request, and keep the account of each request.
package callerconn

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/classify"
	"github.com/stepcroft/stepcroft/internal/earlyrefusal"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/room"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// Observer receives the result of each request that is refused before the HTTP server sees it.
type Observer interface {
	RequestEnded(r forward.Request, result forward.Result, took time.Duration)
}

// Options are what connections are made of.
type Options struct {
	// RequestID is the name of the header with a request's id.
	RequestID  string
	Room       *room.Room
	Classifier *classify.Classifier
	Early      *earlyrefusal.Refuser
	Requests   *lifecycle.Tracker
	Observer   Observer
	// Leaving reports whether a planned shutdown has begun: all requests go to the HTTP server then.
	Leaving func() bool
	// IdleTimeout is how long an idle connection is kept open, BodyTimeout bounds the time that reading a request's body takes.
	IdleTimeout, BodyTimeout time.Duration
	Log                      logr.Logger
}

// Connections makes connections, and has what they share. Use New to create it.
type Connections struct {
	Options
	unanswered unansweredCounter
}

// New returns connections of an HTTP server, which must use State and WithConn.
func New(o Options) *Connections { return &Connections{Options: o} }

// Open returns a connection for which there is room. arrival is its element in the arrivals; ahead holds the bytes already
// read from it, of which there is an account.
func (s *Connections) Open(raw net.Conn, arrival *list.Element, account *lifecycle.Request, ahead []byte) *Conn {
	c := &Conn{Conn: raw, shared: s, betweenRequests: true, readAhead: ahead}
	s.Room.Admit(&c.place, raw, arrival)
	c.request.Store(account)
	return c
}

// OpenReceived returns a connection that another router handed over, for which room was reserved.
func (s *Connections) OpenReceived(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, shared: s, betweenRequests: true}
	s.Room.AdmitReceived(&c.place, raw)
	return c
}

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// WithConn implements http.Server.ConnContext.
func WithConn(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, raw)
}

// Of returns the connection on which a request arrived, nil if that is of another kind. The methods that say so may be
// called for nil.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// State implements http.Server.ConnState: it marks connections idle when their request has
// ended, and in use again when the HTTP server takes a request that it had read with the one before.
func State(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*Conn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		c.endRequest("")
		c.betweenRequests = true
		c.unanswered.Store(c.hasNext.Load())
		c.serving.Store(false)
		c.place.MarkIdle()
		c.refuseNext()
		c.finishClose(false)
	}
	if state == http.StateActive {
		if c.betweenRequests {
			c.takeBuffered()
		}
		c.place.EndHead()
	}
	if state == http.StateClosed {
		c.finishClose(true)
		c.endClosed()
		c.head.Drop()
	}
}

// NoteServing notes that the handler of a request runs. c may be nil.
func (c *Conn) NoteServing() {
	if c != nil {
		c.head.Drop()
		c.serving.Store(true)
		c.place.Begun()
	}
}

// Account returns the account of the request that is served, nil if there is none. c may be nil.
func (c *Conn) Account() *lifecycle.Request {
	if c == nil {
		return nil
	}
	return c.request.Load()
}

// Disconnected reports whether the caller of a request has closed its connection, or has reset it, with or without
// input behind the request: a caller that closed may wait for the answers to all that it has sent. The HTTP server detects
// the end of a connection too, with a background read, but too late on a busy box: requests whose callers had disconnected
// before they were read would still be forwarded. c may be nil.
func (c *Conn) Disconnected() bool {
	return c != nil && (sockopt.RemoteClosed(c.Conn) || sockopt.Closed(c.Conn))
}

// ClosedServing reports whether this process has closed the connection of a request that is being served. c may be nil.
func (c *Conn) ClosedServing() bool { return c != nil && c.closedHere() }

// Received reports whether the connection of a request was handed over by another router. Refusals
// close such connections, so that the router that its caller uses decides again which one serves it. c may be nil.
func (c *Conn) Received() bool { return c != nil && c.place.Received() }

// EndsAfter reports whether the answer that begins now is to be the last one on the connection: to make room, or since the
// router that handed it over is leaving. long is set if the answer does not tell its length. c may be nil.
func (c *Conn) EndsAfter(long bool) bool {
	return c != nil && (c.place.RouterLeaves() || c.shared.Room.AnnounceClose(long))
}

// Unacknowledged returns the number of bytes sent to the caller of a request that its host has not
// confirmed to have received. c may be nil.
func (c *Conn) Unacknowledged() int {
	if c == nil {
		return 0
	}
	return sockopt.Unacknowledged(c.Conn)
}

// SetResetOnClose sets whether the connection of a request is reset when it is closed, by the kernel also if this
// process is killed. c may be nil.
func (c *Conn) SetResetOnClose(reset bool) {
	if c == nil {
		return
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	// An error means that the connection is closed already.
	_ = tcp.SetLinger(seconds)
}
