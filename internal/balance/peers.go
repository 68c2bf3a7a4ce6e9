package balance

import (
	"math"
	"time"

	"github.com/stepcroft/stepcroft/internal/view"
)

const (
	// notifyTokens is the number of tokens to read from which a request is told
	// to the other routers at once. Such a request keeps an engine reading for
	// tens of milliseconds, and what the others send there until the next report
	// waits behind it unawares: told at once, the 95th percentile of the time to
	// the first event beyond what the known unread tokens explain falls from 139
	// to 52 ms on a calm day of 8 routers, and from 225 to 86 ms on a day of high
	// load.
	notifyTokens = 1000
	// notifyRate is the number of such messages a second that a router should hear
	// at most, over all that serve callers: at some 20 microseconds each half a
	// percent of a core. Where there are more, only the longest prompts are told of.
	notifyRate = 250
	// notifyMost is the number of tokens from which a request is told of where the
	// router's part of that rate is used up.
	notifyMost = 40_000
)

// notices says of how many requests the others may be told.
type notices struct {
	// left is the router's part of what was not used in the last second, from 0
	// to 1.
	left float64
	at   time.Time
}

// take reports whether others should be told of a request that makes a target
// read so many tokens, and counts it; routers is how many tell one another.
func (n *notices) take(now time.Time, tokens, routers int) bool {
	n.left = min(n.left+now.Sub(n.at).Seconds(), 1)
	n.at = now
	if float64(tokens) < notifyTokens*math.Pow(notifyMost/notifyTokens, 1-n.left) {
		return false
	}
	n.left = max(n.left-float64(routers)/notifyRate, 0)
	return true
}

// Notify makes f be called with what own requests put on a target and what the last
// one added, at once when that is much.
func (s *State) Notify(f func(target string, now, added view.Load)) { s.notify = f }

// SetOthers says how many other routers are believed to be running, and how many of
// these serve callers.
func (s *State) SetOthers(running, serving int) { s.running, s.serving = running, serving }

// routers returns the number of routers in the fleet.
func (s *State) routers() int { return max(s.running, s.others.RouterCount()) + 1 }

// SetReportPeriod says how much time is between a router's reports.
func (s *State) SetReportPeriod(d time.Duration) { s.others.SetPeriod(d) }

// Heard takes in a report of another router.
func (s *State) Heard(now time.Time, router string, r view.Report) {
	s.others.UpdateReport(now, router, r)
	for id, parts := range r.SharedParts {
		if t := s.alive(id); t != nil {
			t.cache.AddRemote(now, parts)
		}
	}
	s.dispatch(now)
}

// Forget takes out all that another router reported.
func (s *State) Forget(now time.Time, router string) { s.others.Remove(now, router) }

// HeardLoad takes in what another router's requests now put on a target; it
// replaces what the router's last report said of it.
func (s *State) HeardLoad(now time.Time, router, target string, l view.Load) {
	s.others.UpdateLoad(now, router, target, l)
}

// AddLoad takes in what a request of another router, or of one among those whose
// sum stands under a name, adds to the load on a target.
func (s *State) AddLoad(now time.Time, name, target string, l view.Load) {
	s.others.AddLoad(now, name, target, l)
}

// Report returns what to tell the other routers; of what targets keep, it tells
// what no report told before.
func (s *State) Report(now time.Time) view.Report {
	r := view.Report{Loads: map[string]view.Load{}, Usage: map[string]view.Usage{}, SharedParts: map[string][]string{}}
	for _, t := range s.targets {
		if t.own.Running > 0 {
			r.Loads[t.name] = t.own
		}
		if parts := t.cache.TakeAnnouncements(); len(parts) > 0 {
			r.SharedParts[t.name] = parts
		}
	}
	waiting := s.waitingOf()
	for name := range s.shares.counts {
		c := s.shares.of(now, name)
		if c.asked >= 1 || c.begun >= 1 {
			u := view.Usage{Demand: c.asked, Started: c.begun, Waiting: waiting[name]}
			u.Waiting += s.throttle.RejectedLastTick(name)
			r.Usage[name] = u
			continue
		}
		delete(s.shares.counts, name)
	}
	return r
}

// loadOf returns the load on a target from all routers, as far as known.
func (s *State) loadOf(now time.Time, t *target) view.Load {
	others, _ := s.others.Load(now, t.name)
	return t.own.Plus(others)
}
