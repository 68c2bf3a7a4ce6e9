// Package httpserver serves HTTP with nbhttp. Each request runs in a goroutine of its own, so
// handlers may block.
package httpserver

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/group"
)

const (
	// maxRequestBytes is the maximum size of a request, in bytes. The connection of a larger
	// one is closed without an answer. Handlers have lower limits of their own, above which
	// they do answer.
	maxRequestBytes = 8 << 20
	// maxUnsentBytes bounds the unsent bytes buffered for a caller that reads slowly; above it,
	// the connection is closed.
	maxUnsentBytes = 1 << 20
	// defaultIdleTimeout is the default of Options.IdleTimeout.
	defaultIdleTimeout = 60 * time.Second
	// spareConnectionsDivisor is the ratio of the maximum number of connections to the number
	// that may be open beyond it, whose requests are answered with a Retry-After.
	spareConnectionsDivisor = 4
	// retryAfterSeconds is the Retry-After, in seconds, of the default Options.RejectHandler.
	retryAfterSeconds = "1"
	// startDelay is how long New waits for the pollers to start: a poller that is stopped
	// before it has started never ends. Since one may still start late, stopTimeout bounds how
	// long Stop waits for them.
	startDelay  = time.Millisecond
	stopTimeout = time.Second
	// readBufferSize is the size of a poller's read buffer, in bytes.
	readBufferSize = 16 << 10
)

// disableLogging turns off nbio's logging.
var disableLogging = sync.OnceFunc(func() { logging.SetLevel(logging.LevelNone) })

// Server is a running HTTP server. Use New to create one.
type Server struct {
	engine  *nbhttp.Engine
	group   *group.Group
	address string
	// opened counts all connections; trackConnections also orders memory accesses with it.
	opened atomic.Int64
	// open is the number of open connections.
	open atomic.Int64
	idle *idleConns
}

// Options holds a server's limits.
type Options struct {
	// MaxConnections is the maximum number of connections served at a time; 0 means no limit.
	// RejectHandler answers requests on connections beyond it and should set Retry-After; nil
	// means a plain 503 with a Retry-After.
	MaxConnections int
	RejectHandler  http.Handler
	// Pollers is the number of goroutines that read from connections.
	Pollers int
	// IdleTimeout bounds how long a connection may stay open without a request, and how long
	// a request may take to arrive; 0 means a minute.
	IdleTimeout time.Duration
}

// New starts a server that listens on address and calls handler until Stop.
func New(address string, handler http.Handler, o Options) (*Server, error) {
	disableLogging()
	s := &Server{group: group.New(context.Background()), idle: newIdleConns(cmp.Or(o.IdleTimeout, defaultIdleTimeout))}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:            "tcp",
		Addrs:              []string{address},
		Handler:            busyHandler{connectionLimiter{statusHandler{handler}, o.rejectHandler(), &s.open, int64(o.MaxConnections)}, s.idle},
		MaxLoad:            o.MaxConnections + o.MaxConnections/spareConnectionsDivisor,
		NPoller:            o.Pollers,
		ReadBufferSize:     readBufferSize,
		ReadLimit:          maxRequestBytes,
		MaxHTTPBodySize:    maxRequestBytes,
		MaxWriteBufferSize: maxUnsentBytes,
		KeepaliveTime:      neverIdle,
		ServerExecutor:     s.group.Go,
		Listen: func(network, address string) (net.Listener, error) {
			l, err := net.Listen(network, address)
			if err == nil {
				s.address = l.Addr().String()
			}
			return l, err
		},
	})
	s.trackConnections()
	if err := s.engine.Start(); err != nil {
		return nil, errors.Wrapf(err, "serve HTTP on %s", address)
	}
	time.Sleep(startDelay)
	s.group.GoContext(s.idle.run)
	return s, nil
}

// rejectHandler returns the handler of requests on connections beyond MaxConnections.
func (o Options) rejectHandler() http.Handler {
	if o.RejectHandler != nil {
		return o.RejectHandler
	}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
	})
}

// connectionLimiter passes requests to reject, and closes their connections, while more than
// maxOpen connections are open; maxOpen 0 means no limit. It answers because a caller whose
// connection is closed without an answer reconnects at once.
type connectionLimiter struct {
	next, reject http.Handler
	open         *atomic.Int64
	maxOpen      int64
}

func (l connectionLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.maxOpen == 0 || l.open.Load() <= l.maxOpen {
		l.next.ServeHTTP(w, r)
		return
	}
	w.Header().Set("Connection", "close")
	l.reject.ServeHTTP(w, r)
}

// trackConnections counts open connections. It also makes the accepting goroutine's writes to a
// connection happen before the reads of the poller goroutine, through the atomic counter opened:
// the kernel orders the two through epoll, but Go's memory model and the race detector do not
// know that.
func (s *Server) trackConnections() {
	s.engine.OnOpen(func(c net.Conn) {
		s.opened.Add(1)
		s.open.Add(1)
		s.idle.opened(c)
	})
	s.engine.OnClose(func(c net.Conn, _ error) {
		s.open.Add(-1)
		s.idle.closed(c)
	})
	s.engine.Engine.OnData(func(c *nbio.Conn, data []byte) {
		s.opened.Load()
		c.DataHandler()(c, data)
	})
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.address }

// Stop closes all connections and waits for the handlers to return.
func (s *Server) Stop() {
	stopped := make(chan struct{})
	group.New(context.Background()).Go(func() {
		s.engine.Stop()
		close(stopped)
	})
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
		// A poller that started too late keeps running, but gets no more events.
	}
	s.group.Stop()
}

// CallerDisconnected reports whether the caller's connection, to which w writes, is closed.
func CallerDisconnected(w http.ResponseWriter) bool {
	res, ok := w.(*response)
	if !ok || res.library.Parser == nil {
		return false
	}
	raw := rawConn(res.library.Parser.Conn)
	if raw == nil {
		return false
	}
	closed, _ := raw.IsClosed()
	return closed
}
