// Package roster knows the routers of a fleet at a cost to each that does not grow
// with their number. A router pings a few others a second, mostly of its own
// availability zone, and tells what is new to a few more, which do the same. One
// that does not answer is suspected, and gone if it does not deny that. A Roster
// is a plain state machine: time comes in through arguments, what is to be sent is
// returned, and one goroutine drives it.
package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/message"
)

const (
	// pingPeriod is the time between pings: each router is pinged as often as it
	// pings, so that one that dies is asked by somebody within about this time.
	pingPeriod = 250 * time.Millisecond
	// hastyPeriod is the same while any router is suspected: a fault seldom strikes
	// one alone. With it a lost availability zone of 30 of 90 routers is known to
	// all within 6 s instead of 8.
	hastyPeriod = 100 * time.Millisecond
	// answerTime is how long an answer may take: a round trip of some
	// milliseconds, and what a box with a fifth of a core may lie behind.
	answerTime = 300 * time.Millisecond
	// tries is the number of pings without an answer that make a router
	// suspected: one may be lost.
	tries = 2
	// suspicionTime is for how long a suspected router may deny it: news take a
	// few milliseconds each way, and a busy box may be late by a second.
	suspicionTime = 1500 * time.Millisecond
	// silentTime is after how long without any message a router takes itself to
	// be cut off: it has then sent six pings.
	silentTime = 1500 * time.Millisecond
	// startTime is for how long a router that is listed and was never heard
	// counts as alive.
	startTime = 1500 * time.Millisecond
	// forgetTime is for how long one that is gone and not listed is remembered,
	// so that old news of it are not taken for a new router.
	forgetTime = time.Minute
	// syncPause is the time between requests for all that another router knows,
	// settleTime that without news before one, and differences the number of
	// messages in a row that show another digest: news that are still on their way
	// make a few. Where 295 routers start at once, tables asked for meanwhile were
	// most of 214,000 messages and 121 MB in the first 4 s.
	syncPause   = time.Second
	settleTime  = 300 * time.Millisecond
	differences = 3
	// nearFanout and farFanout are to how many others of the own availability zone
	// and of other ones news are passed on, once. Passed on to six, they miss one
	// router in 400; that one learns from a digest. Where much is new at once, a
	// part of them do: it is cheaper then to ask one router for all that was
	// missed.
	nearFanout = 4
	farFanout  = 2
	manyPart   = 2
	// farEvery and lostEvery say which pings go to another availability zone and
	// which to a router that is gone or was never heard, since it may be back.
	// Bytes between zones are paid for, so most stay inside one; while any router
	// is suspected, half of them.
	farEvery  = 4
	farHasty  = 2
	lostEvery = 8
	// recordsEach is the number of records in one message, so that it fits into a
	// datagram.
	recordsEach = 9
)

// Send is a message to be sent to a router's Peer address.
type Send struct {
	Peer string
	Ping message.Ping
}

// entry is what is known of another router.
type entry struct {
	message.RouterRecord
	listed bool
	// heard is when it last said something, since when its State has been held.
	heard, since time.Time
	// asked is when it was last pinged without an answer yet, missed how many
	// pings before that had none.
	asked  time.Time
	missed int
}

// weight is what the entry adds to the digest.
func (e *entry) weight() uint64 {
	if !e.known() || e.State == message.Gone {
		return 0
	}
	return hash(e.RouterRecord)
}

// known reports whether anything but an entry in a list is known of the router.
func (e *entry) known() bool { return e.Incarnation > 0 }

// Roster is one router's knowledge of the fleet's routers. Use New to make one.
type Roster struct {
	self   message.RouterRecord
	seeds  []string
	isSeed bool
	random *rand.Rand
	others map[message.RouterID]*entry
	// list has the same entries in the order in which they came.
	list []*entry
	// heard is when any other router last said something, or the start.
	heard time.Time
	// pinged is when the last ping was due, pings their number.
	pinged time.Time
	pings  int
	// near are the routers of the own availability zone, far those of others.
	near, far side
	// waiting has the routers that were pinged and have not answered, suspects
	// those that are suspected.
	waiting, suspects []message.RouterID
	// news are the routers of which something is to be passed on.
	news []message.RouterID
	// learned is when anything new was last heard of another router.
	learned time.Time
	// synced is when all was last asked for.
	synced time.Time
	// changes are the beliefs that changed since they were asked for.
	changes []message.RouterRecord
	// informed is set once the platform's list of routers came.
	informed bool
	// has are this router's revisions, quarantine its digest of requests that ended
	// targets.
	has        message.Revisions
	quarantine uint64
	// digest is a hash over all that is known of routers that are not gone.
	digest uint64
}

