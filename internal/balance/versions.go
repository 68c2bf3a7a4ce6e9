package balance

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/rollout"
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

// allowsVersion reports whether a roll-out lets t be sent to a target's version.
func (s *State) allowsVersion(now time.Time, t *Ticket, c *target) bool {
	return !s.rollouts.Active() || s.rollouts.Allows(now, t.Service, c.Version, t.ID)
}

// isOpen reports whether a target takes new requests, and t may be sent to its version and region.
func (s *State) isOpen(now time.Time, t *Ticket, c *target) bool {
	return !c.Closed(now) && s.allowsVersion(now, t, c) && s.allowsRegion(t, c)
}

// SetRegions sets the region of each availability zone.
func (s *State) SetRegions(byZone map[string]string) { s.regions = byZone }

// allowsRegion reports whether the configuration in force lets t be served in a target's region.
func (s *State) allowsRegion(t *Ticket, c *target) bool {
	if s.table == nil {
		return true
	}
	if t.regionsBy != s.table {
		t.regions, t.regionsBy = s.table.RegionsOf(t.Route, t.Organisation), s.table
	}
	return t.regions.Allow(s.regions[c.Zone])
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
