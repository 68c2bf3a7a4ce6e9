// Package fairshare counts what organisations asked for and were served, at this and at other routers,
// and compares that with their max-min fair shares of what engines can serve. Amounts are tokens that
// decay over about a quota window.
package fairshare

import (
	"iter"
	"maps"
	"math"
	"time"

	"github.com/stepcroft/stepcroft/internal/view"
)

// Book has the usage of all organisations. It must be used by one goroutine. Use New to make one.
type Book struct {
	// capacity is the throughput of all engines, in tokens a second; 0 if unknown.
	capacity float64
	window   time.Duration
	usages   map[string]*Usage
	// peers is what other routers reported, servingPeers how many of them serve callers.
	peers        *view.View
	servingPeers int
	level        Level
}

// Usage is an organisation's demand and what it was served at this router.
type Usage struct {
	Demand, Served float64
	// Requests is the number of requests in Demand, and Unread that of requests which were refused
	// before they were read. Both decay alike.
	Requests, Unread float64
	// Early is the tokens of refused requests whose callers return as part of the organisation's
	// share. It decays alike.
	Early float64
	// StartedAt is when a request to a service was last started, by service.
	StartedAt map[string]time.Time

	updatedAt time.Time
	// recent is what was served within about the report period before recentAt.
	recent   float64
	recentAt time.Time
}

// New returns a book without any usage; peers is what other routers report.
func New(window time.Duration, peers *view.View) *Book {
	return &Book{window: window, usages: map[string]*Usage{}, peers: peers}
}

// SetWindow sets the quota window.
func (b *Book) SetWindow(d time.Duration) { b.window = d }

// SetCapacity sets the throughput of all engines, in tokens a second; 0 if it is unknown.
func (b *Book) SetCapacity(perSecond float64) { b.capacity = perSecond }

// Capacity returns what SetCapacity set.
func (b *Book) Capacity() float64 { return b.capacity }

// SetServingPeers sets how many other routers serve callers.
func (b *Book) SetServingPeers(n int) { b.servingPeers = n }

// decayTo decays the counts to now. The time constant is half the window, so that most of the
// weight lies within the window.
func (u *Usage) decayTo(now time.Time, window time.Duration) {
	d := now.Sub(u.updatedAt)
	if d <= 0 {
		return
	}
	f := view.DecayFactor(d, window)
	u.Demand *= f
	u.Served *= f
	u.Requests *= f
	u.Unread *= f
	u.Early *= f
	u.updatedAt = now
}

// Usage returns an organisation's usage at this router as of now.
func (b *Book) Usage(now time.Time, organisation string) *Usage {
	u := b.usages[organisation]
	if u == nil {
		u = &Usage{updatedAt: now}
		b.usages[organisation] = u
	}
	u.decayTo(now, b.window)
	return u
}

// Organisations returns the organisations with usage at this router.
func (b *Book) Organisations() iter.Seq[string] { return maps.Keys(b.usages) }

// Forget removes an organisation's usage at this router. It may be called while Organisations is
// iterated over.
func (b *Book) Forget(organisation string) { delete(b.usages, organisation) }

// AddDemand counts a request of this many tokens.
func (b *Book) AddDemand(now time.Time, organisation string, tokens float64) {
	u := b.Usage(now, organisation)
	u.Demand += tokens
	if tokens > 0 {
		u.Requests++
	}
}

// RecordStart records that a request to a service was started.
func (b *Book) RecordStart(now time.Time, organisation, service string) {
	u := b.Usage(now, organisation)
	if u.StartedAt == nil {
		u.StartedAt = map[string]time.Time{}
	}
	u.StartedAt[service] = now
}

// AddServed counts tokens as served, or takes them back if they are negative.
func (b *Book) AddServed(now time.Time, organisation string, tokens float64) {
	u := b.Usage(now, organisation)
	u.Served = max(u.Served+tokens, 0)
	u.recent, u.recentAt = max(b.recentlyServed(now, u)+tokens, 0), now
}

// recentlyServed returns the tokens served by this router that decay within the time for which other
// routers' reports are old.
func (b *Book) recentlyServed(now time.Time, u *Usage) float64 {
	if u.recent <= 0 {
		return 0
	}
	return u.recent * math.Exp(-now.Sub(u.recentAt).Seconds()/b.peers.Period().Seconds())
}

// Served returns the tokens that an organisation was served by all routers. What others have served
// since their reports is unknown. All routers act on the same reports, so that the others are assumed
// to have served it since then in the same proportion to this router as before. Without that, all let
// an organisation's requests go at the same time, each up to the limit for all.
func (b *Book) Served(now time.Time, organisation string) float64 {
	own, others := b.Usage(now, organisation), b.peers.Usage(now, organisation).Started
	if own.Served <= 0 || others <= 0 {
		return own.Served + others
	}
	return own.Served + others + min(others/own.Served, float64(b.servingPeers))*b.recentlyServed(now, own)
}

// Ratio returns what an organisation was served, relative to its max-min fair share of the engines'
// capacity; 0 if the capacity is unknown.
func (b *Book) Ratio(now time.Time, organisation string) float64 {
	if organisation == "" || b.capacity <= 0 {
		return 0
	}
	return b.Served(now, organisation) / max(b.Level(now).Tokens, 1)
}

// Exceeds reports whether an organisation was served more than its share.
func (b *Book) Exceeds(now time.Time, organisation string) bool {
	return b.Ratio(now, organisation) > 1
}

// ExceedsAttained reports whether an organisation was served more than its share of what the engines
// actually served. While engines are down or slow they serve less than their configured capacity, and
// all organisations may be within their shares of that, however unequally served.
func (b *Book) ExceedsAttained(now time.Time, organisation string) bool {
	if organisation == "" || b.capacity <= 0 {
		return false
	}
	return b.Served(now, organisation) > max(b.Level(now).Attained, 1)
}
