package balance

import (
	"math"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/view"
)

// shares counts what organisations asked for and got, in tokens, over about
// a quota window.
type shares struct {
	// capacity is what the engines produce, in tokens a second; 0 if unknown.
	capacity float64
	window   time.Duration
	counts   map[string]*count
}

// count is an organisation's tokens, decaying over the window.
type count struct {
	asked, begun float64
	at           time.Time
}

func newShares(window time.Duration) shares {
	return shares{window: window, counts: map[string]*count{}}
}

// decayTo lets a count decay to now. The time constant is half the window, so
// that most of the weight lies within it.
func (c *count) decayTo(now time.Time, window time.Duration) {
	d := now.Sub(c.at)
	if d <= 0 {
		return
	}
	f := view.DecayFactor(d, window)
	c.asked *= f
	c.begun *= f
	c.at = now
}

func (s *shares) of(now time.Time, organisation string) *count {
	c := s.counts[organisation]
	if c == nil {
		c = &count{at: now}
		s.counts[organisation] = c
	}
	c.decayTo(now, s.window)
	return c
}

func (s *shares) asked(now time.Time, organisation string, tokens float64) {
	s.of(now, organisation).asked += tokens
}

func (s *shares) begun(now time.Time, organisation string, tokens float64) {
	c := s.of(now, organisation)
	c.begun = max(c.begun+tokens, 0)
}

// hadOf returns what an organisation got of all routers.
func (s *State) hadOf(now time.Time, organisation string) float64 {
	return s.shares.of(now, organisation).begun + s.others.Usage(now, organisation).Started
}

// excess returns how many times its share of what the engines produce, as
// max-min fairness divides it, an organisation had.
func (s *State) excess(now time.Time, organisation string) float64 {
	if organisation == "" || s.shares.capacity <= 0 {
		return 0
	}
	return s.hadOf(now, organisation) / max(s.levelAt(now), 1)
}

// over reports whether an organisation already had its share.
func (s *State) over(now time.Time, organisation string) bool { return s.excess(now, organisation) > 1 }

// levelAge is for how long a level is used before it is worked out anew.
const levelAge = 50 * time.Millisecond

// level is the most that an organisation may have got, and when that was
// worked out.
type level struct {
	tokens float64
	at     time.Time
}

// levelAt returns the most that an organisation may have got: the level at
// which what all ask for, cut to it, adds up to the capacity.
func (s *State) levelAt(now time.Time) float64 {
	if now.Sub(s.level.at) < levelAge {
		return s.level.tokens
	}
	var asked []float64
	for name := range s.shares.counts {
		asked = append(asked, s.shares.of(now, name).asked+s.others.Usage(now, name).Demand)
	}
	s.others.EachOrganisation(now, func(name string, u view.Usage) {
		if s.shares.counts[name] == nil {
			asked = append(asked, u.Demand)
		}
	})
	// A constant rate decays to rate times the time constant.
	capacity := s.shares.capacity * s.limits.QuotaWindow.Seconds() / 2
	s.level = level{tokens: fill(asked, capacity), at: now}
	return s.level.tokens
}

// fill returns the level l at which the sum of min(a, l) over all a is
// capacity, or infinity if all fit.
func fill(asked []float64, capacity float64) float64 {
	slices.Sort(asked)
	left := capacity
	for i, a := range asked {
		even := left / float64(len(asked)-i)
		if a > even {
			return even
		}
		left -= a
	}
	return math.Inf(1)
}
