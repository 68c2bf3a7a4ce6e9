// Package room limits the number of callers' connections, since each takes memory. At the limit, new connections wait
// in the kernel's accept queue, and the next answer says that its connection is closed to make room for one. A
// connection that stays idle is closed without that.
//
// A connection's Place is its state in the room. That tells whether it may be closed: to make room, as the router that
// handed it over leaves, or as the server shuts down.
package room

import (
	"container/list"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/arrivals"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// Room has the open connections of a server. Use New to create one.
type Room struct {
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
	// elements in arrivals of those that ReserveReceived counted and AdmitReceived has not admitted.
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
	// stopping is set once the HTTP server shuts down, which then closes connections without a read, and lasting is the
	// number of connections on which the last request is awaited or refused.
	stopping atomic.Bool
	lasting  atomic.Int64
	// forced is set once all connections are to be closed at once.
	forced bool
	// overloaded reports whether the router is short of CPU time.
	overloaded func() bool
	// arrivals has the connections that wait for their first read.
	arrivals *arrivals.Queue
	// changed is signalled when a connection is closed.
	changed sync.Cond
}

// New returns a room for limit connections, of which q has those that wait for their first read. overloaded reports
// whether the router is short of CPU time.
func New(limit int, q *arrivals.Queue, overloaded func() bool) *Room {
	r := &Room{max: limit, overloaded: overloaded, arrivals: q}
	r.changed.L = &r.mu
	return r
}

const (
	// AnnounceTime is how long a new connection waits for an answer to make room, before another one is to, or a
	// connection that has been idle for that long. A caller with another request sends it sooner.
	AnnounceTime = 50 * time.Millisecond
	// overloadedAnnounceTime is AnnounceTime while the router is short of CPU time: the wait counts in the time after
	// which a new connection is rejected.
	overloadedAnnounceTime = 15 * time.Millisecond
	// stayIdleTime is the time after which an idle connection is closed for a new one at once.
	stayIdleTime = time.Second
)

// Accept adds a connection that was just accepted to those waiting for their first read. It
// returns nil if the connection is to be rejected at once.
func (r *Room) Accept() *list.Element {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = max(r.late-1, 0)
	return r.arrivals.Accept(clock.Now(), r.overloaded())
}

// Reserve waits until there is room for another connection, and counts it as open. It returns
// false once the room is closed.
func (r *Room) Reserve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open >= r.max {
		r.awaitRoom()
	}
	r.announced = max(r.announced-1, 0)
	r.open++
	return !r.closed
}

// awaitRoom waits until there is room for another connection or the room is closed. mu must be held.
func (r *Room) awaitRoom() {
	began := clock.Now()
	r.countWaiting(1)
	r.queued = r.arrivals.Unaccepted()
	wait, minIdle := AnnounceTime, stayIdleTime
	if r.overloaded() {
		wait = overloadedAnnounceTime
	}
	if r.late > 0 {
		minIdle = wait
	}
	for round := began; r.open >= r.max && !r.closed; {
		if clock.Since(round) >= wait {
			r.announced, r.queued, round, minIdle = 0, r.arrivals.Unaccepted(), clock.Now(), wait
			r.late = 1 + r.queued
		}
		if !r.evictIdle(minIdle) {
			wake := time.AfterFunc(wait, r.changed.Broadcast)
			r.changed.Wait()
			wake.Stop()
		}
	}
	r.countWaiting(-1)
	r.arrivals.NoteRoomWait(clock.Since(began))
}

// countWaiting adds n to the number of connections that wait for room. mu must be held.
func (r *Room) countWaiting(n int) {
	r.waiting += n
	r.full.Store(r.waiting > 0)
}

// AnnounceClose reports whether an answer that begins is to say that its connection is closed, to make room for
// one that waits. A stream that is long does not make room soon, so others are to do so beside it.
func (r *Room) AnnounceClose(long bool) bool {
	if !r.full.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if long {
		return r.waiting > 0
	}
	if r.announced >= r.waiting+r.queued {
		return false
	}
	r.announced++
	return true
}

// evictOldest closes the connection that has been idle for the longest, and returns false if
// there is none. A connection with unread input, such as a request that has just arrived, does
// not count as idle. mu must be held.
func (r *Room) evictOldest() bool { return r.evictIdle(0) }

// evictIdle is evictOldest for connections that have been idle for at least a time.
func (r *Room) evictIdle(atLeast time.Duration) bool {
	for r.idle.Len() > 0 {
		p := r.idle.Front().Value.(*Place)
		if clock.Since(p.idleSince) < atLeast {
			return false
		}
		if !sockopt.Idle(p.conn) {
			p.removeIdle()
			continue
		}
		r.evict(p)
		return true
	}
	return false
}

// evict ends an idle connection. The goroutine that reads from it closes it, since it may have read a
// request just now, which it then refuses. mu must be held.
func (r *Room) evict(p *Place) {
	p.removeIdle()
	p.evicted.Store(true)
	r.countClosed(p)
	// An error means that the connection is closed already.
	_ = p.conn.SetReadDeadline(past)
}

// past is a deadline that ends reads at once.
var past = time.Unix(1, 0)

// countClosed counts a connection as closed. mu must be held.
func (r *Room) countClosed(p *Place) {
	r.open--
	if p.received {
		r.received--
		r.countRead(p)
	}
}

// countRead counts a handed-over connection as read, or as closed before that. mu must be held.
func (r *Room) countRead(p *Place) {
	if p.waits {
		p.waits = false
		r.receivedUnread--
	}
}

// Counts returns the number of open connections, and of those that other routers handed over.
func (r *Room) Counts() (open, received int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open, r.received
}

// Close makes Reserve return false, also in calls that are waiting.
func (r *Room) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.changed.Broadcast()
}

// Admit puts a connection for which Reserve made room at p. arrival is its element in the arrivals.
func (r *Room) Admit(p *Place, c net.Conn, arrival *list.Element) {
	p.room, p.conn, p.arrival = r, c, arrival
}
