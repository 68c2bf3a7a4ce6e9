package gateway

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
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

// copyState is the state of the copy of one kind as logged last.
type copyState struct {
	// oldSince is the time since when it has been too old, zero if it is not.
	oldSince time.Time
}

// logCopies logs which copies have become too old, and which are recent again.
func (g *Gateway) logCopies(now time.Time) {
	for kind := range message.StoreKindCount {
		age, source := g.copies.Age(now, kind)
		logged := &g.loggedCopies[kind]
		old := g.copies.Follows(kind) && age > g.copies.Limit(kind)
		if old == !logged.oldSince.IsZero() {
			continue
		}
		at := g.catalog.Complete().OfKind(kind)
		if old {
			logged.oldSince = now
			g.Log.Info("copy of the store is old", "what", kind.String(), "age_ms", age.Milliseconds(), "confirmed_by", source,
				"era", revision.Era(at), "revision", revision.Store(at), "watches", g.watching)
			continue
		}
		g.Log.Info("copy of the store is recent", "what", kind.String(), "age_ms", age.Milliseconds(), "confirmed_by", source,
			"era", revision.Era(at), "revision", revision.Store(at), "after_ms", now.Sub(logged.oldSince).Milliseconds())
		*logged = copyState{}
	}
}

// logWatch logs whether this router watches the store if that has changed.
func (g *Gateway) logWatch(now time.Time, watches bool) {
	if watches == g.watching {
		return
	}
	g.watching = watches
	what := "watch of the store begins"
	if !watches {
		what = "watch of the store ends"
	}
	age, source := g.copies.Age(now, message.StoreConfig)
	g.Log.Info(what, "rank", g.storeWatch.LastRank().Live, "rank_reaching", g.storeWatch.LastRank().Reaching,
		"reaches_it", g.storeWatch.Reaches(now), "routers", g.storeWatch.LastRank().Running, "config_age_ms", age.Milliseconds(), "confirmed_by", source)
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

// copyMetrics describes the copy of one kind.
type copyMetrics struct {
	Era         int64  `json:"era"`
	Revision    int64  `json:"revision"`
	AgeMS       int64  `json:"age_ms"`
	ConfirmedBy string `json:"confirmed_by"`
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
	out, _ := balance.Call(g.group.Context(), g.loop, func(_ *balance.State, now time.Time) map[string]copyMetrics {
		out := map[string]copyMetrics{}
		for kind := range message.StoreKindCount {
			if !g.copies.Follows(kind) {
				continue
			}
			age, source := g.copies.Age(now, kind)
			at := g.catalog.Complete().OfKind(kind)
			out[kind.String()] = copyMetrics{Era: revision.Era(at), Revision: revision.Store(at), AgeMS: age.Milliseconds(), ConfirmedBy: source}
		}
		return out
	})
	return out
}
