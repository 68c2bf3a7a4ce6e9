// Package suspects keeps a router's account of the requests that are suspected of crashing targets: it records the exits
// of targets and what ran there, exchanges the records with other routers, persists those of requests that are held back,
// and lets operators look at them.
package suspects

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/suspicion"
	"github.com/stepcroft/stepcroft/internal/trial"
)

const (
	// maxSuspectsPerMessage is the most requests in one message. At some 80 bytes each, most
	// messages fit into a datagram.
	maxSuspectsPerMessage = 12
	// maxUnlistedBorn is the number of start times that may be kept for unlisted targets besides
	// as many as there are listed ones.
	maxUnlistedBorn = 64
	// expireInterval is the interval at which records that are too old are removed.
	expireInterval = time.Second
)

// Store persists requests that are held back, so that they survive a restart of all
// routers. Its methods do not block, and return false if too many writes are pending. Save merges a
// record with what is stored.
type Store interface {
	Save(r quarantine.Record) bool
	Delete(k quarantine.Key) bool
}

// Fleet is what the account needs of the router and of others. Its methods are called by the control goroutine.
type Fleet interface {
	quarantine.Fleet
	// First returns the running router that ranks first for a request.
	First(now time.Time, k quarantine.Key) message.RouterRecord
	// Send sends a message to another router.
	Send(to member.Member, m message.Message)
	// NoteDigest notes that the digest of the records has changed, which the router tells others.
	NoteDigest()
}

// Targets are the targets that the store's copy lists. Its methods are called by the control goroutine.
type Targets interface {
	Target(id string) (t balance.Target, listed bool)
	CountTargets() int
}

// Counters counts the changes to records.
type Counters interface{ CountSuspect(r quarantine.Record) }

// Options are what an account is made of.
type Options struct {
	Self    message.RouterID
	Loop    *balance.Loop
	Fleet   Fleet
	Targets Targets
	// Store is nil if nothing is persisted.
	Store Store
	// Moves tells where routes led before.
	Moves *routehistory.Moves
	// RecordExit is called in the control goroutine for each exit that this router has seen, whether it was expected
	// or not.
	RecordExit func(s *balance.State, now time.Time, t balance.Target, refusedAt time.Time)
	Counters   Counters
	Log        logr.Logger
}

// Account holds the requests that this router suspects of crashing targets, and exchanges them with other routers, the
// store and operators. It implements suspicion.Suspects. Use New to make one. The methods that take the time belong to
// the control goroutine, the others to all others.
type Account struct {
	options  Options
	state    *quarantine.State
	exchange *quarantine.Exchange
	trials   *trial.Trials
	// view is the snapshot of the suspected requests that new requests are checked against.
	view atomic.Pointer[quarantine.View]
	// bornByTarget has the start times of the targets' processes by target id, as far as their
	// entries give them.
	bornByTarget map[string]int64
	// lastExpiry is when old records were last removed.
	lastExpiry time.Time
}

// New returns an account that suspects nothing.
func New(o Options) *Account {
	a := &Account{options: o, state: quarantine.New(), bornByTarget: map[string]int64{}}
	a.exchange = quarantine.NewExchange(a.state, o.Fleet)
	a.trials = trial.New(o.Self, a.state, trialFleet{a}, o.Log)
	return a
}

// sourceStore is the source, in log lines, of what the store delivered.
const sourceStore = "store"

// Restore adds requests that were held back before this router started.
func (a *Account) Restore(list []quarantine.Record) {
	a.options.Loop.Post(func(_ *balance.State, now time.Time) {
		changes, outgoing := a.exchange.Receive(now, list)
		a.publishChanges(changes, outgoing, sourceStore)
	})
}

// View implements suspicion.Suspects.
func (a *Account) View() *quarantine.View { return a.view.Load() }

// RecordBreak implements suspicion.Suspects.
func (a *Account) RecordBreak(ctx context.Context, b suspicion.Break) int {
	crashes, _ := balance.Call(ctx, a.options.Loop, func(s *balance.State, now time.Time) int { return a.recordBreak(s, now, b) })
	return crashes
}

func (a *Account) recordBreak(s *balance.State, now time.Time, b suspicion.Break) int {
	if b.TargetExited {
		a.options.RecordExit(s, now, b.Target, b.RefusedAt)
	}
	if a.exitExpected(s, b.Target) {
		return 0
	}
	name := b.Target.Incarnation()
	if b.TargetExited {
		a.state.RecordExit(now, name)
	}
	crashes := 0
	for i, attribute := range b.Attributes {
		n := a.state.RecordAttributeBreak(now, attribute, b.Organisation, name, slices.Contains(b.Trials, attribute.Key))
		if i == 0 {
			crashes = n
		}
	}
	a.Update(now)
	return crashes
}

