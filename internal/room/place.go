package room

import (
	"container/list"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
)

// Place is the state of a connection in a room. Room.Admit or Room.AdmitReceived must be called before any method.
type Place struct {
	room *Room
	conn net.Conn
	// arrival is the connection's element in the arrivals until the first read.
	arrival *list.Element
	// received is set if another router handed the connection over, which runs at host.
	received bool
	host     netip.Addr
	// evicted is set, with Room.mu held, if the connection ends while it is idle: to make room for another
	// one, or since the server shuts down.
	evicted atomic.Bool
	// beginning is set from the first byte of a request until its handler runs, and inHead until the HTTP server has
	// read its head.
	beginning, inHead atomic.Bool

	// The fields below are guarded by Room.mu. idleElement is the connection's element in
	// Room.idle, nil if it is not idle, since idleSince; refusing is set while the last request is refused by the
	// goroutine that then closes the connection.
	idleElement      *list.Element
	idleSince        time.Time
	refusing, closed bool
	// waits is set while the connection counts in Room.receivedUnread.
	waits bool
	// inUse is set while a request is read or served, and leftOpen once a close was left to the goroutine that serves
	// the connection.
	inUse, leftOpen bool
}

// Evicted reports whether the connection has ended while it was idle.
func (p *Place) Evicted() bool { return p.evicted.Load() }

// Received reports whether another router handed the connection over.
func (p *Place) Received() bool { return p.received }

// IdleSince returns when the connection became idle last. Only the goroutine that calls MarkIdle may call it.
func (p *Place) IdleSince() time.Time { return p.idleSince }

// Dequeue removes a connection that is read for the first time from the arrivals, and reports whether it is to be
// rejected because it has waited too long for that.
func (p *Place) Dequeue() (overdue bool) {
	r := p.room
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countRead(p)
	return r.arrivals.Dequeue(clock.Now(), p.arrival, r.overloaded(), p.received)
}

// MarkIdle marks the connection as idle.
func (p *Place) MarkIdle() {
	r := p.room
	r.mu.Lock()
	defer r.mu.Unlock()
	p.idleSince, p.inUse = clock.Now(), false
	if p.evicted.Load() || p.closed || p.idleElement != nil {
		return
	}
	p.idleElement = r.idle.PushBack(p)
	if r.ending.Load() {
		r.evict(p)
	} else {
		r.evictIfRouterLeaves(p)
	}
}

// LeaveIdle marks the connection as not idle.
func (p *Place) LeaveIdle() {
	p.room.mu.Lock()
	defer p.room.mu.Unlock()
	p.removeIdle()
	p.inUse = true
}

// removeIdle is LeaveIdle; mu must be held.
func (p *Place) removeIdle() {
	if p.idleElement != nil {
		p.room.idle.Remove(p.idleElement)
		p.idleElement = nil
	}
}

// MarkInUse marks the connection as in use, with a request that begins. It returns false if the connection
// is to end; the caller must then close it.
func (p *Place) MarkInUse() bool {
	r := p.room
	r.mu.Lock()
	defer r.mu.Unlock()
	p.removeIdle()
	p.begin()
	if p.refusing = p.evicted.Load() || r.ending.Load(); p.refusing {
		p.Begun()
	}
	p.inUse = !p.refusing
	return p.inUse
}

// begin counts a request that begins.
func (p *Place) begin() {
	if !p.beginning.Swap(true) {
		p.room.beginning.Add(1)
	}
}

// Begun notes that the handler of the request that has begun runs, or that the connection ends.
func (p *Place) Begun() {
	if p.beginning.Swap(false) {
		p.room.beginning.Add(-1)
	}
}

// BeginHead notes that the head of a request is read, until EndHead.
func (p *Place) BeginHead() { p.inHead.Store(true) }

// EndHead notes that the HTTP server has read the head of the request.
func (p *Place) EndHead() { p.inHead.Store(false) }

// Release removes the connection from the room. It returns false if it is closed already, or by the goroutine that
// refuses its last request. stopping is set if the room is closed.
func (p *Place) Release() (toClose, stopping bool) {
	r := p.room
	r.mu.Lock()
	defer r.mu.Unlock()
	toClose = !p.closed && !p.refusing
	if p.evicted.Load() || p.closed {
		p.closed = true
		return toClose, r.closed
	}
	p.closed = true
	r.arrivals.Remove(p.arrival)
	p.removeIdle()
	r.countClosed(p)
	r.changed.Signal()
	return toClose, r.closed
}
