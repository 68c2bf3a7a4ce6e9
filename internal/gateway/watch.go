package gateway

import (
	"context"
	"iter"
	"math/rand/v2"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/freshness"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
)

const (
	// WatcherCount is the number of routers that watch the store, of those that reach it. Calls to
	// the store are billed, and the other routers get updates from the watchers within
	// milliseconds. With three, updates are late only if all of them fail at once.
	WatcherCount = 3
	// maxSettleDelay is how long a router that has just started waits for the store's contents
	// from other routers before it calls the store. If all routers have just started, none can
	// supply them. Therefore one that lacks the configuration or the targets waits for a random
	// time from minSettleDelay to maxSettleDelay, so that one of them calls the store soon and
	// updates the others.
	maxSettleDelay = 300 * time.Millisecond
	minSettleDelay = 20 * time.Millisecond
	// startupWatchers is the approximate number of routers that call the store regardless of
	// their rank if all have just started, since those that rank first may start last. With
	// them, callers are served again 0.5 s after all of 33 routers were killed and 2.0 s after
	// all of 101 were; without them, after 1.0 s and 2.5 s (one day at each size, sampled every
	// 0.5 s).
	startupWatchers = 6
	// rankTTLPerRouter times the number of routers is how long a router's rank for watching the
	// store is used before it is computed again, so that the work per second does not grow with
	// the fleet. It is 0.15 s with 1,000 routers.
	rankTTLPerRouter = 150 * time.Microsecond
	// storeFailureTTL is how long a failed call counts. It is longer than the time between two calls
	// of a router that cannot reach the store.
	storeFailureTTL = 5 * time.Second
)

// randomSettleDelay returns a random delay after which a router without a copy of the store's
// contents may call the store.
func randomSettleDelay() time.Duration { return minSettleDelay + rand.N(maxSettleDelay-minSettleDelay) }

// StoreFailed records that a call to the store about a kind failed.
func (g *Gateway) StoreFailed(kind message.StoreKind) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		g.catalog.MarkUnstable(now)
		reached := g.reachesStore(now)
		g.storeFailedAt[kind] = now
		if reached {
			g.gossip(now)
		}
	})
}

// reachesStore reports whether no kind of calls to the store has failed lately.
func (g *Gateway) reachesStore(now time.Time) bool {
	for _, at := range g.storeFailedAt {
		if !at.IsZero() && now.Sub(at) < storeFailureTTL {
			return false
		}
	}
	return true
}

// StoreUnstable records that the store answers, but that its list of targets may be incomplete.
func (g *Gateway) StoreUnstable() {
	g.loop.Post(func(_ *balance.State, now time.Time) { g.catalog.MarkUnstable(now) })
}

// StoreCameBackOlder records that the store came back from an older copy, in a new era. Entries
// that are missing there may be written again soon by their owners. The requests that are held
// back are owned by the routers, so this method has them written again.
func (g *Gateway) StoreCameBackOlder(era int64) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		g.catalog.MarkUnstable(now)
		if era > g.persistedEra {
			g.persistedEra = era
			g.persist(g.quarantine.state.All(now))
		}
	})
}

// StoreRevision returns the store's revision of this router's list of targets.
func (g *Gateway) StoreRevision(ctx context.Context) int64 {
	known, _ := balance.Call(ctx, g.loop, func(*balance.State, time.Time) int64 { return g.catalog.TargetsRevision() })
	return known
}

// StoreRecovered records that calls to the store about a kind succeed again.
func (g *Gateway) StoreRecovered(kind message.StoreKind) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		reached := g.reachesStore(now)
		g.storeFailedAt[kind] = time.Time{}
		if !reached && g.reachesStore(now) {
			g.gossip(now)
		}
	})
}

// ShouldWatchStore reports whether this router should watch the store: it ranks among the first
// of the running routers, or of those that reach the store. A router that knows no other running
// one ranks first.
func (g *Gateway) ShouldWatchStore(ctx context.Context) bool {
	watches, answered := balance.Call(ctx, g.loop, func(_ *balance.State, now time.Time) bool { return g.shouldWatchStore(now) })
	return watches || !answered
}

// shouldWatchStore is ShouldWatchStore for the control goroutine.
func (g *Gateway) shouldWatchStore(now time.Time) bool {
	wait := maxSettleDelay
	uninformed := g.catalog.Table() == nil || g.catalog.TargetsRevision() == 0
	if uninformed {
		wait = g.settleDelay
	}
	if now.Sub(g.started) < wait {
		return false
	}
	rank := g.currentStoreRank(now)
	startup := uninformed && g.startupDraw*float64(rank.running) < startupWatchers
	reaches := g.reachesStore(now) && !g.leaving
	return startup || reaches && rank.topReaching() || !g.leaving && rank.topLive()
}

