package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/rollout"
	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

const (
	// slowFactor is how many times the expected time to the first event an engine must take for
	// its answer to count as slow, if its service is being rolled out.
	slowFactor = 2.5
	// slowGoalPercent is the same for plain services, in percent of the goal.
	slowGoalPercent = 50
)

// SetRollouts sets the roll-outs that restrict which requests may go to which version of a
// service.
func (s *State) SetRollouts(t *rollout.Tracker) { s.rollouts = t }

// VersionLimit restricts a request to targets of one version. The zero value allows all.
type VersionLimit struct {
	version string
	set     bool
}

// OnlyVersion returns a limit to one version.
func OnlyVersion(version string) VersionLimit { return VersionLimit{version: version, set: true} }

// IsSet reports whether the limit is to one version.
func (l VersionLimit) IsSet() bool { return l.set }

// Version returns the only version that is allowed, empty if it is not known or all are.
func (l VersionLimit) Version() string {
	if l.version == streamversion.Unknown {
		return ""
	}
	return l.version
}

// Allows reports whether the limit allows a version.
func (l VersionLimit) Allows(version string) bool { return !l.set || l.version == version }

// versionHistory tells which versions of a service there are, and were a short time ago.
type versionHistory struct {
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
func (h *versionHistory) expire(now time.Time) {
	maps.DeleteFunc(h.goneAt, func(_ string, at time.Time) bool { return now.Sub(at) > streamversion.TTL })
	maps.DeleteFunc(h.stored, func(version string, at time.Time) bool { return h.listed[version] == 0 && now.Sub(at) > storedMarkTTL })
}

// isStored reports whether the store is known to hold a version.
func (h *versionHistory) isStored(version string) bool {
	_, stored := h.stored[version]
	return stored
}

// only reports whether a version is and was the only one.
func (h *versionHistory) only(now time.Time) (string, bool) {
	h.expire(now)
	if len(h.listed) != 1 || len(h.goneAt) > 1 {
		return "", false
	}
	for version := range h.listed {
		_, back := h.goneAt[version]
		return version, back || len(h.goneAt) == 0
	}
	return "", false
}

// addVersion counts a target that is listed, and notes services that get another version.
func (s *State) addVersion(now time.Time, t Target) {
	h := s.versionHistory(t.Service)
	h.expire(now)
	if h.listed[t.Version]++; h.listed[t.Version] == 1 {
		s.versionsChanged = true
		if s.requireStored && !h.isStored(t.Version) {
			s.unstored[streamversion.ServiceVersion{Service: t.Service, Version: t.Version}] = now
		}
		if s.listed {
			// Streams may begin at it that are in no record yet.
			h.earlierUntil = time.Time{}
		}
	}
	_, only := h.only(now)
	s.newlyMixed = s.newlyMixed || !only && !h.mixed
	h.mixed = !only
}

// removeVersion counts a target that is no longer listed.
func (s *State) removeVersion(now time.Time, t Target) {
	h := s.versions[t.Service]
	if h.listed[t.Version]--; h.listed[t.Version] == 0 {
		delete(h.listed, t.Version)
		// If it comes back, the store must hold that it is in service again.
		delete(h.stored, t.Version)
		delete(s.unstored, streamversion.ServiceVersion{Service: t.Service, Version: t.Version})
		h.goneAt[t.Version] = now
		s.versionsChanged = true
	}
}

func (s *State) versionHistory(service string) *versionHistory {
	h := s.versions[service]
	if h == nil {
		h = &versionHistory{listed: map[string]int{}, goneAt: map[string]time.Time{}, stored: map[string]time.Time{}, begun: map[string]bool{}}
		s.versions[service] = h
	}
	return h
}

// RestoreVersions adds the versions that were in service before this process started, as far as they were
// stored. If complete is set, these are all: a service that has none of them is taken for one that was not in
// service.
func (s *State) RestoreVersions(now time.Time, list []streamversion.Served, complete bool) {
	s.versionsRestored = complete
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
		h := s.versionHistory(v.Service)
		if at := now.Add(-v.GoneFor); h.listed[v.Version] == 0 && at.After(h.goneAt[v.Version]) {
			h.goneAt[v.Version] = at
		}
	}
	for service, versions := range earlier {
		h := s.versionHistory(service)
		delete(h.begun, versions[0])
		if len(versions) == 1 && len(h.begun) == 0 {
			h.earlier, h.earlierUntil = versions[0], now.Add(streamversion.TTL)
		}
	}
	s.SetStoredVersions(now, stored)
}

// UnrecordedVersion returns the version that began a stream of which there is no record although there
// would have to be one if its service had had several versions, and how that is known. The evidence is empty
// while this router cannot know which versions its service had.
func (s *State) UnrecordedVersion(now time.Time, service string) (string, streamversion.Evidence) {
	return s.UnrecordedVersionIn(now, service, routing.Regions{})
}

