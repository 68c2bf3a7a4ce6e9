// Package router assembles a router of the engine-pool kind: the control loop, the HTTP server
// for callers, the streams to other routers, the synchronisation of the configuration, and the
// polling of engines.
package router

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/adapter/engine"
	"github.com/stepcroft/stepcroft/internal/adapter/httpcaller"
	"github.com/stepcroft/stepcroft/internal/adapter/peer"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/configsync"
	"github.com/stepcroft/stepcroft/internal/control"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httpserver"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/metrics"
	"github.com/stepcroft/stepcroft/internal/port"
	"github.com/stepcroft/stepcroft/internal/request"
)

// Defaults of Options.
const (
	DefaultReportPeriod   = 700 * time.Millisecond
	DefaultRouterTimeout  = 2100 * time.Millisecond
	DefaultMaxWaiting     = 10000
	DefaultMaxConnections = 10000
	DefaultPollers        = 2
)

// Limits on the records kept of past requests: their number, their total size in bytes, and the
// size of a single body in bytes.
const (
	maxRecords         = 100000
	maxRecordsBytes    = 32 << 20
	maxRecordBodyBytes = 64 << 10
)

// Options configures a router. Zero durations and numbers mean the defaults above.
type Options struct {
	ID   string
	Zone string
	// Listen and PeerListen are the addresses on which the router listens for callers and for
	// other routers; port 0 means any free port.
	Listen     string
	PeerListen string
	// AdminListen is the address on which metrics are served; empty means none.
	AdminListen string
	// Platform is the source of the configuration.
	Platform port.Platform
	// ReportPeriod is the time between two reports to the other routers, and RouterTimeout the
	// time without a message after which another router counts as dead.
	ReportPeriod  time.Duration
	RouterTimeout time.Duration
	// MaxWaiting bounds the requests queued at this router, and MaxConnections the callers'
	// connections being served.
	MaxWaiting     int
	MaxConnections int
	// Pollers is the number of goroutines that read callers' connections.
	Pollers int
	// ViewDelay and Policy are used in experiments only; see control.Options.
	ViewDelay time.Duration
	Policy    string
	// Seed seeds the router's random numbers; 0 means a random seed.
	Seed uint64
	Log  logr.Logger
}

func (o Options) withDefaults() Options {
	o.ReportPeriod = orDefault(o.ReportPeriod, DefaultReportPeriod)
	o.RouterTimeout = orDefault(o.RouterTimeout, DefaultRouterTimeout)
	o.MaxWaiting = orDefault(o.MaxWaiting, DefaultMaxWaiting)
	o.MaxConnections = orDefault(o.MaxConnections, DefaultMaxConnections)
	o.Pollers = orDefault(o.Pollers, DefaultPollers)
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return o
}

// orDefault returns d if v is zero, and v otherwise.
func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// Router is a running router. Use New to create one.
type Router struct {
	options  Options
	self     member.Member
	group    *group.Group
	loop     *loop
	callers  *httpserver.Server
	admin    *httpserver.Server
	peers    *peer.Transport
	engines  *engine.Client
	syncer   *configsync.Syncer
	handler  *httpcaller.Handler
	metrics  *metrics.Metrics
	snapshot atomic.Pointer[config.Snapshot]
	gate     gate
}

// gate refuses requests until its handler is set, once the router has a configuration.
type gate struct {
	handler atomic.Pointer[httpcaller.Handler]
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := g.handler.Load()
	if h == nil {
		refuse(w, request.ReasonNotReady, "router has no configuration yet")
		return
	}
	h.ServeHTTP(w, r)
}

// refuse answers a request that does not reach httpcaller.Handler.
func refuse(w http.ResponseWriter, reason request.Reason, detail string) {
	w.Header().Set(httpcaller.HeaderOutcome, string(request.NotRun))
	w.Header().Set(httpcaller.HeaderReason, string(reason))
	w.Header().Set("Retry-After", "1")
	http.Error(w, detail, reason.Status())
}

// rejectConnection refuses requests on connections beyond the maximum.
func (r *Router) rejectConnection(w http.ResponseWriter, _ *http.Request) {
	r.metrics.CountRefusal(request.ReasonProcessFull)
	refuse(w, request.ReasonProcessFull, "too many connections")
}

// New starts a router. It serves callers once it has a configuration.
func New(o Options) (*Router, error) {
	o = o.withDefaults()
	r := &Router{options: o, group: group.New(context.Background()), metrics: metrics.New(), engines: engine.New()}
	listener, err := net.Listen("tcp", o.PeerListen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for routers on %s", o.PeerListen)
	}
	r.callers, err = httpserver.New(o.Listen, &r.gate, httpserver.Options{
		MaxConnections: o.MaxConnections, RejectHandler: http.HandlerFunc(r.rejectConnection), Pollers: o.Pollers,
	})
	if err != nil {
		listener.Close()
		return nil, err
	}
	r.self = member.Member{
		ID: message.RouterID(o.ID), Zone: o.Zone, Address: r.callers.Address(),
		Peer: listener.Addr().String(), Incarnation: uint64(clock.Wall().UnixNano()),
	}
	r.startParts(listener)
	return r, r.startAdmin()
}

