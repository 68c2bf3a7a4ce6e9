package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/feature"
	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/routing"
)

const (
	// speedRouters use speedEngines, of which two thirds take 0.7 and one third 1.7 times the usual
	// time. An engine of usual speed reads speedPerMilli tokens a millisecond.
	speedRouters, speedEngines, speedPerMilli = 16, 12, 40.0
	// speedFixed is the usual time to the first event beside reading, speedAnswer the rest of an
	// answer.
	speedFixed, speedAnswer = 40 * time.Millisecond, 1500 * time.Millisecond
	speedGoal               = 800 * time.Millisecond
)

// speedFleet simulates routers that share engines of different speeds, in virtual time.
type speedFleet struct {
	now     time.Time
	random  *rand.Rand
	routers []*State
	engines map[string]*speedEngine
	events  []event
	waiting []undecided
	tickets int
	// cut has the routers whose reports don't arrive.
	cut map[int]bool
	// late counts the requests whose first event came after their goal, refused those refused.
	sent, late, refused int
}

// speedEngine reads prompts in order, and caches their shared parts.
type speedEngine struct {
	factor    float64
	readUntil time.Time
	cached    map[string]time.Time
}

func newSpeedFleet(t testing.TB, seed uint64, speeds feature.Switch) *speedFleet {
	t.Helper()
	f := &speedFleet{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 2)), engines: map[string]*speedEngine{}, cut: map[int]bool{}}
	for i := range speedEngines {
		e := &speedEngine{factor: 0.7, cached: map[string]time.Time{}}
		if i%3 == 0 {
			e.factor = 1.7
		}
		f.engines[fmt.Sprint("e", i)] = e
	}
	for i := range speedRouters {
		f.routers = append(f.routers, f.newRouter(t, seed, i, speeds))
	}
	return f
}

func (f *speedFleet) newRouter(t testing.TB, seed uint64, i int, speeds feature.Switch) *State {
	t.Helper()
	table, err := routing.New(routing.Spec{
		Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 400_000}}},
		Limits:   routing.Limits{TokensPerSecond: 1e7},
	})
	if err != nil {
		t.Fatal(err)
	}
	var list []Target
	for id := range speedEngines {
		list = append(list, Target{ID: fmt.Sprint("e", id), Service: "llm", Zone: "z", Slots: 64, Born: 1})
	}
	s := New(f.now, "z", Limits{RetryWindow: time.Second, QuotaWindow: 4 * time.Second}, rand.New(rand.NewPCG(seed, uint64(i))))
	s.SetFeatures(feature.Set{EngineSpeeds: speeds})
	s.Configure(table)
	s.SetTargets(f.now, list)
	s.SetPeers(speedRouters-1, speedRouters-1)
	return s
}

// run simulates some time with a number of requests a second at random routers.
func (f *speedFleet) run(d time.Duration, perSecond float64) {
	const step = 2 * time.Millisecond
	end := f.now.Add(d)
	for n := 0; f.now.Before(end); n++ {
		for due := perSecond * step.Seconds(); f.random.Float64() < due; due-- {
			f.arrive()
		}
		f.runEvents()
		for i, s := range f.routers {
			if n%10 == i%10 {
				s.Tick(f.now)
			}
			if n%75 == i*4%75 {
				f.report(i)
			}
		}
		f.collect()
		f.now = f.now.Add(step)
	}
}

func (f *speedFleet) arrive() {
	f.tickets++
	s := f.routers[f.random.IntN(len(f.routers))]
	own := 500 + f.random.IntN(4000)
	t := &Ticket{
		ID: fmt.Sprint("t", f.tickets), Service: "llm", Organisation: fmt.Sprint("o", f.random.IntN(8)), Engine: true, Stream: true,
		Parts: []prefix.Part{{ID: fmt.Sprint("s", f.random.IntN(40)), Tokens: 4000}, {ID: fmt.Sprint("p", f.tickets), Tokens: own}},
		Input: 4000 + own, Output: 50, Goal: speedGoal, Arrived: f.now, Deadline: f.now.Add(6 * time.Second), Decision: make(chan Decision, 1),
	}
	f.waiting = append(f.waiting, undecided{t, s})
	s.Arrive(f.now, t)
}

func (f *speedFleet) report(i int) {
	r := f.routers[i].Report(f.now)
	for j, other := range f.routers {
		if j != i && !f.cut[i] && !f.cut[j] {
			other.ApplyReport(f.now, fmt.Sprint("r", i), r)
		}
	}
}

func (f *speedFleet) collect() {
	var waiting []undecided
	for _, u := range f.waiting {
		t, s := u.ticket, u.router
		select {
		case d := <-t.Decision:
			if d.Refused != "" {
				f.refused++
				continue
			}
			first, end := f.engines[d.Target.ID].start(f.now, t)
			f.sent++
			if first.Sub(t.Arrived) > speedGoal {
				f.late++
			}
			f.events = append(f.events, event{first, func() { s.Started(f.now, t) }}, event{end, func() { s.Ended(f.now, t, Answered) }})
		default:
			waiting = append(waiting, u)
		}
	}
	f.waiting = waiting
}

