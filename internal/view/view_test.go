package view_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/view"
)

const window = 4 * time.Second

// timed is what one router reported about one thing, and when.
type timed[T any] struct {
	value T
	at    time.Time
}

// naive keeps all reports and adds them up on each call.
type naive struct {
	loads   map[string]map[string]timed[view.Load]
	reports map[string]timed[view.Report]
}

func (n *naive) load(now time.Time, target string) view.Load {
	sum := view.Load{}
	for name, loads := range n.loads {
		if now.Sub(n.reports[name].at) < 1500*time.Millisecond {
			sum = sum.Plus(loads[target].value)
		}
	}
	return sum
}

func (n *naive) usage(now time.Time, organisation string) view.Usage {
	sum := view.Usage{}
	for _, r := range n.reports {
		age := now.Sub(r.at)
		if age > 10*time.Second {
			continue
		}
		u := r.value.Usage[organisation]
		sum.Demand += u.Demand * view.DecayFactor(age, window)
		sum.Started += u.Started * view.DecayFactor(age, window)
		if age < 250*time.Millisecond {
			sum.Waiting += u.Waiting
		}
	}
	return sum
}

func name(t *rapid.T, what string, n int) string {
	return fmt.Sprint(what, rapid.IntRange(0, n-1).Draw(t, what))
}

func drawLoad(t *rapid.T) view.Load {
	return view.Load{
		PendingTokens: rapid.IntRange(0, 50_000).Draw(t, "unread"), Running: rapid.IntRange(0, 9).Draw(t, "running"),
		MemoryTokens: rapid.IntRange(0, 99_999).Draw(t, "memory"),
	}
}

func drawReport(t *rapid.T) view.Report {
	r := view.Report{Loads: map[string]view.Load{}, Usage: map[string]view.Usage{}}
	for range rapid.IntRange(0, 3).Draw(t, "loads") {
		r.Loads[name(t, "target", 4)] = drawLoad(t)
	}
	for range rapid.IntRange(0, 3).Draw(t, "usages") {
		r.Usage[name(t, "organisation", 3)] = view.Usage{
			Demand: rapid.Float64Range(0, 1e6).Draw(t, "asked"), Started: rapid.Float64Range(0, 1e6).Draw(t, "begun"),
			Waiting: rapid.IntRange(0, 30).Draw(t, "waiting"),
		}
	}
	return r
}

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-6*(1+math.Abs(a)+math.Abs(b))+1e-2 }

// TestSums compares the sums with those of a naive version that adds up all reports each time.
func TestSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		v := view.New(now, window)
		n := &naive{loads: map[string]map[string]timed[view.Load]{}, reports: map[string]timed[view.Report]{}}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"report": func(t *rapid.T) {
				router, r := name(t, "router", 3), drawReport(t)
				v.UpdateReport(now, router, r)
				n.reports[router] = timed[view.Report]{r, now}
				n.loads[router] = map[string]timed[view.Load]{}
				for target, l := range r.Loads {
					n.loads[router][target] = timed[view.Load]{l, now}
				}
			},
			"load": func(t *rapid.T) {
				router, target, l := name(t, "router", 3), name(t, "target", 4), drawLoad(t)
				r, known := n.reports[router]
				if !known || now.Sub(r.at) >= 1500*time.Millisecond {
					t.Skip("a router without a recent report")
				}
				v.UpdateLoad(now, router, target, l)
				n.loads[router][target] = timed[view.Load]{l, now}
			},
			"added": func(t *rapid.T) {
				router, target, l := name(t, "router", 3), name(t, "target", 4), drawLoad(t)
				r, known := n.reports[router]
				if !known || now.Sub(r.at) >= 1500*time.Millisecond {
					t.Skip("a router without a recent report")
				}
				v.AddLoad(now, router, target, l)
				n.loads[router][target] = timed[view.Load]{n.loads[router][target].value.Plus(l), now}
			},
			"": func(t *rapid.T) {
				// Expired reports are removed only every 20 ms.
				now = now.Add(20 * time.Millisecond)
				for i := range 4 {
					target := fmt.Sprint("target", i)
					got, at := v.Load(now, target)
					if want := n.load(now, target); got != want {
						t.Fatalf("load of %s is %+v, want %+v", target, got, want)
					}
					if at.After(now) || got.PendingTokens > 0 && now.Sub(at) > 1501*time.Millisecond {
						t.Fatalf("load of %s was reported at %v, now is %v", target, at, now)
					}
				}
				for i := range 3 {
					organisation := fmt.Sprint("organisation", i)
					got, want := v.Usage(now, organisation), n.usage(now, organisation)
					if !near(got.Demand, want.Demand) || !near(got.Started, want.Started) || got.Waiting != want.Waiting {
						t.Fatalf("usage of %s is %+v, want %+v", organisation, got, want)
					}
				}
			},
		})
	})
}

func TestMeanTime(t *testing.T) {
	now := time.Unix(1000, 0)
	v := view.New(now, window)
	v.UpdateReport(now, "a", view.Report{Loads: map[string]view.Load{"t": {PendingTokens: 1000}}})
	v.UpdateReport(now.Add(100*time.Millisecond), "b", view.Report{Loads: map[string]view.Load{"t": {PendingTokens: 3000}}})
	l, at := v.Load(now.Add(200*time.Millisecond), "t")
	if want := now.Add(75 * time.Millisecond); l.PendingTokens != 4000 || at.Sub(want).Abs() > time.Microsecond {
		t.Errorf("%d pending tokens reported at %v, want 4000 at %v", l.PendingTokens, at, want)
	}
}
