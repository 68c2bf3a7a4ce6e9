package ingress

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/backlog"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/earlyrefusal"
	"github.com/stepcroft/stepcroft/internal/handover"
	"github.com/stepcroft/stepcroft/internal/httphead"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/scratch"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// Handover takes new connections to other routers while this one is short of CPU time. It is
// implemented by handover.Sender.
type Handover interface {
	// Wanted reports whether the next new connection may be taken.
	Wanted() bool
	// Take returns false if the connection is to be served here. Otherwise it returns at once; if the
	// connection is not handed over after all, it calls ServeLocally in another goroutine.
	Take(a handover.Arrival) bool
}

// HandOver makes the server offer new connections to h. It must be called before Serve.
func (s *Server) HandOver(h Handover) { s.handover = h }

// handsOver reports whether the next new connection may be handed over.
func (s *Server) handsOver() bool {
	return s.handover != nil && !s.closing.Load() && s.handover.Wanted()
}

// maxHeadWait bounds the time to wait for the head of a request whose connection is to be handed
// over. Callers send it right after they have connected.
const maxHeadWait = 50 * time.Millisecond

// arrival implements handover.Arrival.
type arrival struct {
	listener
	socket   sockopt.Socket
	accepted time.Time
	// ahead holds the bytes read from the connection, and conn is the connection once Open has been
	// called.
	ahead []byte
	conn  net.Conn
}

// Organisation implements handover.Arrival.
func (a *arrival) Organisation() (name string, ok bool) {
	if _, _, ok := a.server.classifier.Parse(a.ahead); !ok {
		return "", false
	}
	return a.server.classifier.ReadHead(a.ahead).Organisation, true
}

// Open implements handover.Arrival.
func (a *arrival) Open() (net.Conn, error) {
	// The listener reuses its buffer.
	a.ahead = slices.Clone(a.ahead)
	var err error
	if a.conn, err = a.socket.Conn(); err != nil {
		a.server.conns.Lose(a.server.early.Begin(len(a.ahead)))
	}
	return a.conn, err
}

// AwaitOrganisation implements handover.Arrival.
func (a *arrival) AwaitOrganisation() (name string, ok bool) {
	buffer := scratch.Get()
	defer buffer.Put()
	if a.conn.SetReadDeadline(clock.Deadline(maxHeadWait)) != nil {
		return "", false
	}
	for len(a.ahead) < len(buffer) {
		n, err := a.conn.Read(buffer[:len(buffer)-len(a.ahead)])
		a.ahead = append(a.ahead, buffer[:n]...)
		if name, ok = a.Organisation(); ok || err != nil || httphead.Complete(a.ahead) {
			break
		}
	}
	// An error shows at the next read.
	_ = a.conn.SetReadDeadline(time.Time{})
	return name, ok
}

// ReadAhead implements handover.Arrival.
func (a *arrival) ReadAhead() []byte { return a.ahead }

// ServeLocally implements handover.Arrival. The connection is rejected if it has waited for too long.
func (a *arrival) ServeLocally() {
	early, account := earlyrefusal.TCP(a.conn), a.server.early.Begin(len(a.ahead))
	if backlog.Overdue(clock.Since(a.accepted), a.server.overloaded()) {
		a.server.early.RejectRead(early, account, a.ahead)
		return
	}
	element := a.server.room.Accept()
	if element == nil {
		a.server.early.RejectRead(early, account, a.ahead)
		return
	}
	if a.server.refusesEarly() && a.server.refuseOverload(early, account, a.ahead) {
		a.server.arrivals.Remove(element)
		return
	}
	c, err := a.admit(a.conn, element, account, a.ahead)
	if err != nil {
		return
	}
	// Serve handles each connection in a goroutine of its own, and returns once there is no other.
	single := &singleListener{conn: c}
	if err := a.server.server.Serve(single); single.conn != nil {
		a.server.log.V(1).Info("accepted connection not served", "cause", err.Error())
		a.server.early.Refuse(early, account, a.ahead, refusal.Leaving, refusal.LeavingRetryAfter)
		_ = c.Close()
	}
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

// ReceivesLate reports whether connections that are handed over now would wait too long for CPU time.
func (s *Server) ReceivesLate() bool { return s.room.ReceivesLate() }

// ReserveReceived counts a connection of another router as open, without blocking. It returns false
// if the server is not ready, if ReceivesLate, if half of its callers' connections are handed-over ones,
// or if there is no room for another connection.
func (s *Server) ReserveReceived() bool { return s.Ready() && s.room.ReserveReceived() }

// ReleaseReceived undoes a call of ReserveReceived if the connection was lost.
func (s *Server) ReleaseReceived() { s.room.ReleaseReceived() }

// EndReceived makes the server end the connections that leaving routers handed over, as room.Room.EndReceived does.
func (s *Server) EndReceived(staying map[netip.Addr]bool) { s.room.EndReceived(staying) }

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
	return l.server.conns.OpenReceived(raw), nil
}
