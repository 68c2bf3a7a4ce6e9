package coldstart

import (
	"iter"
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

const (
	// joinTime is how long after its start, or after its box was suspended, a router sends
	// nothing to cold targets: by then it knows who else runs, and they know of it.
	joinTime = 2 * time.Second
	// rightTime is for how long a right to send is used before it is worked out anew.
	rightTime = 50 * time.Millisecond
	// largePart is the part, in percent, of the largest capacity that a sender has at least:
	// callers are told the addresses of large boxes, so that small ones have little to send.
	largePart = 50
)

// Fleet knows which routers run.
type Fleet interface {
	// Each returns the routers that are believed to be running and not leaving, this
	// one included.
	Each(now time.Time) iter.Seq[message.RouterRecord]
	// Majority reports whether this router hears most of the routers that it knows.
	Majority(now time.Time) bool
}

// Senders decides whether a router may send to cold targets. Use NewSenders to make one; one
// goroutine drives it.
type Senders struct {
	fleet  Fleet
	self   message.RouterID
	joined time.Time
	// parts has what was worked out last, by target, as of at.
	parts map[string]int
	at    time.Time
}

// NewSenders returns the rights of a router that joins the fleet now.
func NewSenders(now time.Time, f Fleet, self message.RouterID) *Senders {
	return &Senders{fleet: f, self: self, joined: now, parts: map[string]int{}}
}

// Join notes that the router has just come, or come back from a suspension.
func (s *Senders) Join(now time.Time) {
	s.joined = now
	clear(s.parts)
}

// Part returns how many requests the router may send to a cold target in a second.
func (s *Senders) Part(now time.Time, target string, r Rate) int {
	if now.Sub(s.joined) < joinTime {
		return 0
	}
	if now.Sub(s.at) >= rightTime {
		s.at = now
		clear(s.parts)
	}
	part, known := s.parts[target]
	if !known {
		part = s.part(now, target, r)
		s.parts[target] = part
	}
	return part
}

// part works out the right: the senders are those that rank first for the target.
func (s *Senders) part(now time.Time, target string, r Rate) int {
	if !s.fleet.Majority(now) {
		return 0
	}
	largest := 0.0
	for router := range s.fleet.Each(now) {
		largest = max(largest, router.Capacity)
	}
	hash := rendezvous.Hash(target)
	own := rendezvous.WeightOf(hash, rendezvous.Hash(string(s.self)))
	routers, before, among := 0, 0, false
	for router := range s.fleet.Each(now) {
		if router.Capacity*100 < largest*largePart {
			continue
		}
		routers++
		switch {
		case router.ID == s.self:
			among = true
		case rendezvous.WeightOf(hash, rendezvous.Hash(string(router.ID))) > own:
			before++
		}
	}
	if !among {
		return 0
	}
	return r.Part(before, routers)
}
