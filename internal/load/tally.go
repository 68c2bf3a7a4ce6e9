package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/ledger"
	"github.com/stepcroft/stepcroft/internal/report"
	"github.com/stepcroft/stepcroft/internal/request"
	"github.com/stepcroft/stepcroft/internal/scenario"
)

// measured is what the ledger tells at the end of a run.
type measured struct {
	gap        ledger.Gap
	series     []float64
	busy, idle float64
	// doubled and notRunButRan are counted after the last request has ended.
	doubled, notRunButRan int
	service               map[string]float64
}

func measure(l *ledger.Ledger) measured {
	m := measured{service: l.ServedCost()}
	m.gap, m.series = l.Gaps()
	m.busy, m.idle = l.Utilisation()
	return m
}

// count counts broken promises.
func (m *measured) count(l *ledger.Ledger) {
	m.doubled, m.notRunButRan = l.RunTwice(), l.NotRunButRan()
}

// tally counts what callers got.
type tally struct {
	completed, late, lost, wrong, unfinished int
	organisations                            map[string]*organisationTally
	order                                    []string
	first, between                           *hdrhistogram.Histogram
}

type organisationTally struct {
	weight    float64
	completed int
	refused   map[request.Reason]int
	first     *hdrhistogram.Histogram
}

func newTally(s *scenario.Scenario) *tally {
	t := &tally{organisations: map[string]*organisationTally{}, first: report.NewHistogram(), between: report.NewHistogram()}
	for _, o := range s.Organisations {
		t.order = append(t.order, o.Name)
		t.organisations[o.Name] = &organisationTally{
			weight: o.EffectiveWeight(), refused: map[request.Reason]int{}, first: report.NewHistogram(),
		}
	}
	return t
}

// add books one answer.
func (t *tally) add(a scenario.Arrival, r result) {
	o := t.organisations[a.Organisation]
	switch {
	case r.unfinished:
		t.unfinished++
	case !ended(r.outcome):
		t.lost++
	case r.outcome == request.NotRun:
		o.refused[r.reason]++
	case r.outcome == request.Unknown || r.broken:
		o.refused[r.reason]++
	case r.content != expected(a):
		t.wrong++
	default:
		t.complete(o, a, r)
	}
}

func (t *tally) complete(o *organisationTally, a scenario.Arrival, r result) {
	t.completed++
	o.completed++
	if r.took > a.Deadline {
		t.late++
	}
	if r.firstToken > 0 {
		_ = t.first.RecordValue(r.firstToken.Microseconds())
		_ = o.first.RecordValue(r.firstToken.Microseconds())
	}
	for _, d := range r.between {
		_ = t.between.RecordValue(d.Microseconds())
	}
}

func (t *tally) refusals() int {
	n := 0
	for _, o := range t.organisations {
		for _, k := range o.refused {
			n += k
		}
	}
	return n
}

func (t *tally) result(policy string, m measured, all traffic, took time.Duration) report.PolicyResult {
	perRouter := took.Seconds() * float64(len(all.routers))
	c := all.sum()
	p := report.PolicyResult{
		Policy: policy, Gap: m.gap.Size, GapBetween: m.gap, GapSeries: m.series, Utilisation: m.busy, IdleWhileWaiting: m.idle,
		ControlBytesPerRouterSecond:    float64(c.bytes) / perRouter,
		ControlMessagesPerRouterSecond: float64(c.messages) / perRouter,
		StoreCallsPerSecond:            float64(all.calls) / took.Seconds(),
		RemoteFraction:                 part(c.granted-c.declined, c.granted-c.declined+c.local),
		DeclinedFraction:               part(c.declined, c.granted),
		SubstitutedFraction:            part(c.substituted, c.granted),
		Completed:                      t.completed, Late: t.late, Lost: t.lost, Doubled: m.doubled,
		Wrong: t.wrong, NotRunButRan: m.notRunButRan, Violations: invariant.Total(), Unfinished: t.unfinished,
		FirstTokenMS: report.NewQuantiles(t.first), BetweenTokensMS: report.NewQuantiles(t.between),
		Refused: map[request.Reason]int{}, Seconds: took.Seconds(), Routers: all.results(took),
	}
	for _, name := range t.order {
		o := t.organisations[name]
		for reason, n := range o.refused {
			p.Refused[reason] += n
		}
		p.Organisations = append(p.Organisations, report.OrganisationResult{
			Organisation: name, Weight: o.weight, Completed: o.completed, Served: m.service[name],
			Refused: o.refused, FirstTokenMS: report.NewQuantiles(o.first),
		})
	}
	return p
}

func part(n, of int64) float64 {
	if of <= 0 {
		return 0
	}
	return float64(n) / float64(of)
}
