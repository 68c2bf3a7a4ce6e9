package control

import (
	"maps"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/fair"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/request"
)

// foreignKey is an engine on which this router runs requests by grants of a
// router that no longer owns it, and the owner that was told so.
type foreignKey struct {
	engine string
	owner  message.RouterID
}

// Receive takes in a message from another router.
func (s *State) Receive(from member.Member, m message.Message, now time.Time) {
	if !s.members.Heard(from, now) {
		s.counts.StaleMessages++
		return
	}
	switch m := m.(type) {
	case message.Report:
		s.reported(from, m, now)
	case message.Grant:
		s.granted(from, m, now)
	case message.Decline:
		s.declined(from, m, now)
	case message.Done:
		s.done(from, m, now)
	case message.Ask:
		s.asked(from, m, now)
	case message.Audit:
		s.audited(from, m)
	case message.Idle:
		s.idle(from, m)
	case message.Held:
		s.slots.SetForeign(m.Engine, from.ID, m.Foreign, now, s.options.Timeout)
	}
}

func (s *State) dispatchNamed(name string, now time.Time) {
	if p := s.pools[name]; p != nil {
		s.dispatch(p, now)
	}
}

// audit asks the holders of slots that have long been in use whether they
// still hold them.
func (s *State) audit(now time.Time) {
	slots := map[message.RouterID][]uint64{}
	for _, u := range s.slots.DueForAudit(s.members.Self().ID, now) {
		slots[u.Holder] = append(slots[u.Holder], u.Slot)
	}
	for holder, list := range slots {
		if to, ok := s.members.Lookup(holder); ok {
			s.outlet.Send(to, message.Audit{Slots: list})
		}
	}
}

// audited returns the slots of an audit that this router does not hold.
func (s *State) audited(from member.Member, m message.Audit) {
	for _, slot := range m.Slots {
		if !s.held[heldKey{from.ID, from.Incarnation, slot}] {
			s.counts.LostSlots++
			s.outlet.Send(from, message.Decline{Slot: slot, Unknown: true})
		}
	}
}

func (s *State) declined(from member.Member, m message.Decline, now time.Time) {
	s.counts.GrantsDeclined++
	u, ok := s.slots.Release(m.Slot)
	if !ok {
		s.counts.StaleSlots++
		return
	}
	p := s.pools[u.Pool]
	if !m.Unknown {
		p.charge(u.Organisation, -u.Charged)
	}
	s.view.Waiting(from.ID, p.name, u.Organisation, 0)
	s.dispatch(p, now)
}

func (s *State) done(from member.Member, m message.Done, now time.Time) {
	end := request.End{Cost: m.Cost, Partial: m.Partial, Failed: m.Failed}
	p := s.release(m.Slot, m.Organisation, end, now)
	if p == nil {
		return
	}
	p.learn(m.Organisation, 0, end)
	s.view.Waiting(from.ID, p.name, m.Organisation, m.Waiting)
	s.dispatch(p, now)
}

func (s *State) reported(from member.Member, r message.Report, now time.Time) {
	if s.options.ViewDelay > 0 {
		s.delayed = append(s.delayed, delayed{now, from.ID, r})
		return
	}
	if s.view.Report(from.ID, r, now) {
		s.dispatchAll(now)
	}
}

// Tick does what is due: delayed reports, changes in who is alive, and this
// router's own report. It is called once each report period.
func (s *State) Tick(now time.Time) {
	s.applyDelayed(now)
	s.reown(now)
	s.handOver(now)
	s.audit(now)
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		p := s.pools[name]
		s.slots.Charge(name, p.pace.rate(), now, p.charge)
		s.observe(p, now)
	}
	s.Report(now)
	s.dispatchAll(now)
}

func (s *State) applyDelayed(now time.Time) {
	for len(s.delayed) > 0 && now.Sub(s.delayed[0].came) >= s.options.ViewDelay {
		d := s.delayed[0]
		s.delayed = s.delayed[1:]
		s.view.Report(d.from, d.report, d.came)
	}
}

// reown works out which engines this router owns now, if the configuration or
// the live routers have changed, and frees what dead routers held.
func (s *State) reown(now time.Time) {
	live := s.members.Live(now)
	if s.ownedAt != s.snapshot.Revision || !slices.Equal(live, s.ownedBy) {
		s.assign(live, now)
		s.ownedAt, s.ownedBy = s.snapshot.Revision, live
	}
	for _, m := range s.members.Others(now) {
		if !s.members.Alive(m.ID, now) {
			s.dead(m.ID)
		}
	}
}

// assign gives each engine to its owner among the live routers.
func (s *State) assign(live []member.Member, now time.Time) {
	self := s.members.Self().ID
	clear(s.owners)
	clear(s.turns)
	var mine []config.Box
	for _, box := range s.snapshot.Boxes(config.RoleEngine) {
		owner, ok := member.Owner(box.Name, box.Zone, live)
		if !ok {
			continue
		}
		s.owners[box.Name] = owner.ID
		if owner.ID == self {
			mine = append(mine, box)
			continue
		}
		s.turns[box.Pool] = append(s.turns[box.Pool], owner.ID)
	}
	s.slots.SetOwned(mine, now)
	s.lay()
}

