// Package handover moves callers' connections from a router that is short of CPU time to another
// one of its availability zone. A Selector decides which connections go where, without I/O. A
// Sender connects to the other router and relays the bytes; a Receiver accepts or declines what
// other routers hand over.
package handover

import (
	"cmp"
	"iter"
	"math"
	"net"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
)

const (
	// handOverAbove is the CPU utilisation above which a router hands connections over: from there
	// on it already delays events to save CPU time (package throttle).
	handOverAbove = 0.6
	// takeBackBelow is the utilisation below which the router serves more connections itself
	// again. Between the two, the part that is handed over stays as it is: relaying lowers the
	// load, and with a single threshold the router would alternate between all and none.
	takeBackBelow = 0.5
	// handOverAllAbove is the utilisation above which all connections are handed over at once. It
	// is where requests begin to be refused for lack of CPU time.
	handOverAllAbove = 0.8
	// adjustInterval is the least time between two changes of the part that is handed over: the
	// time over which the utilisation is measured.
	adjustInterval = 100 * time.Millisecond
	// raise and lower are the changes of that part in each interval. Lowering is slower, since
	// requests that were admitted too early are refused.
	raise, lower = 0.1, 0.05
	// maxIntervals bounds how many intervals count after a time without connections.
	maxIntervals = 20
	// minCoresRatio is the least ratio of another router's cores to this one's. A smaller one would
	// be filled by the load that filled this one.
	minCoresRatio = 2
	// minBackoff and maxBackoff bound how long a router that declined, or did not answer, is not
	// tried again. The time doubles with each further failure.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// Limits bounds what a router hands over.
type Limits struct {
	// Relays is the maximum number of connections handed over at the same time, Connecting that of
	// those that another router has not accepted yet. The second one bounds the work that piles
	// up if the router is too slow even to hand its connections over.
	Relays, Connecting int
}

// Candidate is a router to which connections may be handed over.
type Candidate struct {
	ID      message.RouterID
	Address string
	Cores   float64
}

// Candidates returns those of a fleet's routers to which the router self may hand connections over:
// routers of its zone that are ready, announce a handover address and have at least twice as many
// cores. Records with an impossible address or number of cores are ignored.
func Candidates(self message.RouterRecord, fleet iter.Seq[message.RouterRecord]) []Candidate {
	var list []Candidate
	for r := range fleet {
		suits := r.ID != self.ID && r.Zone == self.Zone && r.Handover != "" && r.Ready && !r.Leaving && r.State == message.Alive
		if _, _, err := net.SplitHostPort(r.Handover); err != nil || math.IsInf(r.Capacity, 0) {
			continue
		}
		if suits && self.Capacity > 0 && r.Capacity >= minCoresRatio*self.Capacity {
			list = append(list, Candidate{ID: r.ID, Address: r.Handover, Cores: r.Capacity})
		}
	}
	slices.SortFunc(list, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// target is what a Selector knows of another router.
type target struct {
	// connecting and open are the numbers of connections offered to it and relayed to it.
	connecting, open int
	failures         int
	notBefore        time.Time
}

// idle reports whether nothing needs to be remembered of the router.
func (t *target) idle() bool { return t.connecting == 0 && t.open == 0 && t.failures == 0 }

// Selector decides which connections to hand over, and to which router. Use New to make one. It
// does no I/O and reads no clock, and must not be used by several goroutines at once.
type Selector struct {
	limits  Limits
	targets map[message.RouterID]*target
	// connecting and open are the sums over all routers.
	connecting, open int
	// part is the part of new connections to hand over, from 0 to 1, and owed the sum of the parts
	// of the connections since the last one that was handed over.
	part, owed float64
	adjustedAt time.Time
}

// New returns a selector that hands nothing over until SetLoad reports a high load.
func New(limits Limits) *Selector {
	return &Selector{limits: limits, targets: map[message.RouterID]*target{}}
}

// SetLoad adjusts the part of the connections that is handed over to the router's CPU utilisation.
// It may be called for each connection.
func (s *Selector) SetLoad(now time.Time, utilisation float64) {
	intervals := min(float64(now.Sub(s.adjustedAt)/adjustInterval), maxIntervals)
	if utilisation >= handOverAllAbove && s.part < 1 {
		intervals = max(intervals, 1)
	}
	if intervals < 1 {
		return
	}
	s.adjustedAt = now
	switch {
	case utilisation >= handOverAllAbove:
		s.part = 1
	case utilisation > handOverAbove:
		// After a pause the utilisation is that of a single interval.
		s.part = min(1, s.part+raise)
	case utilisation < takeBackBelow:
		s.part = max(0, s.part-lower*intervals)
	}
}

// Part returns the part of the new connections that is to be handed over, from 0 to 1.
func (s *Selector) Part() float64 { return s.part }

// Open returns the number of connections that are handed over now.
func (s *Selector) Open() int { return s.open }

// OpenAt returns the number of connections that are handed over to each router, for at most n of
// them.
func (s *Selector) OpenAt(n int) map[message.RouterID]int {
	at := map[message.RouterID]int{}
	for id, t := range s.targets {
		if t.open > 0 && len(at) < n {
			at[id] = t.open
		}
	}
	return at
}

// room reports whether the limits allow another connection to be handed over.
func (s *Selector) room() bool {
	return s.connecting < s.limits.Connecting && s.connecting+s.open < s.limits.Relays
}

// Wanted reports whether a new connection may be handed over.
func (s *Selector) Wanted() bool { return s.part > 0 && s.room() }

// Choose decides whether to hand a new connection over and returns the router to offer it to. It
// returns false if the connection is to be served here. random returns a number from 0 to n-1.
// Otherwise, one of Accepted and Declined must be called.
func (s *Selector) Choose(now time.Time, candidates []Candidate, random func(n int) int) (Candidate, bool) {
	if !s.Wanted() {
		return Candidate{}, false
	}
	s.owed = min(s.owed+s.part, 1)
	if s.owed < 1 {
		return Candidate{}, false
	}
	c, ok := s.choose(now, candidates, random)
	if ok {
		s.owed = 0
	}
	return c, ok
}

// ChooseAgain returns another router for a connection that one has declined.
func (s *Selector) ChooseAgain(now time.Time, candidates []Candidate, random func(n int) int) (Candidate, bool) {
	if !s.room() {
		return Candidate{}, false
	}
	return s.choose(now, candidates, random)
}

// choose picks two available routers at random and returns the one with fewer of this router's
// connections per core.
func (s *Selector) choose(now time.Time, candidates []Candidate, random func(n int) int) (Candidate, bool) {
	first, found := s.pick(now, candidates, random, "")
	if !found {
		return Candidate{}, false
	}
	if second, ok := s.pick(now, candidates, random, first.ID); ok && s.load(second) < s.load(first) {
		first = second
	}
	t := s.targets[first.ID]
	if t == nil {
		t = &target{}
		s.targets[first.ID] = t
	}
	t.connecting++
	s.connecting++
	return first, true
}

// pick returns a random one of the available routers, other than the one with id not. It starts at
// a random position, and so makes no list.
func (s *Selector) pick(now time.Time, candidates []Candidate, random func(n int) int, not message.RouterID) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	start := random(len(candidates))
	for i := range candidates {
		c := candidates[(start+i)%len(candidates)]
		if c.ID != not && s.available(now, c.ID) {
			return c, true
		}
	}
	return Candidate{}, false
}

// available reports whether a router may be tried. After a failure, only one connection at a time is
// offered until one is accepted.
func (s *Selector) available(now time.Time, id message.RouterID) bool {
	t := s.targets[id]
	if t == nil || t.failures == 0 {
		return true
	}
	return !now.Before(t.notBefore) && t.connecting == 0
}

// load returns the number of this router's connections at another one, per core.
func (s *Selector) load(c Candidate) float64 {
	t := s.targets[c.ID]
	if t == nil {
		return 0
	}
	return float64(t.connecting+t.open) / c.Cores
}

// Accepted notes that a router took the connection offered to it.
func (s *Selector) Accepted(id message.RouterID) {
	t := s.targets[id]
	t.connecting--
	s.connecting--
	t.open++
	s.open++
	t.failures = 0
	// Otherwise, Declined would take the next failure for one of before.
	t.notBefore = time.Time{}
}

// Declined notes that a router did not take the connection offered to it: it declined, did not
// answer or could not be reached.
func (s *Selector) Declined(now time.Time, id message.RouterID) {
	t := s.targets[id]
	t.connecting--
	s.connecting--
	if now.Before(t.notBefore) {
		// This connection was offered before an earlier failure became known.
		return
	}
	t.notBefore = now.Add(min(minBackoff<<min(t.failures, 10), maxBackoff))
	t.failures++
}

// Cancelled notes that the connection offered to a router was given up for a reason that says
// nothing about that router.
func (s *Selector) Cancelled(id message.RouterID) {
	t := s.targets[id]
	t.connecting--
	s.connecting--
	s.removeIdle(id)
}

// Closed notes that a connection that a router had accepted has ended.
func (s *Selector) Closed(id message.RouterID) {
	t := s.targets[id]
	t.open--
	s.open--
	s.removeIdle(id)
}

// removeIdle removes what is known of a router if that is nothing of use.
func (s *Selector) removeIdle(id message.RouterID) {
	if s.targets[id].idle() {
		delete(s.targets, id)
	}
}

// Retain removes the failures of routers that are no longer candidates, so that the memory does not
// grow with all routers that ever existed.
func (s *Selector) Retain(candidates []Candidate) {
	for id, t := range s.targets {
		if t.connecting == 0 && t.open == 0 && !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.ID == id }) {
			delete(s.targets, id)
		}
	}
}

// BackedOff returns how many routers are not tried at present, because they failed.
func (s *Selector) BackedOff(now time.Time) int {
	n := 0
	for _, t := range s.targets {
		if t.failures > 0 && now.Before(t.notBefore) {
			n++
		}
	}
	return n
}
