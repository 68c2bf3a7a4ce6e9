package balance_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/feature"
	"github.com/stepcroft/stepcroft/internal/view"
)

// BenchmarkFlood measures the work of the control goroutine for a request of an organisation
// that floods a router of a large fleet, and for its refusal.
func BenchmarkFlood(b *testing.B) {
	planned := feature.Set{WaitForecasts: feature.On, ReturnSlots: feature.On}
	for name, features := range map[string]feature.Set{"6 routers": {}, "58 routers": {}, "58 routers, forecasts and return slots": planned} {
		b.Run(name, func(b *testing.B) {
			RegisterTestingT(b)
			w := newWorld(60)
			w.SetFeatures(features)
			routers := 58
			if strings.HasPrefix(name, "6 ") {
				routers = 6
			}
			report := func() {
				for router := range routers {
					r := view.Report{Loads: map[string]view.Load{}, Usage: map[string]view.Usage{}}
					for i := range 60 {
						r.Loads[fmt.Sprint("e", i)] = view.Load{PendingTokens: 200, Running: 1}
					}
					for i := range 30 {
						r.Usage[fmt.Sprint("o", i)] = view.Usage{Demand: 1000, Started: 1000}
					}
					w.ApplyReport(w.now, fmt.Sprint("r", router), r)
				}
			}
			report()
			b.ResetTimer()
			for i := range b.N {
				t := w.prompt("o1", fmt.Sprint("s", i%260), 3000)
				w.Arrive(w.now, t)
				w.now = w.now.Add(time.Millisecond)
				if i%20 == 0 {
					w.Tick(w.now)
				}
				if i%600 == 0 {
					report()
				}
			}
		})
	}
}