// RecordEnd implements suspicion.Suspects.
func (a *Account) RecordEnd(attributes []quarantine.Credit) {
	a.options.Loop.Post(func(_ *balance.State, now time.Time) { a.state.RecordEnd(now, attributes) })
}

// RecordExit implements suspicion.Suspects.
func (a *Account) RecordExit(t balance.Target, refusedAt time.Time) {
	a.options.Loop.Post(func(s *balance.State, now time.Time) {
		a.options.RecordExit(s, now, t, refusedAt)
		if !a.exitExpected(s, t) {
			a.state.RecordExit(now, t.Incarnation())
			a.Update(now)
		}
	})
}

// RecordSuccess implements suspicion.Suspects.
func (a *Account) RecordSuccess(k quarantine.Key, sent time.Time) {
	a.options.Loop.Post(func(_ *balance.State, now time.Time) {
		a.state.ClearBefore(k, sent)
		a.Update(now)
	})
}

// RecordSeen implements suspicion.Suspects.
func (a *Account) RecordSeen(k quarantine.Key) {
	a.options.Loop.Post(func(_ *balance.State, now time.Time) {
		a.state.RecordSeen(now, k)
		a.publish()
	})
}

// EarlierServices implements suspicion.Suspects.
func (a *Account) EarlierServices(host, path, id, but string) []string {
	return a.options.Moves.Services(host, path, id, but)
}

// Inherit implements suspicion.Suspects.
func (a *Account) Inherit(ctx context.Context, from quarantine.Key, to quarantine.Attribute) {
	a.options.Loop.PostAndWait(ctx, func(_ *balance.State, now time.Time) {
		if a.state.Inherit(now, from, to) {
			a.options.Log.Info("part suspected before its route moved", "part", to.Part, "content", to.Key.String(), "before", from.String())
			a.Update(now)
		}
	})
}

// exitExpected reports whether a target's exit was expected: the target had announced that it is
// leaving, in a response or in its entry, or its entry was already gone. A lapsed entry shows
// neither. If the entry names another process, the target has restarted, and the entry tells
// nothing about the exit of the earlier one.
func (a *Account) exitExpected(s *balance.State, t balance.Target) bool {
	known, listed := a.options.Targets.Target(t.ID)
	return s.ReportedLeaving(t) || !listed || known.Born == t.Born && known.Leaving
}

// RecordRestarts records which of the changed targets' entries name a new process. The earlier
// process has exited, and requests that broke off there were running at its exit.
func (a *Account) RecordRestarts(now time.Time, changed []balance.Target) {
	born := a.bornByTarget
	if targets := a.options.Targets.CountTargets(); len(born) > 2*targets+maxUnlistedBorn {
		// Most of these targets are gone.
		maps.DeleteFunc(born, func(id string, _ int64) bool {
			_, listed := a.options.Targets.Target(id)
			return !listed
		})
	}
	for _, t := range changed {
		known, ok := born[t.ID]
		if known == t.Born {
			continue
		}
		born[t.ID] = t.Born
		if ok {
			a.state.RecordExit(now, balance.Target{ID: t.ID, Born: known}.Incarnation())
		}
	}
	a.Update(now)
}

// publish makes new requests be checked against the present suspected requests.
func (a *Account) publish() { a.view.Store(a.state.View()) }

// Update publishes, persists and gossips the changes to suspected requests that
// arose at this router.
func (a *Account) Update(now time.Time) {
	changes, outgoing := a.exchange.Updates(now)
	a.publishChanges(changes, outgoing, string(a.options.Self))
	a.persist(changes)
}

// publishChanges publishes, logs and gossips changes to suspected requests.
func (a *Account) publishChanges(changes []quarantine.Record, outgoing []quarantine.Outgoing, from string) {
	if len(changes) == 0 {
		return
	}
	a.publish()
	a.logChanges(changes, from)
	a.options.Fleet.NoteDigest()
	for _, p := range outgoing {
		a.send(member.Member{Peer: p.To}, p.Records)
	}
}

// PersistAll writes the records of all requests that are held back to the Store again.
func (a *Account) PersistAll(now time.Time) { a.persist(a.state.All(now)) }

// SendAll sends all records to another router.
func (a *Account) SendAll(now time.Time, to member.Member) { a.send(to, a.exchange.All(now)) }

