package ingress

import (
	"container/list"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/backlog"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/forward"
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
	conns    *conns
	// buffer and batch are used only by the goroutine that calls Accept.
	buffer *[maxEarlyBytes]byte
	batch  *backlog.Batch
}

func newListener(l net.Listener, s *Server) listener {
	out := listener{l, nil, s, s.conns, new([maxEarlyBytes]byte), new(backlog.Batch)}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return out
	}
	var err error
	s.conns.arrivals.Watch(tcp)
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
			l.conns.arrivals.Sample()
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
func (s *Server) refusesEarly() bool { return s.forwarder.Throttling() || s.conns.overloaded() }

// accept accepts a connection. It returns nil if the connection was rejected.
func (l listener) accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	element := l.conns.enqueue()
	if element == nil {
		l.server.reject(earlyTCPConn{raw}, nil, l.buffer[:], 0)
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
	account := l.server.beginArrived(len(ahead))
	element := l.conns.enqueue()
	if element == nil {
		l.server.reject(socket, account, l.buffer[:], len(ahead))
		return nil, nil
	}
	if l.server.refuseComplete(socket, account, ahead) {
		l.conns.arrivals.Remove(element)
		return nil, nil
	}
	raw, err := socket.Conn()
	if err != nil {
		// Returning the error would stop http.Server.
		l.conns.arrivals.Remove(element)
		l.server.loseConnection(account)
		l.server.log.Info("accepted connection lost", "cause", err.Error())
		return nil, nil
	}
	return l.admit(raw, element, account, slices.Clone(ahead))
}

// admit waits until there is room for a connection and returns it for the HTTP server; ahead
// holds the bytes already read from it, of which there is an account. If the listener closes meanwhile, admit refuses
// the request and returns net.ErrClosed.
func (l listener) admit(raw net.Conn, element *list.Element, account *lifecycle.Request, ahead []byte) (net.Conn, error) {
	if !l.conns.reserve() {
		l.conns.arrivals.Remove(element)
		buffer := scratchBuffers.Get().(*[scratchSize]byte)
		defer scratchBuffers.Put(buffer)
		l.server.refuseArrived(earlyTCPConn{raw}, account, buffer[:], copy(buffer[:], ahead), refusal.Leaving, refusal.LeavingRetryAfter)
		return nil, net.ErrClosed
	}
	c := &conn{Conn: raw, server: l.server, conns: l.conns, betweenRequests: true, unreadElement: element, readAhead: ahead}
	c.request.Store(account)
	return c, nil
}

const (
	// maxLastWait is how long a listener that closes waits for the requests of the connections that it still accepts.
	maxLastWait = 20 * time.Millisecond
	// maxLastAccepts is how long it accepts connections while callers keep connecting.
	maxLastAccepts = 100 * time.Millisecond
)

// Close implements net.Listener. It refuses the requests on connections that nobody has accepted, which the kernel
// would reset.
func (l listener) Close() error {
	l.conns.close()
	var waiting []sockopt.Socket
	if l.acceptor != nil {
		waiting = l.refuseQueued()
		if err := l.acceptor.Close(); err != nil {
			l.server.log.Info("listening socket not closed", "cause", err.Error())
		}
	}
	err := l.Listener.Close()
	l.server.refuseAwaited(waiting)
	return err
}

// refuseQueued accepts the connections that nobody has accepted, and refuses the requests that have arrived. It returns
// the connections without one. The others are closed one by one, since there may be more than the process may open.
func (l listener) refuseQueued() (waiting []sockopt.Socket) {
	buffer := scratchBuffers.Get().(*[scratchSize]byte)
	defer scratchBuffers.Put(buffer)
	for end := clock.Now().Add(maxLastAccepts); clock.Now().Before(end); {
		socket, ok := l.acceptor.AcceptNow()
		if !ok {
			break
		}
		if n := socket.ReadNow(buffer[:]); n > 0 {
			l.server.refuseArrived(socket, l.server.beginArrived(n), buffer[:], n, refusal.Leaving, refusal.LeavingRetryAfter)
		} else {
			waiting = append(waiting, socket)
		}
	}
	return waiting
}

