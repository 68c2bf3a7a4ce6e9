package balance

import (
	"slices"
	"time"
)

// exceedsWaitingLimit reports whether an organisation already has as many requests to engines
// waiting as it may, so that another one must be refused. It also counts the refusal for
// throttling. Second sends take no place: their number is bounded by that of running requests.
func (s *State) exceedsWaitingLimit(now time.Time, t *Ticket) bool {
	if !t.Engine {
		return false
	}
	n := s.forecasts.refused.Count(now, t.Organisation)
	for _, other := range s.queue {
		if other.Engine && !other.isSecond && other.Organisation == t.Organisation {
			n++
		}
	}
	if n < maxWaitingPerOrganisation {
		return false
	}
	s.throttle.RecordQueueFull(t.Organisation)
	return true
}

// Withdraw removes a waiting request from the queue, for example when its caller has gone.
func (s *State) Withdraw(t *Ticket) {
	if i := slices.Index(s.queue, t); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// Waiting returns the number of waiting requests.
func (s *State) Waiting() int { return len(s.queue) }

// dispatch sends waiting requests to targets with room. The organisation that was served least
// goes first, and within it the request that setOrder puts first. A request of an organisation over
// its share does not overtake another organisation's waiting request.
func (s *State) dispatch(now time.Time) {
	if len(s.queue) == 0 || len(s.queue) > eagerDispatchLength && now.Sub(s.lastDispatch) < dispatchInterval {
		return
	}
	s.lastDispatch = now
	served, mixed := map[string]float64{}, s.mixed(nil)
	for _, t := range s.queue {
		if _, ok := served[t.Organisation]; !ok {
			served[t.Organisation] = s.shares.Served(now, t.Organisation)
		}
		s.setOrder(now, t, mixed[t.Organisation])
	}
	slices.SortStableFunc(s.queue, func(a, b *Ticket) int { return compareOrder(served, a, b) })
	// The queue is sorted now, the least served organisation first. maxLead also takes requests
	// into account that wait at other routers.
	maxLead := map[bool]float64{}
	for _, unmetOnly := range []bool{false, true} {
		if slices.ContainsFunc(s.queue, func(t *Ticket) bool { return s.forecasted(t) == unmetOnly }) {
			maxLead[unmetOnly] = s.recentMaxLead(now, unmetOnly)
		}
	}
	waiting := s.queue[:0]
	failed := 0
	for _, t := range s.queue {
		yields := t.Engine && !t.Resumes && s.exceedsLead(now, t.Organisation, maxLead[s.forecasted(t)])
		if yields || t.Engine && failed >= maxFailedPlacements {
			waiting = append(waiting, t)
			continue
		}
		if !s.assign(now, t) {
			waiting = append(waiting, t)
			failed++
			continue
		}
		s.recordWait(now, t, true)
	}
	clear(s.queue[len(waiting):])
	s.queue = waiting
}

// compareOrder compares two waiting requests by which one goes first: that of the organisation that
// was served less, and within an organisation by setOrder.
func compareOrder(served map[string]float64, a, b *Ticket) int {
	if d := served[a.Organisation] - served[b.Organisation]; d != 0 {
		return sign(d)
	}
	if a.late != b.late {
		if b.late {
			return -1
		}
		return 1
	}
	return a.due.Compare(b.due)
}

func sign(d float64) int {
	if d < 0 {
		return -1
	}
	return 1
}
