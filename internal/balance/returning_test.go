package balance

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/feature"
	"github.com/stepcroft/stepcroft/internal/returns"
	"github.com/stepcroft/stepcroft/internal/view"
)

// perSlot is what the engines of a replay read in a slot.
var perSlot = shareEngines * sharePerMilli * float64(returns.SlotWidth/time.Millisecond)

// returnLoads are loads of two organisations, in tokens a second; a burst is nearly six
// times what engines take, for 0.6 s.
func returnLoads(perSecond float64) []shareOrganisation {
	return []shareOrganisation{{"large", allRouters, perSecond * 0.75, 1000}, {"other", allRouters, perSecond * 0.25, 1000}}
}

// playBurst plays a burst whose refused callers return, with something that happens during it, and
// returns the most tokens that returned in a slot.
func playBurst(t *testing.T, seed uint64, f feature.Switch, fail func(r *replay)) float64 {
	t.Helper()
	r := newReplay(t, seed, feature.Set{ReturnSlots: f})
	r.returning = true
	usual := returnLoads(100_000)
	r.play(usual, 3*time.Second)
	r.play(returnLoads(900_000), 300*time.Millisecond)
	fail(r)
	r.play(returnLoads(900_000), 300*time.Millisecond)
	r.play(usual, 5*time.Second)
	return slices.Max(slices.Collect(maps.Values(r.returned)))
}

// Guards against refused callers who come back together: after a burst of 0.6 s, 2.4 to 5.0 times
// what engines take came back within 100 ms. Cuts between routers and routers that end must not
// make it as bad again.
func TestReturnsAreSpread(t *testing.T) {
	for name, test := range map[string]struct {
		fail func(r *replay)
		most float64
	}{
		"all well":      {func(*replay) {}, 1.8},
		"routers end":   {func(r *replay) { r.down[0], r.down[1] = true, true }, 1.8},
		"links are cut": {func(r *replay) { r.unreported[0], r.unreported[1], r.unreported[2] = true, true, true }, 2.2},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				on, off := playBurst(t, seed, feature.On, test.fail), playBurst(t, seed, feature.Off, test.fail)
				t.Logf("seed %d: at most %.1f times what engines take came back, without slots %.1f", seed, on/perSlot, off/perSlot)
				if on > test.most*perSlot || off < 1.4*on {
					t.Errorf("seed %d: too much", seed)
				}
			}
		})
	}
}

// Guards against callers with little time left who are told to return later than they can wait, and
// so come back together after a third of it: 2.8 to 5.0 times what engines take came back within
// 100 ms.
func TestReturnsWithinTimeLeft(t *testing.T) {
	for seed := range uint64(4) {
		most := playBurst(t, seed, feature.On, func(r *replay) { r.timeLimit = 6 * time.Second })
		if most > 2*perSlot {
			t.Errorf("seed %d: %.1f times what engines take came back within 100 ms", seed, most/perSlot)
		}
	}
}

// Guards against an organisation within its share that returns after its goal since others have
// booked all slots, and against callers over their share that are all told the same time.
func TestReturnsUnderSustainedOverload(t *testing.T) {
	s, now, ticket := newFullState(t, feature.Set{ReturnSlots: feature.On})
	for range 20 {
		s.returning.Began(now, "llm", 1000)
		now = now.Add(returns.SlotWidth)
	}
	s.shares.AddDemand(now, "large", 20_000_000)
	s.shares.AddServed(now, "large", 20_000_000)
	s.shares.AddDemand(now, "small", 1000)
	told := map[time.Duration]bool{}
	for range 1000 {
		k := ticket("large", time.Second)
		k.Deadline = now.Add(15 * time.Second)
		told[s.retryAfter(now, k, OverShare).Truncate(returns.SlotWidth)] = true
		s.returning.Book(now, "llm", 100, minReturn, 0)
	}
	if len(told) < 8 {
		t.Errorf("callers over their share are told %d different slots, want ten", len(told))
	}
	for _, left := range []time.Duration{12 * time.Second, time.Second, 0} {
		k := ticket("small", time.Second)
		k.Deadline = now.Add(left)
		if d, most := s.retryAfter(now, k, Full), max(min(maxReturnWithinShare, left/3), 2*minReturn); d > most {
			t.Errorf("an organisation within its share is told %v with %v left, want at most %v", d, left, most)
		}
	}
}

