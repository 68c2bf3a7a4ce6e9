package balance

import (
	"math"
	"time"

	"github.com/stepcroft/stepcroft/internal/throttle"
)

// SetCPUUtilisation records the fraction of its cores that the router used lately.
func (s *State) SetCPUUtilisation(now time.Time, utilisation, cores float64) {
	s.throttle.SetCPUUtilisation(now, utilisation, cores, s.shareStatusAt(now))
}

// ThrottleNotices returns which organisations the router throttled since the last call.
func (s *State) ThrottleNotices() []throttle.Notice { return s.throttle.Notices() }

// gatesAt returns the admission gates that apply until the next tick, by organisation.
func (s *State) gatesAt(now time.Time) map[string]*throttle.Gate {
	gates := s.throttle.Gates(now, s.waitingByOrganisation(now), s.shareStatusAt(now))
	for name := range gates {
		if n := s.throttle.RejectedLastTick(name); n > 0 {
			s.shares.Usage(now, name).Unread += float64(n)
		}
	}
	return gates
}

// shareStatusAt returns a function that looks up an organisation's share status.
func (s *State) shareStatusAt(now time.Time) func(organisation string) throttle.ShareStatus {
	return func(organisation string) throttle.ShareStatus {
		least := math.Inf(1)
		s.eachWaiting(now, false, func(served float64, _ bool) { least = min(least, served) })
		return throttle.ShareStatus{
			Served: s.shares.Served(now, organisation), FairShare: s.shares.Level(now).Tokens, MostServed: s.shares.Level(now).MostServed, LeastServedWaiting: least,
		}
	}
}
