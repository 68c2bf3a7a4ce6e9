package gateway

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
	"github.com/stepcroft/stepcroft/internal/roster"
	"github.com/stepcroft/stepcroft/internal/throttle"
	"github.com/stepcroft/stepcroft/internal/view"
	"github.com/stepcroft/stepcroft/internal/zonesum"
)

const (
	// reportPeriod is the time between reports of load among the routers that
	// serve callers, while they are few: a third of the time that engines take
	// to read what they may hold unread.
	reportPeriod = 100 * time.Millisecond
	// periodPerPeer lengthens it for more receivers, so that a router sends and
	// receives some 100 reports a second.
	periodPerPeer = 10 * time.Millisecond
	// meshMost is the number of other serving routers up to which all of them tell
	// one another; beyond, zones tell sums. Sums are older by up to sumPeriod, and
	// what passes between zones falls with them.
	meshMost = 16
	// sumPeriod is the time between sums: half of what engines take to read what
	// they may hold unread.
	sumPeriod = 200 * time.Millisecond
	// sumAge is for how long after a zone's sum what its routers tell directly is
	// left aside: it is in the sum.
	sumAge = time.Second
	// beatPeriod is the time between looks at which messages to other routers
	// are due: news that come together in it are passed on together.
	beatPeriod = 50 * time.Millisecond
)

// reporter is when and what a router has told the others that serve callers.
type reporter struct {
	due time.Time
	// sumDue is when the next sum of the zone is.
	sumDue time.Time
	// serving is whether it had something to tell.
	serving bool
}

// beats does what is due towards the other routers.
func (g *Gateway) beats(ctx context.Context) {
	for next := clock.Now(); group.SleepUntil(ctx, next); next = clock.Now().Add(beatPeriod) {
		g.loop.PostAndWait(ctx, g.beat)
	}
}

func (g *Gateway) beat(s *balance.State, now time.Time) {
	if !now.Before(g.reporter.due) {
		g.report(s, now)
	}
	g.say()
	g.send(g.roster.Tick(now))
	g.logBeliefs(g.roster.Changes())
	g.logThrottles(s.ThrottleNotices())
	g.logTallies(now)
	g.logCold(s, now)
	g.logAdvice(s)
	g.found(now)
	g.expireSuspects(now)
	g.stopWaiting(now)
	if expired := g.catalog.ExpireLapsed(now); len(expired) > 0 {
		g.Log.Info("lapsed targets given up", "era", revision.Era(g.catalog.TargetsRevision()), "revision", revision.Store(g.catalog.TargetsRevision()), "count", len(expired),
			"targets", expired[:min(len(expired), namesMost)])
		s.SetTargets(now, g.catalog.Targets())
	}
	if g.catalog.Settle(now) {
		g.targetsChanged(s, now, true, fromTime)
	}
}

// namesMost bounds the targets named in a line, so that a line stays short where
// hundreds go at once.
const namesMost = 8

// linesMost is the number of routers up to which each change of belief gets a line:
// where all start at once, hundreds would push other lines out.
const linesMost = 8

