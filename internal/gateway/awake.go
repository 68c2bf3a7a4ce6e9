package gateway

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
)

const (
	// minConfirmSuspension is the shortest suspension of the box after which the router confirms
	// its copy of the store before it serves requests: half of the shortest time, two seconds, in
	// which configurations and keys have to be in force everywhere.
	minConfirmSuspension = time.Second
	// confirmTimeout is the timeout for that confirmation. Routers answer a ping within 0.3 s; a
	// router that gets no answer serves from the copy it has, as one that is partitioned does.
	confirmTimeout = time.Second
)

// resume treats this router as one that was partitioned for the time that the box was suspended:
// its view of the fleet is older by that time, connections may be broken, and API keys may have
// been revoked.
func (g *Gateway) resume(_ *balance.State, now time.Time, missed time.Duration) {
	g.Log.Info("box was suspended", "missed_ms", missed.Milliseconds(), "open", g.server.OpenRequests())
	g.Metrics.RecordSuspension(missed)
	g.roster.Resume(now)
	g.coldSenders.Join(now)
	g.streams.Resume(now)
	g.transport.CloseUnused()
	if missed >= minConfirmSuspension {
		g.unconfirmedSince = now
		g.server.Pause(true)
	}
	g.news.Gossip(now)
}

// confirm ends the wait for a confirmation, if there is one, and serves requests again.
func (g *Gateway) confirm(now time.Time, by string) {
	if g.unconfirmedSince.IsZero() {
		return
	}
	g.Log.Info("configuration confirmed", "by", by, "era", revision.Era(g.catalog.ConfigRevision()), "revision", revision.Store(g.catalog.ConfigRevision()), "after_ms", now.Sub(g.unconfirmedSince).Milliseconds())
	g.unconfirmedSince = time.Time{}
	g.server.Pause(false)
}

// confirmByReply takes a reply to a ping as confirmation unless its sender has newer revisions of
// the store, or sent it before the box was suspended.
func (g *Gateway) confirmByReply(now time.Time, m message.Ping) {
	if g.roster.AnswersLately(m) && !m.NewerThan(g.catalog.Complete()) {
		g.confirm(now, string(m.From.ID))
	}
}

// expireConfirmation ends the wait for a confirmation after confirmTimeout.
func (g *Gateway) expireConfirmation(now time.Time) {
	if now.Sub(g.unconfirmedSince) >= confirmTimeout {
		g.confirm(now, "nobody")
	}
}
