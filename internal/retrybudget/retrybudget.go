// Package retrybudget bounds the retries of a fleet of routers by the requests that they get. Each router counts its
// own, and keeps to its part without asking the others.
package retrybudget

import "time"

const (
	// minBucketWidth is the least time that one bucket of the retry budget's counts covers, and
	// bucketCount the number of buckets kept. For a long window, buckets are wider.
	minBucketWidth = 500 * time.Millisecond
	bucketCount    = 64
)

// Limits bounds the retries of the whole fleet in a window: Ratio times its requests, plus Slack.
type Limits struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Budget counts a router's requests and retries by service. Use New to create one. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	// Buckets are numbered from the start on the monotonic clock, since the wall clock may jump.
	start     time.Time
	width     time.Duration
	histories map[string]*history
}

// New returns a budget without counts.
func New(now time.Time, l Limits) *Budget {
	return &Budget{limits: l, start: now, width: bucketWidthFor(l.Window), histories: map[string]*history{}}
}

// WithLimits returns a budget with other limits. It goes on with the counts of b, which must not be used any more,
// unless the window differs so much that they cannot be used.
func (b *Budget) WithLimits(l Limits) *Budget {
	if bucketWidthFor(l.Window) != b.width {
		return New(b.start, l)
	}
	out := *b
	out.limits = l
	return &out
}

// bucketWidthFor returns the width at which the buckets cover a window, and the one that has just begun.
func bucketWidthFor(window time.Duration) time.Duration {
	return max(minBucketWidth, window/(bucketCount-2))
}

type history struct {
	newest   int64
	requests [bucketCount]int
	retries  [bucketCount]int
}

func (b *Budget) history(now time.Time, service string) *history {
	h := b.histories[service]
	if h == nil {
		h = &history{}
		b.histories[service] = h
	}
	h.advance(int64(now.Sub(b.start) / b.width))
	return h
}

func (h *history) advance(to int64) {
	if to-h.newest > bucketCount {
		h.newest = to - bucketCount
	}
	for h.newest < to {
		h.newest++
		h.requests[h.newest%bucketCount] = 0
		h.retries[h.newest%bucketCount] = 0
	}
}

// CountRequest counts a request for a service.
func (b *Budget) CountRequest(now time.Time, service string) {
	h := b.history(now, service)
	h.requests[h.newest%bucketCount]++
}

// CountRetry counts a retry at a service.
func (b *Budget) CountRetry(now time.Time, service string) {
	h := b.history(now, service)
	h.retries[h.newest%bucketCount]++
}

// UncountRetry takes back a retry that was counted a moment ago and not made: the newest one. A count below zero would
// outlast those that it makes up for.
func (b *Budget) UncountRetry(now time.Time, service string) {
	h := b.history(now, service)
	for i := range int64(bucketCount) {
		if at := (h.newest - i + bucketCount) % bucketCount; h.retries[at] > 0 {
			h.retries[at]--
			return
		}
	}
}

// Allows reports whether this router, one of routers in the fleet, may make another retry and use a part of the
// budget in percent for all retries with it.
func (b *Budget) Allows(now time.Time, service string, routers, percent int) bool {
	h := b.history(now, service)
	requests, retries := 0, 0
	for i := range min(int64(b.limits.Window/b.width)+1, bucketCount) {
		at := (h.newest - i + bucketCount) % bucketCount
		requests += h.requests[at]
		retries += h.retries[at]
	}
	allowed := b.limits.Ratio*float64(requests) + b.limits.Slack/float64(routers)
	return float64(retries+1) <= allowed*float64(percent)/100
}
