package gateway

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
	"github.com/stepcroft/stepcroft/internal/roster"
	"github.com/stepcroft/stepcroft/internal/streamversion"
	"github.com/stepcroft/stepcroft/internal/unrecorded"
)

const (
	// streamStoreInterval is the shortest time between two writes of a shard's records. Streams that began
	// within it are lost if all routers are killed.
	streamStoreInterval = 150 * time.Millisecond
	// versionsDelay is the time after the start for which the versions in service are not written: until
	// then a router does not know the others, and each of them ranks first.
	versionsDelay = 250 * time.Millisecond
	// versionsSettle is the time for which a version that has come is not written: the streams that run at
	// the others are stored first, without whose records they could be of either.
	versionsSettle = 300 * time.Millisecond
	// maxSettle is the same where further versions keep coming.
	maxSettle = time.Second
	// versionsTakeover is the time after which one more router writes versions that are not stored, in case the
	// first ones can't.
	versionsTakeover = 3 * time.Second
	// versionsReadInterval is the time until the first read of what is stored, by a router that was not told
	// that a version is. The time until the next one doubles, up to maxVersionsReadInterval.
	versionsReadInterval    = time.Second
	maxVersionsReadInterval = 30 * time.Second
	// historyInterval is the time between tries to read the ends of zones' drains, and again the history of entries.
	historyInterval = 500 * time.Millisecond
	// maxVersionWriters bounds the routers that write versions while none of them is stored.
	maxVersionWriters = 8
)

// StreamStore persists which versions of services began streams, so that callers can take streams up
// after all routers were killed. Its methods do not block, and return false if too many writes are pending.
type StreamStore interface {
	SaveStreams(s streamversion.Snapshot) bool
	// SaveVersions persists the versions in service and calls Gateway.VersionsStored once that is done.
	SaveVersions(v streamversion.Versions) bool
	// ReadVersions reads which versions are stored and calls Gateway.VersionsStored.
	ReadVersions()
	// ReadZoneDrains reads which drains of availability zones have ended after a revision and calls
	// Gateway.ZoneDrainsRead.
	ReadZoneDrains(since int64)
	// ReadPast reads what the store's history tells of entries that are gone and calls Gateway.PastRead. It needs
	// to be known since a revision, or better since what is stored was written.
	ReadPast(since, storedAt int64)
	// ReadConfigs reads the configurations after a revision and calls Gateway.ConfigsRead.
	ReadConfigs(since int64)
}

// streamStore is what is to be written to the StreamStore.
type streamStore struct {
	// restored is set once what earlier processes stored is known. A write before would replace it.
	restored bool
	// era is the era of the store that what this router has saved was meant for.
	era int64
	// nextAt is when records may be written again.
	nextAt time.Time
	// changed is set if the versions in service have changed, at changedAt, and may not be stored yet.
	changed   bool
	changedAt time.Time
	// saved is what this router has read or saved last of the versions in service.
	saved map[streamversion.Served]struct{}
	// storedAt is the newest revision of the versions in service that the store is known to hold.
	storedAt int64
	// readAt is when the stored versions are read if one is not known to be among them, readInterval the
	// time until the read after that.
	readAt       time.Time
	readInterval time.Duration
	// zoneDrainsAt is when the ends of zones' drains may be read again, and pastAt the history of entries.
	zoneDrainsAt, pastAt time.Time
	// pastRead is closed once the history of entries, or of configurations, has been read.
	pastRead chan struct{}
	// routes is what was stored of routes, nil once the history of routes is restored, or if it can't be. savedConfig is the
	// revision of the newest configuration whose routes this router has saved.
	routes      *storedRoutes
	savedConfig int64
	// routesKnown is set once the history of routes is known, so that it can be stored.
	routesKnown bool
}

// servedSet returns the versions without their times.
func servedSet(list []streamversion.Served) map[streamversion.Served]struct{} {
	set := make(map[streamversion.Served]struct{}, len(list))
	for _, v := range list {
		v.GoneFor = 0
		set[v] = struct{}{}
	}
	return set
}

