package control

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/fair"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/place"
	"github.com/stepcroft/stepcroft/internal/request"
)

func (s *State) dispatchAll(now time.Time) {
	for _, c := range s.snapshot.Pools() {
		s.dispatch(s.pools[c.Name], now)
	}
}

// dispatch assigns the free slots of the pool's engines that this router owns
// to waiting requests, here or at other routers, until there are no more slots
// or no more requests.
func (s *State) dispatch(p *pool, now time.Time) {
	for {
		free := s.slots.Free(p.name, now)
		if free == 0 {
			return
		}
		candidates := s.candidates(p)
		if len(candidates) == 0 {
			invariant.Check(p.queue.Size() == 0 || s.anyRunningLimit(p), invariant.WorkConserving)
			s.announceFree(p, free, now)
			return
		}
		c := candidates[p.policy.Pick(candidates)]
		if c.LocalWaiting > 0 {
			s.startLocal(p, c.Organisation, now)
			continue
		}
		s.grantSlot(p, c.Organisation, now)
	}
}

// maxIdleRecipients bounds the number of routers to which free slots are
// announced between two reports.
const maxIdleRecipients = 8

// announceFree sends the number of free slots to some other routers if the number
// last sent was zero. Reports carry it too; this covers the time between them.
func (s *State) announceFree(p *pool, free int, now time.Time) {
	if p.announcedFree > 0 || p.policy.Reach() == fair.ReachLocal {
		return
	}
	p.announcedFree = free
	others := s.members.Others(now)
	for i, n := range s.random.Perm(len(others)) {
		if i == maxIdleRecipients {
			return
		}
		s.counts.AnnouncementsSent++
		s.outlet.Send(others[n], message.Idle{Pool: p.name, Free: free})
	}
}

// handleAsk records that another router has requests waiting, and grants it
// slots if possible. If that router expected a free slot and there is none, it
// gets an answer at once, so that it can ask another router.
func (s *State) handleAsk(from member.Member, m message.Ask, now time.Time) {
	p := s.pools[m.Pool]
	if p == nil {
		return
	}
	s.view.RecordAsk(from.ID, m.Pool, m.Organisation, m.Waiting)
	full := s.slots.Free(p.name, now) == 0
	s.dispatch(p, now)
	if full && m.Free {
		s.outlet.Send(from, message.Idle{Pool: p.name})
	}
}

// handleIdle records how many free slots another router has. If any router has
// free slots, it asks for a slot for each organisation with requests waiting here.
func (s *State) handleIdle(from member.Member, m message.Idle) {
	p := s.pools[m.Pool]
	if p == nil {
		return
	}
	s.view.SetFree(from.ID, m.Pool, m.Free)
	if m.Free == 0 && !s.view.AnyFree(m.Pool) {
		return
	}
	for _, c := range s.localCandidates(p) {
		s.askForSlot(p, c.Organisation)
	}
}

// candidates returns the organisations among which the pool's policy chooses
// the next one for a slot of an engine that this router owns.
func (s *State) candidates(p *pool) []fair.Candidate {
	list := s.localCandidates(p)
	reach := p.policy.Reach()
	if reach == fair.ReachLocal || reach == fair.ReachLocalFirst && len(list) > 0 {
		return list
	}
	index := make(map[string]int, len(list))
	for i, c := range list {
		index[c.Organisation] = i
	}
	var rest []fair.Candidate
	s.view.EachRemote(p.name, func(name string, waiting, quota int) {
		if i, ok := index[name]; ok {
			list[i].RemoteWaiting = waiting
			return
		}
		o, ok := s.snapshot.Organisation(name)
		if !ok {
			return
		}
		c := fair.Candidate{Organisation: name, Weight: o.Weight, RemoteWaiting: waiting}
		if quota > 0 || p.policy.Urgent(name) {
			list = append(list, c)
			return
		}
		rest = append(rest, c)
	})
	if len(list) == 0 {
		// This router's quotas are used up. Grant beyond them: the other owners
		// may then grant a slot to the same request, but no slot stays idle.
		return rest
	}
	return list
}