// Guards against a router that refuses alone and is treated as one of all: each of its bookings, of a
// twentieth of a slot, took a slot of its own until it had reported several slots' worth.
func TestReturnsOfOneRefusingRouter(t *testing.T) {
	s, now, ticket := newFullState(t, feature.Set{ReturnSlots: feature.On})
	s.SetPeers(629, 629)
	var last time.Duration
	for step := range 60 {
		s.returning.Began(now, "llm", 10_000)
		now = now.Add(returns.SlotWidth / 2)
		if step < 20 {
			continue
		}
		for range 4 {
			k := ticket("p", time.Second)
			k.Deadline = now.Add(12 * time.Second)
			last = s.retryAfter(now, k, Full)
			if step > 40 && last > 3*returns.SlotWidth {
				t.Fatalf("step %d: told %v, want a slot that is almost empty", step, last)
			}
		}
		if step%6 == 0 {
			s.Report(now)
		}
	}
}

// Guards against starts of a router that are attributed to the wrong service, lost because nothing ran
// at the moment of a report, or so many that all callers would return at once.
func TestStartsOfOthers(t *testing.T) {
	r := newReplay(t, 1, feature.Set{ReturnSlots: feature.On})
	r.addService(t, "second", "other")
	s, now, total := r.routers[0], r.now, 0.0
	s.SetPeers(0, 0)
	report := func(started float64, loads map[string]view.Load) {
		now = now.Add(returns.SlotWidth)
		total = total*view.DecayFactor(returns.SlotWidth, 4*time.Second) + started
		s.ApplyReport(now, "r", view.Report{Loads: loads, Usage: map[string]view.Usage{"o": {Started: total}}})
	}
	both := map[string]view.Load{Target{ID: "e0"}.Incarnation(): {Running: 1}, Target{ID: "second0"}.Incarnation(): {Running: 1}}
	report(0, both)
	report(2000, both)
	report(2000, nil)
	report(2000, both)
	report(1e12, both)
	if n := s.ReturnCounts().Ignored; n != 1 {
		t.Errorf("%d ignored, want the last report's starts", n)
	}
	// 3,000 tokens for llm in four slots, less a tenth: room for six of 120 tokens in a slot.
	now = now.Add(returns.SlotWidth)
	var told []time.Duration
	for range 7 {
		told = append(told, s.returning.Book(now, "llm", 120, minReturn, 0))
	}
	if told[5] != minReturn || told[6] == minReturn {
		t.Errorf("callers are told %v, want six of them the first slot", told)
	}
}

// Guards against one faulty router whose bookings outweigh those of all others where the least full
// slot is chosen.
func TestBookingsOfFaultyRouter(t *testing.T) {
	s, now, _ := newFullState(t, feature.Set{ReturnSlots: feature.On})
	s.ApplyReport(now, "faulty", view.Report{Returns: []returns.Slots{{Service: "llm", Tokens: []float64{1e9, 5}}}})
	if _, others := s.returning.Reported(now); others != maxBookedFactor*10_000+5 {
		t.Errorf("%.0f tokens booked, want some times the capacity of a slot, 10,000", others)
	}
}

// Guards against slots that are filled by callers who can be served by no target anyway.
func TestNothingBookedWithoutTarget(t *testing.T) {
	s, now, ticket := newFullState(t, feature.Set{ReturnSlots: feature.On})
	for _, why := range []Reason{NoTarget, NoAllowedTarget} {
		if d := s.retryAfter(now, ticket("o", time.Second), why); d < retryAfterFull || d > 2*retryAfterFull {
			t.Errorf("%s: Retry-After is %v", why, d)
		}
	}
	if n := s.ReturnCounts().Booked; n != 0 {
		t.Errorf("%d returns booked", n)
	}
}

