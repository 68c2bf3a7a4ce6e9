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

// Everything in this file but the posting methods runs in the control
// goroutine.

// receive takes in a message of another router; it is called by the peer
// transports.
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
				// Who has just started must know them before its first request.
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

// heardStatus takes in another router's report, unless it is in the sum of its
// zone.
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

// heardLoads takes in what another router tells between reports.
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

// catchUp asks a router for what it has newer of the store.
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

// fromStore is told in the log as the source of what came from the store
// itself.
const fromStore = "store"

// fromTime is told where the time is over for which something was held.
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

// logNotTaken logs a configuration that is another than the one in force and not newer.
func (g *Gateway) logNotTaken(at int64, value []byte, from string) {
	if g.catalog.ConfigDiffers(value) {
		g.Log.Info("configuration not taken", "era", revision.Era(at), "revision", revision.Store(at),
			"version_in_force", g.catalog.Table().Version(), "bytes", len(value), "from", from)
	}
}

// SetConfig takes over a configuration from the store.
func (g *Gateway) SetConfig(at int64, value []byte) {
	g.loop.Post(func(s *balance.State, _ time.Time) { g.setConfig(s, at, value, fromStore) })
}

// SetTargets takes over the store's whole list of targets.
func (g *Gateway) SetTargets(at int64, list []message.StoredObject) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		changed := g.catalog.SetTargets(now, at, list)
		g.targetsChanged(s, now, changed, fromStore)
	})
}

// ChangeTargets takes over changes to the store's list of targets.
func (g *Gateway) ChangeTargets(at int64, changes []catalog.Change) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		g.catalog.ApplyTargets(now, at, changes)
		g.targetsChanged(s, now, len(changes) > 0, fromStore)
	})
}

// targetsChanged puts a changed list of targets in force and passes on that there
// is one.
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

// logIgnored logs and counts the entries that turned out to name no target to use.
func (g *Gateway) logIgnored(from string) {
	list, by := g.catalog.Ignored()
	for _, e := range list {
		g.Log.Info("target ignored", "target", e.Name, "era", revision.Era(e.Revision), "revision", revision.Store(e.Revision), "field", e.Field, "found", e.Found, "from", from)
	}
	for field, n := range by {
		g.Metrics.ignored.Add(field, int64(n))
	}
}

// SetRouters takes over the store's list of routers.
func (g *Gateway) SetRouters(list []config.Box) {
	g.loop.Post(func(_ *balance.State, now time.Time) { g.roster.SetList(now, list) })
}

const (
	// minNear is the least number of addresses told to a caller where there
	// are as many: one may fail.
	minNear = 2
	// smallShare is the part, in percent, of the largest capacity in a zone
	// below which a router is told to callers only if there are too few
	// others: a flood that a large router refuses drowns a small one.
	smallShare = 50
)

// Addresses returns where callers in an availability zone should connect:
// the large routers of that zone that can serve, small ones if there are too
// few of these, or one elsewhere if there is only one.
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

// large returns the routers with a large part of the greatest capacity among
// them, and others as long as there are fewer than minNear.
func large(list []message.RouterRecord) []message.RouterRecord {
	slices.SortStableFunc(list, func(a, b message.RouterRecord) int { return cmp.Compare(b.Capacity, a.Capacity) })
	for i, r := range list {
		if i >= minNear && r.Capacity*100 < list[0].Capacity*smallShare {
			return list[:i]
		}
	}
	return list
}
