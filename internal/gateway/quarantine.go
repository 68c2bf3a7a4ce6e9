package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
	"github.com/stepcroft/stepcroft/internal/suspicion"
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

// quarantineState holds the requests that this router suspects of crashing targets, and the state
// of their exchange with other routers. It belongs to the control goroutine.
type quarantineState struct {
	state    *quarantine.State
	exchange *quarantine.Exchange
	// bornByTarget has the start times of the targets' processes by target id, as far as their
	// entries give them.
	bornByTarget map[string]int64
	// lastExpiry is when old records were last removed.
	lastExpiry time.Time
}

// QuarantineStore persists requests that are held back, so that they survive a restart of all
// routers. Its methods do not block, and return false if too many writes are pending. Save merges a
// record with what is stored.
type QuarantineStore interface {
	Save(r quarantine.Record) bool
	Delete(k quarantine.Key) bool
}

// Restore adds requests that were held back before this router started.
func (g *Gateway) Restore(list []quarantine.Record) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		changes, outgoing := g.quarantine.exchange.Receive(now, list)
		g.publishChanges(changes, outgoing, sourceStore)
	})
}

// suspects implements suspicion.Suspects.
type suspects struct{ *Gateway }

// View implements suspicion.Suspects.
func (g suspects) View() *quarantine.View { return g.quarantineView.Load() }

// RecordBreak implements suspicion.Suspects.
func (g suspects) RecordBreak(ctx context.Context, b suspicion.Break) int {
	crashes, _ := balance.Call(ctx, g.loop, func(s *balance.State, now time.Time) int { return g.recordBreak(s, now, b) })
	return crashes
}

func (g *Gateway) recordBreak(s *balance.State, now time.Time, b suspicion.Break) int {
	if b.TargetExited {
		g.recordExit(s, now, b.Target, b.RefusedAt)
	}
	if g.exitExpected(s, b.Target) {
		return 0
	}
	name := b.Target.Incarnation()
	if b.TargetExited {
		g.quarantine.state.RecordExit(now, name)
	}
	crashes := 0
	for i, a := range b.Attributes {
		n := g.quarantine.state.RecordAttributeBreak(now, a, b.Organisation, name, slices.Contains(b.Trials, a.Key))
		if i == 0 {
			crashes = n
		}
	}
	g.publishLocalChanges(now)
	return crashes
}

// RecordEnd implements suspicion.Suspects.
func (g suspects) RecordEnd(attributes []quarantine.Credit) {
	g.loop.Post(func(_ *balance.State, now time.Time) { g.quarantine.state.RecordEnd(now, attributes) })
}

// RecordExit implements suspicion.Suspects.
func (g suspects) RecordExit(t balance.Target, refusedAt time.Time) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		g.recordExit(s, now, t, refusedAt)
		if !g.exitExpected(s, t) {
			g.quarantine.state.RecordExit(now, t.Incarnation())
			g.publishLocalChanges(now)
		}
	})
}

// RecordSuccess implements suspicion.Suspects.
func (g suspects) RecordSuccess(k quarantine.Key, sent time.Time) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		g.quarantine.state.ClearBefore(k, sent)
		g.publishLocalChanges(now)
	})
}

// RecordSeen implements suspicion.Suspects.
func (g suspects) RecordSeen(k quarantine.Key) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		g.quarantine.state.RecordSeen(now, k)
		g.publishSuspects()
	})
}

// EarlierServices implements suspicion.Suspects.
func (g suspects) EarlierServices(host, path, id, but string) []string {
	return g.moves.Services(host, path, id, but)
}

// Inherit implements suspicion.Suspects.
func (g suspects) Inherit(ctx context.Context, from quarantine.Key, to quarantine.Attribute) {
	g.loop.PostAndWait(ctx, func(_ *balance.State, now time.Time) {
		if g.quarantine.state.Inherit(now, from, to) {
			g.Log.Info("part suspected before its route moved", "part", to.Part, "content", to.Key.String(), "before", from.String())
			g.publishLocalChanges(now)
		}
	})
}

// exitExpected reports whether a target's exit was expected: the target had announced that it is
// leaving, in a response or in its entry, or its entry was already gone. A lapsed entry shows
// neither. If the entry names another process, the target has restarted, and the entry tells
// nothing about the exit of the earlier one.
func (g *Gateway) exitExpected(s *balance.State, t balance.Target) bool {
	known, listed := g.catalog.Target(t.ID)
	return s.ReportedLeaving(t) || !listed || known.Born == t.Born && known.Leaving
}

