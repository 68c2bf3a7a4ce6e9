package ingress

import (
	"container/list"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/arrivals"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// conns limits the number of callers' connections, since each takes memory. At the limit, new
// connections wait in the kernel's accept queue, and the next answer says that its connection is
// closed to make room for one. A connection that stays idle is closed without that.
type conns struct {
	max int

	mu   sync.Mutex
	open int
	// waiting is the number of connections that wait for room, queued that of others in the accept queue when the last
	// of them began to, and announced the number of those for which an answer has said that its connection is closed.
	// full is whether any wait, to be read without mu.
	waiting, queued, announced int
	full                       atomic.Bool
	// late is positive while connections are accepted that have waited in the accept queue, in vain, for an answer to
	// make room.
	late int
	// received is the number of open connections that other routers handed over.
	received int
	// receivedUnread is the number of those that have not been read yet, and reserved holds the
	// elements in arrivals of those that reserveReceived counted and receivedListener has not accepted.
	receivedUnread int
	reserved       []*list.Element
	// staying is what EndReceived set.
	staying map[netip.Addr]bool
	idle    list.List
	closed  bool
	// ending is set once the server shuts down: requests that begin then are refused. beginning is the
	// number of those that began before and whose handlers do not run yet.
	ending    atomic.Bool
	beginning atomic.Int64
	// shut is set once the HTTP server shuts down, which then closes connections without a read, and lasting is the
	// number of connections on which the last request is awaited or refused.
	shut    atomic.Bool
	lasting atomic.Int64
	// forced is set once all connections are to be closed at once.
	forced bool
	// overloaded reports whether the router is short of CPU time.
	overloaded func() bool
	// arrivals has the connections that wait for their first read.
	arrivals *arrivals.Queue
	// changed is signalled when a connection is closed.
	changed sync.Cond
}

func newConns(limit int, overloaded func() bool) *conns {
	c := &conns{max: limit, overloaded: overloaded, arrivals: arrivals.New()}
	c.changed.L = &c.mu
	return c
}

const (
	// announceTime is how long a new connection waits for an answer to make room, before another one is to, or a
	// connection that has been idle for that long. A caller with another request sends it sooner.
	announceTime = 50 * time.Millisecond
	// overloadedAnnounceTime is announceTime while the router is short of CPU time: the wait counts in the time after
	// which a new connection is rejected.
	overloadedAnnounceTime = 15 * time.Millisecond
	// stayIdleTime is the time after which an idle connection is closed for a new one at once.
	stayIdleTime = time.Second
)

// reserve waits until there is room for another connection, and counts it as open. It returns
// false once the listener is closed.
func (s *conns) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.max {
		s.awaitRoom()
	}
	s.announced = max(s.announced-1, 0)
	s.open++
	return !s.closed
}

// awaitRoom waits until there is room for another connection or the listener is closed. mu must be held.
func (s *conns) awaitRoom() {
	began := clock.Now()
	s.countWaiting(1)
	s.queued = s.arrivals.Unaccepted()
	wait, minIdle := announceTime, stayIdleTime
	if s.overloaded() {
		wait = overloadedAnnounceTime
	}
	if s.late > 0 {
		minIdle = wait
	}
	for round := began; s.open >= s.max && !s.closed; {
		if clock.Since(round) >= wait {
			s.announced, s.queued, round, minIdle = 0, s.arrivals.Unaccepted(), clock.Now(), wait
			s.late = 1 + s.queued
		}
		if !s.evictIdle(minIdle) {
			wake := time.AfterFunc(wait, s.changed.Broadcast)
			s.changed.Wait()
			wake.Stop()
		}
	}
	s.countWaiting(-1)
	s.arrivals.NoteRoomWait(clock.Since(began))
}

// countWaiting adds n to the number of connections that wait for room. mu must be held.
func (s *conns) countWaiting(n int) {
	s.waiting += n
	s.full.Store(s.waiting > 0)
}

// announceClose reports whether an answer that begins is to say that its connection is closed, to make room for
// one that waits. A stream that is long does not make room soon, so others are to do so beside it.
func (s *conns) announceClose(long bool) bool {
	if !s.full.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if long {
		return s.waiting > 0
	}
	if s.announced >= s.waiting+s.queued {
		return false
	}
	s.announced++
	return true
}

// evictOldest closes the connection that has been idle for the longest, and returns false if
// there is none. A connection with unread input, such as a request that has just arrived, does
// not count as idle. mu must be held.
func (s *conns) evictOldest() bool { return s.evictIdle(0) }

// evictIdle is evictOldest for connections that have been idle for at least a time.
func (s *conns) evictIdle(atLeast time.Duration) bool {
	for s.idle.Len() > 0 {
		c := s.idle.Front().Value.(*conn)
		if clock.Since(c.idleSince) < atLeast {
			return false
		}
		if !sockopt.Idle(c.Conn) {
			s.idle.Remove(c.idleElement)
			c.idleElement = nil
			continue
		}
		s.evict(c)
		return true
	}
	return false
}

// evict ends an idle connection. The goroutine that reads from it closes it, since it may have read a
// request just now, which it then refuses. mu must be held.
func (s *conns) evict(c *conn) {
	s.idle.Remove(c.idleElement)
	c.idleElement = nil
	c.evicted.Store(true)
	s.countClosed(c)
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(past)
}

// end makes the server refuse all requests that have not begun, and ends the idle connections.
func (s *conns) end() {
	s.ending.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.idle.Len() > 0 {
		s.evict(s.idle.Front().Value.(*conn))
	}
}

// past is a deadline that ends reads at once.
var past = time.Unix(1, 0)

// countClosed counts a connection as closed. mu must be held.
func (s *conns) countClosed(c *conn) {
	s.open--
	if c.received {
		s.received--
		s.countRead(c)
	}
}

// countRead counts a handed-over connection as read, or as closed before that. mu must be held.
func (s *conns) countRead(c *conn) {
	if c.waits {
		c.waits = false
		s.receivedUnread--
	}
}

// close makes reserve return false, also in calls that are waiting.
func (s *conns) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.changed.Broadcast()
}

// enqueue adds a connection that was just accepted to those waiting for their first read. It
// returns nil if the connection is to be rejected at once.
func (s *conns) enqueue() *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = max(s.late-1, 0)
	return s.arrivals.Accept(clock.Now(), s.overloaded())
}

// dequeue removes a connection that is read for the first time, and reports whether it is to be
// rejected because it has waited too long for that.
func (s *conns) dequeue(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countRead(c)
	return s.arrivals.Dequeue(clock.Now(), c.unreadElement, s.overloaded(), c.received)
}

// TakeArrivalStats returns the statistics of new connections of the time since the last call.
func (s *Server) TakeArrivalStats() arrivals.Stats {
	out := s.conns.arrivals.TakeStats()
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	out.Open, out.Received = s.conns.open, s.conns.received
	return out
}
