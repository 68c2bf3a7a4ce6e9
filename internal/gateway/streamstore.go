package gateway

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/roster"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamstore"
	"github.com/stepcroft/stepcroft/internal/streamversion"
	"github.com/stepcroft/stepcroft/internal/unrecorded"
)

// StreamStore persists which versions of services began streams. It has the methods of the gateway called that are below.
type StreamStore = streamstore.Store

// RestoreStreams adds which versions began streams, and were in service, before this router started.
func (g *Gateway) RestoreStreams(stored streamversion.Stored) {
	g.loop.Post(func(s *balance.State, now time.Time) { g.streamStore.Restore(s, now, stored) })
}

// ZoneDrainsRead records which drains of availability zones have ended.
func (g *Gateway) ZoneDrainsRead(d balance.ZoneDrains) {
	g.loop.Post(func(s *balance.State, _ time.Time) { s.SetZoneDrains(d) })
}

// PastRead records what the store's history tells of entries.
func (g *Gateway) PastRead(past unrecorded.Past) {
	g.loop.Post(func(s *balance.State, _ time.Time) { g.streamStore.SetPast(s, past) })
}

// ConfigsRead records the configurations that have come into force since one of a revision; known is false if the store does
// not have them all any more.
func (g *Gateway) ConfigsRead(since int64, later []*routing.Table, known bool) {
	g.loop.Post(func(_ *balance.State, now time.Time) { g.streamStore.SetConfigs(now, since, later, known) })
}

// AddStreams adds records that another router has stored.
func (g *Gateway) AddStreams(records []streamversion.Record) {
	g.loop.Post(func(_ *balance.State, now time.Time) { g.streams.Add(now, records) })
}

// VersionsStored records which versions in service the store holds, as of its revision of them; 0 if that is not
// known. If this router has written them, it tells the others, who may not let streams begin at them before.
func (g *Gateway) VersionsStored(at int64, list []streamversion.ServiceVersion, written bool) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		g.streamStore.SetStored(s, now, at, list)
		if !written {
			return
		}
		var others []member.Member
		for r := range g.runningRouters(now) {
			if r.ID != g.self.ID {
				others = append(others, roster.Member(r))
			}
		}
		g.sendAll(others, message.StreamVersions{Message: streamversion.Message{Stored: list, StoredAt: at}})
	})
}

// setRoutes notes the routes of a configuration that has come into force. Other routers are told of the running streams
// that their routes no longer lead to.
func (g *Gateway) setRoutes(s *balance.State, now time.Time, t *routing.Table) {
	g.streamStore.NoteChange(now)
	g.tickEarlier(now)
	if g.routes.Set(now, t) {
		s.RoutesChanged()
		g.Log.Info("routes lead to other services", "version", t.Version(), "streams_shared", g.records.Share(s, now))
	}
	g.streamStore.RestoreRoutes(now)
}
