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
	crashedEngines    = 20
	requestsPerEngine = 30
	// sharedParts are the sizes of the sets from which the shared parts of each request's prompt are
	// drawn. Routers answer answeredPerSecond requests a second together while engines of other zones
	// serve.
	answeredPerSecond = 600
	answerTime        = 300 * time.Millisecond
	// retriedFraction is the fraction of the requests that had been sent to two engines.
	retriedFraction = 0.1
	// maxDetectionDelay is the maximum time until a router notices that an engine has crashed:
	// its connection is reset when it sends something.
	maxDetectionDelay = 300 * time.Millisecond
	// observationTime is the duration of the simulation after the crash.
	observationTime = 12 * time.Second
	// maxSentBytesPerSecond bounds what a router sends about the crashes, in bytes per second,
	// and maxReceivedPerSecond the number of records that it receives per second. At about 10
	// microseconds each, they take 0.2% of a core.
	maxSentBytesPerSecond = 1000
	maxReceivedPerSecond  = 200
)

var sharedPartSets = []int{4, 20, 335}

// drawParts returns the shared parts of a prompt.
func (s *quarantineFleet) drawParts() []quarantine.Attribute {
	var list []quarantine.Attribute
	for i, n := range sharedPartSets {
		list = append(list, quarantine.PartOf("s", fmt.Sprint(i, "-", s.random.IntN(n))))
	}
	return list
}

// answer simulates the good ends of requests during a time, and returns the keys of their parts.
func (s *quarantineFleet) answer(d time.Duration) (keys []quarantine.Key) {
	for range int(answeredPerSecond * d.Seconds()) {
		i := s.random.IntN(len(s.states))
		state := s.states[i]
		for _, a := range s.drawParts() {
			keys = append(keys, a.Key)
			state.RecordEnd(s.time(), []quarantine.Credit{a.Credit})
			if v := state.View(); v.Crashes(a.Key) > 0 {
				state.ClearBefore(a.Key, s.time().Add(-answerTime))
				s.sendFound(s.routers[i])
			}
		}
	}
	return keys
}

// crashZone simulates the crash of all engines of a zone and returns the requests that ran
// there.
func (s *quarantineFleet) crashZone() []quarantine.Key {
	var keys []quarantine.Key
	seen := map[int]map[*router]bool{}
	breakAnswer := func(engine int, r *router, k quarantine.Key, parts []quarantine.Attribute) {
		if seen[engine] == nil {
			seen[engine] = map[*router]bool{}
		}
		seen[engine][r] = true
		s.after(time.Duration(s.random.Int64N(int64(maxDetectionDelay))), func() {
			state := s.states[s.index[r]]
			name := fmt.Sprint("engine-", engine)
			state.RecordExit(s.time(), name)
			state.RecordBreak(s.time(), k, "o", name, false)
			for _, a := range parts {
				state.RecordAttributeBreak(s.time(), a, "o", name, false)
			}
			s.sendFound(r)
		})
	}
	for engine := range crashedEngines {
		for i := range requestsPerEngine {
			k := quarantine.KeyOf("o", "POST", fmt.Sprint(engine, i), nil)
			keys = append(keys, k)
			r := s.routers[s.random.IntN(len(s.routers))]
			var parts []quarantine.Attribute
			if i%4 == 0 {
				// Its answer had just begun.
				parts = s.drawParts()
			}
			breakAnswer(engine, r, k, parts)
			if s.random.Float64() < retriedFraction {
				breakAnswer((engine+1)%crashedEngines, r, k, parts)
			}
		}
	}
	return keys
}

// heldBack returns the number of requests that are held back, summed over all routers.
func (s *quarantineFleet) heldBack(keys []quarantine.Key) int {
	n := 0
	for _, state := range s.states {
		v := state.View()
		for _, k := range keys {
			if v.RejectedFor(s.time(), k) > 0 {
				n++
			}
		}
	}
	return n
}

// TestZoneCrash checks that the simultaneous crash of all engines of a zone puts no request
// under quarantine, and that the routers exchange little data because of it.
func TestZoneCrash(t *testing.T) {
	cases := map[string]int{"8 routers": 8, "91": 91, "295": 295}
	for name, n := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(n, 9)
			f.launch(1, f.routers...)
			f.run(5 * time.Second)
			s := newQuarantineFleet(f)
			keys := s.answer(time.Second)
			keys = append(keys, s.crashZone()...)
			held, seconds := 0, int(observationTime/time.Second)
			maxSentBytes := maxSentBytesPerSecond * n * seconds
			// Stops early if far too much was sent already.
			for began := f.now; f.now-began < observationTime && s.bytes <= 2*maxSentBytes; {
				f.run(50 * time.Millisecond)
				s.answer(50 * time.Millisecond)
				held = max(held, s.heldBack(keys))
			}
			t.Logf("%d messages, %d bytes, %d records received", s.messages, s.bytes, s.received)
			if held > 0 {
				t.Errorf("%d requests held back, summed over all routers", held)
			}
			if s.bytes > maxSentBytes {
				t.Errorf("%d bytes sent, want at most %d", s.bytes, maxSentBytes)
			}
			if receivedPerSecond := s.received / n / seconds; receivedPerSecond > maxReceivedPerSecond {
				t.Errorf("a router received %d records per second, want at most %d", receivedPerSecond, maxReceivedPerSecond)
			}
		})
	}
}
