// Package place keeps the slots of the engines that this router owns and
// chooses the engine for a request.
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

// silence is for how long an engine that does not answer still gets work.
const silence = 3 * time.Second

// settling is for how long a new owner believes that an engine runs more
// requests than routers have told it of.
const settling = 2 * time.Second

// Allocation is one slot in use.
type Allocation struct {
	Slot         uint64
	Engine       string
	Address      string
	Pool         string
	Holder       message.RouterID
	Organisation string
	// Charged is what its organisation was charged for it so far.
	Charged float64
	Since   time.Time
	// audited is when its holder was last asked whether it still holds it.
	audited time.Time
}

// Slots is the set of engines owned. Use New to make one.
type Slots struct {
	next    uint64
	engines map[string]*engine
	uses    map[uint64]*engine
}

type engine struct {
	box     config.Box
	uses    map[uint64]Allocation
	foreign map[message.RouterID]foreign
	// unexplained is how many more requests the engine had than this owner
	// knew of, when it last reported its load.
	unexplained int
	acquired    time.Time
	answered    time.Time
	leaving     bool
	broken      bool
}

// foreign counts a router's requests on slots of an earlier owner.
type foreign struct {
	count int
	until time.Time
}

// New returns an empty set whose slot numbers follow first.
func New(first uint64) *Slots {
	return &Slots{next: first, engines: map[string]*engine{}, uses: map[uint64]*engine{}}
}

// SetOwned makes boxes the set of engines owned.
func (s *Slots) SetOwned(boxes []config.Box, now time.Time) {
	keep := map[string]bool{}
	for _, b := range boxes {
		keep[b.Name] = true
		e := s.engines[b.Name]
		if e == nil || e.box.Address != b.Address {
			e = &engine{uses: map[uint64]Allocation{}, foreign: map[message.RouterID]foreign{}, acquired: now}
			s.engines[b.Name] = e
		}
		e.box = b
		e.leaving = e.leaving || b.Leaving
	}
	for name, e := range s.engines {
		if keep[name] {
			continue
		}
		for slot := range e.uses {
			delete(s.uses, slot)
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

// RecordLoad takes in an engine's own report of its load.
func (s *Slots) RecordLoad(name string, load port.EngineLoad, now time.Time) {
	e := s.engines[name]
	if e == nil {
		return
	}
	e.answered = now
	e.unexplained = max(load.Running+load.Queued-e.used(now), 0)
	e.leaving = e.leaving || load.Leaving
	e.broken = false
}

// MarkUnreachable notes that an engine could not be reached; it gets nothing until it
// answers again.
func (s *Slots) MarkUnreachable(name string) {
	if e := s.engines[name]; e != nil {
		e.broken = true
	}
}

// SetForeign notes how many requests a router runs on an engine by grants of an
// earlier owner; the number lapses after ttl.
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
	if e.leaving || e.broken || e.answered.IsZero() || now.Sub(e.answered) > silence {
		return 0
	}
	used := e.used(now)
	if now.Sub(e.acquired) < settling {
		used += e.unexplained
	}
	return max(e.box.Slots-used, 0)
}

// used returns the number of slots that this owner knows to be in use.
func (e *engine) used(now time.Time) int {
	n := len(e.uses)
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

// Allocate uses a slot of the pool's emptiest engine, by the share of its slots
// that are free. It returns false if no slot is free.
func (s *Slots) Allocate(u Allocation, now time.Time) (Allocation, bool) {
	best := s.emptiest(u.Pool, now)
	if best == nil {
		return Allocation{}, false
	}
	s.next++
	u.Slot = s.next
	u.Engine = best.box.Name
	u.Address = best.box.Address
	u.Since = now
	best.uses[u.Slot] = u
	invariant.Check(len(best.uses) <= best.box.Slots, invariant.SlotsBounded)
	s.uses[u.Slot] = best
	return u, true
}

func (s *Slots) emptiest(pool string, now time.Time) *engine {
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

// Release frees a slot and returns what it was used for. It returns false
// for a slot that is not in use, as when its answer comes twice.
func (s *Slots) Release(slot uint64) (Allocation, bool) {
	e := s.uses[slot]
	if e == nil {
		return Allocation{}, false
	}
	u := e.uses[slot]
	delete(e.uses, slot)
	delete(s.uses, slot)
	return u, true
}

// ReleaseHolder frees every slot that a router holds, as when it has died,
// and returns their uses.
func (s *Slots) ReleaseHolder(id message.RouterID) []Allocation {
	var released []Allocation
	for slot, e := range s.uses {
		if u := e.uses[slot]; u.Holder == id {
			released = append(released, u)
		}
	}
	for _, u := range released {
		s.Release(u.Slot)
	}
	return released
}

// Charge raises what was charged for each slot in use of a pool to the cost
// that requests come to in the time since they began, at rate cost units a
// second, and calls f with what was added.
func (s *Slots) Charge(pool string, rate float64, now time.Time, f func(organisation string, added float64)) {
	for _, e := range s.engines {
		if e.box.Pool != pool {
			continue
		}
		for slot, u := range e.uses {
			added := rate*now.Sub(u.Since).Seconds() - u.Charged
			if added <= 0 {
				continue
			}
			u.Charged += added
			e.uses[slot] = u
			f(u.Organisation, added)
		}
	}
}

// firstAudit is after how long a slot's holder is first asked about it; the
// time doubles with each further question.
const firstAudit = 2 * time.Second

// DueForAudit returns the slots whose holders, other than self, are due to be
// asked whether they still hold them.
func (s *Slots) DueForAudit(self message.RouterID, now time.Time) []Allocation {
	var due []Allocation
	for slot, e := range s.uses {
		u := e.uses[slot]
		if u.Holder == self {
			continue
		}
		wait := max(firstAudit, u.audited.Sub(u.Since))
		last := u.Since
		if !u.audited.IsZero() {
			last = u.audited
		}
		if now.Sub(last) < wait {
			continue
		}
		u.audited = now
		e.uses[slot] = u
		due = append(due, u)
	}
	slices.SortFunc(due, func(a, b Allocation) int { return cmp.Compare(a.Slot, b.Slot) })
	return due
}

// InUse returns the number of slots in use.
func (s *Slots) InUse() int { return len(s.uses) }
