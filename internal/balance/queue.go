package balance

import (
	"math"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/throttle"
	"github.com/stepcroft/stepcroft/internal/view"
)

// crowds reports whether a request to engines is one too many of its
// organisation.
func (s *State) crowds(t *Ticket) bool {
	if !t.Engine {
		return false
	}
	n := 0
	for _, other := range s.queue {
		if other.Engine && other.Organisation == t.Organisation {
			n++
		}
	}
	if n < maxWaitingOne {
		return false
	}
	s.throttle.RecordQueueFull(t.Organisation)
	return true
}

// SetBusy notes which part of its cores the router used lately.
func (s *State) SetBusy(now time.Time, part, cores float64) {
	s.throttle.SetCPUUtilisation(now, part, cores, s.account(now))
}

// Throttles returns which organisations the router throttled since the last call.
func (s *State) Throttles() []throttle.Notice { return s.throttle.Notices() }

// gatesAt returns the gates that are to hold until the next tick, by organisation.
func (s *State) gatesAt(now time.Time) map[string]*throttle.Gate {
	return s.throttle.Gates(now, s.waitingOf(), s.account(now))
}

// account returns what tells an organisation's account.
func (s *State) account(now time.Time) func(organisation string) throttle.ShareStatus {
	return func(organisation string) throttle.ShareStatus {
		return throttle.ShareStatus{Served: s.hadOf(now, organisation), FairShare: s.levelAt(now), LeastServedWaiting: s.leastWaiting(now)}
	}
}

const (
	// lead is by how much, in percent, an organisation may have had more than
	// one whose requests wait here before its own have to wait too.
	lead = 15
	// farLead is how many times as much it may have had as one whose requests
	// wait at another router. What is known of those is old: at a small lead all
	// routers hold theirs back for one another while engines are idle. Twice as
	// much is unfair.
	farLead = 1.4
)

// behind reports whether a request to an engine must not pass those that
// wait, here or at other routers: its organisation had more than theirs.
func (s *State) behind(now time.Time, t *Ticket) bool {
	return t.Engine && !t.Resumes && s.leads(now, t.Organisation, s.leastWaiting(now))
}

// leads reports whether an organisation must let one go first whose requests
// wait and that had the least. One that is within its share takes nothing that
// is another's and lets nobody go first: in a large fleet some small
// organisation always waits somewhere, and all would wait for it.
func (s *State) leads(now time.Time, organisation string, least float64) bool {
	return s.over(now, organisation) && s.hadOf(now, organisation)*100 > least*(100+lead)
}

// leastWaiting returns the least that an organisation had whose requests to
// engines wait anywhere, or infinity if none waits.
func (s *State) leastWaiting(now time.Time) float64 {
	least := math.Inf(1)
	for name := range s.waitingOf() {
		least = min(least, s.hadOf(now, name))
	}
	s.others.EachOrganisation(now, func(name string, u view.Usage) {
		if u.Waiting > 0 {
			least = min(least, (s.shares.of(now, name).begun+u.Started)*farLead)
		}
	})
	return least
}

// waitingOf returns how many requests to engines wait here, by organisation.
func (s *State) waitingOf() map[string]int {
	waiting := map[string]int{}
	for _, t := range s.queue {
		if t.Engine {
			waiting[t.Organisation]++
		}
	}
	return waiting
}

