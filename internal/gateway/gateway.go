// Package gateway assembles a router for deployments whose engines batch requests themselves. It
// connects the callers' HTTP server, forwarding, balancing, this router's copy of the store and
// the exchange with the other routers.
//
// The store counts its lives in an era, which is raised when the store comes back from an older
// copy; its revisions are compared together with the era. A target's entry is lapsed if its TTL
// ran out while the store was unavailable: the target stays in use until it is known to be gone
// or its time is over.
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
	// sweepPeriod is the interval at which old idle connections to targets are closed.
	sweepPeriod = time.Second
	// defaultRequests and defaultConnections bound the callers' concurrent requests and
	// connections if Options.Callers does not.
	defaultRequests    = 1000
	defaultConnections = 4000
	// defaultDrain is how long a leaving target continues to serve if Options.Drain is not
	// set: the shortest such time of the known installations.
	defaultDrain = 2 * time.Second
	// defaultSilence is the TTL of targets' entries in the store if Options.Silence is not
	// set.
	defaultSilence = 4 * time.Second
	// copyPause is the minimum interval between requests to other routers for newer contents
	// of the store.
	copyPause = 60 * time.Millisecond
)

// Options configures a gateway.
type Options struct {
	ID     string
	Zone   string
	Listen string
	// PeerListen is the address on which other routers connect.
	PeerListen string
	// PeerAdvertise is the address given to other routers. If empty, it is the one that the
	// router listens on.
	PeerAdvertise string
	// Seeds are other routers' PeerListen addresses; they may be stale.
	Seeds       []string
	Incarnation uint64
	// Capacity is the number of CPU cores that the router may use.
	Capacity float64
	// Callers bounds the callers' concurrent requests and connections; 0 means 1,000 requests
	// and 4,000 connections.
	Callers ingress.Limits
	Dialect forward.HeaderNames
	Codec   catalog.Codec
	Limits  balance.Limits
	// Drain is how long a leaving target continues to serve; 0 means two seconds.
	Drain time.Duration
	// Silence is the TTL after which the store removes the entry of a target that has stopped
	// renewing it; 0 means four seconds.
	Silence time.Duration
	// Keeper persists the requests that are held back, so that they survive a restart of all
	// routers; nil if they are not persisted.
	Keeper Keeper
	Log    logr.Logger
	// LogFull reports whether a log line about a request would be dropped, and counts it as
	// dropped if so; nil means never.
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
	// zone adds up the reports of this zone, sums has the time of the last sum of each other
	// zone, and direct has the zones of routers elsewhere whose direct reports are in use.
	zone    zonesum.Sum
	sums    map[string]time.Time
	direct  map[message.RouterID]string
	started time.Time
	settle  time.Duration
	// lot is a random number from 0 to 1 that decides which routers call the store first if
	// all have just started.
	lot       float64
	asked     time.Time
	transport *httptarget.Transport
	server    *ingress.Server
	peers     *peer.Transport
	datagrams *peer.Datagrams
	leaving   bool
	// trouble is the time since when calls to the store have failed, zero while they work.
	trouble time.Time
	// era is the newest era of the store in which the held-back requests were written again.
	era int64
	// isolation holds the suspected requests; view is the snapshot of them that new requests
	// are checked against.
	isolation isolation
	// unconfirmed is the time since when the router has waited, after the box was suspended,
	// for a confirmation that its copy of the store is current; zero if it does not wait.
	unconfirmed time.Time
	view        atomic.Pointer[quarantine.View]
	drained     drainedZones
	// cold limits the requests sent to cold targets, coldNow is the count that was logged
	// last.
	cold    *coldstart.Senders
	coldNow coldTargets
	// against counts the requests to targets that were leaving or backing off, as logged
	// last.
	against balance.SentAgainstAdvice
	// paused counts the backoffs that no target asked for, as logged last.
	paused int64
	tally  tally
}

// listener listens for callers. TCP keep-alive is off, which saves four system calls for each
// connection; the server closes idle connections itself.
var listener = net.ListenConfig{KeepAlive: -1}

const (
	// acceptWait is how long a new connection may wait in the kernel's accept queue of a router
	// that does nothing but accept. TCP delays connections beyond that at no cost to the
	// router. A longer queue would make it read requests whose callers have already given up.
	acceptWait = 100 * time.Millisecond
	// acceptEffort is the CPU time for accepting a connection and rejecting its request.
	acceptEffort = 60 * time.Microsecond
)

// listen opens the listener for callers and bounds its accept queue.
func (o Options) listen(ctx context.Context) (net.Listener, error) {
	l, err := listener.Listen(ctx, "tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", o.Listen)
	}
	most := int(o.Capacity * float64(acceptWait/acceptEffort))
	if most == 0 {
		return l, nil
	}
	if err := sockopt.Backlog(l.(*net.TCPListener), most); err != nil {
		o.Log.Info("accept queue not bounded", "most", most, "cause", err.Error())
	}
	return l, nil
}

// New starts a router. Its copy of the store is empty: it rejects requests until it gets a
// configuration.
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
		g.Log.Error(err, "HTTP server for callers failed")
	}
}

// Ready reports whether the router can serve callers.
func (g *Gateway) Ready() bool { return g.server.Ready() }

// Known returns this router's member record, which is registered in stores through which routers
// find one another.
func (g *Gateway) Known() member.Member { return g.known }

func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.transport.Sweep(clock.Now())
		}
	}
}

const (
	// anyBegin is the percentage of a planned stop's time limit in which the router accepts
	// every request. Most callers have moved on by then, since they cache addresses for one
	// second and a few for three; those that never look up addresses stay. Afterwards the
	// router accepts only requests whose deadline is before its end.
	anyBegin = 35
	// stopMargin is the percentage of the time limit at the end of a planned stop in which no
	// request is accepted.
	stopMargin = 7
	// quietTime is the time without requests after which a stopping router ends early.
	quietTime = 500 * time.Millisecond
	// quietCheck is the interval at which a stopping router checks for requests.
	quietCheck = 50 * time.Millisecond
)

// Drain makes a planned stop: the router announces that it is leaving and serves callers that
// still connect to it. Drain returns when all requests have ended or limit is over.
func (g *Gateway) Drain(ctx context.Context, limit time.Duration) {
	began := clock.Now()
	g.Log.Info("planned stop begins", "open", g.server.Open(), "limit_ms", limit.Milliseconds())
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
		g.Log.Info("planned stop cut requests short", "open", g.server.Open(), "cause", err.Error())
	}
	g.Log.Info("planned stop is done", "took_ms", clock.Since(began).Milliseconds())
}

// waitQuiet waits until there have been no requests for quietTime, or until end.
func (g *Gateway) waitQuiet(ctx context.Context, end time.Time) {
	busy, last := clock.Now(), g.server.Begun()
	for clock.Since(busy) < quietTime && clock.Now().Before(end) {
		if begun := g.server.Begun(); g.server.Open() > 0 || begun > last {
			busy, last = clock.Now(), begun
		}
		if !group.SleepUntil(ctx, clock.Now().Add(quietCheck)) {
			return
		}
	}
}

// Stop ends the router at once and cuts off open requests.
func (g *Gateway) Stop() {
	if err := g.server.Close(); err != nil {
		g.Log.Error(err, "HTTP server for callers not closed")
	}
	g.datagrams.Stop()
	g.peers.Stop()
	g.group.Stop()
	g.transport.Close()
}

// SetLimits applies changed limits.
func (g *Gateway) SetLimits(l balance.Limits) {
	g.loop.Post(func(s *balance.State, _ time.Time) { s.SetLimits(l) })
}
