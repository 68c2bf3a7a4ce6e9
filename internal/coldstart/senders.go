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
	// own is this router's hash, others those of the other routers that may be senders, as
	// of at; among is set if this one may be.
	own    uint64
	others []uint64
	among  bool
	at     time.Time
}

// NewSenders returns the rights of a router that joins the fleet now.
func NewSenders(now time.Time, f Fleet, self message.RouterID) *Senders {
	return &Senders{fleet: f, self: self, joined: now, own: rendezvous.Hash(string(self))}
}

// Join notes that the router has just come, or come back from a suspension.
func (s *Senders) Join(now time.Time) { s.joined = now }

// SendLimit returns how many requests the router may send to a cold target in a second: the senders
// are those that rank first for the target.
func (s *Senders) SendLimit(now time.Time, target string, r Rate) int {
	if now.Sub(s.joined) < joinTime {
		return 0
	}
	if now.Sub(s.at) >= rightTime {
		s.look(now)
	}
	if !s.among {
		return 0
	}
	hash := rendezvous.Hash(target)
	own, before := rendezvous.WeightFromHashes(hash, s.own), 0
	for _, other := range s.others {
		if rendezvous.WeightFromHashes(hash, other) > own {
			before++
		}
	}
	return r.SendLimit(before, len(s.others)+1)
}

// look looks who may be a sender.
func (s *Senders) look(now time.Time) {
	s.at, s.among, s.others = now, false, s.others[:0]
	if !s.fleet.Majority(now) {
		return
	}
	largest := 0.0
	for router := range s.fleet.Each(now) {
		largest = max(largest, router.Capacity)
	}
	for router := range s.fleet.Each(now) {
		switch {
		case router.Capacity*100 < largest*largePart:
		case router.ID == s.self:
			s.among = true
		default:
			s.others = append(s.others, rendezvous.Hash(string(router.ID)))
		}
	}
}
