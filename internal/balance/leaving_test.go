package balance_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
)

// Requests waited for targets that all leave, by their entries or by what they said, though
// it was known that none could take them.
func TestRequestsWaitForTargetsThatLeave(t *testing.T) {
	gomega.RegisterTestingT(t)
	cases := map[string]func(w *world){
		"by their entries": func(w *world) {
			list := targets(2)
			for i := range list {
				list[i].Leaving = true
			}
			w.SetTargets(w.now, list)
		},
		"by what they said": func(w *world) {
			for range 2 {
				k := w.plain()
				if d := w.arrive(k); d == nil || d.Refused != "" {
					t.Fatal("no target")
				}
				w.Leaves(w.now, k)
			}
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(2)
			leave(w)
			if d := w.arrive(w.plain()); d == nil || d.Refused != balance.NoTarget || d.RetryAfter <= 0 {
				t.Errorf("decision %+v, want a refusal at once", d)
			}
		})
	}
}