// logBeliefs logs which routers were found, are suspected or gone.
func (g *Gateway) logBeliefs(list []message.RouterRecord) {
	if len(list) > linesMost {
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

// logThrottles logs which organisations the router throttles, or no longer: what it
// refuses unread may be hundreds of requests a second, of which few get a line.
func (g *Gateway) logThrottles(list []throttle.Notice) {
	for _, k := range list {
		what := "organisation throttled"
		if k.Ended {
			what = "organisation no longer throttled"
		}
		g.Log.Info(what, "organisation", k.Organisation, "busy", k.CPUUtilisation, "coalesce", k.CoalesceLevel, "cores", k.CoreLimit,
			"had", int(k.Served), "share", int(min(k.FairShare, math.MaxInt32)), "least_waiting", int(min(k.LeastServedWaiting, math.MaxInt32)),
			"waiting", k.Waiting, "crowded", k.RejectedQueueFull, "busied", k.RejectedBusy, "after_ms", k.Duration.Milliseconds())
	}
}

// report tells the other routers that serve callers what this one's requests put
// on targets, as long as there are any, and once that there are none any more. In a
// large fleet it tells those of its zone, and the relay of the zone tells the sum.
func (g *Gateway) report(s *balance.State, now time.Time) {
	r := s.Report(now)
	serving := g.roster.Serving(now)
	to := serving
	summed := len(serving) > meshMost
	if summed {
		to = inZone(serving, g.known.Zone)
	}
	if r.Active() || g.reporter.serving {
		own := g.describe(r)
		g.peers.SendAll(members(to), own)
		g.zone.UpdateReport(now, g.known.ID, own)
	}
	if summed && g.relays(serving) {
		g.tellSum(now, serving)
	} else {
		g.zone.DiscardParts()
	}
	period := max(reportPeriod, periodPerPeer*time.Duration(len(to)))
	g.reporter.due, g.reporter.serving = now.Add(period), r.Active()
	if summed {
		// What waits in another zone is told by two, each when its turn comes.
		period += sumPeriod
	}
	s.SetReportPeriod(period)
	s.SetPeers(g.roster.CountOthers(now), len(serving))
}

// relays reports whether this router tells the sum of its zone. One that does not
// serve would rank first for itself alone.
func (g *Gateway) relays(serving []message.RouterRecord) bool {
	self := g.roster.Self()
	if !self.Serving {
		return false
	}
	first, ok := zonesum.SelectRelay(self.Zone, append(slices.Clone(serving), self))
	return ok && first.ID == self.ID
}

// tellSum tells the relay of each other zone the sum of this one.
func (g *Gateway) tellSum(now time.Time, serving []message.RouterRecord) {
	if now.Before(g.reporter.sumDue) {
		return
	}
	g.reporter.sumDue = now.Add(sumPeriod)
	sum := g.zone.Take(now)
	sum.Revisions = g.catalog.Newest()
	told := map[string]bool{g.known.Zone: true}
	for _, r := range serving {
		if told[r.Zone] {
			continue
		}
		told[r.Zone] = true
		if to, ok := zonesum.SelectRelay(r.Zone, serving); ok {
			g.peers.Send(roster.Member(to), message.ZoneStatus{Zone: g.known.Zone, Status: sum})
		}
	}
}

// heardZone takes in the sum of another zone, which replaces what routers of that
// zone told this one directly, and tells it to this router's zone if it comes from
// the other.
func (g *Gateway) heardZone(s *balance.State, now time.Time, from member.Member, m message.ZoneStatus) {
	if m.Zone == g.known.Zone {
		return
	}
	g.sums[m.Zone] = now
	for id, zone := range g.direct {
		if zone == m.Zone {
			s.ForgetPeer(now, string(id))
			delete(g.direct, id)
		}
	}
	s.ApplyReport(now, sumName(m.Zone), reportOf(m.Status))
	g.catchUp(now, from, m.Status.Revisions)
	if from.Zone != g.known.Zone {
		m.Status.Revisions = g.catalog.Newest()
		g.peers.SendAll(members(inZone(g.roster.Serving(now), g.known.Zone)), m)
	}
}

// sumName is the name under which a zone's sum stands among routers' reports.
func sumName(zone string) string { return "zone " + zone }

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

// say tells the roster how this router is.
func (g *Gateway) say() {
	g.roster.UpdateSelf(message.RouterRecord{
		Ready: g.server.Ready(), Leaving: g.leaving, Serving: g.reporter.serving,
		StoreFailing: !g.trouble.IsZero(), Capacity: g.Capacity,
	})
	g.roster.SetRevisions(g.catalog.Newest(), g.isolation.state.Digest())
}

// spread tells some other routers at once what is new, who do the same.
func (g *Gateway) spread(now time.Time) {
	g.say()
	g.send(g.roster.Gossip(now))
}

// send sends what the roster says.
func (g *Gateway) send(list []roster.Outgoing) {
	for _, s := range list {
		g.tell(member.Member{Peer: s.Peer}, s.Ping)
	}
}

// tell sends a message to another router: as a datagram, or on a stream if it is
// too large.
func (g *Gateway) tell(to member.Member, m message.Message) {
	if !g.datagrams.Send(to, m) {
		g.peers.Send(to, m)
	}
}

// describe returns what a report says.
func (g *Gateway) describe(r view.Report) message.Status {
	m := message.Status{Revisions: g.catalog.Newest()}
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

// tellLoad tells the serving routers at once what own requests put on a target, and
// what the last one added.
func (g *Gateway) tellLoad(target string, now, added view.Load) {
	m := message.Loads{Loads: []message.TargetLoad{targetLoad(target, now)}, Deltas: []message.TargetLoad{targetLoad(target, added)}}
	for _, to := range g.roster.Serving(clock.Now()) {
		g.tell(roster.Member(to), m)
	}
}
