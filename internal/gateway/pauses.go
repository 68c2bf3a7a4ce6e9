package gateway

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
)

// pausesPeriod is the least interval between two log lines about bounded pauses.
const pausesPeriod = time.Second

// loggedPauses holds the counts of bounded pauses as logged last.
type loggedPauses struct {
	at                    time.Time
	bounded, cannotFinish int64
}

// logPauses logs how many requests were kept from engines for the streams running there, and how many
// were refused since they could not end in time, with the last of these.
func (g *Gateway) logPauses(s *balance.State, now time.Time) {
	bounded, cannotFinish := g.loop.PauseCounts()
	before := g.loggedPauses
	if bounded == before.bounded && cannotFinish == before.cannotFinish || now.Sub(before.at) < pausesPeriod {
		return
	}
	g.loggedPauses = loggedPauses{at: now, bounded: bounded, cannotFinish: cannotFinish}
	log := g.Log
	if cannotFinish > before.cannotFinish {
		last := s.LastUnfinishable()
		log = log.WithValues("service", last.Service, "expected_ms", last.Expected.Milliseconds(), "left_ms", last.Left.Milliseconds())
	}
	log.Info("streams bounded", "bounded", bounded-before.bounded, "cannot_finish", cannotFinish-before.cannotFinish)
}
