package gateway

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/metrics"
	"github.com/stepcroft/stepcroft/internal/quarantine"
)

const (
	// maxLatency bounds the histograms, in microseconds; two digits of
	// precision keep one at some 20 KB.
	maxLatency    = int64(time.Minute / time.Microsecond)
	latencyDigits = 2
)

// Metrics counts what a gateway does. Use NewMetrics to make one.
type Metrics struct {
	root     *expvar.Map
	refusals *expvar.Map
	failures *expvar.Map
	retries  *expvar.Map
	statuses *expvar.Map
	// ignored counts entries that name no target to use, by field.
	ignored *expvar.Map
	// zones names the drained availability zones, cold counts the cold targets by
	// service, and coldHeld how often one was passed over for that.
	zones, cold *expvar.Map
	coldHeld    *expvar.Int
	// advice counts what targets said of themselves in answers, againstAdvice the requests
	// that were sent in spite of it.
	advice, againstAdvice *expvar.Map
	// suspects counts changes of what is known of requests that end targets.
	suspects *expvar.Map
	// suspensions counts how often the box was suspended, suspendedFor for how long in
	// all, in milliseconds.
	suspensions, suspendedFor *expvar.Int

	mu                   sync.Mutex
	waited, first, total *hdrhistogram.Histogram
}

// NewMetrics returns a set of counters at zero.
func NewMetrics() *Metrics {
	m := &Metrics{
		root: new(expvar.Map), refusals: new(expvar.Map), failures: new(expvar.Map),
		retries: new(expvar.Map), statuses: new(expvar.Map),
		ignored: new(expvar.Map), zones: new(expvar.Map), cold: new(expvar.Map), coldHeld: new(expvar.Int), suspects: new(expvar.Map),
		advice: new(expvar.Map), againstAdvice: new(expvar.Map),
		suspensions: new(expvar.Int), suspendedFor: new(expvar.Int),
		waited: hdrhistogram.New(1, maxLatency, latencyDigits),
		first:  hdrhistogram.New(1, maxLatency, latencyDigits),
		total:  hdrhistogram.New(1, maxLatency, latencyDigits),
	}
	m.root.Set("refusals", m.refusals)
	m.root.Set("failures", m.failures)
	m.root.Set("retries", m.retries)
	m.root.Set("statuses", m.statuses)
	m.root.Set("targets_ignored", m.ignored)
	m.root.Set("drained_zones", m.zones)
	m.root.Set("cold_targets", m.cold)
	m.root.Set("cold_passed_over", m.coldHeld)
	m.root.Set("suspected_requests", m.suspects)
	m.root.Set("target_advice", m.advice)
	m.root.Set("sent_against_advice", m.againstAdvice)
	m.root.Set("suspensions", m.suspensions)
	m.root.Set("suspended_ms", m.suspendedFor)
	m.root.Set("violations", invariant.Violations())
	m.root.Set("latency_ms", expvar.Func(m.latencies))
	m.root.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	m.root.Set("process", expvar.Func(func() any { return metrics.ReadProcess() }))
	return m
}

// Set adds a value that is worked out when it is read.
func (m *Metrics) Set(name string, read func() any) { m.root.Set(name, expvar.Func(read)) }

func (m *Metrics) watch(g *Gateway) {
	m.Set("target_connections", func() any { return g.transport.Stats() })
	m.Set("peer_messages", func() any { return g.peers.Stats() })
	m.Set("peer_datagrams", func() any { return g.datagrams.Stats() })
	m.Set("processor_part", func() any { return g.loop.CPUUtilisation() })
	m.Set("turned_away", func() any { return g.server.RejectedConnections() })
	m.Set("open_requests", func() any { return g.server.OpenRequests() })
}

// CountRetry counts a retry by its reason.
func (m *Metrics) CountRetry(r forward.Reason) { m.retries.Add(string(r), 1) }

// CountAdvice counts what a target said of itself.
func (m *Metrics) CountAdvice(a forward.Advice) { m.advice.Add(string(a), 1) }

