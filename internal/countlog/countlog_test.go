package countlog_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/stepcroft/stepcroft/internal/answerbuffer"
	"github.com/stepcroft/stepcroft/internal/arrivals"
	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/countlog"
	"github.com/stepcroft/stepcroft/internal/tally"
)

// TestUnchangedCountsAreNotLogged guards against lines that repeat what was logged, or that come too often.
func TestUnchangedCountsAreNotLogged(t *testing.T) {
	now := time.Unix(1000, 0)
	s := balance.New(now, "z", balance.Limits{QuotaWindow: time.Second, ColdOver: 1, ColdSlack: 1}, rand.New(rand.NewPCG(1, 1)))
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	waited := time.Duration(0)
	counts := countlog.New(log, counters.New(), countlog.Sources{
		Loop: balance.NewLoop(s), Answers: answerbuffer.New(1 << 20), Requests: tally.New(),
		Arrivals: func() arrivals.Stats { return arrivals.Stats{RoomWait: waited} },
	})
	steps := []struct {
		name   string
		after  time.Duration
		change func()
		want   int
	}{
		{"nothing has changed", 0, func() {}, 0},
		{"connections waited", time.Second, func() { waited = time.Second }, 1},
		{"they wait on", time.Second / 2, func() {}, 0},
		{"they still wait", time.Second / 2, func() {}, 1},
		{"they wait no longer", time.Second, func() { waited = 0 }, 0},
		{"a target is cold", 0, func() {
			s.SetTargets(now, []balance.Target{{ID: "t", Service: "s", Zone: "z", Slots: 1, ColdLeft: time.Minute, ColdUntil: now.Add(time.Minute)}})
		}, 1},
		{"it is cold as before", time.Second, func() {}, 0},
	}
	for _, step := range steps {
		now = now.Add(step.after)
		step.change()
		lines = slices.Delete(lines, 0, len(lines))
		counts.Update(s, now)
		if len(lines) != step.want {
			t.Errorf("%s: lines %q, want %d", step.name, lines, step.want)
		}
	}
}
