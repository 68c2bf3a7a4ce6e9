// Package member knows which routers are alive, leaving or gone, from the
// platform's lagging list of boxes and from the routers' own reports.
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

// Member is a router as others see it.
type Member struct {
	ID          message.RouterID
	Zone        string
	Address     string
	Peer        string
	Incarnation uint64
	Leaving     bool
}

// Table is one router's knowledge of the fleet's routers, itself included.
// Use New to make one.
type Table struct {
	self    Member
	timeout time.Duration
	started time.Time
	others  map[message.RouterID]*entry
}

type entry struct {
	member Member
	heard  time.Time
	listed bool
}

// New returns a table that holds only self. A router that was not heard for
// timeout counts as gone; one that is listed but was never heard counts as
// alive for that long after now.
func New(self Member, timeout time.Duration, now time.Time) *Table {
	return &Table{self: self, timeout: timeout, started: now, others: map[message.RouterID]*entry{}}
}

// Self returns the router itself.
func (t *Table) Self() Member { return t.self }

// Leave marks the router itself as leaving.
func (t *Table) Leave() { t.self.Leaving = true }

// Listed takes over the platform's list of routers.
func (t *Table) Listed(boxes []config.Box) {
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
		return !e.listed && e.heard.IsZero()
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

// Heard notes that a message came from m. It returns false for a message
// from an incarnation older than one that is alive, and for one of this
// router's own name, as of its last incarnation. Incarnations are times of
// day, which may be set back: an older one that speaks after the newer has
// fallen silent is a restart.
func (t *Table) Heard(m Member, now time.Time) bool {
	if m.ID == t.self.ID {
		return false
	}
	e := t.entry(m.ID)
	if m.Incarnation < e.member.Incarnation && t.alive(e, now) {
		return false
	}
	if m.Incarnation == e.member.Incarnation {
		m.Leaving = m.Leaving || e.member.Leaving
	}
	e.member = m
	e.heard = now
	return true
}

// Alive reports whether another router is believed to be running.
func (t *Table) Alive(id message.RouterID, now time.Time) bool {
	e := t.others[id]
	return e != nil && t.alive(e, now)
}

func (t *Table) alive(e *entry, now time.Time) bool {
	if e.heard.IsZero() {
		return e.listed && now.Sub(t.started) < t.timeout
	}
	return now.Sub(e.heard) < t.timeout
}

// Others returns every other router that is listed or alive, by id; messages
// go to these, since one that is listed but silent may be cut off.
func (t *Table) Others(now time.Time) []Member {
	return t.collect(func(e *entry) bool { return e.listed || t.alive(e, now) })
}

// Live returns the routers that may own engines: alive, this router
// included, and not leaving.
func (t *Table) Live(now time.Time) []Member {
	live := t.collect(func(e *entry) bool { return t.alive(e, now) && !e.member.Leaving })
	if !t.self.Leaving {
		live = append(live, t.self)
		slices.SortFunc(live, byID)
	}
	return live
}

// Lookup returns another router by its id.
func (t *Table) Lookup(id message.RouterID) (Member, bool) {
	e := t.others[id]
	if e == nil {
		return Member{}, false
	}
	return e.member, true
}

func (t *Table) collect(keep func(*entry) bool) []Member {
	var list []Member
	for _, e := range t.others {
		if keep(e) {
			list = append(list, e.member)
		}
	}
	slices.SortFunc(list, byID)
	return list
}

func byID(a, b Member) int { return cmp.Compare(a.ID, b.ID) }

// Owner returns which of the live routers owns an engine: the highest by
// rendezvous hashing, among those of the engine's availability zone if there
// are any. Every router that sees the same members names the same owner.
func Owner(engine, zone string, live []Member) (Member, bool) {
	owner, found := highest(engine, live, func(m Member) bool { return m.Zone == zone })
	if found {
		return owner, true
	}
	return highest(engine, live, func(Member) bool { return true })
}

func highest(key string, live []Member, keep func(Member) bool) (best Member, found bool) {
	var top uint64
	for _, m := range live {
		if !keep(m) {
			continue
		}
		if h := rendezvous.Weight(key, string(m.ID)); !found || h > top {
			best, top, found = m, h, true
		}
	}
	return best, found
}

// First returns the n members of an availability zone that rank first for a
// key by rendezvous hashing, among those given.
func First(n int, key, zone string, live []Member) []Member {
	local := slices.DeleteFunc(slices.Clone(live), func(m Member) bool { return m.Zone != zone })
	return first(n, rank(key, local))
}

// Spread returns the n members that rank first for a key by rendezvous
// hashing, the first of each availability zone before the second of any.
func Spread(n int, key string, list []Member) []Member {
	all := rank(key, list)
	taken := map[string]int{}
	for i := range all {
		all[i].place = taken[all[i].Zone]
		taken[all[i].Zone]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.place, b.place) })
	return first(n, all)
}

// ranked is a member with its weight for a key, worked out once, and its place
// among those of its availability zone.
type ranked struct {
	Member
	weight uint64
	place  int
}

// rank returns members by their weights for a key, highest first.
func rank(key string, list []Member) []ranked {
	out := make([]ranked, 0, len(list))
	for _, m := range list {
		out = append(out, ranked{Member: m, weight: rendezvous.Weight(key, string(m.ID))})
	}
	slices.SortFunc(out, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	return out
}

// first returns the first n members.
func first(n int, list []ranked) []Member {
	out := make([]Member, 0, min(n, len(list)))
	for _, r := range list[:min(n, len(list))] {
		out = append(out, r.Member)
	}
	return out
}
