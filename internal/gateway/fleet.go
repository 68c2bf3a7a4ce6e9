package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
	"github.com/stepcroft/stepcroft/internal/view"
)

// All functions in this file run in the control goroutine, except for those that post to it
// (loop.Post, loop.PostAndWait).

// receive handles a message from another router. The peer transports call it.
func (g *Gateway) receive(from member.Member, m message.Message) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		switch m := m.(type) {
		case message.Ping:
			g.send(g.roster.Receive(now, m))
			g.catchUp(now, from, m.Revisions)
			g.compareSuspects(now, from, m.QuarantineDigest)
			g.confirmedBy(now, m)
			return
		case message.Status:
			g.heardStatus(s, now, from, m)
		case message.ZoneStatus:
			g.heardZone(s, now, from, m)
		case message.Loads:
			g.heardLoads(s, now, from.ID, m)
		case message.NeedCopy:
			if m.Config == 0 {
				// The sender has no configuration, so it has just started: it must know
				// the suspected requests before it serves its first one.
				g.tellSuspects(from, g.isolation.exchange.All(now))
			}
			g.tell(from, g.catalog.Copy(now, m))
		case message.Copy:
			g.takeCopy(s, now, from, m)
		case message.Quarantine:
			g.heardSuspects(now, from, m)
		}
		g.roster.NoteContact(now, from.ID)
	})
}

// heardStatus applies another router's report, unless the router is in another zone whose sum
// already covers it.
func (g *Gateway) heardStatus(s *balance.State, now time.Time, from member.Member, m message.Status) {
	g.catchUp(now, from, m.Revisions)
	if from.Zone == g.known.Zone {
		g.zone.UpdateReport(now, from.ID, m)
	} else {
		if now.Sub(g.sums[from.Zone]) < sumAge {
			return
		}
		s.ForgetPeer(now, sumName(from.Zone))
		g.direct[from.ID] = from.Zone
	}
	s.ApplyReport(now, string(from.ID), reportOf(m))
}

// heardLoads applies the changes of load that another router sends between reports.
func (g *Gateway) heardLoads(s *balance.State, now time.Time, from message.RouterID, m message.Loads) {
	zone := g.roster.Zone(from)
	if zone != g.known.Zone && now.Sub(g.sums[zone]) < sumAge {
		for _, l := range m.Deltas {
			s.AddPeerLoad(now, sumName(zone), l.Target, loadOf(l))
		}
		return
	}
	for _, l := range m.Loads {
		s.SetPeerLoad(now, string(from), l.Target, loadOf(l))
	}
	if zone == g.known.Zone {
		g.zone.UpdateLoads(from, m.Loads)
	}
}

func reportOf(m message.Status) view.Report {
	r := view.Report{
		Loads:       make(map[string]view.Load, len(m.Loads)),
		Usage:       make(map[string]view.Usage, len(m.Usage)),
		SharedParts: make(map[string][]string, len(m.SharedParts)),
	}
	for _, l := range m.Loads {
		r.Loads[l.Target] = loadOf(l)
	}
	for _, k := range m.SharedParts {
		r.SharedParts[k.Target] = k.Parts
	}
	for _, u := range m.Usage {
		r.Usage[u.Organisation] = view.Usage{Demand: u.Demand, Started: u.Started, Waiting: u.Waiting}
	}
	return r
}

// catchUp requests a copy of the store's contents from a router that has newer revisions.
func (g *Gateway) catchUp(now time.Time, from member.Member, has message.Revisions) {
	known := g.catalog.Complete()
	if has.NewerThan(known) && now.Sub(g.asked) >= copyPause {
		g.asked = now
		g.tell(from, message.NeedCopy(known))
	}
}

func loadOf(l message.TargetLoad) view.Load {
	return view.Load{PendingTokens: l.PendingTokens, Running: l.Running, MemoryTokens: l.MemoryTokens}
}

func (g *Gateway) takeCopy(s *balance.State, now time.Time, from member.Member, m message.Copy) {
	if len(m.Config) > 0 {
		g.setConfig(s, m.ConfigRevision, m.Config, string(from.ID))
	}
	changed := g.catalog.Merge(now, m)
	g.targetsChanged(s, now, changed, string(from.ID))
	g.confirm(now, string(from.ID))
}

// fromStore is the source, in log lines, of what the store itself delivered. Otherwise it is the
// id of the router that sent it.
const fromStore = "store"

// fromTime is the source, in log lines, of changes that take effect because a delay has passed.
const fromTime = "time"