// RestoreStreams adds which versions began streams, and were in service, before this router started.
func (g *Gateway) RestoreStreams(stored streamversion.Stored) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		g.streams.Restore(now, stored.Records, stored.Complete)
		s.RestoreVersions(now, stored.Versions, stored.Complete)
		s.RequirePastEntries(now, stored.At)
		g.streamStore.restored, g.streamStore.era = true, stored.Era
		if stored.Complete {
			g.streamStore.saved = servedSet(stored.Versions)
		}
		if !stored.RoutesUnknown {
			g.streamStore.routes = &storedRoutes{uses: stored.Routes, limits: stored.Limits, configAt: stored.ConfigAt, wanted: true}
			if stored.ConfigAt < streamversion.NoStreams {
				g.streamStore.savedConfig = stored.ConfigAt
			}
			g.restoreRoutes(now)
		}
		// They may have changed while what is stored could not be read.
		g.streamStore.changed, g.streamStore.changedAt = true, now
		g.readZoneDrains(s, now)
		g.Log.Info("versions of streams restored", "streams", len(stored.Records), "versions", len(stored.Versions), "complete", stored.Complete)
	})
}

// ZoneDrainsRead records which drains of availability zones have ended.
func (g *Gateway) ZoneDrainsRead(d balance.ZoneDrains) {
	g.loop.Post(func(s *balance.State, _ time.Time) { s.SetZoneDrains(d) })
}

// readZoneDrains reads which drains of zones have ended if streams without a record depend on it.
func (g *Gateway) readZoneDrains(s *balance.State, now time.Time) {
	p := &g.streamStore
	if g.StreamStore == nil || now.Before(p.zoneDrainsAt) {
		return
	}
	if since, needed := s.NeededZoneDrains(now); needed {
		p.zoneDrainsAt = now.Add(historyInterval)
		g.StreamStore.ReadZoneDrains(since)
	}
}

// awaitsPast reports whether it depends on the history of configurations or entries which version began a stream without
// a record. That of entries is read only once that is so: of most services a target has not changed since what is stored
// was written.
func (g *Gateway) awaitsPast(s *balance.State, now time.Time, t forward.TakeUp) bool {
	p := &g.streamStore
	needed := p.routes != nil
	if needed {
		p.routes.wanted = true
		g.restoreRoutes(now)
	}
	for _, service := range g.servicesOf(now, t) {
		since, neededHere := s.NeededPast(now, service, t.Regions)
		needed = needed || neededHere
		if neededHere && g.StreamStore != nil && !now.Before(p.pastAt) {
			p.pastAt = now.Add(historyInterval)
			g.StreamStore.ReadPast(since, s.StoredAt(now))
		}
	}
	if needed && p.pastRead == nil {
		p.pastRead = make(chan struct{})
	}
	return needed
}

// PastRead records what the store's history tells of entries.
func (g *Gateway) PastRead(past unrecorded.Past) {
	g.loop.Post(func(s *balance.State, _ time.Time) {
		s.SetPast(past)
		g.endPastRead()
		// Another service may need more of it.
		g.streamStore.pastAt = time.Time{}
	})
}

// AddStreams adds records that another router has stored.
func (g *Gateway) AddStreams(records []streamversion.Record) {
	g.loop.Post(func(_ *balance.State, now time.Time) { g.streams.Add(now, records) })
}

// VersionsStored records which versions in service the store holds, as of its revision of them; 0 if that is not
// known. If this router has written them, it tells the others, who may not let streams begin at them before.
func (g *Gateway) VersionsStored(at int64, list []streamversion.ServiceVersion, written bool) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		g.setStoredVersions(s, now, at, list)
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

// setStoredVersions records which versions the store holds, unless what was written later is known. If it lacks one
// that is listed here, versions are written again.
func (g *Gateway) setStoredVersions(s *balance.State, now time.Time, at int64, list []streamversion.ServiceVersion) {
	p := &g.streamStore
	if at != 0 && at < p.storedAt {
		return
	}
	p.storedAt = max(p.storedAt, at)
	if s.SetStoredVersions(now, list) {
		return
	}
	p.saved = nil
	if !p.changed {
		p.changed, p.changedAt = true, now
		g.tickEarlier(now)
	}
}

