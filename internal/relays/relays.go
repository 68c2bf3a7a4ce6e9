// Package relays decides when a router hands new connections over to others of its zone, and whether it takes theirs.
package relays

import (
	"cmp"
	"context"
	"iter"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/feature"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/handover"
	"github.com/stepcroft/stepcroft/internal/ingress"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/metrics"
	"github.com/stepcroft/stepcroft/internal/routing"
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
	// waitInterval is the interval at which Wait looks whether relays are left.
	waitInterval = 50 * time.Millisecond
)

// Server serves callers. It is implemented by ingress.Server.
type Server interface {
	Ready() bool
	// HandOver makes the server offer new connections to h.
	HandOver(h ingress.Handover)
	// ServeReceived serves the connections that l accepts.
	ServeReceived(l net.Listener) error
	ReceivesLate() bool
	ReserveReceived() bool
	ReleaseReceived()
	EndReceived(staying map[netip.Addr]bool)
}

// Roster has the routers of the fleet. It is implemented by roster.Roster, and belongs to the control goroutine.
type Roster interface {
	Self() message.RouterRecord
	Each(now time.Time) iter.Seq[message.RouterRecord]
	Leaving(now time.Time) iter.Seq[message.RouterRecord]
}

// Options are what relays are made of.
type Options struct {
	Group  *group.Group
	Server Server
	Roster Roster
	// Switch turns handing over on or off, or leaves it to the configuration.
	Switch feature.Switch
	// Listen is the address on which other routers hand connections over. If empty, it is a free port of PeerListen's
	// host, on which routers reach this one otherwise, at Peer.
	Listen, PeerListen, Peer string
	// MaxRelays bounds the connections handed over, Cores is the number of cores that the router may use.
	MaxRelays int
	Cores     float64
	// Utilisation returns the part of the router's CPU time in use.
	Utilisation func() float64
	Log         logr.Logger
}

// Relays hands connections over to other routers and receives theirs. Use New to make one. The methods that take the
// time belong to the control goroutine; any goroutine may call the others.
type Relays struct {
	options Options
	// sender is nil if the feature is switched off, receiver also if listening failed.
	sender   *handover.Sender
	receiver *handover.Receiver
	// address is where other routers reach the receiver.
	address string
	// enabled is set while the configuration, or the settings, enable the feature.
	enabled atomic.Bool
}

// New prepares handing over, unless it is switched off, and opens the listener for other
// routers. If that fails, the router runs without. It must be called before the server serves.
func New(o Options) *Relays {
	r := &Relays{options: o}
	if o.Switch == feature.Off {
		return r
	}
	limits := handover.Limits{Relays: cmp.Or(o.MaxRelays, defaultMaxRelays), Connecting: maxConnecting}
	r.sender = handover.NewSender(o.Group, limits, o.Cores, metrics.ProcessorTime, o.Utilisation, o.Log)
	o.Server.HandOver(r.sender)
	l, err := handover.Listen(o.Group.Context(), o.listen(), r.reserve, o.Server.ReleaseReceived)
	if err != nil {
		o.Log.Info("handed-over connections not accepted", "cause", err.Error())
		return r
	}
	r.receiver, r.address = l, advertisedAddress(o.Peer, l.Addr())
	return r
}

// Announced returns the address to announce to other routers, or "".
func (r *Relays) Announced() string {
	if !r.enabled.Load() {
		return ""
	}
	return r.address
}

// Stats returns the counts since the start.
func (r *Relays) Stats() handover.Stats {
	var s handover.Stats
	if r.sender != nil {
		s = r.sender.Stats()
	}
	if r.receiver != nil {
		s = r.receiver.AddStats(s)
	}
	return s
}

// listen returns the address to listen on for handed-over connections.
func (o Options) listen() string {
	if o.Listen != "" {
		return o.Listen
	}
	host, _, err := net.SplitHostPort(o.PeerListen)
	if err != nil {
		return o.PeerListen
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

// Serve serves the connections that other routers hand over, until the server is closed. It returns at once if there is
// no listener for them.
func (r *Relays) Serve() {
	if r.receiver == nil {
		return
	}
	if err := r.options.Server.ServeReceived(r.receiver); err != nil {
		r.options.Log.Error(err, "HTTP server for handed-over connections failed")
	}
}

// reserve decides whether to accept a connection from another router, and counts it if so.
func (r *Relays) reserve() handover.Decline {
	switch {
	case !r.enabled.Load():
		return handover.DeclinedOff
	case !r.options.Server.Ready():
		return handover.DeclinedNotReady
	case !handover.MayReceive(r.options.Utilisation()), r.options.Server.ReceivesLate():
		return handover.DeclinedBusy
	case !r.options.Server.ReserveReceived():
		return handover.DeclinedFull
	}
	return ""
}

// endReceived ends the connections that leaving routers of the zone handed over, once their requests have
// ended.
func (r *Relays) endReceived(now time.Time) {
	roster, server := r.options.Roster, r.options.Server
	var left []netip.Addr
	for other := range roster.Leaving(now) {
		if other.Zone == roster.Self().Zone {
			left = append(left, host(other))
		}
	}
	if left == nil {
		server.EndReceived(nil)
		return
	}
	staying := map[netip.Addr]bool{}
	for other := range roster.Each(now) {
		staying[host(other)] = true
	}
	for _, h := range append(left, netip.Addr{}) {
		delete(staying, h)
	}
	server.EndReceived(staying)
}

// host returns the address of a router's host, or the zero Addr if its record has none.
func host(r message.RouterRecord) netip.Addr {
	a, _ := netip.ParseAddrPort(r.Peer)
	return a.Addr().Unmap()
}

// Update applies a configuration, nil before there is one, and the present routers of the zone. leaving is set once
// this router shuts down, and yielding returns the organisations whose connections are handed over first.
func (r *Relays) Update(now time.Time, t *routing.Table, leaving bool, yielding func() map[string]bool) {
	if r.sender == nil {
		return
	}
	r.endReceived(now)
	r.enabled.Store(t != nil && r.options.Switch.Enabled(handoverByDefault))
	// Routes may accept only shorter pauses.
	r.sender.SetSpacing(t != nil && t.AllTolerate())
	if !r.enabled.Load() || leaving {
		r.sender.SetCandidates(nil)
		return
	}
	r.sender.SetCandidates(handover.Candidates(r.options.Roster.Self(), r.options.Roster.Each(now)))
	var first map[string]bool
	if r.Active() {
		first = yielding()
	}
	r.sender.SetYielding(first)
}

// Active reports whether the router hands over part of its new connections. It then needs other
// routers' reports, even if it serves no request itself.
func (r *Relays) Active() bool { return r.sender != nil && r.sender.Active() }

// Open returns the number of connections being relayed.
func (r *Relays) Open() int64 {
	if r.sender == nil {
		return 0
	}
	return r.sender.Open()
}

// CloseQuiet closes the relayed connections that callers keep open without a request, if the stop
// is about to end, when those still open are reset. Before that, the routers that serve them close them:
// an answer that pauses looks like no request from here.
func (r *Relays) CloseQuiet(ctx context.Context) {
	if r.sender == nil {
		return
	}
	if end, ok := ctx.Deadline(); ok && end.Sub(clock.Now()) <= stopQuietBefore {
		r.sender.CloseQuiet(stopQuiet)
	}
}

// Wait waits until no connection is relayed any longer, or until ctx ends.
func (r *Relays) Wait(ctx context.Context) {
	for r.Open() > 0 {
		r.CloseQuiet(ctx)
		if !group.SleepUntil(ctx, clock.Now().Add(waitInterval)) {
			return
		}
	}
}
