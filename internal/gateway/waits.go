package gateway

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
)

// waitLogInterval is the least time between two log lines about refused requests.
const waitLogInterval = time.Second

// loggedWaits are the counts that were logged last.
type loggedWaits struct {
	counters.Waits
	at time.Time
}

// logWaits publishes these counts, and logs what has been added, at most once a second.
func (g *Gateway) logWaits(s *balance.State, now time.Time) {
	c := counters.Waits{Refused: map[string]int64{}, Returns: s.ReturnCounts(), UsageIgnored: s.InvalidUsage()}
	s.RefusedByForecast(func(why balance.Reason, n int64) { c.Refused[string(why)] = n })
	g.Metrics.SetWaits(c)
	last := g.loggedWaits
	if now.Sub(last.at) < waitLogInterval || c.Equal(last.Waits) {
		return
	}
	added := map[string]int64{}
	for why, n := range c.Refused {
		if n > last.Refused[why] {
			added[why] = n - last.Refused[why]
		}
	}
	g.Log.Info("refused callers", "without_wait", added, "booked", c.Returns.Booked-last.Returns.Booked,
		"full", c.Returns.Full-last.Returns.Full, "ignored", c.Returns.Ignored-last.Returns.Ignored, "usage_ignored", c.UsageIgnored-last.UsageIgnored)
	g.loggedWaits = loggedWaits{c, now}
}
