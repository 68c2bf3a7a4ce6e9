// Package ledger records, in a load test, what callers requested and what the stand-in
// targets served. The fairness gap and the other measures are computed from it, and never
// from the routers' own counters.
package ledger

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/stepcroft/stepcroft/internal/scenario"
)

// SampleInterval is the interval between two calls of Sample.
const SampleInterval = 20 * time.Millisecond

// Ledger holds the requests and accounts of one load test. Use New to make one. It is safe
// for concurrent use.
type Ledger struct {
	mu          sync.Mutex
	requests    map[string]*entry
	pools       map[string]*poolLedger
	largestCost float64
}

// entry is one request.
type entry struct {
	pool    *poolLedger
	account *account
	// starts is the number of times that a target started the request.
	starts     int
	cost       float64
	waiting    bool
	repeatable bool
	// notRun is set if the caller was told that the request did not run.
	notRun bool
}

type poolLedger struct {
	slots    int
	running  int
	waiting  int
	accounts map[string]*account
	// queueEmptied is set if there was a moment since the last sample when no request waited.
	queueEmptied bool
	// samples is the number of samples taken.
	samples int
	// busySum and idleSum add up, over all samples, the fraction of the slots that were busy
	// and the fraction that were idle while requests waited.
	busySum float64
	idleSum float64
}

// account holds the totals of one organisation in one pool.
type account struct {
	weight  float64
	served  float64
	waiting int
	// queueEmptied is set if there was a moment since the last sample when none of the
	// organisation's requests waited.
	queueEmptied bool
	series       []point
}

// point is one sample of an account: the cost served so far, and whether the organisation
// had a request waiting at all times since the previous sample.
type point struct {
	served     float64
	backlogged bool
}

// New returns a ledger with an empty account for each organisation in each pool it uses.
func New(s *scenario.Scenario) *Ledger {
	l := &Ledger{requests: map[string]*entry{}, pools: map[string]*poolLedger{}}
	for _, p := range s.Pools {
		l.pools[p.Name] = &poolLedger{slots: p.Engines * p.Slots, accounts: map[string]*account{}}
	}
	for _, o := range s.Organisations {
		for _, q := range o.Requests {
			if p := l.pools[q.Pool]; p != nil {
				p.accounts[o.Name] = &account{weight: o.EffectiveWeight(), queueEmptied: true}
			}
		}
	}
	return l
}

// Submitted records that a caller sends a request.
func (l *Ledger) Submitted(a scenario.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &entry{repeatable: !a.Group.NotRepeatable}
	l.requests[a.Tag] = e
	if p := l.pools[a.Group.Pool]; p != nil {
		e.pool, e.account, e.waiting = p, p.accounts[a.Organisation], true
		p.waiting++
		e.account.waiting++
	}
}

// stopWaiting records that a request has started to run, or was answered without running.
func (e *entry) stopWaiting() {
	if !e.waiting {
		return
	}
	e.waiting = false
	e.pool.waiting--
	e.account.waiting--
	if e.pool.waiting == 0 {
		e.pool.queueEmptied = true
	}
	if e.account.waiting == 0 {
		e.account.queueEmptied = true
	}
}

// Answered records that a caller has its answer. notRun is set if the answer says that the
// request did not run.
func (l *Ledger) Answered(tag string, notRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[tag]
	e.notRun = notRun
	e.stopWaiting()
}

// NotRunButRan returns the number of requests that a target started, before or after their
// callers were told that they did not run.
func (l *Ledger) NotRunButRan() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.requests {
		if e.notRun && e.starts > 0 {
			n++
		}
	}
	return n
}

// Started implements standin.Observer.
func (l *Ledger) Started(tag string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[tag]
	if e == nil {
		return
	}
	e.starts++
	e.stopWaiting()
	if e.pool != nil {
		e.pool.running++
	}
}

// Resumed implements standin.Observer.
func (l *Ledger) Resumed(tag string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.requests[tag]; e != nil && e.pool != nil {
		e.pool.running++
	}
}

// Served implements standin.Observer.
func (l *Ledger) Served(tag string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[tag]
	if e == nil || e.account == nil {
		return
	}
	e.account.served += cost
	e.cost += cost
	l.largestCost = max(l.largestCost, e.cost)
}

// Ended implements standin.Observer.
func (l *Ledger) Ended(tag string, _ bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.requests[tag]; e != nil && e.pool != nil {
		e.pool.running--
	}
}

// RunTwice returns the number of requests that must not be repeated but were started more
// than once.
func (l *Ledger) RunTwice() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.requests {
		if !e.repeatable && e.starts > 1 {
			n++
		}
	}
	return n
}

