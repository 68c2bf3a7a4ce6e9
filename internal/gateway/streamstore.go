package gateway

import (
	"maps"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

const (
	// streamStoreInterval is the shortest time between two writes of a shard's records. Streams that began
	// within it are lost if all routers are killed.
	streamStoreInterval = 150 * time.Millisecond
	// versionsDelay is the time after the start for which the versions in service are not written: until
	// then a router does not know the others, and each of them ranks first.
	versionsDelay = 250 * time.Millisecond
	// versionsTakeover is how long a router that does not rank first keeps in mind that versions have
	// changed, in case the first one ends before it has written so.
	versionsTakeover = 3 * time.Second
)

// StreamStore persists which versions of services began streams, so that callers can take streams up
// after all routers were killed. Its methods do not block, and return false if too many writes are pending.
type StreamStore interface {
	SaveStreams(s streamversion.Snapshot) bool
	SaveVersions(list []streamversion.Served) bool
}

// streamStore is what is to be written to the StreamStore.
type streamStore struct {
	// restored is set once what earlier processes stored is known. A write before would replace it.
	restored bool
	// nextAt is when records may be written again.
	nextAt time.Time
	// changed is set if the versions in service have changed, at changedAt, and may not be stored yet.
	changed   bool
	changedAt time.Time
	// served is what is stored of the versions in service, as far as this router knows.
	served map[streamversion.Served]struct{}
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
func (g *Gateway) RestoreStreams(records []streamversion.Record, versions []streamversion.Served) {
	g.loop.Post(func(s *balance.State, now time.Time) {
		g.streams.Restore(now, records)
		s.RestoreVersions(now, versions)
		g.streamStore.restored, g.streamStore.served = true, servedSet(versions)
		// They may have changed while what is stored could not be read.
		g.streamStore.changed, g.streamStore.changedAt = true, now
		g.Log.Info("versions of streams restored", "streams", len(records), "versions", len(versions))
	})
}

// AddStreams adds records that another router has stored.
func (g *Gateway) AddStreams(records []streamversion.Record) {
	g.loop.Post(func(_ *balance.State, now time.Time) { g.streams.Add(now, records) })
}

// streamStoreIdle reports whether storeStreams need not be called.
func (g *Gateway) streamStoreIdle() bool {
	return g.StreamStore == nil || !g.streams.Unsaved() && !g.streamStore.changed
}

// storeStreams writes to the StreamStore what this router ranks first for.
func (g *Gateway) storeStreams(s *balance.State, now time.Time) {
	p := &g.streamStore
	if s.VersionsChanged() {
		p.changed, p.changedAt = true, now
	}
	if g.StreamStore == nil || !p.restored {
		return
	}
	if p.changed && now.Sub(g.started) >= versionsDelay {
		g.storeVersions(s, now)
	}
	g.storeRecords(now)
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

// storeVersions writes the versions in service if they are not stored yet and this router ranks first.
func (g *Gateway) storeVersions(s *balance.State, now time.Time) {
	p := &g.streamStore
	list := s.ServedVersions(now)
	set := servedSet(list)
	switch {
	case maps.Equal(set, p.served) || now.Sub(p.changedAt) > versionsTakeover:
		p.changed = false
	case g.streams.LeadsFleet(now) && g.StreamStore.SaveVersions(list):
		p.changed, p.served = false, set
	}
}
