// Package servedversion knows which versions of services' software there are, and were a short time ago, which of them
// the store holds, and of which one a stream without a record is.
package servedversion

import (
	"iter"
	"maps"
	"time"

	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
	"github.com/stepcroft/stepcroft/internal/unrecorded"
)

// Targets are the listed targets.
type Targets interface {
	// Entries returns the entries of a service's targets in some regions.
	Entries(now time.Time, service string, regions routing.Regions) iter.Seq[unrecorded.Entry]
	// Region returns the region of an availability zone.
	Region(zone string) string
}

// Book has the versions of all services. Use New to make one. It is used by one goroutine.
type Book struct {
	// Evidence tells whether streams without a record may have begun at versions that the store does not hold.
	unrecorded.Evidence
	targets  Targets
	services map[string]*history
	// restored is set once the versions before startedAt are known, changed if they have changed since the last call of
	// VersionsChanged, mixed if a service has got another one since the last call of BecameMixed, and listed once targets
	// have been listed.
	restored, changed, mixed, listed bool
	startedAt                        time.Time
	// blindUntil is the last time at which targets may have been listed that this router has not seen.
	blindUntil time.Time
	// requireStored is set if streams may begin only at versions that the store holds, and unstored has the
	// listed versions that it is not known to hold, with the times when they were listed first.
	requireStored bool
	// limitsChanged reports whether streams may have begun under other limits of regions; nil if there are none.
	limitsChanged func(now time.Time) bool
	unstored      map[streamversion.ServiceVersion]time.Time
}

// New returns a book without versions.
func New(now time.Time, t Targets) *Book {
	return &Book{targets: t, startedAt: now, blindUntil: now, services: map[string]*history{}, unstored: map[streamversion.ServiceVersion]time.Time{}}
}

// history tells which versions of a service there are, and were a short time ago.
type history struct {
	// listed counts the listed targets by version, goneAt is when the last one of a version was
	// removed.
	listed map[string]int
	goneAt map[string]time.Time
	// stored has the versions that the store is known to hold as being in service, and when it was said so
	// last, and begun those to whose targets streams were sent.
	stored map[string]time.Time
	begun  map[string]bool
	// mixed is set while there are several versions, or were within streamversion.TTL.
	mixed bool
	// earlier is the only version that began streams before this process started, if another one came
	// while no router ran; valid until earlierUntil.
	earlier      string
	earlierUntil time.Time
}

// expire forgets versions that left long ago.
func (h *history) expire(now time.Time) {
	maps.DeleteFunc(h.goneAt, func(_ string, at time.Time) bool { return now.Sub(at) > streamversion.TTL })
	maps.DeleteFunc(h.stored, func(version string, at time.Time) bool { return h.listed[version] == 0 && now.Sub(at) > storedMarkTTL })
}

// isStored reports whether the store is known to hold a version.
func (h *history) isStored(version string) bool {
	_, stored := h.stored[version]
	return stored
}

// only reports whether a version is and was the only one, or was until all targets left.
func (h *history) only(now time.Time) (string, bool) {
	h.expire(now)
	if len(h.listed) > 1 || len(h.goneAt) > 1 {
		return "", false
	}
	if len(h.listed) == 0 {
		for version := range h.goneAt {
			return version, true
		}
	}
	for version := range h.listed {
		_, back := h.goneAt[version]
		return version, back || len(h.goneAt) == 0
	}
	return "", false
}

// AddTarget counts a target that is listed, and notes services that get another version.
func (b *Book) AddTarget(now time.Time, v streamversion.ServiceVersion) {
	h := b.history(v.Service)
	h.expire(now)
	if h.listed[v.Version]++; h.listed[v.Version] == 1 {
		b.changed = true
		if b.requireStored && !h.isStored(v.Version) {
			b.unstored[v] = now
		}
		if b.listed {
			// Streams may begin at it that are in no record yet.
			h.earlierUntil = time.Time{}
		}
	}
	_, only := h.only(now)
	b.mixed = b.mixed || !only && !h.mixed
	h.mixed = !only
}

// RemoveTarget counts a target that is no longer listed.
func (b *Book) RemoveTarget(now time.Time, v streamversion.ServiceVersion) {
	h := b.services[v.Service]
	if h.listed[v.Version]--; h.listed[v.Version] == 0 {
		delete(h.listed, v.Version)
		// If it comes back, the store must hold that it is in service again.
		delete(h.stored, v.Version)
		delete(b.unstored, v)
		h.goneAt[v.Version] = now
		b.changed = true
	}
}

func (b *Book) history(service string) *history {
	h := b.services[service]
	if h == nil {
		h = &history{listed: map[string]int{}, goneAt: map[string]time.Time{}, stored: map[string]time.Time{}, begun: map[string]bool{}}
		b.services[service] = h
	}
	return h
}

// SetListed notes that targets have been listed. The first call counts.
func (b *Book) SetListed(now time.Time) {
	if !b.listed {
		b.listed = true
		b.noteOpen(now)
	}
}

// BecameMixed reports whether a service that had one version has got another one since the last call.
func (b *Book) BecameMixed() bool {
	mixed := b.mixed
	b.mixed = false
	return mixed
}

// NoteBegun notes that a stream was sent to a target of a version.
func (b *Book) NoteBegun(v streamversion.ServiceVersion) {
	b.history(v.Service).begun[v.Version] = true
}

// VersionsKnownSince returns the time from which this router knows all versions that have begun streams, the
// zero time if that is longer than callers wait.
func (b *Book) VersionsKnownSince(now time.Time) time.Time {
	if b.restored || now.Sub(b.startedAt) > streamversion.TTL {
		return time.Time{}
	}
	return b.startedAt
}

// ServedVersions returns the versions of each service that are listed or were within streamversion.TTL.
func (b *Book) ServedVersions(now time.Time) []streamversion.Served {
	var list []streamversion.Served
	for service, h := range b.services {
		for version := range h.listed {
			list = append(list, streamversion.Served{ServiceVersion: streamversion.ServiceVersion{Service: service, Version: version}})
		}
		for version, at := range h.goneAt {
			if since := now.Sub(at); h.listed[version] == 0 && since <= streamversion.TTL {
				list = append(list, streamversion.Served{ServiceVersion: streamversion.ServiceVersion{Service: service, Version: version}, Gone: true, GoneFor: since})
			}
		}
	}
	return list
}

// VersionsChanged reports whether a version has come into service or left it since the last call.
func (b *Book) VersionsChanged() bool {
	changed := b.changed
	b.changed = false
	return changed
}

// OnlyVersion returns the version of all targets of a service, or false if there are several versions
// or were within streamversion.TTL.
func (b *Book) OnlyVersion(now time.Time, service string) (string, bool) {
	h := b.services[service]
	if h == nil {
		return "", false
	}
	version, only := h.only(now)
	h.mixed = !only
	return version, only
}
