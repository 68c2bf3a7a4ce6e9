// Package enginespeed compares how fast the engines of a service are. Routers add up the times to
// the first event that they saw at each engine and what a common reference predicts for the same
// work; the sums of all routers together tell the engines apart.
package enginespeed

import (
	"math"
	"time"
)

const (
	// decay is the time in which an observation loses two thirds of its weight.
	decay = 10 * time.Second
	// ttl is how long sums count without an update. They have lost 95% of their weight by then.
	ttl = 30 * time.Second
	// priorExpected is the expected time, in milliseconds, that observations must add up to before
	// they count as much as the assumption that an engine is like the others: some four requests.
	priorExpected = 300
	// minFactor and maxFactor bound factors. An engine beyond them is broken rather than slow.
	minFactor, maxFactor = 0.25, 4
	// outlierFactor bounds an observation to this multiple of what the engine's sums so far predict.
	// A request that waited behind others that its router did not know of says little about speed.
	// An engine that has become slower still shows within a few observations. While the service has
	// less than priorExpected, the reference takes the place of the sums: one bad first observation
	// otherwise made an engine look 4 times slow until it expired.
	outlierFactor = 2
	// rebaseAfter is the age of the landmark after which it is renewed. Weights grow up to e^20
	// meanwhile.
	rebaseAfter = 20 * decay
	// maxEngines and maxEntries bound what is kept: engines, and sums of peers about engines.
	maxEngines, maxEntries = 20_000, 50_000
	// maxNameLength bounds the names of engines and services in reports.
	maxNameLength = 256
	// maxSum bounds sums in reports, in milliseconds: some four times the expected time of an engine
	// that reads 100 tokens a millisecond for 85 requests a second. An engine of higher sums would
	// outweigh its service; larger totals are scaled down before they are sent.
	// maxRatio bounds the ratio of actual to expected time in both directions.
	maxSum, maxRatio = 3e5, 1000
)

// Sums adds up times to the first event at one engine, in milliseconds.
type Sums struct {
	// Expected is what the reference predicts, Actual what the engine took.
	Expected, Actual float64
}

// Plus returns the sum of both.
func (s Sums) Plus(o Sums) Sums { return Sums{s.Expected + o.Expected, s.Actual + o.Actual} }

func (s Sums) minus(o Sums) Sums { return Sums{s.Expected - o.Expected, s.Actual - o.Actual} }

func (s Sums) times(f float64) Sums { return Sums{s.Expected * f, s.Actual * f} }

// ratio returns the ratio of actual to expected time; not a number if there is none.
func (s Sums) ratio() float64 { return s.Actual / s.Expected }

// within returns the sums with the actual time bounded to what factors relative to a mean ratio may
// be. The mean would otherwise follow one faulty report, and all other engines would look alike.
func (s Sums) within(mean float64) Sums {
	return Sums{s.Expected, min(max(s.Actual, minFactor*mean*s.Expected), maxFactor*mean*s.Expected)}
}

// capped returns the sums, scaled down to what reports may hold if they are larger.
func (s Sums) capped() Sums { return s.times(min(1, maxSum/max(s.Expected, s.Actual))) }

// valid reports whether sums can be those of observations. Comparisons with NaN are false.
func (s Sums) valid() bool {
	return s.Expected > 0 && s.Expected <= maxSum && s.Actual > 0 && s.Actual <= maxSum &&
		s.Actual <= s.Expected*maxRatio && s.Expected <= s.Actual*maxRatio
}

// Report is what a router, or a zone, knows about one engine.
type Report struct {
	// Target is the engine's incarnation.
	Target, Service string
	Sums
}

func (r Report) valid() bool {
	return r.Target != "" && r.Service != "" && len(r.Target) <= maxNameLength && len(r.Service) <= maxNameLength && r.Sums.valid()
}

// Summary describes the engines of a service.
type Summary struct {
	Engines int     `json:"engines"`
	Fastest float64 `json:"fastest"`
	Slowest float64 `json:"slowest"`
}

// Book holds the sums of this router and of its peers, which are other routers or zones. It is
// driven by one goroutine. Use New to create one.
//
// All sums lose weight at the same rate. An observation made at time t is stored multiplied by
// e^((t-landmark)/decay), so that sums can be added and subtracted whatever their age.
type Book struct {
	landmark, expiredAt time.Time
	// unit is the weight of a new observation at unitAt.
	unit     float64
	unitAt   time.Time
	engines  map[string]*engine
	services map[string]*service
	peers    map[string]map[string]entry
	// entries is the number of entries of all peers.
	entries int
	// changed has the engines whose sums may have changed since they were last taken.
	changed map[string]struct{}
	budget  budget
	// receivers is the number of routers that reports go to.
	receivers int
	ignored   int64
}

// engine is what is known of one incarnation of an engine.
type engine struct {
	*service
	// total is the sum of own and of all peers' entries, of which there are contributors.
	total, own   Sums
	contributors int
	// updatedAt is when any of them was last updated.
	updatedAt time.Time
	// ownAt is when this router last observed the engine; zero if it did not.
	ownAt time.Time
	// taken are the sums last taken for a report, at takenAt.
	taken   Sums
	takenAt time.Time
}

// service adds up the totals of its engines.
type service struct {
	name    string
	total   Sums
	engines int
}

// entry is what a peer last reported about an engine.
type entry struct {
	Sums
	at time.Time
}

// New returns an empty book.
func New(now time.Time) *Book {
	return &Book{
		landmark: now, expiredAt: now, unit: 1, unitAt: now, budget: budget{at: now},
		engines: map[string]*engine{}, services: map[string]*service{}, peers: map[string]map[string]entry{}, changed: map[string]struct{}{},
	}
}

