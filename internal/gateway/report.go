package gateway

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
	"github.com/stepcroft/stepcroft/internal/roster"
	"github.com/stepcroft/stepcroft/internal/view"
	"github.com/stepcroft/stepcroft/internal/zonesum"
)

const (
	// reportPeriod is the least interval between load reports that serving routers send one
	// another: a third of the time in which engines work off the largest prefill backlog that
	// they may have.
	reportPeriod = 100 * time.Millisecond
	// periodPerPeer times the number of receivers is the interval in larger fleets, so that a
	// router sends and receives no more than some 100 reports a second.
	periodPerPeer = 10 * time.Millisecond
	// maxMeshPeers is the number of other serving routers up to which every router reports to
	// every other. Above it, routers report within their zone, and zones exchange sums. That
	// reduces the traffic between zones, but sums are older by up to sumPeriod.
	maxMeshPeers = 16
	// sumPeriod is the interval between a zone's sums: half of the time in which engines work
	// off the largest prefill backlog that they may have.
	sumPeriod = 200 * time.Millisecond
	// sumTTL is how long after a zone's sum direct reports of its routers are ignored, since
	// the sum includes them: two and a half sums, as one may be late.
	sumTTL = 500 * time.Millisecond
	// pathOverlap is how long reports take both paths after a change: other routers learn of it
	// later, and the relay of a zone may take another path than the routers whose reports it adds up.
	pathOverlap = 2 * time.Second
	// maxOverlapPeers is the number of other serving routers above which they don't.
	maxOverlapPeers = 2 * maxMeshPeers
)

// paths are the ways on which reports reach other zones: directly from each router, as sums, or both.
type paths struct {
	direct, sums           bool
	directUntil, sumsUntil time.Time
}

// update chooses the paths for a number of other serving routers, and reports whether they changed.
func (p *paths) update(now time.Time, serving int) (changed bool) {
	if serving > maxMeshPeers {
		p.sumsUntil = now.Add(pathOverlap)
	} else {
		p.directUntil = now.Add(pathOverlap)
	}
	direct, sums := now.Before(p.directUntil) && serving <= maxOverlapPeers, now.Before(p.sumsUntil)
	changed = direct != p.direct || sums != p.sums
	p.direct, p.sums = direct, sums
	return changed
}

// reporter is the state of this router's load reports to the other serving routers.
type reporter struct {
	due time.Time
	// sumDue is when the next sum of the zone is due, if this router is the zone's relay.
	sumDue time.Time
	// active is set if this router had any load at its last report.
	active bool
	paths  paths
}

// tick does the periodic work of the control goroutine: reports, gossip, logging and expiry.
func (g *Gateway) tick(s *balance.State, now time.Time) {
	if !now.Before(g.reporter.due) {
		g.report(s, now)
	}
	if g.gossipPending && now.Sub(g.lastGossip) >= g.newsInterval() {
		g.forwardNews(now, true)
	}
	g.requestFromFar(now)
	g.relays.Update(now, g.catalog.Table(), g.leaving, func() map[string]bool { return s.Yielding(now) })
	g.updateSelf()
	g.sendPings(now, g.roster.Tick(now))
	changes := g.roster.Changes()
	g.logStateChanges(changes)
	if slices.ContainsFunc(changes, func(r message.RouterRecord) bool { return r.State == message.Suspected || r.State == message.Gone }) {
		s.RouterLost()
	}
	g.counts.Update(s, now)
	g.suspects.Update(now)
	g.tickStreams(s, now)
	g.tickExits(now)
	g.suspects.Expire(now)
	g.expireConfirmation(now)
	g.decideRollouts(now)
	duty := g.storeDuty(now)
	g.logWatch(now, duty.Watch)
	g.logCopies(now)
	if g.OnDuty != nil {
		g.OnDuty(duty)
	}
	if expired := g.catalog.ExpireLapsed(now); len(expired) > 0 {
		g.Log.Info("lapsed targets given up", "era", revision.Era(g.catalog.TargetsRevision()), "revision", revision.Store(g.catalog.TargetsRevision()), "count", len(expired),
			"targets", expired[:min(len(expired), maxLoggedTargets)])
		g.applyTargets(s, now)
	}
	if g.catalog.Settle(now) {
		g.targetsChanged(s, now, true, sourceTimer)
	}
}

// maxLoggedTargets is the most targets named in a log line, which stays short that way even if
// hundreds expire at once.
const maxLoggedTargets = 8

