// Package storewatch decides which routers of a fleet watch the store, and which call it after all have started.
package storewatch

import (
	"iter"
	"math/rand/v2"
	"time"

	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
)

// WatcherCount is the number of routers that watch the store, of those that reach it. Calls to
// the store are billed, and the other routers get updates from the watchers within
// milliseconds. With three, updates are late only if all of them fail at once.
const WatcherCount = 3

const (
	// maxSettleDelay is how long a router that has just started waits for the store's contents
	// from other routers before it calls the store. If all routers have just started, none can
	// supply them. Therefore one that lacks the configuration or the targets waits for a random
	// time from minSettleDelay to maxSettleDelay, so that one of them calls the store soon and
	// updates the others.
	maxSettleDelay = 300 * time.Millisecond
	minSettleDelay = 20 * time.Millisecond
	// startupWatchers is the approximate number of routers that call the store regardless of
	// their rank if all have just started, since those that rank first may start last. With
	// them, callers are served again 0.5 s after all of 33 routers were killed and 2.0 s after
	// all of 101 were; without them, after 1.0 s and 2.5 s (one day at each size, sampled every
	// 0.5 s).
	startupWatchers = 6
	// rankTTLPerRouter times the number of routers is how long a router's rank for watching the
	// store is used before it is computed again, so that the work per second does not grow with
	// the fleet. It is 0.15 s with 1,000 routers.
	rankTTLPerRouter = 150 * time.Microsecond
	// failureTTL is how long a failed call counts. It is longer than the time between two calls
	// of a router that cannot reach the store.
	failureTTL = 5 * time.Second
)

// Watch decides for one router. It must be used by one goroutine. Use New to make one.
type Watch struct {
	id      message.RouterID
	zone    string
	started time.Time
	// settleDelay is this router's delay between minSettleDelay and maxSettleDelay.
	settleDelay time.Duration
	// startupDraw is a random number from 0 to 1 that decides which routers call the store first
	// if all have just started.
	startupDraw float64
	// rank is this router's rank as last computed.
	rank Rank
	// failedAt is when the last call to the store about each kind failed, zero if calls about it
	// work.
	failedAt [message.StoreKindCount]time.Time
}

// New returns the decisions of a router that starts now.
func New(now time.Time, id message.RouterID, zone string) *Watch {
	return &Watch{
		id: id, zone: zone, started: now,
		settleDelay: minSettleDelay + rand.N(maxSettleDelay-minSettleDelay), startupDraw: rand.Float64(),
	}
}

// Failed records that a call to the store about a kind failed.
func (w *Watch) Failed(now time.Time, kind message.StoreKind) { w.failedAt[kind] = now }

// Recovered records that calls to the store about a kind succeed again.
func (w *Watch) Recovered(kind message.StoreKind) { w.failedAt[kind] = time.Time{} }

// Reaches reports whether no kind of calls to the store has failed lately.
func (w *Watch) Reaches(now time.Time) bool {
	for _, at := range w.failedAt {
		if !at.IsZero() && now.Sub(at) < failureTTL {
			return false
		}
	}
	return true
}

// Should reports whether this router should watch the store: it ranks among the first of the running
// routers, or of those that reach the store. A router that knows no other running one ranks first.
// uninformed is set while it lacks the configuration or the targets, leaving once it stops.
func (w *Watch) Should(now time.Time, running iter.Seq[message.RouterRecord], uninformed, leaving bool) bool {
	wait := maxSettleDelay
	if uninformed {
		wait = w.settleDelay
	}
	if now.Sub(w.started) < wait {
		return false
	}
	rank := w.Rank(now, running)
	startup := uninformed && w.startupDraw*float64(rank.Running) < startupWatchers
	reaches := w.Reaches(now) && !leaving
	return startup || reaches && rank.topReaching() || !leaving && rank.topLive()
}

// Rank returns this router's rank among the running ones, computed again if it is too old.
func (w *Watch) Rank(now time.Time, running iter.Seq[message.RouterRecord]) Rank {
	if now.Sub(w.rank.at) >= rankTTLPerRouter*time.Duration(w.rank.Running) {
		w.rank = w.compute(now, running)
	}
	return w.rank
}

// LastRank returns this router's rank as last computed.
func (w *Watch) LastRank() Rank { return w.rank }

// compute ranks this router among the running ones. Its cost follows their number.
func (w *Watch) compute(now time.Time, running iter.Seq[message.RouterRecord]) Rank {
	live, reaching := w.newCounter(), w.newCounter()
	rank := Rank{at: now}
	for r := range running {
		rank.Running++
		if r.Zone == w.zone && r.ID != w.id {
			rank.Near++
		}
		live.Add(r.ID, r.Zone)
		if !r.StoreFailing {
			reaching.Add(r.ID, r.Zone)
		}
	}
	rank.Live, rank.Reaching, rank.Zone = live.Rank(), reaching.Rank(), live.ZoneRank()
	return rank
}

// newCounter returns a counter for this router's rank among the candidates for watching the
// store, to which the other candidates are still to be added.
func (w *Watch) newCounter() *member.RankCounter { return member.NewRankCounter("store", w.id, w.zone) }

// Rank tells whether a router ranks among the first WatcherCount candidates for watching the store.
type Rank struct {
	at time.Time
	// Running is the number of running routers, this one included.
	Running int
	// Live is the number of them that come before this router, Reaching the same of those that reach
	// the store, and Zone that of those in this router's availability zone.
	Live, Reaching, Zone int
	// Near is the number of other running routers in this router's availability zone.
	Near int
}

func (r Rank) topLive() bool { return r.Live < WatcherCount }

func (r Rank) topReaching() bool { return r.Reaching < WatcherCount }

// Phase returns the phase of this router's watches, which differs among the first.
func (r Rank) Phase() float64 {
	return float64(r.Reaching%WatcherCount+1) / WatcherCount
}
