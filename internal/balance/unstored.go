package balance

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
	"github.com/stepcroft/stepcroft/internal/unrecorded"
)

const (
	// maxHold is how long streams are kept from a version that the store is not known to hold, even if they
	// wait. After that, they begin there if they would be late elsewhere.
	maxHold = time.Minute
	// storedMarkTTL is how long a version counts as stored that is not listed here yet.
	storedMarkTTL = 10 * time.Second
	// minPreferredSample is the number of targets of some versions in a sample of a service from which they
	// stand for all.
	minPreferredSample = 8
)

// RequireStoredVersions makes streams that callers may take up begin only at versions that the store is known
// to hold, as long as they may begin at such targets. What is stored then names all versions that may have
// begun streams, and a router that starts can rely on it.
func (s *State) RequireStoredVersions() { s.requireStored = true }

// SetStoredVersions records which versions the store holds as being in service. It returns false if a version
// is not among them that is listed here.
func (s *State) SetStoredVersions(now time.Time, list []streamversion.ServiceVersion) bool {
	stored := make(map[streamversion.ServiceVersion]bool, len(list))
	for _, v := range list {
		stored[v] = true
		s.versionHistory(v.Service).stored[v.Version] = now
		delete(s.unstored, v)
	}
	all := true
	for service, h := range s.versions {
		maps.DeleteFunc(h.stored, func(version string, _ time.Time) bool {
			return !stored[streamversion.ServiceVersion{Service: service, Version: version}]
		})
		for version := range h.listed {
			v := streamversion.ServiceVersion{Service: service, Version: version}
			if _, known := s.unstored[v]; !stored[v] {
				all = false
				if s.requireStored && !known {
					s.unstored[v] = now
				}
			}
		}
	}
	s.dispatch(now)
	return all
}

