package roster_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// quiet is the time without faults after which every roster must know exactly the running
// routers, as it would if each router sent its state to all others. It suffices to detect a
// death, to rejoin after a partition and to request missed records.
const quiet = 12 * time.Second

// TestAgreesWithAllToAll checks that all rosters converge after random deaths, restarts with
// clocks that jump, network partitions and lost messages.
func TestAgreesWithAllToAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 24).Draw(t, "routers"), rapid.Uint64().Draw(t, "seed"))
		f.launch(1000, f.routers...)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {},
			"time passes": func(t *rapid.T) {
				f.run(time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"one dies": func(t *rapid.T) {
				f.stop(rapid.SampledFrom(f.routers).Draw(t, "router"))
			},
			"one restarts": func(t *rapid.T) {
				r := rapid.SampledFrom(f.routers).Draw(t, "router")
				f.stop(r)
				f.launch(uint64(rapid.IntRange(1, 2000).Draw(t, "clock")), r)
			},
			"messages are lost": func(t *rapid.T) {
				f.loss = rapid.Float64Range(0, 0.3).Draw(t, "part")
			},
			"some are cut off": func(t *rapid.T) {
				some := map[*router]bool{}
				for _, r := range f.routers {
					some[r] = rapid.Bool().Draw(t, "cut")
				}
				oneWay := rapid.Bool().Draw(t, "one way")
				f.cut = func(from, to *router) bool { return some[from] != some[to] && (!oneWay || some[from]) }
			},
		})
		f.loss = 0
		f.cut = func(*router, *router) bool { return false }
		f.launch(3000, f.routers[0])
		f.run(quiet)
		if n := f.disagreements(); n > 0 {
			t.Fatalf("%d disagreements about which routers run", n)
		}
	})
}
