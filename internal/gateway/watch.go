package gateway

import (
	"context"
	"iter"
	"math/rand/v2"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
)

const (
	// watchers is the number of routers that watch the store, among those that
	// reach it: calls are paid for, and the others hear from these within
	// milliseconds. With three, news is late only if all of them fail at once.
	watchers = 3
	// settleTime is for how long a router that has just started waits to hear
	// from others what the store holds before it asks the store. Where all have
	// just started nobody can tell: one that knows neither the configuration nor
	// the targets waits for a part of it that is its own, from settleLeast on, so
	// that one of them asks soon and tells the others.
	settleTime  = 300 * time.Millisecond
	settleLeast = 20 * time.Millisecond
	// firstAskers is how many routers about ask the store whatever their rank where
	// all have just started: those that rank first may start last. With them callers
	// are served 0.5 and 2.0 s after 33 and 101 routers were all killed, without
	// 1.0 and 2.5 s (one day at each size, looked at in steps of 0.5 s).
	firstAskers = 6
)

// settles returns for how long a router waits that nobody has told what the
// store holds.
func settles() time.Duration { return settleLeast + rand.N(settleTime-settleLeast) }

// StoreTrouble notes that a call to the store failed.
func (g *Gateway) StoreTrouble() {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		g.catalog.MarkUnstable(now)
		if g.trouble.IsZero() {
			g.trouble = now
			g.spread(now)
		}
	})
}

// StoreUnstable notes that the store answers, but may list too few targets.
func (g *Gateway) StoreUnstable() {
	g.loop.Post(func(_ *balance.State, now time.Time) { g.catalog.MarkUnstable(now) })
}

// StoreCameBackOlder notes that the store came back from an older copy, in a new era. What is
// missing there may be written again soon. Requests that are held back are this project's own,
// and nobody else writes them again.
func (g *Gateway) StoreCameBackOlder(era int64) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		g.catalog.MarkUnstable(now)
		if era > g.era {
			g.era = era
			g.keep(g.isolation.exchange.All(now))
		}
	})
}

// StoreRevision returns the store's revision as of which the targets are known here.
func (g *Gateway) StoreRevision(ctx context.Context) int64 {
	known := int64(0)
	if !g.loop.PostAndWait(ctx, func(*balance.State, time.Time) { known = g.catalog.TargetsRevision() }) {
		return 0
	}
	return known
}

// StoreWorks notes that calls to the store work.
func (g *Gateway) StoreWorks() {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		if !g.trouble.IsZero() {
			g.trouble = time.Time{}
			g.spread(now)
		}
	})
}

// Watches reports whether this router should watch the store: it ranks among
// the first of those that it hears, or of those that reach the store. One that
// hears no other ranks first.
func (g *Gateway) Watches(ctx context.Context) bool {
	watches := true
	g.loop.PostAndWait(ctx, func(_ *balance.State, now time.Time) {
		wait := settleTime
		ignorant := g.catalog.Table() == nil || g.catalog.TargetsRevision() == 0
		if ignorant {
			wait = g.settle
		}
		if now.Sub(g.started) < wait {
			watches = false
			return
		}
		live, reaching := g.standing(), g.standing()
		running := 0
		for r := range g.running(now) {
			running++
			live.Add(r.ID, r.Zone)
			if !r.StoreFailing {
				reaching.Add(r.ID, r.Zone)
			}
		}
		first := ignorant && g.lot*float64(running) < firstAskers
		reaches := g.trouble.IsZero() && !g.leaving
		watches = first || reaches && reaching.InTop(watchers) || !g.leaving && live.InTop(watchers)
	})
	return watches
}

// standing returns this router's standing among none yet of those that are to watch
// the store.
func (g *Gateway) standing() *member.RankCounter {
	return member.NewRankCounter("store", g.known.ID, g.known.Zone)
}

// OthersWatch reports whether other routers reach the store, as far as known, so
// that nothing depends on this one.
func (g *Gateway) OthersWatch(ctx context.Context) bool {
	watch := false
	g.loop.PostAndWait(ctx, func(_ *balance.State, now time.Time) {
		for r := range g.running(now) {
			watch = watch || r.ID != g.known.ID && !r.StoreFailing
		}
	})
	return watch
}

// running returns the routers that are running and not leaving, this one included.
// One that is suspected may be gone: the next in rank takes its place at once, and
// not when that is certain, which takes 1.5 s more of the two in which a
// configuration is to be in force.
func (g *Gateway) running(now time.Time) iter.Seq[message.RouterRecord] {
	return func(yield func(message.RouterRecord) bool) {
		for r := range g.roster.Each(now) {
			if r.State == message.Alive && !yield(r) {
				return
			}
		}
	}
}