// maxStateChangeLines is the number of routers up to which each change of state gets a log line
// of its own. If a whole fleet starts at once, hundreds of them would displace other lines.
const maxStateChangeLines = 8

// logStateChanges logs the routers that have become alive, suspected or gone.
func (g *Gateway) logStateChanges(list []message.RouterRecord) {
	if len(list) > maxStateChangeLines {
		count := map[string]int{}
		for _, r := range list {
			count[r.State.String()]++
		}
		g.Log.Info("many routers changed", "count", count)
		return
	}
	for _, r := range list {
		g.Log.Info("router believed "+r.State.String(), "router", r.ID, "peer", r.Peer, "incarnation", r.Incarnation, "version", r.Version)
	}
}

// report sends the other serving routers the load that this router's requests put on targets, as
// long as there is any, and one more report when there is none any longer. In a large fleet it
// reports to its zone only, and the relay of the zone sends the zone's sum to the other zones. While
// the fleet passes the limit between the two, it does both.
func (g *Gateway) report(s *balance.State, now time.Time) {
	serving := g.roster.Serving(now)
	to := serving
	paths := &g.reporter.paths
	if paths.update(now, len(serving)) {
		g.Log.Info("paths of reports changed", "direct", paths.direct, "sums", paths.sums, "serving", len(serving))
	}
	if !paths.direct {
		to = inZone(serving, g.self.Zone)
	}
	s.SetReportReceivers(len(to))
	r := s.Report(now)
	if r.Active() || g.reporter.active {
		status := g.statusOf(now, r)
		g.sendAll(members(to), status)
		g.zone.UpdateReport(now, g.self.ID, status)
	}
	if paths.sums && g.isRelay(serving) {
		g.sendSum(now, serving)
	} else {
		g.zone.DiscardParts(now)
	}
	period := max(reportPeriod, periodPerPeer*time.Duration(len(to)))
	g.reporter.due, g.reporter.active = now.Add(period), r.Active()
	if paths.sums {
		// Reports of another zone pass through two routers, each of which sends at its own
		// interval.
		period += sumPeriod
	}
	s.SetReportPeriod(period)
	s.SetPeers(g.roster.CountOthers(now), len(serving))
}

// isRelay reports whether this router is the relay of its zone, which sends the zone's sum. A
// router that does not serve is not in the others' lists, so it would be relay only in its own
// view.
func (g *Gateway) isRelay(serving []message.RouterRecord) bool {
	self := g.roster.Self()
	if !self.Serving {
		return false
	}
	first, ok := zonesum.SelectRelay(self.Zone, append(slices.Clone(serving), self))
	return ok && first.ID == self.ID
}

// sendSum sends the sum of this zone to the relay of each other zone if it is due.
func (g *Gateway) sendSum(now time.Time, serving []message.RouterRecord) {
	if now.Before(g.reporter.sumDue) {
		return
	}
	g.reporter.sumDue = now.Add(sumPeriod)
	sum := g.zone.Take(now)
	sum.Revisions, sum.Ages = g.catalog.Newest(), g.copies.Ages(now)
	sent := map[string]bool{g.self.Zone: true}
	for _, r := range serving {
		if sent[r.Zone] {
			continue
		}
		sent[r.Zone] = true
		if to, ok := zonesum.SelectRelay(r.Zone, serving); ok {
			g.peers.Send(roster.Member(to), message.ZoneStatus{Zone: g.self.Zone, Status: sum})
		}
	}
}

// handleZoneStatus applies the sum of another zone, which replaces the direct reports of that
// zone's routers. If the message comes from another zone, this router is the relay of its own
// zone and forwards it to the other routers there.
func (g *Gateway) handleZoneStatus(s *balance.State, now time.Time, from member.Member, m message.ZoneStatus) {
	if m.Zone == g.self.Zone {
		return
	}
	g.lastSums[m.Zone] = now
	for id, zone := range g.directZones {
		if zone == m.Zone {
			s.ForgetPeer(now, string(id))
			g.rollouts.RemovePeer(string(id))
			delete(g.directZones, id)
		}
	}
	s.ApplyReport(now, sumPeerName(m.Zone), reportOf(m.Status))
	g.rollouts.SetPeer(sumPeerName(m.Zone), m.Status.RolloutResults)
	g.hearAges(now, from, m.Status.Revisions, m.Status.Ages)
	g.requestNewer(now, from, m.Status.Revisions)
	if from.Zone != g.self.Zone {
		m.Status.Revisions, m.Status.Ages = g.catalog.Newest(), g.copies.Ages(now)
		g.sendAll(members(inZone(g.roster.Serving(now), g.self.Zone)), m)
	}
}

