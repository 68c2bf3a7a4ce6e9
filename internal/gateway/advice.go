package gateway

import (
	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
)

// logAdvice logs and counts what was sent in spite of what targets said of themselves.
func (g *Gateway) logAdvice(s *balance.State) {
	now, before := s.AgainstAdvice(), g.against
	if now == before {
		return
	}
	leaving, resting := now.Leaving-before.Leaving, now.Resting-before.Resting
	g.Log.Info("requests sent against advice", "leaving", leaving, "resting", resting)
	g.Metrics.againstAdvice.Add(string(forward.AdviceLeaving), leaving)
	g.Metrics.againstAdvice.Add(string(forward.AdviceRest), resting)
	g.against = now
}
