// Package gateway assembles a router for deployments whose engines batch requests themselves. It
// connects the callers' HTTP server, forwarding, balancing, this router's copy of the store and
// the exchange with the other routers.
//
// The store counts its lives in an era, which is raised when the store comes back from an older
// copy; its revisions are compared together with the era. A target's entry has lapsed if it
// disappeared while the store was in trouble, since its TTL may have run out only for that reason;
// the target stays in use for a limited time.
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
	"github.com/stepcroft/stepcroft/internal/answerbuffer"
	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/coldstart"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/countlog"
	"github.com/stepcroft/stepcroft/internal/exits"
	"github.com/stepcroft/stepcroft/internal/feature"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/freshness"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/ingress"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/loadreport"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/metrics"
	"github.com/stepcroft/stepcroft/internal/news"
	"github.com/stepcroft/stepcroft/internal/relays"
	"github.com/stepcroft/stepcroft/internal/requestlog"
	"github.com/stepcroft/stepcroft/internal/rollout"
	"github.com/stepcroft/stepcroft/internal/roster"
	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/sockopt"
	"github.com/stepcroft/stepcroft/internal/storeduty"
	"github.com/stepcroft/stepcroft/internal/storewatch"
	"github.com/stepcroft/stepcroft/internal/streamrecords"
	"github.com/stepcroft/stepcroft/internal/streamstore"
	"github.com/stepcroft/stepcroft/internal/streamversion"
	"github.com/stepcroft/stepcroft/internal/suspects"
	"github.com/stepcroft/stepcroft/internal/tally"
)

const (
	// sweepInterval is the interval at which old idle connections to targets are closed.
	sweepInterval = time.Second
	// defaultMaxRequests and defaultMaxConnections bound the callers' concurrent requests and
	// connections if Options.CallerLimits does not.
	defaultMaxRequests    = 1000
	defaultMaxConnections = 4000
	// defaultTargetDrain is how long a leaving target continues to serve if Options.TargetDrain
	// is not set: the shortest such time of the known installations.
	defaultTargetDrain = 2 * time.Second
	// defaultEntryTTL is the TTL of targets' entries in the store if Options.EntryTTL is not
	// set.
	defaultEntryTTL = 4 * time.Second
	// defaultMemoryBytes is the router's memory if Options.MemoryBytes is not set.
	defaultMemoryBytes = 128 << 20
	// messageMemoryPart is the divisor of the router's memory that the bodies of requests, and
	// answers that are buffered as a whole, may use.
	messageMemoryPart = 2
)

// Options configures a gateway.
type Options struct {
	ID   string
	Zone string
	// Regions has the region of each availability zone; nil if there is only one region.
	Regions map[string]string
	Listen  string
	// PeerListen is the address on which other routers connect.
	PeerListen string
	// PeerAdvertise is the address given to other routers. If empty, it is the one that the
	// router listens on.
	PeerAdvertise string
	// HandoverListen is the address on which other routers hand connections over. If empty, it is
	// a free port of PeerListen's host. MaxRelays is the maximum number of connections that this
	// router hands over at the same time; 0 means 256.
	HandoverListen string
	MaxRelays      int
	// Seeds are other routers' PeerListen addresses; they may be stale.
	Seeds       []string
	Incarnation uint64
	// Capacity is the number of CPU cores that the router may use.
	Capacity float64
	// CallerLimits bounds the callers' concurrent requests and connections; 0 means 1,000 requests
	// and 4,000 connections.
	CallerLimits ingress.Limits
	Headers      forward.HeaderNames
	// StatusQuery says how engines are asked when their processes started.
	StatusQuery forward.StatusQuery
	Codec       catalog.Codec
	Limits      balance.Limits
	// Features are the switches of optional decisions.
	Features feature.Set
	// MemoryBytes is the memory that the router may use; 0 means 128 MB, which the smallest of
	// the known boxes have.
	MemoryBytes int64
	// MaxStall is how long a caller may accept nothing of the rest of an answer that has ended; 0
	// means ten seconds.
	MaxStall time.Duration
	// TargetDrain is how long a leaving target continues to serve; 0 means two seconds.
	TargetDrain time.Duration
	// EntryTTL is the TTL after which the store removes the entry of a target that has stopped
	// renewing it; 0 means four seconds.
	EntryTTL time.Duration
	// OnDuty is called often with what this router should read from the store, as StoreDuty returns
	// it; nil if nobody wants to know. It must not block.
	OnDuty func(freshness.Duty)
	// CopyLimits holds the ages at which copies of the store's objects are too old, by kind; zero for
	// kinds that the router does not follow.
	CopyLimits freshness.Limits
	// QuarantineStore persists the requests that are held back, so that they survive a restart of
	// all routers; nil if they are not persisted.
	QuarantineStore suspects.Store
	// StreamStore persists which versions of services began streams; nil if nothing preceded this
	// process.
	StreamStore StreamStore
	// RolloutStore holds the roll-outs of services; nil if there are none. A bad version may get
	// up to the part RolloutExposure, from 0 to 1, of a service's requests.
	RolloutStore    RolloutStore
	RolloutExposure float64
	Log             logr.Logger
	// LogFull reports whether a log line about a request would be dropped, and counts it as
	// dropped if so; nil means never.
	LogFull func() bool
	Metrics *counters.Registry
}

