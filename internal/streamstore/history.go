package streamstore

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
	"github.com/stepcroft/stepcroft/internal/unrecorded"
)

// storedRoutes is what the store held of routes as this router started, or what it knew of them itself before it may have
// missed some, until the configurations since are known.
type storedRoutes struct {
	uses     []routehistory.Use
	limits   routehistory.Limits
	configAt int64
	// wanted is set if the configurations since are to be read, and readAt is when they may be read again.
	wanted bool
	readAt time.Time
}

// NoteMissedConfigs makes the configurations since the one in force be read, before another one replaces it, if that was
// too old: this router's process may have stood still, or been cut off, while others came and went.
func (k *Keeper) NoteMissedConfigs(now time.Time, config int64) {
	age, _ := k.Copies.Age(now, message.StoreConfig)
	if k.Store == nil || config == 0 || !k.Copies.Follows(message.StoreConfig) || age <= k.Copies.Limit(message.StoreConfig) {
		return
	}
	if k.Routes.Known(now) {
		k.stored = &storedRoutes{uses: k.Routes.Uses(now), limits: k.Routes.Limits(now), configAt: config}
	}
	k.Routes.Forget(now, age)
}

// RestoreRoutes completes the history of routes once what was stored and a configuration are known. If that is newer than
// what was stored, the configurations in between are read first.
func (k *Keeper) RestoreRoutes(now time.Time) {
	stored := k.stored
	at := k.Catalog.Complete().Config
	switch {
	case stored == nil || at == 0 && stored.configAt != streamversion.NoStreams:
	case at <= stored.configAt:
		k.endRestoreRoutes(now, nil)
	case k.Routes.Known(now):
		k.stored = nil
	case stored.wanted && !now.Before(stored.readAt):
		stored.readAt = now.Add(HistoryInterval)
		k.Store.ReadConfigs(stored.configAt)
	}
}

// endRestoreRoutes restores the history of routes with the configurations that have followed what was stored.
func (k *Keeper) endRestoreRoutes(now time.Time, later []*routing.Table) {
	stored := k.stored
	k.stored = nil
	if stored.configAt != streamversion.NoStreams {
		k.Routes.RestoreLimits(now, stored.limits, later)
	}
	k.Routes.Restore(now, stored.uses, later)
	k.Log.Info("routes restored", "uses", len(stored.uses), "configurations", len(later))
	k.endPastRead()
}

// SetConfigs records the configurations that have come into force since one of a revision; known is false if the store does
// not have them all any more.
func (k *Keeper) SetConfigs(now time.Time, since int64, later []*routing.Table, known bool) {
	switch {
	case k.stored == nil || k.stored.configAt != since:
		// It answers an earlier read.
	case known:
		k.endRestoreRoutes(now, later)
	default:
		k.stored = nil
		k.endPastRead()
	}
}

// readZoneDrains reads which drains of zones have ended if streams without a record depend on it.
func (k *Keeper) readZoneDrains(s *balance.State, now time.Time) {
	if k.Store == nil || now.Before(k.zoneDrainsAt) {
		return
	}
	if since, needed := s.NeededZoneDrains(now); needed {
		k.zoneDrainsAt = now.Add(HistoryInterval)
		k.Store.ReadZoneDrains(since)
	}
}

// AwaitPast returns a channel that is closed once a part of the store's history has been read, of configurations or of
// entries, if it depends on that which version began a stream without a record; otherwise it returns nil. The history of
// entries is read only once that is so: of most services a target has not changed since what is stored was written.
func (k *Keeper) AwaitPast(s *balance.State, now time.Time, t forward.TakeUp) <-chan struct{} {
	needed := k.stored != nil
	if needed {
		k.stored.wanted = true
		k.RestoreRoutes(now)
	}
	for _, service := range k.Routes.Services(now, t.Host, t.Path, t.Stream, t.Service) {
		since, neededHere := s.NeededPast(now, service, t.Regions)
		needed = needed || neededHere
		if neededHere && k.Store != nil && !now.Before(k.pastAt) {
			k.pastAt = now.Add(HistoryInterval)
			k.Store.ReadPast(since, s.StoredAt(now))
		}
	}
	if !needed {
		return nil
	}
	if k.pastRead == nil {
		k.pastRead = make(chan struct{})
	}
	return k.pastRead
}

// SetPast records what the store's history tells of entries.
func (k *Keeper) SetPast(s *balance.State, past unrecorded.Past) {
	s.SetPast(past)
	k.endPastRead()
	// Another service may need more of it.
	k.pastAt = time.Time{}
}

// endPastRead lets the take-ups go on that wait for a part of the store's history.
func (k *Keeper) endPastRead() {
	if k.pastRead != nil {
		close(k.pastRead)
		k.pastRead = nil
	}
}

// routesToStore returns what is to be stored of routes, and the revision of the configuration that they are of; 0 if they
// are not all known.
func (k *Keeper) routesToStore(now time.Time) ([]routehistory.Use, int64) {
	if !k.Routes.Known(now) {
		return nil, 0
	}
	return k.Routes.Uses(now), k.Catalog.Complete().Config
}
