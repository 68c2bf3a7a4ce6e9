package balance_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
)

// Guards against requests that wait although all targets are known to be leaving, from their
// entries or from what they reported themselves.
func TestNoWaitForLeavingTargets(t *testing.T) {
	gomega.RegisterTestingT(t)
	cases := map[string]func(w *world){
		"by their entries": func(w *world) {
			list := targets(2)
			for i := range list {
				list[i].Leaving = true
			}
			w.SetTargets(w.now, list)
		},
		"by what they reported": func(w *world) {
			for range 2 {
				k := w.plain()
				if d := w.arrive(k); d == nil || d.Refused != "" {
					t.Fatal("no target")
				}
				w.RecordLeaving(w.now, k)
			}
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(2)
			leave(w)
			if d := w.arrive(w.plain()); d == nil || d.Refused != balance.NoTarget || d.RetryAfter <= 0 {
				t.Errorf("decision %+v, want an immediate refusal", d)
			}
		})
	}
}
