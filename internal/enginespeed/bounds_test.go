package enginespeed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/enginespeed"
)

// TestBadFirstObservation guards against an engine that looks slow until its sums expire because
// the first request of the service waited behind others.
func TestBadFirstObservation(t *testing.T) {
	b, now := enginespeed.New(start), start
	b.Observe(now, "llm", "e0", 100*ms, 20*time.Second)
	highest := 0.0
	for range 50 {
		now = now.Add(100 * ms)
		for i := range 6 {
			b.Observe(now, "llm", fmt.Sprint("e", i), 100*ms, 100*ms)
		}
		highest = max(highest, b.Factor(now, "llm", "e0"))
	}
	if highest > 1.3 {
		t.Errorf("factor of e0 rises to %.2f, want less than 1.3", highest)
	}
}

// TestFaultyReport guards against a valid report about one engine that changes how all engines of
// its service look.
func TestFaultyReport(t *testing.T) {
	for name, bad := range map[string]enginespeed.Sums{
		"slow":        {Expected: 1e4, Actual: 1e5},
		"much slower": {Expected: 300, Actual: 3e5},
		"fast":        {Expected: 1e4, Actual: 10},
		"large":       {Expected: 1e4, Actual: 1e7},
	} {
		t.Run(name, func(t *testing.T) {
			b := enginespeed.New(start)
			report := func(router, target string, s enginespeed.Sums) {
				b.SetPeer(start, router, []enginespeed.Report{{Target: target, Service: "llm", Sums: s}})
			}
			for i := range 60 {
				report("r1", fmt.Sprint("e", i), enginespeed.Sums{Expected: 4000, Actual: 4000})
			}
			report("r2", "e0", bad)
			if f := b.Factor(start, "llm", "e1"); f < 0.85 || f > 1.15 {
				t.Errorf("factor of a healthy engine is %.2f, want about 1", f)
			}
		})
	}
}

// TestLargeTotals guards against totals of a zone that its receivers would ignore as too large.
func TestLargeTotals(t *testing.T) {
	zone, other := enginespeed.New(start), enginespeed.New(start)
	for i := range 3 {
		zone.SetPeer(start, fmt.Sprint("r", i), []enginespeed.Report{{Target: "e", Service: "llm", Sums: enginespeed.Sums{Expected: 1e5, Actual: 2e5}}})
	}
	now := start.Add(time.Second)
	other.SetPeer(now, "zone z", zone.TakeTotals(now))
	if s := other.Summaries(now)["llm"]; s.Engines != 1 || other.Ignored() != 0 {
		t.Errorf("the total of three routers was ignored: %+v", s)
	}
}

// TestRateAfterStart guards against routers that have not heard from one another yet, each of which
// reports as much as all together may: 157 routers sent 250 KB in the first second.
func TestRateAfterStart(t *testing.T) {
	const routers = 157
	b, now, sent := enginespeed.New(start), start.Add(time.Minute), 0
	b.SetReceivers(routers - 1)
	for range 10 {
		for j := range 60 {
			b.Observe(now, "llm", fmt.Sprint("e", j), 100*ms, 100*ms)
		}
		sent += len(b.Take(now))
		now = now.Add(100 * ms)
	}
	// A report of two seconds' worth, and the rest of the second.
	if all := sent * routers; all < 250 || all > 3*250 {
		t.Errorf("%d routers report %d engines in the first second, want 250 to 750", routers, all)
	}
}

// TestNothingAfterExpiry guards against reports of expired sums, which receivers count as invalid,
// when peers still observe the engine.
func TestNothingAfterExpiry(t *testing.T) {
	b, now := enginespeed.New(start), start
	b.Observe(now, "llm", "e", 100*ms, 100*ms)
	b.Take(now.Add(time.Second))
	for range 40 {
		now = now.Add(time.Second)
		b.SetPeer(now, "r", []enginespeed.Report{{Target: "e", Service: "llm", Sums: enginespeed.Sums{Expected: 100, Actual: 100}}})
		if list := b.Take(now.Add(time.Millisecond)); now.Sub(start) > time.Second && len(list) > 0 {
			t.Fatalf("reported after %v: %v", now.Sub(start), list)
		}
	}
}

