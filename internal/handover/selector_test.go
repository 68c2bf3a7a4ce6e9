package handover_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/handover"
	"github.com/stepcroft/stepcroft/internal/message"
)

const (
	// serveCost is the CPU time of a request that is served. A box of 0.192 cores then serves some
	// 120 requests a second. relayCost is that of one that is relayed, and spacedRelayCost that with
	// pieces of answers 200 ms apart, in the ratios that gateway's BenchmarkStream measured.
	serveCost       = 1600 * time.Microsecond
	relayCost       = 750 * time.Microsecond
	spacedRelayCost = 500 * time.Microsecond
	// refuseCost is that of a refusal, tryCost that of an offer that fails.
	refuseCost = 60 * time.Microsecond
	tryCost    = 100 * time.Microsecond
	// answerTime is how long a request runs, maxLag the backlog from which requests are refused.
	answerTime = time.Second
	maxLag     = 65 * time.Millisecond
)

// box is a simulated router. backlog is the CPU time of the work that waits.
type box struct {
	cores         float64
	backlog, used time.Duration
	measured      float64
	open, limit   int
	// behaviour is "", "dead", "silent" or "declines".
	behaviour string
}

func (b *box) add(cost time.Duration) { b.backlog += cost }

// run works for a millisecond, and measures the utilisation at the end of each tenth of a second.
func (b *box) run(measure bool) {
	done := min(b.backlog, time.Duration(b.cores*float64(time.Millisecond)))
	b.backlog -= done
	b.used += done
	if measure {
		b.measured, b.used = b.used.Seconds()/(0.1*b.cores), 0
	}
}

func (b *box) lag() time.Duration { return time.Duration(float64(b.backlog) / b.cores) }

// zone is a small box with other routers.
type zone struct {
	small      *box
	others     map[message.RouterID]*box
	candidates []handover.Candidate
	selector   *handover.Selector
	random     *rand.Rand
	// due has what happens at each later millisecond.
	due                    map[int][]func()
	served, refused, total int
	// parts has the part to hand over after each tenth of a second.
	parts []float64
}

func newZone(seed uint64, behaviours ...string) *zone {
	z := &zone{
		small: &box{cores: 0.192}, others: map[message.RouterID]*box{}, due: map[int][]func(){},
		selector: handover.New(handover.Limits{Relays: 576, Connecting: 32}), random: rand.New(rand.NewPCG(seed, 1)),
	}
	for i, behaviour := range behaviours {
		id := message.RouterID(fmt.Sprint("r", i))
		b := &box{cores: 0.4 + 0.1*float64(i%5), limit: 300, behaviour: behaviour}
		z.others[id] = b
		z.candidates = append(z.candidates, handover.Candidate{ID: id, Cores: b.cores})
	}
	return z
}

// offer offers a connection and reports what came of it after a while.
func (z *zone) offer(ms int, to handover.Candidate, attempt int) {
	b := z.others[to.ID]
	now := time.Time{}.Add(time.Duration(ms) * time.Millisecond)
	fail := func(after int) {
		z.small.add(tryCost)
		z.due[ms+after] = append(z.due[ms+after], func() {
			at := now.Add(time.Duration(after) * time.Millisecond)
			z.selector.Declined(at, to.ID)
			if attempt == 1 && b.behaviour != "silent" {
				if next, ok := z.selector.ChooseAgain(at, z.candidates, z.random.IntN); ok {
					z.offer(ms+after, next, 2)
					return
				}
			}
			z.local()
		})
	}
	switch {
	case b.behaviour == "silent":
		fail(50)
	case b.behaviour == "dead", b.behaviour == "declines", b.measured > 0.6, b.open >= b.limit:
		fail(1)
	default:
		z.small.add(z.relayCost())
		b.add(serveCost)
		b.open++
		z.served++
		// The small box has to get round to it.
		began := ms + 1 + int(z.small.lag().Milliseconds())
		z.due[began] = append(z.due[began], func() { z.selector.Accepted(to.ID) })
		end := began + int(answerTime.Milliseconds())
		z.due[end] = append(z.due[end], func() {
			b.open--
			z.selector.Closed(to.ID)
		})
	}
}

