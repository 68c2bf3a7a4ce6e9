package ingress

import (
	"container/list"
	"net"
	"runtime"
	"slices"

	"github.com/stepcroft/stepcroft/internal/backlog"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/earlyrefusal"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// maxEarlyBytes bounds what is read from a new connection before the HTTP server gets it. Few
// requests are larger.
const maxEarlyBytes = 64 << 10

// listener accepts callers' connections. While the router is short of CPU time or throttles an
// organisation, it refuses requests before the HTTP server gets their connections, at a
// fraction of the cost. Each refusal carries a Retry-After: if a connection is just closed, the
// caller reconnects at once, several times per request, and that alone keeps the CPU busy.
type listener struct {
	net.Listener
	// acceptor accepts connections as plain sockets while many are refused; nil if the
	// listener is not a TCP listener or the acceptor could not be created.
	acceptor *sockopt.Acceptor
	server   *Server
	// buffer and batch are used only by the goroutine that calls Accept.
	buffer *[maxEarlyBytes]byte
	batch  *backlog.Batch
}

func newListener(l net.Listener, s *Server) listener {
	out := listener{l, nil, s, new([maxEarlyBytes]byte), new(backlog.Batch)}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return out
	}
	var err error
	s.arrivals.Watch(tcp)
	if out.acceptor, err = sockopt.NewAcceptor(tcp); err != nil {
		s.log.Info("early refusal of requests not available", "cause", err.Error())
	}
	return out
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		early, handsOver := l.server.refusesEarly(), l.server.handsOver()
		if l.batch.Next(early) {
			l.server.arrivals.Sample()
			runtime.Gosched()
		}
		accept := l.accept
		if l.acceptor != nil && (early || handsOver) {
			accept = func() (net.Conn, error) { return l.acceptSocket(handsOver) }
		}
		if c, err := accept(); c != nil || err != nil {
			return c, err
		}
	}
}

// refusesEarly reports whether requests are to be checked, and may be refused, before the HTTP
// server gets their connections.
func (s *Server) refusesEarly() bool { return s.forwarder.Throttling() || s.overloaded() }

// refuseOverload is earlyrefusal's, but leaves requests to the HTTP server once the router shuts down.
func (s *Server) refuseOverload(c earlyrefusal.Conn, account *lifecycle.Request, arrived []byte) bool {
	return !s.closing.Load() && s.early.RefuseOverload(c, account, arrived)
}

// accept accepts a connection. It returns nil if the connection was rejected.
func (l listener) accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	element := l.server.room.Accept()
	if element == nil {
		l.server.early.Reject(earlyrefusal.TCP(raw), nil, l.buffer[:], 0)
		return nil, nil
	}
	return l.admit(raw, element, nil, nil)
}

// acceptSocket accepts a connection as a plain socket and reads what has arrived on it. It
// returns nil if the connection was handed over or rejected, or its request refused.
func (l listener) acceptSocket(handsOver bool) (net.Conn, error) {
	socket, err := l.acceptor.Accept()
	if err != nil {
		return nil, err
	}
	ahead := l.buffer[:socket.ReadNow(l.buffer[:])]
	// The connection is offered before any other check: those refuse requests for lack of CPU time
	// here, which says nothing about other routers.
	if handsOver && l.server.handover.Take(&arrival{listener: l, socket: socket, accepted: clock.Now(), ahead: ahead}) {
		return nil, nil
	}
	account := l.server.early.Begin(len(ahead))
	element := l.server.room.Accept()
	if element == nil {
		l.server.early.Reject(socket, account, l.buffer[:], len(ahead))
		return nil, nil
	}
	if l.server.refuseOverload(socket, account, ahead) {
		l.server.arrivals.Remove(element)
		return nil, nil
	}
	raw, err := socket.Conn()
	if err != nil {
		// Returning the error would stop http.Server.
		l.server.arrivals.Remove(element)
		l.server.conns.Lose(account)
		l.server.log.Info("accepted connection lost", "cause", err.Error())
		return nil, nil
	}
	return l.admit(raw, element, account, slices.Clone(ahead))
}

// admit waits until there is room for a connection and returns it for the HTTP server; ahead
// holds the bytes already read from it, of which there is an account. If the listener closes meanwhile, admit refuses
// the request and returns net.ErrClosed.
func (l listener) admit(raw net.Conn, element *list.Element, account *lifecycle.Request, ahead []byte) (net.Conn, error) {
	if !l.server.room.Reserve() {
		l.server.arrivals.Remove(element)
		l.server.early.Refuse(earlyrefusal.TCP(raw), account, ahead, refusal.Leaving, refusal.LeavingRetryAfter)
		return nil, net.ErrClosed
	}
	return l.server.conns.Open(raw, element, account, ahead), nil
}

// Close implements net.Listener. It refuses the requests on connections that nobody has accepted, which the kernel
// would reset.
func (l listener) Close() error {
	l.server.room.Close()
	var waiting []sockopt.Socket
	if l.acceptor != nil {
		waiting = l.server.early.RefuseQueued(l.acceptor)
		if err := l.acceptor.Close(); err != nil {
			l.server.log.Info("listening socket not closed", "cause", err.Error())
		}
	}
	err := l.Listener.Close()
	l.server.early.RefuseAwaited(waiting)
	return err
}
