// Package member tracks which routers are alive, leaving or gone, from the
// platform's list of boxes, which lags behind, and from the routers' reports.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

// Member describes a router to the other routers. Callers connect to Address, and
// other routers to Peer.
type Member struct {
	ID          message.RouterID
	Zone        string
	Address     string
	Peer        string
	Incarnation uint64
	Leaving     bool
}

// Table lists the routers that one router knows of, itself included. Use New
// to make one.
type Table struct {
	self    Member
	timeout time.Duration
	started time.Time
	others  map[message.RouterID]*entry
}

type entry struct {
	member        Member
	lastMessageAt time.Time
	listed        bool
}

// New returns a table that holds only self. A router counts as gone when no
// message has come from it for timeout. A listed router that has sent nothing
// yet counts as alive until timeout after now.
func New(self Member, timeout time.Duration, now time.Time) *Table {
	return &Table{self: self, timeout: timeout, started: now, others: map[message.RouterID]*entry{}}
}

// Self returns the local router.
func (t *Table) Self() Member { return t.self }

// MarkLeaving marks the local router as leaving.
func (t *Table) MarkLeaving() { t.self.Leaving = true }

// SetListed replaces the platform's list of routers.
func (t *Table) SetListed(boxes []config.Box) {
	for _, e := range t.others {
		e.listed = false
	}
	for _, b := range boxes {
		id := message.RouterID(b.Name)
		if id == t.self.ID {
			continue
		}
		e := t.entry(id)
		e.listed = true
		e.member.Zone, e.member.Address, e.member.Peer = b.Zone, b.Address, b.Peer
		e.member.Leaving = e.member.Leaving || b.Leaving
	}
	maps.DeleteFunc(t.others, func(_ message.RouterID, e *entry) bool {
		return !e.listed && e.lastMessageAt.IsZero()
	})
}

func (t *Table) entry(id message.RouterID) *entry {
	e := t.others[id]
	if e == nil {
		e = &entry{member: Member{ID: id}}
		t.others[id] = e
	}
	return e
}

// RecordMessage records a message from m. It returns false if the message is to
// be ignored: it is from an older incarnation of a router that is alive, or from
// the local router's own ID, as its last incarnation may have sent it.
// Incarnations are wall-clock times, and clocks may be set back: a lower
// incarnation counts as a restart once the higher one has timed out.
func (t *Table) RecordMessage(m Member, now time.Time) bool {
	if m.ID == t.self.ID {
		return false
	}
	e := t.entry(m.ID)
	if m.Incarnation < e.member.Incarnation && t.isAlive(e, now) {
		return false
	}
	if m.Incarnation == e.member.Incarnation {
		m.Leaving = m.Leaving || e.member.Leaving
	}
	e.member = m
	e.lastMessageAt = now
	return true
}

// Alive reports whether another router is believed to be running.
func (t *Table) Alive(id message.RouterID, now time.Time) bool {
	e := t.others[id]
	return e != nil && t.isAlive(e, now)
}

func (t *Table) isAlive(e *entry, now time.Time) bool {
	if e.lastMessageAt.IsZero() {
		return e.listed && now.Sub(t.started) < t.timeout
	}
	return now.Sub(e.lastMessageAt) < t.timeout
}

// Others returns every other router that is listed or alive, sorted by ID.
// These get this router's messages: one that is listed but silent may only be
// cut off by the network.
func (t *Table) Others(now time.Time) []Member {
	return t.filter(func(e *entry) bool { return e.listed || t.isAlive(e, now) })
}

// Live returns the routers that may own engines, sorted by ID: those alive
// and not leaving, the local router included.
func (t *Table) Live(now time.Time) []Member {
	live := t.filter(func(e *entry) bool { return t.isAlive(e, now) && !e.member.Leaving })
	if !t.self.Leaving {
		live = append(live, t.self)
		slices.SortFunc(live, byID)
	}
	return live
}

// Lookup returns another router by its ID, alive or not.
func (t *Table) Lookup(id message.RouterID) (Member, bool) {
	e := t.others[id]
	if e == nil {
		return Member{}, false
	}
	return e.member, true
}

func (t *Table) filter(include func(*entry) bool) []Member {
	var list []Member
	for _, e := range t.others {
		if include(e) {
			list = append(list, e.member)
		}
	}
	slices.SortFunc(list, byID)
	return list
}

func byID(a, b Member) int { return cmp.Compare(a.ID, b.ID) }

// Owner returns which of the live routers owns an engine: the one with the
// highest rendezvous weight in the engine's availability zone, or in the whole
// fleet if that zone has no live router. Routers with the same list of live
// members compute the same owner.
func Owner(engine, zone string, live []Member) (Member, bool) {
	owner, found := highestWeight(engine, live, func(m Member) bool { return m.Zone == zone })
	if found {
		return owner, true
	}
	return highestWeight(engine, live, func(Member) bool { return true })
}

func highestWeight(key string, live []Member, include func(Member) bool) (best Member, found bool) {
	var top uint64
	for _, m := range live {
		if !include(m) {
			continue
		}
		if h := rendezvous.Weight(key, string(m.ID)); !found || h > top {
			best, top, found = m, h, true
		}
	}
	return best, found
}

// TopInZone returns the n members of an availability zone with the highest
// rendezvous weights for a key.
func TopInZone(n int, key, zone string, live []Member) []Member {
	local := slices.DeleteFunc(slices.Clone(live), func(m Member) bool { return m.Zone != zone })
	return firstMembers(n, rank(key, local))
}

// TopAcrossZones returns n members by their rendezvous weights for a key, highest
// first, but spread over availability zones: the first of each zone comes before
// the second of any.
func TopAcrossZones(n int, key string, list []Member) []Member {
	all := rank(key, list)
	taken := map[string]int{}
	for i := range all {
		all[i].zoneRank = taken[all[i].Zone]
		taken[all[i].Zone]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.zoneRank, b.zoneRank) })
	return firstMembers(n, all)
}

// ranked is a member with its weight for a key, computed once, and its rank
// within its availability zone.
type ranked struct {
	Member
	weight   uint64
	zoneRank int
}

// rank sorts members by their weights for a key, highest first.
func rank(key string, list []Member) []ranked {
	out := make([]ranked, 0, len(list))
	for _, m := range list {
		out = append(out, ranked{Member: m, weight: rendezvous.Weight(key, string(m.ID))})
	}
	slices.SortFunc(out, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	return out
}

func firstMembers(n int, list []ranked) []Member {
	out := make([]Member, 0, min(n, len(list)))
	for _, r := range list[:min(n, len(list))] {
		out = append(out, r.Member)
	}
	return out
}
