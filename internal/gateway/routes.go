package gateway

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// storedRoutes is what the store held of routes as this router started, or what it knew of them itself before it may have
// missed some, until the configurations since are known.
type storedRoutes struct {
	uses     []routehistory.Use
	limits   routehistory.Limits
	configAt int64
	// wanted is set if the configurations since are to be read, and readAt is when they may be read again.
	wanted bool
	readAt time.Time
}

// setRoutes notes the routes of a configuration that has come into force. Other routers are told of the running streams
// that their routes no longer lead to.
func (g *Gateway) setRoutes(s *balance.State, now time.Time, t *routing.Table) {
	g.streamStore.changed, g.streamStore.changedAt = true, now
	g.tickEarlier(now)
	if g.routes.Set(now, t) {
		s.RoutesChanged()
		g.Log.Info("routes lead to other services", "version", t.Version(), "streams_shared", g.shareStreams(s, now))
	}
	g.restoreRoutes(now)
}

// noteMissedConfigs makes the configurations since the one in force be read, before another one replaces it, if that was
// too old: this router's process may have stood still, or been cut off, while others came and went.
func (g *Gateway) noteMissedConfigs(now time.Time, config int64) {
	age, _ := g.copies.Age(now, message.StoreConfig)
	if g.StreamStore == nil || config == 0 || !g.copies.Follows(message.StoreConfig) || age <= g.copies.Limit(message.StoreConfig) {
		return
	}
	if g.routes.Known(now) {
		g.streamStore.routes = &storedRoutes{uses: g.routes.Uses(now), limits: g.routes.Limits(now), configAt: config}
	}
	g.routes.Forget(now, age)
}

// restoreRoutes completes the history of routes once what was stored and a configuration are known. If that is newer than
// what was stored, the configurations in between are read first.
func (g *Gateway) restoreRoutes(now time.Time) {
	stored := g.streamStore.routes
	at := g.catalog.Complete().Config
	switch {
	case stored == nil || at == 0 && stored.configAt != streamversion.NoStreams:
	case at <= stored.configAt:
		g.endRestoreRoutes(now, nil)
	case g.routes.Known(now):
		g.streamStore.routes = nil
	case stored.wanted && !now.Before(stored.readAt):
		stored.readAt = now.Add(historyInterval)
		g.StreamStore.ReadConfigs(stored.configAt)
	}
}

// endRestoreRoutes restores the history of routes with the configurations that have followed what was stored.
func (g *Gateway) endRestoreRoutes(now time.Time, later []*routing.Table) {
	stored := g.streamStore.routes
	g.streamStore.routes = nil
	if stored.configAt != streamversion.NoStreams {
		g.routes.RestoreLimits(now, stored.limits, later)
	}
	g.routes.Restore(now, stored.uses, later)
	g.Log.Info("routes restored", "uses", len(stored.uses), "configurations", len(later))
	g.endPastRead()
}

// ConfigsRead records the configurations that have come into force since one of a revision; known is false if the store does
// not have them all any more.
func (g *Gateway) ConfigsRead(since int64, later []*routing.Table, known bool) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		switch {
		case g.streamStore.routes == nil || g.streamStore.routes.configAt != since:
			// It answers an earlier read.
		case known:
			g.endRestoreRoutes(now, later)
		default:
			g.streamStore.routes = nil
			g.endPastRead()
		}
	})
}

// endPastRead lets the take-ups go on that wait for a part of the store's history.
func (g *Gateway) endPastRead() {
	p := &g.streamStore
	if p.pastRead != nil {
		close(p.pastRead)
		p.pastRead = nil
	}
}

// routesToStore returns what is to be stored of routes, and the revision of the configuration that they are of; 0 if they
// are not all known.
func (g *Gateway) routesToStore(now time.Time) ([]routehistory.Use, int64) {
	if !g.routes.Known(now) {
		return nil, 0
	}
	return g.routes.Uses(now), g.catalog.Complete().Config
}
