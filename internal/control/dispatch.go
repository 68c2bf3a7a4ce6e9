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

// dispatch gives the pool's free slots to waiting work, here or at other
// routers, until one of them runs out.
func (s *State) dispatch(p *pool, now time.Time) {
	for {
		free := s.slots.Free(p.name, now)
		if free == 0 {
			return
		}
		candidates := s.candidates(p)
		if len(candidates) == 0 {
			invariant.Check(p.queue.Size() == 0 || s.limited(p), invariant.WorkConserving)
			s.announce(p, free, now)
			return
		}
		c := candidates[p.policy.Pick(candidates)]
		if c.Local > 0 {
			s.startLocal(p, c.Organisation, now)
			continue
		}
		s.grant(p, c.Organisation, now)
	}
}

// idleFanOut is the most routers that are told of free slots between reports.
const idleFanOut = 8

// announce tells other routers of free slots if they believe that there are
// none. Told they are with each report; this covers the time between.
func (s *State) announce(p *pool, free int, now time.Time) {
	if p.told > 0 || p.policy.Reach() == fair.ReachLocal {
		return
	}
	p.told = free
	others := s.members.Others(now)
	for i, n := range s.random.Perm(len(others)) {
		if i == idleFanOut {
			return
		}
		s.counts.Announced++
		s.outlet.Send(others[n], message.Idle{Pool: p.name, Free: free})
	}
}

// asked notes that another router has work waiting, and serves it if it can.
// A router that asked in vain is told at once, so that it asks another.
func (s *State) asked(from member.Member, m message.Ask, now time.Time) {
	p := s.pools[m.Pool]
	if p == nil {
		return
	}
	s.view.Asked(from.ID, m.Pool, m.Organisation, m.Waiting)
	full := s.slots.Free(p.name, now) == 0
	s.dispatch(p, now)
	if full && m.Free {
		s.outlet.Send(from, message.Idle{Pool: p.name})
	}
}

// idle takes in how many free slots another router has. Work that waits here
// is announced to it, or, if it has none, to the next one that may have some.
func (s *State) idle(from member.Member, m message.Idle) {
	p := s.pools[m.Pool]
	if p == nil {
		return
	}
	s.view.Free(from.ID, m.Pool, m.Free)
	if m.Free == 0 && !s.view.AnyFree(m.Pool) {
		return
	}
	for _, c := range s.localCandidates(p) {
		s.ask(p, c.Organisation)
	}
}

// candidates returns the organisations that the pool's policy may choose
// among.
func (s *State) candidates(p *pool) []fair.Candidate {
	list := s.localCandidates(p)
	reach := p.policy.Reach()
	if reach == fair.ReachLocal || reach == fair.ReachIdle && len(list) > 0 {
		return list
	}
	index := make(map[string]int, len(list))
	for i, c := range list {
		index[c.Organisation] = i
	}
	var rest []fair.Candidate
	s.view.Remote(p.name, func(name string, waiting, quota int) {
		if i, ok := index[name]; ok {
			list[i].Remote = waiting
			return
		}
		o, ok := s.snapshot.Organisation(name)
		if !ok {
			return
		}
		c := fair.Candidate{Organisation: name, Weight: o.Weight, Remote: waiting}
		if quota > 0 || p.policy.Urgent(name) {
			list = append(list, c)
			return
		}
		rest = append(rest, c)
	})
	if len(list) == 0 {
		// Rather a slot that others may have granted as well than an idle one.
		return rest
	}
	return list
}

func (s *State) localCandidates(p *pool) []fair.Candidate {
	var list []fair.Candidate
	p.queue.Each(func(name string, waiting int) {
		o, ok := s.snapshot.Organisation(name)
		if !ok {
			// The organisation was deleted; what it has waiting still runs.
			o.Weight = 1
		}
		if s.full(p, name) {
			return
		}
		first, _ := p.queue.Peek(name)
		list = append(list, fair.Candidate{
			Organisation: name,
			Weight:       o.Weight,
			Local:        waiting,
			Oldest:       first.Arrived(),
		})
	})
	return list
}

// limited reports whether some organisation with work waiting is at its limit
// of requests in progress.
func (s *State) limited(p *pool) bool {
	limited := false
	p.queue.Each(func(name string, _ int) {
		o, _ := s.snapshot.Organisation(name)
		limited = limited || o.Limits.Running > 0
	})
	return limited
}

// take takes an organisation's first waiting request that can still end in
// time; those that cannot are refused at once.
func (s *State) take(p *pool, organisation string, now time.Time) (*request.Ticket, bool) {
	for {
		t, ok := p.queue.Pop(organisation)
		if !ok {
			return nil, false
		}
		s.dequeued(p, t)
		if p.inTime(t, now) {
			return t, true
		}
		s.counts.TooLate++
		s.outlet.Decide(t, request.Decision{Refused: request.ReasonDeadline})
	}
}

