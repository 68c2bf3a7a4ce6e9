package coldstart

import (
	"iter"
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

const (
	// joinDelay is how long a router sends nothing to cold targets after its start, or after
	// its box was suspended: after that it knows the running routers, and they know it.
	joinDelay = 2 * time.Second
	// refreshInterval is how long the list of possible senders is reused before it is computed
	// again.
	refreshInterval = 50 * time.Millisecond
	// minCapacityPercent is the minimum capacity of a sender, in percent of the largest
	// router's: callers are given the addresses of large boxes, so small ones have little to
	// send.
	minCapacityPercent = 50
)

// Fleet knows which routers run.
type Fleet interface {
	// Each returns the routers that are believed to be running and not leaving, including this
	// one.
	Each(now time.Time) iter.Seq[message.RouterRecord]
	// Majority reports whether this router receives messages from most of the routers that it
	// knows.
	Majority(now time.Time) bool
}

// Senders decides how much a router may send to cold targets. Use NewSenders to create one;
// one goroutine drives it.
type Senders struct {
	fleet    Fleet
	self     message.RouterID
	joinedAt time.Time
	// selfHash is the hash of this router's id, peerHashes those of the other routers that may
	// be senders, as of refreshedAt; eligible is set if this router may be a sender.
	selfHash    uint64
	peerHashes  []uint64
	eligible    bool
	refreshedAt time.Time
}

// NewSenders returns the Senders of a router that joins the fleet now.
func NewSenders(now time.Time, f Fleet, self message.RouterID) *Senders {
	return &Senders{fleet: f, self: self, joinedAt: now, selfHash: rendezvous.Hash(string(self))}
}

// Join records that the router has just started, or resumed after its box was suspended.
func (s *Senders) Join(now time.Time) { s.joinedAt = now }

// SendLimit returns how many requests a second this router may send to a cold target. The
// senders are the routers that rank first for the target.
func (s *Senders) SendLimit(now time.Time, target string, r Rate) int {
	if now.Sub(s.joinedAt) < joinDelay {
		return 0
	}
	if now.Sub(s.refreshedAt) >= refreshInterval {
		s.refresh(now)
	}
	if !s.eligible {
		return 0
	}
	hash := rendezvous.Hash(target)
	selfWeight, rank := rendezvous.WeightFromHashes(hash, s.selfHash), 0
	for _, peer := range s.peerHashes {
		if rendezvous.WeightFromHashes(hash, peer) > selfWeight {
			rank++
		}
	}
	return r.SendLimit(rank, len(s.peerHashes)+1)
}

// refresh recomputes which routers may be senders.
func (s *Senders) refresh(now time.Time) {
	s.refreshedAt, s.eligible, s.peerHashes = now, false, s.peerHashes[:0]
	if !s.fleet.Majority(now) {
		return
	}
	largest := 0.0
	for router := range s.fleet.Each(now) {
		largest = max(largest, router.Capacity)
	}
	for router := range s.fleet.Each(now) {
		switch {
		case router.Capacity*100 < largest*minCapacityPercent:
		case router.ID == s.self:
			s.eligible = true
		default:
			s.peerHashes = append(s.peerHashes, rendezvous.Hash(string(router.ID)))
		}
	}
}