// startParts creates the router's parts and starts their goroutines.
func (r *Router) startParts(listener net.Listener) {
	o := r.options
	random := rand.New(rand.NewPCG(o.Seed, r.self.Incarnation))
	r.loop = newLoop(r.group)
	r.syncer = configsync.New(configsync.Options{
		Platform: o.Platform, Self: r.self, Apply: r.configure, Live: controlLoop{r}.Members, Send: r.send, Log: o.Log,
	})
	r.peers = peer.New(context.Background(), r.self, listener, r.receive, o.Log)
	state := control.New(control.Options{
		Self: r.self, ReportPeriod: o.ReportPeriod, RouterTimeout: o.RouterTimeout, MaxWaiting: o.MaxWaiting, ViewDelay: o.ViewDelay, Policy: o.Policy,
	}, delivery{r.peers}, random, clock.Now())
	r.handler = httpcaller.New(httpcaller.Options{
		Core: controlLoop{r}, Self: r.self, Engine: r.engines, Service: r.engines,
		Records: request.NewRecords(maxRecords, maxRecordsBytes, maxRecordBodyBytes),
		Budget:  request.NewBudget(), Metrics: r.metrics, Log: o.Log,
	})
	r.publishMetrics()
	r.group.GoContext(func(ctx context.Context) { r.loop.run(ctx, state, o.ReportPeriod) })
	r.group.GoContext(r.syncer.Run)
	r.group.GoContext(r.pollEngines)
}

// startAdmin starts the server for metrics, if it has an address.
func (r *Router) startAdmin() error {
	if r.options.AdminListen == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", r.metrics)
	var err error
	r.admin, err = httpserver.New(r.options.AdminListen, mux, httpserver.Options{MaxConnections: 64, Pollers: 1})
	return err
}

func (r *Router) send(to member.Member, m message.Message) { r.peers.Send(to, m) }

func (r *Router) receive(from member.Member, m message.Message) {
	r.syncer.Receive(from, m)
	r.loop.post(func(s *control.State, now time.Time) { s.Receive(from, m, now) })
}

// configure applies a configuration. The first one lets the gate pass requests.
func (r *Router) configure(snapshot config.Snapshot) {
	r.snapshot.Store(&snapshot)
	r.loop.post(func(s *control.State, now time.Time) { s.Configure(snapshot, now) })
	r.gate.handler.CompareAndSwap(nil, r.handler)
}

// Address returns the address on which the router serves callers.
func (r *Router) Address() string { return r.self.Address }

// Self returns the router's entry in the fleet's list of members.
func (r *Router) Self() member.Member { return r.self }

// Metrics returns the router's counters.
func (r *Router) Metrics() *metrics.Metrics { return r.metrics }

// PeerStats returns the totals of what was sent to other routers.
func (r *Router) PeerStats() peer.Stats { return r.peers.Stats() }

// BlockPeers drops all messages from and to the given peer addresses, as a network partition
// would; nil ends it. It is for experiments.
func (r *Router) BlockPeers(addresses map[string]bool) { r.peers.BlockPeers(addresses) }

// Status returns a summary of the control state.
func (r *Router) Status() control.Status {
	return call(r.loop, func(s *control.State, now time.Time) control.Status { return s.Status(now) })
}

// publishMetrics registers the metrics that are computed when they are read.
func (r *Router) publishMetrics() {
	r.metrics.SetFunc("control", func() any { return r.Status() })
	r.metrics.SetFunc("peers", func() any { return r.peers.Stats() })
	r.metrics.SetFunc("targets", func() any { return r.engines.Stats() })
	r.metrics.SetFunc("config", func() any { return r.syncer.Stats() })
	r.metrics.SetFunc("violations", func() any { return json.RawMessage(invariant.Violations().String()) })
	r.metrics.SetFunc("process", func() any { return metrics.ReadProcess() })
	r.metrics.SetFunc("callers", func() any { return callerStats{r.handler.OpenRequests()} })
}

// callerStats is the published state of callers' requests.
type callerStats struct {
	// Working is the number of requests being served.
	Working int `json:"working"`
}

// Drain shuts the router down in a planned way. The router is no longer listed in the addresses
// that callers are given. It serves callers that got an older list until that has expired, then
// refuses new requests, and Drain returns when the last request has ended.
func (r *Router) Drain(ctx context.Context) error {
	r.loop.post(func(s *control.State, now time.Time) { s.Leave(now) })
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain")
	case <-time.After(httpcaller.AddressLifetime):
	}
	r.loop.post(func(s *control.State, _ time.Time) { s.Close() })
	for !r.idle() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "drain")
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// idle reports whether no request waits, runs or is being answered.
func (r *Router) idle() bool {
	return call(r.loop, func(s *control.State, _ time.Time) bool { return s.Idle() }) && r.handler.OpenRequests() == 0
}

// Stop stops the router at once.
func (r *Router) Stop() {
	r.callers.Stop()
	if r.admin != nil {
		r.admin.Stop()
	}
	r.peers.Stop()
	r.group.Stop()
	r.engines.Stop()
}