func (m *Metrics) ended(v forward.Result, took time.Duration) {
	m.statuses.Add(fmt.Sprint(v.Status), 1)
	switch {
	case v.Reason == "":
	case v.HeadSent || v.Status == http.StatusBadGateway || v.Status == http.StatusGatewayTimeout:
		m.failures.Add(string(v.Reason), 1)
	default:
		m.refusals.Add(string(v.Reason), 1)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	record(m.waited, v.QueueTime)
	if v.TimeToFirstByte > 0 {
		record(m.first, v.TimeToFirstByte)
	}
	record(m.total, took)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values are cut to the histogram's range; it then takes all of them.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatency))
}

// latency is a histogram's summary, in milliseconds.
type latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func (m *Metrics) latencies() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]latency{"waited": summary(m.waited), "first_byte": summary(m.first), "total": summary(m.total)}
}

func summary(h *hdrhistogram.Histogram) latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return latency{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

func (m *Metrics) suspended(missed time.Duration) {
	m.suspensions.Add(1)
	m.suspendedFor.Add(missed.Milliseconds())
}

// setZones takes over which availability zones are drained.
func (m *Metrics) setZones(drained []string) {
	m.zones.Init()
	for _, zone := range drained {
		m.zones.Add(zone, 1)
	}
}

// setCold takes over how many targets are cold, by service.
func (m *Metrics) setCold(count map[string]int) {
	m.cold.Init()
	for service, n := range count {
		m.cold.Add(service, int64(n))
	}
}

// suspect counts a change of what is known of a request that ended targets.
func (m *Metrics) suspect(r quarantine.Record) {
	switch n := r.Uncleared(); {
	case n == 0:
		m.suspects.Add("cleared", 1)
	case quarantine.HeldBack(n):
		m.suspects.Add("held", 1)
	case n == 1:
		m.suspects.Add("bystander", 1)
	default:
		m.suspects.Add("suspected", 1)
	}
}

// ServeHTTP writes all figures as one JSON object.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if _, err := w.Write([]byte(m.root.String())); err != nil {
		return
	}
}

// observer logs and counts each request that ended.
type observer struct {
	log     logr.Logger
	full    func() bool
	metrics *Metrics
	tally   *tally
}

func (g *Gateway) observer() observer {
	return observer{log: g.Log, full: g.LogFull, metrics: g.Metrics, tally: &g.tally}
}

// RequestEnded implements ingress.Observer.
func (o observer) RequestEnded(r forward.Request, v forward.Result, took time.Duration) {
	o.metrics.ended(v, took)
	hidden := o.full != nil && o.full()
	o.tally.add(r, v, hidden)
	if hidden {
		return
	}
	route, goal := "", time.Duration(0)
	if r.Route != nil {
		route, goal = r.Route.Name, r.Route.Goal
	}
	log := o.log
	if v.ContentDigest != "" {
		log = log.WithValues("content", v.ContentDigest)
	}
	log.Info("request", "id", r.ID, "route", route, "organisation", r.Organisation, "outcome", outcome(v),
		"status", v.Status, "reason", string(v.Reason), "target", v.TargetID,
		"lapsed_ms", v.LapsedFor.Milliseconds(), "sends", v.Sends,
		"unread", v.PendingTokens, "miss", v.UncachedTokens, "fetched", v.FetchableTokens, "input", r.Input, "output", r.Output,
		"goal_ms", milliseconds(goal), "waited_ms", milliseconds(v.QueueTime), "first_ms", milliseconds(v.TimeToFirstByte),
		"took_ms", milliseconds(took), "retry_after_ms", v.RetryAfter.Milliseconds())
}

// outcome says in a word how a request ended.
func outcome(v forward.Result) string {
	switch {
	case v.Truncated:
		return "cut"
	case v.Reason != "":
		return "refused"
	}
	return "answered"
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func goalOf(r forward.Request) time.Duration {
	if r.Route == nil {
		return 0
	}
	return r.Route.Goal
}