// UnrecordedVersionIn is UnrecordedVersion for a stream that may be served in some regions only.
func (s *State) UnrecordedVersionIn(now time.Time, service string, regions routing.Regions) (string, streamversion.Evidence) {
	version, why, open := s.likelyVersion(now, service, regions)
	if none, _ := s.OthersKnown(now, service, version, open); why == "" || !none {
		return "", ""
	}
	return version, why
}

// UnrecordedVersionAmong is UnrecordedVersionIn for a stream that may have begun at any of some services: the version is
// known only if it is the same for all of them. The first one is that of the request for the rest.
func (s *State) UnrecordedVersionAmong(now time.Time, services []string, regions routing.Regions) (version string, why streamversion.Evidence) {
	for i, service := range services {
		v, evidence := s.UnrecordedVersionIn(now, service, regions)
		if evidence == "" && i > 0 {
			v, evidence = s.leftVersion(now, service, regions)
		}
		if evidence == "" || i > 0 && v != version {
			return "", ""
		}
		version, why = v, evidence
	}
	if len(services) > 1 {
		why = streamversion.EvidenceSameVersion
	}
	return version, why
}

// leftVersion is UnrecordedVersionIn for a service all of whose targets have left.
func (s *State) leftVersion(now time.Time, service string, regions routing.Regions) (string, streamversion.Evidence) {
	h := s.versions[service]
	if h == nil || !s.listed || !s.VersionsKnownSince(now).IsZero() {
		return "", ""
	}
	h.expire(now)
	if len(h.listed) > 0 || len(h.goneAt) != 1 {
		return "", ""
	}
	for version := range h.goneAt {
		open := s.OpenAtStart(service, func(zone string) bool { return regions.Allow(s.regions[zone]) })
		if none, _ := s.OthersKnown(now, service, version, open); none {
			return version, streamversion.EvidenceOnlyVersion
		}
	}
	return "", ""
}

// likelyVersion is UnrecordedVersionIn by what is listed and stored, whatever entries are gone. It returns the first
// revision since which a target of the version has taken requests as well.
func (s *State) likelyVersion(now time.Time, service string, regions routing.Regions) (version string, why streamversion.Evidence, open int64) {
	if !s.VersionsKnownSince(now).IsZero() {
		return "", "", 0
	}
	if version, only := s.OnlyVersion(now, service); only {
		return version, streamversion.EvidenceOnlyVersion, s.OpenAtStart(service, func(zone string) bool { return regions.Allow(s.regions[zone]) })
	}
	h := s.versions[service]
	if h == nil || !s.listed || !now.Before(h.earlierUntil) {
		return "", "", 0
	}
	open, before := s.OpenBeforeOthers(h.earlier, s.entries(now, service, regions))
	if !before {
		return "", "", 0
	}
	return h.earlier, streamversion.EvidenceStoredVersion, open
}

// VersionsKnownSince returns the time from which this router knows all versions that have begun streams, the
// zero time if that is longer than callers wait.
func (s *State) VersionsKnownSince(now time.Time) time.Time {
	if s.versionsRestored || now.Sub(s.startedAt) > streamversion.TTL {
		return time.Time{}
	}
	return s.startedAt
}

