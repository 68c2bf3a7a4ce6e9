package balance

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/rollout"
	"github.com/stepcroft/stepcroft/internal/routehistory"
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

// Stream is a stream of which the caller may ask for the rest later, and the version that began it.
type Stream struct {
	Service, ID, Version string
	// Corrected is set if another version was reported for the stream before, which was wrong.
	Corrected bool
	// Begins is set the first time that a stream needs a record which an answer of this router began.
	Begins bool
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
	shared := t.Version.version == streamversion.Unknown || s.needsRecord(now, t)
	s.onStreamBegun(now, Stream{Service: t.Service, ID: t.StreamID, Version: t.Version.version, Begins: shared && t.takeBeginning()}, shared)
}

// needsRecord reports whether other routers might take a stream for one of another version if they had no record of it.
func (s *State) needsRecord(now time.Time, t *Ticket) bool {
	version, only := s.OnlyVersion(now, t.Service)
	if !only || s.routes == nil {
		return !only
	}
	if s.routes.MayContradict(now) {
		return true
	}
	return slices.ContainsFunc(s.routes.Services(now, t.Host, t.Path, t.StreamID, t.Service), func(service string) bool {
		other, only := s.OnlyVersion(now, service)
		return !s.HadNoTargets(now, service) && (!only || other != version)
	})
}

// SetRouteHistory sets the history of the services that streams were sent to. The caller keeps it up to date and calls
// RoutesChanged.
func (s *State) SetRouteHistory(h *routehistory.History) {
	s.routes = h
	s.OnLimits(h.LimitsChanged)
}

// RoutesChanged tells that routes lead to other services than before.
func (s *State) RoutesChanged() { s.routesChanged = true }

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
	if mixed := s.BecameMixed(); !mixed && !s.routesChanged {
		return nil
	}
	s.routesChanged = false
	var list []Stream
	for to := range s.active {
		for t := range to.running {
			if t.started && t.StreamID != "" && s.needsRecord(now, t) {
				list = append(list, Stream{Service: t.Service, ID: t.StreamID, Version: t.Version.version, Begins: t.takeBeginning()})
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
		t.Regions, t.regionsBy = t.Regions.With(s.table, t.Host, t.Path, t.Organisation), s.table
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
