package ingress

import (
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

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
	if l.server.handover.Take(raw, l.serveLocally) {
		return nil, nil
	}
	return l.inspect(raw, l.buffer[:])
}

// serveLocally serves a connection that no other router accepted.
func (l listener) serveLocally(raw net.Conn) {
	buffer := scratchBuffers.Get().(*[scratchSize]byte)
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

// ReserveReceived counts a connection of another router as open, without blocking. It returns false
// if the server is not ready or half of its callers' connections are handed-over ones, or if there is
// no room for another connection.
func (s *Server) ReserveReceived() bool { return s.Ready() && s.conns.reserveReceived() }

// ReleaseReceived undoes a call of ReserveReceived if the connection was lost.
func (s *Server) ReleaseReceived() {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	s.conns.open--
	s.conns.received--
	s.conns.changed.Signal()
}

// reserveReceived is reserve for a connection of another router. It returns false instead of
// waiting.
func (s *conns) reserveReceived() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.received >= s.max/2 && !s.evictOldestReceived() {
		return false
	}
	if s.open >= s.max && !s.evictOldest() {
		return false
	}
	s.open++
	s.received++
	return true
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
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, server: l.server, conns: l.server.conns, received: true, betweenRequests: true, unreadElement: l.server.conns.enqueue()}
		if c.unreadElement != nil {
			return c, nil
		}
		l.server.ReleaseReceived()
		l.server.rejectReceived(raw)
	}
}

// rejectReceived rejects a connection that would wait too long for CPU time.
func (s *Server) rejectReceived(raw net.Conn) {
	buffer := scratchBuffers.Get().(*[scratchSize]byte)
	defer scratchBuffers.Put(buffer)
	s.reject(earlyTCPConn{raw}, buffer[:], 0)
}
