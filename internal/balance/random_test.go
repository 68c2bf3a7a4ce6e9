package balance_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/view"
)

// model is a state under random events with what is needed to check its invariants.
type model struct {
	*world
	waiting, running []*balance.Ticket
	leaving          map[string]bool
	// retries and arrivals have the times of retries and of first arrivals, by service.
	retries, arrivals map[string][]time.Time
}

// withinWindow counts the times within a retry window before now.
func (m *model) withinWindow(times []time.Time) int {
	n := 0
	for _, at := range times {
		if m.now.Sub(at) < limits.RetryWindow {
			n++
		}
	}
	return n
}

// collect moves waiting tickets that got a decision on, and checks the decision.
func (m *model) collect(t *rapid.T) {
	left := m.waiting[:0]
	for _, k := range m.waiting {
		d := decision(k)
		switch {
		case d == nil:
			left = append(left, k)
		case d.Refused != "":
			if d.RetryAfter <= 0 {
				t.Fatalf("refused without Retry-After")
			}
		default:
			if m.leaving[d.Target.ID] {
				t.Fatalf("request sent to %s, which is leaving", d.Target.ID)
			}
			for _, id := range k.Tried {
				if id == d.Target.ID {
					t.Fatalf("request sent to %s again", id)
				}
			}
			m.running = append(m.running, k)
		}
	}
	m.waiting = left
}

// takeOut removes a random ticket from a list.
func takeOut(t *rapid.T, list *[]*balance.Ticket) *balance.Ticket {
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	k := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return k
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			k := m.plain()
			if rapid.Bool().Draw(t, "engine") {
				k = m.prompt(
					fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "organisation")),
					fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "shared")),
					rapid.IntRange(1, 40_000).Draw(t, "own"),
				)
			}
			m.Arrive(m.now, k)
			m.arrivals[k.Service] = append(m.arrivals[k.Service], m.now)
			m.waiting = append(m.waiting, k)
		},
		"pass": func(t *rapid.T) {
			m.advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
		},
		"begin": func(t *rapid.T) {
			if len(m.running) == 0 {
				t.Skip("nothing runs")
			}
			m.Started(m.now, m.running[rapid.IntRange(0, len(m.running)-1).Draw(t, "which")])
		},
		"end": func(t *rapid.T) {
			if len(m.running) == 0 {
				t.Skip("nothing runs")
			}
			how := rapid.SampledFrom([]balance.Result{
				balance.Answered, balance.Refused, balance.Unreachable, balance.Failed, balance.Abandoned,
			}).Draw(t, "how")
			m.Ended(m.now, takeOut(t, &m.running), how)
		},
		"retry": func(t *rapid.T) {
			if len(m.running) == 0 {
				t.Skip("nothing runs")
			}
			k := takeOut(t, &m.running)
			m.Ended(m.now, k, balance.Failed)
			k.Tried = append(k.Tried, "e0", "p0")
			if m.Retry(m.now, k) {
				m.retries[k.Service] = append(m.retries[k.Service], m.now)
				m.waiting = append(m.waiting, k)
				allowed := limits.RetryRatio*float64(m.withinWindow(m.arrivals[k.Service])) + limits.RetrySlack
				if n := m.withinWindow(m.retries[k.Service]); float64(n) > allowed {
					t.Fatalf("%d retries in a window that allows %g", n, allowed)
				}
			}
		},
		"withdraw": func(t *rapid.T) {
			if len(m.waiting) == 0 {
				t.Skip("nothing waits")
			}
			m.Withdraw(takeOut(t, &m.waiting))
		},
		"targets": func(t *rapid.T) {
			list := targets(rapid.IntRange(0, 4).Draw(t, "number"))
			m.leaving = map[string]bool{}
			for i := range list {
				list[i].Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
				m.leaving[list[i].ID] = list[i].Leaving
			}
			m.SetTargets(m.now, list)
		},
		"hear": func(t *rapid.T) {
			m.ApplyReport(m.now, fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "router")), view.Report{
				Loads: map[string]view.Load{"e1": {PendingTokens: rapid.IntRange(0, 20_000).Draw(t, "unread"), Running: 1}},
				Usage: map[string]view.Usage{"o1": {Demand: 1000, Started: 1000, Waiting: rapid.IntRange(0, 3).Draw(t, "waiting")}},
			})
		},
		"": func(t *rapid.T) {
			m.collect(t)
			for id, l := range m.Report(m.now).Loads {
				if l.PendingTokens < 0 || l.MemoryTokens < 0 || l.Running <= 0 {
					t.Fatalf("load of %s is %+v", id, l)
				}
			}
		},
	}
}

// TestRandom applies random events. After each it checks that no request is sent to an
// excluded target and that no load is negative, and at the end that every request got a
// decision and no load remains.
func TestRandom(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		m := &model{world: newWorld(4), leaving: map[string]bool{}, retries: map[string][]time.Time{}, arrivals: map[string][]time.Time{}}
		t.Repeat(m.actions())
		m.advance(time.Minute)
		m.collect(t)
		if n := len(m.waiting); n > 0 {
			t.Fatalf("%d requests got no decision", n)
		}
		for _, k := range m.running {
			m.Ended(m.now, k, balance.Answered)
		}
		if loads := m.Report(m.now).Loads; len(loads) > 0 {
			t.Fatalf("load left over: %v", loads)
		}
	})
}