// currentStoreRank returns this router's rank, which it computes again if it is too old.
func (g *Gateway) currentStoreRank(now time.Time) storeRank {
	if now.Sub(g.storeRank.at) >= rankTTLPerRouter*time.Duration(g.storeRank.running) {
		g.storeRank = g.rankForStore(now)
	}
	return g.storeRank
}

// StoreDuty returns what this router should read from the store.
func (g *Gateway) StoreDuty(ctx context.Context) freshness.Duty {
	duty, answered := balance.Call(ctx, g.loop, func(_ *balance.State, now time.Time) freshness.Duty { return g.storeDuty(now) })
	duty.Watch = duty.Watch || !answered
	return duty
}

// storeDuty is StoreDuty for the control goroutine.
func (g *Gateway) storeDuty(now time.Time) freshness.Duty {
	duty := freshness.Duty{Watch: g.shouldWatchStore(now), Phase: g.storeRank.phase(), Few: g.storeRank.running < WatcherCount}
	if g.catalog.Table() == nil {
		return duty
	}
	for kind := range message.StoreKindCount {
		due, ok := g.copyReadDue(now, kind, duty.Watch)
		duty.Read[kind] = ok && !now.Before(due)
	}
	return duty
}

// copyReadDue returns when this router should read a kind from the store unless its copy is confirmed
// before, or false if it never should.
func (g *Gateway) copyReadDue(now time.Time, kind message.StoreKind, watches bool) (time.Time, bool) {
	return g.copies.ReadDue(kind, g.catalog.Complete(), freshness.Position{
		Rank: g.currentStoreRank(now).zone, LastHeard: g.roster.LastHeard(), Watches: watches,
	})
}

// storeRank tells whether this router ranks among the first WatcherCount candidates for watching
// the store.
type storeRank struct {
	at time.Time
	// running is the number of running routers, this one included.
	running int
	// live is the number of them that come before this router, reaching the same of those that reach
	// the store, and zone that of those in this router's availability zone.
	live, reaching, zone int
	// near is the number of other running routers in this router's availability zone.
	near int
}

func (r storeRank) topLive() bool { return r.live < WatcherCount }

func (r storeRank) topReaching() bool { return r.reaching < WatcherCount }

// phase returns the phase of this router's watches, which differs among the first.
func (r storeRank) phase() float64 {
	return float64(r.reaching%WatcherCount+1) / WatcherCount
}

// rankForStore ranks this router among the running ones. Its cost follows their number.
func (g *Gateway) rankForStore(now time.Time) storeRank {
	live, reaching := g.newStoreRank(), g.newStoreRank()
	rank := storeRank{at: now}
	for r := range g.runningRouters(now) {
		rank.running++
		if r.Zone == g.self.Zone && r.ID != g.self.ID {
			rank.near++
		}
		live.Add(r.ID, r.Zone)
		if !r.StoreFailing {
			reaching.Add(r.ID, r.Zone)
		}
	}
	rank.live, rank.reaching, rank.zone = live.Rank(), reaching.Rank(), live.ZoneRank()
	return rank
}

// newStoreRank returns a counter for this router's rank among the candidates for watching the
// store, to which the other candidates are still to be added.
func (g *Gateway) newStoreRank() *member.RankCounter {
	return member.NewRankCounter("store", g.self.ID, g.self.Zone)
}

// OthersReachStore reports whether, as far as known, another running router reaches the store, so
// that the fleet does not depend on this one.
func (g *Gateway) OthersReachStore(ctx context.Context) bool {
	found, _ := balance.Call(ctx, g.loop, func(_ *balance.State, now time.Time) bool {
		found := false
		for r := range g.runningRouters(now) {
			found = found || r.ID != g.self.ID && !r.StoreFailing
		}
		return found
	})
	return found
}

// runningRouters returns the routers that are running and not leaving, this one included. A
// suspected router is left out, so that the next in rank replaces it at once. Waiting until it is
// certainly gone would take 1.5 s more of the two seconds in which a configuration has to be in
// force.
func (g *Gateway) runningRouters(now time.Time) iter.Seq[message.RouterRecord] {
	return func(yield func(message.RouterRecord) bool) {
		for r := range g.roster.Each(now) {
			if r.State == message.Alive && !yield(r) {
				return
			}
		}
	}
}
