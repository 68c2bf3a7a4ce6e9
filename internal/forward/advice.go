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

// Advice is what a target says of itself in an answer.
type Advice string

// The kinds of advice.
const (
	// AdviceLeaving means that the target leaves.
	AdviceLeaving Advice = "leaving"
	// AdviceRest means that the target wants nothing from this router for a time,
	// AdviceRestBounded that the time is absurd.
	AdviceRest        Advice = "rest"
	AdviceRestBounded Advice = "rest-bounded"
)

// advised notes what a target says of itself in the head of an answer, whatever becomes of
// the rest. Who answers that the request was meant for another process is another one.
func (x *run) advised(to balance.Target, a *httptarget.Answer) {
	if a.Status == http.StatusMisdirectedRequest {
		return
	}
	if leaves, err := strconv.ParseBool(a.Header.Get(x.dialect.Leaving)); err == nil && leaves {
		x.leaves(to)
	}
	if a.Status == http.StatusServiceUnavailable {
		x.rests(to, restOf(a.Header))
	}
}

func (x *run) leaves(to balance.Target) {
	t := x.ticket
	x.loop.Post(func(s *balance.State, now time.Time) {
		if s.Leaves(now, t) {
			x.log.Info("target says that it leaves", "target", to.ID, "born", to.Born, "id", x.ID)
			x.counts.Advised(AdviceLeaving)
		}
	})
}

func (x *run) rests(to balance.Target, d time.Duration) {
	if d <= 0 {
		return
	}
	t := x.ticket
	x.loop.Post(func(s *balance.State, now time.Time) {
		if !s.Rests(now, t, d) {
			return
		}
		x.log.Info("target asks for a rest", "target", to.ID, "rest_ms", d.Milliseconds(), "id", x.ID)
		x.counts.Advised(AdviceRest)
		if d > advice.MaxBackoff {
			x.counts.Advised(AdviceRestBounded)
		}
	})
}

// restOf returns the time in Retry-After (RFC 9110, section 10.2.3): seconds, of which
// targets may send fractions, or a date, read by the clock of who sent it. It is 0 where
// there is none that makes sense.
func restOf(h http.Header) time.Duration {
	value := h.Get("Retry-After")
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(seconds) || seconds <= 0 {
			return 0
		}
		return time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	said, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		said = clock.Now()
	}
	return max(until.Sub(said), 0)
}
