package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/quarantine"
)

// held returns a state that holds a request back after three crashes, the last of them at start.
func held() *quarantine.State {
	s := quarantine.New()
	for i, target := range []string{"a", "b", "c"} {
		crash(s, start.Add(time.Duration(i-2)*2*time.Second), target, false, "q")
	}
	s.Updates(start)
	return s
}

// TestGrantedTrials guards against a trial beside one at another router, and against one that is never
// allowed since a message about an earlier one was lost.
func TestGrantedTrials(t *testing.T) {
	const runs = 4 * time.Second
	first, other := quarantine.Grantee{Router: "r1", ID: 1}, quarantine.Grantee{Router: "r2", ID: 1}
	for name, c := range map[string]struct {
		then  func(s *quarantine.State, now time.Time)
		asks  quarantine.Grantee
		after time.Duration
		want  bool
	}{
		"another router's is under way":      {asks: other, after: time.Second},
		"its crash may not be known yet":     {asks: other, after: runs + time.Second},
		"it is over, its end was not told":   {asks: other, after: runs + 5*time.Second, want: true},
		"the router has missed the answer":   {asks: quarantine.Grantee{Router: "r1", ID: 2}, after: time.Second, want: true},
		"the same question, late":            {asks: first, after: time.Second},
		"a question of before that, late":    {asks: quarantine.Grantee{Router: "r1"}, after: time.Second},
		"its end was told":                   {func(s *quarantine.State, now time.Time) { s.EndGrantedTrial(now, key("q"), first, false) }, other, time.Second, true},
		"its end was told, the answer broke": {func(s *quarantine.State, now time.Time) { s.EndGrantedTrial(now, key("q"), first, true) }, other, time.Second, false},
		"the end of one at another was told": {func(s *quarantine.State, now time.Time) { s.EndGrantedTrial(now, key("q"), other, false) }, other, time.Second, false},
		"the end of an earlier one was told": {func(s *quarantine.State, now time.Time) {
			s.EndGrantedTrial(now, key("q"), quarantine.Grantee{Router: "r1"}, false)
		}, other, time.Second, false},
		"the request is cleared and unknown":  {func(s *quarantine.State, now time.Time) { s.Clear(key("q")); s.Expire(now.Add(24 * time.Hour)) }, other, time.Second, false},
		"a trial of this router would not do": {func(s *quarantine.State, now time.Time) { s.StartTrial(now, now.Add(time.Hour), key("q")) }, other, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := held(), start.Add(3*time.Second)
			if s.GrantTrial(now.Add(-time.Millisecond), now.Add(runs), first, key("q")) || !s.GrantTrial(now, now.Add(runs), first, key("q")) {
				t.Fatal("not allowed just when its delay is over")
			}
			if c.then != nil {
				c.then(s, now)
			}
			now = now.Add(c.after)
			if got := s.GrantTrial(now, now.Add(runs), c.asks, key("q")); got != c.want {
				t.Errorf("allowed: %v", got)
			}
		})
	}
}

// trialFleet plays in virtual time routers at which a request arrives that crashes each target. The first of
// them decides on trials; a part of all messages is lost, the others come late.
type trialFleet struct {
	random  *rand.Rand
	now     time.Time
	routers []*quarantine.State
	// events are what happens at later times, in steps of playStep.
	events map[time.Time][]func()
	// waiting are the numbers of the questions whose answers the routers await, lastID the latest ones.
	waiting, lastID       []uint64
	sent, asked, messages int
	busiest, second       int
}

const playStep = 10 * time.Millisecond

func (f *trialFleet) after(d time.Duration, do func()) {
	at := f.now.Add(d).Truncate(playStep).Add(playStep)
	f.events[at] = append(f.events[at], do)
}

// wait draws a time of up to d.
func (f *trialFleet) wait(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d)))
}

func (f *trialFleet) message(do func()) {
	f.messages++
	if f.random.IntN(5) > 0 {
		f.after(f.wait(200*time.Millisecond), do)
	}
}

// run plays until a time.
func (f *trialFleet) run(until time.Time) {
	for ; f.now.Before(until); f.now = f.now.Add(playStep) {
		if f.now.UnixMilli()%1000 == 0 {
			f.busiest, f.second = max(f.busiest, f.second), 0
		}
		for _, do := range f.events[f.now] {
			do()
		}
		delete(f.events, f.now)
	}
}

// arrive plays the arrival of the request at a router, and its callers' next ones.
func (f *trialFleet) arrive(i int, interval time.Duration) {
	defer f.after(interval/2+f.wait(interval), func() { f.arrive(i, interval) })
	s, first, id := f.routers[i], f.routers[0], f.lastID[i]+1
	if s.View().RejectedFor(f.now, key("q")) > 0 {
		return
	}
	if i == 0 {
		f.start(i, quarantine.Grantee{})
		return
	}
	if !s.MayAskForTrial(f.now, key("q")) {
		return
	}
	f.asked++
	f.second++
	f.waiting[i], f.lastID[i] = id, id
	f.after(500*time.Millisecond, func() { f.waiting[i] = 0 })
	by := quarantine.Grantee{Router: fmt.Sprint(i), ID: id}
	f.message(func() {
		if !first.GrantTrial(f.now, f.now.Add(4*time.Second), by, key("q")) {
			left := first.TrialLeft(f.now, key("q"))
			f.message(func() { s.DelayAsking(f.now, key("q"), left) })
			return
		}
		f.message(func() {
			if f.waiting[i] != id || !f.start(i, by) {
				f.message(func() { first.EndGrantedTrial(f.now, key("q"), by, false) })
			}
		})
	})
}

// start sends the request on trial at a router if that may be: it crashes its target a second later.
func (f *trialFleet) start(i int, by quarantine.Grantee) bool {
	s := f.routers[i]
	if !s.StartTrial(f.now, f.now.Add(4*time.Second), key("q")) {
		return false
	}
	f.sent++
	target := fmt.Sprint("trial ", f.sent)
	f.after(time.Second, func() {
		crash(s, f.now, target, true, "q")
		s.EndTrial(f.now, key("q"), true)
		f.message(func() { f.routers[0].EndGrantedTrial(f.now, key("q"), by, true) })
		news := s.Updates(f.now)
		for _, other := range f.routers {
			f.after(f.wait(350*time.Millisecond), func() { other.Merge(f.now, news) })
		}
	})
	return true
}

// TestTrialsOfManyRouters guards against more than three trials of a request that crashes each target, and
// against questions for them that load the router that decides.
func TestTrialsOfManyRouters(t *testing.T) {
	for _, routers := range []int{2, 60, 295, 630} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			f := &trialFleet{random: rand.New(rand.NewPCG(1, uint64(routers))), now: start, events: map[time.Time][]func(){}}
			f.waiting, f.lastID = make([]uint64, routers), make([]uint64, routers)
			for i := range routers {
				f.routers = append(f.routers, held())
				f.after(f.wait(2*time.Second), func() { f.arrive(i, 2*time.Second) })
			}
			f.run(start.Add(7 * time.Minute))
			t.Logf("%d trials, %d questions, %d in the busiest second, %d messages", f.sent, f.asked, f.busiest, f.messages)
			if f.sent != 3 || f.busiest > routers {
				t.Errorf("%d trials, want 3", f.sent)
			}
		})
	}
}