// New returns a roster that holds only the router itself. Seeds are Peer addresses
// of routers, which may be stale.
func New(now time.Time, self message.RouterRecord, seeds []string, random *rand.Rand) *Roster {
	self.Version = 1
	r := &Roster{
		self: self, random: random, others: map[message.RouterID]*entry{},
		heard: now, pinged: now.Add(-pingPeriod), synced: now.Add(-syncPause), digest: hash(self),
	}
	for _, s := range seeds {
		if s == self.Peer {
			r.isSeed = true
			continue
		}
		r.seeds = append(r.seeds, s)
	}
	r.news = append(r.news, self.ID)
	return r
}

// Self returns what the router says of itself.
func (r *Roster) Self() message.RouterRecord { return r.self }

// Say takes over what the router says of itself; of a record, the conditions count
// and not who it is. It returns whether anything is new.
func (r *Roster) Say(said message.RouterRecord) bool {
	next := r.self
	next.Ready, next.Leaving, next.Serving = said.Ready, said.Leaving, said.Serving
	next.StoreTrouble, next.Capacity = said.StoreTrouble, said.Capacity
	if next == r.self {
		return false
	}
	next.Version++
	r.setSelf(next)
	return true
}

// Have notes which revisions of what the store holds this router has, and the digest of
// what it knows of requests that ended targets.
func (r *Roster) Have(has message.Revisions, quarantine uint64) {
	r.has, r.quarantine = has, quarantine
}

// Listed takes over the platform's list of routers.
func (r *Roster) Listed(now time.Time, boxes []config.Box) {
	r.informed = true
	for _, e := range r.others {
		e.listed = false
	}
	for _, b := range boxes {
		id := message.RouterID(b.Name)
		if id == r.self.ID {
			continue
		}
		e := r.entry(now, id)
		e.listed = true
		if !e.known() {
			e.Zone, e.Address, e.Peer = b.Zone, b.Address, b.Peer
		}
	}
	if !r.connected() {
		// Those that are listed hear of this router at once.
		r.tell(r.self.ID)
	}
}

func (r *Roster) entry(now time.Time, id message.RouterID) *entry {
	e := r.others[id]
	if e == nil {
		e = &entry{since: now}
		e.ID = id
		r.others[id] = e
		r.list = append(r.list, e)
	}
	return e
}

// Heard notes that another router said something in another way than by a ping.
func (r *Roster) Heard(now time.Time, id message.RouterID) {
	r.heard = now
	if e := r.others[id]; e != nil {
		r.alive(now, e)
	}
}

// alive notes a sign of life.
func (r *Roster) alive(now time.Time, e *entry) {
	e.heard = now
	e.asked, e.missed = time.Time{}, 0
}

// Take takes in a message and returns what to answer.
func (r *Roster) Take(now time.Time, m message.Ping) []Send {
	if m.From.ID == r.self.ID {
		return nil
	}
	// Who has just come, or comes back, hears at once what the others know.
	first := !r.connected()
	r.heard = now
	r.merge(now, m.From)
	e := r.others[m.From.ID]
	if e == nil {
		return nil
	}
	r.alive(now, e)
	for _, record := range m.Records {
		r.merge(now, record)
	}
	var out []Send
	if m.Kind == message.PingRequest {
		out = append(out, r.answer(e, m)...)
	}
	if r.wantsAll(now, e, m.Digest, first) {
		out = append(out, Send{Peer: e.Peer, Ping: r.ping(message.PingRequest, true)})
	}
	return out
}

// Awake notes that the box was suspended. Pings that were on their way say nothing of who
// did not answer, and who was suspected has had no time to deny it.
func (r *Roster) Awake(now time.Time) {
	for _, id := range r.waiting {
		if e := r.others[id]; e != nil {
			e.asked, e.missed = time.Time{}, 0
		}
	}
	r.waiting = nil
	for _, id := range r.suspects {
		if e := r.others[id]; e != nil {
			e.since = now
		}
	}
}

// connected reports whether anything is known of another router but that it is
// listed.
func (r *Roster) connected() bool {
	return slices.ContainsFunc(r.list, (*entry).known)
}