// Gateway is a running router. Use New to make one.
type Gateway struct {
	Options
	group   *group.Group
	self    member.Member
	loop    *balance.Loop
	catalog *catalog.Catalog
	roster  *roster.Roster
	// reports tells the other routers the load of this one's requests, and has theirs.
	reports *loadreport.Exchange
	// copies tracks how old the copies of the store's objects are, storeDuty what is to be read of them.
	copies    *freshness.Tracker
	storeDuty *storeduty.Monitor
	inForce   configInForce
	// storeWatch decides whether this router watches the store.
	storeWatch *storewatch.Watch
	// news tells other routers what is new in the copy of the store, and asks for what is newer.
	news *news.Exchange
	// nextTick is when the next tick is due. tickSoon brings it forward.
	nextTick  time.Time
	ticks     atomic.Int64
	tickSoon  chan struct{}
	transport *httptarget.Transport
	// memory is the budget for the bodies of requests and for answers that are buffered as a whole.
	memory    *memory.Budget
	server    *ingress.Server
	requests  *lifecycle.Tracker
	relays    *relays.Relays
	peers     *peer.Transport
	datagrams *peer.Datagrams
	leaving   bool
	// persistedEra is the newest era of the store in which the held-back requests were written
	// again.
	persistedEra int64
	// streams knows which versions began streams.
	streams     *streamversion.Directory
	records     *streamrecords.Exchange
	streamStore *streamstore.Keeper
	// routes knows at which services streams may have begun.
	routes *routehistory.History
	// suspects has the requests that are suspected of crashing targets.
	suspects *suspects.Account
	// exits tells other routers which processes of targets have ended.
	exits *exits.Exchange
	// unconfirmedSince is the time since when the router has waited, after the box was suspended,
	// for a confirmation that its copy of the store is current; zero if it does not wait.
	unconfirmedSince time.Time
	loggedDrained    drainedZones
	// coldSenders limits the requests sent to cold targets.
	coldSenders *coldstart.Senders
	// rollouts follows the roll-outs, loggedRollouts are their states as logged last.
	rollouts       *rollout.Tracker
	loggedRollouts map[string]rollout.State
	counts         *countlog.Log
	// answers is the memory for buffered answers.
	answers answerBuffers
}

// listenConfig is for the callers' listener. TCP keep-alive is off, which saves four system calls
// for each connection; the server closes idle connections itself.
var listenConfig = net.ListenConfig{KeepAlive: -1}

const (
	// maxAcceptDelay is how long a new connection may wait in the kernel's accept queue of a
	// router that does nothing but accept; one that is short of CPU time takes several times as
	// long. TCP delays connections beyond that at no cost to the router. A longer queue would
	// make it read requests whose callers have already given up.
	maxAcceptDelay = 50 * time.Millisecond
	// acceptCPUTime is the CPU time for accepting a connection and rejecting its request.
	acceptCPUTime = 60 * time.Microsecond
)