// Observe adds the time that the first event of a request took at an engine, and the time that the
// reference predicts for it.
func (b *Book) Observe(now time.Time, service, target string, expected, actual time.Duration) {
	b.Expire(now)
	seen := Sums{milliseconds(expected), milliseconds(actual)}
	if !seen.valid() {
		return
	}
	if e := b.engines[target]; e != nil && e.name != service {
		// Peers may not know yet that it belongs to another service.
		b.Discard(target)
	}
	e := b.engine(service, target)
	if e == nil {
		return
	}
	// The ratio of a service of which little is known is that of a few requests.
	ratio := 1.0
	if e.service.total.Expected >= priorExpected*b.unitOf(now) {
		ratio = e.ratio(b.unitOf(now))
		seen.Actual = min(seen.Actual, maxFactor*seen.Expected*e.service.total.ratio())
	}
	seen.Actual = min(seen.Actual, outlierFactor*seen.Expected*ratio)
	if e.ownAt.IsZero() {
		e.contributors++
	}
	e.ownAt, e.updatedAt = now, now
	seen = seen.times(b.unitOf(now))
	e.own = e.own.Plus(seen)
	e.add(seen)
	b.changed[target] = struct{}{}
}

// Factor returns an engine's time for the same work relative to that of all engines of its service,
// 1 if it is unknown.
func (b *Book) Factor(now time.Time, service, target string) float64 {
	b.Expire(now)
	return b.Lookup(now, service, target)
}

// Lookup is Factor without the search for expired sums, which takes milliseconds if there are
// thousands of engines. Callers of Lookup must call Expire about once a second.
func (b *Book) Lookup(now time.Time, service, target string) float64 {
	e := b.engines[target]
	if e == nil || e.name != service || now.Sub(e.updatedAt) >= ttl {
		return 1
	}
	return e.factor(b.unitOf(now))
}

// SetPeer replaces what a peer reported about the engines in the list. What it reported about
// others before stays until it expires, since a report has only some of the engines.
func (b *Book) SetPeer(now time.Time, router string, list []Report) {
	b.Expire(now)
	b.ignored += int64(max(len(list)-maxPerReport, 0))
	for _, r := range list[:min(len(list), maxPerReport)] {
		if !r.valid() {
			b.ignored++
			continue
		}
		old, known := b.peers[router][r.Target]
		if !known && b.entries >= maxEntries {
			b.ignored++
			continue
		}
		e := b.engine(r.Service, r.Target)
		if e == nil {
			b.ignored++
			continue
		}
		if b.peers[router] == nil {
			b.peers[router] = map[string]entry{}
		}
		if !known {
			e.contributors++
			b.entries++
		}
		sums := r.times(b.unitOf(now))
		if others := e.service.total.minus(old.Sums); others.Expected >= priorExpected*b.unitOf(now) {
			sums = sums.within(others.ratio())
		}
		e.add(sums.minus(old.Sums))
		b.peers[router][r.Target] = entry{sums, now}
		e.updatedAt = now
		b.changed[r.Target] = struct{}{}
	}
}

// RemovePeer removes everything that a peer reported.
func (b *Book) RemovePeer(router string) {
	for target, n := range b.peers[router] {
		b.removeEntry(target, n)
	}
	delete(b.peers, router)
}

// Ignored returns how many values of peers were ignored because they were invalid or too many.
func (b *Book) Ignored() int64 { return b.ignored }

// Summaries describes the engines of each service.
func (b *Book) Summaries(now time.Time) map[string]Summary {
	b.Expire(now)
	out := make(map[string]Summary, len(b.services))
	for _, e := range b.engines {
		f := e.factor(b.unitOf(now))
		s, ok := out[e.name]
		if !ok {
			s = Summary{Fastest: f, Slowest: f}
		}
		out[e.name] = Summary{Engines: s.Engines + 1, Fastest: min(s.Fastest, f), Slowest: max(s.Slowest, f)}
	}
	return out
}

// engine returns an engine, which is added if it is new. It returns nil if there are too many engines
// or the engine is known to belong to another service.
func (b *Book) engine(name, target string) *engine {
	if e := b.engines[target]; e != nil {
		if e.name != name {
			return nil
		}
		return e
	}
	if len(b.engines) >= maxEngines {
		return nil
	}
	s := b.services[name]
	if s == nil {
		s = &service{name: name}
		b.services[name] = s
	}
	s.engines++
	e := &engine{service: s}
	b.engines[target] = e
	return e
}

func (e *engine) add(s Sums) {
	e.total = e.total.Plus(s)
	e.service.total = e.service.total.Plus(s)
}

// ratio returns the engine's ratio of actual to expected time, pulled towards that of its service
// as long as there are few observations.
func (e *engine) ratio(unit float64) float64 {
	mean := e.service.total.ratio()
	prior := priorExpected * unit
	return (e.total.Actual + prior*mean) / (e.total.Expected + prior)
}

func (e *engine) factor(unit float64) float64 {
	mean := e.service.total.ratio()
	f := e.ratio(unit) / mean
	if math.IsNaN(f) {
		return 1
	}
	return min(max(f, minFactor), maxFactor)
}

// unitOf returns the weight of an observation made now.
func (b *Book) unitOf(now time.Time) float64 {
	if !now.Equal(b.unitAt) {
		b.unitAt, b.unit = now, math.Exp(now.Sub(b.landmark).Seconds()/decay.Seconds())
	}
	return b.unit
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
