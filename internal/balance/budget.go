package balance

import (
	"time"
)

const (
	// bucketTime is the grain, and buckets the length, of the counts behind
	// the retry budget.
	bucketTime = 500 * time.Millisecond
	buckets    = 64
	// budgetShare is the part of the budget, in percent, that routers use:
	// windows slide, and the routers' parts are worked out apart.
	budgetShare = 60
)

// budget counts requests and retries by service. Its buckets are counted from
// its start on the steady clock: the time of day may jump.
type budget struct {
	start    time.Time
	services map[string]*history
}

type history struct {
	newest   int64
	requests [buckets]int
	repeats  [buckets]int
}

func (b budget) of(now time.Time, service string) *history {
	h := b.services[service]
	if h == nil {
		h = &history{}
		b.services[service] = h
	}
	h.advance(int64(now.Sub(b.start) / bucketTime))
	return h
}

func (h *history) advance(to int64) {
	if to-h.newest > buckets {
		h.newest = to - buckets
	}
	for h.newest < to {
		h.newest++
		h.requests[h.newest%buckets] = 0
		h.repeats[h.newest%buckets] = 0
	}
}

func (b budget) request(now time.Time, service string) {
	h := b.of(now, service)
	h.requests[h.newest%buckets]++
}

func (b budget) repeat(now time.Time, service string) {
	h := b.of(now, service)
	h.repeats[h.newest%buckets]++
}

// allow reports whether this router, one of routers, may make one more retry.
func (b budget) allow(now time.Time, service string, l Limits, routers int) bool {
	h := b.of(now, service)
	requests, repeats := 0, 0
	for i := range int64(l.RetryWindow/bucketTime) + 1 {
		at := (h.newest - i + buckets) % buckets
		requests += h.requests[at]
		repeats += h.repeats[at]
	}
	allowed := l.RetryRatio*float64(requests) + l.RetrySlack/float64(routers)
	return float64(repeats+1) <= allowed*budgetShare/100
}
