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
