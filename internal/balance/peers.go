package balance

import (
	"maps"
	"math"
	"time"

	"github.com/stepcroft/stepcroft/internal/view"
)

const (
	// notifyThreshold is the number of tokens to read from which a request is announced to the
	// other routers at once, rather than with the next report. Such a request keeps an engine
	// reading for tens of milliseconds, and requests that other routers send there meanwhile
	// wait behind it. Announcing it cut the 95th percentile of the time to the first event,
	// beyond what the known pending tokens explain, from 139 to 52 ms under normal and from
	// 225 to 86 ms under high load (8 routers).
	notifyThreshold = 1000
	// maxNotifyRate is the number of such messages a second that a router should receive, from
	// all routers that serve callers. At about 20 microseconds each they take half a percent
	// of a core. Beyond, only the longest prompts are announced.
	maxNotifyRate = 250
	// minNotifyRate is the number of such messages a second below which a router's part of
	// maxNotifyRate is too small to be of use: in a large fleet none are sent.
	minNotifyRate = 2
	// maxNotifyThreshold is the number of tokens from which a request is still announced once
	// the router's part of maxNotifyRate is used up.
	maxNotifyThreshold = 40_000
)

// notifyLimiter limits the rate of announcements: the threshold rises from notifyThreshold to
// maxNotifyThreshold as the router's allowance is used up.
type notifyLimiter struct {
	// remaining is the unused part of the router's allowance, from 0 to 1. It refills within a
	// second.
	remaining float64
	updatedAt time.Time
}

// allow reports whether a request that makes a target read this many tokens is to be announced,
// and counts it if so. routers is the number of routers that announce requests to each other.
func (n *notifyLimiter) allow(now time.Time, tokens, routers int) bool {
	n.remaining = min(n.remaining+now.Sub(n.updatedAt).Seconds(), 1)
	n.updatedAt = now
	if routers > maxNotifyRate/minNotifyRate {
		return false
	}
	if float64(tokens) < notifyThreshold*math.Pow(maxNotifyThreshold/notifyThreshold, 1-n.remaining) {
		return false
	}
	n.remaining = max(n.remaining-float64(routers)/maxNotifyRate, 0)
	return true
}

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
