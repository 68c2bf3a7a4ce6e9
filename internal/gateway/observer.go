package gateway

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/ingress"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/tally"
)

// addGauges publishes what is read each time the metrics are.
func (g *Gateway) addGauges(m *counters.Registry) {
	m.Set("target_connections", func() any { return g.transport.Stats() })
	m.Set("peer_messages", func() any { return g.peers.Stats() })
	m.Set("peer_datagrams", func() any { return g.datagrams.Stats() })
	m.Set("processor_part", func() any { return g.loop.CPUUtilisation() })
	m.Set("turned_away", func() any { return g.server.RejectedConnections() })
	m.Set("closed_unanswered", func() any { return g.server.ClosedUnanswered() })
	m.Set("ticks", func() any { return map[string]int64{"decisions": g.loop.Ticks(), "exchange": g.ticks.Load()} })
	m.Set("pause_bounded", func() any { bounded, _ := g.loop.PauseCounts(); return bounded })
	m.Set("cannot_finish", func() any { _, cannotFinish := g.loop.PauseCounts(); return cannotFinish })
	m.Set("handover", func() any { return g.handover.stats() })
	m.Set("requests", func() any { return g.requestSums() })
	m.Set("open_requests", func() any { return g.server.OpenRequests() })
	m.Set("bodies", func() any { return g.memory.Stats() })
	m.Set("answer_buffers", func() any { return g.answers.budget.Stats() })
	m.Set("configuration", g.configStats)
	m.Set("store_copies", g.copyStats)
}

// observer logs and counts each request that has ended.
type observer struct {
	log     logr.Logger
	logFull func() bool
	metrics *counters.Registry
	tally   *tally.Tally
	// lastChange returns the last change of the configuration.
	lastChange func() lifecycle.Change
}

func (g *Gateway) observer() observer {
	return observer{log: g.Log, logFull: g.LogFull, metrics: g.Metrics, tally: g.tally, lastChange: g.requests.LastChange}
}

// RequestEnded implements ingress.Observer.
func (o observer) RequestEnded(r forward.Request, v forward.Result, took time.Duration) {
	o.metrics.RecordRequest(v, took)
	unlogged := o.logFull != nil && o.logFull()
	o.tally.Add(r, v, unlogged)
	if unlogged {
		return
	}
	route, goal := "", time.Duration(0)
	if r.Route != nil {
		route, goal = r.Route.Name, r.Route.Goal
	}
	fields := make([]any, 0, maxRequestFields)
	if v.ContentDigest != "" {
		fields = append(fields, "content", v.ContentDigest, "part", v.HeldPart)
	}
	if r.LastEventID != "" {
		fields = append(fields, "resumes", r.Resumes, "after", r.LastEventID, "version_by", string(v.VersionEvidence))
	}
	if v.SkippedIDs > 0 {
		fields = append(fields, "skipped_ids", v.SkippedIDs)
	}
	if v.Runs > 0 {
		fields = append(fields, "runs", v.Runs, "events", v.Events, "last_event", v.LastEventID, "process", v.RunTarget.Incarnation(), "run_version", v.RunTarget.Version)
	}
	if v.ExchangeEnd != "" {
		fields = append(fields, "exchange_end", string(v.ExchangeEnd), "not_retried", string(v.NotRetried))
	}
	if change := o.lastChange(); !change.At.IsZero() {
		fields = append(fields, "config_end", change.Version, "since_change_ms", clock.Since(change.At).Milliseconds())
	}
	o.log.Info("request", append(
		fields, "id", r.ID, "route", route, "organisation", r.Organisation, "outcome", string(tally.OutcomeOf(v)), "end", string(ingress.EndOf(v)),
		"status", v.Status, "reason", string(v.Reason), "target", v.TargetID, "version", v.TargetVersion,
		"lapsed_ms", v.LapsedFor.Milliseconds(), "sends", v.Sends,
		"unread", v.PendingTokens, "miss", v.UncachedTokens, "fetched", v.FetchableTokens, "input", r.Input, "output", r.Output,
		"goal_ms", milliseconds(goal), "waited_ms", milliseconds(v.QueueTime), "first_ms", milliseconds(v.TimeToFirstByte),
		"pause_ms", milliseconds(v.LongestPause), "speed", v.Speed,
		"took_ms", milliseconds(took), "retry_after_ms", v.RetryAfter.Milliseconds(),
		"config", r.ConfigVersion, "config_age_ms", r.ConfigAge.Milliseconds(),
	)...)
}

// maxRequestFields is the number of keys and values of a request's line, if it has all.
const maxRequestFields = 88

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func goalOf(r forward.Request) time.Duration {
	if r.Route == nil {
		return 0
	}
	return r.Route.Goal
}
