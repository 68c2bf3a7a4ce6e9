package balance

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/coldstart"
)

// OnCold sets what says how many requests this router may send to a cold target in a second;
// nil for none.
func (s *State) OnCold(part func(now time.Time, target string, r coldstart.Rate) int) {
	s.coldPart = part
}

// held reports whether a target is cold and has had this router's part of what it bears. One
// that gets more falls over, with all that runs there.
func (s *State) held(now time.Time, t *target) bool {
	if !now.Before(t.coldUntil) {
		return false
	}
	rate, _ := s.coldRate(t.Service)
	if rate.PerSecond <= 0 {
		return false
	}
	part := 0
	if s.coldPart != nil {
		part = s.coldPart(now, t.ID, rate)
	}
	if t.recent.Count(now) < part {
		return false
	}
	s.heldCold++
	return true
}

// coldRate returns what a cold target of a service bears, and for how long it is cold after
// its start.
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

// cooled notes until when a target may be cold: as long as its entry says, and where its
// zone was drained and is given back, as after a start: it may have turned cold meanwhile, and
// its entry says so up to a heartbeat late.
func (s *State) cooled(now time.Time, t *target, before Target) {
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

// Cold returns the number of cold targets by service, and how often a target was passed over
// since the start because it was cold.
func (s *State) Cold(now time.Time) (map[string]int, int64) {
	cold := map[string]int{}
	for _, t := range s.targets {
		if now.Before(t.coldUntil) {
			cold[t.Service]++
		}
	}
	return cold, s.heldCold
}
