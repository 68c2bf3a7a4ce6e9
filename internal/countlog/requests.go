package countlog

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
)

const (
	// pausesInterval is the least interval between two log lines about bounded pauses.
	pausesInterval = time.Second
	// waitsInterval is the least time between two log lines about refused requests.
	waitsInterval = time.Second
)

// pauseCounts holds the counts of bounded pauses as logged last.
type pauseCounts struct {
	at                    time.Time
	bounded, cannotFinish int64
}

// logPauses logs how many requests were kept from engines for the streams running there, and how many
// were refused since they could not end in time, with the last of these.
func (l *Log) logPauses(s *balance.State, now time.Time) {
	bounded, cannotFinish := l.from.Loop.PauseCounts()
	before := l.pauses
	if bounded == before.bounded && cannotFinish == before.cannotFinish || now.Sub(before.at) < pausesInterval {
		return
	}
	l.pauses = pauseCounts{at: now, bounded: bounded, cannotFinish: cannotFinish}
	log := l.log
	if cannotFinish > before.cannotFinish {
		last := s.LastUnfinishable()
		log = log.WithValues("service", last.Service, "expected_ms", last.Expected.Milliseconds(), "left_ms", last.Left.Milliseconds())
	}
	log.Info("streams bounded", "bounded", bounded-before.bounded, "cannot_finish", cannotFinish-before.cannotFinish)
}

// waitCounts are the counts of refusals without a wait and of returns as logged last.
type waitCounts struct {
	counters.Waits
	at time.Time
}

// logWaits publishes these counts, and logs what has been added, at most once a second.
func (l *Log) logWaits(s *balance.State, now time.Time) {
	c := counters.Waits{Refused: map[string]int64{}, Returns: s.ReturnCounts(), UsageIgnored: s.InvalidUsage()}
	s.RefusedByForecast(func(why balance.Reason, n int64) { c.Refused[string(why)] = n })
	l.metrics.SetWaits(c)
	last := l.waits
	if now.Sub(last.at) < waitsInterval || c.Equal(last.Waits) {
		return
	}
	added := map[string]int64{}
	for why, n := range c.Refused {
		if n > last.Refused[why] {
			added[why] = n - last.Refused[why]
		}
	}
	l.log.Info("refused callers", "without_wait", added, "booked", c.Returns.Booked-last.Returns.Booked,
		"full", c.Returns.Full-last.Returns.Full, "ignored", c.Returns.Ignored-last.Returns.Ignored, "usage_ignored", c.UsageIgnored-last.UsageIgnored)
	l.waits = waitCounts{c, now}
}
