package ingress

import (
	"container/list"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// ReasonOverdue is why a caller is turned away whose connection waited too long for the
// processor.
const ReasonOverdue forward.Reason = "router-overdue"

// earlyMost bounds what is read of a new connection before the HTTP server has it, in bytes:
// few requests are larger.
const earlyMost = 64 << 10

// listener accepts callers' connections. While the router is short of processor time or
// throttles an organisation, it refuses requests before the HTTP server has their connections,
// at a part of the cost. Each caller is told when to come back: one whose connection is just
// closed connects again at once, several times for a request, and keeps the processor busy with
// that alone.
type listener struct {
	net.Listener
	// sockets accepts connections of which many are refused; nil if it cannot be had.
	sockets *sockopt.Acceptor
	server  *Server
	conns   *conns
	// buffer is for the one goroutine that accepts.
	buffer *[earlyMost]byte
}

func newListener(l net.Listener, s *Server) listener {
	out := listener{l, nil, s, s.conns, new([earlyMost]byte)}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return out
	}
	var err error
	if out.sockets, err = sockopt.NewAcceptor(tcp); err != nil {
		s.log.Info("no requests are refused before the HTTP server has them", "cause", err.Error())
	}
	return out
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		accept := l.accept
		if l.sockets != nil && l.server.refusesEarly() {
			accept = l.acceptSocket
		}
		if c, err := accept(); c != nil || err != nil {
			return c, err
		}
	}
}

// refusesEarly reports whether requests are refused before the HTTP server has their
// connections.
func (s *Server) refusesEarly() bool { return s.forwarder.Throttling() || s.conns.short() }

// accept accepts a connection. It returns nil if its caller was turned away.
func (l listener) accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	place := l.conns.enter()
	if place == nil {
		l.server.turnAway(tcpCaller{raw}, l.buffer[:], 0)
		return nil, nil
	}
	return l.admit(raw, place, nil)
}

// acceptSocket accepts a connection and looks at what has arrived on it. It returns nil if its
// caller was turned away or its request refused.
func (l listener) acceptSocket() (net.Conn, error) {
	socket, err := l.sockets.Accept()
	if err != nil {
		return nil, err
	}
	place := l.conns.enter()
	if place == nil {
		l.server.turnAway(socket, l.buffer[:], 0)
		return nil, nil
	}
	ahead := l.buffer[:socket.ReadNow(l.buffer[:])]
	if l.server.refuseWhole(socket, ahead) {
		l.conns.forget(place)
		return nil, nil
	}
	raw, err := socket.Conn()
	if err != nil {
		// An error that is returned would end the server.
		l.conns.forget(place)
		l.server.log.Info("accepted connection lost", "cause", err.Error())
		return nil, nil
	}
	return l.admit(raw, place, slices.Clone(ahead))
}

// admit lets a connection in, of which some bytes were read, once there is room.
func (l listener) admit(raw net.Conn, place *list.Element, ahead []byte) (net.Conn, error) {
	if !l.conns.reserve() {
		l.conns.forget(place)
		l.server.refuseLast(tcpCaller{raw}, l.server.readHead(ahead), ReasonLeaving, leavingAfter)
		return nil, net.ErrClosed
	}
	return &conn{Conn: raw, server: l.server, conns: l.conns, between: true, fresh: place, ahead: ahead}, nil
}

// Close implements net.Listener.
func (l listener) Close() error {
	l.conns.close()
	if l.sockets != nil {
		if err := l.sockets.Close(); err != nil {
			l.server.log.Info("listening socket not closed", "cause", err.Error())
		}
	}
	return l.Listener.Close()
}

// fresh is the connection of a caller whose request may be refused without waiting for
// anything.
type fresh interface {
	// ReadNow reads what has arrived.
	ReadNow(b []byte) int
	io.WriteCloser
}

// tcpCaller is such a connection that the HTTP server may have.
type tcpCaller struct{ net.Conn }

func (c tcpCaller) ReadNow(b []byte) int { return sockopt.ReadNow(c.Conn, b) }

// refuseWhole refuses the request of which bytes have arrived, if it is whole and to be
// refused unread.
func (s *Server) refuseWhole(c fresh, arrived []byte) bool {
	h, size, ok := parseHead(arrived, &s.dialect)
	if !ok || h.length != len(arrived)-size || s.closing.Load() {
		return false
	}
	r, why := s.crowded(h)
	if why == "" {
		return false
	}
	r.Arrived = clock.Now()
	s.refuseLast(c, r, why, crowdedAfter())
	return true
}

// turnAway refuses a request whose connection waited too long for the processor, and of which
// the first n bytes of a buffer were read. The rest that has arrived is read first: bytes left
// unread would make the kernel reset the connection, and the caller could lose the answer.
func (s *Server) turnAway(c fresh, buffer []byte, n int) {
	n += c.ReadNow(buffer[n:])
	r := s.readHead(buffer[:n])
	for n == len(buffer) {
		n = c.ReadNow(buffer)
	}
	s.countTurnedAway()
	s.refuseLast(c, r, ReasonOverdue, crowdedAfter())
}

// refuseLast tells a caller that its request has not run and when to come back, and closes
// its connection.
func (s *Server) refuseLast(c fresh, r forward.Request, why forward.Reason, after time.Duration) {
	v := refused(http.StatusServiceUnavailable, why, after)
	if _, err := c.Write(s.quickAnswer(r.ID, v, true)); err != nil {
		s.log.V(1).Info("refusal not delivered", "id", r.ID, "cause", err.Error())
	}
	// The caller has left if this fails.
	_ = c.Close()
	s.observer.Ended(r, v, 0)
}

// turnedAway counts callers that were turned away.
type turnedAway struct {
	all    atomic.Int64
	logged atomic.Int64
}

// countTurnedAway logs once a second how many were turned away: there may be thousands.
func (s *Server) countTurnedAway() {
	all, second := s.turned.all.Add(1), clock.Wall().Unix()
	if s.turned.logged.Swap(second) == second {
		return
	}
	accepted, longest := s.conns.arrivals()
	s.log.Info("callers turned away", "count", all, "accepted", accepted, "longest_ms", longest.Milliseconds())
}
