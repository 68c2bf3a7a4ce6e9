package room

import (
	"net"
	"net/netip"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// MaxUnreadReceived is the number of handed-over connections that may wait for their first read. The
// CPU utilisation is up to a second old, in which many senders can offer more than a router can serve.
const MaxUnreadReceived = 8

// ReceivesLate reports whether connections that are handed over now would wait too long for CPU time.
func (r *Room) ReceivesLate() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.receivesLate()
}

// receivesLate is ReceivesLate; mu must be held.
func (r *Room) receivesLate() bool {
	return r.receivedUnread >= MaxUnreadReceived || r.arrivals.Late(clock.Now(), r.overloaded())
}

// ReserveReceived is Reserve for a connection of another router, without blocking. It returns false if ReceivesLate, if
// half of the connections are handed-over ones, or if there is no room for another connection.
func (r *Room) ReserveReceived() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.receivesLate() || r.received >= r.max/2 && !r.evictOldestReceived() {
		return false
	}
	if r.open >= r.max && !r.evictOldest() {
		return false
	}
	element := r.arrivals.Enqueue(clock.Now(), r.overloaded())
	if element == nil {
		return false
	}
	r.reserved = append(r.reserved, element)
	r.open++
	r.received++
	r.receivedUnread++
	return true
}

// ReleaseReceived undoes a call of ReserveReceived if the connection was lost.
func (r *Room) ReleaseReceived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	r.received--
	r.receivedUnread--
	last := len(r.reserved) - 1
	r.arrivals.Remove(r.reserved[last])
	r.reserved = r.reserved[:last]
	r.changed.Signal()
}

// AdmitReceived puts a connection of another router, which ReserveReceived counted, at p. It gets the element of the
// reservation that is the oldest.
func (r *Room) AdmitReceived(p *Place, c net.Conn) {
	p.received, p.waits, p.host = true, true, remoteHost(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Admit(p, c, r.reserved[0])
	r.reserved = r.reserved[1:]
}

// evictOldestReceived closes the handed-over connection that has been idle for the longest, and
// returns false if there is none. Otherwise the callers of another router could fill the limit with
// connections that they only keep open. mu must be held.
func (r *Room) evictOldestReceived() bool {
	for e := r.idle.Front(); e != nil; e = e.Next() {
		if p := e.Value.(*Place); p.received && sockopt.Idle(p.conn) {
			r.evict(p)
			return true
		}
	}
	return false
}

// EndReceived ends the connections that leaving routers handed over: each one after the
// answer in progress, and those without a request at once. staying holds the hosts at which only routers
// run that are not leaving; nil means that no router is leaving. Connections from hosts that are not
// known are ended too, since a router may connect from another address than the one that it announces.
//
// Only this side can do that: the router that relays a connection does not know where answers end.
func (r *Room) EndReceived(staying map[netip.Addr]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staying = staying
	if staying == nil {
		return
	}
	for e := r.idle.Front(); e != nil; {
		next := e.Next()
		r.evictIfRouterLeaves(e.Value.(*Place))
		e = next
	}
}

// routerLeaves reports whether the router that handed a connection over is leaving. mu must be held.
func (r *Room) routerLeaves(p *Place) bool {
	return p.received && r.staying != nil && !r.staying[p.host]
}

// evictIfRouterLeaves ends an idle connection whose router is leaving, unless a request has arrived: that
// one is served first. mu must be held.
func (r *Room) evictIfRouterLeaves(p *Place) {
	if r.routerLeaves(p) && sockopt.Idle(p.conn) {
		r.evict(p)
	}
}

// RouterLeaves reports whether the router that handed the connection over is leaving.
func (p *Place) RouterLeaves() bool {
	if !p.received {
		return false
	}
	p.room.mu.Lock()
	defer p.room.mu.Unlock()
	return p.room.routerLeaves(p)
}

// remoteHost returns the address of the other side's host, or the zero Addr if it has none.
func remoteHost(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap().WithZone("")
	}
	return netip.Addr{}
}
