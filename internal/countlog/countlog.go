// Package countlog logs and publishes the counts of a router that have changed since it last did, such as
// requests refused early and targets left alone.
package countlog

import (
	"math"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/answerbuffer"
	"github.com/stepcroft/stepcroft/internal/arrivals"
	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/tally"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

const (
	// arrivalsInterval is the least time between two log lines about new connections.
	arrivalsInterval = time.Second
	// notableWait is the wait of a connection from which a line is logged: callers notice it.
	notableWait = 50 * time.Millisecond
	// fullInterval is the shortest interval between two log lines about answers that wait for
	// room.
	fullInterval = time.Second
)

// Sources is where the counts come from, besides the control state.
type Sources struct {
	Loop *balance.Loop
	// Arrivals returns the statistics of new connections since its last call.
	Arrivals func() arrivals.Stats
	Answers  *answerbuffer.Budget
	Requests *tally.Tally
}

// Log keeps what was logged last. Use New to make one. Only the control goroutine may use it.
type Log struct {
	log     logr.Logger
	metrics *counters.Registry
	from    Sources

	pauses pauseCounts
	waits  waitCounts
	cold   coldCounts
	speeds speedTimes
	// againstAdvice counts the requests to targets that were leaving or backing off, backoffs the
	// backoffs that no target asked for.
	againstAdvice balance.SentAgainstAdvice
	backoffs      int64
	// arrivalsAt is when waits of new connections were last considered for a line.
	arrivalsAt time.Time
	// full is the count of answers that waited for room, as logged at fullAt.
	full   int64
	fullAt time.Time
}

// New returns a log that has logged nothing.
func New(log logr.Logger, metrics *counters.Registry, from Sources) *Log {
	return &Log{log: log, metrics: metrics, from: from}
}

// Update logs and publishes what has changed.
func (l *Log) Update(s *balance.State, now time.Time) {
	l.logThrottles(s.ThrottleNotices())
	l.logPauses(s, now)
	l.from.Requests.Log(now, l.log)
	l.logArrivals(now)
	l.logCold(s, now)
	l.logWaits(s, now)
	l.logAdvice(s)
	l.publishSpeeds(s, now)
	l.logAnswersWaiting(now)
}

// logThrottles logs for which organisations throttling has begun or ended. Throttled requests are
// rejected before parsing, maybe hundreds a second, and most of them get no log line.
func (l *Log) logThrottles(list []throttle.Notice) {
	for _, k := range list {
		what := "organisation throttled"
		if k.Ended {
			what = "organisation no longer throttled"
		}
		l.log.Info(what, "organisation", k.Organisation, "busy", k.CPUUtilisation, "coalesce", k.CoalesceLevel, "cores", k.CoreLimit,
			"had", int(k.Served), "share", int(min(k.FairShare, math.MaxInt32)), "most_served", int(k.MostServed), "least_waiting", int(min(k.LeastServedWaiting, math.MaxInt32)),
			"waiting", k.Waiting, "crowded", k.RejectedQueueFull, "busied", k.RejectedBusy, "after_ms", k.Duration.Milliseconds())
	}
}

// logArrivals logs where new connections waited, if one waited long.
func (l *Log) logArrivals(now time.Time) {
	if now.Sub(l.arrivalsAt) < arrivalsInterval {
		return
	}
	l.arrivalsAt = now
	a := l.from.Arrivals()
	if !a.Waited(notableWait) {
		return
	}
	l.log.Info("connections waited", "accepted", a.Accepted, "refused", a.Refused, "queued", a.Queued, "queue_limit", a.QueueLimit,
		"room_ms", a.RoomWait.Milliseconds(), "read_ms", a.ReadWait.Milliseconds(), "received_read_ms", a.ReceivedReadWait.Milliseconds(),
		"open", a.Open, "received", a.Received)
}

// logAnswersWaiting logs that answers wait for room, at most once a second.
func (l *Log) logAnswersWaiting(now time.Time) {
	if now.Sub(l.fullAt) < fullInterval {
		return
	}
	stats := l.from.Answers.Stats()
	if stats.Full == l.full {
		return
	}
	l.log.Info("answers wait for room", "count", stats.Full-l.full, "waiting", stats.Waiting, "bytes", stats.Bytes)
	l.full, l.fullAt = stats.Full, now
}
