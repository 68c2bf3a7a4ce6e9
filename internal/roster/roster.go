// Package roster implements a SWIM-like gossip membership of a fleet's routers, whose cost to
// each router does not grow with their number. A router pings a few others a second, mostly
// in its own availability zone, and forwards each update to a few more, which do the same. A
// router that does not answer pings becomes suspected, and gone if it does not refute the
// suspicion in time. A Roster does no I/O and reads no clock: the time is passed in, the
// messages to send are returned. It must be used from one goroutine.
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
	// pingPeriod is the time between two pings of a router. On average each router is
	// pinged as often as it pings, so that a dead one is pinged within about this time.
	pingPeriod = 250 * time.Millisecond
	// suspectPingPeriod replaces pingPeriod while any router is suspected, since failures
	// are often correlated. It shortens the time until all routers know of the loss of an
	// availability zone with 30 of 90 routers from 8 s to 6 s.
	suspectPingPeriod = 100 * time.Millisecond
	// In a large fleet some router is often suspected, and each ping wakes two processes. So both
	// periods grow with the number of routers, by the times below for each, up to maxPeriodGrowth times.
	pingPeriodPerRouter        = 500 * time.Microsecond
	suspectPingPeriodPerRouter = 200 * time.Microsecond
	maxPeriodGrowth            = 2
	// pingTimeout allows for a round trip of some milliseconds and the scheduling delays
	// of a box with a fifth of a core.
	pingTimeout = 300 * time.Millisecond
	// pingAttempts is the number of consecutive unanswered pings after which a router is
	// suspected. One ping may be lost on the network.
	pingAttempts = 2
	// suspicionTimeout is how long a suspected router has to refute the suspicion before
	// it counts as gone. Updates take a few milliseconds each way, and a busy box may be
	// a second late.
	suspicionTimeout = 1500 * time.Millisecond
	// isolationTimeout is the time without a message from any other router after which
	// a router considers itself isolated. It has sent six pings by then.
	isolationTimeout = 1500 * time.Millisecond
	// listedGracePeriod is how long a router on the platform's list counts as running
	// although nothing was ever received from or about it.
	listedGracePeriod = 1500 * time.Millisecond
	// goneTTL is how long a router that is gone and no longer listed is remembered, so
	// that a late update about it does not make it look like a new router.
	goneTTL = time.Minute
	// A full sync requests all records of another router. syncInterval is the minimum
	// time between two, settleDelay the time without updates before one, and
	// minMismatches the number of consecutive messages with a different digest that
	// triggers one, since updates in flight cause a few. When 295 routers start at once,
	// premature full syncs made up most of 214,000 messages and 121 MB in the first 4 s.
	syncInterval  = time.Second
	settleDelay   = 300 * time.Millisecond
	minMismatches = 3
	// nearFanout and farFanout are the numbers of routers in the local and in other
	// availability zones to which a router forwards each update, once. With six in
	// total, an update misses one router in 400, which notices by a different digest.
	// When the updates do not fit into one message, the fanout is divided by
	// fanoutDivisor: a full sync for what was missed is cheaper then.
	nearFanout    = 4
	farFanout     = 2
	fanoutDivisor = 2
	// farForwards is the number of routers of the whole fleet that forward an update to other
	// zones, besides the one where it arose: with more routers each does so with a lower
	// probability. An update has to enter each zone a few times, not once for each router, since
	// traffic between zones costs money.
	farForwards = 48
	// farConfirmations replaces farForwards for messages that confirm what the others have, which are
	// sent a few times a second.
	farConfirmations = 8
	// Every farPingEvery-th ping goes to another availability zone: traffic between zones
	// costs money. While any router is suspected, it is every suspectFarPingEvery-th. Every
	// downPingEvery-th ping goes to a router that does not count as running, which may
	// be back.
	farPingEvery        = 4
	suspectFarPingEvery = 2
	downPingEvery       = 8
	// maxRecordsPerMessage keeps a message small enough for a datagram.
	maxRecordsPerMessage = 9
)

// Fanout is the number of routers to which a router forwards an update.
const Fanout = nearFanout + farFanout

// Outgoing is a message to be sent to a router's Peer address.
type Outgoing struct {
	Peer string
	Ping message.Ping
}