// refuseAwaited waits for the requests on connections that were accepted as the listener closed, and refuses them.
func (s *Server) refuseAwaited(waiting []sockopt.Socket) {
	buffer := scratchBuffers.Get().(*[scratchSize]byte)
	defer scratchBuffers.Put(buffer)
	end := clock.Now().Add(maxLastWait)
	for _, socket := range waiting {
		n := socket.ReadNow(buffer[:])
		for n == 0 && clock.Now().Before(end) {
			time.Sleep(time.Millisecond)
			n = socket.ReadNow(buffer[:])
		}
		if n == 0 {
			// An error means that the caller has disconnected.
			_ = socket.Close()
			continue
		}
		s.refuseArrived(socket, s.beginArrived(n), buffer[:], n, refusal.Leaving, refusal.LeavingRetryAfter)
	}
}

// earlyConn is a new connection on which a request can be refused without blocking.
type earlyConn interface {
	// ReadNow reads what has arrived, without blocking, and returns the number of bytes.
	ReadNow(b []byte) int
	io.WriteCloser
}

// earlyTCPConn implements earlyConn for a net.Conn.
type earlyTCPConn struct{ net.Conn }

func (c earlyTCPConn) ReadNow(b []byte) int { return sockopt.ReadNow(c.Conn, b) }

// refuseComplete refuses a request that has arrived completely, if its organisation's requests
// are to be refused. It returns false, and has done nothing, if the HTTP server is to serve the
// connection.
func (s *Server) refuseComplete(c earlyConn, account *lifecycle.Request, arrived []byte) bool {
	h, size, ok := s.classifier.Parse(arrived)
	if !ok || h.BodyLength != len(arrived)-size || s.closing.Load() {
		return false
	}
	r, reason := s.overloadReason(h)
	if reason == "" {
		return false
	}
	r.Arrived = clock.Now()
	s.refuseAndClose(c, account, r, reason, refusal.OverloadRetryAfter())
	return true
}

// reject rejects a connection that waited too long for CPU time; the first n bytes of buffer
// have been read from it.
func (s *Server) reject(c earlyConn, account *lifecycle.Request, buffer []byte, n int) {
	s.countRejection()
	s.refuseArrived(c, account, buffer, n, refusal.Overdue, refusal.OverloadRetryAfter())
}

// refuseArrived refuses a request of which the first n bytes of buffer have been read, with their account, nil if there
// is none, and closes the connection. It first reads the rest of what has arrived: the kernel resets a connection that is closed
// with unread bytes, and the caller could lose the answer.
func (s *Server) refuseArrived(c earlyConn, account *lifecycle.Request, buffer []byte, n int, reason forward.Reason, after time.Duration) {
	n += c.ReadNow(buffer[n:])
	r := s.classifier.ReadHead(buffer[:n])
	for n == len(buffer) {
		n = c.ReadNow(buffer)
	}
	s.refuseAndClose(c, account, r, reason, after)
}

// refuseAndClose answers a request that has not run with 503 and a Retry-After, and closes the
// connection.
func (s *Server) refuseAndClose(c earlyConn, account *lifecycle.Request, r forward.Request, reason forward.Reason, after time.Duration) {
	result := refusal.New(http.StatusServiceUnavailable, reason, after)
	if account == nil {
		account = s.requests.Begin(clock.Now())
	}
	end := lifecycle.Refused
	if _, err := c.Write(refusal.Format(s.headerNames.RequestID, r.ID, result, true)); err != nil {
		s.log.V(1).Info("refusal not delivered", "id", r.ID, "cause", err.Error())
		end = lifecycle.CallerGone
	}
	account.Identify(r.ID)
	account.Close(clock.Now(), end)
	s.conns.arrivals.CountRefused()
	// An error means that the caller has disconnected.
	_ = c.Close()
	s.observer.RequestEnded(r, result, 0)
}

// rejectionCounter counts rejected connections. lastLogged is the Unix time, in seconds, at
// which they were last logged.
type rejectionCounter struct {
	total      atomic.Int64
	lastLogged atomic.Int64
}

// countRejection counts a rejected connection. It logs the total at most once a second, since
// there may be thousands.
func (s *Server) countRejection() {
	total, second := s.rejections.total.Add(1), clock.Wall().Unix()
	if s.rejections.lastLogged.Swap(second) == second {
		return
	}
	accepted, longestWait := s.conns.arrivals.TakeAccepted()
	s.log.Info("callers turned away", "count", total, "accepted", accepted, "longest_ms", longestWait.Milliseconds())
}
