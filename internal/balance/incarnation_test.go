package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/view"
)

// newRouter returns the state of a router with service "llm" and no engines yet.
func newRouter(t interface{ Fatal(...any) }, now time.Time) *State {
	s := New(now, "z", Limits{RetryWindow: time.Second, QuotaWindow: time.Second}, rand.New(rand.NewPCG(1, 1)))
	table, err := routing.New(routing.Spec{Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 1_000_000}}}})
	if err != nil {
		t.Fatal(err)
	}
	s.Configure(table)
	return s
}

// engine returns an incarnation of an engine.
func engine(id string, born int64) Target {
	return Target{ID: id, Service: "llm", Zone: "z", Slots: 64, Born: born}
}

// newTicket returns a request to engines for a prompt with a shared prefix.
func newTicket(id string, now time.Time) *Ticket {
	return &Ticket{
		ID: id, Service: "llm", Organisation: "o", Engine: true, Stream: true, Input: 1000, Output: 10,
		Parts: []prefix.Part{{ID: "shared", Tokens: 800}, {ID: "own " + id, Tokens: 200}},
		Goal:  time.Second, Arrived: now, Deadline: now.Add(time.Minute), Decision: make(chan Decision, 1),
	}
}

func TestNewIncarnationStartsEmpty(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newRouter(t, now)
	s.SetTargets(now, []Target{engine("e", 1)})
	k := newTicket("q", now)
	lost := 0
	k.OnLost(func() { lost++ })
	s.Arrive(now, k)
	old := s.findIncarnation("e@1")
	old.recordResult(now, Unreachable)
	s.ApplyReport(now, "r", view.Report{Loads: map[string]view.Load{"e@1": {Running: 7}}, SharedParts: map[string][]string{"e@1": {"other"}}})
	if got := s.loadOf(now, old); got.Running != 8 || !old.suspected(now) {
		t.Fatalf("load %+v before the restart, suspected %v", got, old.suspected(now))
	}

	s.SetTargets(now, []Target{engine("e", 2)})
	fresh := s.findIncarnation("e@2")
	if fresh == nil || s.findIncarnation("e@1") != nil || lost != 1 {
		t.Fatalf("old incarnation %v, new one %v, %d requests aborted, want 1", s.findIncarnation("e@1"), fresh, lost)
	}
	s.ApplyReport(now, "late", view.Report{Loads: map[string]view.Load{"e@1": {Running: 5}}, SharedParts: map[string][]string{"e@1": {"shared"}}})
	s.Ended(now, k, Failed)
	if got := s.loadOf(now, fresh); got != (view.Load{}) || fresh.suspected(now) || fresh.health.FailureRate() > 0 {
		t.Errorf("load %+v of a new incarnation, suspected %v", got, fresh.suspected(now))
	}
	if got := fresh.cache.UncachedTokens(now, k.Parts, k.Input); got != k.Input {
		t.Errorf("%d of %d tokens missing at a new incarnation", got, k.Input)
	}
	if r := s.Report(now); len(r.Loads) > 0 {
		t.Errorf("loads %v reported, want none", r.Loads)
	}
}

func TestListedAgainIsTheSameIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newRouter(t, now)
	s.SetTargets(now, []Target{engine("e", 1)})
	k := newTicket("q", now)
	k.OnLost(func() { t.Error("the request was aborted though its target runs on") })
	s.Arrive(now, k)
	leaving := engine("e", 1)
	leaving.Leaving = true
	s.SetTargets(now, []Target{leaving})
	if got := s.loadOf(now, s.findIncarnation("e@1")); got.Running != 1 {
		t.Errorf("load %+v, want one running request", got)
	}
	k.OnLost(nil)
	s.SetTargets(now, []Target{engine("e", 2)})
	if s.findIncarnation("e@2").Closed(now) {
		t.Error("a new incarnation is still leaving")
	}
}

// TestSumsOfIncarnations simulates two routers that learn of new incarnations of engines at
// different times, and whose reports to each other arrive late and out of order. The load that
// a router computes for an incarnation must be its own plus the one last received for the same
// incarnation.
func TestSumsOfIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		type mail struct {
			report view.Report
		}
		states := []*State{newRouter(t, now), newRouter(t, now)}
		born := []map[string]int64{{"a": 1, "b": 1}, {"a": 1, "b": 1}}
		heard := make([]map[string]view.Load, 2)
		var sent [2][]mail
		running := [2]map[*Ticket]string{{}, {}}
		list := func(i int) {
			states[i].SetTargets(now, []Target{engine("a", born[i]["a"]), engine("b", born[i]["b"])})
		}
		list(0)
		list(1)
		which := rapid.IntRange(0, 1)
		count := 0
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				i := which.Draw(t, "router")
				count++
				k := newTicket(fmt.Sprint(count), now)
				k.OnLost(func() { delete(running[i], k) })
				states[i].Arrive(now, k)
				select {
				case d := <-k.Decision:
					if d.Refused == "" {
						running[i][k] = d.Target.Incarnation()
					}
				default:
					states[i].Withdraw(k)
				}
			},
			"end": func(t *rapid.T) {
				i := which.Draw(t, "router")
				for k := range running[i] {
					states[i].Ended(now, k, Answered)
					delete(running[i], k)
					break
				}
			},
			"start again": func(t *rapid.T) {
				i := which.Draw(t, "router")
				id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "engine")
				born[i][id] = max(born[0][id], born[1][id]) + int64(rapid.IntRange(0, 1).Draw(t, "once more"))
				list(i)
			},
			"tell": func(t *rapid.T) {
				i := which.Draw(t, "router")
				sent[i] = append(sent[i], mail{states[i].Report(now)})
			},
			"hear": func(t *rapid.T) {
				i := which.Draw(t, "router")
				if len(sent[1-i]) == 0 {
					return
				}
				m := rapid.SampledFrom(sent[1-i]).Draw(t, "report")
				states[i].ApplyReport(now, "other", m.report)
				heard[i] = m.report.Loads
			},
			"": func(t *rapid.T) {
				for i, s := range states {
					own := map[string]int{}
					for _, life := range running[i] {
						own[life]++
					}
					for _, target := range s.targets {
						name := target.incarnation
						want := own[name] + heard[i][name].Running
						if got := s.loadOf(now, target).Running; got != want {
							t.Fatalf("router %d counts %d running requests at %s, want %d", i, got, name, want)
						}
					}
				}
			},
		})
	})
}

// BenchmarkSetTargets measures replacing a list of 6,600 targets of which one changes: 0.72 ms
// before incarnations were distinguished, 0.75 ms since, means of three runs.
func BenchmarkSetTargets(b *testing.B) {
	now := time.Unix(1000, 0)
	s := newRouter(b, now)
	var list []Target
	for i := range 6600 {
		list = append(list, engine(fmt.Sprintf("i-%08x", i), 0))
	}
	for i := 0; b.Loop(); i++ {
		list[i%len(list)].Slots++
		s.SetTargets(now, list)
	}
}
