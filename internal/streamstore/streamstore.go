// Package streamstore keeps in the platform's store what all routers together must not forget of streams: which versions of
// services began them, which versions are in service, and where routes led. It decides which router writes that and when,
// and completes what is stored, as a router starts, by the store's history.
package streamstore

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

const (
	// recordsInterval is the shortest time between two writes of a shard's records. Streams that began
	// within it are lost if all routers are killed.
	recordsInterval = 150 * time.Millisecond
	// versionsDelay is the time after the start for which the versions in service are not written: until
	// then a router does not know the others, and each of them ranks first.
	versionsDelay = 250 * time.Millisecond
	// Settle is the time for which a version that has come is not written: the streams that run at
	// the others are stored first, without whose records they could be of either.
	Settle = 300 * time.Millisecond
	// maxSettle is the same where further versions keep coming.
	maxSettle = time.Second
	// Takeover is the time after which one more router writes versions that are not stored, in case the
	// first ones can't.
	Takeover = 3 * time.Second
	// versionsReadInterval is the time until the first read of what is stored, by a router that was not told
	// that a version is. The time until the next one doubles, up to maxVersionsReadInterval.
	versionsReadInterval    = time.Second
	maxVersionsReadInterval = 30 * time.Second
	// HistoryInterval is the time between tries to read the ends of zones' drains, and again the history of entries.
	HistoryInterval = 500 * time.Millisecond
	// maxVersionWriters bounds the routers that write versions while none of them is stored.
	maxVersionWriters = 8
)

// Store persists which versions of services began streams, so that callers can take streams up
// after all routers were killed. Its methods do not block, and return false if too many writes are pending.
type Store interface {
	SaveStreams(s streamversion.Snapshot) bool
	// SaveVersions persists the versions in service and has Keeper.SetStored called once that is done.
	SaveVersions(v streamversion.Versions) bool
	// ReadVersions reads which versions are stored and has Keeper.SetStored called.
	ReadVersions()
	// ReadZoneDrains reads which drains of availability zones have ended after a revision and has
	// balance.State.SetZoneDrains called.
	ReadZoneDrains(since int64)
	// ReadPast reads what the store's history tells of entries that are gone and has Keeper.SetPast called. It needs
	// to be known since a revision, or better since what is stored was written.
	ReadPast(since, storedAt int64)
	// ReadConfigs reads the configurations after a revision and has Keeper.SetConfigs called.
	ReadConfigs(since int64)
}

// Catalog has this router's copy of the store. It is implemented by catalog.Catalog.
type Catalog interface {
	TargetsRevision() int64
	Complete() message.Revisions
}

// Copies tells how old that copy is. It is implemented by freshness.Tracker.
type Copies interface {
	Follows(kind message.StoreKind) bool
	Age(now time.Time, kind message.StoreKind) (age time.Duration, source string)
	Limit(kind message.StoreKind) time.Duration
}

// Metrics counts the streams that wait for their version to be stored. It is implemented by counters.Registry.
type Metrics interface{ SetHeldStreams(n int64) }

// Options are what a keeper is made of.
type Options struct {
	// Store is nil if nothing preceded this process, and nothing is to be kept.
	Store   Store
	Streams *streamversion.Directory
	Routes  *routehistory.History
	Catalog Catalog
	Copies  Copies
	Metrics Metrics
	// Wake has Tick called soon.
	Wake func(now time.Time)
	Log  logr.Logger
}

// Keeper writes to the Store and knows what is there. Use New to make one. It belongs to the control goroutine.
type Keeper struct {
	Options
	started time.Time
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
	// stored is what was stored of routes, nil once the history of routes is restored, or if it can't be. savedConfig is the
	// revision of the newest configuration whose routes this router has saved.
	stored      *storedRoutes
	savedConfig int64
	// routesKnown is set once the history of routes is known, so that it can be stored.
	routesKnown bool
}

// New returns a keeper of a router that starts now.
func New(now time.Time, o Options) *Keeper { return &Keeper{Options: o, started: now} }

// Tick reads what is awaited from the store's history, and stores what is to outlive all routers.
func (k *Keeper) Tick(s *balance.State, now time.Time) {
	k.readZoneDrains(s, now)
	k.RestoreRoutes(now)
	k.store(s, now)
}

// NoteChange notes that the versions in service, or routes, may have changed.
func (k *Keeper) NoteChange(now time.Time) { k.changed, k.changedAt = true, now }

// servedSet returns the versions without their times.
func servedSet(list []streamversion.Served) map[streamversion.Served]struct{} {
	set := make(map[streamversion.Served]struct{}, len(list))
	for _, v := range list {
		v.GoneFor = 0
		set[v] = struct{}{}
	}
	return set
}

