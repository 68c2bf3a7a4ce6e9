package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/stepcroft/stepcroft/internal/clock"
)

const (
	// neverIdle is the idle timeout of the library, which must never apply: it sets the deadline of
	// a new connection only after its first request may have been read, and so would cut off a
	// request that takes longer.
	neverIdle = 365 * 24 * time.Hour
	// sweepsPerTimeout is the number of searches for idle connections in one idle timeout.
	sweepsPerTimeout = 4
)

// idleConns closes connections that have been without a request for too long.
type idleConns struct {
	timeout time.Duration
	mu      sync.Mutex
	// since has the time since when each open connection has been idle; zero while it has a
	// request.
	since map[*nbio.Conn]time.Time
}

func newIdleConns(timeout time.Duration) *idleConns {
	return &idleConns{timeout: timeout, since: map[*nbio.Conn]time.Time{}}
}

// rawConn returns the library's connection under c, or nil.
func rawConn(c net.Conn) *nbio.Conn {
	if wrapped, ok := c.(*nbhttp.Conn); ok {
		c = wrapped.Conn
	}
	raw, _ := c.(*nbio.Conn)
	return raw
}

func (i *idleConns) opened(c net.Conn) {
	if raw := rawConn(c); raw != nil {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.since[raw] = clock.Now()
	}
}

func (i *idleConns) closed(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.since, rawConn(c))
}

// set notes since when an open connection has been idle.
func (i *idleConns) set(c *nbio.Conn, since time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, open := i.since[c]; open {
		i.since[c] = since
	}
}

// run closes idle connections until ctx is done.
func (i *idleConns) run(ctx context.Context) {
	ticker := time.NewTicker(i.timeout / sweepsPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, c := range i.expired(clock.Now()) {
				_ = c.Close()
			}
		}
	}
}

func (i *idleConns) expired(now time.Time) []*nbio.Conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	var list []*nbio.Conn
	for c, since := range i.since {
		if !since.IsZero() && now.Sub(since) >= i.timeout {
			list = append(list, c)
		}
	}
	return list
}

// busyHandler marks the connection of each request as not idle while the request is served.
type busyHandler struct {
	next http.Handler
	idle *idleConns
}

func (h busyHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if res, ok := w.(*nbhttp.Response); ok && res.Parser != nil {
		if c := rawConn(res.Parser.Conn); c != nil {
			h.idle.set(c, time.Time{})
			defer func() { h.idle.set(c, clock.Now()) }()
		}
	}
	h.next.ServeHTTP(w, r)
}
