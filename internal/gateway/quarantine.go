package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/quarantine"
)

const (
	// suspectsEach is the number of requests in one message: with some 80 bytes for each
	// most messages fit into a datagram.
	suspectsEach = 12
	// expirePeriod is the time between looks for what is too old.
	expirePeriod = time.Second
)

// isolation is what a router knows of requests that end targets, and when it asked others.
// All but the view belongs to the control goroutine.
type isolation struct {
	state    *quarantine.State
	exchange *quarantine.Exchange
	// lives has when the processes of targets started, by id, where they say so.
	lives map[string]int64
	// expired is when was last looked for what is too old.
	expired time.Time
}

// Keeper keeps requests that are held back where they outlive all routers. It does not
// wait, and returns false where it has too many to keep.
type Keeper interface {
	Keep(r quarantine.Record) bool
	Drop(k quarantine.Key) bool
}

// Restore takes over requests that were held back before this router started.
func (g *Gateway) Restore(list []quarantine.Record) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		news, parcels := g.isolation.exchange.Receive(now, list)
		g.suspected(news, parcels, fromStore)
	})
}

// suspects implements forward.Suspects.
type suspects struct{ *Gateway }

// View implements forward.Suspects.
func (g suspects) View() *quarantine.View { return g.view.Load() }

// RecordBreak implements forward.Suspects.
func (g suspects) RecordBreak(ctx context.Context, b forward.Break) int {
	crashes := 0
	g.loop.PostAndWait(ctx, func(s *balance.State, now time.Time) {
		if g.announced(s, b.Target) {
			return
		}
		name := b.Target.Incarnation()
		if b.TargetExited {
			g.isolation.state.RecordExit(now, name)
		}
		crashes = g.isolation.state.RecordBreak(now, b.Key, b.Organisation, name, b.OnTrial)
		g.found(now)
	})
	return crashes
}

// StartTrial implements forward.Suspects: of all routers that run, the one that ranks first for
// the request tries it.
func (g suspects) StartTrial(ctx context.Context, k quarantine.Key, until time.Time) bool {
	may := false
	g.loop.PostAndWait(ctx, func(_ *balance.State, now time.Time) {
		may = g.ranksFirst(now, k) && g.isolation.state.StartTrial(now, k, until)
		if may {
			g.Log.Info("request on trial", "content", k.String())
		}
	})
	return may
}

// EndTrial implements forward.Suspects.
func (g suspects) EndTrial(k quarantine.Key) {
	g.loop.Post(func(*balance.State, time.Time) { g.isolation.state.EndTrial(k) })
}

// RecordExit implements forward.Suspects.
func (g suspects) RecordExit(t balance.Target) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		if !g.announced(s, t) {
			g.isolation.state.RecordExit(now, t.Incarnation())
			g.found(now)
		}
	})
}

// RecordSuccess implements forward.Suspects.
func (g suspects) RecordSuccess(k quarantine.Key) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		g.isolation.state.Clear(k)
		g.found(now)
	})
}

// RecordSeen implements forward.Suspects.
func (g suspects) RecordSeen(k quarantine.Key) {
	g.loop.Post(func(_ *balance.State, now time.Time) {
		g.isolation.state.RecordSeen(now, k)
		g.publishSuspects()
	})
}

// announced reports whether a target's end was to be expected: it said that it leaves, in
// an answer or its entry, or its entry had gone before. An entry that lapsed with the store says neither, and a target
// of which another process is known has started again.
func (g *Gateway) announced(s *balance.State, t balance.Target) bool {
	known, listed := g.catalog.Target(t.ID)
	return s.ReportedLeaving(t) || !listed || known.Born == t.Born && known.Leaving
}

// restarted notes that other processes have started under the ids of targets: what broke off
// at those before ran there when they ended.
func (g *Gateway) restarted(now time.Time, list []balance.Target) {
	lives := g.isolation.lives
	if len(lives) > 2*len(list) {
		// Most of them are gone.
		clear(lives)
	}
	for _, t := range list {
		known, ok := lives[t.ID]
		if known == t.Born {
			continue
		}
		lives[t.ID] = t.Born
		if ok {
			g.isolation.state.RecordExit(now, balance.Target{ID: t.ID, Born: known}.Incarnation())
		}
	}
	g.found(now)
}

