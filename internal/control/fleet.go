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

// foreignKey is an engine on which this router runs requests in slots granted
// by a previous owner, and the current owner to which their number was sent.
type foreignKey struct {
	engine string
	owner  message.RouterID
}

// Receive handles a message from another router.
func (s *State) Receive(from member.Member, m message.Message, now time.Time) {
	if !s.members.RecordMessage(from, now) {
		s.counts.StaleMessages++
		return
	}
	switch m := m.(type) {
	case message.Report:
		s.handleReport(from, m, now)
	case message.Grant:
		s.handleGrant(from, m, now)
	case message.Decline:
		s.handleDecline(from, m, now)
	case message.Done:
		s.handleDone(from, m, now)
	case message.Ask:
		s.handleAsk(from, m, now)
	case message.Audit:
		s.handleAudit(from, m)
	case message.Idle:
		s.handleIdle(from, m)
	case message.Held:
		s.slots.SetForeign(m.Engine, from.ID, m.Foreign, now, s.options.RouterTimeout)
	}
}

func (s *State) dispatchNamed(name string, now time.Time) {
	if p := s.pools[name]; p != nil {
		s.dispatch(p, now)
	}
}

// audit asks the holders of slots that have been in use for a long time whether
// they still hold them, as the message that ends the use may have been lost.
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

// handleAudit declines those slots of an audit that this router does not hold, so
// that the owner frees them.
func (s *State) handleAudit(from member.Member, m message.Audit) {
	for _, slot := range m.Slots {
		if !s.remoteSlots[slotKey{from.ID, from.Incarnation, slot}] {
			s.counts.LostSlots++
			s.outlet.Send(from, message.Decline{Slot: slot, Unknown: true})
		}
	}
}

func (s *State) handleDecline(from member.Member, m message.Decline, now time.Time) {
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
	s.view.SetWaiting(from.ID, p.name, u.Organisation, 0)
	s.dispatch(p, now)
}

func (s *State) handleDone(from member.Member, m message.Done, now time.Time) {
	end := request.RunEnd{Cost: m.Cost, Partial: m.Partial, Failed: m.Failed}
	p := s.release(m.Slot, m.Organisation, end, now)
	if p == nil {
		return
	}
	p.learnCost(m.Organisation, 0, end)
	s.view.SetWaiting(from.ID, p.name, m.Organisation, m.Waiting)
	s.dispatch(p, now)
}

func (s *State) handleReport(from member.Member, r message.Report, now time.Time) {
	if s.options.ViewDelay > 0 {
		s.delayedReports = append(s.delayedReports, delayedReport{now, from.ID, r})
		return
	}
	if s.view.ApplyReport(from.ID, r, now) {
		s.dispatchAll(now)
	}
}

// Tick does the periodic work, which includes sending this router's report. It
// is called once each report period.
func (s *State) Tick(now time.Time) {
	s.applyDelayed(now)
	s.updateOwners(now)
	s.reportForeign(now)
	s.audit(now)
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		p := s.pools[name]
		s.slots.Charge(name, p.throughput.perSecond(), now, p.charge)
		s.updatePolicy(p, now)
	}
	s.SendReport(now)
	s.dispatchAll(now)
}

func (s *State) applyDelayed(now time.Time) {
	for len(s.delayedReports) > 0 && now.Sub(s.delayedReports[0].receivedAt) >= s.options.ViewDelay {
		d := s.delayedReports[0]
		s.delayedReports = s.delayedReports[1:]
		s.view.ApplyReport(d.from, d.report, d.receivedAt)
	}
}

// updateOwners reassigns the engines if the configuration or the live routers
// have changed, and frees the slots held by dead routers.
func (s *State) updateOwners(now time.Time) {
	live := s.members.Live(now)
	if s.ownersRevision != s.snapshot.Revision || !slices.Equal(live, s.ownersLive) {
		s.assignEngines(live, now)
		s.ownersRevision, s.ownersLive = s.snapshot.Revision, live
	}
	for _, m := range s.members.Others(now) {
		if !s.members.Alive(m.ID, now) {
			s.removeRouter(m.ID)
		}
	}
}

// assignEngines determines the owner of each engine among the live routers.
func (s *State) assignEngines(live []member.Member, now time.Time) {
	self := s.members.Self().ID
	clear(s.owners)
	clear(s.remoteOwners)
	var owned []config.Box
	for _, box := range s.snapshot.Boxes(config.RoleEngine) {
		owner, ok := member.Owner(box.Name, box.Zone, live)
		if !ok {
			continue
		}
		s.owners[box.Name] = owner.ID
		if owner.ID == self {
			owned = append(owned, box)
			continue
		}
		s.remoteOwners[box.Pool] = append(s.remoteOwners[box.Pool], owner.ID)
	}
	s.slots.SetOwned(owned, now)
	s.setSlotRanges()
}