// recordRestarts records which of the changed targets' entries name a new process. The earlier
// process has exited, and requests that broke off there were running at its exit.
func (g *Gateway) recordRestarts(now time.Time, changed []balance.Target) {
	born := g.quarantine.bornByTarget
	if targets := g.catalog.CountTargets(); len(born) > 2*targets+maxUnlistedBorn {
		// Most of these targets are gone.
		maps.DeleteFunc(born, func(id string, _ int64) bool {
			_, listed := g.catalog.Target(id)
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
			g.quarantine.state.RecordExit(now, balance.Target{ID: t.ID, Born: known}.Incarnation())
		}
	}
	g.publishLocalChanges(now)
}

// publishSuspects makes new requests be checked against the present suspected requests.
func (g *Gateway) publishSuspects() { g.quarantineView.Store(g.quarantine.state.View()) }

// publishLocalChanges publishes, persists and gossips the changes to suspected requests that
// arose at this router.
func (g *Gateway) publishLocalChanges(now time.Time) {
	changes, outgoing := g.quarantine.exchange.Updates(now)
	g.publishChanges(changes, outgoing, g.ID)
	g.persist(changes)
}

// publishChanges publishes, logs and gossips changes to suspected requests.
func (g *Gateway) publishChanges(changes []quarantine.Record, outgoing []quarantine.Outgoing, from string) {
	if len(changes) == 0 {
		return
	}
	g.publishSuspects()
	g.logSuspects(changes, from)
	g.updateSelf()
	for _, p := range outgoing {
		g.sendSuspects(member.Member{Peer: p.To}, p.Records)
	}
}

// persist writes changes that arose at this router to the QuarantineStore: records of requests
// that are held back, or were until they were cleared. The latter stay there until they expire, so
// that a router that does not know it yet cannot store them as they were before.
func (g *Gateway) persist(list []quarantine.Record) {
	if g.QuarantineStore == nil {
		return
	}
	for _, r := range list {
		if quarantine.HeldBack(len(r.Crashes)) && !g.QuarantineStore.Save(r) {
			g.Log.Info("request held back not kept", "content", r.Key.String())
		}
	}
}

// StartTrial implements suspicion.Suspects.
func (g suspects) StartTrial(ctx context.Context, until time.Time, keys []quarantine.Key) bool {
	return g.trials.Start(ctx, until, keys)
}

// EndTrial implements suspicion.Suspects.
func (g suspects) EndTrial(k quarantine.Key, broke bool) { g.trials.End(k, broke) }

// trialFleet implements trial.Fleet.
type trialFleet struct{ *Gateway }

// Post implements trial.Fleet.
func (g trialFleet) Post(f func(now time.Time)) {
	g.loop.Post(func(_ *balance.State, now time.Time) { f(now) })
}

// First implements trial.Fleet.
func (g trialFleet) First(now time.Time, k quarantine.Key) message.RouterRecord {
	return g.firstFor(now, k)
}

// Send implements trial.Fleet.
func (g trialFleet) Send(to member.Member, m message.Message) { g.sendTo(to, m) }

// firstFor returns the running router that ranks first for a request.
func (g *Gateway) firstFor(now time.Time, k quarantine.Key) message.RouterRecord {
	hash := rendezvous.Hash(k.String())
	first := message.RouterRecord{ID: g.self.ID}
	weight := rendezvous.WeightFromHashes(hash, rendezvous.Hash(string(g.self.ID)))
	for r := range g.runningRouters(now) {
		if w := rendezvous.WeightFromHashes(hash, rendezvous.Hash(string(r.ID))); w > weight {
			first, weight = r, w
		}
	}
	return first
}

// ranksFirst reports whether this router ranks first for a request among the running routers.
func (g *Gateway) ranksFirst(now time.Time, k quarantine.Key) bool {
	return g.firstFor(now, k).ID == g.self.ID
}

func (g *Gateway) sendSuspects(to member.Member, list []quarantine.Record) {
	for part := range slices.Chunk(list, maxSuspectsPerMessage) {
		g.sendTo(to, message.Quarantine{Records: part})
	}
}

// logSuspects logs changes to suspected requests. Requests with a single crash get no line, since
// dozens of them may just have been running on the target that crashed.
func (g *Gateway) logSuspects(list []quarantine.Record, from string) {
	for _, r := range list {
		g.Metrics.CountSuspect(r)
		uncleared := r.Uncleared()
		if len(r.Crashes) == 1 {
			continue
		}
		subject, log := "request", g.Log
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

// handleQuarantine applies another router's records of suspected requests, or sends it all of this
// router's if it asks for them.
func (g *Gateway) handleQuarantine(now time.Time, from member.Member, m message.Quarantine) {
	if m.WantAll {
		g.sendSuspects(from, g.quarantine.exchange.All(now))
		return
	}
	changes, outgoing := g.quarantine.exchange.Receive(now, m.Records)
	g.publishChanges(changes, outgoing, string(from.ID))
}

// compareSuspects requests all records of suspected requests from a router whose digest of them
// differs from this router's.
func (g *Gateway) compareSuspects(now time.Time, from member.Member, digest uint64) {
	if g.quarantine.exchange.ShouldPull(now, digest) {
		g.sendTo(from, message.Quarantine{WantAll: true})
	}
}

// expireSuspects removes records of suspected requests that are too old, at most once every
// expireInterval. Of all running routers only the one that ranks first removes a record from the
// QuarantineStore.
func (g *Gateway) expireSuspects(now time.Time) {
	if now.Sub(g.quarantine.lastExpiry) < expireInterval {
		return
	}
	g.quarantine.lastExpiry = now
	for _, r := range g.quarantine.state.Expire(now) {
		if r.Uncleared() > 1 {
			g.Log.Info("request forgotten", "content", r.Key.String(), "organisation", r.Organisation, "crashes", r.Uncleared())
		}
		if g.QuarantineStore != nil && quarantine.HeldBack(len(r.Crashes)) && g.ranksFirst(now, r.Key) && !g.QuarantineStore.Delete(r.Key) {
			g.Log.Info("request held back not deleted", "content", r.Key.String())
		}
		g.publishSuspects()
	}
}