func (g *Gateway) setConfig(s *balance.State, at int64, value []byte, from string) {
	began := clock.Now()
	changed, err := g.catalog.SetConfig(at, value)
	if err != nil {
		g.Log.Error(err, "configuration ignored", "from", from)
		return
	}
	if !changed {
		g.logNotTaken(at, value, from)
		return
	}
	t := g.catalog.Table()
	s.Configure(t)
	g.server.Configure(t)
	g.Log.Info("configuration in force", "version", t.Version(), "era", revision.Era(at), "revision", revision.Store(at), "from", from,
		"bytes", len(value), "took_ms", clock.Since(began).Milliseconds())
	g.spread(clock.Now())
}

// logNotTaken logs a configuration that was not applied because it differs from the one in
// force without being newer.
func (g *Gateway) logNotTaken(at int64, value []byte, from string) {
	if g.catalog.ConfigDiffers(value) {
		g.Log.Info("configuration not taken", "era", revision.Era(at), "revision", revision.Store(at),
			"version_in_force", g.catalog.Table().Version(), "bytes", len(value), "from", from)
	}
}

// SetConfig applies a configuration from the store if it is newer than the one in force.
func (g *Gateway) SetConfig(at int64, value []byte) {
	g.loop.Post(func(s *balance.State, _ time.Time) { g.setConfig(s, at, value, fromStore) })
}

// SetTargets replaces the targets with the store's complete list.
func (g *Gateway) SetTargets(at int64, list []message.StoredObject) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		changed := g.catalog.SetTargets(now, at, list)
		g.targetsChanged(s, now, changed, fromStore)
	})
}

// ChangeTargets applies changes to the store's list of targets.
func (g *Gateway) ChangeTargets(at int64, changes []catalog.Change) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		g.catalog.ApplyTargets(now, at, changes)
		g.targetsChanged(s, now, len(changes) > 0, fromStore)
	})
}

// targetsChanged applies the catalog's list of targets if it has changed, and gossips the new
// revision.
func (g *Gateway) targetsChanged(s *balance.State, now time.Time, changed bool, from string) {
	g.logIgnored(from)
	if !changed {
		return
	}
	list := g.catalog.Targets()
	leaving := 0
	for _, t := range list {
		if t.Leaving {
			leaving++
		}
	}
	at := g.catalog.TargetsRevision()
	g.Log.Info("targets known", "era", revision.Era(at), "revision", revision.Store(at), "targets", len(list),
		"leaving", leaving, "lapsed", g.catalog.Lapsed(), "from", from)
	g.logZones(now, list, from)
	s.SetTargets(now, list)
	g.restarted(now, list)
	g.spread(now)
}

// logIgnored logs and counts the store entries that could not be used as targets.
func (g *Gateway) logIgnored(from string) {
	list, by := g.catalog.Ignored()
	for _, e := range list {
		g.Log.Info("target ignored", "target", e.Name, "era", revision.Era(e.Revision), "revision", revision.Store(e.Revision), "field", e.Field, "found", e.Found, "from", from)
	}
	for field, n := range by {
		g.Metrics.ignored.Add(field, int64(n))
	}
}

// SetRouters replaces the store's list of routers.
func (g *Gateway) SetRouters(list []config.Box) {
	g.loop.Post(func(_ *balance.State, now time.Time) { g.roster.SetList(now, list) })
}

const (
	// minNear is the least number of addresses returned to a caller if there are as many
	// routers, since one of them may fail.
	minNear = 2
	// smallShare is the percentage of the largest router's capacity in a zone below which a
	// router's address is returned only if there are too few others: a burst that a large
	// router can reject overloads a small one.
	smallShare = 50
)

// Addresses returns the addresses that callers in an availability zone should connect to: the
// large routers of that zone that are ready, small ones too if there are fewer than minNear
// large ones, and one router of another zone if this one has a single router. If the zone has
// none, it returns routers of other zones.
func (g *Gateway) Addresses(ctx context.Context, zone string) []string {
	var near, far []message.RouterRecord
	g.loop.PostAndWait(ctx, func(_ *balance.State, now time.Time) {
		g.say()
		for _, r := range g.roster.Live(now) {
			if !r.Ready || r.State != message.Alive {
				continue
			}
			if r.Zone == zone {
				near = append(near, r)
				continue
			}
			far = append(far, r)
		}
		near = large(near)
		far = large(far)
	})
	if len(near) == 0 {
		near, far = far, nil
	}
	if len(near) < minNear && len(far) > 0 {
		near = append(near, far[0])
	}
	var list []string
	for _, m := range near {
		list = append(list, m.Address)
	}
	return list
}

// large returns the routers whose capacity is at least smallShare percent of the greatest, and
// smaller ones as long as there are fewer than minNear. It sorts the list by capacity.
func large(list []message.RouterRecord) []message.RouterRecord {
	slices.SortStableFunc(list, func(a, b message.RouterRecord) int { return cmp.Compare(b.Capacity, a.Capacity) })
	for i, r := range list {
		if i >= minNear && r.Capacity*100 < list[0].Capacity*smallShare {
			return list[:i]
		}
	}
	return list
}
