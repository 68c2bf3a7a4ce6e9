package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/stepcroft/stepcroft/internal/advice"
	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// Advice is a kind of report that a target makes about itself in the headers of an answer.
type Advice string

// The kinds of advice.
const (
	// AdviceLeaving means that the target is leaving: it shuts down in a planned way.
	AdviceLeaving Advice = "leaving"
	// AdviceBackoff means that the target asked this router to back off (503 with
	// Retry-After). AdviceBackoffCapped means that the requested backoff exceeded
	// advice.MaxBackoff and was capped.
	AdviceBackoff       Advice = "rest"
	AdviceBackoffCapped Advice = "rest-bounded"
)

// readAdvice handles what a target reports about itself in the head of an answer, even if the
// body fails later. Status 421 is ignored: another process than the chosen target sent it.
func (x *inflight) readAdvice(to balance.Target, a *httptarget.Answer) {
	if a.Status == http.StatusMisdirectedRequest {
		return
	}
	if leaves, err := strconv.ParseBool(a.Header.Get(x.headers.Leaving)); err == nil && leaves {
		x.reportLeaving(to)
	}
	if a.Status == http.StatusServiceUnavailable {
		x.reportBackoff(to, advice.RetryAfter(clock.Now(), a.Header))
	}
}

// reportLeaving tells the control goroutine that a target is leaving.
func (x *inflight) reportLeaving(to balance.Target) {
	t := x.ticket
	x.loop.Post(func(s *balance.State, now time.Time) {
		if s.RecordLeaving(now, t) {
			x.log.Info("target says that it leaves", "target", to.ID, "born", to.Born, "id", x.ID)
			x.counters.CountAdvice(AdviceLeaving)
		}
	})
}

// reportBackoff tells the control goroutine that a target asked for a backoff of d.
func (x *inflight) reportBackoff(to balance.Target, d time.Duration) {
	if d <= 0 {
		return
	}
	t := x.ticket
	x.loop.Post(func(s *balance.State, now time.Time) {
		if !s.RecordBackoff(now, t, d) {
			return
		}
		x.log.Info("target asks for a rest", "target", to.ID, "rest_ms", d.Milliseconds(), "id", x.ID)
		x.counters.CountAdvice(AdviceBackoff)
		if d > advice.MaxBackoff {
			x.counters.CountAdvice(AdviceBackoffCapped)
		}
	})
}
