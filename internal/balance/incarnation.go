package balance

import (
	"strconv"
	"strings"
	"time"

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
	return &target{hash: rendezvous.Hash(t.ID), incarnation: t.Incarnation(), activity: noActivity}
}

// abort reports that the process that the request was sent to has ended.
func (t *Ticket) abort() {
	if lost := t.lost.Load(); lost != nil {
		(*lost)()
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
	listed := make(map[string]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
	}
	var removed []string
	for id := range s.targets {
		if !listed[id] {
			removed = append(removed, id)
		}
	}
	s.ChangeTargets(now, list, removed)
}

// ChangeTargets is SetTargets for a list that differs from the last one only in some targets:
// those that were added or changed, and the ids of those that were removed.
func (s *State) ChangeTargets(now time.Time, changed []Target, removed []string) {
	for _, id := range removed {
		if t := s.targets[id]; t != nil {
			s.unlist(now, t)
		}
	}
	added := map[string][]*target{}
	for _, t := range changed {
		old := s.targets[t.ID]
		before := Target{}
		if old != nil {
			before = old.Target
		}
		switch {
		case old == nil:
		case old.Born != t.Born:
			s.passRunning(now, old, t)
			s.unlist(now, old)
			old = nil
		case old.Service != t.Service || old.Zone != t.Zone:
			if old.Service != t.Service {
				s.forgetService(old)
			}
			s.removeFromService(old)
			added[t.Service] = append(added[t.Service], old)
		}
		if old == nil {
			old = newTarget(t)
			old.reported = s.advice.Find(old.incarnation)
			s.targets[t.ID] = old
			added[t.Service] = append(added[t.Service], old)
		}
		s.leaving += count(t.Leaving) - count(old.Target.Leaving)
		s.addVersion(now, t)
		if old.Target.ID != "" {
			s.removeVersion(now, old.Target)
		}
		s.confirm(t)
		old.Target = t
		if before.Drained && !t.Drained {
			s.NoteDrainEnd(t.Zone)
		}
		s.extendCold(now, old, before)
	}
	for service, list := range added {
		s.addToService(service, list)
	}
	s.advice.Prune(now, func(name string) bool { return s.findIncarnation(name) != nil })
	s.dispatch(now)
	if !s.listed && len(changed) > 0 {
		s.listed = true
		s.noteOpen(now)
	}
}

// forgetService forgets what a target took for requests to its service, which says nothing about another one.
func (s *State) forgetService(t *target) {
	s.speeds.Discard(t.incarnation)
	if t.activity != noActivity {
		t.serviceTime = 0
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// unlist removes a target from the list.
func (s *State) unlist(now time.Time, t *target) {
	s.removeVersion(now, t.Target)
	s.leaving -= count(t.Target.Leaving)
	delete(s.targets, t.ID)
	delete(s.active, t)
	delete(s.cold, t)
	s.speeds.Discard(t.incarnation)
	s.removeFromService(t)
}

// CountTargets returns the number of listed targets, and how many of them are leaving.
func (s *State) CountTargets() (all, leaving int) { return len(s.targets), s.leaving }

// cutIncarnation returns the parts of an incarnation's name, or false if it does not tell when the process started.
func cutIncarnation(name string) (id string, born int64, ok bool) {
	at := strings.LastIndexByte(name, incarnationMark)
	if at < 0 {
		return "", 0, false
	}
	born, err := strconv.ParseInt(name[at+1:], 10, 64)
	return name[:at], born, err == nil
}

// findIncarnation returns the listed target with this incarnation name, or nil.
func (s *State) findIncarnation(name string) *target {
	t := s.targets[name]
	if id, _, ok := cutIncarnation(name); t == nil && ok {
		t = s.targets[id]
	}
	if t == nil || t.incarnation != name {
		return nil
	}
	return t
}
