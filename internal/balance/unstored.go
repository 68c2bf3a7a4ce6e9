package balance

import (
	"iter"
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
	// minPreferredSample is the number of targets of some versions in a sample of a service from which they
	// stand for all.
	minPreferredSample = 8
)

// isHeld reports whether t would begin a stream at a version of which there might be no trace if all routers
// were killed.
func (s *State) isHeld(now time.Time, t *Ticket, c *target) bool {
	if s.AllStored() || t.StreamID == "" {
		return false
	}
	since, unstored := s.UnstoredFor(now, c.serviceVersion())
	if !unstored || since >= maxHold || !s.mayBeginElsewhere(now, t) {
		return false
	}
	if !t.held {
		t.held = true
		s.heldStreams++
	}
	return true
}

// SetStoredVersions records which versions the store holds as being in service. It returns false if a version
// is not among them that is listed here.
func (s *State) SetStoredVersions(now time.Time, list []streamversion.ServiceVersion) bool {
	all := s.Book.SetStoredVersions(now, list)
	s.dispatch(now)
	return all
}

// RestoreVersions is servedversion.Book.RestoreVersions.
func (s *State) RestoreVersions(now time.Time, list []streamversion.Served, complete bool) {
	s.Book.RestoreVersions(now, list, complete)
	s.dispatch(now)
}

// serviceVersion returns the version of a target, which its service serves.
func (t Target) serviceVersion() streamversion.ServiceVersion {
	return streamversion.ServiceVersion{Service: t.Service, Version: t.Version}
}

// HeldStreams returns the number of streams since the start that were kept from a version that the store was
// not known to hold.
func (s *State) HeldStreams() int64 { return s.heldStreams }

// preferredToBegin returns which versions a stream should begin at where they can serve it in time, since others
// would be missing in what a router that starts knows; nil if that does not matter. Unlike one that is held,
// the stream does not wait for them.
func (s *State) preferredToBegin(now time.Time, t *Ticket) func(version string) bool {
	if s.AllStored() || t.StreamID == "" || t.Version.IsSet() {
		return nil
	}
	listed := s.Listed(t.Service)
	if len(listed) < 2 {
		return nil
	}
	isStored := func(version string) bool {
		return s.IsStored(streamversion.ServiceVersion{Service: t.Service, Version: version})
	}
	if slices.ContainsFunc(listed, isStored) {
		return isStored
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

// listedTargets implements servedversion.Targets.
type listedTargets struct{ *State }

// Region implements servedversion.Targets.
func (s listedTargets) Region(zone string) string { return s.regions[zone] }

// Entries implements servedversion.Targets.
func (s listedTargets) Entries(now time.Time, service string, regions routing.Regions) iter.Seq[unrecorded.Entry] {
	return func(yield func(unrecorded.Entry) bool) {
		for _, c := range s.targetsOf(service) {
			if regions.Allow(s.regions[c.Zone]) && !yield(unrecorded.Entry{Version: c.Version, Zone: c.Zone, Revision: c.Revision, Open: !c.Closed(now)}) {
				return
			}
		}
	}
}

// mayBeginElsewhere reports whether there is a target of a version that the store holds at which t may begin.
func (s *State) mayBeginElsewhere(now time.Time, t *Ticket) bool {
	if t.elsewhereAt.Equal(now) {
		return t.elsewhere
	}
	t.elsewhereAt, t.elsewhere = now, slices.ContainsFunc(s.targetsOf(t.Service), func(c *target) bool {
		return s.IsStored(c.serviceVersion()) && !c.Closed(now) && s.rolloutAllows(now, t, c) && s.allowsRegion(t, c) &&
			!c.suspected(now) && !c.backingOffOrProbed(now)
	})
	return t.elsewhere
}
