package gateway

import (
	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
)

// adviceRefusing is the label in the metric target_advice that counts how often a target was
// skipped for a moment because it had rejected several requests in a row.
const adviceRefusing = "refusing"

// logAdvice logs and counts the backoffs of targets that rejected requests without asking for a
// backoff, and the requests that were sent to targets that were leaving or backing off.
func (g *Gateway) logAdvice(s *balance.State) {
	if backoffs := s.Backoffs(); backoffs != g.loggedBackoffs {
		g.Log.Info("targets left alone that turn requests away", "count", backoffs-g.loggedBackoffs)
		g.Metrics.CountAdviceBy(adviceRefusing, backoffs-g.loggedBackoffs)
		g.loggedBackoffs = backoffs
	}
	now, before := s.SentAgainstAdvice(), g.loggedAgainstAdvice
	if now == before {
		return
	}
	leaving, backingOff := now.Leaving-before.Leaving, now.BackingOff-before.BackingOff
	g.Log.Info("requests sent against advice", "leaving", leaving, "resting", backingOff)
	g.Metrics.CountAgainstAdvice(forward.AdviceLeaving, leaving)
	g.Metrics.CountAgainstAdvice(forward.AdviceBackoff, backingOff)
	g.loggedAgainstAdvice = now
}
