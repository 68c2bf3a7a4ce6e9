package fairshare_test

import (
	"math"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/fairshare"
	"github.com/stepcroft/stepcroft/internal/view"
)

// organisation is the usage of one at this router, and as another one reports it.
type organisation struct {
	demand, served                  float64
	reportedDemand, reportedStarted float64
}

func TestLevel(t *testing.T) {
	const window = 4 * time.Second
	cases := map[string]struct {
		// capacity is what engines can serve in half the window.
		capacity      float64
		organisations map[string]organisation
		// tokens and attained are infinite if all demands fit.
		tokens, attained, mostServed float64
	}{
		"nothing asked":        {1000, nil, math.Inf(1), math.Inf(1), 0},
		"all fit":              {1000, map[string]organisation{"a": {300, 300, 0, 0}, "b": {500, 500, 0, 0}}, math.Inf(1), math.Inf(1), 500},
		"large one is cut":     {1000, map[string]organisation{"a": {300, 300, 0, 0}, "b": {900, 700, 0, 0}}, 700, 700, 700},
		"cut alike":            {1000, map[string]organisation{"a": {900, 800, 0, 0}, "b": {900, 200, 0, 0}, "c": {100, 0, 0, 0}}, 450, 450, 800},
		"engines are slow":     {1000, map[string]organisation{"a": {900, 300, 0, 0}, "b": {900, 100, 0, 0}}, 500, 200, 300},
		"others are added":     {1000, map[string]organisation{"a": {100, 100, 500, 300}, "b": {600, 600, 0, 0}}, 500, 500, 600},
		"only others know one": {1000, map[string]organisation{"a": {0, 0, 900, 400}, "b": {900, 600, 0, 0}}, 500, 500, 600},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			peers := view.New(now, window)
			b := fairshare.New(window, peers)
			b.SetCapacity(c.capacity / (window.Seconds() / 2))
			reported := map[string]view.Usage{}
			for name, o := range c.organisations {
				if o.demand > 0 {
					b.AddDemand(now, name, o.demand)
					b.AddServed(now, name, o.served)
				}
				if o.reportedDemand > 0 {
					reported[name] = view.Usage{Demand: o.reportedDemand, Started: o.reportedStarted}
				}
			}
			peers.UpdateReport(now, "r", view.Report{Usage: reported})
			got := b.Level(now)
			if got.Tokens != c.tokens || got.Attained != c.attained || got.MostServed != c.mostServed {
				t.Errorf("level %+v, want %.0f, attained %.0f, most served %.0f", got, c.tokens, c.attained, c.mostServed)
			}
		})
	}
}

func TestUsageDecays(t *testing.T) {
	const window = 4 * time.Second
	now := time.Unix(1000, 0)
	b := fairshare.New(window, view.New(now, window))
	b.AddDemand(now, "o", 1000)
	b.AddServed(now, "o", 600)
	b.AddServed(now, "o", -200)
	u := b.Usage(now.Add(window/2), "o")
	if want := 1000 / math.E; math.Abs(u.Demand-want) > 1e-9 || math.Abs(u.Served-want*0.4) > 1e-9 || math.Abs(u.Requests-1/math.E) > 1e-9 {
		t.Errorf("usage %+v, want a demand of %.1f, %.1f served and %.2f requests", u, want, want*0.4, 1/math.E)
	}
	b.Forget("o")
	if u := b.Usage(now.Add(window/2), "o"); u.Demand != 0 || u.Served != 0 {
		t.Errorf("usage %+v after it was forgotten", u)
	}
}
