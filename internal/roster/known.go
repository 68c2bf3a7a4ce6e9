package roster

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

// Live returns the records of the routers that count as running and are not leaving, this one
// included, sorted by id. While this router is isolated, it returns only this router's own.
func (r *Roster) Live(now time.Time) []message.RouterRecord {
	return slices.SortedFunc(r.Each(now), byID)
}

// Each yields the records that Live returns, unsorted and without allocating a list.
func (r *Roster) Each(now time.Time) iter.Seq[message.RouterRecord] {
	return func(yield func(message.RouterRecord) bool) {
		if !r.self.Leaving && !yield(r.self) {
			return
		}
		for e := range r.runningPeers(now) {
			if !e.Leaving && !yield(e.RouterRecord) {
				return
			}
		}
	}
}

// Leaving yields the records of the other running routers that have begun a planned stop.
func (r *Roster) Leaving(now time.Time) iter.Seq[message.RouterRecord] {
	return func(yield func(message.RouterRecord) bool) {
		for e := range r.runningPeers(now) {
			if e.RouterRecord.Leaving && !yield(e.RouterRecord) {
				return
			}
		}
	}
}

// Serving returns the records of the other running routers that serve callers' requests, sorted
// by id.
func (r *Roster) Serving(now time.Time) []message.RouterRecord {
	var list []message.RouterRecord
	for e := range r.runningPeers(now) {
		if e.Serving {
			list = append(list, e.RouterRecord)
		}
	}
	slices.SortFunc(list, byID)
	return list
}

// Ranked returns the Peer addresses of the first n live routers for a key by rendezvous
// hashing, best first. This router is left out if it is one of the n.
func (r *Roster) Ranked(now time.Time, key string, n int) []string {
	first := make([]rankedRouter, 0, n+1)
	hash := rendezvous.Hash(key)
	for other := range r.Each(now) {
		w := rendezvous.WeightFromHashes(hash, rendezvous.Hash(string(other.ID)))
		at, _ := slices.BinarySearchFunc(first, w, func(e rankedRouter, w uint64) int { return cmp.Compare(w, e.weight) })
		if at >= n {
			continue
		}
		first = slices.Insert(first, at, rankedRouter{weight: w, id: other.ID, peer: other.Peer})
		first = first[:min(len(first), n)]
	}
	var list []string
	for _, e := range first {
		if e.id != r.self.ID {
			list = append(list, e.peer)
		}
	}
	return list
}

// First reports whether this router ranks first for a key among the live routers by rendezvous hashing.
func (r *Roster) First(now time.Time, key string) bool {
	hash := rendezvous.Hash(key)
	own := rendezvous.WeightFromHashes(hash, rendezvous.Hash(string(r.self.ID)))
	for other := range r.Each(now) {
		if other.ID != r.self.ID && rendezvous.WeightFromHashes(hash, rendezvous.Hash(string(other.ID))) > own {
			return false
		}
	}
	return true
}

// Size returns the number of live routers, this one included.
func (r *Roster) Size(now time.Time) int {
	n := 0
	for range r.Each(now) {
		n++
	}
	return n
}

// rankedRouter is a router and its rendezvous weight for a key.
type rankedRouter struct {
	weight uint64
	id     message.RouterID
	peer   string
}

// Zone returns the availability zone of another router, empty if the router is not known.
func (r *Roster) Zone(id message.RouterID) string {
	if e := r.peers[id]; e != nil {
		return e.Zone
	}
	return ""
}

// LastHeard returns when the last message from any other router arrived; the start time before that.
func (r *Roster) LastHeard() time.Time { return r.lastHeard }

// CountOthers returns the number of other routers that count as running.
func (r *Roster) CountOthers(now time.Time) int {
	n := 0
	for range r.runningPeers(now) {
		n++
	}
	return n
}

// Majority reports whether this router is in the larger part of a network partition: most of
// the routers that it knows are alive, and so are most of the seeds. The seeds are checked
// because right after a start a router knows nothing of the other parts, while all routers have
// the same seeds. An isolated router is in the majority only if the platform's list says that
// there is no other.
func (r *Roster) Majority(now time.Time) bool {
	if r.isolated(now) && (len(r.peerList) > 0 || !r.listReceived) {
		return false
	}
	alive, all := 1, 1
	for _, e := range r.peerList {
		if !e.hasRecord() && !e.listed {
			continue
		}
		all++
		if e.hasRecord() && e.State == message.Alive {
			alive++
		}
	}
	return 2*alive > all && r.mostSeedsAlive()
}

// mostSeedsAlive reports whether most of the seeds are alive. This router counts if it is one.
func (r *Roster) mostSeedsAlive() bool {
	if len(r.seeds) == 0 {
		return true
	}
	running, all := 0, len(r.seeds)
	if r.isSeed {
		running, all = running+1, all+1
	}
	for _, e := range r.peerList {
		if e.hasRecord() && e.State == message.Alive && slices.Contains(r.seeds, e.Peer) {
			running++
		}
	}
	return 2*running > all
}

// Member returns the member that a record describes.
func Member(r message.RouterRecord) member.Member {
	return member.Member{
		ID: r.ID, Zone: r.Zone, Address: r.Address, Peer: r.Peer, Incarnation: r.Incarnation, Leaving: r.Leaving,
	}
}

// byID compares records by id.
func byID(a, b message.RouterRecord) int { return cmp.Compare(a.ID, b.ID) }

// runningPeers yields the other routers that count as running, none while this router is
// isolated.
func (r *Roster) runningPeers(now time.Time) iter.Seq[*entry] {
	return func(yield func(*entry) bool) {
		if r.isolated(now) {
			return
		}
		for _, e := range r.peerList {
			if r.countsAsRunning(now, e) && !yield(e) {
				return
			}
		}
	}
}

// countsAsRunning reports whether to treat a router as running: a message from it arrived
// within isolationTimeout, or its record does not say that it is gone. A listed router without a
// record counts as running for listedGracePeriod.
func (r *Roster) countsAsRunning(now time.Time, e *entry) bool {
	if !e.lastHeard.IsZero() && now.Sub(e.lastHeard) < isolationTimeout {
		return true
	}
	if !e.hasRecord() {
		return e.listed && now.Sub(e.stateSince) < listedGracePeriod
	}
	return e.State != message.Gone
}

// hash returns a hash of a record's id, incarnation and version.
func hash(r message.RouterRecord) uint64 {
	return mix(mix(rendezvous.Hash(string(r.ID))^r.Incarnation) ^ r.Version)
}

// mix is a bijective bit mixer: it alternates between folding high bits onto low ones and
// multiplying by random odd numbers.
func mix(x uint64) uint64 {
	const a, b = 0xd6e8feb86659fd93, 0xa0761d6478bd642f
	x = (x ^ x>>32) * a
	x = (x ^ x>>29) * b
	return x ^ x>>32
}
