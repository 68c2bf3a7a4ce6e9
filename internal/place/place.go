// Package place keeps track of the slots of the engines that this router owns and chooses the
// engine for a request.
package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/port"
)

// answerTimeout is how long an engine that does not answer still gets requests.
const answerTimeout = 3 * time.Second

// takeoverWindow is how long a new owner of an engine also counts those requests in the
// engine's load reports that no router has reported to the owner yet.
const takeoverWindow = 2 * time.Second

// Allocation is a slot in use.
type Allocation struct {
	Slot         uint64
	Engine       string
	Address      string
	Pool         string
	Holder       message.RouterID
	Organisation string
	// Charged is what the organisation has been charged for the slot so far, in cost units.
	Charged float64
	Since   time.Time
	// lastAudit is when the holder was last asked whether it still holds the slot.
	lastAudit time.Time
}

// Slots holds the engines owned and their slots in use. Use New to create one.
type Slots struct {
	lastSlot     uint64
	engines      map[string]*engine
	engineOfSlot map[uint64]*engine
}

// engine is an engine that this router owns.
type engine struct {
	box         config.Box
	allocations map[uint64]Allocation
	foreign     map[message.RouterID]foreign
	// unexplained is how many more requests the engine had in its last load report than this
	// owner knew of.
	unexplained int
	acquiredAt  time.Time
	answeredAt  time.Time
	leaving     bool
	unreachable bool
}

// foreign counts a router's requests on slots granted by an earlier owner.
type foreign struct {
	count int
	until time.Time
}

// New returns an empty set, which numbers slots from first+1.
func New(first uint64) *Slots {
	return &Slots{lastSlot: first, engines: map[string]*engine{}, engineOfSlot: map[uint64]*engine{}}
}

// SetOwned sets the engines owned. An engine keeps its allocations unless its address has
// changed.
func (s *Slots) SetOwned(boxes []config.Box, now time.Time) {
	keep := map[string]bool{}
	for _, b := range boxes {
		keep[b.Name] = true
		e := s.engines[b.Name]
		if e == nil || e.box.Address != b.Address {
			e = &engine{allocations: map[uint64]Allocation{}, foreign: map[message.RouterID]foreign{}, acquiredAt: now}
			s.engines[b.Name] = e
		}
		e.box = b
		e.leaving = e.leaving || b.Leaving
	}
	for name, e := range s.engines {
		if keep[name] {
			continue
		}
		for slot := range e.allocations {
			delete(s.engineOfSlot, slot)
		}
		delete(s.engines, name)
	}
}

// Owned returns the boxes of the engines owned, sorted by name.
func (s *Slots) Owned() []config.Box {
	var boxes []config.Box
	for _, name := range slices.Sorted(maps.Keys(s.engines)) {
		boxes = append(boxes, s.engines[name].box)
	}
	return boxes
}

// Owns reports whether the engine is owned.
func (s *Slots) Owns(name string) bool { return s.engines[name] != nil }

// RecordLoad records an engine's own report of its load.
func (s *Slots) RecordLoad(name string, load port.EngineLoad, now time.Time) {
	e := s.engines[name]
	if e == nil {
		return
	}
	e.answeredAt = now
	e.unexplained = max(load.Running+load.Queued-e.used(now), 0)
	e.leaving = e.leaving || load.Leaving
	e.unreachable = false
}

// MarkUnreachable records that an engine could not be reached; it gets no requests until it
// reports its load again.
func (s *Slots) MarkUnreachable(name string) {
	if e := s.engines[name]; e != nil {
		e.unreachable = true
	}
}

// SetForeign records how many requests a router runs on an engine on slots granted by an
// earlier owner; the number expires after ttl.
func (s *Slots) SetForeign(name string, id message.RouterID, count int, now time.Time, ttl time.Duration) {
	e := s.engines[name]
	if e == nil {
		return
	}
	if count == 0 {
		delete(e.foreign, id)
		return
	}
	e.foreign[id] = foreign{count: count, until: now.Add(ttl)}
}

// free returns the number of free slots of an engine.
func (e *engine) free(now time.Time) int {
	if e.leaving || e.unreachable || e.answeredAt.IsZero() || now.Sub(e.answeredAt) > answerTimeout {
		return 0
	}
	used := e.used(now)
	if now.Sub(e.acquiredAt) < takeoverWindow {
		used += e.unexplained
	}
	return max(e.box.Slots-used, 0)
}