// listen opens the listener for callers and bounds its accept queue.
func (o Options) listen(ctx context.Context) (net.Listener, error) {
	l, err := listenConfig.Listen(ctx, "tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", o.Listen)
	}
	backlog := int(o.Capacity * float64(maxAcceptDelay/acceptCPUTime))
	if backlog == 0 {
		return l, nil
	}
	if err := sockopt.SetBacklog(l.(*net.TCPListener), backlog); err != nil {
		o.Log.Info("accept queue not bounded", "most", backlog, "cause", err.Error())
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
	peerListener, datagrams, err := peer.Listen(o.PeerListen)
	if err != nil {
		_ = callers.Close()
		return nil, errors.Wrapf(err, "listen for routers on %s", o.PeerListen)
	}
	g := &Gateway{
		Options: o, group: group.New(ctx), catalog: catalog.New(o.Codec, cmp.Or(o.TargetDrain, defaultTargetDrain), cmp.Or(o.EntryTTL, defaultEntryTTL)),
		tickSoon: make(chan struct{}, 1),
	}
	now := clock.Now()
	g.copies = freshness.New(now, o.CopyLimits)
	self := member.Member{
		ID: message.RouterID(o.ID), Zone: o.Zone, Address: callers.Addr().String(),
		Peer: cmp.Or(o.PeerAdvertise, peerListener.Addr().String()), Incarnation: o.Incarnation,
	}
	g.self = self
	g.storeWatch = storewatch.New(now, self.ID, self.Zone)
	random := rand.New(rand.NewPCG(o.Incarnation, uint64(now.UnixNano())))
	g.roster = roster.New(now, message.RouterRecord{
		ID: self.ID, Zone: self.Zone, Address: self.Address, Peer: self.Peer, Incarnation: self.Incarnation,
		Capacity: o.Capacity,
	}, o.Seeds, random)
	g.storeDuty = storeduty.New(storeduty.Options{Catalog: g.catalog, Copies: g.copies, Watch: g.storeWatch, Fleet: dutyFleet{g.roster, g}, Log: o.Log})
	g.streams = streamversion.New(now, g.roster)
	g.routes = routehistory.New(now, streamversion.TTL)
	g.streamStore = streamstore.New(now, streamstore.Options{
		Store: o.StreamStore, Streams: g.streams, Routes: g.routes, Catalog: g.catalog, Copies: g.copies, Metrics: o.Metrics, Wake: g.tickEarlier, Log: o.Log,
	})
	state := balance.New(now, o.Zone, o.Limits, random)
	state.SetRouteHistory(g.routes)
	if o.StreamStore == nil {
		g.streams.Restore(now, nil, true)
		state.RestoreVersions(now, nil, true)
		g.routes.Restore(now, nil, nil)
	} else {
		state.RequireStoredVersions()
		if o.CopyLimits[message.StoreZones] > 0 {
			state.RequireZoneDrains()
		}
	}
	g.coldSenders = coldstart.NewSenders(now, g.roster, self.ID)
	state.SetColdAllowance(g.coldSenders.SendLimit)
	g.rollouts = rollout.New(o.RolloutExposure, random.Float64)
	state.SetRollouts(g.rollouts)
	g.reports = loadreport.New(loadreport.Options{Roster: g.roster, Sender: sender{g}, Rollouts: g.rollouts, Copies: sender{g}, Log: o.Log})
	state.OnLongPrompt(g.reports.SendLoad)
	state.SetRegions(o.Regions)
	state.SetFeatures(o.Features)
	g.loop = balance.NewLoop(state)
	g.records = streamrecords.New(streamrecords.Options{
		Loop: g.loop, Streams: g.streams, Routes: g.routes, Store: g.streamStore, Metrics: o.Metrics, Send: g.sendTo,
		Wake: g.tickEarlier, StoodStill: g.stoodStill, LogFull: o.LogFull, Log: o.Log,
	})
	state.OnStreamBegun(g.records.Begun)
	g.loop.SetMeter(metrics.ProcessorTime, o.Capacity)
	g.loop.OnResume(g.resume)
	g.transport = httptarget.New(g.group)
	g.exits = exits.New(exits.Options{
		Group: g.group, Loop: g.loop, Roster: g.roster, Prober: g.transport, Metrics: o.Metrics, Send: g.sendTo, Wake: g.tickEarlier, Log: o.Log,
	})
	g.suspects = suspects.New(suspects.Options{
		Self: self.ID, Loop: g.loop, Fleet: suspectFleet{g.roster, g}, Targets: g.catalog, Store: o.QuarantineStore, Moves: g.routes.Moves(),
		RecordExit: g.exits.Record, Counters: o.Metrics, Log: o.Log,
	})
	g.memory = memory.New(cmp.Or(o.MemoryBytes, defaultMemoryBytes) / messageMemoryPart)
	g.answers.budget = answerbuffer.New(cmp.Or(o.MemoryBytes, defaultMemoryBytes) / answerMemoryPart)
	forwarder := forward.New(o.Headers, g.transport, g.loop, g.suspects, o.Log, o.Metrics).
		WithMemory(g.memory).WithBuffers(g.answers.budget, g.answers.enabled.Load).WithStreamVersions(g.records).WithStatusQuery(o.StatusQuery).WithMaxStall(cmp.Or(o.MaxStall, forward.DefaultMaxStall))
	sums := tally.New()
	g.requests = lifecycle.New(changeWindow, o.Log)
	g.server = ingress.New(o.Headers, forwarder, requestlog.New(o.Log, o.LogFull, o.Metrics, sums, g.requests.LastChange), ingress.Limits{
		Requests:    cmp.Or(o.CallerLimits.Requests, defaultMaxRequests),
		Connections: cmp.Or(o.CallerLimits.Connections, defaultMaxConnections),
	}, g.memory, g.requests, o.Log)
	g.counts = countlog.New(o.Log, o.Metrics, countlog.Sources{Loop: g.loop, Arrivals: g.server.TakeArrivalStats, Answers: g.answers.budget, Requests: sums})
	g.news = news.New(news.Options{
		Zone: self.Zone, Roster: g.roster, Catalog: g.catalog, Copies: g.copies, Rank: g.storeWatch.LastRank, Server: g.server,
		Metrics: o.Metrics, Sender: sender{g}, UpdateSelf: g.updateSelf, MinInterval: tickInterval,
	})
	g.relays = relays.New(relays.Options{
		Group: g.group, Server: g.server, Roster: g.roster, Switch: o.Features.Handover, Listen: o.HandoverListen, PeerListen: o.PeerListen, Peer: self.Peer,
		MaxRelays: o.MaxRelays, Cores: o.Capacity, Utilisation: g.loop.CPUUtilisation, Log: o.Log,
	})
	g.peers = peer.New(g.group.Context(), self, peerListener, g.receive, o.Log)
	g.datagrams = peer.NewDatagrams(g.group.Context(), self, datagrams, g.receive, o.Log)
	g.addGauges(o.Metrics)
	g.group.GoContext(g.loop.Run)
	g.group.GoContext(g.runTicks)
	g.group.GoContext(g.sweep)
	g.group.Go(func() { g.serve(callers) })
	g.group.Go(g.relays.Serve)
	return g, nil
}