func (s *State) localCandidates(p *pool) []fair.Candidate {
	var list []fair.Candidate
	p.queue.EachOrganisation(func(name string, waiting int) {
		o, ok := s.snapshot.Organisation(name)
		if !ok {
			// The organisation was deleted, but its waiting requests still run.
			o.Weight = 1
		}
		if s.atRunningLimit(p, name) {
			return
		}
		first, _ := p.queue.Peek(name)
		list = append(list, fair.Candidate{
			Organisation:  name,
			Weight:        o.Weight,
			LocalWaiting:  waiting,
			OldestArrival: first.Arrived(),
		})
	})
	return list
}

// anyRunningLimit reports whether any organisation with requests waiting has a
// limit on requests in progress.
func (s *State) anyRunningLimit(p *pool) bool {
	limited := false
	p.queue.EachOrganisation(func(name string, _ int) {
		o, _ := s.snapshot.Organisation(name)
		limited = limited || o.Limits.Running > 0
	})
	return limited
}

// popRunnable removes and returns an organisation's first waiting request that is
// expected to end before its deadline; requests before it are refused.
func (s *State) popRunnable(p *pool, organisation string, now time.Time) (*request.Ticket, bool) {
	for {
		t, ok := p.queue.Pop(organisation)
		if !ok {
			return nil, false
		}
		s.afterDequeue(p, t)
		if p.canMeetDeadline(t, now) {
			return t, true
		}
		s.counts.TooLate++
		s.outlet.Decide(t, request.Decision{Refused: request.ReasonDeadline})
	}
}

// startLocal runs an organisation's first waiting request on an engine that this
// router owns.
func (s *State) startLocal(p *pool, organisation string, now time.Time) {
	t, ok := s.popRunnable(p, organisation, now)
	if !ok {
		return
	}
	u, ok := s.slots.Allocate(place.Allocation{
		Pool:         p.name,
		Holder:       s.members.Self().ID,
		Organisation: organisation,
		Charged:      p.estimate.Estimate(organisation, t.CostHint()),
	}, now)
	if !ok {
		s.enqueue(p, t)
		return
	}
	p.charge(organisation, u.Charged)
	s.counts.LocalDispatches++
	s.start(p, t, &activeRequest{owner: s.members.Self(), allocation: u})
}

func (s *State) start(p *pool, t *request.Ticket, r *activeRequest) {
	_, queued := p.handles[t]
	invariant.Check(!queued && s.running[t] == nil, invariant.DecidedOnce)
	s.running[t] = r
	if r.remote {
		s.remoteSlots[r.key()] = true
	}
	p.running[t.Organisation()]++
	s.outlet.Decide(t, request.Decision{Engine: r.allocation.Engine, Address: r.allocation.Address})
}

// grantSlot grants a slot of an engine that this router owns to a router at which
// requests of an organisation wait. Each call counts one of them as taken, even
// if that router turns out to be unknown, so that the loop in dispatch ends.
func (s *State) grantSlot(p *pool, organisation string, now time.Time) {
	holder, ok := s.view.PickHolder(p.name, organisation)
	if !ok {
		return
	}
	to, ok := s.members.Lookup(holder)
	if !ok {
		return
	}
	u, ok := s.slots.Allocate(place.Allocation{
		Pool:         p.name,
		Holder:       holder,
		Organisation: organisation,
		Charged:      p.estimate.Estimate(organisation, 0),
	}, now)
	if !ok {
		return
	}
	p.charge(organisation, u.Charged)
	s.counts.Granted++
	s.outlet.Send(to, message.Grant{
		Slot:         u.Slot,
		Engine:       u.Engine,
		Organisation: organisation,
	})
}

