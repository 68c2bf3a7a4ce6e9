// Package report holds the results of load runs and writes them as JSON, tables and plots.
package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/stepcroft/stepcroft/internal/ledger"
	"github.com/stepcroft/stepcroft/internal/request"
)

// Omniscient is the name of the reference policy: a single router that has all requests and all
// engines, and always serves the organisation that was served least.
const Omniscient = "omniscient"

// Comparison is the result of a run under one or several policies, as printed in JSON.
type Comparison struct {
	Scenario string         `json:"scenario"`
	Seed     uint64         `json:"seed"`
	Routers  int            `json:"routers"`
	Policies []PolicyResult `json:"policies"`
}

// PolicyResult is the result under one policy.
type PolicyResult struct {
	Policy string `json:"policy"`
	// Gap is the largest fairness gap, in units of the largest request cost.
	Gap float64 `json:"gap"`
	// GapBetween tells between which organisations and when that gap was.
	GapBetween ledger.Gap `json:"gap_between"`
	// GapSeries is the largest fairness gap in each half second.
	GapSeries []float64 `json:"gap_series"`
	// GapRatio is Gap divided by the gap under the Omniscient policy, 0 if that policy was
	// not run or left no gap.
	GapRatio float64 `json:"gap_ratio,omitempty"`
	// Utilisation is the fraction of all slots' time that was busy.
	Utilisation float64 `json:"utilisation"`
	// IdleWhileWaiting is the fraction of all slots' time that was idle while a request for
	// the slot's pool waited at some router.
	IdleWhileWaiting               float64 `json:"idle_while_waiting"`
	ControlBytesPerRouterSecond    float64 `json:"control_bytes_per_router_second"`
	ControlMessagesPerRouterSecond float64 `json:"control_messages_per_router_second"`
	StoreCallsPerSecond            float64 `json:"store_calls_per_second"`
	RemoteFraction                 float64 `json:"remote_part"`
	// SubstitutedFraction is the fraction of granted slots that were used for another
	// organisation than they were granted for.
	SubstitutedFraction float64                `json:"substituted_part"`
	DeclinedFraction    float64                `json:"declined_part"`
	Completed           int                    `json:"completed"`
	Late                int                    `json:"late"`
	Refused             map[request.Reason]int `json:"refused"`
	Lost                int                    `json:"lost"`
	Doubled             int                    `json:"doubled"`
	Wrong               int                    `json:"wrong"`
	NotRunButRan        int                    `json:"not_run_but_ran"`
	// Violations is the number of invariant violations inside the routers.
	Violations      int64                `json:"violations"`
	Unfinished      int                  `json:"unfinished"`
	FirstTokenMS    Quantiles            `json:"first_token_ms"`
	BetweenTokensMS Quantiles            `json:"between_tokens_ms"`
	Organisations   []OrganisationResult `json:"organisations"`
	Routers         []RouterResult       `json:"routers"`
	Seconds         float64              `json:"seconds"`
}

// RouterResult is the result of one router.
type RouterResult struct {
	Router string `json:"router"`
	// Engines is the number of engines that it owned at the end.
	Engines               int     `json:"engines"`
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	// Local is the number of requests that it dispatched to its own engines, without a message
	// to another router. Granted is the number of slots that it offered to other routers.
	Local   int64 `json:"local"`
	Granted int64 `json:"granted"`
}

// OrganisationResult is the result of one organisation.
type OrganisationResult struct {
	Organisation string                 `json:"organisation"`
	Weight       float64                `json:"weight"`
	Completed    int                    `json:"completed"`
	Served       float64                `json:"served"`
	Refused      map[request.Reason]int `json:"refused"`
	FirstTokenMS Quantiles              `json:"first_token_ms"`
}

// Compare fills in the gap ratios, if the Omniscient policy was run.
func (r *Comparison) Compare() {
	i := slices.IndexFunc(r.Policies, func(p PolicyResult) bool { return p.Policy == Omniscient })
	if i < 0 || r.Policies[i].Gap == 0 {
		return
	}
	for j := range r.Policies {
		r.Policies[j].GapRatio = r.Policies[j].Gap / r.Policies[i].Gap
	}
}

// WriteText writes a table of the policies.
func (r Comparison) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tgap\tratio\tutilisation\tidle+waiting\tbytes/s\tstore/s\tremote\tdeclined\t"+
		"completed\tlate\trefused\tlost\tdoubled\twrong\tfirst p95\tbetween p95\t")
	for _, p := range r.Policies {
		refused := 0
		for _, n := range p.Refused {
			refused += n
		}
		fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%.3f\t%.4f\t%.0f\t%.1f\t%.2f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t\n",
			p.Policy, p.Gap, p.GapRatio, p.Utilisation, p.IdleWhileWaiting, p.ControlBytesPerRouterSecond,
			p.StoreCallsPerSecond, p.RemoteFraction, p.DeclinedFraction, p.Completed, p.Late, refused, p.Lost, p.Doubled,
			p.Wrong+p.NotRunButRan, p.FirstTokenMS.P95, p.BetweenTokensMS.P95)
	}
	return t.Flush()
}

// WriteRouters writes a table of the routers under one policy.
func (p PolicyResult) WriteRouters(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "router\tengines\tcontrol bytes/s\tdispatched here\tslots granted")
	for _, r := range p.Routers {
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%d\t%d\n", r.Router, r.Engines, r.ControlBytesPerSecond, r.Local, r.Granted)
	}
	return t.Flush()
}

// WriteOrganisations writes a table of the organisations under one policy.
func (p PolicyResult) WriteOrganisations(w io.Writer) error {
	served, weights := 0.0, 0.0
	for _, o := range p.Organisations {
		served += o.Served
		weights += o.Weight
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "organisation\tweight\tcompleted\tserved tokens\tpart\tpart by weight\tfirst token p95\trefused")
	for _, o := range p.Organisations {
		fmt.Fprintf(t, "%s\t%g\t%d\t%.0f\t%.3f\t%.3f\t%.0f ms\t%s\n", o.Organisation, o.Weight, o.Completed,
			o.Served, o.Served/max(served, 1), o.Weight/weights, o.FirstTokenMS.P95, reasons(o.Refused))
	}
	return t.Flush()
}

// reasons returns the counts as text, "-" if there are none.
func reasons(counts map[request.Reason]int) string {
	text := ""
	for _, r := range slices.Sorted(maps.Keys(counts)) {
		text += fmt.Sprintf("%s %d ", r, counts[r])
	}
	if text == "" {
		return "-"
	}
	return text
}