// UnstoredSince returns since when versions have been listed that the store is not known to hold: the
// first and the last of them. It returns zero times if there are none.
func (s *State) UnstoredSince() (first, last time.Time) {
	for _, at := range s.unstored {
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	return first, last
}

// isHeld reports whether t would begin a stream at a version of which there might be no trace if all routers
// were killed.
func (s *State) isHeld(now time.Time, t *Ticket, c *target) bool {
	if len(s.unstored) == 0 || t.StreamID == "" {
		return false
	}
	at, unstored := s.unstored[streamversion.ServiceVersion{Service: c.Service, Version: c.Version}]
	if !unstored || now.Sub(at) >= maxHold || !s.mayBeginElsewhere(now, t) {
		return false
	}
	if !t.held {
		t.held = true
		s.heldStreams++
	}
	return true
}

// HeldStreams returns the number of streams since the start that were kept from a version that the store was
// not known to hold.
func (s *State) HeldStreams() int64 { return s.heldStreams }

// RouterLost records that another router has ended in an unplanned way. With it, records of streams may be lost
// that have begun since the start, so that a stream without one need not have begun before.
func (s *State) RouterLost() {
	for _, h := range s.versions {
		for version := range h.stored {
			if version != h.earlier && h.listed[version] > 0 {
				h.earlierUntil = time.Time{}
			}
		}
	}
}

// preferredToBegin returns which versions a stream should begin at where they can serve it in time, since others
// would be missing in what a router that starts knows; nil if that does not matter. Unlike one that is held,
// the stream does not wait for them.
func (s *State) preferredToBegin(now time.Time, t *Ticket) func(version string) bool {
	if len(s.unstored) == 0 || t.StreamID == "" || t.Version.IsSet() {
		return nil
	}
	h := s.versions[t.Service]
	if h == nil || len(h.listed) < 2 {
		return nil
	}
	for version := range h.listed {
		if h.isStored(version) {
			return h.isStored
		}
	}
	first, known := s.firstOpen(now, t.Service)
	if !known || s.VersionsKnownSince(now).IsZero() {
		return nil
	}
	return func(version string) bool { return version == first }
}

// firstOpen returns the version of the target that has taken requests for the longest time by the order of the
// entries, or false if that is not known. It is the one that a router which starts later takes for that of
// streams without a record, if the store holds no other one.
func (s *State) firstOpen(now time.Time, service string) (version string, known bool) {
	first := int64(math.MaxInt64)
	for _, c := range s.targetsOf(service) {
		if c.Revision < first && !c.Closed(now) {
			version, first = c.Version, c.Revision
		}
	}
	return version, first > 0 && first < math.MaxInt64
}

// choosePreferred is choose among the targets of some versions, and returns false if the request would be late
// at all of them.
func (s *State) choosePreferred(now time.Time, t *Ticket, prefers func(version string) bool) (placement, bool) {
	keep := func(list []*target) []*target {
		s.preferred = s.preferred[:0]
		for _, c := range list {
			if prefers(c.Version) && !s.avoids(now, t, c) {
				s.preferred = append(s.preferred, c)
			}
		}
		return s.preferred
	}
	inTime := func(list []*target) (placement, bool) {
		best, ok := s.chooseFrom(now, t, keep(list))
		return best, ok && !best.late && !best.endsLate
	}
	best, ok := inTime(s.candidates(now, t))
	if ok || !s.sampled(t.Service) {
		return best, ok
	}
	if best, ok = inTime(s.widen(now, t)); ok || len(s.preferred) >= minPreferredSample {
		return best, ok
	}
	// The sample has missed the versions' targets, or the ones with room.
	return inTime(s.usable(now, t, s.targetsOf(t.Service)))
}

// ZoneDrains tells which drains of availability zones have ended lately.
type ZoneDrains = unrecorded.ZoneDrains

// NeededZoneDrains returns the revision from which the ends of drains need to be known, or false if they are
// known or do not matter.
func (s *State) NeededZoneDrains(now time.Time) (since int64, needed bool) {
	since = math.MaxInt64
	for service := range s.versions {
		if others, awaited := s.awaitedZoneDrains(now, service); awaited {
			since = min(since, others)
		}
	}
	return since, since < math.MaxInt64
}

// AwaitsZoneDrains reports whether UnrecordedVersion can tell no version of a service before the ends of drains
// are known.
func (s *State) AwaitsZoneDrains(now time.Time, service string) bool {
	_, awaited := s.awaitedZoneDrains(now, service)
	return awaited
}

func (s *State) awaitedZoneDrains(now time.Time, service string) (since int64, awaited bool) {
	h := s.versions[service]
	if h == nil || !s.listed || !now.Before(h.earlierUntil) {
		return 0, false
	}
	// In some regions, the stored version may have been there before the others though it was not in all of them.
	return s.AwaitedZoneDrains(h.earlier, s.entries(now, service, routing.Regions{}))
}

// entries returns the entries of a service's targets in some regions.
func (s *State) entries(now time.Time, service string, regions routing.Regions) iter.Seq[unrecorded.Entry] {
	return func(yield func(unrecorded.Entry) bool) {
		for _, c := range s.targetsOf(service) {
			if regions.Allow(s.regions[c.Zone]) && !yield(unrecorded.Entry{Version: c.Version, Zone: c.Zone, Revision: c.Revision, Open: !c.Closed(now)}) {
				return
			}
		}
	}
}

// RequirePastEntries makes a stream without a record belong to a version only once it is known, of entries that
// are gone, whether there were any of another one since what is stored was written, at a revision.
func (s *State) RequirePastEntries(now time.Time, storedAt int64) {
	s.RequirePast(storedAt, now.Add(streamversion.TTL))
	if s.listed {
		s.noteOpen(now)
	}
}

// noteOpen notes since when targets had taken requests as this router started. What happens since, it sees itself.
func (s *State) noteOpen(now time.Time) {
	for service := range s.versions {
		s.NoteOpen(service, s.entries(now, service, routing.Regions{}))
	}
}

// NeededPast returns the revision from which the history of entries needs to be known to tell which version
// began a stream without a record, or false if it is known or does not matter.
func (s *State) NeededPast(now time.Time, service string, regions routing.Regions) (since int64, needed bool) {
	version, why, open := s.likelyVersion(now, service, regions)
	_, known := s.OthersKnown(now, service, version, open)
	return open, why != "" && !known
}

// mayBeginElsewhere reports whether there is a target of a version that the store holds at which t may begin.
func (s *State) mayBeginElsewhere(now time.Time, t *Ticket) bool {
	if t.elsewhereAt.Equal(now) {
		return t.elsewhere
	}
	h := s.versions[t.Service]
	t.elsewhereAt, t.elsewhere = now, slices.ContainsFunc(s.targetsOf(t.Service), func(c *target) bool {
		return h.isStored(c.Version) && !c.Closed(now) && s.rolloutAllows(now, t, c) && s.allowsRegion(t, c) &&
			!c.suspected(now) && !c.backingOffOrProbed(now)
	})
	return t.elsewhere
}
