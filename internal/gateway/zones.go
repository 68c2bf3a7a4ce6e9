package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
)

// drainedZones are availability zones to whose targets nothing is sent, and since when.
type drainedZones struct {
	zones []string
	since time.Time
}

// coldTargets is how many targets are cold, by service, and how often one was passed over
// for that since the start.
type coldTargets struct {
	count map[string]int
	held  int64
}

// SetZones takes over the store's whole list of drained availability zones.
func (g *Gateway) SetZones(at int64, list []message.StoredObject) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		changed := g.catalog.SetZones(now, at, list)
		g.targetsChanged(s, now, changed, fromStore)
		if !changed {
			// That there is nothing to know is to be told, too.
			g.spread(now)
		}
	})
}

// ChangeZones takes over changes to the store's list of drained availability zones.
func (g *Gateway) ChangeZones(at int64, changes []catalog.Change) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		g.targetsChanged(s, now, g.catalog.ApplyZones(at, changes), fromStore)
	})
}

// logZones logs which availability zones are drained if that has changed, since a complaint
// that a zone still gets requests begins with when this router knew.
func (g *Gateway) logZones(now time.Time, list []balance.Target, from string) {
	drained := g.catalog.DrainedZones()
	if slices.Equal(drained, g.drained.zones) {
		return
	}
	targets := map[string]int{}
	for _, zone := range drained {
		targets[zone] = 0
	}
	for _, t := range list {
		if t.Drained {
			targets[t.Zone]++
		}
	}
	// A zone without targets is one that nobody knows, or that has none.
	g.Log.Info("zones drained", "targets", targets, "before", g.drained.zones, "era", revision.Era(g.catalog.Newest().Zones), "revision", revision.Store(g.catalog.Newest().Zones),
		"before_ms", now.Sub(g.drained.since).Milliseconds(), "from", from)
	g.Metrics.setZones(drained)
	g.drained = drainedZones{zones: drained, since: now}
}

// logCold logs how many targets are cold if that has changed.
func (g *Gateway) logCold(s *balance.State, now time.Time) {
	count, held := s.ColdTargets(now)
	if held != g.coldNow.held {
		g.Metrics.coldHeld.Set(held)
	}
	if !maps.Equal(count, g.coldNow.count) {
		g.Log.Info("targets cold", "count", count, "before", g.coldNow.count, "passed_over", held-g.coldNow.held)
		g.Metrics.setCold(count)
		g.coldNow = coldTargets{count: count, held: held}
	}
}
