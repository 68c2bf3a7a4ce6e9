package balance

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// maxHold is how long streams are kept from a version that the store is not known to hold. After that, the
// capacity of its targets matters more.
const maxHold = 20 * time.Second

// RequireStoredVersions makes streams that callers may take up begin only at versions that the store is known
// to hold, as long as their service has such targets. What is stored then names all versions that may have
// begun streams, and a router that starts can rely on it.
func (s *State) RequireStoredVersions() { s.requireStored = true }

// SetStoredVersions records versions that the store holds.
func (s *State) SetStoredVersions(now time.Time, list []streamversion.ServiceVersion) {
	for _, v := range list {
		s.versionHistory(v.Service).stored[v.Version] = true
		delete(s.unstored, v)
	}
	s.dispatch(now)
}

// UnstoredVersions returns since when versions have been listed that the store is not known to hold: the
// first and the last of them. It returns zero times if there are none.
func (s *State) UnstoredVersions() (first, last time.Time) {
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

// mayBeginElsewhere reports whether there is a target of a version that the store holds at which t may begin.
func (s *State) mayBeginElsewhere(now time.Time, t *Ticket) bool {
	if t.elsewhereAt.Equal(now) {
		return t.elsewhere
	}
	h := s.versions[t.Service]
	t.elsewhereAt, t.elsewhere = now, slices.ContainsFunc(s.targetsOf(t.Service), func(c *target) bool {
		return h.stored[c.Version] && !c.Closed(now) && s.rolloutAllows(now, t, c) && s.allowsRegion(t, c)
	})
	return t.elsewhere
}
