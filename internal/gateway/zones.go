package gateway

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
)

// drainedZones holds the drained availability zones, whose targets get no requests, and the time
// since when this list has been in force.
type drainedZones struct {
	zones []string
	since time.Time
}

// SetZones replaces the drained availability zones with the store's complete list.
func (g *Gateway) SetZones(at int64, list []message.StoredObject) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		changed := g.catalog.SetZones(now, at, list)
		g.targetsChanged(s, now, changed, sourceStore)
		if !changed {
			// The revision may have changed even if the list has not, for instance if it
			// is empty: the other routers need to know that revision.
			g.news.Gossip(now)
		}
	})
}

// ChangeZones applies changes to the store's list of drained availability zones.
func (g *Gateway) ChangeZones(at int64, changes []catalog.Change) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		g.targetsChanged(s, now, g.catalog.ApplyZones(at, changes), sourceStore)
	})
}

// logZones logs the drained availability zones if they have changed. If a drained zone still gets
// requests, operators first look up when each router learned that it was drained.
func (g *Gateway) logZones(now time.Time, from string) {
	drained := g.catalog.DrainedZones()
	if slices.Equal(drained, g.loggedDrained.zones) {
		return
	}
	targets := map[string]int{}
	for _, zone := range drained {
		targets[zone] = 0
	}
	for _, t := range g.catalog.Targets() {
		if t.Drained {
			targets[t.Zone]++
		}
	}
	// A count of 0 shows a zone whose name is unknown, or that has no targets.
	g.Log.Info("zones drained", "targets", targets, "before", g.loggedDrained.zones, "era", revision.Era(g.catalog.Newest().Zones), "revision", revision.Store(g.catalog.Newest().Zones),
		"before_ms", now.Sub(g.loggedDrained.since).Milliseconds(), "from", from)
	g.Metrics.SetZones(drained)
	g.loggedDrained = drainedZones{zones: drained, since: now}
}
