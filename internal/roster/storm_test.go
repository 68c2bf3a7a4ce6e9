package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/quarantine"
)

// The simulated failure: all engines of an availability zone crash at the same time. Some of the
// requests that ran there had been sent to two of these engines, since a request that gets no
// response for a while is retried on another engine.
const (
	stormEngines = 20
	stormEach    = 30
	// stormTwice is the fraction of the requests that had been sent to two engines.
	stormTwice = 0.1
	// stormSight is the maximum time until a router notices that an engine has crashed: its
	// connection is reset when it sends something.
	stormSight = 300 * time.Millisecond
	// stormTime is the duration of the simulation after the crash.
	stormTime = 12 * time.Second
	// stormBytes bounds what a router sends about the crashes, in bytes per second, and
	// stormTaken the number of records that it receives per second. At about 10 microseconds
	// each, they take 0.2% of a core.
	stormBytes = 1000
	stormTaken = 200
)

// storm simulates the crash of all engines of a zone and returns the requests that ran there.
func (s *suspecting) storm() []quarantine.Key {
	var keys []quarantine.Key
	seen := map[int]map[*router]bool{}
	broke := func(engine int, r *router, k quarantine.Key) {
		if seen[engine] == nil {
			seen[engine] = map[*router]bool{}
		}
		seen[engine][r] = true
		s.after(time.Duration(s.random.Int64N(int64(stormSight))), func() {
			state := s.states[s.at[r]]
			name := fmt.Sprint("engine-", engine)
			state.Ended(s.time(), name)
			state.Broke(s.time(), k, "o", name, false)
			s.found(r)
		})
	}
	for engine := range stormEngines {
		for i := range stormEach {
			k := quarantine.KeyOf("o", "POST", fmt.Sprint(engine, i), nil)
			keys = append(keys, k)
			r := s.routers[s.random.IntN(len(s.routers))]
			broke(engine, r, k)
			if s.random.Float64() < stormTwice {
				broke((engine+1)%stormEngines, r, k)
			}
		}
	}
	return keys
}

// heldBack returns the number of requests that are held back, summed over all routers.
func (s *suspecting) heldBack(keys []quarantine.Key) int {
	n := 0
	for _, state := range s.states {
		v := state.View()
		for _, k := range keys {
			if v.Held(s.time(), k) > 0 {
				n++
			}
		}
	}
	return n
}

// TestStorm checks that the simultaneous crash of all engines of a zone puts no request under
// quarantine, and that the routers exchange little data because of it.
func TestStorm(t *testing.T) {
	cases := map[string]int{"8 routers": 8, "91": 91, "295": 295}
	for name, n := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(n, 9)
			f.launch(1, f.routers...)
			f.run(5 * time.Second)
			s := newSuspecting(f)
			keys := s.storm()
			held, seconds := 0, int(stormTime/time.Second)
			most := stormBytes * n * seconds
			// Stops early if far too much was sent already.
			for began := f.now; f.now-began < stormTime && s.bytes <= 2*most; {
				f.run(50 * time.Millisecond)
				held = max(held, s.heldBack(keys))
			}
			t.Logf("%d messages, %d bytes, %d records taken in", s.messages, s.bytes, s.taken)
			if held > 0 {
				t.Errorf("%d held back, over all routers", held)
			}
			if s.bytes > most {
				t.Errorf("%d bytes told, at most %d wanted", s.bytes, most)
			}
			if taken := s.taken / n / seconds; taken > stormTaken {
				t.Errorf("a router took in %d records a second, at most %d wanted", taken, stormTaken)
			}
		})
	}
}
