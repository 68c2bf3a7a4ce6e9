package ingress

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/earlyrefusal"
	"github.com/stepcroft/stepcroft/internal/httphead"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/room"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// conn is a caller's connection.
type conn struct {
	net.Conn
	server *Server
	// place is its place among the open connections.
	place room.Place
	// betweenRequests is set while no request is being read or served, when the next bytes
	// start a new one. It needs no lock: only one goroutine of the HTTP server reads then.
	betweenRequests bool
	// firstReadDone is set by the first read, which removes the connection from the arrivals.
	firstReadDone bool
	// readAhead holds the bytes that the listener read in advance and the HTTP server has not
	// read yet.
	readAhead []byte
	// unread is the number of bytes of the current request that the HTTP server has not read yet,
	// or lengthUnknown. It is negative if the server has read the start of the next request.
	unread int
	// startUnknown is set if the HTTP server may have read more than the first byte of the request that refuseNext
	// refuses.
	startUnknown bool
	// hasNext is set once a part of the request behind the one that is served has been read.
	hasNext atomic.Bool
	// head is what is kept of the request that begins. Only the goroutine that serves the connection uses it, and
	// not the one that reads a single byte ahead.
	head httphead.Kept
	// unanswered is set while a request of which something has been read has got no answer, serving while
	// its handler runs, callerEnded once the caller has closed or reset the connection, and timedOut if the
	// last read ended at its deadline. They decide only what is counted when the connection is closed.
	unanswered, serving, callerEnded, timedOut atomic.Bool
	// request is the account of the request that is read or served, nil if there is none.
	request atomic.Pointer[lifecycle.Request]
	// closedAs is how a request without an answer ends as the connection was closed, nil before.
	closedAs atomic.Pointer[lifecycle.End]
	closing  sync.Once
}

// lengthUnknown is the value of conn.unread if the ends of requests are not known, so that no later
// request on the connection can be refused before the HTTP server reads it.
const lengthUnknown = math.MinInt / 2

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// withConn implements http.Server.ConnContext.
func withConn(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, raw)
}

// noteServing notes that the handler of a request runs.
func noteServing(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.head.Drop()
		c.serving.Store(true)
		c.place.Begun()
	}
}

// callerDisconnected reports whether the caller of a request has closed its connection, or has reset it, with or without
// input behind the request: a caller that closed may wait for the answers to all that it has sent. The HTTP server detects
// the end of a connection too, with a background read, but too late on a busy box: requests whose callers had disconnected
// before they were read would still be forwarded.
func callerDisconnected(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && (sockopt.RemoteClosed(c.Conn) || sockopt.Closed(c.Conn))
}

// closedServing reports whether this process has closed the connection of a request that is being served.
func closedServing(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.closedHere()
}

// closedHere reports whether this process has closed the connection, though its caller had not.
func (c *conn) closedHere() bool {
	end := c.closedAs.Load()
	return end != nil && *end != lifecycle.CallerGone
}

// wasReceived reports whether the connection of a request was handed over by another router. Refusals
// close such connections, so that the router that its caller uses decides again which one serves it.
func wasReceived(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.place.Received()
}

// endsConnection reports whether the answer to a request, which begins now, is to be the last one on its
// connection. long is set if it does not tell its length.
func (s *Server) endsConnection(ctx context.Context, long bool) bool {
	if s.closing.Load() || routerLeaves(ctx) {
		return true
	}
	_, ok := ctx.Value(connKey{}).(*conn)
	return ok && s.room.AnnounceClose(long)
}

// unacknowledged returns the number of bytes sent to the caller of a request that its host has not
// confirmed to have received.
func unacknowledged(ctx context.Context) int {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return 0
	}
	return sockopt.Unacknowledged(c.Conn)
}

