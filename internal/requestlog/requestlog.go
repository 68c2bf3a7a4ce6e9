// Package requestlog writes what became of each request: a line in the log as far as there is room for it, and counts.
package requestlog

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/tally"
)

// Observer logs and counts each request that has ended. Use New to make one.
type Observer struct {
	log        logr.Logger
	logFull    func() bool
	metrics    *counters.Registry
	sums       *tally.Tally
	lastChange func() lifecycle.Change
}

// New returns an observer that writes to log. It leaves out a request's line if logFull, unless that is nil, reports that
// the line would be dropped; all requests are counted by metrics and sums. lastChange returns the last change of the
// configuration.
func New(log logr.Logger, logFull func() bool, metrics *counters.Registry, sums *tally.Tally, lastChange func() lifecycle.Change) Observer {
	return Observer{log: log, logFull: logFull, metrics: metrics, sums: sums, lastChange: lastChange}
}

// RequestEnded implements ingress.Observer.
func (o Observer) RequestEnded(r forward.Request, v forward.Result, took time.Duration) {
	o.metrics.RecordRequest(v, took)
	unlogged := o.logFull != nil && o.logFull()
	o.sums.Add(r, v, unlogged)
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
		fields = append(fields, "runs", v.Runs, "events", v.Events, "last_event", v.LastEventID, "process", v.RunTarget.Incarnation(), "run_version", v.RunTarget.Version, "run_service", v.RunTarget.Service)
	}
	if v.Framing == httptarget.Unframed {
		fields = append(fields, "framing", string(v.Framing), "complete_by", string(v.CompleteBy))
	} else if v.Framing != "" {
		fields = append(fields, "framing", string(v.Framing))
	}
	if v.ExchangeEnd != "" {
		fields = append(fields, "exchange_end", string(v.ExchangeEnd), "not_retried", string(v.NotRetried))
	}
	if change := o.lastChange(); !change.At.IsZero() {
		fields = append(fields, "config_end", change.Version, "since_change_ms", clock.Since(change.At).Milliseconds())
	}
	o.log.Info("request", append(
		fields, "id", r.ID, "route", route, "organisation", r.Organisation, "outcome", string(tally.OutcomeOf(v)), "end", string(refusal.EndOf(v)),
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
const maxRequestFields = 90

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
