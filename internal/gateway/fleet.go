package gateway

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/addresses"
	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/news"
	"github.com/stepcroft/stepcroft/internal/revision"
)

// All functions in this file run in the control goroutine, except for those that post to it
// (loop.Post, loop.PostAndWait).

// receive handles a message from another router. The peer transports call it.
func (g *Gateway) receive(from member.Member, m message.Message) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		defer g.tickEarlier(now)
		if from.Zone == "" {
			// Datagrams name only the id and the address of their sender.
			from.Zone = g.roster.Zone(from.ID)
		}
		switch m := m.(type) {
		case message.Ping:
			g.news.SendPings(now, g.roster.Receive(now, m))
			g.news.Hear(now, from, m.Revisions, m.Ages)
			g.suspects.Compare(now, from, m.QuarantineDigest)
			g.confirmByReply(now, m)
			return
		case message.Status:
			g.handleStatus(s, now, from, m)
		case message.ZoneStatus:
			g.handleZoneStatus(s, now, from, m)
		case message.Loads:
			g.reports.ReceiveLoads(s, now, from.ID, m)
		case message.NeedCopy:
			if m.Config == 0 {
				// The sender has no configuration, so it has just started: it must know
				// the suspected requests before it serves its first one.
				g.suspects.SendAll(now, from)
			}
			g.news.SendCopy(now, from, m)
		case message.Copy:
			g.mergeCopy(s, now, from, m)
		case message.Quarantine:
			g.suspects.Handle(now, from, m)
		case message.Trial:
			g.suspects.HandleTrial(now, from, m)
		case message.StreamVersions:
			g.records.Receive(s, now, from, m)
		case message.TargetExits:
			g.exits.Receive(s, now, m)
		}
		g.roster.NoteContact(now, from.ID)
	})
}

func (g *Gateway) handleStatus(s *balance.State, now time.Time, from member.Member, m message.Status) {
	g.news.Hear(now, from, m.Revisions, m.Ages)
	g.reports.Receive(s, now, from, m)
}

func (g *Gateway) handleZoneStatus(s *balance.State, now time.Time, from member.Member, m message.ZoneStatus) {
	if !g.reports.ReceiveSum(s, now, m) {
		return
	}
	g.news.Hear(now, from, m.Status.Revisions, m.Status.Ages)
	g.reports.PassOn(now, from, m)
}

func (g *Gateway) mergeCopy(s *balance.State, now time.Time, from member.Member, m message.Copy) {
	if len(m.Config) > 0 {
		g.setConfig(s, m.ConfigRevision, m.Config, string(from.ID))
	}
	before := g.catalog.TargetsRevision()
	changed := g.catalog.Merge(now, m)
	g.rolloutsChanged(now, m.Rollouts.Revision > 0, string(from.ID))
	g.targetsChanged(s, now, changed, string(from.ID))
	g.noteMissedTargets(s, now, before)
	g.news.Confirmed(now, g.copies.Received(g.catalog.Complete()), string(from.ID))
	g.confirm(now, string(from.ID))
}

// sourceStore is the source, in log lines, of what the store itself delivered. The source of what
// another router sent is that router's id.
const sourceStore = news.FromStore

// sourceTimer is the source, in log lines, of changes that take effect because a delay has passed.
const sourceTimer = "time"

func (g *Gateway) setConfig(s *balance.State, at int64, value []byte, from string) {
	began := clock.Now()
	versionBefore, configBefore := g.catalog.Newest().Version, g.catalog.Complete().Config
	changed, err := g.catalog.SetConfig(at, value)
	if err != nil {
		g.Log.Error(err, "configuration ignored", "from", from)
		return
	}
	if !changed {
		g.logConfigNotTaken(at, value, from)
		return
	}
	t := g.catalog.Table()
	s.Configure(t)
	g.streamStore.NoteMissedConfigs(clock.Now(), configBefore)
	g.setRoutes(s, clock.Now(), t)
	g.server.Configure(t)
	g.answers.enabled.Store(g.Features.AnswerBuffers.Enabled(t.AllTolerate()))
	now := clock.Now()
	g.requests.NoteChange(lifecycle.Change{Version: t.Version(), At: now})
	age, source := g.copies.Age(now, message.StoreConfig)
	before := g.inForce
	g.inForce = configInForce{from: from, since: now}
	g.Log.Info("configuration in force", "version", t.Version(), "era", revision.Era(at), "revision", revision.Store(at), "from", from,
		"bytes", len(value), "took_ms", now.Sub(began).Milliseconds(), "version_before", versionBefore, "before_ms", before.duration(now).Milliseconds(),
		"age_ms", age.Milliseconds(), "confirmed_by", source)
	// Unlike changes of targets, a configuration is not held up by others before it.
	g.news.NoteUrgent(clock.Now(), from)
}

