package ingress

import (
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/stepcroft/stepcroft/internal/backlog"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// conns bounds the connections of callers, since each takes memory. At the
// bound, the connection that has been unused for the longest is closed for a
// new one; where all are in use, new ones wait in the kernel.
type conns struct {
	max int

	mu     sync.Mutex
	open   int
	unused list.List
	closed bool
	// fresh are the connections that nobody has looked at yet.
	fresh backlog.Queue
	// short reports whether the router is short of processor time.
	short func() bool
	// accepted counts connections since the last line about those turned away, and
	// longest is the longest that one waited meanwhile to be looked at.
	accepted int
	longest  time.Duration
	// changed tells that a connection has been closed or has fallen unused.
	changed sync.Cond
}

func newConns(limit int, short func() bool) *conns {
	c := &conns{max: limit, short: short}
	c.changed.L = &c.mu
	return c
}

// reserve waits until there is room for a connection; it returns false once
// the listener is closed.
func (s *conns) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.open >= s.max && !s.closed {
		if !s.dropOldest() {
			s.changed.Wait()
		}
	}
	s.open++
	return !s.closed
}

// dropOldest closes the connection that has been unused for the longest. One
// on which a request has arrived that was not read yet is in use; it returns
// false if there is no other. mu must be held.
func (s *conns) dropOldest() bool {
	for s.unused.Len() > 0 {
		c := s.unused.Front().Value.(*conn)
		if !sockopt.Quiet(c.Conn) {
			s.unused.Remove(c.place)
			c.place = nil
			continue
		}
		s.drop(c)
		return true
	}
	return false
}

// drop closes an unused connection. mu must be held.
func (s *conns) drop(c *conn) {
	s.unused.Remove(c.place)
	c.place = nil
	c.dropped = true
	s.open--
	// The caller finds it closed; there is nobody else to tell.
	_ = c.Conn.Close()
}

func (s *conns) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.changed.Broadcast()
}

// enter takes in a new connection; it returns nil if its caller is to be turned away.
func (s *conns) enter() *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted++
	return s.fresh.Enqueue(clock.Now(), s.short())
}

// forget takes out a connection that was refused before anybody looked at it.
func (s *conns) forget(place *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh.Remove(place)
}

// look notes that a connection is looked at, and reports whether its caller is to be turned
// away.
func (s *conns) look(place *list.Element) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.longest = max(s.longest, now.Sub(place.Value.(time.Time)))
	return s.fresh.Dequeue(now, place, s.short())
}

// arrivals returns how many connections came since the last call, and the longest that one
// waited meanwhile to be looked at.
func (s *conns) arrivals() (accepted int, longest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted, longest = s.accepted, s.longest
	s.accepted, s.longest = 0, 0
	return accepted, longest
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	server *Server
	conns  *conns
	// between is set while no request is being served, so that the next bytes
	// begin one. The HTTP server then reads from one goroutine at a time.
	between bool
	// fresh is the connection's place among those that nobody has looked at; looked is
	// set once somebody has.
	fresh  *list.Element
	looked bool
	// ahead was read before the HTTP server had the connection and is not passed on yet.
	ahead []byte

	// The rest is guarded by conns.mu. place is the connection's place among
	// the unused ones, nil if it is in use; dropped is set if it was closed to
	// make room.
	place           *list.Element
	dropped, closed bool
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, raw)
}

// callerEnded reports whether the caller of a request has closed its connection. The
// server notices that by a goroutine of its own, which on a busy box comes too late: requests
// whose callers had left before they were read would be sent on.
func callerEnded(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && sockopt.Ended(c.Conn)
}

// connState notes for which connections a request has ended.
func connState(raw net.Conn, state http.ConnState) {
	if c, ok := raw.(*conn); ok && state == http.StateIdle {
		c.between = true
		c.rest()
	}
}

// rest notes that the connection is unused.
func (c *conn) rest() {
	s := c.conns
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.dropped || c.closed || c.place != nil {
		return
	}
	c.place = s.unused.PushBack(c)
	s.changed.Signal()
}

// use notes that the connection is in use; it returns false if it has just
// been closed to make room.
func (c *conn) use() bool {
	s := c.conns
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.place != nil {
		s.unused.Remove(c.place)
		c.place = nil
	}
	return !c.dropped
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.leave() {
		return nil
	}
	return c.Conn.Close()
}

// leave takes the connection out of the count; it returns false if it was.
func (c *conn) leave() bool {
	s := c.conns
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.dropped || c.closed {
		return false
	}
	c.closed = true
	s.fresh.Remove(c.fresh)
	if c.place != nil {
		s.unused.Remove(c.place)
		c.place = nil
	}
	s.open--
	s.changed.Signal()
	return true
}

// CloseWrite lets the HTTP server close a connection without losing its last
// answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// overdue reports, at the first look at a connection, whether it has waited for too long
// for the processor.
func (c *conn) overdue() bool {
	if c.looked {
		return false
	}
	c.looked = true
	return c.conns.look(c.fresh)
}

// receive reads what was read ahead, or from the connection.
func (c *conn) receive(b []byte) (int, error) {
	if len(c.ahead) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.ahead)
	c.ahead = c.ahead[n:]
	return n, nil
}

// Read implements net.Conn. Requests that are refused quickly are not passed
// on. To the HTTP server the end of a connection is an end of input: it answers
// other errors, as if the request had been bad.
func (c *conn) Read(b []byte) (int, error) {
	if c.overdue() {
		buffer := scratch.Get().(*[scratchSize]byte)
		defer scratch.Put(buffer)
		c.server.turnAway(tcpCaller{c.Conn}, buffer[:], copy(buffer[:], c.ahead))
		return 0, io.EOF
	}
	for {
		n, err := c.receive(b)
		if !c.between || n == 0 || err != nil {
			return n, err
		}
		c.between = false
		if !c.use() {
			return 0, io.EOF
		}
		refused, err := c.server.refuseQuickly(c, b[:n])
		if err != nil {
			return 0, err
		}
		if !refused {
			return n, nil
		}
		c.between = true
		c.rest()
	}
}
