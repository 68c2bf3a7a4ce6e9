package balance

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

// Incarnation returns the name of the target's process, which routers use to refer to it. A
// process that restarts under the same id has lost all running requests and caches, so the
// state of two incarnations is never added up. The name is the plain id if the start time is
// unknown.
func (t Target) Incarnation() string {
	if t.Born == 0 {
		return t.ID
	}
	return t.ID + string(incarnationMark) + strconv.FormatInt(t.Born, 10)
}

// incarnationMark separates the target's id from the start time of its process.
const incarnationMark = '@'

// newTarget returns a target without any state.
func newTarget(t Target) *target {
	return &target{
		hash: rendezvous.Hash(t.ID), incarnation: t.Incarnation(), cache: prefix.NewCache(), running: map[*Ticket]struct{}{},
	}
}

// abortRunning reports to all requests running at an incarnation that it has ended.
func (t *target) abortRunning() {
	for k := range t.running {
		if lost := k.lost.Load(); lost != nil {
			(*lost)()
		}
	}
}

// OnLost sets the function to call if the process that the request was sent to turns out to
// have restarted; nil for none. The request's own goroutine sets it for each send.
func (t *Ticket) OnLost(f func()) {
	if f == nil {
		t.lost.Store(nil)
		return
	}
	t.lost.Store(&f)
}

// SetTargets replaces the list of targets. Targets that are no longer listed get no new
// requests, but those running there go on. Requests running at a target that has restarted are
// aborted.
func (s *State) SetTargets(now time.Time, list []Target) {
	known := make(map[string]*target, len(list))
	services := map[string][]*target{}
	for _, t := range list {
		old := s.targets[t.ID]
		before := Target{}
		if old != nil {
			before = old.Target
		}
		if old != nil && old.Born != t.Born {
			old.abortRunning()
			old = nil
		}
		if old == nil {
			old = newTarget(t)
			old.reported = s.advice.Find(old.incarnation)
		}
		old.Target = t
		s.extendCold(now, old, before)
		known[t.ID] = old
		services[t.Service] = append(services[t.Service], old)
	}
	for _, list := range services {
		slices.SortFunc(list, func(a, b *target) int { return compare(a.ID, b.ID) })
	}
	s.targets = known
	s.services = services
	s.advice.Prune(now, func(name string) bool { return s.findIncarnation(name) != nil })
	s.dispatch(now)
}

// findIncarnation returns the listed target with this incarnation name, or nil.
func (s *State) findIncarnation(name string) *target {
	t := s.targets[name]
	if at := strings.LastIndexByte(name, incarnationMark); t == nil && at >= 0 {
		t = s.targets[name[:at]]
	}
	if t == nil || t.incarnation != name {
		return nil
	}
	return t
}