// logConfigNotTaken logs a configuration that was not applied because it differs from the one in
// force without being newer.
func (g *Gateway) logConfigNotTaken(at int64, value []byte, from string) {
	if g.catalog.ConfigDiffers(value) {
		g.Log.Info("configuration not taken", "era", revision.Era(at), "revision", revision.Store(at),
			"version_in_force", g.catalog.Table().Version(), "bytes", len(value), "from", from)
	}
}

// SetConfig applies a configuration from the store if it is newer than the one in force.
func (g *Gateway) SetConfig(at int64, value []byte) {
	g.loop.Post(func(s *balance.State, _ time.Time) { g.setConfig(s, at, value, sourceStore) })
}

// SetTargets replaces the targets with the store's complete list.
func (g *Gateway) SetTargets(at int64, list []message.StoredObject) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		before := g.catalog.TargetsRevision()
		changed := g.catalog.SetTargets(now, at, list)
		g.targetsChanged(s, now, changed, sourceStore)
		g.noteMissedTargets(s, now, before)
	})
}

// ChangeTargets applies changes to the store's list of targets.
func (g *Gateway) ChangeTargets(at int64, changes []catalog.Change) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		before := g.catalog.TargetsRevision()
		g.catalog.ApplyTargets(now, at, changes)
		g.targetsChanged(s, now, len(changes) > 0, sourceStore)
		g.noteMissedTargets(s, now, before)
	})
}

// noteMissedTargets notes, once the list of a revision has been replaced, whether that was too old: this router's process
// may have stood still, or been cut off, while versions came and left.
func (g *Gateway) noteMissedTargets(s *balance.State, now time.Time, before int64) {
	at := g.catalog.TargetsRevision()
	age, _ := g.copies.Age(now, message.StoreTargets)
	// Of a store that came back older, no history tells what was missed.
	if g.StreamStore == nil || before == 0 || at <= before || revision.Era(at) != revision.Era(before) || !g.copies.Follows(message.StoreTargets) || age <= g.copies.Limit(message.StoreTargets) {
		return
	}
	g.catalog.RaiseRevisions(before)
	g.applyTargets(s, now)
	s.NoteMissed(now, before, at)
	g.Log.Info("lists of targets missed", "era", revision.Era(before), "after_revision", revision.Store(before), "revision", revision.Store(at), "age_ms", age.Milliseconds())
}

// targetsChanged applies the catalog's changes to the list of targets, and gossips the new
// revision.
func (g *Gateway) targetsChanged(s *balance.State, now time.Time, changed bool, from string) {
	g.logIgnored(from)
	if !changed {
		return
	}
	g.applyTargets(s, now)
	targets, leaving := s.CountTargets()
	at := g.catalog.TargetsRevision()
	g.Log.Info("targets known", "era", revision.Era(at), "revision", revision.Store(at), "targets", targets,
		"leaving", leaving, "lapsed", g.catalog.Lapsed(), "from", from)
	g.logZones(now, from)
	g.news.Note(now, from)
}

// applyTargets applies the catalog's changes to the list of targets. The cost follows the number
// of changes.
func (g *Gateway) applyTargets(s *balance.State, now time.Time) {
	c := g.catalog.TakeChanges()
	s.ChangeTargets(now, c.Changed, c.Removed)
	g.records.Share(s, now)
	g.suspects.RecordRestarts(now, c.Changed)
}

// logIgnored logs and counts the store entries that could not be used as targets.
func (g *Gateway) logIgnored(from string) {
	list, by := g.catalog.Ignored()
	for _, e := range list {
		g.Log.Info("target ignored", "target", e.Name, "era", revision.Era(e.Revision), "revision", revision.Store(e.Revision), "field", e.Field, "found", e.Found, "from", from)
	}
	for field, n := range by {
		g.Metrics.CountIgnored(field, n)
	}
}

// SetRouters replaces the store's list of routers.
func (g *Gateway) SetRouters(list []config.Box) {
	g.loop.Post(func(_ *balance.State, now time.Time) { g.roster.SetList(now, list) })
}

// Addresses returns the addresses that callers in an availability zone should connect to, of routers that are ready.
func (g *Gateway) Addresses(ctx context.Context, zone string) []string {
	list, _ := balance.Call(ctx, g.loop, func(_ *balance.State, now time.Time) []string {
		g.updateSelf()
		return addresses.Choose(zone, g.Regions, g.roster.Live(now))
	})
	return list
}