// entry holds the state of another router.
type entry struct {
	message.RouterRecord
	listed bool
	// lastHeard is when its last message arrived, stateSince when the current record,
	// with its State, was stored.
	lastHeard, stateSince time.Time
	// pingedAt is when the outstanding ping was sent, zero if there is none. missedPings
	// is the number of pings before that one that timed out.
	pingedAt    time.Time
	missedPings int
	// askedAt is when the first of the pings was sent that have had no answer, zero if there is none.
	askedAt time.Time
}

// digestPart returns the entry's contribution to the digest.
func (e *entry) digestPart() uint64 {
	if !e.hasRecord() || e.State == message.Gone {
		return 0
	}
	return hash(e.RouterRecord)
}

// hasRecord reports whether a record of the router has arrived. Without one, only its entry
// on the platform's list is known.
func (e *entry) hasRecord() bool { return e.Incarnation > 0 }

// Roster is one router's view of the fleet's routers. Use New to make one.
type Roster struct {
	self   message.RouterRecord
	seeds  []string
	isSeed bool
	random *rand.Rand
	peers  map[message.RouterID]*entry
	// peerList holds the entries of peers in the order in which they were added.
	peerList []*entry
	// lastHeard is when the last message from any other router arrived, initially the
	// start time.
	lastHeard time.Time
	// lastPing is when the last periodic ping was sent, pingCount their number.
	lastPing  time.Time
	pingCount int
	// pings numbers the pings that ask for an answer, resumedAfter is the number of the last one before the box was
	// suspended.
	pings, resumedAfter uint64
	// near is the group of routers in the local availability zone, far that of all others.
	near, far group
	// unanswered holds the routers with an outstanding ping, suspects those that are
	// suspected.
	unanswered, suspects []message.RouterID
	// updates holds the routers whose records are to be forwarded.
	updates []message.RouterID
	// origin is set if one of them arose at this router.
	origin bool
	// lastUpdate is when the record of another router last changed.
	lastUpdate time.Time
	// lastSync is when a full sync was last requested.
	lastSync time.Time
	// changes holds the records that changed a state since the last call of Changes.
	changes []message.RouterRecord
	// roundTrip is the longest time that recent pings took, less the longer ago that was.
	roundTrip time.Duration
	// listReceived is set once the platform's list of routers has arrived.
	listReceived bool
	// revisions are those of this router's copy of the store's entries, quarantineDigest
	// is that of its knowledge of requests that crashed targets.
	revisions        message.Revisions
	quarantineDigest uint64
	// digest is the XOR of the hashes of all records of routers that are not gone, this
	// router's own included.
	digest uint64
}

// New returns a roster that holds only the local router, self. The seeds are Peer addresses
// of routers to contact first. Some of them may be out of date.
func New(now time.Time, self message.RouterRecord, seeds []string, random *rand.Rand) *Roster {
	self.Version = 1
	r := &Roster{
		self: self, random: random, peers: map[message.RouterID]*entry{},
		lastHeard: now, lastPing: now.Add(-pingPeriod), lastSync: now.Add(-syncInterval), digest: hash(self),
	}
	for _, s := range seeds {
		if s == self.Peer {
			r.isSeed = true
			continue
		}
		r.seeds = append(r.seeds, s)
	}
	r.updates = append(r.updates, self.ID)
	return r
}

// Self returns the record of the local router.
func (r *Roster) Self() message.RouterRecord { return r.self }

// UpdateSelf sets the conditions in the local router's record (Ready, Leaving, Serving,
// StoreFailing, Capacity and Handover) to those of a record, whose other fields are ignored. It reports
// whether any of them changed, and queues the new record for the other routers.
func (r *Roster) UpdateSelf(record message.RouterRecord) bool {
	next := r.self
	next.Ready, next.Leaving, next.Serving = record.Ready, record.Leaving, record.Serving
	next.StoreFailing, next.Capacity, next.Handover = record.StoreFailing, record.Capacity, record.Handover
	if next == r.self {
		return false
	}
	next.Version++
	r.setSelf(next)
	return true
}

// SetRevisions sets what pings say about the data of this router: the revisions of its copy
// of the store's entries, and the digest of what it knows of requests that crashed targets.
func (r *Roster) SetRevisions(revisions message.Revisions, quarantineDigest uint64) {
	r.revisions, r.quarantineDigest = revisions, quarantineDigest
}

