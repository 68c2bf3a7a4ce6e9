// Package loadreport has the routers of a fleet that serve callers tell one another the load that their requests put on
// targets: directly, and in large fleets as sums of availability zones.
package loadreport

import (
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/rollout"
	"github.com/stepcroft/stepcroft/internal/roster"
	"github.com/stepcroft/stepcroft/internal/view"
	"github.com/stepcroft/stepcroft/internal/zonesum"
)

const (
	// reportPeriod is the least interval between load reports that serving routers send one
	// another: a third of the time in which engines work off the largest prefill backlog that
	// they may have.
	reportPeriod = 100 * time.Millisecond
	// periodPerPeer times the number of receivers is the interval in larger fleets, so that a
	// router sends and receives no more than some 100 reports a second.
	periodPerPeer = 10 * time.Millisecond
	// sumPeriod is the interval between a zone's sums: half of the time in which engines work
	// off the largest prefill backlog that they may have.
	sumPeriod = 200 * time.Millisecond
	// sumTTL is how long after a zone's sum direct reports of its routers are ignored, since
	// the sum includes them: two and a half sums, as one may be late.
	sumTTL = 500 * time.Millisecond
)

// Roster has the routers of the fleet. It is implemented by roster.Roster.
type Roster interface {
	Self() message.RouterRecord
	Serving(now time.Time) []message.RouterRecord
	Zone(id message.RouterID) string
	CountOthers(now time.Time) int
}

// Sender sends messages to other routers.
type Sender interface {
	// Send sends a message as a datagram if it is small enough, SendOnStream on a stream.
	Send(to member.Member, m message.Message)
	SendOnStream(to member.Member, m message.Message)
	SendAll(to []member.Member, m message.Message)
}

// Rollouts has the results of roll-outs, which reports carry. It is implemented by rollout.Tracker.
type Rollouts interface {
	Results() []rollout.Results
	SetPeer(name string, list []rollout.Results)
	RemovePeer(name string)
}

// Copies tells how new this router's copy of the store is, which reports carry too.
type Copies interface {
	Newest() message.Revisions
	Ages(now time.Time) message.Ages
}

// Options are what an exchange is made of.
type Options struct {
	Roster   Roster
	Sender   Sender
	Rollouts Rollouts
	Copies   Copies
	Log      logr.Logger
}

// Exchange sends this router's reports and applies those of others. Use New to make one. It belongs to the control
// goroutine.
type Exchange struct {
	Options
	due time.Time
	// sumDue is when the next sum of the zone is due, if this router is the zone's relay.
	sumDue time.Time
	// active is set if this router had any load at its last report.
	active bool
	paths  paths
	// zone adds up the reports of this zone. lastSums has the time of the last sum of each other
	// zone. directZones has the zones of those routers in other zones whose direct reports are in
	// use.
	zone        zonesum.Sum
	lastSums    map[string]time.Time
	directZones map[message.RouterID]string
}

// New returns an exchange of a router that knows no load yet.
func New(o Options) *Exchange {
	return &Exchange{Options: o, lastSums: map[string]time.Time{}, directZones: map[message.RouterID]string{}}
}

// Active reports whether this router had any load at its last report.
func (e *Exchange) Active() bool { return e.active }

// Tick sends a report if one is due.
func (e *Exchange) Tick(s *balance.State, now time.Time) {
	if !now.Before(e.due) {
		e.report(s, now)
	}
}

// report sends the other serving routers the load that this router's requests put on targets, as
// long as there is any, and one more report when there is none any longer. In a large fleet it
// reports to its zone only, and the relay of the zone sends the zone's sum to the other zones. While
// the fleet passes the limit between the two, it does both.
func (e *Exchange) report(s *balance.State, now time.Time) {
	self, serving := e.Roster.Self(), e.Roster.Serving(now)
	to := serving
	paths := &e.paths
	if paths.update(now, len(serving)) {
		e.Log.Info("paths of reports changed", "direct", paths.direct, "sums", paths.sums, "serving", len(serving))
	}
	if !paths.direct {
		to = inZone(serving, self.Zone)
	}
	s.SetReportReceivers(len(to))
	r := s.Report(now)
	if r.Active() || e.active {
		status := e.statusOf(now, r)
		e.Sender.SendAll(members(to), status)
		e.zone.UpdateReport(now, self.ID, status)
	}
	if paths.sums && isRelay(self, serving) {
		e.sendSum(now, serving)
	} else {
		e.zone.DiscardParts(now)
	}
	period := max(reportPeriod, periodPerPeer*time.Duration(len(to)))
	e.due, e.active = now.Add(period), r.Active()
	if paths.sums {
		// Reports of another zone pass through two routers, each of which sends at its own
		// interval.
		period += sumPeriod
	}
	s.SetReportPeriod(period)
	s.SetPeers(e.Roster.CountOthers(now), len(serving))
}

