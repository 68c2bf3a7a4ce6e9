// Package news spreads what is new in a router's copy of the store: it decides when other routers are told of it, and
// when they are asked for what they know that is newer. Routers also tell how recent their copies are.
package news

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/roster"
	"github.com/stepcroft/stepcroft/internal/storewatch"
)

// FromStore is the source of what the store itself delivered. The source of what another router sent is that
// router's id.
const FromStore = "store"

const (
	// intervalPerRouter times the number of routers, up to maxInterval, is the least interval
	// between two messages of a router about changed targets, if that is more than Options.MinInterval.
	// While many targets change, their changes are passed on together; a single one is passed on
	// at once.
	intervalPerRouter = 500 * time.Microsecond
	maxInterval       = 400 * time.Millisecond
	// minForwardedGain is the part of a kind's limit by which a copy must have become more recent for this
	// router to tell others at once.
	minForwardedGain = 0.25
)

// Roster has the routers of the fleet, and which of them get which ping. It is implemented by roster.Roster.
type Roster interface {
	Zone(id message.RouterID) string
	RoundTrip() time.Duration
	Gossip(now time.Time) []roster.Outgoing
	Forward(now time.Time, moreFollows bool) []roster.Outgoing
	ForwardConfirmation(now time.Time) []roster.Outgoing
}

// Catalog has this router's copy of the store. It is implemented by catalog.Catalog.
type Catalog interface {
	Newest() message.Revisions
	Complete() message.Revisions
	Hear(theirs message.Revisions) bool
	Copy(now time.Time, need message.NeedCopy) message.Copy
}

// Copies tells how recent that copy is. It is implemented by freshness.Tracker.
type Copies interface {
	Ages(now time.Time) message.Ages
	Heard(now time.Time, from string, theirs message.Revisions, ages message.Ages, own message.Revisions) float64
	ConfirmedAt(kind message.StoreKind) time.Time
}

// Server serves callers. It is implemented by ingress.Server.
type Server interface{ Confirm(at time.Time) }

// Metrics counts copies sent. It is implemented by counters.Registry.
type Metrics interface{ CountCopy(near bool) }

// Sender sends messages to other routers.
type Sender interface {
	// Send sends a message as a datagram if it is small enough, SendOnStream on a stream.
	Send(to member.Member, m message.Message)
	SendOnStream(to member.Member, m message.Message)
}

// Options are what an exchange is made of.
type Options struct {
	// Zone is this router's availability zone.
	Zone    string
	Roster  Roster
	Catalog Catalog
	Copies  Copies
	// Rank returns how this router ranks among those that run, as known last.
	Rank    func() storewatch.Rank
	Server  Server
	Metrics Metrics
	Sender  Sender
	// UpdateSelf updates this router's own record in the roster, which pings carry.
	UpdateSelf func()
	// MinInterval is the least interval between two messages.
	MinInterval time.Duration
}

// Exchange tells other routers what is new, and asks them. Use New to make one. It belongs to the control goroutine.
type Exchange struct {
	Options
	lastRequest time.Time
	far         farSource
	// lastSent is when this router last sent its revisions to some other routers at once,
	// pending is set if it is to do so again soon, fromStore if the store told them.
	lastSent  time.Time
	pending   bool
	fromStore bool
}

// New returns an exchange of a router that has told nothing yet.
func New(o Options) *Exchange { return &Exchange{Options: o} }

// Idle reports whether Tick need not be called.
func (e *Exchange) Idle() bool { return !e.pending && e.far.due.IsZero() }

// Tick sends what has come together since the last message, and requests what this zone still lacks.
func (e *Exchange) Tick(now time.Time) {
	if e.pending && now.Sub(e.lastSent) >= e.interval() {
		e.forward(now, true)
	}
	e.requestFromFar(now)
}

// interval returns the least interval between two messages about changed targets.
func (e *Exchange) interval() time.Duration {
	return max(e.MinInterval, min(intervalPerRouter*time.Duration(e.Rank().Running), maxInterval))
}

// Note passes on news of a source, at most once in an interval. What the store itself told
// goes to other availability zones as well.
func (e *Exchange) Note(now time.Time, from string) {
	e.fromStore = e.fromStore || from == FromStore
	if now.Sub(e.lastSent) >= e.interval() {
		e.forward(now, false)
		return
	}
	e.pending = true
}

// NoteUrgent passes on news of a source at once.
func (e *Exchange) NoteUrgent(now time.Time, from string) {
	e.fromStore = e.fromStore || from == FromStore
	e.forward(now, false)
}

// forward sends this router's revisions to some other routers, to fewer if more news will follow
// soon.
func (e *Exchange) forward(now time.Time, moreFollows bool) {
	if e.fromStore {
		e.Gossip(now)
		return
	}
	e.lastSent, e.pending = now, false
	e.UpdateSelf()
	e.SendPings(now, e.Roster.Forward(now, moreFollows))
}

// Gossip sends this router's current record and revisions to some other routers at once,
// without waiting for the next tick.
func (e *Exchange) Gossip(now time.Time) {
	e.lastSent, e.pending, e.fromStore = now, false, false
	e.UpdateSelf()
	e.SendPings(now, e.Roster.Gossip(now))
}

// SendPings sends the roster's outgoing pings. Revisions and ages are set together: a router whose
// copy is as of these revisions is confirmed by these ages.
func (e *Exchange) SendPings(now time.Time, list []roster.Outgoing) {
	if len(list) == 0 {
		return
	}
	revisions, ages := e.Catalog.Newest(), e.Copies.Ages(now)
	for _, s := range list {
		s.Ping.Revisions, s.Ping.Ages = revisions, ages
		e.Sender.Send(member.Member{Peer: s.Peer}, s.Ping)
	}
}

// Hear notes what another router tells of its copy of the store, and requests what is newer there. The ages were those
// when the message was sent: without the time that it took, copies would become more recent as routers tell one another.
func (e *Exchange) Hear(now time.Time, from member.Member, theirs message.Revisions, ages message.Ages) {
	e.Confirmed(now, e.Copies.Heard(now, string(from.ID), theirs, ages.Plus(e.Roster.RoundTrip()), e.Catalog.Complete()), string(from.ID))
	e.requestNewer(now, from, theirs)
}

// Confirmed tells the callers' server when the configuration was last confirmed, and some other
// routers how recent the copies are if they have gained enough.
func (e *Exchange) Confirmed(now time.Time, gained float64, from string) {
	if gained <= 0 {
		return
	}
	e.Server.Confirm(e.Copies.ConfirmedAt(message.StoreConfig))
	// The sender has told all routers of a small fleet itself.
	switch {
	case from == FromStore:
		e.Note(now, from)
	case gained >= minForwardedGain && e.Rank().Running > roster.Fanout+1 && !e.pending && now.Sub(e.lastSent) >= e.interval():
		e.lastSent = now
		e.UpdateSelf()
		e.SendPings(now, e.Roster.ForwardConfirmation(now))
	}
}