// sendAll sends a message to several routers: to a few on streams, which lose none and keep their
// order, to many as datagrams, since streams to all would take most of a router's memory.
func (g *Gateway) sendAll(to []member.Member, m message.Message) {
	if len(to) <= maxMeshPeers || !g.datagrams.SendAll(to, m) {
		g.peers.SendAll(to, m)
	}
}

// sumPeerName returns the name under which a zone's sum is stored among the routers' reports.
func sumPeerName(zone string) string { return "zone " + zone }

// inZone returns the routers of a list that are in a zone.
func inZone(list []message.RouterRecord, zone string) []message.RouterRecord {
	var out []message.RouterRecord
	for _, r := range list {
		if r.Zone == zone {
			out = append(out, r)
		}
	}
	return out
}

func members(list []message.RouterRecord) []member.Member {
	var out []member.Member
	for _, r := range list {
		out = append(out, roster.Member(r))
	}
	return out
}

// updateSelf updates this router's own record in the roster.
func (g *Gateway) updateSelf() {
	g.roster.UpdateSelf(message.RouterRecord{
		Ready: g.server.Ready(), Leaving: g.leaving, Serving: g.reporter.active || g.relays.Active(),
		StoreFailing: !g.storeWatch.Reaches(clock.Now()), Capacity: g.Capacity, Handover: g.relays.Announced(),
	})
	g.roster.SetRevisions(g.catalog.Newest(), g.suspects.Digest())
}

// gossip sends this router's current record and revisions to some other routers at once,
// without waiting for the next tick.
func (g *Gateway) gossip(now time.Time) {
	g.lastGossip, g.gossipPending, g.newsFromStore = now, false, false
	g.updateSelf()
	g.sendPings(now, g.roster.Gossip(now))
}

// sendPings sends the roster's outgoing pings. Revisions and ages are set together: a router whose
// copy is as of these revisions is confirmed by these ages.
func (g *Gateway) sendPings(now time.Time, list []roster.Outgoing) {
	if len(list) == 0 {
		return
	}
	revisions, ages := g.catalog.Newest(), g.copies.Ages(now)
	for _, s := range list {
		s.Ping.Revisions, s.Ping.Ages = revisions, ages
		g.sendTo(member.Member{Peer: s.Peer}, s.Ping)
	}
}

// sendTo sends a message to another router: as a datagram, or on a stream if the message is too
// large for one.
func (g *Gateway) sendTo(to member.Member, m message.Message) {
	if !g.datagrams.Send(to, m) {
		g.peers.Send(to, m)
	}
}

// statusOf converts a report into a message.
func (g *Gateway) statusOf(now time.Time, r view.Report) message.Status {
	m := message.Status{Revisions: g.catalog.Newest(), Ages: g.copies.Ages(now), RolloutResults: g.rollouts.Results(), Speeds: r.Speeds, Returns: r.Returns}
	for id, l := range r.Loads {
		m.Loads = append(m.Loads, targetLoad(id, l))
	}
	for id, parts := range r.SharedParts {
		m.SharedParts = append(m.SharedParts, message.TargetParts{Target: id, Parts: parts})
	}
	for name, u := range r.Usage {
		m.Usage = append(m.Usage, message.OrganisationUsage{Organisation: name, Demand: u.Demand, Started: u.Started, Waiting: u.Waiting})
	}
	return m
}

func targetLoad(id string, l view.Load) message.TargetLoad {
	return message.TargetLoad{Target: id, PendingTokens: l.PendingTokens, Running: l.Running, MemoryTokens: l.MemoryTokens}
}

// sendLoad sends the serving routers, without waiting for the next report, the load that this
// router's requests put on a target, and the part that the latest request added.
func (g *Gateway) sendLoad(target string, now, added view.Load) {
	m := message.Loads{Loads: []message.TargetLoad{targetLoad(target, now)}, Deltas: []message.TargetLoad{targetLoad(target, added)}}
	for _, to := range g.roster.Serving(clock.Now()) {
		g.sendTo(roster.Member(to), m)
	}
}
