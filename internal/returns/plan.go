package returns

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Count is the number of slots of a plan. Together they are as long as the window over which
	// organisations' shares are counted; few callers have the time to return later.
	Count = 40
	// averagedSlots is the number of slots, 2 s, over which started tokens are averaged: longer
	// than the interval between reports, which tell of other routers' starts all at once.
	averagedSlots = 20
	// sparePart is the part of what engines recently started that is not booked, one in sparePart:
	// callers that come for the first time need room, too.
	sparePart = 10
	// lateSlots is the number of slots at the end of the plan among which the least full is chosen
	// if all are full, and at its start if it is unknown what engines start.
	lateSlots = 10
)

// Counts counts bookings since the start.
type Counts struct {
	// Booked is the number of bookings, Full how many of them found all slots full.
	Booked, Full int64
	// Ignored is the number of other routers' slots that were invalid.
	Ignored int64
}

// Plan holds the bookings of this and other routers. Use New to make one. It is a plain state
// machine: time is passed in as an argument and one goroutine drives it.
type Plan struct {
	// start is when slots are counted from: the first use of the plan.
	start time.Time
	// services has the bookings and starts of each service, by name.
	services map[string]*service
	// peers has what each other router, or zone, last reported and is part of the sums of services.
	peers map[string][]booking
	// others is the number of other routers that are assumed to book as much as this one.
	others int
	// counts counts bookings since the start.
	counts Counts
}

// service has the bookings of one service: this router's, the sum over all routers, and those of
// this router that were not reported yet, or in the last report only.
type service struct {
	own, all, unreported, previous ring
	began                          average
}

// booking has a part of another router's bookings, from a slot counted from the plan's start.
type booking struct {
	service string
	first   int64
	tokens  []float64
}

// New returns a plan without bookings.
func New() *Plan {
	return &Plan{services: map[string]*service{}, peers: map[string][]booking{}}
}

// SetRouters sets the number of other routers that are assumed to book as much as this one.
func (p *Plan) SetRouters(others int) { p.others = others }

// Reported returns the tokens that this router and the others have reported as booked and that have
// not passed.
func (p *Plan) Reported(now time.Time) (own, others float64) {
	current := p.slot(now)
	for _, s := range p.services {
		s.own.advance(current)
		s.all.advance(current)
		s.unreported.advance(current)
		total := s.own.total()
		own += max(total-s.unreported.total(), 0)
		others += max(s.all.total()-total, 0)
	}
	return own, others
}

// Counts returns the numbers of bookings since the start.
func (p *Plan) Counts() Counts { return p.counts }

// Began records tokens of requests to a service that engines started, at this router or another.
// Negative tokens take back a request that was not started after all.
func (p *Plan) Began(now time.Time, service string, tokens float64) {
	p.service(service).began.add(p.slot(now), tokens)
}

// Book books a refused request's tokens in the first slot, at least earliest from now, whose
// bookings of all routers are below what engines recently started per slot, less a tenth. It
// returns when the caller should come back: a time within the slot given by random, from 0 to 1, and
// at most 4 s ahead.
// If all slots are full, it takes the least full one of the last ten. If it is unknown what engines
// start, it spreads callers evenly over a second.
func (p *Plan) Book(now time.Time, service string, tokens float64, earliest time.Duration, random float64) time.Duration {
	return p.BookUntil(now, service, tokens, earliest, Count*SlotWidth, random)
}

// BookUntil is like Book, for a caller that returns at most latest from now, whatever it is told. If
// all slots until then are full, it takes the least full one of the last ten of them.
func (p *Plan) BookUntil(now time.Time, service string, tokens float64, earliest, latest time.Duration, random float64) time.Duration {
	s, current := p.service(service), p.slot(now)
	s.own.advance(current)
	s.all.advance(current)
	s.unreported.advance(current)
	s.previous.advance(current)
	last := current + Count - 1
	wanted := now.Sub(p.start) + max(earliest, 0)
	first := min(int64((wanted+SlotWidth-1)/SlotWidth), last)
	last = min(max(int64((now.Sub(p.start)+max(latest, 0))/SlotWidth)-1, first), last)
	slot, ok := s.choose(first, last, s.began.perSlot(current)*(sparePart-1)/sparePart, p.others)
	p.counts.Booked++
	if !ok {
		p.counts.Full++
	}
	s.own.add(slot, tokens)
	s.all.add(slot, tokens)
	s.unreported.add(slot, tokens)
	begin := p.start.Add(time.Duration(slot) * SlotWidth).Sub(now)
	return max(begin+time.Duration(random*float64(SlotWidth)), min(earliest, Count*SlotWidth))
}

