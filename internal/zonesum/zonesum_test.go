package zonesum_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/returns"
	"github.com/stepcroft/stepcroft/internal/zonesum"
)

var start = time.Unix(1000, 0)

// TestAgainstRecomputation compares sums with adding up the last report of every router.
func TestAgainstRecomputation(t *testing.T) {
	type timedStatus struct {
		message.Status
		at time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		var s zonesum.Sum
		all := map[message.RouterID]timedStatus{}
		var unsummed []string
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			id := message.RouterID(fmt.Sprint("r", rapid.IntRange(0, 4).Draw(t, "router")))
			m := draw(t)
			all[id] = timedStatus{m, now}
			s.UpdateReport(start.Add(now), id, m)
			unsummed = append(unsummed, parts(m)...)
			if rapid.Bool().Draw(t, "load") {
				l := message.TargetLoad{Target: "t1", PendingTokens: rapid.IntRange(0, 9).Draw(t, "unread"), Running: 1}
				s.UpdateLoads(id, []message.TargetLoad{l})
				m.Loads = append(slices.DeleteFunc(slices.Clone(m.Loads), func(old message.TargetLoad) bool { return old.Target == "t1" }), l)
				all[id] = timedStatus{m, now}
			}
			if rapid.Bool().Draw(t, "sum") {
				want := message.Status{}
				for _, r := range all {
					if now-r.at < 1500*time.Millisecond {
						want.Loads = append(want.Loads, r.Loads...)
						want.Usage = append(want.Usage, r.Usage...)
					}
				}
				got := s.Take(start.Add(now))
				if a, b := totals(got), totals(want); a != b {
					t.Fatalf("sum is %s, want %s", a, b)
				}
				if a, b := sorted(parts(got)), sorted(unsummed); a != b {
					t.Fatalf("parts are %s, want %s", a, b)
				}
				unsummed = nil
			}
		}
	})
}

func draw(t *rapid.T) message.Status {
	var m message.Status
	for i := range rapid.IntRange(0, 3).Draw(t, "targets") {
		n := rapid.IntRange(0, 100).Draw(t, "load")
		m.Loads = append(m.Loads, message.TargetLoad{Target: fmt.Sprint("t", i), PendingTokens: n, Running: n + 1, MemoryTokens: n + 2})
		m.SharedParts = append(m.SharedParts, message.TargetParts{Target: fmt.Sprint("t", i), Parts: []string{fmt.Sprint("p", n)}})
		m.Usage = append(m.Usage, message.OrganisationUsage{Organisation: fmt.Sprint("o", i), Demand: float64(n), Started: float64(n / 2), Waiting: n})
	}
	return m
}

// totals returns all sums by name, as one string.
func totals(m message.Status) string {
	sums := map[string][3]int{}
	add := func(name string, a, b, c int) {
		s := sums[name]
		sums[name] = [3]int{s[0] + a, s[1] + b, s[2] + c}
	}
	for _, l := range m.Loads {
		add(l.Target, l.PendingTokens, l.Running, l.MemoryTokens)
	}
	for _, u := range m.Usage {
		add(u.Organisation, int(u.Demand), int(u.Started), u.Waiting)
	}
	return fmt.Sprint(sums)
}

func parts(m message.Status) []string {
	var out []string
	for _, k := range m.SharedParts {
		for _, p := range k.Parts {
			out = append(out, k.Target+p)
		}
	}
	return out
}

func sorted(list []string) string {
	list = slices.Clone(list)
	slices.Sort(list)
	return strings.Join(list, " ")
}

func TestSelectRelay(t *testing.T) {
	r := func(id, zone string, capacity float64, belief message.RouterState) message.RouterRecord {
		return message.RouterRecord{ID: message.RouterID(id), Zone: zone, Capacity: capacity, State: belief}
	}
	small, other := r("small", "z", 0.2, message.Alive), r("other", "y", 0.8, message.Alive)
	a, b := r("a", "z", 0.8, message.Alive), r("b", "z", 0.5, message.Alive)
	suspected := r("a", "z", 0.8, message.Suspected)
	tests := map[string]struct {
		list []message.RouterRecord
		want []message.RouterID
	}{
		"nobody":                     {nil, nil},
		"no router in the zone":      {[]message.RouterRecord{other}, nil},
		"the only one":               {[]message.RouterRecord{other, small}, []message.RouterID{"small"}},
		"a large one":                {[]message.RouterRecord{small, a, b}, []message.RouterID{"a", "b"}},
		"never a suspected one":      {[]message.RouterRecord{suspected, b}, []message.RouterID{"b"}},
		"small if no large is alive": {[]message.RouterRecord{suspected, small}, []message.RouterID{"small"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := zonesum.SelectRelay("z", test.list)
			if ok != (len(test.want) > 0) || ok && !slices.Contains(test.want, got.ID) {
				t.Errorf("relay is %q, want one of %v", got.ID, test.want)
			}
			slices.Reverse(test.list)
			if again, _ := zonesum.SelectRelay("z", test.list); again.ID != got.ID {
				t.Errorf("relay is %q and, in another order, %q", got.ID, again.ID)
			}
		})
	}
}

// TestInvalidUsage guards against the sum of a zone that is lost because of one faulty router in it.
func TestInvalidUsage(t *testing.T) {
	var s zonesum.Sum
	s.UpdateReport(start, "a", message.Status{Usage: []message.OrganisationUsage{{Organisation: "o", Demand: 7}}})
	s.UpdateReport(start, "b", message.Status{Usage: []message.OrganisationUsage{{Organisation: "o", Demand: math.NaN()}}})
	if got := fmt.Sprint(s.Take(start).Usage); got != "[{o 7 0 0}]" {
		t.Errorf("usage is %s", got)
	}
}

// TestReturnsOfEndedRouter guards against callers of a router that has ended whose return is
// forgotten with its load, and against invalid slots, which would take any amount of memory.
func TestReturnsOfEndedRouter(t *testing.T) {
	var s zonesum.Sum
	s.UpdateReport(start, "ended", message.Status{Returns: []returns.Slots{{Service: "llm", First: 30, Tokens: []float64{7}}}})
	later := start.Add(2 * time.Second)
	s.UpdateReport(later, "faulty", message.Status{Returns: []returns.Slots{{Service: "llm", First: 1 << 50, Tokens: []float64{1}}}})
	if got := fmt.Sprint(s.Take(later).Returns); got != "[{llm 10 [7]}]" {
		t.Errorf("returns are %s", got)
	}
	if got := s.Take(later.Add(2 * time.Second)).Returns; len(got) > 0 {
		t.Errorf("returns are %v after all have passed", got)
	}
}