// streamStoreIdle reports whether storeStreams need not be called.
func (g *Gateway) streamStoreIdle() bool {
	return g.StreamStore == nil ||
		!g.streams.Unsaved() && !g.streamStore.changed && (g.streamStore.routes == nil || !g.streamStore.routes.wanted) && g.storeEra() <= g.streamStore.era
}

// storeEra returns the era of the store as far as this router knows.
func (g *Gateway) storeEra() int64 { return revision.Era(g.catalog.TargetsRevision()) }

// storeStreams writes to the StreamStore what this router ranks first for.
func (g *Gateway) storeStreams(s *balance.State, now time.Time) {
	p := &g.streamStore
	if s.VersionsChanged() {
		p.changed, p.changedAt = true, now
	}
	if g.StreamStore == nil || !p.restored {
		return
	}
	if era := g.storeEra(); era > p.era {
		// The store may have lost all that routers wrote.
		p.era, p.saved, p.changed, p.changedAt = era, nil, true, now
		g.streams.Resave()
	}
	if known := g.routes.Known(now); known != p.routesKnown {
		p.routesKnown = known
		p.changed, p.changedAt = true, now
	}
	if p.changed && now.Sub(g.started) >= versionsDelay {
		g.storeVersions(s, now)
	}
	g.storeRecords(now)
}

// storeVersions writes the versions in service if they are not stored yet and it is this router's turn, and
// reads what is stored if nobody has told that one of them is.
func (g *Gateway) storeVersions(s *balance.State, now time.Time) {
	p := &g.streamStore
	g.Metrics.SetHeldStreams(s.HeldStreams())
	first, last := s.UnstoredSince()
	unstored := !first.IsZero()
	if now.Sub(last) < versionsSettle && now.Sub(first) < maxSettle {
		return
	}
	list := s.ServedVersions(now)
	set := servedSet(list)
	isSaved := func() bool {
		return maps.Equal(set, p.saved) && (!p.routesKnown || g.catalog.Complete().Config <= p.savedConfig)
	}
	if writers := min(1+int(now.Sub(p.changedAt)/versionsTakeover), maxVersionWriters); !isSaved() &&
		(g.streams.LeadsFleet(now) || unstored && g.streams.RanksAmong(now, writers)) {
		v := streamversion.Versions{Served: list, Era: p.era, Since: s.VersionsKnownSince(now), At: s.StoredAt(now)}
		v.Routes, v.ConfigAt = g.routesToStore(now)
		v.Limits = g.routes.Limits(now)
		if g.StreamStore.SaveVersions(v) {
			p.saved, p.savedConfig = set, max(p.savedConfig, v.ConfigAt)
		}
	}
	if unstored {
		g.readVersions(now, first)
		return
	}
	p.readAt = time.Time{}
	p.changed = !isSaved() && now.Sub(p.changedAt) <= versionsTakeover
}

// readVersions reads what is stored some time after a version has come, and again and again. Routers that
// wait for the same version are spread over time.
func (g *Gateway) readVersions(now, came time.Time) {
	p := &g.streamStore
	if p.readAt.IsZero() {
		p.readInterval = versionsReadInterval
		p.readAt = came.Add(p.readInterval + rand.N(p.readInterval))
	}
	if now.Before(p.readAt) {
		return
	}
	p.readInterval = min(2*p.readInterval, maxVersionsReadInterval)
	p.readAt = now.Add(p.readInterval/2 + rand.N(p.readInterval))
	g.StreamStore.ReadVersions()
}

// storeRecords writes the records that have come, unless that was done a moment ago.
func (g *Gateway) storeRecords(now time.Time) {
	p := &g.streamStore
	if g.StreamStore == nil || !p.restored || now.Before(p.nextAt) {
		return
	}
	for _, snapshot := range g.streams.TakeSnapshots(now) {
		p.nextAt = now.Add(streamStoreInterval)
		if !g.StreamStore.SaveStreams(snapshot) {
			g.Log.Info("records of streams not kept", "shard", snapshot.Shard, "slot", snapshot.Slot, "streams", len(snapshot.Records))
		}
	}
}
