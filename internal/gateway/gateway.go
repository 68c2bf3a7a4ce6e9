// Package gateway puts a router together for deployments whose engines batch
// requests themselves: callers' side, forwarding, balancing, the copy of the
// store and the exchange with the other routers.
package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/adapter/peer"
	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/coldstart"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/ingress"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/metrics"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/roster"
	"github.com/stepcroft/stepcroft/internal/sockopt"
	"github.com/stepcroft/stepcroft/internal/zonesum"
)

const (
	// sweepPeriod is the time between looks for old unused connections.
	sweepPeriod = time.Second
	// defaultRequests and defaultConnections bound what is taken on at a time
	// where nothing is set.
	defaultRequests    = 1000
	defaultConnections = 4000
	// defaultDrain is for how long a target serves on that leaves where nothing is
	// set: the shortest of the installations known.
	defaultDrain = 2 * time.Second
	// defaultSilence is after how long the store takes out the entry of a target that writes
	// no more where nothing is set.
	defaultSilence = 4 * time.Second
	// copyPause is the time between requests to other routers for what they
	// have newer.
	copyPause = 60 * time.Millisecond
)

// Options are what a gateway needs.
type Options struct {
	ID     string
	Zone   string
	Listen string
	// PeerListen is where other routers connect.
	PeerListen string
	// PeerAdvertise is the address told to other routers, where it is not the
	// one listened on; empty if it is.
	PeerAdvertise string
	// Seeds are other routers' PeerListen addresses; they may be stale.
	Seeds       []string
	Incarnation uint64
	// Capacity is the number of processor cores that the router may use.
	Capacity float64
	// Callers bounds what is taken on at a time; a bound of 0 means 1,000
	// requests and 4,000 connections.
	Callers ingress.Limits
	Dialect forward.HeaderNames
	Codec   catalog.Codec
	Limits  balance.Limits
	// Drain is for how long a target serves on that leaves; 0 means two seconds.
	Drain time.Duration
	// Silence is after how long the store takes out the entry of a target that writes no
	// more; 0 means four seconds.
	Silence time.Duration
	// Keeper keeps requests that are held back beyond the life of all routers; nil if
	// nobody does.
	Keeper Keeper
	Log    logr.Logger
	// LogFull reports, and counts, that a line about a request would only be
	// dropped; nil means never.
	LogFull func() bool
	Metrics *Metrics
}

// Gateway is a running router. Use New to make one.
type Gateway struct {
	Options
	group    *group.Group
	known    member.Member
	loop     *balance.Loop
	catalog  *catalog.Catalog
	roster   *roster.Roster
	reporter reporter
	// zone adds up the reports of this zone, sums is when other zones' sums came
	// last, and direct has the routers of other zones that told this one directly.
	zone    zonesum.Sum
	sums    map[string]time.Time
	direct  map[message.RouterID]string
	started time.Time
	settle  time.Duration
	// lot is drawn from 0 to 1, to tell routers apart that all know as little.
	lot       float64
	asked     time.Time
	transport *httptarget.Transport
	server    *ingress.Server
	peers     *peer.Transport
	datagrams *peer.Datagrams
	leaving   bool
	// trouble is since when calls to the store fail, zero while they work.
	trouble time.Time
	// era is that of the store in which the requests that are held back were written last.
	era int64
	// isolation is what is known of requests that end targets, view what requests are
	// checked against.
	isolation isolation
	// unconfirmed is since when what the store holds waits to be confirmed after the box
	// was suspended; zero while it does not.
	unconfirmed time.Time
	view        atomic.Pointer[quarantine.View]
	drained     drainedZones
	// cold says what may be sent to cold targets, coldNow which there are.
	cold    *coldstart.Senders
	coldNow coldTargets
	// against is which requests sent in spite of what targets said are in the log.
	against balance.SentAgainstAdvice
	// paused is how many rests that no target asked for are in the log.
	paused int64
	tally  tally
}

// listener listens for callers. Without the kernel's probes of idle
// connections a new one costs four system calls less; what is idle is closed
// by the server.
var listener = net.ListenConfig{KeepAlive: -1}

const (
	// acceptWait is for how long new connections may wait in the kernel to be accepted where
	// a router does nothing else. What comes beyond that is held up by TCP, which costs the
	// router nothing, and the requests it reads are not ones that their callers gave up.
	acceptWait = 100 * time.Millisecond
	// acceptEffort is the processor time that accepting a connection and refusing its request
	// takes.
	acceptEffort = 60 * time.Microsecond
)

// listen listens for callers.
func (o Options) listen(ctx context.Context) (net.Listener, error) {
	l, err := listener.Listen(ctx, "tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", o.Listen)
	}
	most := int(o.Capacity * float64(acceptWait/acceptEffort))
	if most == 0 {
		return l, nil
	}
	if err := sockopt.SetBacklog(l.(*net.TCPListener), most); err != nil {
		o.Log.Info("connections that wait to be accepted are not bounded", "most", most, "cause", err.Error())
	}
	return l, nil
}