// ServedVersions returns the versions of each service that are listed or were within streamversion.TTL.
func (s *State) ServedVersions(now time.Time) []streamversion.Served {
	var list []streamversion.Served
	for service, h := range s.versions {
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
func (s *State) VersionsChanged() bool {
	changed := s.versionsChanged
	s.versionsChanged = false
	return changed
}

// OnlyVersion returns the version of all targets of a service, or false if there are several versions
// or were within streamversion.TTL.
func (s *State) OnlyVersion(now time.Time, service string) (string, bool) {
	h := s.versions[service]
	if h == nil {
		return "", false
	}
	version, only := h.only(now)
	h.mixed = !only
	return version, only
}

// Stream is a stream of which the caller may ask for the rest later, and the version that began it.
type Stream struct {
	Service, ID, Version string
	// Corrected is set if another version was reported for the stream before, which was wrong.
	Corrected bool
}

// OnStreamBegun sets a function to be called when a stream has begun, and when the rest of one has.
// shared tells whether its service has several versions.
func (s *State) OnStreamBegun(f func(now time.Time, b Stream, shared bool)) { s.onStreamBegun = f }

// reportStream reports that t's answer has begun at its target.
func (s *State) reportStream(now time.Time, t *Ticket) {
	if !t.Stream || t.ServerError.Load() {
		return
	}
	if !t.Version.IsSet() {
		t.beganAt = t.target
		t.setVersion(s.versionAt(now, t))
	}
	if t.StreamID == "" || s.onStreamBegun == nil {
		return
	}
	unknown := t.Version.version == streamversion.Unknown
	s.onStreamBegun(now, Stream{Service: t.Service, ID: t.StreamID, Version: t.Version.version}, unknown || s.needsRecord(now, t))
}

// needsRecord reports whether other routers might take a stream for one of another version if they had no record of it.
func (s *State) needsRecord(now time.Time, t *Ticket) bool {
	version, only := s.OnlyVersion(now, t.Service)
	if !only || s.routes == nil {
		return !only
	}
	if !s.routes.Known(now) {
		return true
	}
	for _, service := range s.routes.Services(now, t.Host, t.Path, t.StreamID, t.Service) {
		if other, only := s.OnlyVersion(now, service); !only || other != version {
			return true
		}
	}
	return false
}

// SetRouteHistory sets the history of the services that streams were sent to. The caller keeps it up to date and calls
// RoutesChanged.
func (s *State) SetRouteHistory(h *routehistory.History) { s.routes = h }

// RoutesChanged tells that routes lead to other services than before.
func (s *State) RoutesChanged() { s.newlyMixed = true }

// versionAt returns the version of the process that runs t.
func (s *State) versionAt(now time.Time, t *Ticket) string {
	if s.inDoubt(now, t.target) && !s.exits[t.target.incarnation].spares(t) {
		return streamversion.Unknown
	}
	return t.target.Version
}

// TakeNewlyMixed returns the running streams that need a record if another version has come, or routes have changed, since
// the last call.
func (s *State) TakeNewlyMixed(now time.Time) []Stream {
	if !s.newlyMixed {
		return nil
	}
	s.newlyMixed = false
	var list []Stream
	for to := range s.active {
		for t := range to.running {
			if t.started && t.StreamID != "" && s.needsRecord(now, t) {
				list = append(list, Stream{Service: t.Service, ID: t.StreamID, Version: t.Version.version})
			}
		}
	}
	return list
}

// allowsVersion reports whether t may be sent to a target's version: that which began its stream, or
// else one that a roll-out lets it be sent to.
func (s *State) allowsVersion(now time.Time, t *Ticket, c *target) bool {
	if t.Version.IsSet() {
		return t.Version.Allows(c.Version) && !s.inDoubt(now, c) && !s.rollouts.RolledBack(t.Service, c.Version)
	}
	return s.rolloutAllows(now, t, c) && !s.isHeld(now, t, c)
}

// rolloutAllows reports whether the roll-out of t's service, if there is one, lets it be sent to a target's
// version.
func (s *State) rolloutAllows(now time.Time, t *Ticket, c *target) bool {
	return !s.rollouts.Active() || s.rollouts.Allows(now, t.Service, c.Version, t.ID)
}

// isOpen reports whether a target takes new requests, and t may be sent to its version and region.
func (s *State) isOpen(now time.Time, t *Ticket, c *target) bool {
	return !c.Closed(now) && s.allowsVersion(now, t, c) && s.allowsRegion(t, c)
}

// SetRegions sets the region of each availability zone.
func (s *State) SetRegions(byZone map[string]string) { s.regions = byZone }

// allowsRegion reports whether the configuration in force, and what it has dropped since t was admitted, let t be
// served in a target's region.
func (s *State) allowsRegion(t *Ticket, c *target) bool {
	if s.table == nil {
		return true
	}
	if t.regionsBy != s.table {
		t.Regions, t.regionsBy = t.Regions.With(s.table, t.Route, t.Organisation), s.table
	}
	return t.Regions.Allow(s.regions[c.Zone])
}

// preferVersion returns the candidates of the version that a roll-out prefers for t, or all if
// there are none.
func (s *State) preferVersion(now time.Time, t *Ticket, candidates []*target) []*target {
	if !s.rollouts.Active() {
		return candidates
	}
	version, ok := s.rollouts.Preferred(now, t.Service, t.ID)
	if !ok || !slices.ContainsFunc(candidates, func(c *target) bool { return c.Version == version }) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c *target) bool { return c.Version != version })
}

// startedSlowly reports whether t's answer has started much later than expected.
func (s *State) startedSlowly(now time.Time, t *Ticket) bool {
	took := now.Sub(t.sentAt)
	if t.Engine && t.Stream {
		return float64(took) > slowFactor*float64(s.pace(t.Service).Predict(t.work))
	}
	return took > t.Goal*slowGoalPercent/100
}

// recordVersion counts the result of t for the roll-out of its service.
func (s *State) recordVersion(now time.Time, t *Ticket, to *target, how Result) {
	if !s.rollouts.Active() {
		return
	}
	switch how {
	case Answered:
		slow := t.slow || !t.started && s.startedSlowly(now, t)
		s.rollouts.Record(t.Service, to.Version, slow || t.ServerError.Load())
	case Failed:
		s.rollouts.Record(t.Service, to.Version, true)
	case Refused, Unreachable, Abandoned:
		// The request did not run, or its end says nothing about the target.
	}
}
