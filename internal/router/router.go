// Package router puts one router together: the control thread, the callers'
// interface, the streams to other routers, and what feeds them.
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
	DefaultTimeout        = 2100 * time.Millisecond
	DefaultMaxWaiting     = 10000
	DefaultMaxConnections = 10000
	DefaultPollers        = 2
)

// Bounds on what is remembered of past requests.
const (
	maxRecords     = 100000
	maxRecordBytes = 32 << 20
	maxRecordBody  = 64 << 10
)

// Options are what a router is made of. Zero durations and numbers mean the
// defaults above.
type Options struct {
	ID   string
	Zone string
	// Listen and PeerListen are the addresses for callers and for other
	// routers; port 0 takes a free one.
	Listen     string
	PeerListen string
	// AdminListen is the address for metrics; empty means none.
	AdminListen    string
	Platform       port.Platform
	ReportPeriod   time.Duration
	Timeout        time.Duration
	MaxWaiting     int
	MaxConnections int
	// Pollers is the number of goroutines that read callers' connections.
	Pollers int
	// ViewDelay and Policy are for experiments; see control.Options.
	ViewDelay time.Duration
	Policy    string
	// Seed seeds the router's random choices; 0 means a random seed.
	Seed uint64
	Log  logr.Logger
}

func (o Options) withDefaults() Options {
	o.ReportPeriod = orDefault(o.ReportPeriod, DefaultReportPeriod)
	o.Timeout = orDefault(o.Timeout, DefaultTimeout)
	o.MaxWaiting = orDefault(o.MaxWaiting, DefaultMaxWaiting)
	o.MaxConnections = orDefault(o.MaxConnections, DefaultMaxConnections)
	o.Pollers = orDefault(o.Pollers, DefaultPollers)
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	return o
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

// Router is one running router. Use New to make one.
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

// gate refuses callers until the router is ready for them.
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

// refuse answers a request that no handler has seen.
func refuse(w http.ResponseWriter, why request.Reason, detail string) {
	w.Header().Set(httpcaller.HeaderOutcome, string(request.NotRun))
	w.Header().Set(httpcaller.HeaderReason, string(why))
	w.Header().Set("Retry-After", "1")
	http.Error(w, detail, why.Status())
}

// full refuses requests on connections beyond the bound.
func (r *Router) full(w http.ResponseWriter, _ *http.Request) {
	r.metrics.Refused(request.ReasonProcessFull)
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
		MaxConnections: o.MaxConnections, Full: http.HandlerFunc(r.full), Pollers: o.Pollers,
	})
	if err != nil {
		listener.Close()
		return nil, err
	}
	r.self = member.Member{
		ID: message.RouterID(o.ID), Zone: o.Zone, Address: r.callers.Address(),
		Peer: listener.Addr().String(), Incarnation: uint64(clock.Wall().UnixNano()),
	}
	r.assemble(listener)
	return r, r.startAdmin()
}

func (r *Router) assemble(listener net.Listener) {
	o := r.options
	random := rand.New(rand.NewPCG(o.Seed, r.self.Incarnation))
	r.loop = newLoop(r.group)
	r.syncer = configsync.New(configsync.Options{
		Platform: o.Platform, Self: r.self, Apply: r.configure, Live: core{r}.Members, Send: r.send, Log: o.Log,
	})
	r.peers = peer.New(context.Background(), r.self, listener, r.receive, o.Log)
	state := control.New(control.Options{
		Self: r.self, ReportPeriod: o.ReportPeriod, RouterTimeout: o.Timeout, MaxWaiting: o.MaxWaiting, ViewDelay: o.ViewDelay, Policy: o.Policy,
	}, outlet{r.peers}, random, clock.Now())
	r.handler = httpcaller.New(httpcaller.Options{
		Core: core{r}, Self: r.self, Engine: r.engines, Service: r.engines,
		Records: request.NewRecords(maxRecords, maxRecordBytes, maxRecordBody),
		Budget:  request.NewBudget(), Metrics: r.metrics, Log: o.Log,
	})
	r.publish()
	r.group.GoContext(func(ctx context.Context) { r.loop.run(ctx, state, o.ReportPeriod) })
	r.group.GoContext(r.syncer.Run)
	r.group.GoContext(r.pollEngines)
}

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
	r.loop.do(func(s *control.State, now time.Time) { s.Receive(from, m, now) })
}

// configure puts a configuration in force; the first one opens the gate.
func (r *Router) configure(snapshot config.Snapshot) {
	r.snapshot.Store(&snapshot)
	r.loop.do(func(s *control.State, now time.Time) { s.Configure(snapshot, now) })
	r.gate.handler.CompareAndSwap(nil, r.handler)
}

// Address returns the address for callers.
func (r *Router) Address() string { return r.self.Address }

// Self returns the router as others see it.
func (r *Router) Self() member.Member { return r.self }

// Metrics returns the router's counters.
func (r *Router) Metrics() *metrics.Metrics { return r.metrics }

// PeerStats returns totals of what was sent to other routers.
func (r *Router) PeerStats() peer.Stats { return r.peers.Stats() }

// Cut drops messages from and to peer addresses, for experiments.
func (r *Router) Cut(addresses map[string]bool) { r.peers.Cut(addresses) }

// Status returns a picture of the control state.
func (r *Router) Status() control.Status {
	var status control.Status
	r.loop.call(func(s *control.State, now time.Time) { status = s.Status(now) })
	return status
}

// publish adds the values that are worked out when metrics are read.
func (r *Router) publish() {
	r.metrics.Set("control", func() any { return r.Status() })
	r.metrics.Set("peers", func() any { return r.peers.Stats() })
	r.metrics.Set("config", func() any { return r.syncer.Stats() })
	r.metrics.Set("violations", func() any { return json.RawMessage(invariant.Violations().String()) })
	r.metrics.Set("process", func() any { return metrics.ReadProcess() })
	r.metrics.Set("callers", func() any { return callerStats{r.handler.Working()} })
}

// callerStats is what callers' connections are doing.
type callerStats struct {
	// Working is the number of requests being answered.
	Working int `json:"working"`
}

// Drain makes a planned stop: the router leaves the answer to which
// addresses to use, goes on serving callers that hold an older answer until
// that has expired, and returns when its last request has ended.
func (r *Router) Drain(ctx context.Context) error {
	r.loop.do(func(s *control.State, now time.Time) { s.Leave(now) })
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain")
	case <-time.After(httpcaller.AddressLifetime):
	}
	r.loop.do(func(s *control.State, _ time.Time) { s.Close() })
	for !r.idle() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "drain")
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

func (r *Router) idle() bool {
	idle := false
	r.loop.call(func(s *control.State, _ time.Time) { idle = s.Idle() })
	return idle && r.handler.Working() == 0
}

// Stop ends the router at once.
func (r *Router) Stop() {
	r.callers.Stop()
	if r.admin != nil {
		r.admin.Stop()
	}
	r.peers.Stop()
	r.group.Stop()
	r.engines.Stop()
}
