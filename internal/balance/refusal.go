package balance

import (
	"slices"
	"time"
)

// refusalReason returns why no target was found for a request.
func (s *State) refusalReason(now time.Time, t *Ticket) Reason {
	open := slices.ContainsFunc(s.targetsOf(t.Service), func(to *target) bool { return s.isOpen(now, t, to) })
	_, backingOff := s.backoffEnd(now, t.Service, t.Tried)
	switch {
	case !open && s.anyOpen(now, t.Service):
		return noAllowedTarget(t)
	case !open:
		return NoTarget
	case backingOff:
		return BackingOff
	case s.mustQueue(now, t):
		return OverShare
	}
	return Full
}

// allDrained reports whether no target of a service takes requests and at least one of them
// is in a drained availability zone.
func (s *State) allDrained(now time.Time, service string) bool {
	drained := false
	for _, to := range s.targetsOf(service) {
		if !to.Closed(now) {
			return false
		}
		drained = drained || to.Drained
	}
	return drained
}

// unservable returns the reason if none of the service's current targets can take a request
// before its wait ends. A service without any targets may get some at any moment, so its
// requests wait.
func (s *State) unservable(now time.Time, t *Ticket) (Reason, bool) {
	list := s.targetsOf(t.Service)
	if len(list) == 0 {
		return "", false
	}
	if slices.ContainsFunc(list, func(to *target) bool { return s.isOpen(now, t, to) }) {
		end, backingOff := s.backoffEnd(now, t.Service, t.Tried)
		return BackingOff, backingOff && end.After(t.expires)
	}
	switch {
	case s.allDrained(now, t.Service):
		return Drained, true
	case s.anyOpen(now, t.Service):
		return noAllowedTarget(t), true
	}
	return NoTarget, true
}

// noAllowedTarget returns the reason for refusing t where it may not be sent to any open target.
func noAllowedTarget(t *Ticket) Reason {
	if t.Version.IsSet() {
		return NoTargetOfVersion
	}
	return NoAllowedTarget
}

// anyOpen reports whether any target of a service takes requests.
func (s *State) anyOpen(now time.Time, service string) bool {
	return slices.ContainsFunc(s.targetsOf(service), func(to *target) bool { return !to.Closed(now) })
}

// refuseUnservable refuses all waiting requests that none of the current targets can take.
func (s *State) refuseUnservable(now time.Time) {
	s.queue = slices.DeleteFunc(s.queue, func(t *Ticket) bool {
		why, ok := s.unservable(now, t)
		if ok {
			s.refuse(now, t, why)
		}
		return ok
	})
}

func (s *State) refuse(now time.Time, t *Ticket, why Reason) {
	if t.isSecond {
		// No caller is told to come back.
		t.Decision <- Decision{Refused: why, Waited: now.Sub(t.Arrived)}
		return
	}
	t.Decision <- Decision{Refused: why, Waited: now.Sub(t.Arrived), RetryAfter: s.retryAfter(now, t, why)}
}

const (
	// retryAfterFull is the Retry-After of requests that were refused for lack of room. It is
	// about the time in which engines read all the prompt tokens that they may have pending.
	retryAfterFull = 300 * time.Millisecond
	// retryAfterOverShare is the Retry-After of organisations over their share: half a quota
	// window.
	retryAfterOverShare = 1500 * time.Millisecond
	// retryAfterDrained is the Retry-After where all availability zones with targets of a
	// service are drained, which lasts seconds at least.
	retryAfterDrained = 2 * time.Second
)

// retryAfter returns how long a refused caller should wait before it retries, with jitter so
// that refused callers do not retry together.
func (s *State) retryAfter(now time.Time, t *Ticket, why Reason) time.Duration {
	// Without a target that the request may use, no capacity is short, and none is to be kept free.
	if why != NoTarget && why != NoAllowedTarget && why != NoTargetOfVersion && t.Engine && s.returnSlots(t.Service) {
		return s.bookReturn(now, t, why)
	}
	if d, ok := s.BackoffLeft(now, t.Service); ok {
		return d
	}
	d := retryAfterFull
	if s.allDrained(now, t.Service) {
		d = retryAfterDrained
	} else if s.shares.Exceeds(now, t.Organisation) {
		d = retryAfterOverShare
	}
	return d + time.Duration(s.random.Int64N(int64(d)))
}
