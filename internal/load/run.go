// Package load runs a scenario as a load test: it starts real routers, and stand-ins of targets and
// the platform, on the loopback interface, sends the scenario's requests and injects its faults.
// What became of the requests is measured from the callers' answers and from a ledger of what the
// targets served, not from the routers' own counters. It is a load generator, not a cluster
// simulator: routers exchange real messages in real time.
package load

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/ledger"
	"github.com/stepcroft/stepcroft/internal/report"
	"github.com/stepcroft/stepcroft/internal/request"
	"github.com/stepcroft/stepcroft/internal/scenario"
)

// Options are the parameters of a load test.
type Options struct {
	// Policies are the fair policies to run the scenario under. "default" leaves each pool its
	// own, and report.Omniscient is a single router that knows the whole load.
	Policies []string
	Seed     uint64
	// ViewDelay delays the use of other routers' reports.
	ViewDelay time.Duration
	// Progress receives a line of progress every second; nil means none.
	Progress io.Writer
}

// Run runs a scenario under each policy, one after the other, with the same requests.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (report.Comparison, error) {
	invariant.Strict()
	arrivals := s.Plan(o.Seed)
	out := report.Comparison{Scenario: s.Name, Seed: o.Seed, Routers: s.Routers}
	for _, policy := range o.Policies {
		result, err := runPolicy(ctx, s, o, policy, arrivals)
		if err != nil {
			return out, err
		}
		out.Policies = append(out.Policies, result)
	}
	out.Compare()
	return out, nil
}

// run is the run of a scenario under one policy.
type run struct {
	scenario *scenario.Scenario
	ledger   *ledger.Ledger
	fleet    *fleet
	caller   *caller
	group    *group.Group

	// mu guards tally.
	mu    sync.Mutex
	tally *tally
}

// runPolicy runs the scenario on a new fleet under one policy. The load ends after the scenario's
// duration; requests that are still open are then cancelled.
func runPolicy(ctx context.Context, s *scenario.Scenario, o Options, policy string, arrivals []scenario.Arrival) (report.PolicyResult, error) {
	l := ledger.New(s)
	routerPolicy := policy
	if policy == "default" {
		routerPolicy = ""
	}
	f, err := startFleet(s, o, routerPolicy, l)
	if err != nil {
		return report.PolicyResult{}, err
	}
	defer f.stop()
	r := &run{
		scenario: s, ledger: l, fleet: f, caller: newCaller(f), group: group.New(ctx), tally: newTally(s),
	}
	defer r.caller.stop()
	before := f.traffic()
	start := clock.Now()
	r.group.GoContext(func(ctx context.Context) { r.sampleLedger(ctx, o, policy, start) })
	r.group.GoContext(func(ctx context.Context) { r.injectFaults(ctx, start) })
	r.sendArrivals(arrivals, start)
	group.SleepUntil(r.group.Context(), start.Add(time.Duration(s.Duration)))
	took := clock.Since(start)
	traffic := f.traffic().since(before)
	measured := measure(l)
	r.group.Stop()
	measured.addFinalCounts(l)
	return r.tally.result(policy, measured, traffic, took), ctx.Err()
}

// sendArrivals starts each request at its time, without waiting for the answers of earlier ones.
func (r *run) sendArrivals(arrivals []scenario.Arrival, start time.Time) {
	ctx := r.group.Context()
	for _, a := range arrivals {
		if !group.SleepUntil(ctx, start.Add(a.At)) {
			return
		}
		r.ledger.Submitted(a)
		r.group.GoContext(func(ctx context.Context) { r.sendRequest(ctx, a) })
	}
}

// sendRequest sends a request and counts its result.
func (r *run) sendRequest(ctx context.Context, a scenario.Arrival) {
	ctx, cancel := context.WithTimeout(ctx, a.Deadline+5*time.Second)
	defer cancel()
	got := r.caller.do(ctx, a)
	r.ledger.Answered(a.Tag, got.outcome == request.NotRun)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.add(a, got)
}

// sampleLedger takes samples of the ledger and prints progress lines until the run ends.
func (r *run) sampleLedger(ctx context.Context, o Options, policy string, start time.Time) {
	ticker := time.NewTicker(ledger.SampleInterval)
	defer ticker.Stop()
	nextLine := time.Second
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.ledger.Sample()
		if at := clock.Since(start); o.Progress != nil && at > nextLine {
			nextLine += time.Second
			r.mu.Lock()
			fmt.Fprintf(o.Progress, "\r%s: %3.0f s, completed %d, refused %d   ",
				policy, at.Seconds(), r.tally.completed, r.tally.refusals())
			r.mu.Unlock()
		}
	}
}

// injectFaults turns the scenario's faults on and off at their times.
func (r *run) injectFaults(ctx context.Context, start time.Time) {
	type step struct {
		at    time.Duration
		fault scenario.Fault
		on    bool
	}
	var steps []step
	for _, f := range r.scenario.Faults {
		steps = append(steps, step{time.Duration(f.Start), f, true})
		if f.Duration > 0 {
			steps = append(steps, step{time.Duration(f.Start + f.Duration), f, false})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	for _, s := range steps {
		if !group.SleepUntil(ctx, start.Add(s.at)) {
			return
		}
		r.fleet.setFault(r.group, s.fault, s.on)
	}
}

// isAnswerOutcome reports whether o is one of the outcomes that an answer to a caller may have.
func isAnswerOutcome(o request.Outcome) bool {
	return o == request.Completed || o == request.NotRun || o == request.Unknown
}
