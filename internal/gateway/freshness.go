package gateway

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/storeduty"
)

// StoreConfirmed records that the store held nothing newer at a time than what this router has read
// from it. Call it after what was read has been passed on.
func (g *Gateway) StoreConfirmed(kind message.StoreKind, at time.Time) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		g.copies.ConfirmByStore(at, kind, sourceStore, g.catalog.Complete())
		g.news.Confirmed(now, 1, sourceStore)
		g.tickEarlier(now)
	})
}

// configInForce is what delivered the configuration in force, and when.
type configInForce struct {
	from  string
	since time.Time
}

// duration returns how long the configuration has been in force, 0 if there is none.
func (c configInForce) duration(now time.Time) time.Duration {
	if c.since.IsZero() {
		return 0
	}
	return now.Sub(c.since)
}

// configMetrics describes the configuration in force.
type configMetrics struct {
	Version   int64  `json:"version"`
	From      string `json:"from"`
	InForceMS int64  `json:"in_force_ms"`
}

// configStats returns the metrics of the configuration in force, nil before the first one.
func (g *Gateway) configStats() any {
	out, _ := balance.Call(g.group.Context(), g.loop, func(_ *balance.State, now time.Time) *configMetrics {
		t := g.catalog.Table()
		if t == nil {
			return nil
		}
		return &configMetrics{Version: t.Version(), From: g.inForce.from, InForceMS: now.Sub(g.inForce.since).Milliseconds()}
	})
	return out
}

// copyStats returns the metrics of the copies of all kinds that the router follows.
func (g *Gateway) copyStats() any {
	out, _ := balance.Call(g.group.Context(), g.loop, func(_ *balance.State, now time.Time) map[string]storeduty.Metrics { return g.storeDuty.Metrics(now) })
	return out
}
