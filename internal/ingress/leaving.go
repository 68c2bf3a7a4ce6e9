package ingress

import (
	"context"
	"net"
	"net/netip"

	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// EndReceived makes the server end the connections that leaving routers handed over: each one after the
// answer in progress, and those without a request at once. staying holds the hosts at which only routers
// run that are not leaving; nil means that no router is leaving. Connections from hosts that are not
// known are ended too, since a router may connect from another address than the one that it announces.
//
// Only this side can do that: the router that relays a connection does not know where answers end.
func (s *Server) EndReceived(staying map[netip.Addr]bool) {
	c := s.conns
	c.mu.Lock()
	defer c.mu.Unlock()
	c.staying = staying
	if staying == nil {
		return
	}
	for e := c.idle.Front(); e != nil; {
		next := e.Next()
		c.evictIfRouterLeaves(e.Value.(*conn))
		e = next
	}
}

// routerLeaves reports whether the router that handed a connection over is leaving. mu must be held.
func (s *conns) routerLeaves(c *conn) bool {
	return c.received && s.staying != nil && !s.staying[c.host]
}

// evictIfRouterLeaves ends an idle connection whose router is leaving, unless a request has arrived: that
// one is served first. mu must be held.
func (s *conns) evictIfRouterLeaves(c *conn) {
	if s.routerLeaves(c) && sockopt.Idle(c.Conn) {
		s.evict(c)
	}
}

// routerLeaves reports whether the connection of a request was handed over by a router that is leaving.
func routerLeaves(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.routerLeaves()
}

// routerLeaves reports whether the router that handed the connection over is leaving.
func (c *conn) routerLeaves() bool {
	if !c.received {
		return false
	}
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.conns.routerLeaves(c)
}

// remoteHost returns the address of the other side's host, or the zero Addr if it has none.
func remoteHost(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap().WithZone("")
	}
	return netip.Addr{}
}
