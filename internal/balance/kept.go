package balance

import "time"

// keptMost bounds what is remembered of organisations kept back between two looks,
// in entries.
const keptMost = 16

// Kept says that the router began, or ended, to refuse requests of an organisation
// unread.
type Kept struct {
	Organisation string
	// Why is Busy or Crowded.
	Why   Reason
	Began bool
	// Busy is the part of its cores that the router used last.
	Busy float64
	// PerSecond is how many requests a second are let in where it began.
	PerSecond float64
	// Unread is how many requests were refused unread, and Lasted for how long it
	// went on, where it ended.
	Unread int
	Lasted time.Duration
}

func (s *State) keptBack(k Kept) {
	if len(s.kept) < keptMost {
		s.kept = append(s.kept, k)
	}
}

// KeptBack returns which organisations the router began or ended to keep back since
// the last call, the first few of them.
func (s *State) KeptBack() []Kept {
	out := s.kept
	s.kept = nil
	return out
}
