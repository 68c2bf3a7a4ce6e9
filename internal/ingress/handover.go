package ingress

import (
	"container/list"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/backlog"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// Handover takes new connections to other routers while this one is short of CPU time. It is
// implemented by handover.Sender.
type Handover interface {
	// Wanted reports whether the next new connection may be taken.
	Wanted() bool
	// Take returns false if the connection is to be served here. Otherwise it returns at once; if
	// no other router accepts the connection, it calls local in another goroutine, with nothing
	// read from the connection.
	Take(c net.Conn, local func(net.Conn)) bool
}

// HandOver makes the server offer new connections to h. It must be called before Serve.
func (s *Server) HandOver(h Handover) { s.handover = h }

// handsOver reports whether the next new connection may be handed over.
func (s *Server) handsOver() bool {
	return s.handover != nil && !s.closing.Load() && s.handover.Wanted()
}

// acceptToHandOver accepts a connection and hands it over. If the connection is to be served here,
// acceptToHandOver treats it like any other. It returns nil if the connection was handed over or
// refused.
func (l listener) acceptToHandOver() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// The connection is handed over before any other check: those refuse requests for lack of CPU
	// time here, which says nothing about other routers.
	accepted := clock.Now()
	if l.server.handover.Take(raw, func(c net.Conn) { l.serveLocally(c, accepted) }) {
		return nil, nil
	}
	return l.inspect(raw, l.buffer[:])
}

// serveLocally serves a connection that no other router accepted, unless it has waited too long for
// that.
func (l listener) serveLocally(raw net.Conn, accepted time.Time) {
	buffer := scratchBuffers.Get().(*[scratchSize]byte)
	if backlog.Overdue(clock.Since(accepted), l.conns.overloaded()) {
		l.server.reject(earlyTCPConn{raw}, buffer[:], 0)
		scratchBuffers.Put(buffer)
		return
	}
	c, err := l.inspect(raw, buffer[:])
	scratchBuffers.Put(buffer)
	if c == nil || err != nil {
		return
	}
	// Serve handles each connection in a goroutine of its own, and returns once there is no other.
	single := &singleListener{conn: c}
	if err := l.server.server.Serve(single); single.conn != nil {
		l.server.log.V(1).Info("accepted connection lost", "cause", err.Error())
		_ = c.Close()
	}
}

// inspect refuses the request of a new connection if the router is short of CPU time. Otherwise it
// returns the connection for the HTTP server.
func (l listener) inspect(raw net.Conn, buffer []byte) (net.Conn, error) {
	element := l.conns.enqueue()
	if element == nil {
		l.server.reject(earlyTCPConn{raw}, buffer, 0)
		return nil, nil
	}
	if !l.server.refusesEarly() {
		return l.admit(raw, element, nil)
	}
	early := earlyTCPConn{raw}
	ahead := buffer[:early.ReadNow(buffer)]
	if l.server.refuseComplete(early, ahead) {
		l.conns.remove(element)
		return nil, nil
	}
	return l.admit(raw, element, append([]byte(nil), ahead...))
}

// singleListener is a listener that accepts one connection.
type singleListener struct{ conn net.Conn }

// Accept implements net.Listener. From the second call on it returns io.EOF.
func (l *singleListener) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, io.EOF
	}
	c := l.conn
	l.conn = nil
	return c, nil
}

// Close implements net.Listener.
func (*singleListener) Close() error { return nil }

// Addr implements net.Listener.
func (*singleListener) Addr() net.Addr { return &net.TCPAddr{} }

// ServeReceived serves connections that other routers hand over, like those of callers, but does
// not hand them over again. Each one must have been counted by ReserveReceived.
func (s *Server) ServeReceived(l net.Listener) error {
	err := s.server.Serve(receivedListener{l, s})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve handed-over connections")
}

// maxUnreadReceived is the number of handed-over connections that may wait for their first read. The
// CPU utilisation is up to a second old, in which many senders can offer more than a router can serve.
const maxUnreadReceived = 8

// ReceivesLate reports whether connections that are handed over now would wait too long for CPU time.
func (s *Server) ReceivesLate() bool {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	return s.conns.receivesLate()
}

// receivesLate is ReceivesLate; mu must be held.
func (s *conns) receivesLate() bool {
	return s.receivedUnread >= maxUnreadReceived || s.unread.Late(clock.Now(), s.overloaded())
}

// ReserveReceived counts a connection of another router as open, without blocking. It returns false
// if the server is not ready, if ReceivesLate, if half of its callers' connections are handed-over ones,
// or if there is no room for another connection.
func (s *Server) ReserveReceived() bool { return s.Ready() && s.conns.reserveReceived() }

// ReleaseReceived undoes a call of ReserveReceived if the connection was lost.
func (s *Server) ReleaseReceived() {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	s.conns.open--
	s.conns.received--
	s.conns.receivedUnread--
	last := len(s.conns.reserved) - 1
	s.conns.unread.Remove(s.conns.reserved[last])
	s.conns.reserved = s.conns.reserved[:last]
	s.conns.changed.Signal()
}

// reserveReceived is reserve for a connection of another router. It returns false instead of
// waiting.
func (s *conns) reserveReceived() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.receivesLate() || s.received >= s.max/2 && !s.evictOldestReceived() {
		return false
	}
	if s.open >= s.max && !s.evictOldest() {
		return false
	}
	element := s.unread.Enqueue(clock.Now(), s.overloaded())
	if element == nil {
		return false
	}
	s.reserved = append(s.reserved, element)
	s.open++
	s.received++
	s.receivedUnread++
	return true
}

// takeReserved returns the element of the reservation that is the oldest.
func (s *conns) takeReserved() *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	element := s.reserved[0]
	s.reserved = s.reserved[1:]
	return element
}

// evictOldestReceived closes the handed-over connection that has been idle for the longest, and
// returns false if there is none. Otherwise the callers of another router could fill the limit with
// connections that they only keep open. mu must be held.
func (s *conns) evictOldestReceived() bool {
	for e := s.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); c.received && sockopt.Idle(c.Conn) {
			s.evict(c)
			return true
		}
	}
	return false
}

// receivedListener accepts the connections that other routers hand over.
type receivedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l receivedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := l.server.conns
	return &conn{
		Conn: raw, server: l.server, conns: s, received: true, waits: true, betweenRequests: true,
		unreadElement: s.takeReserved(),
	}, nil
}