// relayCost returns the CPU time of a relay, which depends on the utilisation.
func (z *zone) relayCost() time.Duration {
	level := min(max((z.small.measured-0.6)/0.3, 0), 1)
	return relayCost - time.Duration(level*float64(relayCost-spacedRelayCost))
}

// local serves a connection at the small box, or refuses it.
func (z *zone) local() {
	if z.small.lag() > maxLag {
		z.small.add(refuseCost)
		z.refused++
		return
	}
	z.small.add(serveCost)
	z.served++
}

// run lets connections arrive at a rate per second, for some seconds.
func (z *zone) run(t *testing.T, rate float64, seconds int) {
	t.Helper()
	for ms := range seconds * 1000 {
		now := time.Time{}.Add(time.Duration(ms) * time.Millisecond)
		for _, f := range z.due[ms] {
			f()
		}
		delete(z.due, ms)
		for arrivals := rate / 1000; z.random.Float64() < arrivals; arrivals-- {
			z.total++
			z.selector.SetLoad(now, z.small.measured)
			if to, ok := z.selector.Choose(now, z.candidates, z.random.IntN); ok {
				z.offer(ms, to, 1)
			} else {
				z.local()
			}
		}
		z.small.run(ms%100 == 99)
		for id, b := range z.others {
			b.run(ms%100 == 99)
			if b.open > b.limit {
				t.Fatalf("%s has %d connections, its limit is %d", id, b.open, b.limit)
			}
		}
		if ms%100 == 99 {
			z.parts = append(z.parts, z.selector.Part())
		}
	}
}

// share returns the part of the connections that were served.
func (z *zone) share() float64 { return float64(z.served) / float64(z.total) }

func repeat(n int, behaviour string) []string { return slices.Repeat([]string{behaviour}, n) }

// TestSmallBoxWithFiveTimesItsLoad guards against refusing most requests of an organisation whose
// callers all use one small box, while other boxes of its zone are idle. At the measured costs, the
// CPU time of the small box bounds what it can hand over.
func TestSmallBoxWithFiveTimesItsLoad(t *testing.T) {
	cases := map[string]struct {
		others []string
		// least and most bound the part of the connections that is served.
		least, most float64
	}{
		"without others":       {least: 0.1, most: 0.25},
		"others with room":     {others: repeat(10, ""), least: 0.55, most: 1},
		"some fail":            {others: append(repeat(6, ""), "dead", "dead", "declines", "silent"), least: 0.55, most: 1},
		"all decline":          {others: repeat(10, "declines"), least: 0.1, most: 0.25},
		"all silent":           {others: repeat(10, "silent"), least: 0.1, most: 0.25},
		"one with little room": {others: append(repeat(9, "declines"), ""), least: 0.25, most: 0.6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				z := newZone(seed, c.others...)
				z.run(t, 600, 20)
				if got := z.share(); got < c.least || got > c.most {
					t.Errorf("seed %d: served %.2f of the connections, want %.2f to %.2f", seed, got, c.least, c.most)
				}
			}
		})
	}
}

// TestPartFollowsLoad guards against handing over all and no connections by turns: with one
// threshold, relaying lowers the load below it.
func TestPartFollowsLoad(t *testing.T) {
	z := newZone(1, repeat(10, "")...)
	z.run(t, 150, 30)
	changes := 0
	for i := 51; i < len(z.parts); i++ {
		if d := z.parts[i] - z.parts[i-1]; d > 0.3 || d < -0.3 {
			changes++
		}
	}
	if changes > 5 {
		t.Errorf("the part changed by more than 0.3 in %d of %d intervals", changes, len(z.parts)-51)
	}
	if got := z.share(); got < 0.95 {
		t.Errorf("served %.2f of the connections, want 0.95", got)
	}
}

func TestIdleBoxHandsNothingOver(t *testing.T) {
	z := newZone(1, repeat(10, "")...)
	z.run(t, 40, 5)
	if z.selector.Open() > 0 || slices.Max(z.parts) > 0 {
		t.Errorf("%d connections handed over, parts up to %v", z.selector.Open(), slices.Max(z.parts))
	}
}

