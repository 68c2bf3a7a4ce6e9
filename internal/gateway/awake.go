package gateway

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
)

const (
	// confirmFrom is the suspension from which what the store held before is confirmed
	// before requests are served by it: a second is half of the shortest time in which
	// configurations and keys are to be in force everywhere.
	confirmFrom = time.Second
	// confirmMost is for how long that is waited for: routers answer a ping within 0.3 s,
	// and who hears nobody serves by what it has, as a router that is cut off does.
	confirmMost = time.Second
)

// awake treats the router as one that was cut off: all that it believes is older by what the
// box was suspended, connections may be gone, and keys may be taken away.
func (g *Gateway) awake(_ *balance.State, now time.Time, missed time.Duration) {
	g.Log.Info("box was suspended", "missed_ms", missed.Milliseconds(), "open", g.server.OpenRequests())
	g.Metrics.suspended(missed)
	g.roster.Resume(now)
	g.cold.Join(now)
	g.transport.Close()
	if missed >= confirmFrom {
		g.unconfirmed = now
		g.server.Pause(true)
	}
	g.spread(now)
}

// confirm notes that another router answered and has nothing newer of the store, or that
// this has been waited for long enough.
func (g *Gateway) confirm(now time.Time, by string) {
	if g.unconfirmed.IsZero() {
		return
	}
	g.Log.Info("configuration confirmed", "by", by, "era", revision.Era(g.catalog.ConfigRevision()), "revision", revision.Store(g.catalog.ConfigRevision()), "after_ms", now.Sub(g.unconfirmed).Milliseconds())
	g.unconfirmed = time.Time{}
	g.server.Pause(false)
}

// confirmedBy takes an answer to a ping for a confirmation if it tells of nothing newer.
func (g *Gateway) confirmedBy(now time.Time, m message.Ping) {
	if m.Kind == message.PingReply && !m.NewerThan(g.catalog.Complete()) {
		g.confirm(now, string(m.From.ID))
	}
}

// stopWaiting ends waiting for a confirmation after a time.
func (g *Gateway) stopWaiting(now time.Time) {
	if now.Sub(g.unconfirmed) >= confirmMost {
		g.confirm(now, "nobody")
	}
}
