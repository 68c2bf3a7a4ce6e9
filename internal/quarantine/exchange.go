package quarantine

import (
	"slices"
	"strings"
	"time"
)

const (
	// minPullInterval is the minimum time between pulls of all records that another router
	// has of suspected requests. Each pull that yields nothing new doubles the interval, up
	// to maxPullInterval: routers whose bounds made them drop different records never agree.
	minPullInterval = 250 * time.Millisecond
	maxPullInterval = 30 * time.Second
	// collectorCount is the number of routers that collect which targets exited under which
	// requests. There are several because one may be gone, or routers may differ on which
	// rank first. The collectors are the routers that rank first for collectorsKey.
	collectorCount = 3
	collectorsKey  = "collect suspected requests"
	// collectInterval is the minimum time between two reports to the collectors.
	collectInterval = 50 * time.Millisecond
	// sendBytesPerSecond bounds what a router sends about suspected requests, beyond a burst
	// of sendBurstBytes, which is enough to report the requests that run at two engines to
	// the collectors. Excess records are not sent: losing a request that only ran beside the
	// cause does no harm, and a request that crashes targets comes again.
	sendBytesPerSecond = 2000
	sendBurstBytes     = 8 << 10
	// receiveBytesPerSecond and receiveBurstBytes bound what a collector accepts. At some 10
	// microseconds a record, that is 0.1% of a core.
	receiveBytesPerSecond = 10_000
	receiveBurstBytes     = 128 << 10
	// recordOverheadBytes is about the size of a record without its names, including its
	// share of the message's overhead.
	recordOverheadBytes = 64
)

// Fleet returns routers by the addresses at which they receive records of suspected requests.
type Fleet interface {
	// RandomPeers returns a few other routers, drawn at random.
	RandomPeers(now time.Time) []string
	// Ranked returns the n routers that rank first for a key, without this one if it is
	// among them.
	Ranked(now time.Time, key string, n int) []string
}

// Outgoing holds the records to send to one router.
type Outgoing struct {
	To      string
	Records []Record
}

// Exchange decides which routers receive records of the requests that a State suspects. The
// first crash of a target under a request is reported to a few collectors only: dozens of
// requests run at a target when it crashes, and sending all of them to all routers after the
// outage of a zone would cost the fleet more than the outage itself. From the second crash on,
// the record spreads to all routers by gossip. If both targets exited at the same time, the
// collectors decide, since they know which other targets did.
//
// Use NewExchange to create one. It is driven by the goroutine that drives the State.
type Exchange struct {
	state *State
	fleet Fleet
	// pulledAt is when all records were last pulled from another router, pullInterval the
	// minimum time until the next pull.
	pulledAt     time.Time
	pullInterval time.Duration
	// firstLimit and sharedLimit bound what is sent about first crashes and about shared
	// requests, receiveLimit what is accepted about first crashes.
	firstLimit, sharedLimit, receiveLimit byteLimit
	// unreported holds the records of the next report to the collectors, reportedAt is when
	// the last one was sent.
	unreported []Record
	reportedAt time.Time
}

// NewExchange returns an exchange of the requests that a state suspects.
func NewExchange(s *State, f Fleet) *Exchange {
	send := byteLimit{rate: sendBytesPerSecond, burst: sendBurstBytes}
	return &Exchange{
		state: s, fleet: f, firstLimit: send, sharedLimit: send, receiveLimit: byteLimit{rate: receiveBytesPerSecond, burst: receiveBurstBytes},
	}
}

// Updates returns the records that changed by events at this router or with time, and the
// records to send to other routers.
func (x *Exchange) Updates(now time.Time) ([]Record, []Outgoing) {
	if x.state.NothingPending() && len(x.unreported) == 0 {
		return nil, nil
	}
	collectors := x.fleet.Ranked(now, collectorsKey, collectorCount)
	x.state.DeferToCollectors(len(collectors) == collectorCount)
	updates := x.state.Updates(now)
	shared, first := x.split(updates)
	return updates, append(x.gossip(now, shared), x.report(now, collectors, first)...)
}