// startLocal runs an organisation's first waiting request on a slot of ours.
func (s *State) startLocal(p *pool, organisation string, now time.Time) {
	t, ok := s.take(p, organisation, now)
	if !ok {
		return
	}
	u, ok := s.slots.Allocate(place.Allocation{
		Pool:         p.name,
		Holder:       s.members.Self().ID,
		Organisation: organisation,
		Charged:      p.estimate.Estimate(organisation, t.Hint()),
	}, now)
	if !ok {
		s.enqueue(p, t)
		return
	}
	p.charge(organisation, u.Charged)
	s.counts.Local++
	s.start(p, t, &run{owner: s.members.Self(), use: u})
}

func (s *State) start(p *pool, t *request.Ticket, r *run) {
	_, waits := p.handles[t]
	invariant.Check(!waits && s.running[t] == nil, invariant.DecidedOnce)
	s.running[t] = r
	if r.remote {
		s.held[r.key()] = true
	}
	p.running[t.Organisation()]++
	s.outlet.Decide(t, request.Decision{Engine: r.use.Engine, Address: r.use.Address})
}

// grant offers a slot of ours to a router that holds an organisation's work.
// Each call counts one waiting request as taken, also where the holder turns
// out to be unknown, so that dispatch comes to an end.
func (s *State) grant(p *pool, organisation string, now time.Time) {
	holder, ok := s.view.Holder(p.name, organisation)
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

// granted uses a slot that its owner has offered: for the organisation that
// the owner chose, else for another that waits here, else not at all.
func (s *State) granted(from member.Member, g message.Grant, now time.Time) {
	box, _ := s.snapshot.Box(g.Engine)
	p := s.pools[box.Pool]
	if p == nil || p.policy.Reach() == fair.ReachLocal {
		s.outlet.Send(from, message.Decline{Slot: g.Slot})
		return
	}
	t, charged, ok := s.takeFor(p, g.Organisation, now)
	if !ok {
		s.counts.Declined++
		s.outlet.Send(from, message.Decline{Slot: g.Slot})
		return
	}
	s.start(p, t, &run{
		owner:  from,
		remote: true,
		chosen: t.Organisation() != g.Organisation,
		use: place.Allocation{
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

// takeFor takes the organisation's first waiting request, or else that of the
// organisation which this router's own policy picks; who picks is charged.
func (s *State) takeFor(p *pool, organisation string, now time.Time) (t *request.Ticket, charged float64, ok bool) {
	if !s.full(p, organisation) {
		if t, ok = s.take(p, organisation, now); ok {
			return t, 0, true
		}
	}
	for {
		candidates := s.localCandidates(p)
		if len(candidates) == 0 {
			return nil, 0, false
		}
		picked := candidates[p.policy.Pick(candidates)].Organisation
		if t, ok = s.take(p, picked, now); ok {
			s.counts.Substituted++
			charged = p.estimate.Estimate(picked, t.Hint())
			p.charge(picked, charged)
			return t, charged, true
		}
	}
}

// full reports whether an organisation is at its limit of requests in
// progress.
func (s *State) full(p *pool, organisation string) bool {
	o, _ := s.snapshot.Organisation(organisation)
	return o.Limits.Running > 0 && p.running[organisation] >= o.Limits.Running
}

// nextOwner returns the owners of the pool's engines in turn, for each
// organisation in a turn of its own. Each owner serves an organisation at
// intervals, as its share comes round; asking in turn, and not at random,
// comes at intervals as well.
func (s *State) nextOwner(p *pool, organisation string) (message.RouterID, bool) {
	owners := s.turns[p.name]
	if len(owners) == 0 {
		return "", false
	}
	turn, ok := p.turns[organisation]
	if !ok {
		turn = s.random.IntN(len(owners))
	}
	p.turns[organisation] = turn + 1
	return owners[turn%len(owners)], true
}

// askBelow is the number of waiting requests of an organisation up to which
// each new one is announced to an owner at once. For a longer queue what the
// reports say of it does, unless the organisation is behind.
const askBelow = 4

// ask tells a router that work waits here: one believed to have a free slot,
// or for a short queue or an urgent organisation any owner, which will have
// one soon.
func (s *State) ask(p *pool, organisation string) {
	if p.policy.Reach() == fair.ReachLocal {
		return
	}
	id, free := s.view.FreeOwner(p.name)
	ok := free
	if !ok && p.policy.Reach() == fair.ReachFleet &&
		(p.queue.Len(organisation) <= askBelow || p.policy.Urgent(organisation)) {
		id, ok = s.nextOwner(p, organisation)
	}
	if !ok {
		return
	}
	if to, ok := s.members.Lookup(id); ok {
		s.counts.Asked++
		s.outlet.Send(to, message.Ask{
			Pool:         p.name,
			Organisation: organisation,
			Waiting:      p.queue.Len(organisation),
			Free:         free,
		})
	}
}
