// Package zonesum adds up what the routers of an availability zone report of their
// requests, for the routers of other zones. In a large fleet one router of each
// zone tells one of each other zone the sum, and that one tells its own zone: what
// passes between zones, which is paid for, grows with the number of zones and not
// with the square of that of routers.
package zonesum

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

const (
	// reportAge is for how long a router's report counts: some report periods, and
	// less than its requests take.
	reportAge = 1500 * time.Millisecond
	// relayKey is what routers are ranked by for the task of telling sums.
	relayKey = "relay"
	// largeShare is the part, in percent, of the largest capacity of a zone that a
	// router must have to tell its sum: it also passes on those of the others.
	largeShare = 50
)

// Sum is what the routers of a zone reported. The zero value is an empty one.
type Sum struct {
	reports map[message.RouterID]report
	// kept has the shared parts told since the last sum, by target.
	kept map[string][]string
}

type report struct {
	message.Status
	at time.Time
}

// UpdateReport takes in a router's report, which replaces its last one.
func (s *Sum) UpdateReport(now time.Time, id message.RouterID, m message.Status) {
	if s.reports == nil {
		s.reports, s.kept = map[message.RouterID]report{}, map[string][]string{}
	}
	s.reports[id] = report{m, now}
	for _, k := range m.Kept {
		s.kept[k.Target] = append(s.kept[k.Target], k.Parts...)
	}
}

// UpdateLoads takes in what a router's requests now put on some targets.
func (s *Sum) UpdateLoads(id message.RouterID, list []message.TargetLoad) {
	r, ok := s.reports[id]
	if !ok {
		return
	}
	// The report may still be on its way to other goroutines.
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

// Take returns the sum of all reports that are new enough. The shared parts in it
// are those told since the last call.
func (s *Sum) Take(now time.Time) message.Status {
	var out message.Status
	loads := map[string]message.TargetLoad{}
	usage := map[string]message.OrganisationUsage{}
	for id, r := range s.reports {
		if now.Sub(r.at) >= reportAge {
			delete(s.reports, id)
			continue
		}
		for _, l := range r.Loads {
			sum := loads[l.Target]
			loads[l.Target] = message.TargetLoad{
				Target: l.Target, Unread: sum.Unread + l.Unread, Running: sum.Running + l.Running, Memory: sum.Memory + l.Memory,
			}
		}
		for _, u := range r.Usage {
			sum := usage[u.Organisation]
			usage[u.Organisation] = message.OrganisationUsage{
				Organisation: u.Organisation, Asked: sum.Asked + u.Asked, Begun: sum.Begun + u.Begun, Waiting: sum.Waiting + u.Waiting,
			}
		}
	}
	out.Loads = slices.Collect(maps.Values(loads))
	out.Usage = slices.Collect(maps.Values(usage))
	for target, parts := range s.kept {
		out.Kept = append(out.Kept, message.TargetParts{Target: target, Parts: parts})
	}
	clear(s.kept)
	return out
}

// DiscardParts forgets the shared parts told so far: another router tells them, or all tell
// one another.
func (s *Sum) DiscardParts() { clear(s.kept) }

// SelectRelay returns which of the serving routers of a zone tells its sum, or false if
// there are none: the first by rendezvous hashing of the large ones that answer.
// All that know the same routers name the same, and nobody is elected.
func SelectRelay(zone string, serving []message.RouterRecord) (message.RouterRecord, bool) {
	var list []message.RouterRecord
	largest := 0.0
	for _, r := range serving {
		if r.Zone == zone && r.Belief == message.Alive {
			list = append(list, r)
			largest = max(largest, r.Capacity)
		}
	}
	list = slices.DeleteFunc(list, func(r message.RouterRecord) bool { return r.Capacity*100 < largest*largeShare })
	if len(list) == 0 {
		return message.RouterRecord{}, false
	}
	return slices.MaxFunc(list, func(a, b message.RouterRecord) int {
		return cmp.Compare(rendezvous.Weight(relayKey, string(a.ID)), rendezvous.Weight(relayKey, string(b.ID)))
	}), true
}