// TestBackoff guards against offering connections to a router that declines, at the cost of a round
// trip for each caller.
func TestBackoff(t *testing.T) {
	s := handover.New(handover.Limits{Relays: 10, Connecting: 10})
	only := []handover.Candidate{{ID: "a", Cores: 1}}
	now := time.Time{}.Add(time.Hour)
	s.SetLoad(now, 1)
	var waits []time.Duration
	for range 7 {
		began := now
		for {
			if c, ok := s.Choose(now, only, rand.IntN); ok {
				s.Declined(now, c.ID)
				break
			}
			now = now.Add(10 * time.Millisecond)
		}
		waits = append(waits, now.Sub(began).Round(10*time.Millisecond))
	}
	want := []time.Duration{0, 250, 500, 1000, 2000, 4000, 4000}
	for i := range want {
		if waits[i] != want[i]*time.Millisecond {
			t.Fatalf("waits %v, want %v ms", waits, want)
		}
	}
}

// TestDeclineAfterAcceptance guards against ignoring that a router declines, because it had declined
// before it last accepted.
func TestDeclineAfterAcceptance(t *testing.T) {
	s := handover.New(handover.Limits{Relays: 10, Connecting: 10})
	now := time.Unix(1000, 0)
	s.SetLoad(now, 1)
	list := []handover.Candidate{{ID: "a", Cores: 1}}
	first := func(int) int { return 0 }
	for range 3 {
		if _, ok := s.Choose(now, list, first); !ok {
			t.Fatal("nothing chosen")
		}
	}
	s.Declined(now, "a")
	s.Accepted("a")
	s.Declined(now.Add(time.Millisecond), "a")
	if n := s.BackedOff(now.Add(2 * time.Millisecond)); n != 1 {
		t.Errorf("%d routers left alone, want 1", n)
	}
}

func TestLimits(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	cases := map[string]struct {
		limits handover.Limits
		accept bool
		want   int
	}{
		"relays":     {handover.Limits{Relays: 7, Connecting: 10}, true, 7},
		"connecting": {handover.Limits{Relays: 7, Connecting: 3}, false, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := handover.New(c.limits)
			s.SetLoad(now, 1)
			chosen := 0
			for range 20 {
				if to, ok := s.Choose(now, []handover.Candidate{{ID: "a", Cores: 1}}, rand.IntN); ok {
					chosen++
					if c.accept {
						s.Accepted(to.ID)
					}
				}
			}
			if chosen != c.want {
				t.Errorf("%d connections, want %d", chosen, c.want)
			}
		})
	}
}

func TestCandidates(t *testing.T) {
	self := message.RouterRecord{ID: "self", Zone: "a", Capacity: 0.2, Ready: true, Handover: "x:1"}
	good := message.RouterRecord{ID: "r", Zone: "a", Capacity: 0.4, Ready: true, Handover: "x:1"}
	cases := map[string]struct {
		change func(*message.RouterRecord)
		want   int
	}{
		"suits":             {func(*message.RouterRecord) {}, 1},
		"this router":       {func(r *message.RouterRecord) { r.ID = "self" }, 0},
		"other zone":        {func(r *message.RouterRecord) { r.Zone = "b" }, 0},
		"too small":         {func(r *message.RouterRecord) { r.Capacity = 0.39 }, 0},
		"not ready":         {func(r *message.RouterRecord) { r.Ready = false }, 0},
		"leaving":           {func(r *message.RouterRecord) { r.Leaving = true }, 0},
		"suspected":         {func(r *message.RouterRecord) { r.State = message.Suspected }, 0},
		"older program":     {func(r *message.RouterRecord) { r.Handover = "" }, 0},
		"infinite cores":    {func(r *message.RouterRecord) { r.Capacity = math.Inf(1) }, 0},
		"no address":        {func(r *message.RouterRecord) { r.Handover = "x" }, 0},
		"unknown own cores": {func(*message.RouterRecord) { self.Capacity = 0 }, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before := self
			defer func() { self = before }()
			r := good
			c.change(&r)
			if got := handover.Candidates(self, slices.Values([]message.RouterRecord{r})); len(got) != c.want {
				t.Errorf("got %v, want %d", got, c.want)
			}
		})
	}
}
