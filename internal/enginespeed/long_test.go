package enginespeed_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/enginespeed"
)

// TestThreeHours guards against weights that overflow and against a change of the landmark that
// changes factors or makes known sums look new.
func TestThreeHours(t *testing.T) {
	b, now := enginespeed.New(start), start
	var first float64
	for i := range 3 * 3600 {
		now = now.Add(time.Second)
		b.Observe(now, "llm", "fast", 500*ms, 350*ms)
		reports := []enginespeed.Report{{Target: "slow", Service: "llm", Sums: enginespeed.Sums{Expected: 5000, Actual: 8500}}}
		switch second := i % 200; {
		case second == 190:
			b.Observe(now, "llm", "once", 100*ms, 100*ms)
		case second > 190 || second < 10 && i >= 200:
			reports = append(reports, enginespeed.Report{Target: "once", Service: "llm", Sums: enginespeed.Sums{Expected: 10, Actual: 10}})
		}
		b.SetPeer(now, "r", reports)
		for _, r := range b.Take(now) {
			if r.Target == "once" && i%200 != 190 {
				t.Fatalf("reported again after %v, without an observation", now.Sub(start))
			}
		}
		if i == 100 {
			first = b.Factor(now, "llm", "slow")
		}
		if f := b.Factor(now, "llm", "slow"); i >= 100 && math.Abs(f-first) > 0.05 {
			t.Fatalf("factor is %g after %v, %g at first", f, now.Sub(start), first)
		}
	}
}

// peerReports lets peers report 64 engines each: all the same, or different ones.
func peerReports(b *enginespeed.Book, now time.Time, peers int, different bool) {
	for p := range peers {
		list := make([]enginespeed.Report, 64)
		for i := range list {
			list[i] = enginespeed.Report{Target: fmt.Sprint("e", i), Service: "llm", Sums: enginespeed.Sums{Expected: 100, Actual: 100}}
			if different {
				list[i].Target = fmt.Sprint("e", p, "-", i)
			}
		}
		b.SetPeer(now, fmt.Sprint("r", p), list)
	}
}

// TestManyEntries guards against a book that grows without bound, and against one that is full for
// good because expired sums still count.
func TestManyEntries(t *testing.T) {
	b, now := enginespeed.New(start), start
	for range 5 {
		peerReports(b, now, 200, false)
		now = now.Add(31 * time.Second)
	}
	if b.Ignored() != 0 {
		t.Errorf("%d reports ignored after 64,000, of which 12,800 at a time", b.Ignored())
	}
	for name, c := range map[string]struct {
		peers     int
		different bool
		ignored   int64
	}{
		"entries": {800, false, 1200},
		"engines": {320, true, 480},
	} {
		t.Run(name, func(t *testing.T) {
			b := enginespeed.New(start)
			peerReports(b, start, c.peers, c.different)
			if b.Ignored() != c.ignored {
				t.Errorf("%d reports ignored, want %d", b.Ignored(), c.ignored)
			}
		})
	}
}

// TestLongList guards against reports that are larger than routers send.
func TestLongList(t *testing.T) {
	b := enginespeed.New(start)
	var list []enginespeed.Report
	for i := range 70 {
		list = append(list, enginespeed.Report{Target: fmt.Sprint("e", i), Service: "llm", Sums: enginespeed.Sums{Expected: 100, Actual: 100}})
	}
	b.SetPeer(start, "r", list)
	if n := b.Summaries(start)["llm"].Engines; n != 64 || b.Ignored() != 6 {
		t.Errorf("%d engines known and %d reports ignored, want 64 and 6", n, b.Ignored())
	}
}

// TestFactorBounds guards against predictions that are far off because an engine is broken.
func TestFactorBounds(t *testing.T) {
	for name, c := range map[string]struct {
		other, sums enginespeed.Sums
		factor      float64
	}{
		"slow": {enginespeed.Sums{Expected: 1e5, Actual: 1e3}, enginespeed.Sums{Expected: 290, Actual: 290_000}, 4},
		"fast": {enginespeed.Sums{Expected: 290, Actual: 290_000}, enginespeed.Sums{Expected: 3000, Actual: 3000}, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			b := enginespeed.New(start)
			list := []enginespeed.Report{{Target: "other", Service: "llm", Sums: c.other}, {Target: "e", Service: "llm", Sums: c.sums}}
			if c.other.Expected > c.sums.Expected {
				list[0], list[1] = list[1], list[0]
			}
			b.SetPeer(start, "r", list)
			if f := b.Factor(start, "llm", "e"); f != c.factor {
				t.Errorf("factor is %g, want %g", f, c.factor)
			}
		})
	}
}
