package balance

import (
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/feature"
)

// TestFailingEngineIsNotFast guards against an engine that answers with errors within milliseconds
// being taken for a fast one, which gets more and more requests and fails them all.
func TestFailingEngineIsNotFast(t *testing.T) {
	f := newSpeedFleet(t, 1, feature.On)
	for range 400 {
		f.arrive()
		u := f.waiting[len(f.waiting)-1]
		f.waiting = nil
		k := u.ticket
		select {
		case d := <-k.Decision:
			if d.Refused != "" {
				continue
			}
		default:
			continue
		}
		took := 150 * time.Millisecond
		if k.target.ID == "e1" {
			k.ServerError.Store(true)
			took = 5 * time.Millisecond
		}
		f.now = f.now.Add(took)
		u.router.Started(f.now, k)
		u.router.Ended(f.now, k, Answered)
	}
	for i, s := range f.routers {
		if got := s.speeds.Lookup(f.now, "llm", s.targets["e1"].incarnation); got < 0.9 {
			t.Fatalf("router %d: factor of the failing engine is %.2f, want about 1", i, got)
		}
	}
}
