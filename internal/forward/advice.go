package forward

import (
	"math"
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
		x.reportBackoff(to, parseRetryAfter(a.Header))
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

// parseRetryAfter returns the delay given in Retry-After (RFC 9110, section 10.2.3), or 0 if
// the header is missing or invalid. The value is a number of seconds, which unlike in the RFC
// may have a fraction, or a date, which is compared with the answer's own Date header.
func parseRetryAfter(h http.Header) time.Duration {
	value := h.Get("Retry-After")
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(seconds) || seconds <= 0 {
			return 0
		}
		return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
	}
	retryAt, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	sentAt, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		sentAt = clock.Now()
	}
	return max(retryAt.Sub(sentAt), 0)
}
