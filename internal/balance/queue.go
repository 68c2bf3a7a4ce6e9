package balance

import (
	"math"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/throttle"
	"github.com/stepcroft/stepcroft/internal/view"
)

// exceedsWaitingLimit reports whether an organisation already has as many requests to engines
// waiting as it may, so that another one must be refused. It also counts the refusal for
// throttling.
func (s *State) exceedsWaitingLimit(t *Ticket) bool {
	if !t.Engine {
		return false
	}
	n := 0
	for _, other := range s.queue {
		if other.Engine && other.Organisation == t.Organisation {
			n++
		}
	}
	if n < maxWaitingPerOrganisation {
		return false
	}
	s.throttle.RecordQueueFull(t.Organisation)
	return true
}

// SetCPUUtilisation records the fraction of its cores that the router used lately.
func (s *State) SetCPUUtilisation(now time.Time, utilisation, cores float64) {
	s.throttle.SetCPUUtilisation(now, utilisation, cores, s.shareStatusAt(now))
}

// ThrottleNotices returns which organisations the router throttled since the last call.
func (s *State) ThrottleNotices() []throttle.Notice { return s.throttle.Notices() }

// gatesAt returns the admission gates that apply until the next tick, by organisation.
func (s *State) gatesAt(now time.Time) map[string]*throttle.Gate {
	return s.throttle.Gates(now, s.waitingByOrganisation(), s.shareStatusAt(now))
}

// shareStatusAt returns a function that looks up an organisation's share status.
func (s *State) shareStatusAt(now time.Time) func(organisation string) throttle.ShareStatus {
	return func(organisation string) throttle.ShareStatus {
		least := math.Inf(1)
		s.eachWaiting(now, func(served float64, _ bool) { least = min(least, served) })
		return throttle.ShareStatus{Served: s.served(now, organisation), FairShare: s.fairShare(now), LeastServedWaiting: least}
	}
}

const (
	// leadPercent is how much more, in percent, an organisation over its share may have been
	// served than one with requests waiting here. Beyond that its own requests must wait too.
	leadPercent = 15
	// remoteLeadFactor is the same limit, as a factor, relative to organisations with requests
	// waiting at other routers. Reports on those are old: with a small limit all routers hold
	// back requests in favour of one another while engines are idle. A factor of 2 is unfair.
	remoteLeadFactor = 1.4
)

// mustQueue reports whether a request to an engine must not overtake those waiting, here or at
// other routers, because its organisation was served more than theirs.
func (s *State) mustQueue(now time.Time, t *Ticket) bool {
	return t.Engine && !t.Resumes && s.overAttainedShare(now, t.Organisation) && s.exceedsLead(now, t.Organisation, s.maxLead(now))
}

// exceedsLead reports whether an organisation must let others go first, because it was served more
// than maxLead. An organisation within its share takes nothing from others and need not wait for
// them: in a large fleet some small organisation always has requests waiting somewhere, and all
// others would wait for it.
func (s *State) exceedsLead(now time.Time, organisation string, maxLead float64) bool {
	return s.overAttainedShare(now, organisation) && s.served(now, organisation) > maxLead
}

// maxLead returns the most that an organisation over its share may have been served without
// having to let those go first that wait, or infinity if no request waits.
func (s *State) maxLead(now time.Time) float64 {
	limit := math.Inf(1)
	s.eachWaiting(now, func(served float64, here bool) {
		if here {
			limit = min(limit, served*(100+leadPercent)/100)
			return
		}
		limit = min(limit, served*remoteLeadFactor)
	})
	return limit
}

// eachWaiting calls f for each organisation with waiting requests to engines, with what it was
// served, and whether requests wait at this router. It is called twice if they also wait at others.
func (s *State) eachWaiting(now time.Time, f func(served float64, here bool)) {
	for name := range s.waitingByOrganisation() {
		f(s.served(now, name), true)
	}
	s.peers.EachOrganisation(now, func(name string, u view.Usage) {
		if u.Waiting > 0 {
			f(s.shares.usageOf(now, name).served+u.Started, false)
		}
	})
}

// waitingByOrganisation returns the number of requests to engines that wait here.
func (s *State) waitingByOrganisation() map[string]int {
	waiting := map[string]int{}
	for _, t := range s.queue {
		if t.Engine {
			waiting[t.Organisation]++
		}
	}
	return waiting
}

// Withdraw removes a waiting request from the queue, for example when its caller has gone.
func (s *State) Withdraw(t *Ticket) {
	if i := slices.Index(s.queue, t); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// refusalReason returns why no target was found for a request.
func (s *State) refusalReason(now time.Time, t *Ticket) Reason {
	open := slices.ContainsFunc(s.targetsOf(t.Service), func(to *target) bool { return s.isOpen(now, t, to) })
	_, backingOff := s.backoffEnd(now, t.Service, t.Tried)
	switch {
	case !open && s.anyOpen(now, t.Service):
		return NoAllowedTarget
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
		return NoAllowedTarget, true
	}
	return NoTarget, true
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

// Waiting returns the number of waiting requests.
func (s *State) Waiting() int { return len(s.queue) }

// dispatch sends waiting requests to targets with room. The organisation that was served least
// goes first, and its oldest request first. A request of an organisation over its share does
// not overtake another organisation's waiting request.
func (s *State) dispatch(now time.Time) {
	if len(s.queue) == 0 || len(s.queue) > eagerDispatchLength && now.Sub(s.lastDispatch) < dispatchInterval {
		return
	}
	s.lastDispatch = now
	served := map[string]float64{}
	for _, t := range s.queue {
		if _, ok := served[t.Organisation]; !ok {
			served[t.Organisation] = s.served(now, t.Organisation)
		}
	}
	slices.SortStableFunc(s.queue, func(a, b *Ticket) int {
		if d := served[a.Organisation] - served[b.Organisation]; d != 0 {
			return sign(d)
		}
		return a.Arrived.Compare(b.Arrived)
	})
	// The queue is sorted now, the least served organisation first. maxLead also takes requests
	// into account that wait at other routers.
	maxLead := s.maxLead(now)
	waiting := s.queue[:0]
	failed := 0
	for _, t := range s.queue {
		yields := t.Engine && !t.Resumes && s.exceedsLead(now, t.Organisation, maxLead)
		if yields || t.Engine && failed >= maxFailedPlacements {
			waiting = append(waiting, t)
			continue
		}
		if !s.assign(now, t) {
			waiting = append(waiting, t)
			failed++
		}
	}
	clear(s.queue[len(waiting):])
	s.queue = waiting
}

func sign(d float64) int {
	if d < 0 {
		return -1
	}
	return 1
}

func (s *State) refuse(now time.Time, t *Ticket, why Reason) {
	t.Decision <- Decision{Refused: why, Waited: now.Sub(t.Arrived), RetryAfter: s.retryAfter(now, t)}
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
func (s *State) retryAfter(now time.Time, t *Ticket) time.Duration {
	if d, ok := s.BackoffLeft(now, t.Service); ok {
		return d
	}
	d := retryAfterFull
	if s.allDrained(now, t.Service) {
		d = retryAfterDrained
	} else if s.overShare(now, t.Organisation) {
		d = retryAfterOverShare
	}
	return d + time.Duration(s.random.Int64N(int64(d)))
}
