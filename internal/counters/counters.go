// Package counters holds the counters and latency histograms of a router, which expvar publishes as one JSON object.
package counters

import (
	"cmp"
	"expvar"
	"fmt"
	"maps"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/stepcroft/stepcroft/internal/enginespeed"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/metrics"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/returns"
	"github.com/stepcroft/stepcroft/internal/rollout"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

const (
	// maxLatencyMicros is the largest value of the latency histograms, in microseconds. With two
	// significant digits a histogram takes some 20 KB.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 2
)

// Registry holds the counters and latency histograms of a router. Use New to make one.
type Registry struct {
	root     *expvar.Map
	refusals *expvar.Map
	failures *expvar.Map
	retries  *expvar.Map
	statuses *expvar.Map
	// ignored counts store entries that could not be used as targets, by the invalid field.
	ignored *expvar.Map
	// zones has a 1 for each drained availability zone, cold is the number of cold targets by
	// service, and coldSkipped counts how often a target was skipped for being cold.
	zones, cold *expvar.Map
	// copies counts the copies of the store's entries sent to routers of the own zone ("near") and
	// of others ("far").
	copies *expvar.Map
	// rollouts has a 1 for each roll-out, by service and state.
	rollouts    *expvar.Map
	coldSkipped *expvar.Int
	// advice counts what targets reported about themselves in responses (leaving, backing
	// off), againstAdvice the requests that were sent to such a target nevertheless.
	advice, againstAdvice *expvar.Map
	// aborted counts the exchanges with targets that this router ended, by reason and by whether the caller had a part
	// of the answer. cut counts the answers that callers got a part of, by how the last exchange ended and by why no
	// target went on.
	aborted, cut *expvar.Map
	// seconds counts the requests sent to a second target while the first one was silent, by what became of it.
	seconds *expvar.Map
	// continuations counts streams that were continued at another target, joins where runs of streams follow earlier
	// ones, by how both are known to be of one version, and joinProcesses by how the target's process is known.
	continuations, joins, joinProcesses *expvar.Map
	// streamLookups counts the streams taken up by whether the version that began them is known.
	streamLookups *expvar.Map
	// suspects counts changes to the records of requests that are suspected of crashing
	// targets, by their new state.
	suspects *expvar.Map
	// refusedByForecast counts the requests refused without a wait, by reason, and returns the
	// returns that were booked for refused callers.
	refusedByForecast, returns *expvar.Map
	// usageIgnored counts invalid usages of organisations in other routers' reports.
	usageIgnored *expvar.Int
	// suspensions counts how often the box was suspended, suspendedMillis is the total length of
	// the suspensions in milliseconds.
	suspensions, suspendedMillis *expvar.Int

	// speeds describes the speeds of engines by service, speedsIgnored counts the values about them
	// that were ignored.
	speeds        atomic.Pointer[map[string]enginespeed.Summary]
	speedsIgnored expvar.Int
	// versionEvidence counts how the versions that began streams were known, skippedIDs the ids that the
	// events of streams left out, and heldStreams the streams kept from versions that were not stored.
	versionEvidence         *expvar.Map
	skippedIDs, heldStreams expvar.Int
	// targetExits counts processes of targets that ended, as this router saw or as others told.
	targetExits *expvar.Map

	mu                       sync.Mutex
	waited, firstByte, total *hdrhistogram.Histogram
}

// New returns a set of counters at zero.
func New() *Registry {
	m := &Registry{
		root: new(expvar.Map), refusals: new(expvar.Map), failures: new(expvar.Map),
		retries: new(expvar.Map), statuses: new(expvar.Map),
		ignored: new(expvar.Map), zones: new(expvar.Map), rollouts: new(expvar.Map), copies: new(expvar.Map), cold: new(expvar.Map), coldSkipped: new(expvar.Int), suspects: new(expvar.Map),
		aborted: new(expvar.Map), cut: new(expvar.Map), seconds: new(expvar.Map),
		continuations: new(expvar.Map), joins: new(expvar.Map), joinProcesses: new(expvar.Map), streamLookups: new(expvar.Map), versionEvidence: new(expvar.Map), targetExits: new(expvar.Map), advice: new(expvar.Map), againstAdvice: new(expvar.Map),
		refusedByForecast: new(expvar.Map), returns: new(expvar.Map), usageIgnored: new(expvar.Int),
		suspensions: new(expvar.Int), suspendedMillis: new(expvar.Int),
		waited:    hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		firstByte: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		total:     hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
	}
	m.root.Set("refusals", m.refusals)
	m.root.Set("failures", m.failures)
	m.root.Set("retries", m.retries)
	m.root.Set("statuses", m.statuses)
	m.root.Set("targets_ignored", m.ignored)
	m.root.Set("drained_zones", m.zones)
	m.root.Set("copies_sent", m.copies)
	m.root.Set("rollouts", m.rollouts)
	m.root.Set("cold_targets", m.cold)
	m.root.Set("cold_passed_over", m.coldSkipped)
	m.root.Set("suspected_requests", m.suspects)
	m.root.Set("target_advice", m.advice)
	m.root.Set("exchanges_aborted", m.aborted)
	m.root.Set("answers_cut", m.cut)
	m.root.Set("second_sends", m.seconds)
	m.root.Set("streams_continued", m.continuations)
	m.root.Set("stream_joins", m.joins)
	m.root.Set("stream_join_processes", m.joinProcesses)
	m.root.Set("stream_lookups", m.streamLookups)
	m.root.Set("stream_version_evidence", m.versionEvidence)
	m.root.Set("target_exits", m.targetExits)
	m.root.Set("event_ids_skipped", &m.skippedIDs)
	m.root.Set("streams_held", &m.heldStreams)
	m.root.Set("sent_against_advice", m.againstAdvice)
	m.root.Set("refused_by_forecast", m.refusedByForecast)
	m.root.Set("returns", m.returns)
	m.root.Set("usage_ignored", m.usageIgnored)
	m.root.Set("suspensions", m.suspensions)
	m.root.Set("suspended_ms", m.suspendedMillis)
	m.Set("engine_speeds", func() any { return m.speeds.Load() })
	m.root.Set("engine_speeds_ignored", &m.speedsIgnored)
	m.root.Set("violations", invariant.Violations())
	m.root.Set("latency_ms", expvar.Func(m.latencies))
	m.root.Set("goroutines", expvar.Func(func() any { return runtime.NumGoroutine() }))
	m.root.Set("process", expvar.Func(func() any { return metrics.ReadProcess() }))
	return m
}

// Set adds a value that is computed by read each time the metrics are read.
func (m *Registry) Set(name string, read func() any) { m.root.Set(name, expvar.Func(read)) }

// CountRetry counts a retry by its reason.
func (m *Registry) CountRetry(r forward.Reason) { m.retries.Add(string(r), 1) }

// CountAdvice counts what a target reported about itself.
func (m *Registry) CountAdvice(a forward.Advice) { m.advice.Add(string(a), 1) }

// CountContinuation counts a stream that was continued at another target.
func (m *Registry) CountContinuation(c forward.Continuation) { m.continuations.Add(string(c), 1) }

// CountJoin counts a run of a stream that follows an earlier one.
func (m *Registry) CountJoin(j forward.Join) {
	m.joins.Add(string(j.Evidence), 1)
	m.joinProcesses.Add(string(j.Process), 1)
}

// CountAborted counts an exchange with a target that this router ended.
func (m *Registry) CountAborted(why forward.Reason, inAnswer bool) {
	when := "before answer"
	if inAnswer {
		when = "in answer"
	}
	m.aborted.Add(string(why)+" "+when, 1)
}

// CountSecond counts a second send by what became of it.
func (m *Registry) CountSecond(r forward.SecondResult) { m.seconds.Add(string(r), 1) }

// CountStreamLookup counts whether the version that began a stream is known.
func (m *Registry) CountStreamLookup(a streamversion.Answer) {
	switch {
	case a.Known:
		m.streamLookups.Add("known", 1)
		m.versionEvidence.Add(string(a.Evidence), 1)
	case a.Confirmed:
		m.streamLookups.Add("unknown", 1)
	default:
		m.streamLookups.Add("unanswered", 1)
	}
}

// RecordRequest records a request that has ended after a time.
func (m *Registry) RecordRequest(v forward.Result, took time.Duration) {
	m.statuses.Add(fmt.Sprint(v.Status), 1)
	m.skippedIDs.Add(v.SkippedIDs)
	if v.Truncated {
		m.cut.Add(cutReason(v), 1)
	}
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
		record(m.firstByte, v.TimeToFirstByte)
	}
	record(m.total, took)
}

