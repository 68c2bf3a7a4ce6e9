package gateway

import (
	"maps"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/returns"
)

// waitLogInterval is the least time between two log lines about refused requests.
const waitLogInterval = time.Second

// waitCounts counts the requests that were refused without a wait, by reason, and the returns that
// were booked for refused callers. usageIgnored counts invalid usages in other routers' reports.
type waitCounts struct {
	refused map[string]int64
	returns returns.Counts

	usageIgnored int64
}

// loggedWaits are the counts that were logged last.
type loggedWaits struct {
	waitCounts
	at time.Time
}

func (c waitCounts) equal(o waitCounts) bool {
	return c.returns == o.returns && c.usageIgnored == o.usageIgnored && maps.Equal(c.refused, o.refused)
}

// logWaits publishes these counts, and logs what has been added, at most once a second.
func (g *Gateway) logWaits(s *balance.State, now time.Time) {
	c := waitCounts{refused: map[string]int64{}, returns: s.ReturnCounts(), usageIgnored: s.InvalidUsage()}
	s.RefusedByForecast(func(why balance.Reason, n int64) { c.refused[string(why)] = n })
	g.Metrics.setWaits(c)
	last := g.loggedWaits
	if now.Sub(last.at) < waitLogInterval || c.equal(last.waitCounts) {
		return
	}
	added := map[string]int64{}
	for why, n := range c.refused {
		if n > last.refused[why] {
			added[why] = n - last.refused[why]
		}
	}
	g.Log.Info("refused callers", "without_wait", added, "booked", c.returns.Booked-last.returns.Booked,
		"full", c.returns.Full-last.returns.Full, "ignored", c.returns.Ignored-last.returns.Ignored, "usage_ignored", c.usageIgnored-last.usageIgnored)
	g.loggedWaits = loggedWaits{c, now}
}
