package balance

import (
	"math"
	"time"
)

// Usage is what an organisation asked for and got, in tokens, decayed as
// shares decays it.
type Usage struct {
	Asked, Begun float64
	// Waiting is the number of its requests to engines that wait for room.
	Waiting int
}

// Load is what one router's requests put on a target, in tokens and requests.
type Load struct {
	Unread, Running, Memory int
}

// Report is what a router tells the others of its requests.
type Report struct {
	Loads map[string]Load
	Usage map[string]Usage
}

const (
	// loadAge is for how long a router's report of its load counts: several
	// report periods, and less than its requests take.
	loadAge = 1500 * time.Millisecond
	// waitingAge is for how long other routers' waiting requests count: they
	// wait for a fraction of a second.
	waitingAge = 250 * time.Millisecond
	// memberAge is for how long a router that fell silent is still counted
	// when the retry budget is divided.
	memberAge = 10 * time.Second
)

// heard is a report and when it came.
type heard struct {
	Report
	at time.Time
}

// peers is what other routers reported.
type peers struct {
	reports map[string]heard
	level   float64
	levelAt time.Time
}

// Heard takes in a report of another router.
func (s *State) Heard(now time.Time, router string, r Report) {
	if s.peers.reports == nil {
		s.peers.reports = map[string]heard{}
	}
	s.peers.reports[router] = heard{Report: r, at: now}
	s.dispatch(now)
}

// Report returns what to tell the other routers.
func (s *State) Report(now time.Time) Report {
	r := Report{Loads: map[string]Load{}, Usage: map[string]Usage{}}
	for id, t := range s.targets {
		if t.own.running > 0 {
			r.Loads[id] = Load{Unread: t.own.unread, Running: t.own.running, Memory: t.own.memory}
		}
	}
	waiting := s.waitingOf()
	for name := range s.shares.counts {
		c := s.shares.of(now, name)
		if c.asked >= 1 || c.begun >= 1 {
			r.Usage[name] = Usage{Asked: c.asked, Begun: c.begun, Waiting: waiting[name]}
			continue
		}
		delete(s.shares.counts, name)
	}
	return r
}

// count returns the number of other routers that were heard lately.
func (p *peers) count(now time.Time) int {
	n := 0
	for name, r := range p.reports {
		if now.Sub(r.at) > memberAge {
			delete(p.reports, name)
			continue
		}
		n++
	}
	return n
}

// usage returns what an organisation had of the other routers, decayed since
// their reports.
func (p *peers) usage(now time.Time, organisation string, window time.Duration) Usage {
	var sum Usage
	for _, r := range p.reports {
		u, ok := r.Usage[organisation]
		if !ok {
			continue
		}
		f := math.Exp(-2 * now.Sub(r.at).Seconds() / window.Seconds())
		sum.Asked += u.Asked * f
		sum.Begun += u.Begun * f
		if now.Sub(r.at) < waitingAge {
			sum.Waiting += u.Waiting
		}
	}
	return sum
}

// loadOf returns the load on a target from all routers, as far as known.
func (s *State) loadOf(now time.Time, t *target) load {
	sum := t.own
	for _, r := range s.peers.reports {
		if now.Sub(r.at) > loadAge {
			continue
		}
		l := r.Loads[t.ID]
		sum = sum.plus(load{unread: l.Unread, running: l.Running, memory: l.Memory})
	}
	return sum
}