// isRelay reports whether this router is the relay of its zone, which sends the zone's sum. A
// router that does not serve is not in the others' lists, so it would be relay only in its own
// view.
func isRelay(self message.RouterRecord, serving []message.RouterRecord) bool {
	if !self.Serving {
		return false
	}
	first, ok := zonesum.SelectRelay(self.Zone, append(slices.Clone(serving), self))
	return ok && first.ID == self.ID
}

// sendSum sends the sum of this zone to the relay of each other zone if it is due.
func (e *Exchange) sendSum(now time.Time, serving []message.RouterRecord) {
	if now.Before(e.sumDue) {
		return
	}
	e.sumDue = now.Add(sumPeriod)
	own := e.Roster.Self().Zone
	sum := e.Sum(now)
	sum.Revisions, sum.Ages = e.Copies.Newest(), e.Copies.Ages(now)
	sent := map[string]bool{own: true}
	for _, r := range serving {
		if sent[r.Zone] {
			continue
		}
		sent[r.Zone] = true
		if to, ok := zonesum.SelectRelay(r.Zone, serving); ok {
			e.Sender.SendOnStream(roster.Member(to), message.ZoneStatus{Zone: own, Status: sum})
		}
	}
}

// Receive applies another router's report, unless the router is in another zone whose sum
// already covers it.
func (e *Exchange) Receive(s *balance.State, now time.Time, from member.Member, m message.Status) {
	if from.Zone == e.Roster.Self().Zone {
		e.zone.UpdateReport(now, from.ID, m)
	} else {
		if now.Sub(e.lastSums[from.Zone]) < sumTTL {
			return
		}
		s.ForgetPeer(now, sumPeerName(from.Zone))
		e.Rollouts.RemovePeer(sumPeerName(from.Zone))
		e.directZones[from.ID] = from.Zone
	}
	s.ApplyReport(now, string(from.ID), reportOf(m))
	e.Rollouts.SetPeer(string(from.ID), m.RolloutResults)
}

// ReceiveSum applies the sum of another zone, which replaces the direct reports of that
// zone's routers. It returns false, and does nothing, if it is of this router's zone.
func (e *Exchange) ReceiveSum(s *balance.State, now time.Time, m message.ZoneStatus) bool {
	if m.Zone == e.Roster.Self().Zone {
		return false
	}
	e.lastSums[m.Zone] = now
	for id, zone := range e.directZones {
		if zone == m.Zone {
			s.ForgetPeer(now, string(id))
			e.Rollouts.RemovePeer(string(id))
			delete(e.directZones, id)
		}
	}
	s.ApplyReport(now, sumPeerName(m.Zone), reportOf(m.Status))
	e.Rollouts.SetPeer(sumPeerName(m.Zone), m.Status.RolloutResults)
	return true
}

// PassOn forwards the sum of another zone to the other routers of this one if it came from another zone: then this
// router is the relay of its own.
func (e *Exchange) PassOn(now time.Time, from member.Member, m message.ZoneStatus) {
	own := e.Roster.Self().Zone
	if from.Zone == own {
		return
	}
	m.Status.Revisions, m.Status.Ages = e.Copies.Newest(), e.Copies.Ages(now)
	e.Sender.SendAll(members(inZone(e.Roster.Serving(now), own)), m)
}

// SendLoad sends the serving routers, without waiting for the next report, the load that this
// router's requests put on a target, and the part that the latest request added.
func (e *Exchange) SendLoad(target string, now, added view.Load) {
	m := message.Loads{Loads: []message.TargetLoad{targetLoad(target, now)}, Deltas: []message.TargetLoad{targetLoad(target, added)}}
	for _, to := range e.Roster.Serving(clock.Now()) {
		e.Sender.Send(roster.Member(to), m)
	}
}

// ReceiveLoads applies the changes of load that another router sends between reports.
func (e *Exchange) ReceiveLoads(s *balance.State, now time.Time, from message.RouterID, m message.Loads) {
	zone, own := e.Roster.Zone(from), e.Roster.Self().Zone
	if _, direct := e.directZones[from]; !direct && zone != own && !e.lastSums[zone].IsZero() {
		for _, l := range m.Deltas {
			s.AddPeerLoad(now, sumPeerName(zone), l.Target, loadOf(l))
		}
		return
	}
	for _, l := range m.Loads {
		s.SetPeerLoad(now, string(from), l.Target, loadOf(l))
	}
	if zone == own {
		e.zone.UpdateLoads(from, m.Loads)
	}
}

// Sum takes what the routers of this zone have reported since the last call.
func (e *Exchange) Sum(now time.Time) message.Status { return e.zone.Take(now) }

// sumPeerName returns the name under which a zone's sum is stored among the routers' reports.
func sumPeerName(zone string) string { return "zone " + zone }

// inZone returns the routers of a list that are in a zone.
func inZone(list []message.RouterRecord, zone string) []message.RouterRecord {
	var out []message.RouterRecord
	for _, r := range list {
		if r.Zone == zone {
			out = append(out, r)
		}
	}
	return out
}

func members(list []message.RouterRecord) []member.Member {
	var out []member.Member
	for _, r := range list {
		out = append(out, roster.Member(r))
	}
	return out
}
