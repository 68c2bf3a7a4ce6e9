package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/view"
)

// newManyWaiting returns a state with 1,000 organisations, each with 24 requests that were refused
// early and others that wait at another router, and a request of one that is over its share.
func newManyWaiting(tb testing.TB) (*State, time.Time, *Ticket) {
	tb.Helper()
	s, now, ticket := newFullState(tb, forecastsOn)
	usage := map[string]view.Usage{}
	for i := range 1000 {
		name := fmt.Sprint("o", i)
		usage[name] = view.Usage{Demand: 1000, Started: 100, Waiting: 24}
		s.shares.AddDemand(now, name, 1000)
		for range maxWaitingPerOrganisation {
			s.forecasts.refused.Add(name, now.Add(time.Hour), maxWaitingPerOrganisation)
		}
	}
	s.ApplyReport(now, "r", view.Report{Usage: usage})
	s.shares.AddDemand(now, "large", 1e6)
	s.shares.AddServed(now, "large", 1e6)
	return s, now, ticket("large", time.Second)
}

// BenchmarkMustQueue measures whether a request must let others go first, beside many waiting.
func BenchmarkMustQueue(b *testing.B) {
	s, now, t := newManyWaiting(b)
	b.ResetTimer()
	for range b.N {
		now = now.Add(100 * time.Microsecond)
		s.mustQueue(now, t)
	}
}

// Guards against a cost per request of an organisation over its share that grows with the number of
// organisations, and against a request that overtakes one queued since the lead was computed.
func TestMaxLeadIsReused(t *testing.T) {
	s, now, k := newManyWaiting(t)
	s.mustQueue(now, k)
	if n := testing.AllocsPerRun(100, func() { s.mustQueue(now, k) }); n > 2 {
		t.Errorf("%.0f allocations for a request, want what was computed before", n)
	}
	s, now, ticket := newFullState(t, forecastsOn)
	s.shares.AddDemand(now, "large", 1e6)
	s.shares.AddServed(now, "large", 1e6)
	before := s.mustQueue(now, ticket("large", time.Second))
	s.Arrive(now, ticket("small", time.Second))
	if after := s.mustQueue(now, ticket("large", time.Second)); before || !after {
		t.Errorf("must queue %v, want false; with a request that waits %v, want true", before, after)
	}
}