// Restore adds which versions began streams, and were in service, before this router started.
func (k *Keeper) Restore(s *balance.State, now time.Time, stored streamversion.Stored) {
	k.Streams.Restore(now, stored.Records, stored.Complete)
	s.RestoreVersions(now, stored.Versions, stored.Complete)
	s.RequirePastEntries(now, stored.At)
	k.restored, k.era = true, stored.Era
	if stored.Complete {
		k.saved = servedSet(stored.Versions)
	}
	if !stored.RoutesUnknown {
		k.stored = &storedRoutes{uses: stored.Routes, limits: stored.Limits, configAt: stored.ConfigAt, wanted: true}
		if stored.ConfigAt < streamversion.NoStreams {
			k.savedConfig = stored.ConfigAt
		}
		k.RestoreRoutes(now)
	}
	// They may have changed while what is stored could not be read.
	k.NoteChange(now)
	k.readZoneDrains(s, now)
	k.Log.Info("versions of streams restored", "streams", len(stored.Records), "versions", len(stored.Versions), "complete", stored.Complete)
}

// SetStored records which versions the store holds, unless what was written later is known. If it lacks one
// that is listed here, versions are written again.
func (k *Keeper) SetStored(s *balance.State, now time.Time, at int64, list []streamversion.ServiceVersion) {
	if at != 0 && at < k.storedAt {
		return
	}
	k.storedAt = max(k.storedAt, at)
	if s.SetStoredVersions(now, list) {
		return
	}
	k.saved = nil
	if !k.changed {
		k.NoteChange(now)
		k.Wake(now)
	}
}

// Idle reports whether Tick need not be called.
func (k *Keeper) Idle() bool {
	return k.Store == nil ||
		!k.Streams.Unsaved() && !k.changed && (k.stored == nil || !k.stored.wanted) && k.storeEra() <= k.era
}

// storeEra returns the era of the store as far as this router knows.
func (k *Keeper) storeEra() int64 { return revision.Era(k.Catalog.TargetsRevision()) }

// store writes to the Store what this router ranks first for.
func (k *Keeper) store(s *balance.State, now time.Time) {
	if s.VersionsChanged() {
		k.NoteChange(now)
	}
	if k.Store == nil || !k.restored {
		return
	}
	if era := k.storeEra(); era > k.era {
		// The store may have lost all that routers wrote.
		k.era, k.saved = era, nil
		k.NoteChange(now)
		k.Streams.Resave()
	}
	if known := k.Routes.Known(now); known != k.routesKnown {
		k.routesKnown = known
		k.NoteChange(now)
	}
	if k.changed && now.Sub(k.started) >= versionsDelay {
		k.storeVersions(s, now)
	}
	k.StoreRecords(now)
}

// storeVersions writes the versions in service if they are not stored yet and it is this router's turn, and
// reads what is stored if nobody has told that one of them is.
func (k *Keeper) storeVersions(s *balance.State, now time.Time) {
	k.Metrics.SetHeldStreams(s.HeldStreams())
	first, last := s.UnstoredSince()
	unstored := !first.IsZero()
	if now.Sub(last) < Settle && now.Sub(first) < maxSettle {
		return
	}
	list := s.ServedVersions(now)
	set := servedSet(list)
	isSaved := func() bool {
		return maps.Equal(set, k.saved) && (!k.routesKnown || k.Catalog.Complete().Config <= k.savedConfig)
	}
	if writers := min(1+int(now.Sub(k.changedAt)/Takeover), maxVersionWriters); !isSaved() &&
		(k.Streams.LeadsFleet(now) || unstored && k.Streams.RanksAmong(now, writers)) {
		v := streamversion.Versions{Served: list, Era: k.era, Since: s.VersionsKnownSince(now), At: s.StoredAt(now)}
		v.Routes, v.ConfigAt = k.routesToStore(now)
		v.Limits = k.Routes.Limits(now)
		if k.Store.SaveVersions(v) {
			k.saved, k.savedConfig = set, max(k.savedConfig, v.ConfigAt)
		}
	}
	if unstored {
		k.readVersions(now, first)
		return
	}
	k.readAt = time.Time{}
	k.changed = !isSaved() && now.Sub(k.changedAt) <= Takeover
}

// readVersions reads what is stored some time after a version has come, and again and again. Routers that
// wait for the same version are spread over time.
func (k *Keeper) readVersions(now, came time.Time) {
	if k.readAt.IsZero() {
		k.readInterval = versionsReadInterval
		k.readAt = came.Add(k.readInterval + rand.N(k.readInterval))
	}
	if now.Before(k.readAt) {
		return
	}
	k.readInterval = min(2*k.readInterval, maxVersionsReadInterval)
	k.readAt = now.Add(k.readInterval/2 + rand.N(k.readInterval))
	k.Store.ReadVersions()
}

// StoreRecords writes the records that have come, unless that was done a moment ago.
func (k *Keeper) StoreRecords(now time.Time) {
	if k.Store == nil || !k.restored || now.Before(k.nextAt) {
		return
	}
	for _, snapshot := range k.Streams.TakeSnapshots(now) {
		k.nextAt = now.Add(recordsInterval)
		if !k.Store.SaveStreams(snapshot) {
			k.Log.Info("records of streams not kept", "shard", snapshot.Shard, "slot", snapshot.Slot, "streams", len(snapshot.Records))
		}
	}
}
