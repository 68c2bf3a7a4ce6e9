// Package freshness tracks how old a router's copy of the store's objects is: for each kind, the time
// since the store is known to have held nothing newer. A router learns this from its own calls to the
// store and from other routers, and reads the store itself when it has not been told for too long,
// whatever the reason.
//
// A Tracker reads no clock and must be used from one goroutine.
package freshness

import (
	"math"
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
)

const (
	// behindLimit is how long a router may lack what another one has before it reads the store:
	// enough for the copy to arrive from a router in a fleet of hundreds.
	behindLimit = 700 * time.Millisecond
	// silenceLimit is the time without a message from any other router after which a router does
	// not leave it to the others to read the store.
	silenceLimit = 600 * time.Millisecond
	// promptReaders is the number of routers of an availability zone that read the store first if
	// nobody knows how recent the copies are. Their number doubles each promptStep up to
	// promptReaders, and then each laterStep: if the store is unavailable to all, most of a
	// large fleet makes no calls for some seconds.
	promptReaders = 4
	promptStep    = 100 * time.Millisecond
	laterStep     = 2 * time.Second
	// WatcherGrace is how long a router that watches the store leaves it to the others to read what its
	// own watch may still bring.
	WatcherGrace = 150 * time.Millisecond
)

// SourceStart is the source of a copy that nobody has confirmed since the router started.
const SourceStart = "start"

// Limits holds the age for each kind at which a copy is too old; zero for kinds that the router does
// not follow.
type Limits [message.StoreKindCount]time.Duration

// Tracker is one router's knowledge of how old its copy is. Use New to make one.
type Tracker struct {
	limits Limits
	copies [message.StoreKindCount]state
}

// state is that of the copy of one kind.
type state struct {
	// confirmedAt is the latest time at which the store is known to have held nothing newer, source
	// who told it.
	confirmedAt time.Time
	source      string
	// lacked are the revisions of a router that had something newer, lackedSince the time since when
	// this one has lacked that. They count only while lacked is newer than the copy.
	lacked      message.Revisions
	lackedSince time.Time
	// absent are revisions that another router had but the store did not: the store was restored from
	// an older copy, or this router cannot use what it read.
	absent message.Revisions
	// pending is the latest confirmation by a router that had something newer. It counts once the
	// copy has that.
	pending confirmation
}

// confirmation tells that the store held nothing newer than some revisions at a time.
type confirmation struct {
	revisions message.Revisions
	at        time.Time
	source    string
}

// New returns a tracker of copies that are as old as the router.
func New(now time.Time, limits Limits) *Tracker {
	t := &Tracker{limits: limits}
	for kind := range t.copies {
		t.copies[kind] = state{confirmedAt: now, source: SourceStart}
	}
	return t
}

// Follows reports whether the router follows a kind.
func (t *Tracker) Follows(kind message.StoreKind) bool { return t.limits[kind] > 0 }

// Limit returns the age at which the copy of a kind is too old.
func (t *Tracker) Limit(kind message.StoreKind) time.Duration { return t.limits[kind] }

// ConfirmByStore notes that the store held nothing newer at a time than this router's revisions, as it
// has read itself.
func (t *Tracker) ConfirmByStore(at time.Time, kind message.StoreKind, source string, own message.Revisions) {
	c := &t.copies[kind]
	if c.lacked.KindNewerThan(kind, own) && at.After(c.lackedSince) {
		c.absent, c.lacked = c.lacked, message.Revisions{}
	}
	c.confirm(at, source)
}

// confirm notes a confirmation and returns by how much the copy became more recent.
func (c *state) confirm(at time.Time, source string) time.Duration {
	gained := at.Sub(c.confirmedAt)
	if gained <= 0 {
		return 0
	}
	c.confirmedAt, c.source = at, source
	return gained
}

