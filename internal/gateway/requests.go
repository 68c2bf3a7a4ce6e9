package gateway

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

// changeWindow is how long after a change of the configuration the ends of requests are counted as near it: longer
// than it takes to reach all routers.
const changeWindow = 3 * time.Second

// requestSums returns the account of callers' requests.
func (g *Gateway) requestSums() lifecycle.Sums { return g.requests.Sums(clock.Now()) }

// logRequestSums logs the account of callers' requests, and what is wrong with it.
func (g *Gateway) logRequestSums() {
	sums := g.requestSums()
	g.Log.Info("requests accounted", "read", sums.Read, "open", sums.Open, "ends", sums.Ends, "near_change", sums.NearChange, "ended_twice", sums.EndedTwice)
	if err := sums.Check(); err != nil {
		g.Log.Error(err, "account of requests is wrong")
	}
}
