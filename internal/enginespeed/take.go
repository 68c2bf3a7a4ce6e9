package enginespeed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxPerReport is the largest number of engines in a report.
	maxPerReport = 64
	// reportInterval is the least time between two reports of one engine.
	reportInterval = time.Second
	// maxReceived is the number of engines a second that a router should hear of from all peers, at
	// some 50 bytes each: 12 KB a second. A router's part of it falls with the number of its peers:
	// those heard from or, if there are more, those that it sends to. After a common start no router
	// has heard from others.
	maxReceived = 250
	// maxZoneRate is the number of engines a second in the sums of one zone.
	maxZoneRate = 60
)

// budget bounds the engines in reports.
type budget struct {
	left float64
	at   time.Time
}

// refill adds what a rate allows since the last call, up to that of two seconds, the interval of
// reports in a large zone, and to the size of a report. Without the first limit, all routers that
// were idle would send a full report at once.
func (u *budget) refill(now time.Time, perSecond float64) {
	u.left = min(u.left+now.Sub(u.at).Seconds()*perSecond, max(2*perSecond, 1), maxPerReport)
	u.at = now
}

// SetReceivers sets the number of routers that this router's reports go to.
func (b *Book) SetReceivers(n int) { b.receivers = n }

// Take returns what this router's next report is to say of its own observations, and regards it as
// sent: the engines whose expected time changed most, at most 64, and each at most once a second.
func (b *Book) Take(now time.Time) []Report {
	b.Expire(now)
	b.budget.refill(now, maxReceived/float64(max(len(b.peers), b.receivers)+1))
	return b.take(now, func(e *engine) Sums { return e.own })
}

// TakeTotals is Take for the sums of all peers, as a zone reports them. A book is used either for
// Take or for TakeTotals.
func (b *Book) TakeTotals(now time.Time) []Report {
	b.Expire(now)
	b.budget.refill(now, maxZoneRate)
	return b.take(now, func(e *engine) Sums { return e.total })
}

func (b *Book) take(now time.Time, sums func(*engine) Sums) []Report {
	type candidate struct {
		target string
		change float64
	}
	var due []candidate
	for target := range b.changed {
		e := b.engines[target]
		// The actual time plays no part: reports of some engines only would favour slow observations.
		change := math.Abs(sums(e).Expected - e.taken.Expected)
		if change <= 0 {
			delete(b.changed, target)
			continue
		}
		if e.takenAt.IsZero() || now.Sub(e.takenAt) >= reportInterval {
			due = append(due, candidate{target, change})
		}
	}
	slices.SortFunc(due, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.change, x.change), cmp.Compare(x.target, y.target))
	})
	due = due[:min(len(due), int(b.budget.left))]
	b.budget.left -= float64(len(due))
	var out []Report
	for _, c := range due {
		e := b.engines[c.target]
		e.taken, e.takenAt = sums(e), now
		delete(b.changed, c.target)
		out = append(out, Report{Target: c.target, Service: e.name, Sums: e.taken.times(1 / b.unitOf(now)).capped()})
	}
	return out
}
