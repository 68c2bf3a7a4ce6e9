package forward_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/group"
)

// beganCaller tells when it gets the first bytes of an answer.
type beganCaller struct {
	discard
	once  sync.Once
	began chan struct{}
}

func (c *beganCaller) Write([]byte) error {
	c.once.Do(func() { close(c.began) })
	return nil
}

// TestRunIsNotOfCorrectedVersion guards against lines that name a version for a run of a stream that this router no
// longer takes it to be of, so that a stream of one version looks like one of two.
func TestRunIsNotOfCorrectedVersion(t *testing.T) {
	for name, c := range map[string]struct {
		// ended is set if the first target's process is known to have ended before the stream begins there, and replaced
		// if the entry of the next one is read while the stream runs.
		ended, replaced bool
		end             func(*http.Request)
		runs            int
		version         string
		// want has parts of the line of the join, if there is one.
		want []string
	}{
		"process of the entry":                    {end: complete, runs: 1, version: "v1"},
		"unknown process":                         {ended: true, end: complete, runs: 1},
		"next process":                            {ended: true, replaced: true, end: complete, runs: 1, version: "v2"},
		"next process, goes on elsewhere":         {ended: true, replaced: true, end: breaks, runs: 2, version: "v2", want: []string{`"from_version"="v2"`, `"to_version"="v2"`}},
		"process of the entry, goes on elsewhere": {end: breaks, runs: 2, version: "v1", want: []string{`"from_version"="v1"`, `"to_version"="v1"`}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			goOn := make(chan struct{})
			var sends atomic.Int64
			next := func(w http.ResponseWriter, r *http.Request) {
				if sends.Add(1) > 1 {
					streamTo(8, complete)(w, r)
					return
				}
				streamTo(5, func(r *http.Request) {
					<-goOn
					c.end(r)
				})(w, r)
			}
			f := newBufferedForwarder(t, 1<<20, next, next)
			first, other := f.targets[0], f.targets[1]
			first.Version, other.Version = "v1", "v1"
			if c.replaced {
				other.Version = "v2"
			}
			f.setTargets(t, first)
			if c.ended && !f.loop.PostAndWait(t.Context(), func(s *balance.State, now time.Time) { s.RecordExit(now, first, time.Time{}) }) {
				t.Fatal("the end was not recorded")
			}
			caller := &beganCaller{began: make(chan struct{})}
			g := group.New(t.Context())
			defer g.Stop()
			g.Go(func() {
				defer close(goOn)
				<-caller.began
				if c.replaced {
					first.Version, first.Born = "v2", 2
				}
				f.setTargets(t, first, other)
			})
			result := f.stream(t.Context(), 10*time.Second, caller)
			if result.Runs != c.runs || result.Truncated || result.RunTarget.Version != c.version {
				t.Errorf("%d runs, the last one of version %q; %+v", result.Runs, result.RunTarget.Version, result)
			}
			if c.want != nil && !f.logged.has(append(c.want, "stream goes on")...) {
				t.Errorf("no line has %q: %q", c.want, f.logged.lines)
			}
		})
	}
}
