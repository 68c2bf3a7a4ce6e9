package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
)

const (
	// requestedBackoff is the backoff that a target asks for. Within arrivalGrace after that
	// answer any number of requests may still arrive, later in the backoff at most
	// maxLateArrivals.
	requestedBackoff = 3 * time.Second
	arrivalGrace     = 500 * time.Millisecond
	maxLateArrivals  = 2
	// maxTransit is the longest time that a request takes to reach its target, including to
	// connect.
	maxTransit = 400 * time.Millisecond
	// simStep and simDuration are the time step and the length of a simulation.
	simStep, simDuration = 5 * time.Millisecond, 20 * time.Second
)

// backoffSim simulates a router with targets of which some refuse all requests for a while.
type backoffSim struct {
	*world
	*rand.Rand
	from, until time.Time
	refuses     func(id string) bool
	// plain is set if the requests are for the plain service, silent if refusing targets do
	// not ask for a backoff. refusedAt and arrived have the times at which requests were
	// refused by and reached each target.
	plain, silent bool
	refusedAt     map[string][]time.Time
	arrived       map[string][]time.Time
	due           []due
	// refused has the router's refusals.
	refused []balance.Decision
	served  int
}

// newBackoffSim returns a simulation of six engines and six plain targets, of which those that
// refuses selects refuse all requests from the fourth second to the thirteenth.
func newBackoffSim(refuses func(id string) bool, plain bool) *backoffSim {
	w := newWorld(6)
	return &backoffSim{
		world: w, Rand: rand.New(rand.NewPCG(1, 2)), refuses: refuses, plain: plain,
		from: w.now.Add(4 * time.Second), until: w.now.Add(13 * time.Second),
		refusedAt: map[string][]time.Time{}, arrived: map[string][]time.Time{},
	}
}

// due is an action at a later time.
type due struct {
	at time.Time
	do func()
}

func (p *backoffSim) after(d time.Duration, do func()) { p.due = append(p.due, due{p.now.Add(d), do}) }

// send simulates a request, which is retried once if its target refuses it.
func (p *backoffSim) send() {
	k := p.prompt("o", fmt.Sprint("shared", p.IntN(24)), 100)
	if p.plain {
		k = p.world.plain()
	}
	p.Arrive(p.now, k)
	p.follow(k, 1)
}

// follow sends a request on once it has a target, and checks again later while it waits.
func (p *backoffSim) follow(k *balance.Ticket, retries int) {
	d := decision(k)
	switch {
	case d == nil:
		p.after(simStep, func() { p.follow(k, retries) })
	case d.Refused != "":
		p.refused = append(p.refused, *d)
	default:
		transit := time.Millisecond
		if p.IntN(50) == 0 {
			transit = time.Duration(p.Int64N(int64(maxTransit)))
		}
		p.after(transit, func() { p.reach(k, d.Target.ID, retries) })
	}
}

// reach simulates that a request reaches its target.
func (p *backoffSim) reach(k *balance.Ticket, id string, retries int) {
	p.arrived[id] = append(p.arrived[id], p.now)
	if p.now.Before(p.from) || !p.now.Before(p.until) || !p.refuses(id) {
		p.after(20*time.Millisecond, func() { p.Started(p.now, k) })
		p.after(100*time.Millisecond, func() {
			p.Ended(p.now, k, balance.Answered)
			p.served++
		})
		return
	}
	p.refusedAt[id] = append(p.refusedAt[id], p.now)
	p.after(time.Millisecond, func() {
		if !p.silent {
			p.RecordBackoff(p.now, k, requestedBackoff)
		}
		p.Ended(p.now, k, balance.Refused)
		k.Tried = append(k.Tried, id)
		if retries > 0 && p.Retry(p.now, k) {
			p.follow(k, retries-1)
		}
	})
}

