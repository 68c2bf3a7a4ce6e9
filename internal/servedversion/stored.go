package servedversion

import (
	"maps"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// storedMarkTTL is how long a version counts as stored that is not listed here yet.
const storedMarkTTL = 10 * time.Second

// RestoreVersions adds the versions that were in service before this process started, as far as they were
// stored. If complete is set, these are all: a service that has none of them is taken for one that was not in
// service.
func (b *Book) RestoreVersions(now time.Time, list []streamversion.Served, complete bool) {
	b.restored = complete
	earlier := map[string][]string{}
	stored := make([]streamversion.ServiceVersion, 0, len(list))
	for _, v := range list {
		if v.GoneFor > streamversion.TTL {
			continue
		}
		earlier[v.Service] = append(earlier[v.Service], v.Version)
		if !v.Gone {
			stored = append(stored, v.ServiceVersion)
		}
		h := b.history(v.Service)
		if at := now.Add(-v.GoneFor); h.listed[v.Version] == 0 && at.After(h.goneAt[v.Version]) {
			h.goneAt[v.Version] = at
		}
	}
	for service, versions := range earlier {
		h := b.history(service)
		delete(h.begun, versions[0])
		if len(versions) == 1 && len(h.begun) == 0 {
			h.earlier, h.earlierUntil = versions[0], now.Add(streamversion.TTL)
		}
	}
	b.SetStoredVersions(now, stored)
}

// RequireStoredVersions makes streams that callers may take up begin only at versions that the store is known
// to hold, as long as they may begin at such targets. What is stored then names all versions that may have
// begun streams, and a router that starts can rely on it.
func (b *Book) RequireStoredVersions() { b.requireStored = true }

// SetStoredVersions records which versions the store holds as being in service. It returns false if a version
// is not among them that is listed here.
func (b *Book) SetStoredVersions(now time.Time, list []streamversion.ServiceVersion) bool {
	stored := make(map[streamversion.ServiceVersion]bool, len(list))
	for _, v := range list {
		stored[v] = true
		b.history(v.Service).stored[v.Version] = now
		delete(b.unstored, v)
	}
	all := true
	for service, h := range b.services {
		maps.DeleteFunc(h.stored, func(version string, _ time.Time) bool {
			return !stored[streamversion.ServiceVersion{Service: service, Version: version}]
		})
		for version := range h.listed {
			v := streamversion.ServiceVersion{Service: service, Version: version}
			if _, known := b.unstored[v]; !stored[v] {
				all = false
				if b.requireStored && !known {
					b.unstored[v] = now
				}
			}
		}
	}
	return all
}

// UnstoredSince returns since when versions have been listed that the store is not known to hold: the
// first and the last of them. It returns zero times if there are none.
func (b *Book) UnstoredSince() (first, last time.Time) {
	for _, at := range b.unstored {
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	return first, last
}

// UnstoredFor returns for how long a version has been listed that the store is not known to hold, or false if it is.
func (b *Book) UnstoredFor(now time.Time, v streamversion.ServiceVersion) (time.Duration, bool) {
	at, unstored := b.unstored[v]
	return now.Sub(at), unstored
}

// AllStored reports whether the store is known to hold all listed versions.
func (b *Book) AllStored() bool { return len(b.unstored) == 0 }

// IsStored reports whether the store is known to hold a version.
func (b *Book) IsStored(v streamversion.ServiceVersion) bool {
	h := b.services[v.Service]
	return h != nil && h.isStored(v.Version)
}

// Listed returns the listed versions of a service, in no order.
func (b *Book) Listed(service string) []string {
	h := b.services[service]
	if h == nil {
		return nil
	}
	return slices.Collect(maps.Keys(h.listed))
}

// RouterLost records that another router has ended in an unplanned way. With it, records of streams may be lost
// that have begun since the start, so that a stream without one need not have begun before.
func (b *Book) RouterLost() {
	for _, h := range b.services {
		for version := range h.stored {
			if version != h.earlier && h.listed[version] > 0 {
				h.earlierUntil = time.Time{}
			}
		}
	}
}