// choose returns the slot to book between two slots, and false if all are full.
func (s *service) choose(first, last int64, capacity float64, others int) (int64, bool) {
	factor := s.unreportedFactor(capacity, others)
	booked := func(slot int64) float64 { return s.all.at(slot) + factor*(s.unreported.at(slot)+s.previous.at(slot)) }
	if capacity <= 0 {
		return leastFull(booked, first, min(first+lateSlots-1, last)), true
	}
	for slot := first; slot <= last; slot++ {
		if booked(slot) < capacity {
			return slot, true
		}
	}
	return leastFull(booked, max(first, last-lateSlots+1), last), false
}

// unreportedFactor returns how much other routers are assumed to have booked that is not known here
// yet, relative to what this one booked since its last report but one: as much as they did before,
// and at first as much as it did, each. Otherwise all routers fill the same slots in a sudden burst,
// each alone: callers of 8 routers came back to 2 to 7 times what engines take. capacity is the
// weight of the assumption.
func (s *service) unreportedFactor(capacity float64, others int) float64 {
	if others <= 0 {
		return 0
	}
	n, own := float64(others), s.own.total()
	reported := max(own-s.unreported.total()-s.previous.total(), 0)
	if reported <= 0 && capacity <= 0 {
		return n
	}
	return min((s.all.total()-own+capacity)/(reported+capacity/n), n)
}

// Own returns the bookings of this router, to be reported to others, sorted by service. It also
// forgets what has passed.
func (p *Plan) Own(now time.Time) []Slots {
	current := p.slot(now)
	p.prune(current)
	var out []Slots
	for name, s := range p.services {
		s.own.advance(current)
		s.previous, s.unreported = s.unreported, ring{}
		if first, tokens := s.own.booked(); len(tokens) > 0 {
			out = append(out, Slots{Service: name, First: first - current, Tokens: tokens})
		}
	}
	slices.SortFunc(out, func(a, b Slots) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// SetPeer replaces another router's bookings, or those of a zone. Invalid ones are ignored, and those
// for a service that has some already.
func (p *Plan) SetPeer(now time.Time, router string, list []Slots) {
	current := p.slot(now)
	p.remove(current, router)
	var kept []booking
	for _, slots := range list {
		if !slots.Valid() || slices.ContainsFunc(kept, func(b booking) bool { return b.service == slots.Service }) {
			p.counts.Ignored++
			continue
		}
		b := booking{service: slots.Service, first: current + slots.First, tokens: slots.Tokens}
		p.add(current, b, 1)
		kept = append(kept, b)
	}
	if len(kept) > 0 {
		p.peers[router] = kept
	}
}

// RemovePeer removes another router's bookings because another report contains them. Those of a
// router that has ended are left until they have passed: its callers return elsewhere.
func (p *Plan) RemovePeer(now time.Time, router string) { p.remove(p.slot(now), router) }

func (p *Plan) remove(current int64, router string) {
	for _, b := range p.peers[router] {
		p.add(current, b, -1)
	}
	delete(p.peers, router)
}

// add adds another router's bookings to the sum (sign 1) or takes them out (sign -1).
func (p *Plan) add(current int64, b booking, sign float64) {
	s := p.service(b.service)
	s.all.advance(current)
	for i, tokens := range b.tokens {
		s.all.add(b.first+int64(i), sign*tokens)
	}
}

// prune forgets routers whose bookings have passed, and unused services.
func (p *Plan) prune(current int64) {
	for router, list := range p.peers {
		if !slices.ContainsFunc(list, func(b booking) bool { return b.first+int64(len(b.tokens)) > current }) {
			delete(p.peers, router)
		}
	}
	for name, s := range p.services {
		s.all.advance(current)
		if _, booked := s.all.booked(); len(booked) == 0 && s.began.last+averagedSlots < current {
			delete(p.services, name)
		}
	}
}

func (p *Plan) service(name string) *service {
	s := p.services[name]
	if s == nil {
		s = &service{}
		p.services[name] = s
	}
	return s
}

// slot returns the number of the slot of a time, counted from the first use of the plan.
func (p *Plan) slot(now time.Time) int64 {
	if p.start.IsZero() {
		p.start = now
	}
	return max(int64(now.Sub(p.start)/SlotWidth), 0)
}
