// Package invariant checks invariants at run time. A violation is counted, and in tests and
// experiments it panics, so that it can't go unnoticed.
package invariant

import (
	"expvar"
	"sync/atomic"
)

// Name is the name of an invariant in metrics.
type Name string

// The invariants.
const (
	// DecidedOnce: a request is never queued and running at the same time, and gets exactly
	// one decision each time it is queued.
	DecidedOnce Name = "decided-once"
	// SlotsBounded: the router that owns an engine's slots never grants more than the engine
	// has.
	SlotsBounded Name = "slots-bounded"
	// WorkConserving: the owner of a slot never leaves it free while a request is queued at
	// the owner that could run there.
	WorkConserving Name = "work-conserving"
	// CreditsBalance: the credits of a policy sum to what it has not handed out.
	CreditsBalance Name = "credits-balance"
	// RunsOnce: a request that may not be repeated is not retried once a target may have
	// received it.
	RunsOnce Name = "runs-once"
	// NotRunIsTrue: the outcome not-run is never reported for a request that a target may have
	// received.
	NotRunIsTrue Name = "not-run-is-true"
	// NeverReverts: the version in force of an object never decreases.
	NeverReverts Name = "never-reverts"
	// ServiceMonotonic: the amount of service in the reports of one incarnation never
	// decreases.
	ServiceMonotonic Name = "service-monotonic"
	// LeftInTime: no request is sent to a target that is leaving, nor to one whose entry has
	// been gone from the store for longer than a lapsed entry may be used.
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

// Strict makes every violation panic. It is for tests and experiments.
func Strict() { strict.Store(true) }

// Check counts a violation of an invariant unless holds is true.
func Check(holds bool, n Name) {
	if holds {
		return
	}
	violations.Add(string(n), 1)
	if strict.Load() {
		panic("invariant broken: " + string(n))
	}
}

// Violations returns the number of violations by name, as an expvar value.
func Violations() expvar.Var { return violations }

// Total returns the number of all violations so far.
func Total() int64 {
	var sum int64
	violations.Do(func(kv expvar.KeyValue) {
		if n, ok := kv.Value.(*expvar.Int); ok {
			sum += n.Value()
		}
	})
	return sum
}
