package quarantine

import "time"

const (
	// askPause is the least time between requests for all that another router knows of
	// suspected requests. Each that brings nothing doubles it, up to askPauseMost:
	// routers that each had to forget another part never agree.
	askPause     = 250 * time.Millisecond
	askPauseMost = 30 * time.Second
	// collectors is the number of routers that put together what ended where: one may be
	// gone, or another be in its place for somebody. They rank first for collectorsKey.
	collectors    = 3
	collectorsKey = "collect suspected requests"
	// collectPause is the least time between two reports to them.
	collectPause = 50 * time.Millisecond
	// tellRate is what a router tells of suspected requests, in bytes a second, beyond a
	// burst of tellBurst bytes: what runs at two engines, told to the collectors. What goes
	// over is not told: to forget a bystander does no harm, and what ends targets comes
	// again.
	tellRate  = 1000
	tellBurst = 8 << 10
	// takeRate and takeBurst are the same for what a collector takes in: at some 10
	// microseconds a record 0.1% of a core.
	takeRate  = 10_000
	takeBurst = 128 << 10
	// recordBytes is about what a record takes beside its names, its part of a message
	// included.
	recordBytes = 64
)

// Fleet says which routers there are, by the addresses at which they hear of suspected
// requests.
type Fleet interface {
	// Few returns a few other routers, drawn at random.
	Few(now time.Time) []string
	// Ranked returns the n routers that rank first for a key, this one left out if it is
	// among them.
	Ranked(now time.Time, key string, n int) []string
}

// Parcel is what one router is to be told.
type Parcel struct {
	To      string
	Records []Record
}

// Exchange decides which routers hear of the requests that a State suspects. The first
// end of a target under a request is told to a few collectors only: dozens of requests run
// beside each crash, and told to all, what ran at a zone of engines that went dark cost the
// fleet more than the fault. From the second on all routers hear of it, from a few who pass it
// on; where the two came together, the collectors decide, who know what else ended. Use
// NewExchange to make one; it is driven by the goroutine that drives the State.
type Exchange struct {
	state *State
	fleet Fleet
	// asked is when another router was last asked for all that it knows, pause for how
	// long none is asked then.
	asked time.Time
	pause time.Duration
	// first and common bound what is told of first ends and of what all are to know, taken
	// what is taken in of first ends.
	first, common, taken allowance
	// waiting is what the collectors are to be told next, collected when they last were.
	waiting   []Record
	collected time.Time
}

// NewExchange returns an exchange of what a state suspects.
func NewExchange(s *State, f Fleet) *Exchange {
	tells := allowance{rate: tellRate, burst: tellBurst}
	return &Exchange{
		state: s, fleet: f, first: tells, common: tells, taken: allowance{rate: takeRate, burst: takeBurst},
	}
}

// Found returns what is newly known because of what happened at this router, or with time,
// and who is to be told of it.
func (x *Exchange) Found(now time.Time) ([]Record, []Parcel) {
	if x.state.Quiet() && len(x.waiting) == 0 {
		return nil, nil
	}
	others := x.fleet.Ranked(now, collectorsKey, collectors)
	x.state.Defer(len(others) == collectors)
	news := x.state.News(now)
	common, first := x.divide(news)
	return news, append(x.flood(now, common), x.collect(now, others, first)...)
}

// Heard takes in what another router knows, and returns what of it is news here and who is
// to be told.
func (x *Exchange) Heard(now time.Time, list []Record) ([]Record, []Parcel) {
	before := x.state.Digest()
	x.state.Merge(now, x.bounded(now, list))
	if x.state.Digest() != before {
		x.pause = askPause
	}
	news := x.state.News(now)
	common, _ := x.divide(news)
	return news, x.flood(now, common)
}

// bounded returns what is to be taken in of a list: what others tell of first ends is bounded.
func (x *Exchange) bounded(now time.Time, list []Record) []Record {
	var known, first []Record
	for _, r := range list {
		if len(r.Crashes) < pausedFrom {
			first = append(first, r)
		} else {
			known = append(known, r)
		}
	}
	return append(known, x.taken.take(now, first, 1)...)
}

// divide tells apart what all routers are to know and what its collectors are.
func (x *Exchange) divide(news []Record) (common, first []Record) {
	for _, r := range news {
		if x.state.Common(r.Key) {
			common = append(common, r)
		} else {
			first = append(first, r)
		}
	}
	return common, first
}

// flood tells a few others, who do the same.
func (x *Exchange) flood(now time.Time, list []Record) []Parcel {
	if len(list) == 0 {
		return nil
	}
	few := x.fleet.Few(now)
	list = x.common.take(now, list, len(few))
	if len(list) == 0 {
		return nil
	}
	out := make([]Parcel, 0, len(few))
	for _, to := range few {
		out = append(out, Parcel{To: to, Records: list})
	}
	return out
}

// collect tells the collectors, who may be others, of what was found since they were last
// told. They are told of each end apart: two ends in one record are for all to know.
func (x *Exchange) collect(now time.Time, others []string, news []Record) []Parcel {
	var list []Record
	for _, r := range news {
		for _, c := range r.Crashes {
			r.Crashes = []Crash{c}
			list = append(list, r)
		}
	}
	x.waiting = append(x.waiting, x.first.take(now, list, len(others))...)
	if len(x.waiting) == 0 || now.Sub(x.collected) < collectPause {
		return nil
	}
	out := make([]Parcel, 0, len(others))
	for _, to := range others {
		out = append(out, Parcel{To: to, Records: x.waiting})
	}
	x.waiting, x.collected = nil, now
	return out
}

// Differs reports whether to ask a router for all that it knows, given its digest. News
// reach nearly all at once; this is for who was away, or missed them.
func (x *Exchange) Differs(now time.Time, digest uint64) bool {
	if digest == x.state.Digest() || digest == 0 || now.Sub(x.asked) < x.pause {
		return false
	}
	x.asked = now
	x.pause = min(max(2*x.pause, askPause), askPauseMost)
	return true
}

// All returns what a router is told that asks for all.
func (x *Exchange) All(now time.Time) []Record {
	return x.common.take(now, x.state.AllCommon(now), 1)
}

// allowance bounds what is told: rate bytes a second beyond a burst. A new one has a whole
// burst left.
type allowance struct {
	rate, burst, used float64
	at                time.Time
}

// take returns as much of a list as may be told to so many routers.
func (a *allowance) take(now time.Time, list []Record, to int) []Record {
	a.used = max(a.used-now.Sub(a.at).Seconds()*a.rate, 0)
	a.at = now
	for i, r := range list {
		if a.used > a.burst {
			return list[:i]
		}
		a.used += float64(to * r.size())
	}
	return list
}

// size returns about how many bytes it takes to tell of a record.
func (r Record) size() int {
	n := recordBytes + len(r.Organisation)
	for _, c := range r.Crashes {
		n += len(c.Target)
	}
	return n
}
