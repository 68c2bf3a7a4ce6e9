package changes

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

// CutFactor is how many times as frequent cuts must be near a change for the change to count as their cause.
const CutFactor = 3

// maxRouters bounds the number of routers that a report names.
const maxRouters = 20

// Period holds how the requests of a period ended.
type Period struct {
	Requests int                   `json:"requests"`
	Ends     map[lifecycle.End]int `json:"ends"`
}

func newPeriod() Period { return Period{Ends: map[lifecycle.End]int{}} }

func (p *Period) add(e lifecycle.End) {
	p.Requests++
	p.Ends[e]++
}

// Periods holds how requests ended near the selected changes, near others, and far from all changes.
type Periods struct {
	Near       Period `json:"near"`
	NearOthers Period `json:"near_others"`
	Apart      Period `json:"apart"`
}

func newPeriods() *Periods { return &Periods{newPeriod(), newPeriod(), newPeriod()} }

// base returns what the ends near the change are compared with: those far from all changes, or if there are none those
// near other changes.
func (p Periods) base() (Period, string) {
	if p.Apart.Requests > 0 {
		return p.Apart, "far from all changes"
	}
	return p.NearOthers, "near other changes"
}

// moreFrequent reports whether cuts are over CutFactor times as frequent near the change. It is false if there is
// nothing to compare with.
func (p Periods) moreFrequent() bool {
	base, _ := p.base()
	near := p.Near.Ends[lifecycle.Cut]
	return near > 0 && base.Requests > 0 && near*base.Requests > CutFactor*base.Ends[lifecycle.Cut]*p.Near.Requests
}

// few reports whether the requests to compare with are so few that less than one cut would be expected among them if
// cuts were CutFactor times as frequent near the change.
func (p Periods) few() bool {
	base, _ := p.base()
	return base.Requests*p.Near.Ends[lifecycle.Cut] < CutFactor*p.Near.Requests
}

// verdict says whether cuts are more frequent near the change.
func (p Periods) verdict() string {
	base, where := p.base()
	near, other := p.Near.Ends[lifecycle.Cut], base.Ends[lifecycle.Cut]
	numbers := fmt.Sprintf("%d of %d requests near the change, %d of %d %s", near, p.Near.Requests, other, base.Requests, where)
	if near > 0 && p.few() {
		numbers += " (too few to tell)"
	}
	switch {
	case near == 0:
		return "no line has a cut near the change: " + numbers
	case base.Requests == 0:
		return fmt.Sprintf("cuts cannot be compared, as all requests ended near the change: %d of %d", near, p.Near.Requests)
	case other == 0:
		return fmt.Sprintf("cuts are over %d times as frequent near the change, as there are no others: %s", CutFactor, numbers)
	}
	factor := float64(near) * float64(base.Requests) / (float64(other) * float64(p.Near.Requests))
	if p.moreFrequent() {
		return fmt.Sprintf("cuts are over %d times as frequent near the change, %.1f times: %s", CutFactor, factor, numbers)
	}
	return fmt.Sprintf("cuts are not over %d times as frequent near the change, but %.1f times: %s", CutFactor, factor, numbers)
}

// RouterCuts is how requests ended at a router that has cut some near the change.
type RouterCuts struct {
	Router       string `json:"router"`
	MoreFrequent bool   `json:"more_frequent"`
	Periods
}

// Comparison compares how requests ended near the selected changes with how they ended otherwise.
type Comparison struct {
	Periods
	MoreFrequent bool   `json:"more_frequent"`
	Verdict      string `json:"verdict"`
	// Routers are those that have cut requests near the change, most cuts first; RoutersLeftOut is the number of others.
	Routers        []RouterCuts `json:"routers"`
	RoutersLeftOut int          `json:"routers_left_out"`
}

func newComparison(total *Periods, byRouter map[string]*Periods) Comparison {
	out := Comparison{Periods: *total, MoreFrequent: total.moreFrequent(), Verdict: total.verdict(), Routers: []RouterCuts{}}
	for _, name := range slices.Sorted(maps.Keys(byRouter)) {
		if p := byRouter[name]; p.Near.Ends[lifecycle.Cut] > 0 {
			out.Routers = append(out.Routers, RouterCuts{name, p.moreFrequent(), *p})
		}
	}
	slices.SortStableFunc(out.Routers, func(a, b RouterCuts) int {
		return cmp.Compare(b.Near.Ends[lifecycle.Cut], a.Near.Ends[lifecycle.Cut])
	})
	if n := len(out.Routers); n > maxRouters {
		out.Routers, out.RoutersLeftOut = out.Routers[:maxRouters], n-maxRouters
	}
	return out
}

func (c Comparison) text() []string {
	kinds := map[lifecycle.End]bool{}
	for _, p := range []Period{c.Near, c.NearOthers, c.Apart} {
		for e := range p.Ends {
			kinds[e] = true
		}
	}
	out := []string{fmt.Sprintf("%-14s %20s %20s %20s", "ended", "near the change", "near other changes", "far from all")}
	cell := func(p Period, n int) string {
		return fmt.Sprintf("%d (%.3f%%)", n, 100*float64(n)/float64(max(p.Requests, 1)))
	}
	for _, e := range slices.Sorted(maps.Keys(kinds)) {
		out = append(out, fmt.Sprintf("%-14s %20s %20s %20s", e, cell(c.Near, c.Near.Ends[e]), cell(c.NearOthers, c.NearOthers.Ends[e]), cell(c.Apart, c.Apart.Ends[e])))
	}
	out = append(out, fmt.Sprintf("%-14s %20d %20d %20d", "all", c.Near.Requests, c.NearOthers.Requests, c.Apart.Requests), c.Verdict)
	for _, r := range c.Routers {
		out = append(out, fmt.Sprintf("  %s: %s", r.Router, r.verdict()))
	}
	if c.RoutersLeftOut > 0 {
		out = append(out, fmt.Sprintf("  %d other routers cut requests, too", c.RoutersLeftOut))
	}
	return out
}