// TestSlowNotPreferred guards against reports that favour slow observations. Receivers that are told
// of some engines only would then take all for slower than they are.
func TestSlowNotPreferred(t *testing.T) {
	b, now := enginespeed.New(start), start.Add(time.Minute)
	for i := range 200 {
		expected := 100*ms + time.Duration(i%2)*ms
		b.Observe(now, "llm", fmt.Sprint("e", i), expected, time.Duration(2-i%2)*expected)
	}
	var sum enginespeed.Sums
	for _, r := range b.Take(now) {
		sum = sum.Plus(r.Sums)
	}
	if sum.Actual > 1.1*sum.Expected {
		t.Errorf("engines of the longest expected time were reported after slow ones: %v", sum)
	}
}

// TestLookup guards against factors that outlive their sums where nothing searches for those.
func TestLookup(t *testing.T) {
	b, now := enginespeed.New(start), start
	for i := range 40 {
		b.Observe(now, "llm", fmt.Sprint("e", i%2), 100*ms, time.Duration(70+i%2*100)*ms)
	}
	if f := b.Lookup(now.Add(29*time.Second), "llm", "e1"); f < 1.05 {
		t.Errorf("factor after 29 s is %g, want more than 1.05", f)
	}
	if f := b.Lookup(now.Add(30*time.Second), "llm", "e1"); f != 1 {
		t.Errorf("factor after 30 s is %g, want 1", f)
	}
}

// TestOwnNotIgnored guards against own observations in the count that tells operators of faulty
// reports.
func TestOwnNotIgnored(t *testing.T) {
	b := enginespeed.New(start)
	b.Observe(start, "llm", "e", 100*ms, 100*ms)
	b.Observe(start, "llm", "e", 0, 100*ms)
	b.Observe(start, "llm", "e", ms, time.Hour)
	b.Observe(start, "other", "e", 100*ms, 100*ms)
	if b.Ignored() != 0 {
		t.Errorf("%d own observations count as ignored", b.Ignored())
	}
}

// TestTotalAfterRemoval guards against a zone's sum that goes on to include a router that is gone.
func TestTotalAfterRemoval(t *testing.T) {
	b, now := enginespeed.New(start), start.Add(time.Second)
	for _, router := range []string{"r1", "r2"} {
		b.SetPeer(now, router, []enginespeed.Report{{Target: "e", Service: "llm", Sums: enginespeed.Sums{Expected: 1000, Actual: 1000}}})
	}
	b.TakeTotals(now)
	b.RemovePeer("r2")
	if list := b.TakeTotals(now.Add(time.Second)); len(list) != 1 || list[0].Expected > 1000 {
		t.Errorf("totals after a removal are %v, want those of the other router", list)
	}
}

// TestLateReportOfAnotherService guards against an engine that counts for the service that its entry named before, since a
// router that has not read its entry reports it, and not for its own.
func TestLateReportOfAnotherService(t *testing.T) {
	now := start
	late, b := enginespeed.New(now), enginespeed.New(now)
	for range 20 {
		late.Observe(now, "before", "moves", 100*ms, 70*ms)
		b.Observe(now, "after", "other", 100*ms, 100*ms)
	}
	b.SetPeer(now, "late", late.Take(now.Add(time.Second)))
	for range 20 {
		b.Observe(now, "after", "moves", 100*ms, 200*ms)
	}
	if got := b.Lookup(now, "after", "moves"); got < 1.2 {
		t.Errorf("factor %.2f, want over 1.2", got)
	}
	if all := b.Summaries(now); all["before"].Engines != 0 {
		t.Errorf("engines of the service before: %+v", all)
	}
}