// SetList replaces the platform's list of routers.
func (r *Roster) SetList(now time.Time, boxes []config.Box) {
	r.listReceived = true
	for _, e := range r.peers {
		e.listed = false
	}
	for _, b := range boxes {
		id := message.RouterID(b.Name)
		if id == r.self.ID {
			continue
		}
		e := r.entry(now, id)
		e.listed = true
		if !e.hasRecord() {
			e.Zone, e.Address, e.Peer = b.Zone, b.Address, b.Peer
		}
	}
	if !r.connected() {
		// Announces this router to the listed ones at once.
		r.queueUpdate(r.self.ID)
	}
}

func (r *Roster) entry(now time.Time, id message.RouterID) *entry {
	e := r.peers[id]
	if e == nil {
		e = &entry{stateSince: now}
		e.ID = id
		r.peers[id] = e
		r.peerList = append(r.peerList, e)
	}
	return e
}

// NoteContact notes that a message other than a ping arrived from another router.
func (r *Roster) NoteContact(now time.Time, id message.RouterID) {
	r.lastHeard = now
	if e := r.peers[id]; e != nil {
		r.markHeard(now, e)
	}
}

// markHeard notes that a message from the router has arrived, which answers an outstanding
// ping.
func (r *Roster) markHeard(now time.Time, e *entry) {
	e.lastHeard = now
	e.pingedAt, e.missedPings, e.askedAt = time.Time{}, 0, time.Time{}
}

// Receive processes a ping message and returns the messages to send in response.
func (r *Roster) Receive(now time.Time, m message.Ping) []Outgoing {
	if m.From.ID == r.self.ID {
		return nil
	}
	// A router that has just joined or rejoined requests a full sync at once.
	firstContact := !r.connected()
	r.lastHeard = now
	r.merge(now, m.From)
	e := r.peers[m.From.ID]
	if e == nil {
		return nil
	}
	if m.Kind == message.PingReply && !e.askedAt.IsZero() {
		r.noteRoundTrip(now.Sub(e.askedAt))
	}
	r.markHeard(now, e)
	for _, record := range m.Records {
		r.merge(now, record)
	}
	var out []Outgoing
	if m.Kind == message.PingRequest {
		out = append(out, r.answer(e, m)...)
	}
	if r.startSync(now, e, m.RosterDigest, firstContact) {
		out = append(out, Outgoing{Peer: e.Peer, Ping: r.ping(message.PingRequest, true)})
	}
	return out
}

// roundTripMemory is the weight of the earlier round-trip times, as a fraction, where a ping takes less.
const roundTripMemory = 7.0 / 8

// noteRoundTrip notes how long a ping and its answer took.
func (r *Roster) noteRoundTrip(d time.Duration) {
	r.roundTrip = max(d, time.Duration(float64(r.roundTrip)*roundTripMemory))
}

// RoundTrip returns how long a ping and its answer take at most, by the recent ones: a bound on the time that a
// message of another router takes, with the time that it waits on both boxes.
func (r *Roster) RoundTrip() time.Duration { return r.roundTrip }

// Resume must be called after the box was suspended. It drops the outstanding pings, since a
// missing answer says nothing about the pinged router, and restarts the suspicion timeouts,
// since refutations could not arrive meanwhile.
func (r *Roster) Resume(now time.Time) {
	r.resumedAfter = r.pings
	for _, id := range r.unanswered {
		if e := r.peers[id]; e != nil {
			e.pingedAt, e.missedPings, e.askedAt = time.Time{}, 0, time.Time{}
		}
	}
	r.unanswered = nil
	for _, id := range r.suspects {
		if e := r.peers[id]; e != nil {
			e.stateSince = now
		}
	}
}

// AnswersLately reports whether a message is the answer to a ping that this router has sent since the box was last
// suspended. Answers that came before wait for the router to go on.
func (r *Roster) AnswersLately(m message.Ping) bool {
	return m.Kind == message.PingReply && (m.Number == 0 || m.Number > r.resumedAfter)
}

// connected reports whether the record of any other router has arrived.
func (r *Roster) connected() bool {
	return slices.ContainsFunc(r.peerList, (*entry).hasRecord)
}

