package balance

import "time"

const (
	// keptMost bounds what is remembered of organisations kept back between two
	// looks, in entries.
	keptMost = 16
	// keptPeriod is the time between two entries of an organisation that is kept
	// back all the while.
	keptPeriod = time.Second
)

// Kept says that the router refuses some of an organisation's requests unread.
type Kept struct {
	Organisation string
	// Began and Ended are set where it began and ended to do so.
	Began, Ended bool
	// Busy is the part of its cores that the router used last, and Gather how much
	// streams let events come together, from 0 to 1.
	Busy, Gather float64
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

func (s *State) keptBack(k Kept) {
	if len(s.kept) < keptMost {
		s.kept = append(s.kept, k)
	}
}

// KeptBack returns which organisations the router keeps back since the last call,
// the first few of them.
func (s *State) KeptBack() []Kept {
	out := s.kept
	s.kept = nil
	return out
}
