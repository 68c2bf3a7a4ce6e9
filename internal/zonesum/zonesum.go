// Package zonesum adds up what the routers of an availability zone report about their
// requests, for the routers of other zones. In a large fleet, one router of each zone (the
// relay) sends the sum to one router of each other zone, which forwards it within its own
// zone. So the traffic between zones, which is paid for, grows with the number of zones and
// not with the square of the number of routers.
package zonesum

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/enginespeed"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
	"github.com/stepcroft/stepcroft/internal/returns"
	"github.com/stepcroft/stepcroft/internal/rollout"
	"github.com/stepcroft/stepcroft/internal/view"
)

const (
	// reportTTL is how long a router's report counts: some report periods, and less than its
	// requests take.
	reportTTL = 1500 * time.Millisecond
	// relayKey is the rendezvous hashing key by which routers are ranked to select the relay.
	relayKey = "relay"
	// minCapacityPercent is the minimum capacity of a relay, in percent of the largest
	// router's in its zone: it also forwards the sums of the other zones.
	minCapacityPercent = 50
)

// Sum adds up the reports of a zone's routers. The zero value is empty.
type Sum struct {
	reports map[message.RouterID]report
	// sharedParts holds the shared parts of prompts reported since the last sum, by target.
	sharedParts map[string][]string
	// returns has the last reports of when refused callers return. They outlive other reports:
	// the callers of a router that has ended return elsewhere.
	returns map[message.RouterID]returnsReport
	// speeds has the times of engines. A router reports an engine at most once a second, so the
	// latest reports alone would hold some engines of some routers only.
	speeds *enginespeed.Book
}

type returnsReport struct {
	list []returns.Slots
	at   time.Time
}

type report struct {
	message.Status
	at time.Time
}

// UpdateReport replaces a router's last report.
func (s *Sum) UpdateReport(now time.Time, id message.RouterID, m message.Status) {
	if s.reports == nil {
		s.reports, s.sharedParts, s.returns = map[message.RouterID]report{}, map[string][]string{}, map[message.RouterID]returnsReport{}
		s.speeds = enginespeed.New(now)
	}
	delete(s.returns, id)
	if len(m.Returns) > 0 {
		s.returns[id] = returnsReport{m.Returns, now}
	}
	s.speeds.SetPeer(now, string(id), m.Speeds)
	s.reports[id] = report{m, now}
	for _, k := range m.SharedParts {
		s.sharedParts[k.Target] = append(s.sharedParts[k.Target], k.Parts...)
	}
}

// UpdateLoads replaces the loads that a router last reported for some targets.
func (s *Sum) UpdateLoads(id message.RouterID, list []message.TargetLoad) {
	r, ok := s.reports[id]
	if !ok {
		return
	}
	// The report may still be on its way to other goroutines, so it must not be changed.
	r.Loads = slices.Clone(r.Loads)
	for _, l := range list {
		i := slices.IndexFunc(r.Loads, func(old message.TargetLoad) bool { return old.Target == l.Target })
		if i < 0 {
			r.Loads = append(r.Loads, l)
			continue
		}
		r.Loads[i] = l
	}
	s.reports[id] = r
}

