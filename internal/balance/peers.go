package balance

import (
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
	// notifyRouters is the number of routers above which that number grows in
	// proportion, so that each router hears of about as many requests a second in
	// a larger fleet.
	notifyRouters = 8
)

// Notify makes f be called with what own requests put on a target, at once
// when that has grown much.
func (s *State) Notify(f func(target string, l view.Load)) { s.notify = f }

// large reports whether others should know at once of a request that makes a
// target read so many tokens.
func (s *State) large(tokens int) bool {
	return tokens >= notifyTokens*max(s.routers(), notifyRouters)/notifyRouters
}

// SetOthers says how many other routers are believed to be running.
func (s *State) SetOthers(n int) { s.running = n }

// routers returns the number of routers in the fleet.
func (s *State) routers() int { return max(s.running, s.others.Routers()) + 1 }

// SetReportPeriod says how much time is between a router's reports.
func (s *State) SetReportPeriod(d time.Duration) { s.others.SetPeriod(d) }

// Heard takes in a report of another router.
func (s *State) Heard(now time.Time, router string, r view.Report) {
	s.others.Heard(now, router, r)
	for id, parts := range r.Kept {
		if t := s.targets[id]; t != nil {
			t.cache.Heard(now, parts)
		}
	}
	s.dispatch(now)
}

// Forget takes out all that another router reported.
func (s *State) Forget(now time.Time, router string) { s.others.Forget(now, router) }

// HeardLoad takes in what another router's requests now put on a target; it
// replaces what the router's last report said of it.
func (s *State) HeardLoad(now time.Time, router, target string, l view.Load) {
	s.others.HeardLoad(now, router, target, l)
}

// Report returns what to tell the other routers; of what targets keep, it tells
// what no report told before.
func (s *State) Report(now time.Time) view.Report {
	r := view.Report{Loads: map[string]view.Load{}, Usage: map[string]view.Usage{}, Kept: map[string][]string{}}
	for id, t := range s.targets {
		if t.own.Running > 0 {
			r.Loads[id] = t.own
		}
		if parts := t.cache.Untold(); len(parts) > 0 {
			r.Kept[id] = parts
		}
	}
	waiting := s.waitingOf()
	for name := range s.shares.counts {
		c := s.shares.of(now, name)
		if c.asked >= 1 || c.begun >= 1 {
			u := view.Usage{Asked: c.asked, Begun: c.begun, Waiting: waiting[name]}
			if f := s.flows[name]; f != nil {
				u.Waiting += f.lately
			}
			r.Usage[name] = u
			continue
		}
		delete(s.shares.counts, name)
	}
	return r
}

// loadOf returns the load on a target from all routers, as far as known.
func (s *State) loadOf(now time.Time, t *target) view.Load {
	others, _ := s.others.Load(now, t.ID)
	return t.own.Plus(others)
}
