package control

import (
	"math"
	"time"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/request"
)

// bucket is a token bucket for an organisation's rate limit.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// take takes one token. If there is none it returns the time until there is one.
func (b *bucket) take(rate float64, now time.Time) (time.Duration, bool) {
	if b.refilledAt.IsZero() {
		b.tokens = max(rate, 1)
	}
	b.tokens = min(b.tokens+rate*now.Sub(b.refilledAt).Seconds(), max(rate, 1))
	b.refilledAt = now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
}

// admit decides whether a new request may be queued. It returns an empty reason,
// or why the request is refused and, if known, after how many seconds the caller
// should retry.
func (s *State) admit(p *pool, t *request.Ticket, now time.Time) (request.Reason, int) {
	if p == nil {
		return request.ReasonUnknownModel, 0
	}
	if s.closed {
		return request.ReasonRouterLeaving, 0
	}
	if !now.Before(t.Deadline()) {
		return request.ReasonDeadline, 0
	}
	if s.waiting >= s.options.MaxWaiting {
		return request.ReasonProcessFull, 0
	}
	o, _ := s.snapshot.Organisation(t.Organisation())
	return s.admitLimits(p, o, now)
}

func (s *State) admitLimits(p *pool, o config.Organisation, now time.Time) (request.Reason, int) {
	if o.Limits.Queue > 0 && p.queue.Len(o.Name) >= o.Limits.Queue {
		return request.ReasonQueueFull, 0
	}
	if o.Limits.Rate <= 0 {
		return "", 0
	}
	b := p.rateLimits[o.Name]
	if b == nil {
		b = &bucket{}
		p.rateLimits[o.Name] = b
	}
	if wait, ok := b.take(o.Limits.Rate, now); !ok {
		return request.ReasonRateLimit, max(1, int(math.Ceil(wait.Seconds())))
	}
	return "", 0
}
