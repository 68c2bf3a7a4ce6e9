package balance_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
)

// TestBeginningIsToldOnce guards against streams that need a record and whose beginning nobody is told, or which are told
// twice.
func TestBeginningIsToldOnce(t *testing.T) {
	v1, v2 := versioned("a", "v1"), versioned("b", "v2")
	for name, c := range map[string]struct {
		before, after []balance.Target
		takesUp       bool
		// began and mixed are the beginnings told as the stream begins, and once the list has changed.
		began, mixed string
	}{
		"one version":              {before: []balance.Target{v1}, after: []balance.Target{v1}},
		"two versions":             {before: []balance.Target{v1, v2}, after: []balance.Target{v1}, began: "s"},
		"another one comes":        {before: []balance.Target{v1}, after: []balance.Target{v1, v2}, mixed: "s"},
		"taken up, two versions":   {before: []balance.Target{v1, v2}, after: []balance.Target{v1}, takesUp: true},
		"taken up, another comes":  {before: []balance.Target{v1}, after: []balance.Target{v1, v2}, takesUp: true},
		"another one, as it began": {before: []balance.Target{v1, v2}, after: []balance.Target{v1, versioned("c", "v3")}, began: "s"},
	} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newWorld(0)
			var told []string
			note := func(b balance.Stream) {
				if b.Begins {
					told = append(told, b.ID)
				}
			}
			w.OnStreamBegun(func(_ time.Time, b balance.Stream, _ bool) { note(b) })
			w.SetTargets(w.now, c.before)
			w.TakeNewlyMixed(w.now)
			k := w.prompt("o", "p", 10)
			k.Stream, k.StreamID, k.Continues = true, "s", c.takesUp
			if w.arrive(k) == nil {
				t.Fatal("not sent")
			}
			w.Started(w.now, k)
			if got := strings.Join(told, " "); got != c.began {
				t.Errorf("told %q as it begins, want %q", got, c.began)
			}
			told = nil
			w.SetTargets(w.now, c.after)
			for range 2 {
				for _, b := range w.TakeNewlyMixed(w.now) {
					note(b)
				}
				w.RoutesChanged()
			}
			if got := strings.Join(told, " "); got != c.mixed {
				t.Errorf("told %q afterwards, want %q", got, c.mixed)
			}
		})
	}
}
