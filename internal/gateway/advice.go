package gateway

import (
	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
)

// logAdvice logs and counts what was sent in spite of what targets said of themselves.
func (g *Gateway) logAdvice(s *balance.State) {
	after := s.AfterLeaving()
	if after == g.afterLeaving {
		return
	}
	g.Log.Info("requests sent to leaving targets", "count", after-g.afterLeaving)
	g.Metrics.againstAdvice.Add(string(forward.AdviceLeaving), after-g.afterLeaving)
	g.afterLeaving = after
}