// Receive merges another router's records, and returns the records that changed by it and the
// records to send to other routers.
func (x *Exchange) Receive(now time.Time, list []Record) ([]Record, []Outgoing) {
	before := x.state.Digest()
	x.state.Merge(now, x.limitFirst(now, list))
	if x.state.Digest() != before {
		x.pullInterval = minPullInterval
	}
	updates := x.state.Updates(now)
	shared, _ := x.split(updates)
	return updates, x.gossip(now, shared)
}

// limitFirst drops records of first crashes that exceed the receive limit.
func (x *Exchange) limitFirst(now time.Time, list []Record) []Record {
	var known, first []Record
	for _, r := range list {
		if len(r.Crashes) < minCrashesToReject {
			first = append(first, r)
		} else {
			known = append(known, r)
		}
	}
	return append(known, x.receiveLimit.admit(now, first, 1)...)
}

// split separates the records for all routers from those for the collectors only. Parts of prompts
// come first in each, since there are fewer of them, and requests with them are new each time.
func (x *Exchange) split(updates []Record) (shared, first []Record) {
	updates = slices.Clone(updates)
	slices.SortStableFunc(updates, func(a, b Record) int { return strings.Compare(b.Part, a.Part) })
	for _, r := range updates {
		if x.state.Shared(r.Key) {
			shared = append(shared, r)
		} else {
			first = append(first, r)
		}
	}
	return shared, first
}

// gossip returns records to send to a few random routers, which do the same.
func (x *Exchange) gossip(now time.Time, list []Record) []Outgoing {
	if len(list) == 0 {
		return nil
	}
	peers := x.fleet.RandomPeers(now)
	list = x.sharedLimit.admit(now, list, len(peers))
	if len(list) == 0 {
		return nil
	}
	out := make([]Outgoing, 0, len(peers))
	for _, to := range peers {
		out = append(out, Outgoing{To: to, Records: list})
	}
	return out
}

// report returns what to send to the collectors: the changes since the last report. Each
// crash gets a record of its own, since a record with two crashes is for all routers.
func (x *Exchange) report(now time.Time, collectors []string, updates []Record) []Outgoing {
	var list []Record
	for _, r := range updates {
		for _, c := range r.Crashes {
			r.Crashes = []Crash{c}
			list = append(list, r)
		}
	}
	x.unreported = append(x.unreported, x.firstLimit.admit(now, list, len(collectors))...)
	if len(x.unreported) == 0 || now.Sub(x.reportedAt) < collectInterval {
		return nil
	}
	out := make([]Outgoing, 0, len(collectors))
	for _, to := range collectors {
		out = append(out, Outgoing{To: to, Records: x.unreported})
	}
	x.unreported, x.reportedAt = nil, now
	return out
}

// ShouldPull reports whether to pull all records from a router with this digest. Gossip reaches
// nearly all routers at once; a pull is for those that were unreachable or missed it.
func (x *Exchange) ShouldPull(now time.Time, digest uint64) bool {
	if digest == x.state.Digest() || digest == 0 || now.Sub(x.pulledAt) < x.pullInterval {
		return false
	}
	x.pulledAt = now
	x.pullInterval = min(max(2*x.pullInterval, minPullInterval), maxPullInterval)
	return true
}

// All returns the records to send to a router that pulls all.
func (x *Exchange) All(now time.Time) []Record {
	return x.sharedLimit.admit(now, x.state.AllShared(now), 1)
}

// byteLimit is a leaky bucket: the used bytes drain at rate bytes a second, and records are
// admitted until they exceed burst.
type byteLimit struct {
	rate, burst, used float64
	updatedAt         time.Time
}

// admit returns the start of a list that the limit allows to send to a number of routers.
func (l *byteLimit) admit(now time.Time, list []Record, to int) []Record {
	l.used = max(l.used-now.Sub(l.updatedAt).Seconds()*l.rate, 0)
	l.updatedAt = now
	for i, r := range list {
		if l.used > l.burst {
			return list[:i]
		}
		l.used += float64(to * r.size())
	}
	return list
}

// size returns about how many bytes a record takes in a message.
func (r Record) size() int {
	n := recordOverheadBytes + len(r.Organisation) + len(r.Part)
	for _, c := range r.Crashes {
		n += len(c.Target)
	}
	return n
}
