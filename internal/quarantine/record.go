package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Crash is the unexpected exit of a target's process while it ran a request.
type Crash struct {
	// Target names the incarnation of the target that exited.
	Target string
	// Cleared is set once the request is no longer taken for the cause, for example because
	// it has completed since. Trial is set if the request was on trial: it was sent although
	// other targets had crashed under it.
	Cleared, Trial bool
}

// Record is what routers exchange about a suspected request. Two records of a request merge
// into the union of their crashes, where a crash is cleared if either record has it cleared.
// Records may therefore arrive twice, late, or in any order.
type Record struct {
	Key Key
	// Part is the id of the part of prompts that the key identifies; empty if it is a content.
	Part         string
	Organisation string
	Crashes      []Crash
	// SinceCrash is the time since the last crash that was not cleared, SinceSeen the time
	// since the request last arrived or had a crash.
	SinceCrash, SinceSeen time.Duration
	// SinceShared is the time since all routers need to know of the request; 0 if they need not.
	SinceShared time.Duration
}

// Uncleared returns the number of crashes that are not cleared.
func (r Record) Uncleared() int {
	n := 0
	for _, c := range r.Crashes {
		if !c.Cleared {
			n++
		}
	}
	return n
}

// CrashedTargets returns the targets that crashed while they ran the request.
func (r Record) CrashedTargets() []string {
	list := make([]string, 0, len(r.Crashes))
	for _, c := range r.Crashes {
		list = append(list, c.Target)
	}
	return list
}

// entry is what is known of a suspected request.
type entry struct {
	// part is the id of a part of prompts, empty for a content.
	part, organisation string
	// crashes holds the known crashes, and crashedBy the latest time at which each may have been, by
	// target.
	crashes             map[string]Crash
	crashedBy           map[string]time.Time
	lastCrash, lastSeen time.Time
	// trialUntil is the latest time until which a trial that this router started or granted may run, grantee
	// the router to which it granted it.
	trialUntil time.Time
	grantee    Grantee
	// askAfter is when this router may next ask another one for a trial.
	askAfter time.Time
	// shared is set once all routers need to know of the request, which was at sharedAt.
	shared   bool
	sharedAt time.Time
}

// digest returns what the entry adds to the State's digest: 0 unless all routers need to know
// of it.
func (e *entry) digest(k Key) uint64 {
	if !e.shared {
		return 0
	}
	var sum uint64
	for _, c := range e.crashes {
		sum ^= crashDigest(k, c)
	}
	return sum
}

func (e *entry) uncleared() int {
	n := 0
	for _, c := range e.crashes {
		if !c.Cleared {
			n++
		}
	}
	return n
}

// crashedBeside reports whether a target crashed while running both requests.
func (e *entry) crashedBeside(o *entry) bool {
	for target, c := range e.crashes {
		if other, ran := o.crashes[target]; ran && !c.Cleared && !other.Cleared {
			return true
		}
	}
	return false
}

// failedTrials returns the number of trials under which engines crashed.
func (e *entry) failedTrials() int {
	n := 0
	for _, c := range e.crashes {
		if c.Trial && !c.Cleared {
			n++
		}
	}
	return n
}

// expires returns when the entry expires.
func (e *entry) expires() time.Time {
	if e.uncleared() >= minCrashesToHold {
		return e.lastSeen.Add(heldTTL)
	}
	return e.lastSeen.Add(suspectTTL)
}

func (e *entry) record(now time.Time, k Key) Record {
	r := Record{
		Key: k, Part: e.part, Organisation: e.organisation,
		SinceCrash: max(now.Sub(e.lastCrash), 0), SinceSeen: max(now.Sub(e.lastSeen), 0),
	}
	if e.shared {
		r.SinceShared = max(now.Sub(e.sharedAt), 0)
	}
	for _, target := range slices.Sorted(maps.Keys(e.crashes)) {
		r.Crashes = append(r.Crashes, e.crashes[target])
	}
	return r
}