// start returns when the first event of a request comes and when its answer ends.
func (e *speedEngine) start(now time.Time, t *Ticket) (first, end time.Time) {
	tokens := t.Input
	shared := t.Parts[0]
	if at, ok := e.cached[shared.ID]; ok && now.Sub(at) < prefix.CachedTTL {
		tokens -= shared.Tokens
	}
	e.cached[shared.ID] = now
	if e.readUntil.Before(now) {
		e.readUntil = now
	}
	scale := func(ms float64) time.Duration { return time.Duration(ms * e.factor * float64(time.Millisecond)) }
	e.readUntil = e.readUntil.Add(scale(float64(tokens) / speedPerMilli))
	first = e.readUntil.Add(scale(float64(speedFixed.Milliseconds())))
	return first, first.Add(scale(float64(speedAnswer.Milliseconds())))
}

func (f *speedFleet) runEvents() {
	f.events = slices.DeleteFunc(f.events, func(e event) bool {
		if e.at.After(f.now) {
			return false
		}
		e.do()
		return true
	})
}

// factorsOf returns a router's factors of a slow and of a fast engine.
func (f *speedFleet) factorsOf(s *State, at time.Time) (slow, fast float64) {
	return s.factor(at, s.targets["e0"]), s.factor(at, s.targets["e1"])
}

// TestSpeedsAtHighUtilisation replays engines that differ in speed under as much load as they can
// serve, with many routers. Without the part, the routers send the slow engines as much as the fast
// ones until backlogs are reported, and most late requests are those.
func TestSpeedsAtHighUtilisation(t *testing.T) {
	const perSecond = 190
	count := func(speeds feature.Switch) (late, refused int) {
		for seed := range uint64(3) {
			f := newSpeedFleet(t, seed, speeds)
			f.run(6*time.Second, perSecond)
			f.sent, f.late, f.refused = 0, 0, 0
			f.run(10*time.Second, perSecond)
			t.Logf("switch %d, seed %d: of %d sent, %d were late; %d refused", speeds, seed, f.sent, f.late, f.refused)
			late, refused = late+f.late, refused+f.refused
		}
		return late, refused
	}
	lateOff, refusedOff := count(feature.Off)
	late, refused := count(feature.On)
	if late*2 >= lateOff || refused > refusedOff {
		t.Errorf("%d late and %d refused with compared speeds, %d and %d without: want less than half, and no more", late, refused, lateOff, refusedOff)
	}
}

// TestSpeedsAfterFailures checks what remains of the factors when a router dies, when one starts and
// when one is cut off. It guards against speeds that are lost with one router or that never expire.
func TestSpeedsAfterFailures(t *testing.T) {
	const perSecond = 150
	f := newSpeedFleet(t, 1, feature.On)
	f.run(6*time.Second, perSecond)
	check := func(what string, s *State, at time.Time) {
		t.Helper()
		if slow, fast := f.factorsOf(s, at); slow < 1.3 || fast > 1.2 {
			t.Errorf("%s: factors are %.2f for a slow and %.2f for a fast engine", what, slow, fast)
		}
	}
	check("before", f.routers[0], f.now)

	f.cut[1] = true
	for _, s := range f.routers {
		s.ForgetPeer(f.now, "r1")
	}
	f.routers[2] = f.newRouter(t, 9, 2, feature.On)
	if slow, fast := f.factorsOf(f.routers[2], f.now); slow != 1 || fast != 1 {
		t.Errorf("a router that starts: factors are %.2f and %.2f, want 1", slow, fast)
	}
	f.run(3*time.Second, perSecond)
	check("after another router died", f.routers[0], f.now)
	check("3 s after the start", f.routers[2], f.now)
	check("cut off for 3 s", f.routers[1], f.now)
	check("cut off and idle for 8 s more", f.routers[1], f.now.Add(8*time.Second))
	if slow, fast := f.factorsOf(f.routers[1], f.now.Add(31*time.Second)); slow != 1 || fast != 1 {
		t.Errorf("cut off and idle for 31 s: factors are %.2f and %.2f, want 1", slow, fast)
	}
}

// BenchmarkChooseBySpeed is BenchmarkChoose with compared speeds, all engines known. The time
// advances, since a search for expired sums within a choice would take milliseconds.
func BenchmarkChooseBySpeed(b *testing.B) {
	for _, n := range []int{60, 1_000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, now := fleetState(b, n, 1)
			s.SetFeatures(feature.Set{EngineSpeeds: feature.On})
			for i, t := range fleetTargets(n) {
				s.speeds.Observe(now, t.Service, t.ID, 100*time.Millisecond, time.Duration(70+i%3*50)*time.Millisecond)
			}
			list := make([]*Ticket, 1000)
			for i := range list {
				list[i] = fleetPrompt(now, fmt.Sprint("s", i), i)
			}
			for _, t := range list[:500] {
				s.Arrive(now, t)
			}
			b.ResetTimer()
			for i := range b.N {
				s.choose(now.Add(time.Duration(i%20_000)*time.Millisecond), list[i%len(list)])
			}
		})
	}
}
