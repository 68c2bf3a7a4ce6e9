package gateway

import (
	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
)

// refusing is the label, in the metric target_advice, of the times that a target was skipped for
// a moment because it had rejected several requests in a row.
const refusing = "refusing"

// logAdvice logs and counts the backoffs of targets that rejected requests without asking for a
// backoff, and the requests that were sent to targets that were leaving or backing off.
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
