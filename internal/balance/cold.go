package balance

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/coldstart"
)

// SetColdAllowance sets the function that returns how many requests this router may send to a
// cold target in a second; nil allows none.
func (s *State) SetColdAllowance(allowance func(now time.Time, target string, r coldstart.Rate) int) {
	s.coldAllowance = allowance
}

// coldLimited reports whether a target is cold and has already been sent this router's part of
// the requests that it can handle. Further requests would crash the target, and all those
// running there would be lost.
func (s *State) coldLimited(now time.Time, t *target) bool {
	if !now.Before(t.coldUntil) {
		return false
	}
	rate, _ := s.coldRate(t.Service)
	if rate.PerSecond <= 0 {
		return false
	}
	allowed := 0
	if s.coldAllowance != nil {
		allowed = s.coldAllowance(now, t.ID, rate)
	}
	if t.recentSends != nil && t.recentSends.Count(now) < allowed || t.recentSends == nil && allowed > 0 {
		return false
	}
	s.coldSkips++
	return true
}

// countSend counts a request sent to a target, for the limit that applies when the target turns
// out to be cold.
func (s *State) countSend(now time.Time, t *target) {
	if t.recentSends == nil {
		if rate, _ := s.coldRate(t.Service); rate.PerSecond <= 0 {
			return
		}
		t.recentSends = &coldstart.Window{}
	}
	t.recentSends.Add(now)
}

// coldRate returns the rate of requests that a cold target of a service can handle, and how
// long a target stays cold after its start.
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

// extendCold moves the end of a target's cold period to the time that its entry gives, if that
// is later. A target whose zone is no longer drained is also treated as just started: it may
// have turned cold during the drain, and its entry shows this up to a heartbeat late.
func (s *State) extendCold(now time.Time, t *target, before Target) {
	if t.ColdUntil.After(t.coldUntil) {
		t.coldUntil = t.ColdUntil
	}
	if before.Drained && !t.Drained {
		_, d := s.coldRate(t.Service)
		if until := now.Add(d); until.After(t.coldUntil) {
			t.coldUntil = until
		}
	}
	if now.Before(t.coldUntil) {
		s.cold[t] = struct{}{}
	}
}

// ColdTargets returns the number of cold targets by service, and how often a target was
// skipped since the start because it was cold.
func (s *State) ColdTargets(now time.Time) (map[string]int, int64) {
	cold := map[string]int{}
	for t := range s.cold {
		if !now.Before(t.coldUntil) {
			delete(s.cold, t)
			continue
		}
		cold[t.Service]++
	}
	return cold, s.coldSkips
}
