package balance

import (
	"math"
	"time"
)

const (
	// goalWaitDivisor divides a request's goal; the result is how long the request waits for a
	// target with room before it is refused. A caller refused so early can still be served in
	// time when it retries.
	goalWaitDivisor = 5
	// maxResumeWait bounds the wait of a request whose caller already has a part of the
	// answer: callers give up a stream that pauses for two seconds.
	maxResumeWait = time.Second
	// An organisation that was served less than behindPercent of its share, in percent, is behind.
	// Its requests wait for the goal divided by behindWaitDivisor: long enough for the next reports
	// to tell other routers, which then let them go first, and for a long prompt to find room
	// beside short ones, and short enough to start in time.
	behindPercent     = 60
	behindWaitDivisor = 2
)

// maxWait returns how long a request waits for a target with room.
func (s *State) maxWait(now time.Time, t *Ticket) time.Duration {
	switch {
	case t.Resumes:
		return maxResumeWait
	case t.Engine && s.behind(now, t.Organisation):
		return t.Goal / behindWaitDivisor
	}
	return t.Goal / goalWaitDivisor
}

// behind reports whether an organisation was served much less than its share of what the engines
// actually served.
func (s *State) behind(now time.Time, organisation string) bool {
	if organisation == "" || s.shares.Capacity() <= 0 {
		return false
	}
	share := s.shares.Level(now).Attained
	return !math.IsInf(share, 1) && s.shares.Served(now, organisation)*100 < share*behindPercent
}
