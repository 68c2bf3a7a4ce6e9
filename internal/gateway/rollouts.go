package gateway

import (
	"maps"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
	"github.com/stepcroft/stepcroft/internal/rollout"
)

// RolloutStore holds the operators' orders to move services to other versions, and how far that
// has got.
type RolloutStore interface {
	// Decode decodes an object of the store.
	Decode(o message.StoredObject) (rollout.Order, error)
	// Record writes a decision. It does not block, and returns false if too many writes are
	// pending.
	Record(d rollout.Decision) bool
}

// SetRollouts replaces the roll-outs with the store's complete list.
func (g *Gateway) SetRollouts(at int64, list []message.StoredObject) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		g.rolloutsChanged(now, g.catalog.SetRollouts(at, list), sourceStore)
		// The revision may have changed even if the list has not.
		g.news.Gossip(now)
	})
}

// ChangeRollouts applies changes to the store's list of roll-outs.
func (g *Gateway) ChangeRollouts(at int64, changes []catalog.Change) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		if g.rolloutsChanged(now, g.catalog.ApplyRollouts(at, changes), sourceStore) {
			g.news.Gossip(now)
		}
	})
}

// rolloutsChanged puts the catalog's roll-outs in force if they have changed, and returns whether
// they have.
func (g *Gateway) rolloutsChanged(now time.Time, changed bool, from string) bool {
	if !changed || g.RolloutStore == nil {
		return changed
	}
	var orders []rollout.Order
	for _, o := range g.catalog.Rollouts() {
		order, err := g.RolloutStore.Decode(o)
		if err != nil {
			g.Log.Info("roll-out ignored", "name", o.Name[:min(len(o.Name), maxLoggedName)], "revision", revision.Store(o.Revision), "cause", err.Error(), "from", from)
			g.Metrics.CountIgnored("rollout", 1)
			continue
		}
		orders = append(orders, order)
	}
	g.rollouts.SetOrders(now, orders)
	g.logRollouts(from)
	return true
}

// maxLoggedName bounds the length of an object's name in a log line.
const maxLoggedName = 80

// logRollouts logs the states of roll-outs if they have changed.
func (g *Gateway) logRollouts(from string) {
	phases := g.rollouts.Phases()
	if maps.Equal(phases, g.loggedRollouts) {
		return
	}
	g.Log.Info("roll-outs known", "states", phases, "before", g.loggedRollouts, "results", g.rollouts.Results(), "from", from)
	g.loggedRollouts = phases
	g.Metrics.SetRollouts(phases)
}

// decideRollouts records the states that roll-outs have come to.
func (g *Gateway) decideRollouts(now time.Time) {
	if !g.rollouts.Active() || g.RolloutStore == nil {
		return
	}
	for _, d := range g.rollouts.Decide(now) {
		queued := g.RolloutStore.Record(d)
		g.Log.Info("roll-out decided", "service", d.Service, "version", d.Version, "state", string(d.State), "recorded", queued, "results", g.rollouts.Results())
	}
	g.logRollouts(g.ID)
}
