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

// measurements holds what is computed from the ledger at the end of a run.
type measurements struct {
	// gap is the largest fairness gap, and series the gap over time.
	gap    ledger.Gap
	series []float64
	// busy is the fraction of slot time that was used, and idle the fraction that was not used
	// although requests waited.
	busy, idle float64
	// doubled counts the requests that ran more than once although they must not be repeated,
	// and notRunButRan those that ran although callers were told that they did not. Both are
	// counted after the last request has ended.
	doubled, notRunButRan int
	// servedCost is the cost served for each organisation.
	servedCost map[string]float64
}

// measure reads the ledger when the load ends, before unfinished requests are cancelled.
func measure(l *ledger.Ledger) measurements {
	m := measurements{servedCost: l.ServedCost()}
	m.gap, m.series = l.Gaps()
	m.busy, m.idle = l.Utilisation()
	return m
}

// addFinalCounts adds the counts that are final only after all requests have ended.
func (m *measurements) addFinalCounts(l *ledger.Ledger) {
	m.doubled, m.notRunButRan = l.RunTwice(), l.NotRunButRan()
}

// tally counts the results of requests, as their callers saw them.
type tally struct {
	// completed counts correct answers, late those of them after the deadline, lost requests
	// without a known outcome, wrong answers with wrong content, and unfinished requests that
	// were cut off by their timeout or by the end of the run.
	completed, late, lost, wrong, unfinished int
	organisations                            map[string]*organisationTally
	// order holds the organisations' names in the order of the scenario.
	order []string
	// firstToken and betweenTokens hold the times to the first token and between tokens, in
	// microseconds.
	firstToken, betweenTokens *hdrhistogram.Histogram
}

// organisationTally counts the results of one organisation's requests.
type organisationTally struct {
	weight    float64
	completed int
	// refused counts the requests that did not complete, by reason.
	refused map[request.Reason]int
	// firstToken holds the times to the first token, in microseconds.
	firstToken *hdrhistogram.Histogram
}

func newTally(s *scenario.Scenario) *tally {
	t := &tally{organisations: map[string]*organisationTally{}, firstToken: report.NewHistogram(), betweenTokens: report.NewHistogram()}
	for _, o := range s.Organisations {
		t.order = append(t.order, o.Name)
		t.organisations[o.Name] = &organisationTally{
			weight: o.EffectiveWeight(), refused: map[request.Reason]int{}, firstToken: report.NewHistogram(),
		}
	}
	return t
}

// add counts the result of one request.
func (t *tally) add(a scenario.Arrival, r result) {
	o := t.organisations[a.Organisation]
	switch {
	case r.unfinished:
		t.unfinished++
	case !isAnswerOutcome(r.outcome):
		t.lost++
	case r.outcome == request.NotRun:
		o.refused[r.reason]++
	case r.outcome == request.Unknown || r.invalid:
		o.refused[r.reason]++
	case r.content != expectedContent(a):
		t.wrong++
	default:
		t.complete(o, a, r)
	}
}

// complete counts a correct answer.
func (t *tally) complete(o *organisationTally, a scenario.Arrival, r result) {
	t.completed++
	o.completed++
	if r.duration > a.Deadline {
		t.late++
	}
	if r.timeToFirstToken > 0 {
		_ = t.firstToken.RecordValue(r.timeToFirstToken.Microseconds())
		_ = o.firstToken.RecordValue(r.timeToFirstToken.Microseconds())
	}
	for _, d := range r.tokenIntervals {
		_ = t.betweenTokens.RecordValue(d.Microseconds())
	}
}

// refusals returns the number of requests that were refused or broke off.
func (t *tally) refusals() int {
	n := 0
	for _, o := range t.organisations {
		for _, k := range o.refused {
			n += k
		}
	}
	return n
}

// result returns the report of a run that took the given time.
func (t *tally) result(policy string, m measurements, totals traffic, took time.Duration) report.PolicyResult {
	routerSeconds := took.Seconds() * float64(len(totals.routers))
	total := totals.sum()
	p := report.PolicyResult{
		Policy: policy, Gap: m.gap.Size, GapBetween: m.gap, GapSeries: m.series, Utilisation: m.busy, IdleWhileWaiting: m.idle,
		ControlBytesPerRouterSecond:    float64(total.bytes) / routerSeconds,
		ControlMessagesPerRouterSecond: float64(total.messages) / routerSeconds,
		StoreCallsPerSecond:            float64(totals.platformCalls) / took.Seconds(),
		RemoteFraction:                 fraction(total.granted-total.declined, total.granted-total.declined+total.local),
		DeclinedFraction:               fraction(total.declined, total.granted),
		SubstitutedFraction:            fraction(total.substituted, total.granted),
		Completed:                      t.completed, Late: t.late, Lost: t.lost, Doubled: m.doubled,
		Wrong: t.wrong, NotRunButRan: m.notRunButRan, Violations: invariant.Total(), Unfinished: t.unfinished,
		FirstTokenMS: report.NewQuantiles(t.firstToken), BetweenTokensMS: report.NewQuantiles(t.betweenTokens),
		Refused: map[request.Reason]int{}, Seconds: took.Seconds(), Routers: totals.results(took),
	}
	for _, name := range t.order {
		o := t.organisations[name]
		for reason, n := range o.refused {
			p.Refused[reason] += n
		}
		p.Organisations = append(p.Organisations, report.OrganisationResult{
			Organisation: name, Weight: o.weight, Completed: o.completed, Served: m.servedCost[name],
			Refused: o.refused, FirstTokenMS: report.NewQuantiles(o.firstToken),
		})
	}
	return p
}

// fraction returns n as a fraction of a total, or 0 if there is no total.
func fraction(n, of int64) float64 {
	if of <= 0 {
		return 0
	}
	return float64(n) / float64(of)
}
