// Package bookings plans when refused callers return by what all routers of the fleet report: their bookings, and what
// they have started.
package bookings

import (
	"math"
	"time"

	"github.com/stepcroft/stepcroft/internal/returns"
	"github.com/stepcroft/stepcroft/internal/view"
)

const (
	// startsTTL is how long a router's last report of started tokens is kept.
	startsTTL = 10 * time.Second
	// bookersTTL is how long a comparison of bookings is used after this router's last one. A burst
	// after a longer pause may come to all routers.
	bookersTTL = 10 * time.Second
)

// Book has the bookings of this router and of the others. It must be used by one goroutine. Use New to make one.
type Book struct {
	// Plan has the bookings by slot.
	*returns.Plan
	// window is the quota window, in which what is reported as started decays.
	window time.Duration
	// servingPeers is the number of other routers that serve callers.
	servingPeers int
	// starts has what other routers last reported as started, by router.
	starts  map[string]starts
	bookers bookers
	// invalid counts the bookings that other routers reported for services unknown here, and the
	// reports with more starts than engines can take.
	invalid int64
}

// bookers compares the tokens that other routers booked with those that this router did, both as
// reported and decayed over the quota window.
type bookers struct {
	own, others float64
	at          time.Time
}

// starts is the sum of all organisations' started tokens in a report.
type starts struct {
	tokens float64
	at     time.Time
}

// New returns a book without bookings.
func New(window time.Duration) *Book {
	return &Book{Plan: returns.New(), window: window, starts: map[string]starts{}}
}

// SetWindow sets the quota window.
func (b *Book) SetWindow(d time.Duration) { b.window = d }

// SetServingPeers sets how many other routers serve callers.
func (b *Book) SetServingPeers(n int) {
	b.servingPeers = n
	b.assumeBookers()
}

// Counts returns how many returns were booked since the start.
func (b *Book) Counts() returns.Counts {
	c := b.Plan.Counts()
	c.Ignored += b.invalid
	return c
}

// Bounds tells which reports count.
type Bounds struct {
	// Planned reports whether returns to a service are planned.
	Planned func(service string) bool
	// Booked is the most tokens that count as booked in a slot by a router, Began the most that routers may have
	// started since a report.
	Booked, Began float64
}

// ApplyReport applies the bookings of another router's report, and what it has started since the last one. Reports tell
// the latter by organisation only; it is attributed to services by the requests that the router has running there, of
// which running has the number by service.
func (b *Book) ApplyReport(now time.Time, router string, r view.Report, running map[string]int, within Bounds) {
	var list []returns.Slots
	for _, slots := range r.Returns {
		if within.Planned(slots.Service) {
			list = append(list, slots.Capped(within.Booked))
			continue
		}
		b.invalid++
	}
	b.SetPeer(now, router, list)
	total := 0
	for _, n := range running {
		total += n
	}
	if _, known := b.starts[router]; known && total == 0 {
		// What it started meanwhile is attributed when something runs there again.
		return
	}
	began := b.startedSince(now, router, r)
	if began <= 0 || total == 0 {
		return
	}
	if began > within.Began {
		b.invalid++
		return
	}
	for service, n := range running {
		if !within.Planned(service) {
			continue
		}
		b.Began(now, service, began*float64(n)/float64(total))
	}
}

// startedSince returns the tokens that a router started since its last report: the difference of the
// decayed sums. It is 0 for the first report, which may cover any time, and negative if routers left
// the sum of a zone.
func (b *Book) startedSince(now time.Time, router string, r view.Report) float64 {
	started := 0.0
	for _, u := range r.Usage {
		started += u.Started
	}
	last, ok := b.starts[router]
	b.starts[router] = starts{started, now}
	if !ok {
		return 0
	}
	return started - last.tokens*view.DecayFactor(now.Sub(last.at), b.window)
}

// Forget removes the bookings of a router whose reports another one now contains.
func (b *Book) Forget(now time.Time, router string) {
	b.RemovePeer(now, router)
	delete(b.starts, router)
}

// Report returns the bookings of this router to be reported.
func (b *Book) Report(now time.Time) []returns.Slots {
	for router, last := range b.starts {
		if now.Sub(last.at) > startsTTL {
			delete(b.starts, router)
		}
	}
	b.compare(now)
	return b.Own(now)
}

// compare compares what other routers have booked with this router's bookings in its last
// report. By the next one the others have reported, too. Nothing is known where all those have
// passed, nor some time after the last booking.
func (b *Book) compare(now time.Time) {
	last := &b.bookers
	own, others := b.Reported(now)
	switch {
	case own > 0:
		f := view.DecayFactor(now.Sub(last.at), b.window)
		*last = bookers{last.own*f + own, last.others*f + others, now}
	case last.own > 0 && now.Sub(last.at) > bookersTTL:
		*last = bookers{}
	}
	b.assumeBookers()
}

// assumeBookers sets how many other routers are assumed to book as much as this one: all that serve
// callers until a comparison is known, and then as many as make up what they have booked. A router
// that refuses alone in a large fleet would otherwise leave its slots almost empty.
func (b *Book) assumeBookers() {
	n := b.servingPeers
	if b.bookers.own > 0 {
		n = int(math.Ceil(min(b.bookers.others/b.bookers.own, float64(n))))
	}
	b.SetRouters(n)
}
