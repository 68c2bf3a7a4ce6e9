package countlog

import (
	"maps"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/enginespeed"
	"github.com/stepcroft/stepcroft/internal/forward"
)

const (
	// speedsInterval is the interval at which the speeds of engines are published, and
	// speedsLogInterval the least interval between two log lines about them.
	speedsInterval    = time.Second
	speedsLogInterval = 30 * time.Second
	// loggedSpread is the ratio of the slowest to the fastest engine of a service from which on it
	// is logged that they differ. Below it, the factors of equal engines differ by chance.
	loggedSpread = 1.5
	// adviceRefusing is the label in the metric target_advice that counts how often a target was
	// skipped for a moment because it had rejected several requests in a row.
	adviceRefusing = "refusing"
)

// coldCounts holds the number of cold targets by service, and how often one was skipped for
// being cold since the router started.
type coldCounts struct {
	count   map[string]int
	skipped int64
}

// logCold logs the number of cold targets by service if it has changed.
func (l *Log) logCold(s *balance.State, now time.Time) {
	count, skipped := s.ColdTargets(now)
	if skipped != l.cold.skipped {
		l.metrics.SetColdSkipped(skipped)
	}
	if !maps.Equal(count, l.cold.count) {
		l.log.Info("targets cold", "count", count, "before", l.cold.count, "passed_over", skipped-l.cold.skipped)
		l.metrics.SetCold(count)
		l.cold = coldCounts{count: count, skipped: skipped}
	}
}

// logAdvice logs and counts the backoffs of targets that rejected requests without asking for a
// backoff, and the requests that were sent to targets that were leaving or backing off.
func (l *Log) logAdvice(s *balance.State) {
	if backoffs := s.Backoffs(); backoffs != l.backoffs {
		l.log.Info("targets left alone that turn requests away", "count", backoffs-l.backoffs)
		l.metrics.CountAdviceBy(adviceRefusing, backoffs-l.backoffs)
		l.backoffs = backoffs
	}
	now, before := s.SentAgainstAdvice(), l.againstAdvice
	if now == before {
		return
	}
	leaving, backingOff := now.Leaving-before.Leaving, now.BackingOff-before.BackingOff
	l.log.Info("requests sent against advice", "leaving", leaving, "resting", backingOff)
	l.metrics.CountAgainstAdvice(forward.AdviceLeaving, leaving)
	l.metrics.CountAgainstAdvice(forward.AdviceBackoff, backingOff)
	l.againstAdvice = now
}

// speedTimes is when the speeds of engines are published and logged next.
type speedTimes struct{ due, logDue time.Time }

// publishSpeeds makes the speeds of engines available to the metrics.
func (l *Log) publishSpeeds(s *balance.State, now time.Time) {
	if now.Before(l.speeds.due) {
		return
	}
	l.speeds.due = now.Add(speedsInterval)
	all := s.EngineSpeeds(now)
	l.metrics.SetSpeeds(all, s.IgnoredSpeeds())
	if now.Before(l.speeds.logDue) {
		return
	}
	differing := map[string]enginespeed.Summary{}
	for service, v := range all {
		if v.Slowest > v.Fastest*loggedSpread {
			differing[service] = v
		}
	}
	if len(differing) > 0 {
		l.speeds.logDue = now.Add(speedsLogInterval)
		l.log.Info("engines differ in speed", "services", differing)
	}
}