// answer returns the answer to a ping. It holds the record of the sender if the one known here
// is newer than the sender's own, for the sender to refute, and all other records if the sender
// requests a full sync.
func (r *Roster) answer(e *entry, m message.Ping) []Outgoing {
	all := []message.RouterRecord{}
	if supersedes(e.RouterRecord, m.From) {
		all = append(all, e.RouterRecord)
	}
	if m.WantAll {
		for _, other := range r.peerList {
			if other.hasRecord() && other != e {
				all = append(all, other.RouterRecord)
			}
		}
	}
	out := []Outgoing{{Peer: m.From.Peer, Ping: r.ping(message.PingReply, false)}}
	out[0].Ping.Number = m.Number
	for i, part := range chunks(all) {
		if i > 0 {
			out = append(out, Outgoing{Peer: m.From.Peer, Ping: r.ping(message.PingNotice, false)})
		}
		out[i].Ping.Records = part
	}
	return out
}

// startSync reports whether to request a full sync from the sender of a digest, and if so
// notes it as requested. It does so from the first router that it hears from, and later from
// one whose group has sent minMismatches different digests in a row. Routers of other
// availability zones come into question only while the local zone agrees.
func (r *Roster) startSync(now time.Time, e *entry, digest uint64, firstContact bool) bool {
	mismatches := &r.near.mismatches
	if e.Zone != r.self.Zone {
		mismatches = &r.far.mismatches
	}
	*mismatches++
	if digest == r.digest {
		*mismatches = 0
	}
	tooSoon := now.Sub(r.lastSync) < syncInterval || now.Sub(r.lastUpdate) < settleDelay
	awaitsLocalZone := e.Zone != r.self.Zone && r.near.mismatches > 0
	if *mismatches == 0 || !firstContact && (*mismatches < minMismatches || tooSoon || awaitsLocalZone) {
		return false
	}
	r.near.mismatches, r.far.mismatches = 0, 0
	r.lastSync = now
	return true
}

// merge stores a record if it is newer than the known one.
func (r *Roster) merge(now time.Time, n message.RouterRecord) {
	if n.ID == r.self.ID {
		r.refute(n)
		return
	}
	if r.peers[n.ID] == nil && n.State == message.Gone {
		return
	}
	e := r.entry(now, n.ID)
	if !e.hasRecord() || supersedes(n, e.RouterRecord) {
		r.store(now, e, n)
	}
}

// store replaces the record of a router and queues it to be forwarded.
func (r *Roster) store(now time.Time, e *entry, n message.RouterRecord) {
	r.noteChange(e, n)
	r.digest ^= e.digestPart()
	e.RouterRecord = n
	e.stateSince = now
	r.lastUpdate = now
	r.digest ^= e.digestPart()
	if n.State == message.Suspected {
		r.suspects = append(r.suspects, n.ID)
	}
	r.queueUpdate(n.ID)
}

// noteChange keeps a record for Changes if its state or incarnation is a new one.
func (r *Roster) noteChange(e *entry, n message.RouterRecord) {
	if !e.hasRecord() || e.Incarnation != n.Incarnation || e.State != n.State {
		r.changes = append(r.changes, n)
	}
}

// Changes returns the records that changed the state of a router since the last call: it
// was discovered, has restarted, is suspected, has refuted a suspicion, or is gone.
func (r *Roster) Changes() []message.RouterRecord {
	list := r.changes
	r.changes = nil
	return list
}

// refute overrides a record about this router itself that others hold: a suspicion, or a
// record of an earlier process whose clock was ahead, and whose incarnation is higher therefore.
func (r *Roster) refute(n message.RouterRecord) {
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
	r.origin = true
	r.queueUpdate(next.ID)
}

// supersedes reports whether record a is newer than b, of the same router.
func supersedes(a, b message.RouterRecord) bool {
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(a.Version, b.Version); c != 0 {
		return c > 0
	}
	return a.State > b.State
}

// queueUpdate marks a router's record to be forwarded with the next Gossip.
func (r *Roster) queueUpdate(id message.RouterID) {
	if !slices.Contains(r.updates, id) {
		r.updates = append(r.updates, id)
	}
}

// ping returns a message without records.
func (r *Roster) ping(kind message.PingKind, all bool) message.Ping {
	number := uint64(0)
	if kind == message.PingRequest {
		r.pings++
		number = r.pings
	}
	return message.Ping{
		Number: number,
		From:   r.self, Kind: kind, Revisions: r.revisions, RosterDigest: r.digest, WantAll: all,
		QuarantineDigest: r.quarantineDigest,
	}
}

func chunks(all []message.RouterRecord) [][]message.RouterRecord {
	return slices.Collect(slices.Chunk(all, maxRecordsPerMessage))
}