// Digest returns a digest of all records.
func (a *Account) Digest() uint64 { return a.state.Digest() }

// persist writes changes that arose at this router to the Store: records of requests
// that are held back, or were until they were cleared. The latter stay there until they expire, so
// that a router that does not know it yet cannot store them as they were before.
func (a *Account) persist(list []quarantine.Record) {
	if a.options.Store == nil {
		return
	}
	for _, r := range list {
		if quarantine.HeldBack(len(r.Crashes)) && !a.options.Store.Save(r) {
			a.options.Log.Info("request held back not kept", "content", r.Key.String())
		}
	}
}

// StartTrial implements suspicion.Suspects.
func (a *Account) StartTrial(ctx context.Context, until time.Time, keys []quarantine.Key) bool {
	return a.trials.Start(ctx, until, keys)
}

// EndTrial implements suspicion.Suspects.
func (a *Account) EndTrial(k quarantine.Key, broke bool) { a.trials.End(k, broke) }

// HandleTrial handles another router's message about a trial.
func (a *Account) HandleTrial(now time.Time, from member.Member, m message.Trial) {
	a.trials.Handle(now, from, m)
}

// trialFleet implements trial.Fleet.
type trialFleet struct{ *Account }

// Post implements trial.Fleet.
func (a trialFleet) Post(f func(now time.Time)) {
	a.options.Loop.Post(func(_ *balance.State, now time.Time) { f(now) })
}

// First implements trial.Fleet.
func (a trialFleet) First(now time.Time, k quarantine.Key) message.RouterRecord {
	return a.options.Fleet.First(now, k)
}

// Send implements trial.Fleet.
func (a trialFleet) Send(to member.Member, m message.Message) { a.options.Fleet.Send(to, m) }

// ranksFirst reports whether this router ranks first for a request among the running routers.
func (a *Account) ranksFirst(now time.Time, k quarantine.Key) bool {
	return a.options.Fleet.First(now, k).ID == a.options.Self
}

func (a *Account) send(to member.Member, list []quarantine.Record) {
	for part := range slices.Chunk(list, maxSuspectsPerMessage) {
		a.options.Fleet.Send(to, message.Quarantine{Records: part})
	}
}

// logChanges logs changes to suspected requests. Requests with a single crash get no line, since
// dozens of them may just have been running on the target that crashed.
func (a *Account) logChanges(list []quarantine.Record, from string) {
	for _, r := range list {
		a.options.Counters.CountSuspect(r)
		uncleared := r.Uncleared()
		if len(r.Crashes) == 1 {
			continue
		}
		subject, log := "request", a.options.Log
		if r.Part != "" {
			subject, log = "part", log.WithValues("part", r.Part)
		}
		what := " suspected"
		switch {
		case quarantine.HeldBack(uncleared):
			what = " held back"
		case uncleared == 0:
			what = " cleared"
		}
		log.Info(subject+what, "content", r.Key.String(), "organisation", r.Organisation, "crashes", uncleared,
			"targets", r.CrashedTargets(), "from", from)
	}
}

// Handle applies another router's records of suspected requests, or sends it all of this
// router's if it asks for them.
func (a *Account) Handle(now time.Time, from member.Member, m message.Quarantine) {
	if m.WantAll {
		a.SendAll(now, from)
		return
	}
	changes, outgoing := a.exchange.Receive(now, m.Records)
	a.publishChanges(changes, outgoing, string(from.ID))
}

// Compare requests all records of suspected requests from a router whose digest of them
// differs from this router's.
func (a *Account) Compare(now time.Time, from member.Member, digest uint64) {
	if a.exchange.ShouldPull(now, digest) {
		a.options.Fleet.Send(from, message.Quarantine{WantAll: true})
	}
}

// Expire removes records of suspected requests that are too old, at most once every
// expireInterval. Of all running routers only the one that ranks first removes a record from the
// Store.
func (a *Account) Expire(now time.Time) {
	if now.Sub(a.lastExpiry) < expireInterval {
		return
	}
	a.lastExpiry = now
	for _, r := range a.state.Expire(now) {
		if r.Uncleared() > 1 {
			a.options.Log.Info("request forgotten", "content", r.Key.String(), "organisation", r.Organisation, "crashes", r.Uncleared())
		}
		if a.options.Store != nil && quarantine.HeldBack(len(r.Crashes)) && a.ranksFirst(now, r.Key) && !a.options.Store.Delete(r.Key) {
			a.options.Log.Info("request held back not deleted", "content", r.Key.String())
		}
		a.publish()
	}
}
