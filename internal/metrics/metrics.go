// Package metrics holds a router's counters as expvar values, with one counter for each reason
// to refuse or retry a request.
package metrics

import (
	"expvar"
	"net/http"

	"github.com/stepcroft/stepcroft/internal/request"
)

// Metrics is one router's set of counters. Use New to make one.
type Metrics struct {
	root     *expvar.Map
	refusals *expvar.Map
	retries  *expvar.Map
	outcomes *expvar.Map
}

// New returns a set in which the counter of every reason and outcome is zero.
func New() *Metrics {
	m := &Metrics{
		root:     new(expvar.Map),
		refusals: new(expvar.Map),
		retries:  new(expvar.Map),
		outcomes: new(expvar.Map),
	}
	for _, r := range request.Reasons() {
		if r.Status() == 0 {
			m.retries.Add(string(r), 0)
			continue
		}
		m.refusals.Add(string(r), 0)
	}
	for _, o := range []request.Outcome{request.Completed, request.NotRun, request.Unknown} {
		m.outcomes.Add(string(o), 0)
	}
	m.root.Set("refusals", m.refusals)
	m.root.Set("retries", m.retries)
	m.root.Set("outcomes", m.outcomes)
	return m
}

// CountRefusal counts a refusal.
func (m *Metrics) CountRefusal(r request.Reason) { m.refusals.Add(string(r), 1) }

// CountRetry counts a retry.
func (m *Metrics) CountRetry(r request.Reason) { m.retries.Add(string(r), 1) }

// CountOutcome counts an outcome.
func (m *Metrics) CountOutcome(o request.Outcome) { m.outcomes.Add(string(o), 1) }

// EachRefusal calls f with each reason that has a nonzero number of refusals.
func (m *Metrics) EachRefusal(f func(r request.Reason, n int64)) { each(m.refusals, f) }

// EachRetry calls f with each reason that has a nonzero number of retries.
func (m *Metrics) EachRetry(f func(r request.Reason, n int64)) { each(m.retries, f) }

func each(counts *expvar.Map, f func(request.Reason, int64)) {
	counts.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok && n.Value() != 0 {
			f(request.Reason(kv.Key), n.Value())
		}
	})
}

// SetFunc adds a value that is computed by read each time the metrics are read.
func (m *Metrics) SetFunc(name string, read func() any) { m.root.Set(name, expvar.Func(read)) }

// ServeHTTP writes all counters as one JSON object.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(m.root.String()))
}
