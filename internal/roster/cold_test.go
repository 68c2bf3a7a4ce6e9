package roster_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/coldstart"
	"github.com/stepcroft/stepcroft/internal/message"
)

// coldRate is the request rate that a cold target can take in the simulations.
var coldRate = coldstart.Rate{PerSecond: 9.8, MaxPerSecond: 19.7}

// coldRatePerView is the number of requests per second that routers with the same view of the
// fleet may send to a cold target together. Three disjoint views stay within coldRate.
const coldRatePerView = 6.0

// sendInterval is the time between two attempts of a router to send to the cold targets.
const sendInterval = 25 * time.Millisecond

// senders simulates routers that send as many requests to cold targets as they are allowed to.
type senders struct {
	*fleet
	targets []string
	// arrived holds the arrival times of requests by target.
	arrived map[string][]time.Duration
}

func newSenders(f *fleet, targets int) *senders {
	s := &senders{fleet: f, arrived: map[string][]time.Duration{}}
	for i := range targets {
		s.targets = append(s.targets, fmt.Sprint("t", i))
	}
	return s
}

// launch starts routers, which send requests until they are stopped.
func (s *senders) launch(incarnation uint64, routers ...*router) {
	s.fleet.launch(incarnation, routers...)
	for _, r := range routers {
		rights := coldstart.NewSenders(s.time(), r, message.RouterID(r.name))
		windows := make([]coldstart.Window, len(s.targets))
		s.try(r, r.life, rights, windows)
	}
}

func (s *senders) try(r *router, life int, rights *coldstart.Senders, windows []coldstart.Window) {
	if !r.running || r.life != life {
		return
	}
	for i, target := range s.targets {
		if windows[i].Count(s.time()) < rights.SendLimit(s.time(), target, coldRate) {
			windows[i].Add(s.time())
			s.arrived[target] = append(s.arrived[target], s.now)
		}
	}
	s.after(sendInterval, func() { s.try(r, life, rights, windows) })
}

// maxPerSecond returns the maximum number of requests that arrived at a target within a second.
func (s *senders) maxPerSecond() int {
	most := 0
	for _, list := range s.arrived {
		first := 0
		for i, at := range list {
			for at-list[first] >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// TestColdSenders checks that a cold target never gets more requests than it can take while
// routers die and restart, messages are lost and the network is partitioned into up to three
// parts. All routers send as much as they are allowed to, and the targets stay cold.
func TestColdSenders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(3, 24).Draw(t, "routers"), rapid.Uint64().Draw(t, "seed"))
		s := newSenders(f, rapid.IntRange(1, 3).Draw(t, "targets"))
		s.launch(1000, f.routers...)
		f.run(5 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if n := s.maxPerSecond(); float64(n) > coldRate.MaxPerSecond {
					t.Fatalf("%d requests reached a cold target within a second", n)
				}
			},
			"time passes": func(t *rapid.T) {
				f.run(time.Duration(rapid.IntRange(10, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"some die": func(t *rapid.T) {
				f.stop(rapid.SliceOfN(rapid.SampledFrom(f.routers), 1, 5).Draw(t, "routers")...)
			},
			"one restarts": func(t *rapid.T) {
				r := rapid.SampledFrom(f.routers).Draw(t, "router")
				f.stop(r)
				s.launch(uint64(rapid.IntRange(1, 2000).Draw(t, "clock")), r)
			},
			"all restart": func(t *rapid.T) {
				f.stop(f.routers...)
				s.launch(uint64(rapid.IntRange(2000, 4000).Draw(t, "clock")), f.routers...)
			},
			"messages are lost": func(t *rapid.T) {
				f.loss = rapid.Float64Range(0, 0.3).Draw(t, "part")
			},
			"a cut into sides": func(t *rapid.T) {
				sides := rapid.IntRange(1, 3).Draw(t, "sides")
				side := map[*router]int{}
				for _, r := range f.routers {
					side[r] = rapid.IntRange(1, sides).Draw(t, "side")
				}
				f.cut = func(from, to *router) bool { return side[from] != side[to] }
			},
		})
	})
}

// TestColdRateIsUsed checks that a cold target gets nearly coldRatePerView in a fleet whose
// routers all have the same view.
func TestColdRateIsUsed(t *testing.T) {
	const length = 10 * time.Second
	for name, n := range map[string]int{"3 routers": 3, "91": 91} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(n, 5)
			s := newSenders(f, 5)
			s.launch(1, f.routers...)
			f.run(5 * time.Second)
			clear(s.arrived)
			f.run(length)
			for target, list := range s.arrived {
				if got := float64(len(list)) / length.Seconds(); got < 0.9*coldRatePerView || got > coldRatePerView {
					t.Errorf("%s got %.1f requests per second, want up to %.1f", target, got, coldRatePerView)
				}
			}
			if len(s.arrived) != 5 {
				t.Errorf("%d of 5 targets got requests", len(s.arrived))
			}
		})
	}
}