func (p *backoffSim) run(perStep float64) {
	for end := p.now.Add(simDuration); p.now.Before(end); {
		p.advance(simStep)
		now := p.now
		list := p.due
		p.due = nil
		for _, e := range list {
			if e.at.After(now) {
				p.due = append(p.due, e)
				continue
			}
			e.do()
		}
		for n := perStep; n > 0 && p.Float64() < n; n-- {
			p.send()
		}
		if p.IntN(40) == 0 {
			// The list is replaced now and then; for a moment one target is missing from it.
			i := p.IntN(len(targets(6)))
			p.SetTargets(p.now, slices.Delete(targets(6), i, i+1))
			p.SetTargets(p.now, targets(6))
		}
	}
}

// maxLate returns the highest number of requests that reached a single target during its
// backoff.
func (p *backoffSim) maxLate() int {
	most := 0
	for id, list := range p.refusedAt {
		for _, at := range list {
			n := 0
			for _, a := range p.arrived[id] {
				if a.After(at.Add(arrivalGrace)) && a.Before(at.Add(requestedBackoff)) {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// Guards against sending more requests to targets that refused requests and asked for a
// backoff: since nothing runs there, they look like the least loaded ones.
func TestBackoffIsHonoured(t *testing.T) {
	gomega.RegisterTestingT(t)
	cases := map[string]struct {
		refuses func(id string) bool
		plain   bool
		all     bool
	}{
		"some engines":       {refuses: func(id string) bool { return id == "e1" || id == "e4" }},
		"some plain targets": {refuses: func(id string) bool { return id == "p1" || id == "p4" }, plain: true},
		"all engines":        {refuses: func(string) bool { return true }, all: true},
		"all plain targets":  {refuses: func(string) bool { return true }, plain: true, all: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newBackoffSim(c.refuses, c.plain)
			p.run(0.5)
			if n := p.maxLate(); n > maxLateArrivals {
				t.Errorf("%d requests reached a target during its backoff, want at most %d", n, maxLateArrivals)
			}
			if !c.all && len(p.refused) > 0 {
				t.Errorf("%d requests refused and %d served though other targets have room, first refusal %+v", len(p.refused), p.served, p.refused[0])
			}
			if c.all && !slices.ContainsFunc(p.refused, func(d balance.Decision) bool { return d.RetryAfter > time.Second }) {
				t.Errorf("none of %d refusals had a Retry-After past the backoff", len(p.refused))
			}
			for id := range p.refusedAt {
				if last := p.arrived[id][len(p.arrived[id])-1]; !last.After(p.until.Add(requestedBackoff)) {
					t.Errorf("%s got no requests after its backoff", id)
				}
			}
		})
	}
}

// rate returns how many requests a second reached a target between two times.
func (p *backoffSim) rate(id string, from, until time.Time) float64 {
	n := 0
	for _, at := range p.arrived[id] {
		if at.After(from) && at.Before(until) {
			n++
		}
	}
	return float64(n) / until.Sub(from).Seconds()
}

// Guards against sending more requests to targets that refuse one request after another
// without asking for a backoff: since nothing runs there, they look like the least loaded
// ones. Which organisations were served then depended on whose requests happened to go
// elsewhere.
func TestRefusingTargetsDrawNoRequests(t *testing.T) {
	gomega.RegisterTestingT(t)
	cases := map[string]struct {
		refuses func(id string) bool
		plain   bool
	}{
		"some engines":        {refuses: func(id string) bool { return id == "e1" || id == "e4" }},
		"some plain targets":  {refuses: func(id string) bool { return id == "p1" || id == "p4" }, plain: true},
		"all engines but one": {refuses: func(id string) bool { return id != "e2" }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newBackoffSim(c.refuses, c.plain)
			p.silent = true
			start := p.now
			p.run(0.5)
			for id := range p.refusedAt {
				before, during := p.rate(id, start, p.from), p.rate(id, p.from, p.until)
				if during > before {
					t.Errorf("%s got %.1f requests a second while it refused all, %.1f before", id, during, before)
				}
				if last := p.arrived[id][len(p.arrived[id])-1]; !last.After(p.until.Add(time.Second)) {
					t.Errorf("%s got no requests after it stopped refusing them", id)
				}
			}
		})
	}
}