// Take returns the sum of all reports that haven't expired. The shared parts in it are those
// reported since the last call, and the times those of engines that are due to be reported.
func (s *Sum) Take(now time.Time) message.Status {
	var out message.Status
	loads := map[string]message.TargetLoad{}
	usage := map[string]message.OrganisationUsage{}
	rollouts := map[string]rollout.Results{}
	slots := s.sumReturns(now)
	for id, r := range s.reports {
		if now.Sub(r.at) >= reportTTL {
			delete(s.reports, id)
			continue
		}
		for _, l := range r.Loads {
			sum := loads[l.Target]
			loads[l.Target] = message.TargetLoad{
				Target: l.Target, PendingTokens: sum.PendingTokens + l.PendingTokens, Running: sum.Running + l.Running, MemoryTokens: sum.MemoryTokens + l.MemoryTokens,
			}
		}
		for _, o := range r.RolloutResults {
			sum := rollouts[o.Service]
			if sum.Version != o.Version {
				// Of two orders the one with more answers counts; the other is outdated.
				if sum.New.Answers+sum.Other.Answers > o.New.Answers+o.Other.Answers {
					continue
				}
				sum = rollout.Results{}
			}
			rollouts[o.Service] = rollout.Results{Service: o.Service, Version: o.Version, New: sum.New.Plus(o.New), Other: sum.Other.Plus(o.Other)}
		}
		for _, u := range r.Usage {
			if !(view.Usage{Demand: u.Demand, Started: u.Started, Waiting: u.Waiting}).Valid() {
				continue
			}
			sum := usage[u.Organisation]
			usage[u.Organisation] = message.OrganisationUsage{
				Organisation: u.Organisation, Demand: sum.Demand + u.Demand, Started: sum.Started + u.Started, Waiting: sum.Waiting + u.Waiting,
			}
		}
	}
	out.Loads = slices.Collect(maps.Values(loads))
	out.Usage = slices.Collect(maps.Values(usage))
	out.RolloutResults = slices.Collect(maps.Values(rollouts))
	if s.speeds != nil {
		out.Speeds = s.speeds.TakeTotals(now)
	}
	out.Returns = slices.Collect(maps.Values(slots))
	for target, parts := range s.sharedParts {
		out.SharedParts = append(out.SharedParts, message.TargetParts{Target: target, Parts: parts})
	}
	clear(s.sharedParts)
	return out
}

// sumReturns returns the sum of all reported returns that have not passed, by service. Invalid ones
// are ignored; they are counted where a router applies the same report to its own plan.
func (s *Sum) sumReturns(now time.Time) map[string]returns.Slots {
	s.pruneReturns(now)
	sum := map[string]returns.Slots{}
	for _, r := range s.returns {
		for i, k := range r.list {
			repeated := slices.ContainsFunc(r.list[:i], func(o returns.Slots) bool { return o.Service == k.Service })
			if k.Valid() && !repeated {
				sum[k.Service] = sum[k.Service].Plus(k.After(now.Sub(r.at)))
			}
		}
	}
	return sum
}

// pruneReturns drops the reports whose returns have all passed.
func (s *Sum) pruneReturns(now time.Time) {
	maps.DeleteFunc(s.returns, func(_ message.RouterID, r returnsReport) bool {
		return now.Sub(r.at) >= returns.Count*returns.SlotWidth
	})
}

// DiscardParts drops the shared parts reported so far: another router forwards them, or all
// routers report directly to one another.
//
// It also drops the returns that have passed, which only Take does otherwise.
func (s *Sum) DiscardParts(now time.Time) {
	clear(s.sharedParts)
	s.pruneReturns(now)
}

// SelectRelay returns the relay of a zone, or false if no serving router is alive there: the
// first by rendezvous hashing among the large routers. All routers that know the same fleet
// select the same one, without an election.
func SelectRelay(zone string, serving []message.RouterRecord) (message.RouterRecord, bool) {
	var list []message.RouterRecord
	largest := 0.0
	for _, r := range serving {
		if r.Zone == zone && r.State == message.Alive {
			list = append(list, r)
			largest = max(largest, r.Capacity)
		}
	}
	list = slices.DeleteFunc(list, func(r message.RouterRecord) bool { return r.Capacity*100 < largest*minCapacityPercent })
	if len(list) == 0 {
		return message.RouterRecord{}, false
	}
	return slices.MaxFunc(list, func(a, b message.RouterRecord) int {
		return cmp.Compare(rendezvous.Weight(relayKey, string(a.ID)), rendezvous.Weight(relayKey, string(b.ID)))
	}), true
}