// answer returns the answer to a ping, with what the sender must know of what is
// said about itself, and all that is known if it asks for that.
func (r *Roster) answer(e *entry, m message.Ping) []Send {
	all := []message.RouterRecord{}
	if supersedes(e.RouterRecord, m.From) {
		all = append(all, e.RouterRecord)
	}
	if m.WantAll {
		for _, other := range r.list {
			if other.known() && other != e {
				all = append(all, other.RouterRecord)
			}
		}
	}
	out := []Send{{Peer: m.From.Peer, Ping: r.ping(message.PingReply, false)}}
	for i, part := range chunks(all) {
		if i > 0 {
			out = append(out, Send{Peer: m.From.Peer, Ping: r.ping(message.PingNotice, false)})
		}
		out[i].Ping.Records = part
	}
	return out
}

// wantsAll reports whether to ask the sender of a digest for all that it knows: the
// first that is met, and later one of the own availability zone, or of another
// where all in the own one agree and still differ from the rest.
func (r *Roster) wantsAll(now time.Time, e *entry, digest uint64, first bool) bool {
	differing := &r.near.differing
	if e.Zone != r.self.Zone {
		differing = &r.far.differing
	}
	*differing++
	if digest == r.digest {
		*differing = 0
	}
	soon := now.Sub(r.synced) < syncPause || now.Sub(r.learned) < settleTime
	waits := e.Zone != r.self.Zone && r.near.differing > 0
	if *differing == 0 || !first && (*differing < differences || soon || waits) {
		return false
	}
	r.near.differing, r.far.differing = 0, 0
	r.synced = now
	return true
}

// merge takes over a record if it is newer than what is known.
func (r *Roster) merge(now time.Time, n message.RouterRecord) {
	if n.ID == r.self.ID {
		r.deny(n)
		return
	}
	if r.others[n.ID] == nil && n.State == message.Gone {
		return
	}
	e := r.entry(now, n.ID)
	if !e.known() || supersedes(n, e.RouterRecord) {
		r.hold(now, e, n)
	}
}

// hold takes over a record and passes it on.
func (r *Roster) hold(now time.Time, e *entry, n message.RouterRecord) {
	r.note(e, n)
	r.digest ^= e.weight()
	e.RouterRecord = n
	e.since = now
	r.learned = now
	r.digest ^= e.weight()
	if n.State == message.Suspected {
		r.suspects = append(r.suspects, n.ID)
	}
	r.tell(n.ID)
}

// note keeps a record for Changes if it changes what is believed of a router.
func (r *Roster) note(e *entry, n message.RouterRecord) {
	if !e.known() || e.Incarnation != n.Incarnation || e.State != n.State {
		r.changes = append(r.changes, n)
	}
}

// Changes returns the records by which the belief in a router changed since the
// last call: it was found, restarted, is suspected, denied that, or is gone.
func (r *Roster) Changes() []message.RouterRecord {
	list := r.changes
	r.changes = nil
	return list
}

// deny answers a record about this router itself that it did not write: that it is
// suspected, or from a life whose clock was ahead.
func (r *Roster) deny(n message.RouterRecord) {
	next := r.self
	switch {
	case n.Incarnation > next.Incarnation:
		next.Incarnation = n.Incarnation + 1
	case n.Incarnation < next.Incarnation, n.Version < next.Version:
		return
	case n.Version == next.Version && n.State == message.Alive:
		return
	default:
		next.Version = n.Version + 1
	}
	r.setSelf(next)
}

func (r *Roster) setSelf(next message.RouterRecord) {
	r.digest ^= hash(r.self) ^ hash(next)
	r.self = next
	r.tell(next.ID)
}

// supersedes reports whether a record is newer than another of the same router.
func supersedes(a, b message.RouterRecord) bool {
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(a.Version, b.Version); c != 0 {
		return c > 0
	}
	return a.State > b.State
}

// tell notes that something new of a router is to be passed on.
func (r *Roster) tell(id message.RouterID) {
	if !slices.Contains(r.news, id) {
		r.news = append(r.news, id)
	}
}

// ping returns a message without records.
func (r *Roster) ping(kind message.PingKind, all bool) message.Ping {
	return message.Ping{
		From: r.self, Kind: kind, Revisions: r.has, Digest: r.digest, WantAll: all,
		QuarantineDigest: r.quarantine,
	}
}

func chunks(all []message.RouterRecord) [][]message.RouterRecord {
	return slices.Collect(slices.Chunk(all, recordsEach))
}
