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

// Live returns what is known of the routers that are believed to be running and
// not leaving, this one included, by id. A router that is cut off knows of none
// but itself.
func (r *Roster) Live(now time.Time) []message.RouterRecord {
	return slices.SortedFunc(r.Each(now), byID)
}

// Each returns the same as Live, in no order and without a list of them.
func (r *Roster) Each(now time.Time) iter.Seq[message.RouterRecord] {
	return func(yield func(message.RouterRecord) bool) {
		if !r.self.Leaving && !yield(r.self) {
			return
		}
		for e := range r.believedOthers(now) {
			if !e.Leaving && !yield(e.RouterRecord) {
				return
			}
		}
	}
}

// Serving returns what is known of the other routers that have callers' requests.
func (r *Roster) Serving(now time.Time) []message.RouterRecord {
	var list []message.RouterRecord
	for e := range r.believedOthers(now) {
		if e.Serving {
			list = append(list, e.RouterRecord)
		}
	}
	slices.SortFunc(list, byID)
	return list
}

// Ranked returns the Peer addresses of the n running routers that rendezvous hashing gives to
// a key, the first first. This one is left out if it is among them.
func (r *Roster) Ranked(now time.Time, key string, n int) []string {
	first := make([]ranked, 0, n+1)
	hash := rendezvous.Hash(key)
	for other := range r.Each(now) {
		w := rendezvous.WeightFromHashes(hash, rendezvous.Hash(string(other.ID)))
		at, _ := slices.BinarySearchFunc(first, w, func(e ranked, w uint64) int { return cmp.Compare(w, e.weight) })
		if at >= n {
			continue
		}
		first = slices.Insert(first, at, ranked{weight: w, id: other.ID, peer: other.Peer})
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

// ranked is a router and its weight for a key.
type ranked struct {
	weight uint64
	id     message.RouterID
	peer   string
}

// Zone returns the availability zone of another router, empty if it is not known.
func (r *Roster) Zone(id message.RouterID) string {
	if e := r.others[id]; e != nil {
		return e.Zone
	}
	return ""
}

// Others returns the number of other routers that are believed to be running.
func (r *Roster) Others(now time.Time) int {
	n := 0
	for range r.believedOthers(now) {
		n++
	}
	return n
}

// Majority reports whether the router hears most of those that it knows, or knows from the
// platform's list that there is no other, and most of its seeds: it is then not on the smaller
// side of a cut. Where all have just started nobody knows of the other sides, but all have the
// same seeds.
func (r *Roster) Majority(now time.Time) bool {
	if r.cutOff(now) && (len(r.list) > 0 || !r.informed) {
		return false
	}
	alive, all := 1, 1
	for _, e := range r.list {
		if !e.known() && !e.listed {
			continue
		}
		all++
		if e.known() && e.State == message.Alive {
			alive++
		}
	}
	return 2*alive > all && r.hearsSeeds()
}

// hearsSeeds reports whether most of the seeds run, this router included if it is one.
func (r *Roster) hearsSeeds() bool {
	if len(r.seeds) == 0 {
		return true
	}
	running, all := 0, len(r.seeds)
	if r.isSeed {
		running, all = running+1, all+1
	}
	for _, e := range r.list {
		if e.known() && e.State == message.Alive && slices.Contains(r.seeds, e.Peer) {
			running++
		}
	}
	return 2*running > all
}

// Member returns who a record is about.
func Member(r message.RouterRecord) member.Member {
	return member.Member{
		ID: r.ID, Zone: r.Zone, Address: r.Address, Peer: r.Peer, Incarnation: r.Incarnation, Leaving: r.Leaving,
	}
}

// byID orders records.
func byID(a, b message.RouterRecord) int { return cmp.Compare(a.ID, b.ID) }

// believedOthers returns the other routers that are taken to be running; none if
// this one is cut off.
func (r *Roster) believedOthers(now time.Time) iter.Seq[*entry] {
	return func(yield func(*entry) bool) {
		if r.cutOff(now) {
			return
		}
		for _, e := range r.list {
			if r.believed(now, e) && !yield(e) {
				return
			}
		}
	}
}

// believed reports whether a router is taken to be running.
func (r *Roster) believed(now time.Time, e *entry) bool {
	if !e.heard.IsZero() && now.Sub(e.heard) < silentTime {
		return true
	}
	if !e.known() {
		return e.listed && now.Sub(e.since) < startTime
	}
	return e.State != message.Gone
}

// hash returns a hash of what orders records.
func hash(r message.RouterRecord) uint64 {
	return mix(mix(rendezvous.Hash(string(r.ID))^r.Incarnation) ^ r.Version)
}

// mix spreads the bits of x: multiplied with odd numbers whose bits are as good as
// random, and the high half folded onto the low one in between.
func mix(x uint64) uint64 {
	const a, b = 0xd6e8feb86659fd93, 0xa0761d6478bd642f
	x = (x ^ x>>32) * a
	x = (x ^ x>>29) * b
	return x ^ x>>32
}
