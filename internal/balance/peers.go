package balance

import (
	"maps"
	"time"

	"github.com/stepcroft/stepcroft/internal/view"
)

// OnLongPrompt sets a function that is called at once when a long prompt is sent. It gets the
// target, this router's load on it and the load that the request added.
func (s *State) OnLongPrompt(f func(target string, now, added view.Load)) { s.onLongPrompt = f }

// SetPeers sets how many other routers are believed to be running, and how many of those
// serve callers.
func (s *State) SetPeers(running, serving int) {
	s.runningPeers, s.servingPeers = running, serving
	s.shares.SetServingPeers(serving)
	s.returning.SetServingPeers(serving)
}

// routers returns the number of routers in the fleet.
func (s *State) routers() int { return max(s.runningPeers, s.peers.RouterCount()) + 1 }

// SetReportPeriod sets the interval between two reports of a router.
func (s *State) SetReportPeriod(d time.Duration) { s.peers.SetPeriod(d) }

// ApplyReport applies a report received from another router.
func (s *State) ApplyReport(now time.Time, router string, r view.Report) {
	r.Usage = s.validUsage(r.Usage)
	s.peers.UpdateReport(now, router, r)
	s.applyReturns(now, router, r)
	s.speeds.SetPeer(now, router, r.Speeds)
	for id, parts := range r.SharedParts {
		if t := s.findIncarnation(id); t != nil {
			s.use(now, t).cache.AddRemote(now, parts)
			s.noteParts(now, t, parts...)
		}
	}
	s.dispatch(now)
}

// validUsage returns the valid entries of a report's usage, and counts the others.
func (s *State) validUsage(reported map[string]view.Usage) map[string]view.Usage {
	valid := reported
	for name, u := range reported {
		if u.Valid() {
			continue
		}
		if s.invalidUsage++; len(valid) == len(reported) {
			valid = maps.Clone(reported)
		}
		delete(valid, name)
	}
	return valid
}

// InvalidUsage returns how many invalid usages of organisations other routers have reported.
func (s *State) InvalidUsage() int64 { return s.invalidUsage }

// ForgetPeer removes everything that another router reported.
func (s *State) ForgetPeer(now time.Time, router string) {
	s.peers.Remove(now, router)
	s.returning.Forget(now, router)
	s.speeds.RemovePeer(router)
}

// SetPeerLoad sets the load that another router's requests put on a target. It replaces the
// one in that router's last report.
func (s *State) SetPeerLoad(now time.Time, router, target string, l view.Load) {
	s.peers.UpdateLoad(now, router, target, l)
}

// AddPeerLoad adds a request's load on a target to that of another router, or to the sum of
// several routers that is kept under name.
func (s *State) AddPeerLoad(now time.Time, name, target string, l view.Load) {
	s.peers.AddLoad(now, name, target, l)
}

// Report returns the report to send to the other routers. Of the cached prompt parts it
// contains only those that are due to be announced, not those in recent reports.
func (s *State) Report(now time.Time) view.Report {
	r := view.Report{Loads: map[string]view.Load{}, Usage: map[string]view.Usage{}, SharedParts: map[string][]string{}}
	for t := range s.active {
		if t.localLoad.Running > 0 {
			r.Loads[t.incarnation] = t.localLoad
		}
		if parts := t.cache.TakeAnnouncements(); len(parts) > 0 {
			r.SharedParts[t.incarnation] = parts
		}
	}
	r.Returns = s.returning.Report(now)
	waiting := s.reportedWaiting(now)
	for name := range s.shares.Organisations() {
		c := s.shares.Usage(now, name)
		if c.Demand >= 1 || c.Served >= 1 || s.anyForecasts() && (c.Unread >= 1 || waiting[name] > 0) {
			r.Usage[name] = view.Usage{Demand: c.Demand, Started: c.Served, Waiting: waiting[name]}
			continue
		}
		s.shares.Forget(name)
	}
	if r.Active() { // Other reports may not be sent.
		r.Speeds = s.speeds.Take(now)
	}
	return r
}

// loadOf returns the known load of all routers on a target.
func (s *State) loadOf(now time.Time, t *target) view.Load {
	others, _ := s.peers.Load(now, t.incarnation)
	return t.localLoad.Plus(others)
}
