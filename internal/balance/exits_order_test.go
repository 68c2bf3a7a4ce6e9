package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// TestEndToldOutOfOrder guards against streams that are joined from two versions as another router's word of the end of
// a process comes before its entry, and against targets that get no rest of streams as it comes after that of the next.
func TestEndToldOutOfOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	target := func(version string, born, writes, revision int64) balance.Target {
		return balance.Target{ID: "a", Service: "llm", Address: "a:1", Zone: "z", Slots: 8, Version: version, Born: born, Writes: writes, Revision: revision}
	}
	// step is an entry that is read, or the end of its process if ended is set.
	type step struct {
		entry balance.Target
		ended bool
		after time.Duration
	}
	read := func(e balance.Target) step { return step{entry: e} }
	end := func(e balance.Target) step { return step{entry: e, ended: true} }
	late := func(s step, d time.Duration) step {
		s.after = d
		return s
	}
	for start0, process := range map[string]func(n int64, version string) balance.Target{
		"starts known":   func(n int64, version string) balance.Target { return target(version, 4+n, 3, 10*n) },
		"starts unknown": func(n int64, version string) balance.Target { return target(version, 0, 4-n, 10*n) },
	} {
		first, second, third := process(1, "v1"), process(2, "v2"), process(3, "v2")
		rewritten := first
		rewritten.Writes, rewritten.Revision = first.Writes+1, first.Revision+5
		for name, c := range map[string]struct {
			steps []step
			// rest is the version of which the rest of a stream may be sent, empty if there is none, and begun that
			// recorded for a stream that begins then.
			rest, begun string
		}{
			"no end":                             {steps: []step{read(first), read(second)}, rest: "v2", begun: "v2"},
			"end, next entry":                    {steps: []step{read(first), end(first), read(second)}, rest: "v2", begun: "v2"},
			"next entry, end":                    {steps: []step{read(first), read(second), end(first)}, rest: "v2", begun: "v2"},
			"end twice, the second late":         {steps: []step{read(first), end(first), read(second), end(first)}, rest: "v2", begun: "v2"},
			"end, before its entry":              {steps: []step{read(first), end(second), read(second)}, begun: streamversion.Unknown},
			"end, before its entry, twice":       {steps: []step{read(first), end(second), end(second), read(second)}, begun: streamversion.Unknown},
			"end, before any entry":              {steps: []step{end(first), read(first)}, begun: streamversion.Unknown},
			"two ends, in order":                 {steps: []step{read(first), end(first), end(second), read(second)}, begun: streamversion.Unknown},
			"two ends, the later first":          {steps: []step{read(first), end(second), end(first), read(second)}, begun: streamversion.Unknown},
			"end before its entry, next entry":   {steps: []step{read(first), end(second), read(second), read(third)}, rest: "v2", begun: "v2"},
			"end before its entry, next at once": {steps: []step{read(first), end(second), read(third)}, rest: "v2", begun: "v2"},
			"end, a write of its own read late":  {steps: []step{read(first), end(first), read(rewritten)}, begun: streamversion.Unknown},
			"end by an entry that is older":      {steps: []step{read(rewritten), end(first)}, begun: streamversion.Unknown},
			"end before its entry, long ago":     {steps: []step{read(first), end(second), late(read(second), time.Minute)}, rest: "v2", begun: "v2"},
		} {
			t.Run(start0+", "+name, func(t *testing.T) {
				now := start
				s := balance.New(now, "z", balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second}, rand.New(rand.NewPCG(1, 1)))
				table, err := routing.New(routing.Spec{Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 1_000_000}}}})
				if err != nil {
					t.Fatal(err)
				}
				s.Configure(table)
				begun := ""
				s.OnStreamBegun(func(_ time.Time, b balance.Stream, _ bool) { begun = b.Version })
				for _, step := range c.steps {
					now = now.Add(step.after + 10*time.Millisecond)
					s.Tick(now)
					if step.ended {
						s.RecordExitOf(now, step.entry.Process())
					} else {
						s.SetTargets(now, []balance.Target{step.entry})
					}
				}
				send := func(id string, v balance.VersionLimit) bool {
					k := &balance.Ticket{
						ID: id, Service: "llm", Organisation: "o", Engine: true, Stream: true, StreamID: id, Version: v, Input: 10, Output: 10,
						Goal: time.Second, Arrived: now, Deadline: now.Add(time.Minute), Decision: make(chan balance.Decision, 1),
					}
					s.Arrive(now, k)
					select {
					case d := <-k.Decision:
						s.Started(now, k)
						return d.Target.ID != ""
					default:
						s.Withdraw(k)
						return false
					}
				}
				rest := ""
				for _, v := range []string{"v1", "v2"} {
					if send("rest "+v, balance.OnlyVersion(v)) {
						rest += v
					}
				}
				if rest != c.rest {
					t.Errorf("the rest of streams may be sent to %q, want %q", rest, c.rest)
				}
				if !send("new", balance.VersionLimit{}) || begun != c.begun {
					t.Errorf("a stream begins as of %q, want %q", begun, c.begun)
				}
			})
		}
	}
}
