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

// conns limits the number of callers' connections, since each takes memory. At the limit, the
// connection that has been idle for the longest is closed to make room for a new one. If none
// is idle, new connections wait in the kernel's accept queue.
type conns struct {
	max int

	mu     sync.Mutex
	open   int
	unused list.List
	closed bool
	// fresh holds the accepted connections from which nothing has been read yet.
	fresh backlog.Queue
	// short reports whether the router is short of CPU time.
	short func() bool
	// accepted is the number of connections accepted since rejections were last logged, and
	// longest the longest time that one of them waited for its first read.
	accepted int
	longest  time.Duration
	// changed is signalled when a connection is closed or becomes idle.
	changed sync.Cond
}

func newConns(limit int, short func() bool) *conns {
	c := &conns{max: limit, short: short}
	c.changed.L = &c.mu
	return c
}

// reserve waits until there is room for another connection, and counts it as open. It returns
// false once the listener is closed.
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

// dropOldest closes the connection that has been idle for the longest, and returns false if
// there is none. A connection with unread input, such as a request that has just arrived, does
// not count as idle. mu must be held.
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

// drop closes an idle connection. mu must be held.
func (s *conns) drop(c *conn) {
	s.unused.Remove(c.place)
	c.place = nil
	c.dropped = true
	s.open--
	// The connection is discarded, so an error from closing it does not matter.
	_ = c.Conn.Close()
}

func (s *conns) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.changed.Broadcast()
}

// enter adds a connection that was just accepted to those waiting for their first read. It
// returns nil if the connection is to be rejected at once.
func (s *conns) enter() *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted++
	return s.fresh.Enqueue(clock.Now(), s.short())
}

// forget removes a connection that was refused, or failed, before its first read.
func (s *conns) forget(place *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh.Remove(place)
}

// look removes a connection that is read for the first time, and reports whether it is to be
// rejected because it has waited too long for that.
func (s *conns) look(place *list.Element) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	s.longest = max(s.longest, now.Sub(place.Value.(time.Time)))
	return s.fresh.Dequeue(now, place, s.short())
}

// arrivals returns the number of connections accepted since the last call and the longest time
// that one waited for its first read, and resets both.
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
	// between is set between requests, when the next bytes start a new one. It needs no lock:
	// between requests, only one goroutine of the HTTP server reads.
	between bool
	// fresh is the connection's element in conns.fresh, and looked is set by its first read,
	// which removes it from there.
	fresh  *list.Element
	looked bool
	// ahead holds the bytes that the listener read in advance and the HTTP server has not
	// read yet.
	ahead []byte

	// The fields below are guarded by conns.mu. place is the connection's element in
	// conns.unused, nil while a request is being served; dropped is set if the connection was
	// closed to make room for another one.
	place           *list.Element
	dropped, closed bool
}

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// withConn implements http.Server.ConnContext.
func withConn(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, raw)
}

// callerEnded reports whether the caller of a request has closed its connection. The HTTP
// server detects that too, with a background read, but too late on a busy box: requests whose
// callers had disconnected before they were read would still be forwarded.
func callerEnded(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && sockopt.Ended(c.Conn)
}

// connState implements http.Server.ConnState: it marks connections idle when their request has
// ended.
func connState(raw net.Conn, state http.ConnState) {
	if c, ok := raw.(*conn); ok && state == http.StateIdle {
		c.between = true
		c.rest()
	}
}

// rest marks the connection as idle.
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

// use marks the connection as in use. It returns false if the connection has just been closed
// to make room for another one.
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

// leave removes the connection from conns. It returns false if that was done before.
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
	if c.looked {
		return false
	}
	c.looked = true
	return c.conns.look(c.fresh)
}

// receive returns the bytes that the listener read in advance, then reads from the connection.
func (c *conn) receive(b []byte) (int, error) {
	if len(c.ahead) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.ahead)
	c.ahead = c.ahead[n:]
	return n, nil
}

// Read implements net.Conn for the HTTP server, which does not see the requests refused here.
// Connections that end here return io.EOF, since the HTTP server answers other errors with
// 400 Bad Request.
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