// New starts a router. Its catalog is empty: it refuses callers until it gets
// a configuration.
func New(ctx context.Context, o Options) (*Gateway, error) {
	callers, err := o.listen(ctx)
	if err != nil {
		return nil, err
	}
	others, datagrams, err := peer.Listen(o.PeerListen)
	if err != nil {
		_ = callers.Close()
		return nil, errors.Wrapf(err, "listen for routers on %s", o.PeerListen)
	}
	g := &Gateway{
		Options: o, group: group.New(ctx), catalog: catalog.New(o.Codec, cmp.Or(o.Drain, defaultDrain), cmp.Or(o.Silence, defaultSilence)),
		sums: map[string]time.Time{}, direct: map[message.RouterID]string{},
	}
	now := clock.Now()
	g.isolation.state, g.isolation.lives = quarantine.New(), map[string]int64{}
	g.started, g.settle, g.lot = now, settles(), rand.Float64()
	self := member.Member{
		ID: message.RouterID(o.ID), Zone: o.Zone, Address: callers.Addr().String(),
		Peer: cmp.Or(o.PeerAdvertise, others.Addr().String()), Incarnation: o.Incarnation,
	}
	g.known = self
	random := rand.New(rand.NewPCG(o.Incarnation, uint64(now.UnixNano())))
	g.roster = roster.New(now, message.RouterRecord{
		ID: self.ID, Zone: self.Zone, Address: self.Address, Peer: self.Peer, Incarnation: self.Incarnation,
		Capacity: o.Capacity,
	}, o.Seeds, random)
	g.isolation.exchange = quarantine.NewExchange(g.isolation.state, g.roster)
	state := balance.New(now, o.Zone, o.Limits, random)
	state.OnLongPrompt(g.tellLoad)
	g.cold = coldstart.NewSenders(now, g.roster, self.ID)
	state.SetColdAllowance(g.cold.SendLimit)
	g.loop = balance.NewLoop(state)
	g.loop.SetMeter(metrics.ProcessorTime, o.Capacity)
	g.loop.OnResume(g.awake)
	g.transport = httptarget.New(g.group)
	forwarder := forward.New(o.Dialect, g.transport, g.loop, suspects{g}, o.Log, o.Metrics)
	g.server = ingress.New(o.Dialect, forwarder, g.observer(), ingress.Limits{
		Requests:    cmp.Or(o.Callers.Requests, defaultRequests),
		Connections: cmp.Or(o.Callers.Connections, defaultConnections),
	}, o.Log)
	g.peers = peer.New(g.group.Context(), self, others, g.receive, o.Log)
	g.datagrams = peer.NewDatagrams(g.group.Context(), self, datagrams, g.receive, o.Log)
	o.Metrics.watch(g)
	g.group.GoContext(g.loop.Run)
	g.group.GoContext(g.beats)
	g.group.GoContext(g.sweep)
	g.group.Go(func() { g.serve(callers) })
	return g, nil
}

func (g *Gateway) serve(l net.Listener) {
	if err := g.server.Serve(l); err != nil {
		g.Log.Error(err, "callers' side ended")
	}
}

// Ready reports whether the router can serve callers.
func (g *Gateway) Ready() bool { return g.server.Ready() }

// Known is what the router knows of itself, for a store in which routers find
// one another.
func (g *Gateway) Known() member.Member { return g.known }

func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.transport.CloseExpired(clock.Now())
		}
	}
}

const (
	// anyBegin is the part of the time for a planned stop, in percent, in which
	// every request is taken. Callers have left by then, since they keep
	// addresses for a second and few for three; some ask for none and stay.
	// Later, only requests are taken that end in time whatever happens.
	anyBegin = 35
	// stopMargin is the time before its end, in percent, at which a planned
	// stop takes nothing more.
	stopMargin = 7
	// quietTime is after how long without requests a stopping router ends.
	quietTime = 500 * time.Millisecond
	// quietCheck is the time between looks for that.
	quietCheck = 50 * time.Millisecond
)

// Drain makes a planned stop: the router leaves the fleet, serves those who
// have not noticed yet, and returns when that is done or limit is over.
func (g *Gateway) Drain(ctx context.Context, limit time.Duration) {
	began := clock.Now()
	g.Log.Info("planned stop begins", "open", g.server.OpenRequests(), "limit_ms", limit.Milliseconds())
	g.server.Leave()
	g.loop.Post(func(_ *balance.State, now time.Time) {
		g.leaving = true
		g.spread(now)
	})
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	group.SleepUntil(ctx, began.Add(limit*anyBegin/100))
	end := began.Add(limit * (100 - stopMargin) / 100)
	g.server.EndBy(end)
	g.waitQuiet(ctx, end)
	if err := g.server.Shutdown(ctx); err != nil {
		g.Log.Info("planned stop cut requests short", "open", g.server.OpenRequests(), "cause", err.Error())
	}
	g.Log.Info("planned stop is done", "took_ms", clock.Since(began).Milliseconds())
}

// waitQuiet waits until there have been no requests for a while, or until end.
func (g *Gateway) waitQuiet(ctx context.Context, end time.Time) {
	busy, last := clock.Now(), g.server.TotalRequests()
	for clock.Since(busy) < quietTime && clock.Now().Before(end) {
		if begun := g.server.TotalRequests(); g.server.OpenRequests() > 0 || begun > last {
			busy, last = clock.Now(), begun
		}
		if !group.SleepUntil(ctx, clock.Now().Add(quietCheck)) {
			return
		}
	}
}

// Stop ends the router at once.
func (g *Gateway) Stop() {
	if err := g.server.Close(); err != nil {
		g.Log.Error(err, "callers' side not closed")
	}
	g.datagrams.Stop()
	g.peers.Stop()
	g.group.Stop()
	g.transport.Close()
}

// SetLimits takes over changed limits.
func (g *Gateway) SetLimits(l balance.Limits) {
	g.loop.Post(func(s *balance.State, _ time.Time) { s.SetLimits(l) })
}