func (g *Gateway) serve(l net.Listener) {
	if err := g.server.Serve(l); err != nil {
		g.Log.Error(err, "HTTP server for callers failed")
	}
}

// Ready reports whether the router can serve callers.
func (g *Gateway) Ready() bool { return g.server.Ready() }

// Self returns this router's member record, which is registered in stores through which routers
// find one another.
func (g *Gateway) Self() member.Member { return g.self }

func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
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
	// acceptAllPercent is the percentage of a planned stop's time limit in which the router
	// accepts every request. Most callers have moved on by then, since they cache addresses for
	// one second and a few for three; those that never look up addresses stay. Afterwards the
	// router accepts only requests whose deadline is before its end.
	acceptAllPercent = 35
	// stopMarginPercent is the percentage of the time limit at the end of a planned stop in which
	// no request is accepted.
	stopMarginPercent = 7
	// idleWindow is the time without requests after which a stopping router ends early.
	idleWindow = 500 * time.Millisecond
	// idleCheckInterval is the interval at which a stopping router checks for requests.
	idleCheckInterval = 50 * time.Millisecond
)

// Drain makes a planned stop: the router announces that it is leaving and serves callers that
// still connect to it. Drain returns when all requests have ended or limit is over.
func (g *Gateway) Drain(ctx context.Context, limit time.Duration) {
	began := clock.Now()
	g.Log.Info("planned stop begins", "open", g.openRequests(), "limit_ms", limit.Milliseconds())
	g.server.Leave()
	g.loop.Post(func(_ *balance.State, now time.Time) {
		g.leaving = true
		g.news.Gossip(now)
	})
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	group.SleepUntil(ctx, began.Add(limit*acceptAllPercent/100))
	end := began.Add(limit * (100 - stopMarginPercent) / 100)
	g.server.EndBy(end)
	g.waitIdle(ctx, end)
	if err := g.server.Shutdown(ctx); err != nil {
		g.Log.Info("planned stop cut requests short", "cause", err.Error())
	}
	g.relays.Wait(ctx)
	g.Log.Info("planned stop is done", "took_ms", clock.Since(began).Milliseconds())
	g.logRequestSums()
}

// openRequests returns the number of requests being served and of connections being relayed, each
// of which counts as a request.
func (g *Gateway) openRequests() int64 { return g.server.OpenRequests() + g.relays.Open() }

// waitIdle waits until there have been no requests for idleWindow, or until end.
func (g *Gateway) waitIdle(ctx context.Context, end time.Time) {
	lastBusy, lastTotal := clock.Now(), g.server.TotalRequests()
	for clock.Since(lastBusy) < idleWindow && clock.Now().Before(end) {
		if total := g.server.TotalRequests(); g.openRequests() > 0 || total > lastTotal {
			lastBusy, lastTotal = clock.Now(), total
		}
		g.relays.CloseQuiet(ctx)
		if !group.SleepUntil(ctx, clock.Now().Add(idleCheckInterval)) {
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