// cutReason describes how the last exchange of an answer ended of which the caller has a part, and why no other
// target went on.
func cutReason(v forward.Result) string {
	why := cmp.Or(string(v.NotRetried), string(v.Reason))
	if v.ExchangeEnd == "" {
		return why
	}
	return string(v.ExchangeEnd) + " " + why
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values are clamped to the histogram's range, so that recording cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

// latency is a histogram's summary, in milliseconds.
type latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func (m *Registry) latencies() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]latency{"waited": summary(m.waited), "first_byte": summary(m.firstByte), "total": summary(m.total)}
}

func summary(h *hdrhistogram.Histogram) latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return latency{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// RecordSuspension records that the box was suspended for a time.
func (m *Registry) RecordSuspension(missed time.Duration) {
	m.suspensions.Add(1)
	m.suspendedMillis.Add(missed.Milliseconds())
}

// SetZones replaces the drained availability zones.
func (m *Registry) SetZones(drained []string) {
	m.zones.Init()
	for _, zone := range drained {
		m.zones.Add(zone, 1)
	}
}

// CountCopy counts a copy sent to a router of the own zone or of another one.
func (m *Registry) CountCopy(near bool) {
	if near {
		m.copies.Add("near", 1)
		return
	}
	m.copies.Add("far", 1)
}

// SetRollouts replaces the states of roll-outs by service.
func (m *Registry) SetRollouts(states map[string]rollout.State) {
	m.rollouts.Init()
	for service, state := range states {
		m.rollouts.Add(service+" "+string(state), 1)
	}
}

// SetCold replaces the numbers of cold targets by service.
func (m *Registry) SetCold(count map[string]int) {
	m.cold.Init()
	for service, n := range count {
		m.cold.Add(service, int64(n))
	}
}

// Waits counts the requests that were refused without a wait, by reason, and the returns that were booked for
// refused callers. UsageIgnored counts invalid usages in other routers' reports.
type Waits struct {
	Refused      map[string]int64
	Returns      returns.Counts
	UsageIgnored int64
}

// Equal reports whether both have the same counts.
func (w Waits) Equal(o Waits) bool {
	return w.Returns == o.Returns && w.UsageIgnored == o.UsageIgnored && maps.Equal(w.Refused, o.Refused)
}

// SetWaits replaces the counts of refusals without a wait and of booked returns.
func (m *Registry) SetWaits(c Waits) {
	for why, n := range c.Refused {
		setCount(m.refusedByForecast, why, n)
	}
	setCount(m.returns, "booked", c.Returns.Booked)
	setCount(m.returns, "full", c.Returns.Full)
	setCount(m.returns, "ignored", c.Returns.Ignored)
	m.usageIgnored.Set(c.UsageIgnored)
}

// setCount sets a count of a map that only one goroutine changes.
func setCount(m *expvar.Map, key string, n int64) {
	old, _ := m.Get(key).(*expvar.Int)
	if old == nil {
		m.Add(key, n)
		return
	}
	old.Set(n)
}

// CountSuspect counts a change to the record of a suspected request. A request with a single
// crash may only have run on the target by chance when another one crashed it: it is a bystander.
func (m *Registry) CountSuspect(r quarantine.Record) {
	prefix := ""
	if r.Part != "" {
		prefix = "part-"
	}
	switch n := r.Uncleared(); {
	case n == 0:
		m.suspects.Add(prefix+"cleared", 1)
	case quarantine.HeldBack(n):
		m.suspects.Add(prefix+"held", 1)
	case n == 1:
		m.suspects.Add(prefix+"bystander", 1)
	default:
		m.suspects.Add(prefix+"suspected", 1)
	}
}

// ServeHTTP writes all metrics as one JSON object.
func (m *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if _, err := w.Write([]byte(m.root.String())); err != nil {
		return
	}
}

// CountExits counts processes of targets that have ended, as this router has "seen" or as it was "told".
func (m *Registry) CountExits(how string, n int) { m.targetExits.Add(how, int64(n)) }

// CountAdviceBy adds to the count of what targets report about themselves.
func (m *Registry) CountAdviceBy(a string, n int64) { m.advice.Add(a, n) }

// CountAgainstAdvice counts requests that were sent to targets despite what those had reported.
func (m *Registry) CountAgainstAdvice(a forward.Advice, n int64) { m.againstAdvice.Add(string(a), n) }

// CountIgnored counts entries of the store that could not be used, by the invalid field.
func (m *Registry) CountIgnored(field string, n int) { m.ignored.Add(field, int64(n)) }

// SetHeldStreams replaces the number of streams kept from versions that were not stored.
func (m *Registry) SetHeldStreams(n int64) { m.heldStreams.Set(n) }

// SetColdSkipped replaces the number of times that a target was skipped for being cold.
func (m *Registry) SetColdSkipped(n int64) { m.coldSkipped.Set(n) }

// SetSpeeds replaces the speeds of engines, by service, and the number of values about them that were ignored.
func (m *Registry) SetSpeeds(all map[string]enginespeed.Summary, ignored int64) {
	m.speeds.Store(&all)
	m.speedsIgnored.Set(ignored)
}
