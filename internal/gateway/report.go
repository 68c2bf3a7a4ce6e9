package gateway

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/view"
)

const (
	// reportPeriod is the time between reports of load among the routers that
	// serve callers, while they are few: a third of the time that engines take
	// to read what they may hold unread.
	reportPeriod = 100 * time.Millisecond
	// heartbeatPeriod is the time between what other pairs of routers say to
	// one another: a third of memberTimeout.
	heartbeatPeriod = 500 * time.Millisecond
	// periodPerPeer lengthens both periods for more receivers, so that a router
	// sends and receives some 100 messages a second of each kind.
	periodPerPeer = 10 * time.Millisecond
)

// reporter is what a router has told the others.
type reporter struct {
	// serving is what the others were last told.
	serving bool
	// beat is when all were told.
	beat time.Time
}

// reports tells the other routers of this one from time to time.
func (g *Gateway) reports(ctx context.Context) {
	next := time.Now()
	for group.SleepUntil(ctx, next) {
		period := reportPeriod
		g.loop.Ask(ctx, func(s *balance.State, now time.Time) {
			period = g.report(s, now)
			s.SetReportPeriod(period)
			g.expire(s, now)
		})
		next = time.Now().Add(period)
	}
}

// report tells the serving routers of this one's load, and all routers when a
// heartbeat is due or when this one begins or ceases to serve. It returns the
// time until the next report.
func (g *Gateway) report(s *balance.State, now time.Time) time.Duration {
	r := s.Report(now)
	others := g.members.Others(now)
	heartbeat := max(heartbeatPeriod, periodPerPeer*time.Duration(len(others)))
	if r.Serving() != g.reporter.serving || now.Sub(g.reporter.beat) >= heartbeat {
		g.tell(r, now, others)
	} else if r.Serving() {
		others = g.serving(others)
		g.peers.SendAll(others, g.describe(r))
	}
	return max(reportPeriod, periodPerPeer*time.Duration(len(g.serving(others))))
}

// tellAll tells all routers of this one at once.
func (g *Gateway) tellAll(s *balance.State, now time.Time) {
	g.tell(s.Report(now), now, g.members.Others(now))
}

// tell sends a report to all other routers: to those that serve with loads, to
// the rest and to the seeds that are not known without.
func (g *Gateway) tell(r view.Report, now time.Time, others []member.Member) {
	g.reporter = reporter{serving: r.Serving(), beat: now}
	full := g.describe(r)
	brief := full
	brief.Loads, brief.Usage, brief.Kept = nil, nil, nil
	known := map[string]bool{g.members.Self().Peer: true}
	var serving, rest []member.Member
	for _, to := range others {
		known[to.Peer] = true
		if g.status[to.ID].Serving {
			serving = append(serving, to)
			continue
		}
		rest = append(rest, to)
	}
	for _, address := range g.Seeds {
		if !known[address] {
			rest = append(rest, member.Member{Peer: address})
		}
	}
	g.peers.SendAll(serving, full)
	g.peers.SendAll(rest, brief)
}

// serving returns those of a list of routers that serve callers.
func (g *Gateway) serving(list []member.Member) []member.Member {
	var out []member.Member
	for _, m := range list {
		if g.status[m.ID].Serving {
			out = append(out, m)
		}
	}
	return out
}

// describe returns the router's whole status.
func (g *Gateway) describe(r view.Report) message.Status {
	m := message.Status{
		Ready:   g.server.Ready(),
		Leaving: g.members.Self().Leaving,
		Config:  g.catalog.ConfigRevision(),
		Targets: g.catalog.Changed(),
		Serving: r.Serving(),

		Capacity:     g.Capacity,
		StoreTrouble: !g.trouble.IsZero(),
	}
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
	g.peers.SendAll(g.serving(g.members.Others(time.Now())), m)
}
