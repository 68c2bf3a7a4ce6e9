package gateway

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/loadreport"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
)

// sender implements loadreport.Sender, loadreport.Copies and news.Sender.
type sender struct{ *Gateway }

// Send implements loadreport.Sender.
func (g sender) Send(to member.Member, m message.Message) { g.sendTo(to, m) }

// SendOnStream implements loadreport.Sender.
func (g sender) SendOnStream(to member.Member, m message.Message) { g.peers.Send(to, m) }

// SendAll implements loadreport.Sender.
func (g sender) SendAll(to []member.Member, m message.Message) { g.sendAll(to, m) }

// Newest implements loadreport.Copies.
func (g sender) Newest() message.Revisions { return g.catalog.Newest() }

// Ages implements loadreport.Copies.
func (g sender) Ages(now time.Time) message.Ages { return g.copies.Ages(now) }

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

// sendTo sends a message to another router: as a datagram, or on a stream if the message is too
// large for one.
func (g *Gateway) sendTo(to member.Member, m message.Message) {
	if !g.datagrams.Send(to, m) {
		g.peers.Send(to, m)
	}
}
