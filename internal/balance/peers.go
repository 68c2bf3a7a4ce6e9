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

// Serving reports whether the router has requests or had some lately.
func (r Report) Serving() bool { return len(r.Loads)+len(r.Usage) > 0 }

const (
	// loadAge is for how long a router's report of its load counts: several
	// report periods, and less than its requests take.
	loadAge = 1500 * time.Millisecond
	// waitingLeast is the least time for which other routers' waiting requests
	// count: they wait for a fraction of a second.
	waitingLeast = 250 * time.Millisecond
	// waitingPeriods is for how many report periods they count, in percent: a
	// report may come late.
	waitingPeriods = 150
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
	// period is the time between a router's reports.
	period  time.Duration
	sums    sums
	level   float64
	levelAt time.Time
}

// sumsAge is for how long the sums over other routers' reports are used
// before they are worked out anew: a fraction of a report period. In a large
// fleet adding the reports up costs more than all else.
const sumsAge = 20 * time.Millisecond

// sums adds up the other routers' reports.
type sums struct {
	at    time.Time
	loads map[string]load
	usage map[string]Usage
}

// sum returns the sums as of now or a moment before.
func (s *State) sum(now time.Time) *sums {
	p := &s.peers
	if p.sums.loads != nil && now.Sub(p.sums.at) < sumsAge {
		return &p.sums
	}
	p.sums = p.add(now, s.limits.QuotaWindow)
	for id, t := range s.targets {
		t.others = p.sums.loads[id]
	}
	return &p.sums
}

// add adds the reports up.
func (p *peers) add(now time.Time, window time.Duration) sums {
	waitingAge := max(waitingLeast, p.period*waitingPeriods/100)
	out := sums{at: now, loads: map[string]load{}, usage: map[string]Usage{}}
	for _, r := range p.reports {
		age := now.Sub(r.at)
		if age < loadAge {
			for id, l := range r.Loads {
				out.loads[id] = out.loads[id].plus(load{unread: l.Unread, running: l.Running, memory: l.Memory})
			}
		}
		f := math.Exp(-2 * age.Seconds() / window.Seconds())
		for name, u := range r.Usage {
			sum := out.usage[name]
			sum.Asked += u.Asked * f
			sum.Begun += u.Begun * f
			if age < waitingAge {
				sum.Waiting += u.Waiting
			}
			out.usage[name] = sum
		}
	}
	return out
}

// SetReportPeriod says how much time is between a router's reports.
func (s *State) SetReportPeriod(d time.Duration) { s.peers.period = d }

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

// loadOf returns the load on a target from all routers, as far as known.
func (s *State) loadOf(now time.Time, t *target) load {
	s.sum(now)
	return t.own.plus(t.others)
}
