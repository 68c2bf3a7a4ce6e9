package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Crash is the end of a target's process while it ran a request.
type Crash struct {
	// Target names the incarnation of the target that ended.
	Target string
	// Cleared is set once the request has ended well after it, Trial where it was sent
	// although others had ended under it.
	Cleared, Trial bool
}

// Record is what routers tell one another of a suspected request. Of two records of a
// request each has part of the truth: what is known is the union of their crashes, and a
// crash that either has cleared is. Told twice, late or in another order they do no harm.
type Record struct {
	Key          Key
	Organisation string
	Crashes      []Crash
	// SinceCrash is the time since the last crash that was not cleared, SinceSeen that
	// since the request last came or had one.
	SinceCrash, SinceSeen time.Duration
}

// Standing returns the number of crashes that are not cleared.
func (r Record) Standing() int {
	n := 0
	for _, c := range r.Crashes {
		if !c.Cleared {
			n++
		}
	}
	return n
}

// entry is what is known of a suspected request.
type entry struct {
	organisation string
	// crashes are those known, by target.
	crashes       map[string]Crash
	crashed, seen time.Time
	// trying is until when a trial is under way at this router at most.
	trying time.Time
	// common is set once all routers are to know of the request.
	common bool
}

// weight is what the entry adds to the digest: what only some routers are to know adds
// nothing.
func (e *entry) weight(k Key) uint64 {
	if !e.common {
		return 0
	}
	var sum uint64
	for _, c := range e.crashes {
		sum ^= weight(k, c)
	}
	return sum
}

func (e *entry) standing() int {
	n := 0
	for _, c := range e.crashes {
		if !c.Cleared {
			n++
		}
	}
	return n
}

// trials returns the number of trials that ended engines.
func (e *entry) trials() int {
	n := 0
	for _, c := range e.crashes {
		if c.Trial && !c.Cleared {
			n++
		}
	}
	return n
}

// expires returns when the entry is forgotten.
func (e *entry) expires() time.Time {
	if e.standing() >= heldFrom {
		return e.seen.Add(heldTime)
	}
	return e.seen.Add(suspectTime)
}

func (e *entry) record(now time.Time, k Key) Record {
	r := Record{
		Key: k, Organisation: e.organisation,
		SinceCrash: max(now.Sub(e.crashed), 0), SinceSeen: max(now.Sub(e.seen), 0),
	}
	for _, target := range slices.Sorted(maps.Keys(e.crashes)) {
		r.Crashes = append(r.Crashes, e.crashes[target])
	}
	return r
}
