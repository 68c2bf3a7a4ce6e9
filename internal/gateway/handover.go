package gateway

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/feature"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/handover"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/metrics"
)

// handoverByDefault is what the switch means if the settings leave it to the configuration. A relay of a
// router that is very short of CPU time passes requests on after their callers have disconnected.
const handoverByDefault = false

const (
	// defaultMaxRelays bounds the connections handed over if Options.MaxRelays does not.
	defaultMaxRelays = 256
	// maxConnecting bounds the connections that no other router has accepted yet. At 600 connections a
	// second, one or two wait for the network; more means that this router is too slow even for
	// handing over.
	maxConnecting = 32
	// At the end of a planned stop, relays are closed that are quiet for stopQuiet: less would cut streams
	// between two events. It happens stopQuietBefore the end, since closing them takes a moment.
	stopQuiet       = 100 * time.Millisecond
	stopQuietBefore = 250 * time.Millisecond
)

// handoverState holds what the router needs to hand connections over and to receive them. sender is
// nil if the feature is switched off, receiver also if listening failed.
type handoverState struct {
	sender   *handover.Sender
	receiver *handover.Receiver
	// address is where other routers reach the receiver.
	address string
	// enabled is set while the configuration, or the settings, enable the feature.
	enabled atomic.Bool
}

// announced returns the address to announce to other routers, or "".
func (h *handoverState) announced() string {
	if !h.enabled.Load() {
		return ""
	}
	return h.address
}

// stats returns the counts since the start.
func (h *handoverState) stats() handover.Stats {
	var s handover.Stats
	if h.sender != nil {
		s = h.sender.Stats()
	}
	if h.receiver != nil {
		s = h.receiver.AddStats(s)
	}
	return s
}

// startHandover prepares handing over, unless it is switched off, and opens the listener for other
// routers. If that fails, the router runs without.
func (g *Gateway) startHandover() {
	if g.Features.Handover == feature.Off {
		return
	}
	limits := handover.Limits{Relays: cmp.Or(g.MaxRelays, defaultMaxRelays), Connecting: maxConnecting}
	g.handover.sender = handover.NewSender(g.group, limits, g.Capacity, metrics.ProcessorTime, g.loop.CPUUtilisation, g.Log)
	g.server.HandOver(g.handover.sender)
	r, err := handover.Listen(g.group.Context(), g.handoverListen(), g.reserveReceived, g.server.ReleaseReceived)
	if err != nil {
		g.Log.Info("handed-over connections not accepted", "cause", err.Error())
		return
	}
	g.handover.receiver, g.handover.address = r, advertisedAddress(g.self.Peer, r.Addr())
}

// handoverListen returns the address to listen on for handed-over connections.
func (g *Gateway) handoverListen() string {
	if g.HandoverListen != "" {
		return g.HandoverListen
	}
	host, _, err := net.SplitHostPort(g.PeerListen)
	if err != nil {
		return g.PeerListen
	}
	return net.JoinHostPort(host, "0")
}

// advertisedAddress returns the address at which other routers reach a listener, at the host at
// which they reach this router otherwise.
func advertisedAddress(peer string, listener net.Addr) string {
	host, _, err := net.SplitHostPort(peer)
	_, port, listenErr := net.SplitHostPort(listener.String())
	if err != nil || listenErr != nil {
		return listener.String()
	}
	return net.JoinHostPort(host, port)
}

func (g *Gateway) serveReceived() {
	if err := g.server.ServeReceived(g.handover.receiver); err != nil {
		g.Log.Error(err, "HTTP server for handed-over connections failed")
	}
}

// reserveReceived decides whether to accept a connection from another router, and counts it if so.
func (g *Gateway) reserveReceived() handover.Decline {
	switch {
	case !g.handover.enabled.Load():
		return handover.DeclinedOff
	case !g.server.Ready():
		return handover.DeclinedNotReady
	case !handover.MayReceive(g.loop.CPUUtilisation()), g.server.ReceivesLate():
		return handover.DeclinedBusy
	case !g.server.ReserveReceived():
		return handover.DeclinedFull
	}
	return ""
}

// endReceived ends the connections that leaving routers of the zone handed over, once their requests have
// ended.
func (g *Gateway) endReceived(now time.Time) {
	var left []netip.Addr
	for r := range g.roster.Leaving(now) {
		if r.Zone == g.self.Zone {
			left = append(left, host(r))
		}
	}
	if left == nil {
		g.server.EndReceived(nil)
		return
	}
	staying := map[netip.Addr]bool{}
	for r := range g.roster.Each(now) {
		staying[host(r)] = true
	}
	for _, h := range append(left, netip.Addr{}) {
		delete(staying, h)
	}
	g.server.EndReceived(staying)
}

// host returns the address of a router's host, or the zero Addr if its record has none.
func host(r message.RouterRecord) netip.Addr {
	a, _ := netip.ParseAddrPort(r.Peer)
	return a.Addr().Unmap()
}

// updateHandover applies the configuration and the present routers of the zone.
func (g *Gateway) updateHandover(s *balance.State, now time.Time) {
	if g.handover.sender == nil {
		return
	}
	g.endReceived(now)
	t := g.catalog.Table()
	g.handover.enabled.Store(t != nil && g.Features.Handover.Enabled(handoverByDefault))
	// Routes may accept only shorter pauses.
	g.handover.sender.SetSpacing(t != nil && t.AllTolerate())
	if !g.handover.enabled.Load() || g.leaving {
		g.handover.sender.SetCandidates(nil)
		return
	}
	g.handover.sender.SetCandidates(handover.Candidates(g.roster.Self(), g.roster.Each(now)))
	var yielding map[string]bool
	if g.handsOver() {
		yielding = s.Yielding(now)
	}
	g.handover.sender.SetYielding(yielding)
}

// handsOver reports whether the router hands over part of its new connections. It then needs other
// routers' reports, even if it serves no request itself.
func (g *Gateway) handsOver() bool { return g.handover.sender != nil && g.handover.sender.Active() }

// openRequests returns the number of requests being served and of connections being relayed, each
// of which counts as a request.
func (g *Gateway) openRequests() int64 { return g.server.OpenRequests() + g.openRelays() }

// openRelays returns the number of connections being relayed.
func (g *Gateway) openRelays() int64 {
	if g.handover.sender == nil {
		return 0
	}
	return g.handover.sender.Open()
}

// closeQuietRelays closes the relayed connections that callers keep open without a request, if the stop
// is about to end, when those still open are reset. Before that, the routers that serve them close them:
// an answer that pauses looks like no request from here.
func (g *Gateway) closeQuietRelays(ctx context.Context) {
	if g.handover.sender == nil {
		return
	}
	if end, ok := ctx.Deadline(); ok && end.Sub(clock.Now()) <= stopQuietBefore {
		g.handover.sender.CloseQuiet(stopQuiet)
	}
}

// waitRelays waits until no connection is relayed any longer, or until ctx ends.
func (g *Gateway) waitRelays(ctx context.Context) {
	for g.openRelays() > 0 {
		g.closeQuietRelays(ctx)
		if !group.SleepUntil(ctx, clock.Now().Add(idleCheckInterval)) {
			return
		}
	}
}
