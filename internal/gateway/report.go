package gateway

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/roster"
	"github.com/stepcroft/stepcroft/internal/view"
)

const (
	// reportPeriod is the time between reports of load among the routers that
	// serve callers, while they are few: a third of the time that engines take
	// to read what they may hold unread.
	reportPeriod = 100 * time.Millisecond
	// periodPerPeer lengthens it for more receivers, so that a router sends and
	// receives some 100 reports a second.
	periodPerPeer = 10 * time.Millisecond
	// beatPeriod is the time between looks at which messages to other routers
	// are due: news that come together in it are passed on together.
	beatPeriod = 50 * time.Millisecond
)

// reporter is when and what a router has told the others that serve callers.
type reporter struct {
	due time.Time
	// serving is whether it had something to tell.
	serving bool
}

// beats does what is due towards the other routers.
func (g *Gateway) beats(ctx context.Context) {
	for next := time.Now(); group.SleepUntil(ctx, next); next = time.Now().Add(beatPeriod) {
		g.loop.Ask(ctx, g.beat)
	}
}

func (g *Gateway) beat(s *balance.State, now time.Time) {
	if !now.Before(g.reporter.due) {
		g.report(s, now)
	}
	g.say()
	g.send(g.roster.Tick(now))
	if g.catalog.Expire(now) {
		s.SetTargets(now, g.catalog.Targets())
	}
}

// report tells the other routers that serve callers what this one's requests put
// on targets, as long as there are any, and once that there are none any more.
func (g *Gateway) report(s *balance.State, now time.Time) {
	r := s.Report(now)
	to := g.roster.Serving(now)
	if r.Serving() || g.reporter.serving {
		g.peers.SendAll(to, g.describe(r))
	}
	period := max(reportPeriod, periodPerPeer*time.Duration(len(to)))
	g.reporter = reporter{due: now.Add(period), serving: r.Serving()}
	s.SetReportPeriod(period)
	s.SetOthers(g.roster.Others(now))
}

// say tells the roster how this router is.
func (g *Gateway) say() {
	g.roster.Say(message.RouterRecord{
		Ready: g.server.Ready(), Leaving: g.leaving, Serving: g.reporter.serving,
		StoreTrouble: !g.trouble.IsZero(), Capacity: g.Capacity,
	})
	g.roster.Have(g.catalog.ConfigRevision(), g.catalog.Changed())
}

// spread tells some other routers at once what is new, who do the same.
func (g *Gateway) spread(now time.Time) {
	g.say()
	g.send(g.roster.Spread(now))
}

// send sends what the roster says.
func (g *Gateway) send(list []roster.Send) {
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
	m := message.Status{Config: g.catalog.ConfigRevision(), Targets: g.catalog.Changed()}
	for id, l := range r.Loads {
		m.Loads = append(m.Loads, targetLoad(id, l))
	}
	for id, parts := range r.Kept {
		m.Kept = append(m.Kept, message.TargetParts{Target: id, Parts: parts})
	}
	for name, u := range r.Usage {
		m.Usage = append(m.Usage, message.OrganisationUsage{Organisation: name, Asked: u.Asked, Begun: u.Begun, Waiting: u.Waiting})
	}
	return m
}

func targetLoad(id string, l view.Load) message.TargetLoad {
	return message.TargetLoad{Target: id, Unread: l.Unread, Running: l.Running, Memory: l.Memory}
}

// tellLoad tells the serving routers at once what own requests put on a target.
func (g *Gateway) tellLoad(target string, l view.Load) {
	m := message.Loads{Loads: []message.TargetLoad{targetLoad(target, l)}}
	g.peers.SendAll(g.roster.Serving(time.Now()), m)
}
