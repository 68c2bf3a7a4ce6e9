package balance

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/coldstart"
)

// SetColdAllowance sets the function that returns how many requests this router may send to a
// cold target in a second; nil allows none.
func (s *State) SetColdAllowance(part func(now time.Time, target string, r coldstart.Rate) int) {
	s.coldAllowance = part
}

// coldLimited reports whether a target is cold and has already got this router's part of the
// requests that it bears. A cold target that gets more crashes, and all requests running there
// are lost.
func (s *State) coldLimited(now time.Time, t *target) bool {
	if !now.Before(t.coldUntil) {
		return false
	}
	rate, _ := s.coldRate(t.Service)
	if rate.PerSecond <= 0 {
		return false
	}
	part := 0
	if s.coldAllowance != nil {
		part = s.coldAllowance(now, t.ID, rate)
	}
	if t.recentSends.Count(now) < part {
		return false
	}
	s.coldSkips++
	return true
}

// coldRate returns the rate of requests that a cold target of a service bears, and how long a
// target stays cold after its start.
func (s *State) coldRate(service string) (coldstart.Rate, time.Duration) {
	if s.table == nil {
		return coldstart.Rate{}, 0
	}
	d, ok := s.table.Service(service)
	if !ok {
		return coldstart.Rate{}, 0
	}
	return coldstart.Rate{PerSecond: d.ColdRate, MaxPerSecond: d.ColdRate*max(s.limits.ColdOver, 1) + max(s.limits.ColdSlack, 0)}, d.ColdTime
}

// extendCold updates until when a target is cold. This is as long as its entry says; a target
// whose zone is no longer drained also counts as just started, since it may have turned cold
// meanwhile and its entry shows this up to a heartbeat late.
func (s *State) extendCold(now time.Time, t *target, before Target) {
	if t.ColdUntil.After(t.coldUntil) {
		t.coldUntil = t.ColdUntil
	}
	if before.Drained && !t.Drained {
		_, d := s.coldRate(t.Service)
		if back := now.Add(d); back.After(t.coldUntil) {
			t.coldUntil = back
		}
	}
}

// ColdTargets returns the number of cold targets by service, and how often a target was
// skipped since the start because it was cold.
func (s *State) ColdTargets(now time.Time) (map[string]int, int64) {
	cold := map[string]int{}
	for _, t := range s.targets {
		if now.Before(t.coldUntil) {
			cold[t.Service]++
		}
	}
	return cold, s.coldSkips
}