// Heard notes what another router tells of its copies; own are the revisions of this router's. It
// returns the largest part of a kind's limit by which a copy of this router became more recent.
func (t *Tracker) Heard(now time.Time, from string, theirs message.Revisions, ages message.Ages, own message.Revisions) float64 {
	gained := 0.0
	for kind := range message.StoreKindCount {
		if !t.Follows(kind) {
			continue
		}
		c := &t.copies[kind]
		at := now.Add(-message.UnknownAge)
		if ages.Known {
			at = now.Add(-ages.ByKind[kind])
		}
		if !theirs.KindNewerThan(kind, own) {
			gained = max(gained, c.confirm(at, from).Seconds()/t.limits[kind].Seconds())
			continue
		}
		c.pending = confirmation{revisions: theirs, at: at, source: from}
		if theirs.KindNewerThan(kind, c.absent) && !c.lacked.KindNewerThan(kind, own) {
			c.lacked, c.lackedSince = theirs, now
		}
	}
	return gained
}

// Received must be called when the copies have changed, with this router's revisions. It returns the
// largest part of a kind's limit by which a copy became more recent, since this router now has what
// another one had.
func (t *Tracker) Received(own message.Revisions) float64 {
	gained := 0.0
	for kind := range message.StoreKindCount {
		c := &t.copies[kind]
		if !t.Follows(kind) || c.pending.source == "" || c.pending.revisions.KindNewerThan(kind, own) {
			continue
		}
		gained = max(gained, c.confirm(c.pending.at, c.pending.source).Seconds()/t.limits[kind].Seconds())
		c.pending = confirmation{}
	}
	return gained
}

// Age returns how old the copy of a kind is, and who said so.
func (t *Tracker) Age(now time.Time, kind message.StoreKind) (age time.Duration, source string) {
	c := &t.copies[kind]
	return now.Sub(c.confirmedAt), c.source
}

// ConfirmedAt returns the latest time at which the store is known to have held nothing newer.
func (t *Tracker) ConfirmedAt(kind message.StoreKind) time.Time { return t.copies[kind].confirmedAt }

// Ages returns the ages of all copies, for messages.
func (t *Tracker) Ages(now time.Time) message.Ages {
	out := message.Ages{Known: true}
	for kind, c := range t.copies {
		out.ByKind[kind] = now.Sub(c.confirmedAt)
		if c.source == SourceStart {
			out.ByKind[kind] = message.UnknownAge
		}
	}
	return out
}

// Duty tells what a router reads from the store itself.
type Duty struct {
	// Watch is set if it watches all kinds for the fleet. Phase, above 0 and up to 1, is the part of a
	// watch's wait by which its watches end after those of other routers that began at the same time.
	Watch bool
	Phase float64
	// Few is set if too few routers run to watch at different times: its own watches must end before
	// its copy is too old.
	Few bool
	// Read is set for the kinds that it reads once, since its copy is too old.
	Read [message.StoreKindCount]bool
}

// Includes reports whether the router reads a kind.
func (d Duty) Includes(kind message.StoreKind) bool { return d.Watch || d.Read[kind] }

// Position tells how this router stands to the others that may read the store.
type Position struct {
	// Rank is the number of running routers of this availability zone that come before this one.
	Rank int
	// LastHeard is when the last message from any other router arrived.
	LastHeard time.Time
	// Watches is set if this router watches the store.
	Watches bool
}

// ReadDue returns when this router should read a kind from the store unless its copy is confirmed
// before, or false if it does not follow that kind.
func (t *Tracker) ReadDue(kind message.StoreKind, own message.Revisions, p Position) (time.Time, bool) {
	if !t.Follows(kind) {
		return time.Time{}, false
	}
	c := &t.copies[kind]
	old := c.confirmedAt.Add(t.limits[kind])
	if p.Watches {
		old = old.Add(WatcherGrace)
	}
	due := old.Add(turn(p.Rank))
	// Nobody else would tell this router what it read.
	if alone := p.LastHeard.Add(silenceLimit); alone.Before(due) {
		due = later(old, alone)
	}
	if behind := c.lackedSince.Add(behindLimit); c.lacked.KindNewerThan(kind, own) && behind.Before(due) {
		due = behind
	}
	return due, true
}

// turn returns how long a router leaves it to those that rank before it to read the store.
func turn(rank int) time.Duration {
	doublings := math.Log2(float64(1 + rank))
	prompt := min(doublings, math.Log2(promptReaders))
	return time.Duration(prompt*float64(promptStep) + (doublings-prompt)*float64(laterStep))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
