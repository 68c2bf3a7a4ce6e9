package enginespeed_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/enginespeed"
)

var start = time.Unix(1000, 0)

const ms = time.Millisecond

func Example() {
	now := start
	a, b := enginespeed.New(now), enginespeed.New(now)
	for range 50 {
		a.Observe(now, "llm", "fast", 100*ms, 70*ms)
		b.Observe(now, "llm", "slow", 100*ms, 170*ms)
	}
	fmt.Println("unknown engine:", a.Factor(now, "llm", "slow"))
	now = now.Add(time.Second)
	a.SetPeer(now, "b", b.Take(now))
	fmt.Printf("fast %.2f, slow %.2f\n", a.Factor(now, "llm", "fast"), a.Factor(now, "llm", "slow"))
	now = now.Add(time.Minute)
	fmt.Println("a minute later:", a.Factor(now, "llm", "slow"))
	// Output:
	// unknown engine: 1
	// fast 0.61, slow 1.39
	// a minute later: 1
}

// report is what one of the naive books below holds of a contribution.
type report struct {
	enginespeed.Sums
	at time.Time
}

// TestAgainstAddition compares the factors after random observations, reports and removals with
// those that result from adding up the latest report of every peer. It guards against sums that
// drift, count twice or outlive their peer.
func TestAgainstAddition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		b := enginespeed.New(now)
		kept := map[[2]string]report{}
		target := func() string { return fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "engine")) }
		sums := func() enginespeed.Sums {
			e := rapid.Float64Range(50, 5000).Draw(t, "expected")
			return enginespeed.Sums{Expected: e, Actual: e * rapid.Float64Range(0.5, 2).Draw(t, "ratio")}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				s, id := sums(), target()
				b.Observe(now, "llm", id, time.Duration(s.Expected)*ms, time.Duration(s.Expected)*ms)
				own := kept[[2]string{"", id}]
				if now.Sub(own.at) >= 30*time.Second {
					own = report{}
				}
				add := enginespeed.Sums{Expected: math.Floor(s.Expected), Actual: math.Floor(s.Expected)}
				kept[[2]string{"", id}] = report{decayed(own, now).Plus(add), now}
			case 1:
				peer := fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "peer"))
				r := enginespeed.Report{Target: target(), Service: "llm", Sums: sums()}
				b.SetPeer(now, peer, []enginespeed.Report{r})
				kept[[2]string{peer, r.Target}] = report{r.Sums, now}
			case 2:
				peer := fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "peer"))
				b.RemovePeer(peer)
				for k := range kept {
					if k[0] == peer {
						delete(kept, k)
					}
				}
			default:
				// Whole seconds, since sums expire once a second; up to 100 s, so that all expire and
				// the landmark is renewed.
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 3, 8, 29, 30, 100}).Draw(t, "s")) * time.Second)
			}
			for i := range 5 {
				id := fmt.Sprint("e", i)
				if got, want := b.Factor(now, "llm", id), naiveFactor(kept, now, id); math.Abs(got-want) > 1e-6 {
					t.Fatalf("factor of %s is %g, want %g", id, got, want)
				}
			}
		}
	})
}

func decayed(r report, now time.Time) enginespeed.Sums {
	f := math.Exp(-now.Sub(r.at).Seconds() / 10)
	return enginespeed.Sums{Expected: r.Expected * f, Actual: r.Actual * f}
}

func naiveFactor(kept map[[2]string]report, now time.Time, target string) float64 {
	var engine, all enginespeed.Sums
	known := false
	for k, r := range kept {
		if now.Sub(r.at) >= 30*time.Second {
			continue
		}
		all = all.Plus(decayed(r, now))
		if k[1] == target {
			engine, known = engine.Plus(decayed(r, now)), true
		}
	}
	if !known {
		return 1
	}
	mean := all.Actual / all.Expected
	return min(max((engine.Actual+300*mean)/(engine.Expected+300)/mean, 0.25), 4)
}

