package gateway

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/loadreport"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/roster"
)

// reportSender implements loadreport.Sender and loadreport.Copies.
type reportSender struct{ *Gateway }

// Send implements loadreport.Sender.
func (g reportSender) Send(to member.Member, m message.Message) { g.sendTo(to, m) }

// SendOnStream implements loadreport.Sender.
func (g reportSender) SendOnStream(to member.Member, m message.Message) { g.peers.Send(to, m) }

// SendAll implements loadreport.Sender.
func (g reportSender) SendAll(to []member.Member, m message.Message) { g.sendAll(to, m) }

// Newest implements loadreport.Copies.
func (g reportSender) Newest() message.Revisions { return g.catalog.Newest() }

// Ages implements loadreport.Copies.
func (g reportSender) Ages(now time.Time) message.Ages { return g.copies.Ages(now) }

// sendAll sends a message to several routers: to a few on streams, which lose none and keep their
// order, to many as datagrams, since streams to all would take most of a router's memory.
func (g *Gateway) sendAll(to []member.Member, m message.Message) {
	if len(to) <= loadreport.MaxMeshPeers || !g.datagrams.SendAll(to, m) {
		g.peers.SendAll(to, m)
	}
}

// updateSelf updates this router's own record in the roster.
func (g *Gateway) updateSelf() {
	g.roster.UpdateSelf(message.RouterRecord{
		Ready: g.server.Ready(), Leaving: g.leaving, Serving: g.reports.Active() || g.relays.Active(),
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