// setResetOnClose sets whether the connection of a request is reset when it is closed, by the kernel also if this
// process is killed.
func setResetOnClose(ctx context.Context, reset bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
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

// connState implements http.Server.ConnState: it marks connections idle when their request has
// ended, and in use again when the HTTP server takes a request that it had read with the one before.
func connState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
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

// setUnread sets unread. ahead is set if the byte read last was read by itself, as the HTTP server reads the first one of
// the next request while it serves one.
func (c *conn) setUnread(n int, ahead bool) {
	c.unread = n
	c.hasNext.Store(ahead || n < 0 && n > lengthUnknown/2)
}

// takeBuffered begins a request that the HTTP server had read with the one before.
func (c *conn) takeBuffered() {
	c.betweenRequests = false
	c.setUnread(lengthUnknown, false)
	c.beginRequest()
	c.place.LeaveIdle()
}

// Close implements net.Conn. Only the first call closes the connection; others wait for it.
func (c *conn) Close() error {
	if c.place.LeaveOpen() {
		return nil
	}
	return c.close()
}

func (c *conn) close() (err error) {
	c.closing.Do(func() {
		c.place.Begun()
		toClose, stopping := c.place.Release()
		if !toClose {
			return
		}
		c.noteClosing(stopping)
		err = c.Conn.Close()
	})
	return err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if !c.serving.Load() && (c.betweenRequests || c.unanswered.Load()) {
		return c.refuseImproper(b)
	}
	return c.writeAnswer(b)
}

// writeAnswer writes a part of the answer to the request in progress.
func (c *conn) writeAnswer(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 && !bytes.HasPrefix(b, interimAnswer) {
		c.unanswered.Store(false)
	}
	if err != nil {
		c.request.Load().NoteUndelivered(c.undelivered())
	}
	return n, err
}

// interimAnswer is the start of an answer that another one follows.
var interimAnswer = []byte("HTTP/1.1 1")

// CloseWrite shuts down the sending side. The HTTP server calls it before Close, so that the
// caller still receives the last answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// overdue reports, on the first read of a connection, whether the connection has waited too
// long for CPU time. On later reads it returns false.
func (c *conn) overdue() bool {
	if c.firstReadDone {
		return false
	}
	c.firstReadDone = true
	return c.place.Dequeue()
}

// readInput returns the bytes that the listener read in advance, then reads from the connection.
func (c *conn) readInput(b []byte) (int, error) {
	if len(c.readAhead) == 0 {
		n, err := c.Conn.Read(b)
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		c.timedOut.Store(timedOut)
		if err != nil && !timedOut {
			c.callerEnded.Store(true)
		}
		return n, err
	}
	n := copy(b, c.readAhead)
	c.readAhead = c.readAhead[n:]
	return n, nil
}

// resumeRequest finds the end of a request whose first byte the HTTP server has read already: while
// it serves a request it reads one byte ahead, to notice when the caller disconnects. rest is what
// has arrived since.
func (c *conn) resumeRequest(rest []byte) {
	if c.unread != -1 {
		c.setUnread(lengthUnknown, false)
		c.head.Keep(rest)
		return
	}
	// The byte is the first one of the method, which does not affect the length.
	whole := append([]byte{'P'}, rest...)
	c.head.Keep(whole)
	h, size, ok := c.server.classifier.Parse(whole)
	c.setUnread(requestLength(h, size, ok)-1-len(rest), false)
}

// past is a deadline that ends reads at once.
var past = time.Unix(1, 0)

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.place.Evicted() {
		err = c.Conn.SetReadDeadline(past)
	}
	return err
}

// Read implements net.Conn for the HTTP server, which does not see the requests refused here. If
// Read ends the connection it returns io.EOF, since the HTTP server answers other errors with
// 400 Bad Request.
func (c *conn) Read(b []byte) (int, error) {
	if c.overdue() {
		c.server.early.RejectRead(earlyrefusal.TCP(c.Conn), c.request.Swap(nil), c.readAhead)
		return 0, io.EOF
	}
	for {
		n, err := c.readInput(b)
		if !c.betweenRequests || (n == 0 || err != nil) && !c.place.Evicted() {
			c.setUnread(c.unread-n, n == 1 && len(b) == 1)
			if len(b) > 1 {
				c.head.Add(b[:n])
			} else {
				// The deadline of reading ahead is the end of the handler, which says nothing about the caller.
				c.timedOut.Store(false)
			}
			return n, err
		}
		c.betweenRequests = false
		if !c.place.MarkInUse() {
			reason, after := refusal.ProcessFull, refusal.NotReadyRetryAfter
			if c.server.room.Ending() || c.place.RouterLeaves() {
				reason, after = refusal.Leaving, refusal.LeavingRetryAfter
			}
			c.refuseLast(b[:n], reason, after)
			return 0, io.EOF
		}
		if c.unread != 0 {
			c.beginRequest()
			c.resumeRequest(b[:n])
			return n, nil
		}
		c.unanswered.Store(true)
		refused, length, err := c.server.refuseQuickly(c, b[:n])
		if err != nil {
			return 0, err
		}
		if !refused {
			c.beginRequest()
			c.setUnread(length-n, false)
			return n, nil
		}
		c.place.EndHead()
		c.place.Begun()
		c.betweenRequests = true
		c.place.MarkIdle()
	}
}