// lay tells the view which part of each pool's slots is this router's.
func (s *State) lay() {
	type count struct{ before, mine, all int }
	self := s.members.Self().ID
	counts := map[string]count{}
	for _, box := range s.snapshot.Boxes(config.RoleEngine) {
		c := counts[box.Pool]
		c.all += box.Slots
		switch owner := s.owners[box.Name]; {
		case owner == self:
			c.mine += box.Slots
		case owner < self:
			c.before += box.Slots
		}
		counts[box.Pool] = c
	}
	for pool, c := range counts {
		all := float64(c.all)
		s.view.Own(pool, float64(c.before)/all, float64(c.before+c.mine)/all)
	}
}

func (s *State) dead(id message.RouterID) {
	s.view.Forget(id)
	s.slots.ReleaseHolder(id)
}

// handOver tells the owners of engines how many requests this router runs on
// them by grants of earlier owners.
func (s *State) handOver(now time.Time) {
	counts := map[foreignKey]int{}
	for key := range s.foreign {
		counts[key] = 0
	}
	for _, r := range s.running {
		owner := s.owners[r.use.Engine]
		if !s.current(owner, r.owner) {
			counts[foreignKey{r.use.Engine, owner}]++
		}
	}
	clear(s.foreign)
	for key, n := range counts {
		s.tellHeld(key, n, now)
		if n > 0 {
			s.foreign[key] = true
		}
	}
}

// current reports whether the owner of an engine is still the router, and the
// incarnation, that gave out a slot on it.
func (s *State) current(owner message.RouterID, granter member.Member) bool {
	if owner != granter.ID {
		return false
	}
	now, ok := s.members.Lookup(owner)
	return !ok || now.Incarnation == granter.Incarnation
}

func (s *State) tellHeld(key foreignKey, n int, now time.Time) {
	if key.owner == s.members.Self().ID {
		s.slots.SetForeign(key.engine, key.owner, n, now, s.options.Timeout)
		return
	}
	if to, ok := s.members.Lookup(key.owner); ok {
		s.outlet.Send(to, message.Held{Engine: key.engine, Foreign: n})
	}
}

// observe shows the pool's policy what the fleet has served since last time.
func (s *State) observe(p *pool, now time.Time) {
	own := p.service()
	standings := map[string]fair.Standing{}
	for name, total := range own {
		standings[name] = fair.Standing{
			Served:     float64(total - p.viewed[name]),
			Backlogged: s.backlogged(p, name, now),
		}
	}
	p.viewed = own
	s.view.Drain(p.name, func(name string, served float64, backlogged bool) {
		st := standings[name]
		st.Served += served
		st.Backlogged = st.Backlogged || backlogged
		standings[name] = st
	})
	list := make([]fair.Standing, 0, len(standings))
	for _, name := range slices.Sorted(maps.Keys(standings)) {
		st := standings[name]
		o, ok := s.snapshot.Organisation(name)
		if !ok {
			continue
		}
		st.Organisation, st.Weight = name, o.Weight
		list = append(list, st)
	}
	p.policy.Observe(fair.View{Standings: list, Age: float64(s.view.Age(now)) / float64(s.options.Period)})
}

// backlogged reports whether an organisation's first request here has waited
// for a report period.
func (s *State) backlogged(p *pool, organisation string, now time.Time) bool {
	first, ok := p.queue.Peek(organisation)
	return ok && now.Sub(first.Arrived()) >= s.options.Period
}

// Report sends this router's report to all others.
func (s *State) Report(now time.Time) {
	s.sequence++
	r := message.Report{
		Incarnation: s.members.Self().Incarnation,
		Sequence:    s.sequence,
		Leaving:     s.leaving,
		Revision:    s.snapshot.Revision,
	}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		r.Pools = append(r.Pools, s.reportPool(s.pools[name], now))
	}
	for _, m := range s.members.Others(now) {
		s.outlet.Send(m, r)
	}
}

func (s *State) reportPool(p *pool, now time.Time) message.PoolReport {
	r := message.PoolReport{Pool: p.name, Free: s.slots.Free(p.name, now)}
	p.told = r.Free
	for _, name := range slices.Sorted(maps.Keys(p.viewed)) {
		if p.viewed[name] == p.reported[name] && p.queue.Len(name) == 0 {
			continue
		}
		p.reported[name] = p.viewed[name]
		r.Organisations = append(r.Organisations, message.OrganisationReport{
			Organisation: name,
			Service:      p.viewed[name],
			Waiting:      p.queue.Len(name),
			Backlogged:   s.backlogged(p, name, now),
		})
	}
	return r
}
