package balance

import (
	"math"
	"time"

	"github.com/stepcroft/stepcroft/internal/bookings"
	"github.com/stepcroft/stepcroft/internal/returns"
	"github.com/stepcroft/stepcroft/internal/view"
)

const (
	// minReturn is the least Retry-After: by then an engine has read a prompt of usual size.
	minReturn = returns.SlotWidth
	// minReturnOverShare is the same for organisations over their share: usage decays by a seventh
	// in that time, and whatever is nearer is better left to others.
	minReturnOverShare = 300 * time.Millisecond
	// maxReturn bounds Retry-After. A caller honours it up to a third of the time that it has
	// left, so few would return later. Only the end of a back-off may be later.
	maxReturn = returns.Count * returns.SlotWidth
	// maxReturnWithinShare bounds it for organisations within their share. They would go first in
	// the queue, so they are not kept behind the bookings of others. By then as much has started as
	// engines may have pending twice, and a goal of 1 s can still be met.
	maxReturnWithinShare = 600 * time.Millisecond
	// usedEarly divides the part of its share that an organisation's early returns may take: the rest
	// is for its new requests.
	usedEarly = 2
	// maxTimeToShare bounds the wait for an organisation's share such that ten slots remain over
	// which its callers are spread.
	maxTimeToShare = maxReturn - 10*returns.SlotWidth
	// honouredPart is the part of the time left that a caller waits at most, one in honouredPart.
	honouredPart = 3
	// maxBookedFactor bounds what one report books in a slot, relative to the configured capacity. At
	// times the load exceeds the capacity several times over, and so do the bookings.
	maxBookedFactor = 8
	// maxBeganFactor bounds the starts between two reports, relative to the configured capacity over
	// a quota window. Engines may take more than is configured, and reports may be lost for some time.
	maxBeganFactor = 4
)

// returnSlots reports whether the returns of a service's refused callers are planned. They aren't for
// plain services, whose requests have no size.
func (s *State) returnSlots(service string) bool {
	if s.table == nil || !s.enabled(s.features.ReturnSlots, service) {
		return false
	}
	return s.isEngineService(service)
}

func (s *State) isEngineService(service string) bool {
	v, ok := s.table.Service(service)
	return ok && v.Engine != nil
}

// maxBooked returns the most tokens that count as booked in a slot by a router, or a zone: above the
// capacity a slot is full, and more than some multiple comes from a fault and would hide for seconds
// which slots are the least full.
func (s *State) maxBooked() float64 {
	if s.shares.Capacity() <= 0 {
		return math.Inf(1)
	}
	return maxBookedFactor * s.shares.Capacity() * returns.SlotWidth.Seconds()
}

// maxBegan returns the most tokens that other routers may have started since a report, by the
// configured capacity; more comes from a fault and would let all refused callers return at once.
func (s *State) maxBegan() float64 {
	if s.shares.Capacity() <= 0 {
		return math.Inf(1)
	}
	return maxBeganFactor * s.shares.Capacity() * s.limits.QuotaWindow.Seconds()
}

// anyReturnSlots reports whether the returns of any service's refused callers are planned.
func (s *State) anyReturnSlots() bool {
	return s.table != nil && s.features.ReturnSlots.Enabled(s.table.AnyTolerates())
}

// ReturnCounts returns how many returns were booked since the start.
func (s *State) ReturnCounts() returns.Counts { return s.returning.Counts() }

// bookReturn returns how long a refused caller should wait before it retries, and books its request
// for then.
func (s *State) bookReturn(now time.Time, t *Ticket, why Reason) time.Duration {
	earliest := minReturn
	latest := max(t.Deadline.Sub(now)/honouredPart, minReturn)
	if end, ok := s.backoffEnd(now, t.Service, nil); ok {
		earliest = max(earliest, end.Sub(now))
		if earliest > maxReturn {
			d, _ := s.BackoffLeft(now, t.Service)
			return d
		}
		return s.book(now, t, earliest, max(latest, earliest))
	}
	if s.allDrained(now, t.Service) {
		return s.book(now, t, retryAfterDrained, max(latest, retryAfterDrained))
	}
	toShare := s.timeToShare(now, t.Organisation, why)
	if toShare > latest {
		// The caller returns before its organisation is within its share, whatever it is told. It
		// is booked for when it does.
		s.book(now, t, latest-returns.SlotWidth, latest)
		return min(toShare, maxReturn-returns.SlotWidth) + time.Duration(s.random.Float64()*float64(returns.SlotWidth))
	}
	if toShare == 0 && s.returnsEarly(now, t) {
		latest = min(latest, maxReturnWithinShare)
	}
	return s.book(now, t, max(earliest, min(toShare, maxTimeToShare)), latest)
}

// returnsEarly reports whether a refused caller is to return within maxReturnWithinShare, whatever is
// booked, and counts its tokens if so: they take at most half of what its organisation has
// left of its share of what engines actually serve, and of that this router's part by demand. Without
// that bound the callers of a sudden burst, of which most is not owed, came back to up to 2.6 times
// what engines take.
func (s *State) returnsEarly(now time.Time, t *Ticket) bool {
	if t.Organisation == "" || s.shares.Capacity() <= 0 {
		return false
	}
	own, others := s.shares.Usage(now, t.Organisation), s.peers.Usage(now, t.Organisation)
	left := s.shares.Level(now).Attained - own.Served - others.Started
	if left <= 0 || usedEarly*own.Early*(own.Demand+others.Demand) > left*own.Demand {
		return false
	}
	own.Early += t.tokens()
	return true
}

func (s *State) book(now time.Time, t *Ticket, earliest, latest time.Duration) time.Duration {
	return s.returning.BookUntil(now, t.Service, t.tokens(), earliest, latest, s.random.Float64())
}

// timeToShare returns the time after which what an organisation was served has decayed to its share,
// or 0 if it is within it. A request refused in favour of others counts by the share of what engines
// actually served, which is less than the configured one while engines are down.
func (s *State) timeToShare(now time.Time, organisation string, why Reason) time.Duration {
	ratio := s.shares.Ratio(now, organisation)
	if why == OverShare {
		ratio = s.shares.Served(now, organisation) / max(s.shares.Level(now).Attained, 1)
	}
	if ratio <= 1 {
		return 0
	}
	d := time.Duration(math.Log(ratio) * float64(s.limits.QuotaWindow) / 2)
	return min(max(d, minReturnOverShare), maxReturn)
}

// recordBegan records tokens that this router sent, or took back as the engine did not run them.
func (s *State) recordBegan(now time.Time, t *Ticket, tokens float64) {
	if t.Engine && s.returnSlots(t.Service) {
		s.returning.Began(now, t.Service, tokens)
	}
}

// applyReturns applies the bookings of another router's report, and what it has started since the
// last one.
func (s *State) applyReturns(now time.Time, router string, r view.Report) {
	if !s.anyReturnSlots() {
		return
	}
	running := map[string]int{}
	for id, l := range r.Loads {
		if t := s.findIncarnation(id); t != nil && l.Running > 0 && s.isEngineService(t.Service) {
			running[t.Service] += l.Running
		}
	}
	s.returning.ApplyReport(now, router, r, running, bookings.Bounds{Planned: s.returnSlots, Booked: s.maxBooked(), Began: s.maxBegan()})
}
