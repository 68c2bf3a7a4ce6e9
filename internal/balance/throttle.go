package balance

import "time"

const (
	// throttlesMost bounds what is remembered of throttled organisations between two
	// looks, in entries.
	throttlesMost = 16
	// throttlePeriod is the time between two entries of an organisation that is
	// throttled all the while.
	throttlePeriod = time.Second
)

// Throttle says that the router refuses some of an organisation's requests unread.
type Throttle struct {
	Organisation string
	// Began and Ended are set where it began and ended to do so.
	Began, Ended bool
	// Busy is the part of its cores that the router used last, and Coalesce how much
	// streams let events come together, from 0 to 1.
	Busy, Coalesce float64
	// Cores is how much of a core the organisation may use, 0 if that is not
	// bounded.
	Cores float64
	// Had is what it got lately, and Level what is an organisation's share, both in
	// tokens; Least is the least that one got which waits, infinite if none does.
	Had, Level, Least float64
	// Waiting is how many of its requests wait for an engine.
	Waiting int
	// Crowded and Busied are how many were refused unread since it began, because
	// too many wait and for the processor.
	Crowded, Busied int
	// Lasted is for how long it has gone on.
	Lasted time.Duration
}

func (s *State) throttle(t Throttle) {
	if len(s.throttles) < throttlesMost {
		s.throttles = append(s.throttles, t)
	}
}

// Throttles returns which organisations the router throttled since the last call,
// the first few of them.
func (s *State) Throttles() []Throttle {
	out := s.throttles
	s.throttles = nil
	return out
}