// Sample appends a sample to each account. Call it every SampleInterval.
func (l *Ledger) Sample() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pools {
		p.samples++
		busy := float64(min(p.running, p.slots)) / float64(p.slots)
		p.busySum += busy
		if p.waiting > 0 && !p.queueEmptied {
			p.idleSum += 1 - busy
		}
		p.queueEmptied = p.waiting == 0
		for _, a := range p.accounts {
			a.series = append(a.series, point{a.served, a.waiting > 0 && !a.queueEmptied})
			a.queueEmptied = a.waiting == 0
		}
	}
}

// Gap is how far one organisation of a pool got ahead of another in served cost per weight,
// during a period in which both had requests waiting throughout.
type Gap struct {
	// Size is in units of the largest request cost.
	Size float64 `json:"size"`
	Pool string  `json:"pool"`
	// Ahead and Behind are the organisation that gained and the one that lost.
	Ahead  string `json:"ahead"`
	Behind string `json:"behind"`
	// From and To are the ends of the period, in seconds since the start.
	From float64 `json:"from"`
	To   float64 `json:"to"`
}

// GapSeriesStepSeconds is the time between two entries of a series of gaps, in seconds.
const GapSeriesStepSeconds = 0.5

// Gaps returns the largest gap over all pairs of organisations and all periods, and a series
// with the largest gap of any pair in each step of GapSeriesStepSeconds.
func (l *Ledger) Gaps() (Gap, []float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var worst Gap
	var series []float64
	for pool, p := range l.pools {
		names := slices.Sorted(maps.Keys(p.accounts))
		for i, a := range names {
			for _, b := range names[:i] {
				g := pairGap(p.accounts[a], p.accounts[b], func(sample int, size float64) {
					series = raiseStep(series, sample, size/max(l.largestCost, 1))
				})
				if g.Size > worst.Size {
					worst = g.withOrganisations(pool, a, b)
				}
			}
		}
	}
	worst.Size /= max(l.largestCost, 1)
	return worst, series
}

// raiseStep raises the entry of a series that covers a sample to size, if it is lower.
func raiseStep(series []float64, sample int, size float64) []float64 {
	i := int(secondsAt(sample) / GapSeriesStepSeconds)
	for len(series) <= i {
		series = append(series, 0)
	}
	series[i] = max(series[i], size)
	return series
}

// withOrganisations returns the gap that pairGap found between a and b with the names filled
// in. If a's lead shrank, b is the one ahead and the ends of the period are swapped.
func (g Gap) withOrganisations(pool, a, b string) Gap {
	g.Pool, g.Ahead, g.Behind = pool, a, b
	if g.From > g.To {
		g.From, g.To, g.Ahead, g.Behind = g.To, g.From, b, a
	}
	return g
}

// pairGap returns the largest change of a's lead over b while both had requests waiting.
// From is when the lead was smallest and To when it was largest, whichever came first. visit
// is called for every sample with the gap reached by then.
func pairGap(a, b *account, visit func(sample int, size float64)) Gap {
	var worst Gap
	var low, high float64
	lowAt, highAt := -1, -1
	for i := range a.series {
		if !a.series[i].backlogged || !b.series[i].backlogged {
			lowAt, highAt = -1, -1
			visit(i, 0)
			continue
		}
		d := a.series[i].served/a.weight - b.series[i].served/b.weight
		if lowAt < 0 || d < low {
			low, lowAt = d, i
		}
		if highAt < 0 || d > high {
			high, highAt = d, i
		}
		visit(i, high-low)
		if high-low > worst.Size {
			worst = Gap{Size: high - low, From: secondsAt(lowAt), To: secondsAt(highAt)}
		}
	}
	return worst
}

// secondsAt returns the time of a sample, in seconds since the start.
func secondsAt(sample int) float64 { return float64(sample) * SampleInterval.Seconds() }

// Utilisation returns the fraction of the time, over all slots, that they were busy, and the
// fraction that they were idle while requests waited.
func (l *Ledger) Utilisation() (busy, idle float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slots := 0
	for _, p := range l.pools {
		n := float64(p.slots) / float64(max(p.samples, 1))
		busy += p.busySum * n
		idle += p.idleSum * n
		slots += p.slots
	}
	return busy / float64(slots), idle / float64(slots)
}

// ServedCost returns the cost served to each organisation, over all pools.
func (l *Ledger) ServedCost() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := map[string]float64{}
	for _, p := range l.pools {
		for name, a := range p.accounts {
			sums[name] += a.served
		}
	}
	return sums
}