// setSlotRanges passes this router's part of each pool's slots to the view: a
// range between 0 and 1, in which the owners' parts follow each other by router
// ID.
func (s *State) setSlotRanges() {
	type count struct{ before, owned, all int }
	self := s.members.Self().ID
	counts := map[string]count{}
	for _, box := range s.snapshot.Boxes(config.RoleEngine) {
		c := counts[box.Pool]
		c.all += box.Slots
		switch owner := s.owners[box.Name]; {
		case owner == self:
			c.owned += box.Slots
		case owner < self:
			c.before += box.Slots
		}
		counts[box.Pool] = c
	}
	for pool, c := range counts {
		all := float64(c.all)
		s.view.SetSlotRange(pool, float64(c.before)/all, float64(c.before+c.owned)/all)
	}
}

func (s *State) removeRouter(id message.RouterID) {
	s.view.Forget(id)
	s.slots.ReleaseHolder(id)
}

// reportForeign sends the owners of engines the number of requests that this
// router still runs on them in slots granted by previous owners or incarnations.
func (s *State) reportForeign(now time.Time) {
	counts := map[foreignKey]int{}
	for key := range s.reportedForeign {
		counts[key] = 0
	}
	for _, r := range s.running {
		owner := s.owners[r.allocation.Engine]
		if !s.isCurrentOwner(owner, r.owner) {
			counts[foreignKey{r.allocation.Engine, owner}]++
		}
	}
	clear(s.reportedForeign)
	for key, n := range counts {
		s.sendForeign(key, n, now)
		if n > 0 {
			s.reportedForeign[key] = true
		}
	}
}

// isCurrentOwner reports whether an engine's owner is still the router, in the
// same incarnation, that granted a slot on it.
func (s *State) isCurrentOwner(owner message.RouterID, granter member.Member) bool {
	if owner != granter.ID {
		return false
	}
	current, ok := s.members.Lookup(owner)
	return !ok || current.Incarnation == granter.Incarnation
}

func (s *State) sendForeign(key foreignKey, n int, now time.Time) {
	if key.owner == s.members.Self().ID {
		s.slots.SetForeign(key.engine, key.owner, n, now, s.options.RouterTimeout)
		return
	}
	if to, ok := s.members.Lookup(key.owner); ok {
		s.outlet.Send(to, message.Held{Engine: key.engine, Foreign: n})
	}
}

// updatePolicy passes the fleet's service since the last call to the policy of a
// pool.
func (s *State) updatePolicy(p *pool, now time.Time) {
	totals := p.serviceTotals()
	states := map[string]fair.OrganisationState{}
	for name, total := range totals {
		states[name] = fair.OrganisationState{
			Served:     float64(total - p.observedService[name]),
			Backlogged: s.backlogged(p, name, now),
		}
	}
	p.observedService = totals
	s.view.DrainServed(p.name, func(name string, served float64, backlogged bool) {
		st := states[name]
		st.Served += served
		st.Backlogged = st.Backlogged || backlogged
		states[name] = st
	})
	list := make([]fair.OrganisationState, 0, len(states))
	for _, name := range slices.Sorted(maps.Keys(states)) {
		st := states[name]
		o, ok := s.snapshot.Organisation(name)
		if !ok {
			continue
		}
		st.Organisation, st.Weight = name, o.Weight
		list = append(list, st)
	}
	p.policy.Observe(fair.View{Organisations: list, Age: float64(s.view.Age(now)) / float64(s.options.ReportPeriod)})
}

// backlogged reports whether the first request in an organisation's queue at
// this router has waited for at least a report period.
func (s *State) backlogged(p *pool, organisation string, now time.Time) bool {
	first, ok := p.queue.Peek(organisation)
	return ok && now.Sub(first.Arrived()) >= s.options.ReportPeriod
}

// SendReport sends this router's report to all other routers.
func (s *State) SendReport(now time.Time) {
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
	p.announcedFree = r.Free
	for _, name := range slices.Sorted(maps.Keys(p.observedService)) {
		if p.observedService[name] == p.reportedService[name] && p.queue.Len(name) == 0 {
			continue
		}
		p.reportedService[name] = p.observedService[name]
		r.Organisations = append(r.Organisations, message.OrganisationReport{
			Organisation: name,
			Service:      p.observedService[name],
			Waiting:      p.queue.Len(name),
			Backlogged:   s.backlogged(p, name, now),
		})
	}
	return r
}
