package gateway

import (
	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
)

// refusing counts, among what targets said of themselves, how often one was left alone for a
// moment because it turned one request after another away.
const refusing = "refusing"

// logAdvice logs and counts what targets said of themselves without asking for a rest, and what
// was sent in spite of what they said.
func (g *Gateway) logAdvice(s *balance.State) {
	if paused := s.Backoffs(); paused != g.paused {
		g.Log.Info("targets left alone that turn requests away", "count", paused-g.paused)
		g.Metrics.advice.Add(refusing, paused-g.paused)
		g.paused = paused
	}
	now, before := s.SentAgainstAdvice(), g.against
	if now == before {
		return
	}
	leaving, resting := now.Leaving-before.Leaving, now.BackingOff-before.BackingOff
	g.Log.Info("requests sent against advice", "leaving", leaving, "resting", resting)
	g.Metrics.againstAdvice.Add(string(forward.AdviceLeaving), leaving)
	g.Metrics.againstAdvice.Add(string(forward.AdviceBackoff), resting)
	g.against = now
}