// handleGrant uses a slot granted by the engine's owner for the organisation that
// the owner chose, or else for another one with requests waiting here. If there
// is none, it declines the grant.
func (s *State) handleGrant(from member.Member, g message.Grant, now time.Time) {
	box, _ := s.snapshot.Box(g.Engine)
	p := s.pools[box.Pool]
	if p == nil || p.policy.Reach() == fair.ReachLocal {
		s.outlet.Send(from, message.Decline{Slot: g.Slot})
		return
	}
	t, charged, ok := s.popForGrant(p, g.Organisation, now)
	if !ok {
		s.counts.Declined++
		s.outlet.Send(from, message.Decline{Slot: g.Slot})
		return
	}
	s.start(p, t, &activeRequest{
		owner:       from,
		remote:      true,
		substituted: t.Organisation() != g.Organisation,
		allocation: place.Allocation{
			Slot:         g.Slot,
			Engine:       g.Engine,
			Address:      box.Address,
			Pool:         box.Pool,
			Holder:       s.members.Self().ID,
			Organisation: g.Organisation,
			Charged:      charged,
			Since:        now,
		},
	})
}

// popForGrant takes the first waiting request of the organisation for which a slot
// was granted, or else of one that this router's policy picks. Only the latter is
// charged here; charged is the amount. The owner charges the former.
func (s *State) popForGrant(p *pool, organisation string, now time.Time) (t *request.Ticket, charged float64, ok bool) {
	if !s.atRunningLimit(p, organisation) {
		if t, ok = s.popRunnable(p, organisation, now); ok {
			return t, 0, true
		}
	}
	for {
		candidates := s.localCandidates(p)
		if len(candidates) == 0 {
			return nil, 0, false
		}
		picked := candidates[p.policy.Pick(candidates)].Organisation
		if t, ok = s.popRunnable(p, picked, now); ok {
			s.counts.Substituted++
			charged = p.estimate.Estimate(picked, t.CostHint())
			p.charge(picked, charged)
			return t, charged, true
		}
	}
}

// atRunningLimit reports whether an organisation is at its limit of requests in
// progress.
func (s *State) atRunningLimit(p *pool, organisation string) bool {
	o, _ := s.snapshot.Organisation(organisation)
	return o.Limits.Running > 0 && p.running[organisation] >= o.Limits.Running
}

// nextOwner returns the next owner of engines of the pool in round-robin order,
// which is kept separately for each organisation. An owner serves an organisation
// at intervals that follow from its share. Round robin, unlike a random choice,
// also asks each owner at regular intervals.
func (s *State) nextOwner(p *pool, organisation string) (message.RouterID, bool) {
	owners := s.remoteOwners[p.name]
	if len(owners) == 0 {
		return "", false
	}
	turn, ok := p.nextTurn[organisation]
	if !ok {
		turn = s.random.IntN(len(owners))
	}
	p.nextTurn[organisation] = turn + 1
	return owners[turn%len(owners)], true
}

// maxQueueToAsk is the queue length of an organisation up to which an owner is
// asked for a slot at once for each new request. Longer queues are announced by
// the reports alone, unless the organisation is urgent.
const maxQueueToAsk = 4

// askForSlot asks another router for a slot: one that has a free slot as far as is
// known or, for a short queue or an urgent organisation, the next owner in turn,
// which may have one soon.
func (s *State) askForSlot(p *pool, organisation string) {
	if p.policy.Reach() == fair.ReachLocal {
		return
	}
	id, free := s.view.PickFreeRouter(p.name)
	ok := free
	if !ok && p.policy.Reach() == fair.ReachFleet &&
		(p.queue.Len(organisation) <= maxQueueToAsk || p.policy.Urgent(organisation)) {
		id, ok = s.nextOwner(p, organisation)
	}
	if !ok {
		return
	}
	if to, ok := s.members.Lookup(id); ok {
		s.counts.AsksSent++
		s.outlet.Send(to, message.Ask{
			Pool:         p.name,
			Organisation: organisation,
			Waiting:      p.queue.Len(organisation),
			Free:         free,
		})
	}
}
