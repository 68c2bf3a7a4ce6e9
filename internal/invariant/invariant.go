// Package invariant checks at run time what must always hold. A breach is
// counted, and in tests and experiments it stops the program, so that it
// cannot pass unseen.
package invariant

import (
	"expvar"
	"sync/atomic"
)

// Name names an invariant in metrics.
type Name string

// The invariants.
const (
	// DecidedOnce: a request never waits and runs at the same time, and gets
	// one decision for each time it waits.
	DecidedOnce Name = "decided-once"
	// SlotsBounded: an owner never gives out more slots than an engine has.
	SlotsBounded Name = "slots-bounded"
	// WorkConserving: no owner leaves a slot free while a request waits with
	// it that could run there.
	WorkConserving Name = "work-conserving"
	// CreditsBalance: a policy's credits sum to what it has not handed out.
	CreditsBalance Name = "credits-balance"
	// RunsOnce: a request that may not be repeated is not sent again once a
	// target may have seen it.
	RunsOnce Name = "runs-once"
	// NotRunIsTrue: not-run is not said of a request a target may have seen.
	NotRunIsTrue Name = "not-run-is-true"
	// NeverReverts: an object's version in force never falls.
	NeverReverts Name = "never-reverts"
	// ServiceMonotonic: service in reports never falls in one incarnation.
	ServiceMonotonic Name = "service-monotonic"
	// LeftInTime: nothing is sent to a target that leaves, nor to one whose entry
	// has been gone for longer than entries may lapse.
	LeftInTime Name = "left-in-time"
)

// Names returns all invariants.
func Names() []Name {
	return []Name{
		DecidedOnce, SlotsBounded, WorkConserving, CreditsBalance,
		RunsOnce, NotRunIsTrue, NeverReverts, ServiceMonotonic, LeftInTime,
	}
}

var (
	violations = newCounts()
	strict     atomic.Bool
)

func newCounts() *expvar.Map {
	m := new(expvar.Map)
	for _, n := range Names() {
		m.Add(string(n), 0)
	}
	return m
}

// Strict makes every breach stop the program; tests and experiments set it.
func Strict() { strict.Store(true) }

// Check notes a breach of an invariant unless it holds.
func Check(holds bool, n Name) {
	if holds {
		return
	}
	violations.Add(string(n), 1)
	if strict.Load() {
		panic("invariant broken: " + string(n))
	}
}

// Violations returns the counts of breaches by name, as an expvar value.
func Violations() expvar.Var { return violations }

// Total returns the number of breaches so far.
func Total() int64 {
	var sum int64
	violations.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			sum += n.Value()
		}
	})
	return sum
}
