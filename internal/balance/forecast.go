package balance

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/pace"
	"github.com/stepcroft/stepcroft/internal/waiting"
)

// metPercent is the part of its recent demand, in percent, from which on an organisation's demand
// counts as met. A fifth is refused now and then under bursts and served when the callers return;
// engines should not be idle for that.
const metPercent = 80

// forecasts predicts which requests would wait in vain.
type forecasts struct {
	forecast *waiting.Forecast
	// refused has the requests that were refused early and count as waiting, counts their number
	// since the start by reason.
	refused waiting.Refused
	counts  map[Reason]int64
}

func newForecasts() forecasts {
	return forecasts{forecast: waiting.New(), counts: map[Reason]int64{}}
}

// forecasted reports whether forecasts apply to a request. They don't to plain services, nor to
// requests that overtake all others.
func (s *State) forecasted(t *Ticket) bool {
	return t.Engine && !t.Resumes && s.enabled(s.features.WaitForecasts, t.Service)
}

// refuseEarly refuses a request that would have to wait, and almost certainly in vain. It returns
// whether it did. A request that was accepted before goes on waiting: its caller has lost time to a
// target's failure already, and the retry budget allowed another attempt.
func (s *State) refuseEarly(now time.Time, t *Ticket) bool {
	t.class, t.exempt = waiting.Class{}, false
	if t.isSecond || !s.forecasted(t) {
		return false
	}
	t.class = s.classIfQueued(now, t)
	if t.again || len(t.Tried) > 0 {
		return false
	}
	if !s.forecasts.forecast.Refuse(now, t.class) {
		t.exempt = s.forecasts.forecast.Exempt(t.class)
		return false
	}
	why := s.refusalReason(now, t)
	s.forecasts.counts[why]++
	s.forecasts.refused.Add(t.Organisation, t.expires, maxWaitingPerOrganisation)
	s.refuse(now, t, why)
	return true
}

// classIfQueued returns the class of a request that would be queued now.
func (s *State) classIfQueued(now time.Time, t *Ticket) waiting.Class {
	return waiting.Class{Service: t.Service, OverShare: s.shares.ExceedsAttained(now, t.Organisation), Place: s.placeInQueue(now, t)}
}

// recordWait records the end of a request's wait for forecasts.
func (s *State) recordWait(now time.Time, t *Ticket, placed bool) {
	if t.exempt && placed {
		s.forecasts.forecast.Reset(t.class)
	}
	if t.class.Service != "" {
		s.forecasts.forecast.Record(now, t.class, placed)
	}
}

// RefusedByForecast calls f for each reason for which requests were refused without a wait, with
// their number since the start.
func (s *State) RefusedByForecast(f func(why Reason, count int64)) {
	for why, n := range s.forecasts.counts {
		f(why, n)
	}
}

// placeInQueue returns how many of the service's waiting requests go before a new one.
func (s *State) placeInQueue(now time.Time, t *Ticket) int {
	served := map[string]float64{t.Organisation: s.shares.Served(now, t.Organisation)}
	s.setOrder(now, t, s.mixed(t)[t.Organisation])
	n := 0
	for _, other := range s.queue {
		if other.Service != t.Service {
			continue
		}
		if _, ok := served[other.Organisation]; !ok {
			served[other.Organisation] = s.shares.Served(now, other.Organisation)
		}
		if compareOrder(served, other, t) <= 0 {
			n++
		}
	}
	return n
}

// setOrder sets the place of a request within its organisation. With forecasts, the request whose
// goal ends first goes first, behind those that can meet their goals if it can't itself: what it
// gets is of little worth, whereas the others still lose by waiting. Otherwise, or if byArrival is
// set, the oldest goes first.
func (s *State) setOrder(now time.Time, t *Ticket, byArrival bool) {
	t.due, t.late = t.Arrived, false
	if byArrival || !s.forecasted(t) {
		return
	}
	t.due = t.Arrived.Add(t.Goal)
	t.late = now.Add(s.pace(t.Service).Predict(pace.Work{Uncached: ownTokens(t)})).After(t.due)
}

