package balance

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

// Incarnation names the target's process, by which routers tell one another of it: one
// that starts again under its id holds and knows nothing of before, and what is
// believed of two incarnations is never added up. A target that does not say when it
// started has its id.
func (t Target) Incarnation() string {
	if t.Born == 0 {
		return t.ID
	}
	return t.ID + string(incarnationMark) + strconv.FormatInt(t.Born, 10)
}

// incarnationMark stands between a target's id and when it started.
const incarnationMark = '@'

// newTarget returns a target of which nothing is known yet.
func newTarget(t Target) *target {
	return &target{
		hash: rendezvous.Hash(t.ID), name: t.Incarnation(), cache: prefix.NewCache(), running: map[*Ticket]struct{}{},
	}
}

// restarted ends what runs at an incarnation of a target that is over.
func (t *target) restarted() {
	for k := range t.running {
		if lost := k.lost.Load(); lost != nil {
			(*lost)()
		}
	}
}

// OnLost sets what is called where the process to which the request was sent turns
// out to have ended and started again; nil for nothing. The request's own goroutine
// sets it for each send.
func (t *Ticket) OnLost(f func()) {
	if f == nil {
		t.lost.Store(nil)
		return
	}
	t.lost.Store(&f)
}

// SetTargets replaces the list of targets. Requests that run at a target that is
// not in it go on there; no more are sent. Those at a target that has started again
// have ended.
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
			old.restarted()
			old = nil
		}
		if old == nil {
			old = newTarget(t)
			old.said = s.advice.Find(old.name)
		}
		old.Target = t
		s.cooled(now, old, before)
		known[t.ID] = old
		services[t.Service] = append(services[t.Service], old)
	}
	for _, list := range services {
		slices.SortFunc(list, func(a, b *target) int { return compare(a.ID, b.ID) })
	}
	s.targets = known
	s.services = services
	s.advice.Prune(now, func(name string) bool { return s.alive(name) != nil })
	s.dispatch(now)
}

// alive returns the target whose incarnation has a name, nil if it is over or not
// known.
func (s *State) alive(name string) *target {
	t := s.targets[name]
	if at := strings.LastIndexByte(name, incarnationMark); t == nil && at >= 0 {
		t = s.targets[name[:at]]
	}
	if t == nil || t.name != name {
		return nil
	}
	return t
}