// publishSuspects puts what is suspected now in force.
func (g *Gateway) publishSuspects() { g.view.Store(g.isolation.state.View()) }

// found puts in force what is newly known because of what happened here, keeps it, and tells
// other routers.
func (g *Gateway) found(now time.Time) {
	news, parcels := g.isolation.exchange.Updates(now)
	g.suspected(news, parcels, g.ID)
	g.keep(news)
}

// suspected puts what is newly known in force, logs it, and tells other routers.
func (g *Gateway) suspected(news []quarantine.Record, parcels []quarantine.Outgoing, from string) {
	if len(news) == 0 {
		return
	}
	g.publishSuspects()
	g.logSuspects(news, from)
	g.say()
	for _, p := range parcels {
		g.tellSuspects(member.Member{Peer: p.To}, p.Records)
	}
}

// keep has the keeper keep what this router found: each change of a request that is held
// back, and that it is cleared.
func (g *Gateway) keep(list []quarantine.Record) {
	if g.Keeper == nil {
		return
	}
	for _, r := range list {
		kept := true
		switch n := r.Uncleared(); {
		case quarantine.HeldBack(n):
			kept = g.Keeper.Keep(r)
		case n == 0 && quarantine.HeldBack(len(r.Crashes)):
			kept = g.Keeper.Drop(r.Key)
		}
		if !kept {
			g.Log.Info("request held back not kept", "content", r.Key.String())
		}
	}
}

// ranksFirst reports whether this router is the first of those that run for a request.
func (g *Gateway) ranksFirst(now time.Time, k quarantine.Key) bool {
	standing := member.NewRankCounter(k.String(), g.known.ID, g.known.Zone)
	for r := range g.running(now) {
		standing.Add(r.ID, r.Zone)
	}
	return standing.InTop(1)
}

func (g *Gateway) tellSuspects(to member.Member, list []quarantine.Record) {
	for part := range slices.Chunk(list, suspectsEach) {
		g.tell(to, message.Quarantine{Records: part})
	}
}

// logSuspects logs requests of which something new is known. Bystanders of one crash get
// no line: there are dozens of each.
func (g *Gateway) logSuspects(list []quarantine.Record, from string) {
	for _, r := range list {
		g.Metrics.suspect(r)
		standing := r.Uncleared()
		if len(r.Crashes) == 1 {
			continue
		}
		what := "request suspected"
		switch {
		case quarantine.HeldBack(standing):
			what = "request held back"
		case standing == 0:
			what = "request cleared"
		}
		g.Log.Info(what, "content", r.Key.String(), "organisation", r.Organisation, "crashes", standing,
			"targets", crashedTargets(r), "from", from)
	}
}

// crashedTargets names the targets that ended under a request.
func crashedTargets(r quarantine.Record) []string {
	list := make([]string, 0, len(r.Crashes))
	for _, c := range r.Crashes {
		list = append(list, c.Target)
	}
	return list
}

// heardSuspects takes in what another router knows of suspected requests.
func (g *Gateway) heardSuspects(now time.Time, from member.Member, m message.Quarantine) {
	if m.WantAll {
		g.tellSuspects(from, g.isolation.exchange.All(now))
		return
	}
	news, parcels := g.isolation.exchange.Receive(now, m.Records)
	g.suspected(news, parcels, string(from.ID))
}

// compareSuspects asks a router that knows something else of suspected requests for all of
// it.
func (g *Gateway) compareSuspects(now time.Time, from member.Member, digest uint64) {
	if g.isolation.exchange.ShouldPull(now, digest) {
		g.tell(from, message.Quarantine{WantAll: true})
	}
}

// expireSuspects forgets what is too old.
func (g *Gateway) expireSuspects(now time.Time) {
	if now.Sub(g.isolation.expired) < expirePeriod {
		return
	}
	g.isolation.expired = now
	for _, r := range g.isolation.state.Expire(now) {
		if r.Uncleared() > 1 {
			g.Log.Info("request forgotten", "content", r.Key.String(), "organisation", r.Organisation, "crashes", r.Uncleared())
		}
		if g.Keeper != nil && quarantine.HeldBack(r.Uncleared()) && g.ranksFirst(now, r.Key) && !g.Keeper.Drop(r.Key) {
			g.Log.Info("request held back not dropped", "content", r.Key.String())
		}
		g.publishSuspects()
	}
}
