package gateway

import (
	"context"
	"iter"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/freshness"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/roster"
)

// StoreFailed records that a call to the store about a kind failed.
func (g *Gateway) StoreFailed(kind message.StoreKind) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		g.catalog.MarkUnstable(now)
		reached := g.storeWatch.Reaches(now)
		g.storeWatch.Failed(now, kind)
		if reached {
			g.news.Gossip(now)
		}
	})
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
			g.suspects.PersistAll(now)
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
		reached := g.storeWatch.Reaches(now)
		g.storeWatch.Recovered(kind)
		if !reached && g.storeWatch.Reaches(now) {
			g.news.Gossip(now)
		}
	})
}

// ShouldWatchStore reports whether this router should watch the store: it ranks among the first
// of the running routers, or of those that reach the store. A router that knows no other running
// one ranks first.
func (g *Gateway) ShouldWatchStore(ctx context.Context) bool {
	watches, answered := balance.Call(ctx, g.loop, func(_ *balance.State, now time.Time) bool { return g.storeDuty.ShouldWatch(now) })
	return watches || !answered
}

// StoreDuty returns what this router should read from the store.
func (g *Gateway) StoreDuty(ctx context.Context) freshness.Duty {
	duty, answered := balance.Call(ctx, g.loop, func(_ *balance.State, now time.Time) freshness.Duty { return g.storeDuty.Duty(now) })
	duty.Watch = duty.Watch || !answered
	return duty
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

// dutyFleet implements storeduty.Fleet.
type dutyFleet struct {
	*roster.Roster
	*Gateway
}

// Running implements storeduty.Fleet.
func (f dutyFleet) Running(now time.Time) iter.Seq[message.RouterRecord] {
	return f.runningRouters(now)
}

// Leaving implements storeduty.Fleet.
func (f dutyFleet) Leaving() bool { return f.leaving }

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