// TestInvalidReports guards against values of a faulty or newer router that distort the sums.
func TestInvalidReports(t *testing.T) {
	good := enginespeed.Sums{Expected: 100, Actual: 100}
	for name, r := range map[string]enginespeed.Report{
		"negative":     {Target: "e", Service: "llm", Sums: enginespeed.Sums{Expected: -1, Actual: 1}},
		"zero":         {Target: "e", Service: "llm", Sums: enginespeed.Sums{Expected: 1}},
		"not a number": {Target: "e", Service: "llm", Sums: enginespeed.Sums{Expected: math.NaN(), Actual: 1}},
		"infinite":     {Target: "e", Service: "llm", Sums: enginespeed.Sums{Expected: 1, Actual: math.Inf(1)}},
		"too large":    {Target: "e", Service: "llm", Sums: enginespeed.Sums{Expected: 1e9, Actual: 1e9}},
		"too slow":     {Target: "e", Service: "llm", Sums: enginespeed.Sums{Expected: 10, Actual: 10_001}},
		"too fast":     {Target: "e", Service: "llm", Sums: enginespeed.Sums{Expected: 10_001, Actual: 10}},
		"long target":  {Target: strings.Repeat("e", 257), Service: "llm", Sums: good},
		"long service": {Target: "f", Service: strings.Repeat("s", 257), Sums: good},
		"no target":    {Service: "llm", Sums: good},
		"no service":   {Target: "e", Sums: good},
		"other":        {Target: "e", Service: "other", Sums: good},
	} {
		t.Run(name, func(t *testing.T) {
			b := enginespeed.New(start)
			b.SetPeer(start, "r1", []enginespeed.Report{{Target: "e", Service: "llm", Sums: enginespeed.Sums{Expected: 3000, Actual: 3000}}})
			b.SetPeer(start, "r2", []enginespeed.Report{r})
			if b.Ignored() != 1 {
				t.Errorf("%d values ignored, want 1", b.Ignored())
			}
			if f := b.Factor(start, "llm", "e"); f != 1 {
				t.Errorf("factor is %g, want 1", f)
			}
		})
	}
}

// TestBounds guards against reports that grow with the fleet or with the number of observations.
func TestBounds(t *testing.T) {
	b, now := enginespeed.New(start), start.Add(time.Minute)
	for i := range 200 {
		for range i%50 + 1 {
			b.Observe(now, "llm", fmt.Sprint("e", i), 100*ms, 100*ms)
		}
	}
	list := b.Take(now)
	if len(list) != 64 || list[0].Target != "e149" || list[0].Expected < list[63].Expected {
		t.Errorf("%d engines in a report, want the 64 that changed most, first %v", len(list), list[0])
	}
	again := b.Take(now.Add(500 * ms))
	for _, r := range again {
		for _, first := range list {
			if r.Target == first.Target {
				t.Errorf("%s reported again within a second", r.Target)
			}
		}
	}
	// An engine that took 4 times as long as it is allowed to count must not raise its factor at once.
	b.Observe(now, "llm", "e49", 100*ms, 100*time.Second)
	if f := b.Factor(now, "llm", "e49"); f > 1.1 {
		t.Errorf("factor after one outlier is %g, want about 1", f)
	}
}

// TestRate guards against reports that take up the routers' share of the network: all routers
// together must report no more than 250 engines a second, and a zone 60, however much has changed.
func TestRate(t *testing.T) {
	const routers, seconds = 24, 10
	own, zone, now := enginespeed.New(start), enginespeed.New(start), start
	reported, summed := 0, 0
	for i := range 10 * seconds {
		now = now.Add(100 * ms)
		list := make([]enginespeed.Report, 60)
		for j := range list {
			id := fmt.Sprint("e", j)
			own.Observe(now, "llm", id, 100*ms, 100*ms)
			list[j] = enginespeed.Report{Target: id, Service: "llm", Sums: enginespeed.Sums{Expected: float64(i + 1), Actual: 1}}
		}
		for r := range routers - 1 {
			own.SetPeer(now, fmt.Sprint("r", r), list[:1])
		}
		zone.SetPeer(now, "r", list)
		reported += len(own.Take(now))
		summed += len(zone.TakeTotals(now))
	}
	if got := reported * routers / seconds; got > 260 || got < 200 {
		t.Errorf("%d routers report %d engines a second, want about 250", routers, got)
	}
	if got := summed / seconds; got > 60 || got < 50 {
		t.Errorf("a zone reports %d engines a second, want about 60", got)
	}
}