// hasUnmetDemand reports whether an organisation was recently served much less than it asked for,
// by all routers. What this router refused before it was read counts as asked for, at the mean size
// of the requests that were read: an organisation at one small box would otherwise seem to be
// content with the little that the box reads.
func (s *State) hasUnmetDemand(now time.Time, organisation string) bool {
	own, others := s.shares.Usage(now, organisation), s.peers.Usage(now, organisation)
	if own.Requests <= 0 && own.Unread > 0 {
		return true
	}
	asked := own.Demand + others.Demand
	if own.Requests > 0 {
		asked += own.Demand / own.Requests * own.Unread
	}
	return own.Served+others.Started < asked*metPercent/100
}

// neglected returns the organisations that have a request waiting for a service for which this router
// started none of theirs within the quota window, while it started others of theirs. Their demand
// there is unmet, however much of the whole is met.
func (s *State) neglected(now time.Time) map[string]bool {
	out := map[string]bool{}
	for _, t := range s.queue {
		if !s.forecasted(t) || out[t.Organisation] {
			continue
		}
		here, elsewhere := false, false
		for service, at := range s.shares.Usage(now, t.Organisation).StartedAt {
			recent := now.Sub(at) < s.limits.QuotaWindow
			here = here || recent && service == t.Service
			elsewhere = elsewhere || recent && service != t.Service
		}
		if elsewhere && !here {
			out[t.Organisation] = true
		}
	}
	return out
}

// reportedWaiting returns how many requests of each organisation wait, as other routers are to know
// it: they let those organisations go first. With forecasts only unmet demand counts.
func (s *State) reportedWaiting(now time.Time) map[string]int {
	// counted starts with the neglected ones, which count in any case.
	counted := s.neglected(now)
	counts := func(organisation string) bool {
		unmet, ok := counted[organisation]
		if !ok {
			unmet = s.hasUnmetDemand(now, organisation)
			counted[organisation] = unmet
		}
		return unmet
	}
	n := map[string]int{}
	for _, t := range s.queue {
		if t.Engine && (!s.forecasted(t) || counts(t.Organisation)) {
			n[t.Organisation]++
		}
	}
	s.forecasts.refused.Each(now, func(name string, refused int) {
		if counts(name) {
			n[name] += refused
		}
	})
	// What is refused unread may be for any service.
	filtered := s.allForecasts()
	for name := range s.shares.Organisations() {
		if rejected := s.throttle.RejectedLastTick(name); rejected > 0 && (!filtered || counts(name)) {
			n[name] += rejected
		}
	}
	return n
}

// allForecasts reports whether forecasts apply to all services with streams.
func (s *State) allForecasts() bool {
	return s.features.WaitForecasts.Enabled(s.table != nil && s.table.AllTolerate())
}

// mixed returns the organisations with requests waiting, beside a new one if there is any, both for
// services with forecasts and for others. Their requests go by arrival: the ends of goals would always
// put those for other services first.
func (s *State) mixed(added *Ticket) map[string]bool {
	if s.allForecasts() || !s.anyForecasts() {
		return nil
	}
	// Whether forecasts apply to the first request found of an organisation.
	first, out := map[string]bool{}, map[string]bool{}
	add := func(t *Ticket) {
		on := s.enabled(s.features.WaitForecasts, t.Service)
		if seen, ok := first[t.Organisation]; ok {
			out[t.Organisation] = out[t.Organisation] || seen != on
			return
		}
		first[t.Organisation] = on
	}
	for _, t := range s.queue {
		add(t)
	}
	if added != nil {
		add(added)
	}
	return out
}

// anyForecasts reports whether forecasts apply to any service.
func (s *State) anyForecasts() bool {
	if s.table == nil {
		return s.features.WaitForecasts.Enabled(false)
	}
	return s.features.WaitForecasts.Enabled(s.table.AnyTolerates())
}
