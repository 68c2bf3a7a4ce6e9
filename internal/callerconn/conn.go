package callerconn

import (
	"bytes"
	"io"
	"math"
	"net"
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
)

// Conn is a caller's connection. Connections.Open or Connections.OpenReceived creates one.
type Conn struct {
	net.Conn
	shared *Connections
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

// lengthUnknown is the value of Conn.unread if the ends of requests are not known, so that no later
// request on the connection can be refused before the HTTP server reads it.
const lengthUnknown = math.MinInt / 2

// closedHere reports whether this process has closed the connection, though its caller had not.
func (c *Conn) closedHere() bool {
	end := c.closedAs.Load()
	return end != nil && *end != lifecycle.CallerGone
}

// setUnread sets unread. ahead is set if the byte read last was read by itself, as the HTTP server reads the first one of
// the next request while it serves one.
func (c *Conn) setUnread(n int, ahead bool) {
	c.unread = n
	c.hasNext.Store(ahead || n < 0 && n > lengthUnknown/2)
}

// takeBuffered begins a request that the HTTP server had read with the one before.
func (c *Conn) takeBuffered() {
	c.betweenRequests = false
	c.setUnread(lengthUnknown, false)
	c.beginRequest()
	c.place.LeaveIdle()
}

// Close implements net.Conn. Only the first call closes the connection; others wait for it.
func (c *Conn) Close() error {
	if c.place.LeaveOpen() {
		return nil
	}
	return c.close()
}

func (c *Conn) close() (err error) {
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
func (c *Conn) Write(b []byte) (int, error) {
	if !c.serving.Load() && (c.betweenRequests || c.unanswered.Load()) {
		return c.refuseImproper(b)
	}
	return c.writeAnswer(b)
}

// writeAnswer writes a part of the answer to the request in progress.
func (c *Conn) writeAnswer(b []byte) (int, error) {
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
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// overdue reports, on the first read of a connection, whether the connection has waited too
// long for CPU time. On later reads it returns false.
func (c *Conn) overdue() bool {
	if c.firstReadDone {
		return false
	}
	c.firstReadDone = true
	return c.place.Dequeue()
}

// readInput returns the bytes that the listener read in advance, then reads from the connection.
func (c *Conn) readInput(b []byte) (int, error) {
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
func (c *Conn) resumeRequest(rest []byte) {
	if c.unread != -1 {
		c.setUnread(lengthUnknown, false)
		c.head.Keep(rest)
		return
	}
	// The byte is the first one of the method, which does not affect the length.
	whole := append([]byte{'P'}, rest...)
	c.head.Keep(whole)
	h, size, ok := c.shared.Classifier.Parse(whole)
	c.setUnread(requestLength(h, size, ok)-1-len(rest), false)
}

// past is a deadline that ends reads at once.
var past = time.Unix(1, 0)

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.place.Evicted() {
		err = c.Conn.SetReadDeadline(past)
	}
	return err
}

// Read implements net.Conn for the HTTP server, which does not see the requests refused here. If
// Read ends the connection it returns io.EOF, since the HTTP server answers other errors with
// 400 Bad Request.
func (c *Conn) Read(b []byte) (int, error) {
	if c.overdue() {
		c.shared.Early.RejectRead(earlyrefusal.TCP(c.Conn), c.request.Swap(nil), c.readAhead)
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
			if c.shared.Room.Ending() || c.place.RouterLeaves() {
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
		refused, length, err := c.refuseQuickly(b[:n])
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
