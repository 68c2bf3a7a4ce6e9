package gateway

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/enginespeed"
)

const (
	// speedsInterval is the interval at which the speeds of engines are published, and
	// speedsLogInterval the least interval between two log lines about them.
	speedsInterval    = time.Second
	speedsLogInterval = 30 * time.Second
	// loggedSpread is the ratio of the slowest to the fastest engine of a service from which on it
	// is logged that they differ. Below it, the factors of equal engines differ by chance.
	loggedSpread = 1.5
)

// speedsPublisher publishes the speeds of engines. The zero value has published none.
type speedsPublisher struct{ due, logDue time.Time }

// publishSpeeds makes the speeds of engines available to the metrics.
func (g *Gateway) publishSpeeds(s *balance.State, now time.Time) {
	if now.Before(g.speeds.due) {
		return
	}
	g.speeds.due = now.Add(speedsInterval)
	all := s.EngineSpeeds(now)
	g.Metrics.SetSpeeds(all, s.IgnoredSpeeds())
	if now.Before(g.speeds.logDue) {
		return
	}
	differing := map[string]enginespeed.Summary{}
	for service, v := range all {
		if v.Slowest > v.Fastest*loggedSpread {
			differing[service] = v
		}
	}
	if len(differing) > 0 {
		g.speeds.logDue = now.Add(speedsLogInterval)
		g.Log.Info("engines differ in speed", "services", differing)
	}
}