// Guards against a Retry-After that is out of bounds, ends before the back-off of all targets, or
// sends a caller back before its organisation is within its share.
func TestRetryAfter(t *testing.T) {
	backOff := func(d time.Duration) func(s *State, now time.Time) {
		return func(s *State, now time.Time) {
			for _, to := range s.targets {
				record, _ := s.advice.SetBackoff(now, to.incarnation, d)
				s.setReported(to, record)
			}
		}
	}
	served := func(shares float64) func(s *State, now time.Time) {
		return func(s *State, now time.Time) {
			// The decayed capacity of 100,000 tokens a second.
			s.shares.AddDemand(now, "o", 200_000*shares)
			s.shares.AddServed(now, "o", 200_000*shares)
		}
	}
	for name, test := range map[string]struct {
		prepare     func(s *State, now time.Time)
		least, most time.Duration
	}{
		"no room":              {func(*State, time.Time) {}, 100 * time.Millisecond, 1200 * time.Millisecond},
		"a little above share": {served(1.05), 300 * time.Millisecond, 1400 * time.Millisecond},
		"above share":          {served(2), 1386 * time.Millisecond, 2500 * time.Millisecond},
		"far above share":      {served(100), 3900 * time.Millisecond, 4 * time.Second},
		"short back-off":       {backOff(10 * time.Millisecond), 100 * time.Millisecond, 1200 * time.Millisecond},
		"back-off":             {backOff(1500 * time.Millisecond), 1500 * time.Millisecond, 2700 * time.Millisecond},
		"long back-off":        {backOff(3990 * time.Millisecond), 3990 * time.Millisecond, 4 * time.Second},
		"very long back-off":   {backOff(7 * time.Second), 7 * time.Second, 7700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s, now, ticket := newFullState(t, feature.Set{ReturnSlots: feature.On})
			test.prepare(s, now)
			for range 50 {
				if d := s.retryAfter(now, ticket("o", time.Second), Full); d < test.least || d > test.most {
					t.Fatalf("Retry-After is %v, want %v to %v", d, test.least, test.most)
				}
			}
			if got := s.Report(now).Returns; len(got) != 1 && test.most <= maxReturn {
				t.Errorf("bookings reported: %v", got)
			}
		})
	}
}

// Guards against bookings for services unknown here, which would take memory, and against what
// other routers start being counted twice or not at all.
func TestApplyReturns(t *testing.T) {
	s, now, ticket := newFullState(t, feature.Set{ReturnSlots: feature.On})
	report := view.Report{
		Loads:   map[string]view.Load{Target{ID: "e0"}.Incarnation(): {Running: 64}},
		Returns: []returns.Slots{{Service: "none", Tokens: []float64{1}}, {Service: "llm", First: -1, Tokens: []float64{1}}},
	}
	// Another router starts 1,000 tokens a slot; the sum that it reports decays over 2 s.
	started := 20_000.0
	for range 30 {
		report.Usage = map[string]view.Usage{"o": {Demand: started, Started: started}}
		s.ApplyReport(now, "r", report)
		now = now.Add(returns.SlotWidth)
		started = started*view.DecayFactor(returns.SlotWidth, 4*time.Second) + 1000
	}
	if got := s.ReturnCounts().Ignored; got != 60 {
		t.Errorf("%d ignored, want 60", got)
	}
	// Eight requests of 100 + 2 x 10 tokens fill a slot of 900 tokens.
	for range 8 {
		s.retryAfter(now, ticket("p", time.Second), Full)
	}
	got := s.Report(now).Returns
	if len(got) != 1 || len(got[0].Tokens) != 1 || got[0].Tokens[0] != 960 {
		t.Errorf("bookings are %v, want 960 tokens in one slot", got)
	}
}