// used returns the number of slots that this owner knows to be in use.
func (e *engine) used(now time.Time) int {
	n := len(e.allocations)
	for _, f := range e.foreign {
		if now.Before(f.until) {
			n += f.count
		}
	}
	return n
}

// Free returns the number of free slots in a pool.
func (s *Slots) Free(pool string, now time.Time) int {
	n := 0
	for _, e := range s.engines {
		if e.box.Pool == pool {
			n += e.free(now)
		}
	}
	return n
}

// Allocate allocates a slot of the engine in the pool that has the largest fraction of its
// slots free. It returns false if no slot is free.
func (s *Slots) Allocate(a Allocation, now time.Time) (Allocation, bool) {
	best := s.leastUsed(a.Pool, now)
	if best == nil {
		return Allocation{}, false
	}
	s.lastSlot++
	a.Slot = s.lastSlot
	a.Engine = best.box.Name
	a.Address = best.box.Address
	a.Since = now
	best.allocations[a.Slot] = a
	invariant.Check(len(best.allocations) <= best.box.Slots, invariant.SlotsBounded)
	s.engineOfSlot[a.Slot] = best
	return a, true
}

// leastUsed returns the engine of a pool with the largest fraction of its slots free, nil if no
// slot is free.
func (s *Slots) leastUsed(pool string, now time.Time) *engine {
	var best *engine
	top := 0.0
	for _, e := range s.engines {
		if e.box.Pool != pool {
			continue
		}
		f := float64(e.free(now)) / float64(e.box.Slots)
		if f > top || f == top && best != nil && e.box.Name < best.box.Name {
			best, top = e, f
		}
	}
	return best
}

// Release frees a slot and returns its allocation. It returns false for a slot that is not in
// use, for example when its answer arrives twice.
func (s *Slots) Release(slot uint64) (Allocation, bool) {
	e := s.engineOfSlot[slot]
	if e == nil {
		return Allocation{}, false
	}
	a := e.allocations[slot]
	delete(e.allocations, slot)
	delete(s.engineOfSlot, slot)
	return a, true
}

// ReleaseHolder frees every slot that a router holds, for example when it has died, and
// returns their allocations.
func (s *Slots) ReleaseHolder(id message.RouterID) []Allocation {
	var released []Allocation
	for slot, e := range s.engineOfSlot {
		if a := e.allocations[slot]; a.Holder == id {
			released = append(released, a)
		}
	}
	for _, a := range released {
		s.Release(a.Slot)
	}
	return released
}

// Charge raises what has been charged for each slot in use of a pool to the cost of the time
// since its request began, at rate cost units a second, and calls f with the amount added.
func (s *Slots) Charge(pool string, rate float64, now time.Time, f func(organisation string, added float64)) {
	for _, e := range s.engines {
		if e.box.Pool != pool {
			continue
		}
		for slot, a := range e.allocations {
			added := rate*now.Sub(a.Since).Seconds() - a.Charged
			if added <= 0 {
				continue
			}
			a.Charged += added
			e.allocations[slot] = a
			f(a.Organisation, added)
		}
	}
}

// initialAuditDelay is when a slot's holder is first asked about it; the delay doubles with
// each further question.
const initialAuditDelay = 2 * time.Second

// DueForAudit returns the slots whose holders, other than self, are due to be asked whether
// they still hold them, and regards them as asked.
func (s *Slots) DueForAudit(self message.RouterID, now time.Time) []Allocation {
	var due []Allocation
	for slot, e := range s.engineOfSlot {
		a := e.allocations[slot]
		if a.Holder == self {
			continue
		}
		wait := max(initialAuditDelay, a.lastAudit.Sub(a.Since))
		last := a.Since
		if !a.lastAudit.IsZero() {
			last = a.lastAudit
		}
		if now.Sub(last) < wait {
			continue
		}
		a.lastAudit = now
		e.allocations[slot] = a
		due = append(due, a)
	}
	slices.SortFunc(due, func(a, b Allocation) int { return cmp.Compare(a.Slot, b.Slot) })
	return due
}

// InUse returns the number of slots in use.
func (s *Slots) InUse() int { return len(s.engineOfSlot) }