// Withdraw takes a waiting request back, as when its caller has gone.
func (s *State) Withdraw(t *Ticket) {
	if i := slices.Index(s.queue, t); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// reason returns why a request has found no target.
func (s *State) reason(now time.Time, t *Ticket) Reason {
	open := slices.ContainsFunc(s.services[t.Service], func(to *target) bool { return !to.Closed(now) })
	_, rest := s.restEnd(now, t.Service, t.Tried)
	switch {
	case !open:
		return NoTarget
	case rest:
		return Resting
	case s.behind(now, t):
		return OverShare
	}
	return Full
}

// allDrained reports whether nothing can be sent to any target of a service, of which some
// stand in drained availability zones.
func (s *State) allDrained(now time.Time, service string) bool {
	drained := false
	for _, to := range s.services[service] {
		if !to.Closed(now) {
			return false
		}
		drained = drained || to.Drained
	}
	return drained
}

// unservable returns why a request cannot be sent to any of its service's targets while it
// may wait, for as long as these are the ones there are. A service without targets may get
// some any moment.
func (s *State) unservable(now time.Time, t *Ticket) (Reason, bool) {
	list := s.services[t.Service]
	if len(list) == 0 {
		return "", false
	}
	if slices.ContainsFunc(list, func(to *target) bool { return !to.Closed(now) }) {
		end, rest := s.restEnd(now, t.Service, t.Tried)
		return Resting, rest && end.After(t.expires)
	}
	if s.allDrained(now, t.Service) {
		return Drained, true
	}
	return NoTarget, true
}

// refuseUnservable refuses what waits and cannot be sent to any target.
func (s *State) refuseUnservable(now time.Time) {
	s.queue = slices.DeleteFunc(s.queue, func(t *Ticket) bool {
		why, ok := s.unservable(now, t)
		if ok {
			s.refuse(now, t, why)
		}
		return ok
	})
}

// Waiting returns the number of requests that wait for room.
func (s *State) Waiting() int { return len(s.queue) }

// dispatch sends waiting requests where there is room: those of the
// organisation that had least first, and the oldest of its requests first.
// None of an organisation that had its share passes one that waits for
// another.
func (s *State) dispatch(now time.Time) {
	if len(s.queue) == 0 || len(s.queue) > fewWaiting && now.Sub(s.dispatched) < dispatchPause {
		return
	}
	s.dispatched = now
	had := map[string]float64{}
	for _, t := range s.queue {
		if _, ok := had[t.Organisation]; !ok {
			had[t.Organisation] = s.hadOf(now, t.Organisation)
		}
	}
	slices.SortStableFunc(s.queue, func(a, b *Ticket) int {
		if d := had[a.Organisation] - had[b.Organisation]; d != 0 {
			return sign(d)
		}
		return a.Arrived.Compare(b.Arrived)
	})
	// The queue is in order, so that what goes first had the least here.
	least := s.leastWaiting(now)
	kept := s.queue[:0]
	failed := 0
	for _, t := range s.queue {
		ahead := t.Engine && !t.Resumes && s.leads(now, t.Organisation, least)
		if ahead || t.Engine && failed >= maxFailed {
			kept = append(kept, t)
			continue
		}
		if !s.assign(now, t) {
			kept = append(kept, t)
			failed++
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

func sign(d float64) int {
	if d < 0 {
		return -1
	}
	return 1
}

func (s *State) refuse(now time.Time, t *Ticket, why Reason) {
	t.Decision <- Decision{Refused: why, Waited: now.Sub(t.Arrived), RetryAfter: s.comeBack(now, t)}
}

const (
	// comeBackFull is when to come back after a refusal for want of room:
	// about the time in which engines read what they may hold unread.
	comeBackFull = 300 * time.Millisecond
	// comeBackOver is when to come back for an organisation that had its
	// share: half of a quota window.
	comeBackOver = 1500 * time.Millisecond
	// comeBackDrained is when to come back where all availability zones with targets of
	// a service are drained: that lasts seconds at least.
	comeBackDrained = 2 * time.Second
)

// comeBack returns when a refused caller should come back, spread so that
// refused callers do not return together.
func (s *State) comeBack(now time.Time, t *Ticket) time.Duration {
	if d, ok := s.RestLeft(now, t.Service); ok {
		return d
	}
	d := comeBackFull
	if s.allDrained(now, t.Service) {
		d = comeBackDrained
	} else if s.over(now, t.Organisation) {
		d = comeBackOver
	}
	return d + time.Duration(s.random.Int64N(int64(d)))
}
