// Package control is the router's control state: which requests wait, which
// slots are free, and what the fleet is doing. It is a plain state machine;
// time and randomness come in as arguments and decisions go out through an
// Outlet, so that one goroutine drives it in production and a seeded test
// drives it in CI.
package control

import (
	"math/rand/v2"
	"time"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/fair"
	"github.com/stepcroft/stepcroft/internal/fleetview"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/place"
	"github.com/stepcroft/stepcroft/internal/port"
	"github.com/stepcroft/stepcroft/internal/request"
)

// Outlet carries out what the state decides.
type Outlet interface {
	// Decide tells a waiting request's goroutine its slot or its refusal.
	Decide(t *request.Ticket, d request.Decision)
	// Send sends a message to another router.
	Send(to member.Member, m message.Message)
}

// Options are the fixed parameters of a State.
type Options struct {
	Self member.Member
	// Period is the time between two reports.
	Period time.Duration
	// Timeout is after how long without a report a router counts as dead.
	Timeout time.Duration
	// MaxWaiting bounds the requests queued at this router.
	MaxWaiting int
	// ViewDelay holds reports back before they are used, for experiments.
	ViewDelay time.Duration
	// Policy overrides the pools' policies unless empty, for experiments.
	Policy string
}

// State is one router's control state. Use New to make one; it is for one
// goroutine only.
type State struct {
	options  Options
	random   *rand.Rand
	outlet   Outlet
	snapshot config.Snapshot
	members  *member.Table
	view     *fleetview.View
	slots    *place.Slots
	pools    map[string]*pool
	running  map[*request.Ticket]*run
	// held are the slots of other owners that this router uses.
	held     map[heldKey]bool
	waiting  int
	sequence uint64
	leaving  bool
	closed   bool
	delayed  []delayed
	owners   map[string]message.RouterID
	// turns are the other owners of each pool's engines, once an engine.
	turns map[string][]message.RouterID
	// ownedAt and ownedBy are what owners was worked out from.
	ownedAt uint64
	ownedBy []member.Member
	foreign map[foreignKey]bool
	counts  Counts
}

// run is a request in progress through this router.
type run struct {
	owner  member.Member
	use    place.Allocation
	remote bool
	// chosen is set where a slot was granted for one organisation and this
	// router chose another: then it is charged here and not by the owner.
	chosen bool
}

// heldKey names a slot for the whole fleet.
type heldKey struct {
	owner       message.RouterID
	incarnation uint64
	slot        uint64
}

func (r *run) key() heldKey { return heldKey{r.owner.ID, r.owner.Incarnation, r.use.Slot} }

// delayed is a report held back; came is when it came.
type delayed struct {
	came   time.Time
	from   message.RouterID
	report message.Report
}

// New returns the state of a router that knows no configuration yet.
func New(o Options, outlet Outlet, r *rand.Rand, now time.Time) *State {
	return &State{
		options: o,
		random:  r,
		outlet:  outlet,
		members: member.New(o.Self, o.Timeout, now),
		view:    fleetview.New(r),
		slots:   place.New(uint64(r.Uint32()) << 24),
		pools:   map[string]*pool{},
		running: map[*request.Ticket]*run{},
		held:    map[heldKey]bool{},
		owners:  map[string]message.RouterID{},
		turns:   map[string][]message.RouterID{},
		foreign: map[foreignKey]bool{},
	}
}

// Configure takes a newer configuration. Waiting requests stay where they
// are, also when their pool's policy changes.
func (s *State) Configure(snapshot config.Snapshot, now time.Time) {
	invariant.Check(snapshot.Revision >= s.snapshot.Revision, invariant.NeverReverts)
	s.snapshot = snapshot
	s.members.Listed(snapshot.Boxes(config.RoleRouter))
	for _, p := range snapshot.Pools() {
		s.configurePool(p)
	}
	s.reown(now)
	s.dispatchAll(now)
}

func (s *State) configurePool(c config.Pool) {
	name := c.Policy
	if s.options.Policy != "" {
		name = s.options.Policy
	}
	p := s.pools[c.Name]
	if p == nil {
		p = newPool(c.Name)
		s.pools[c.Name] = p
	}
	if p.named == name {
		return
	}
	// A snapshot holds no unknown policy: config checks them.
	if policy, err := fair.New(name, s.random); err == nil {
		p.policy, p.named = policy, name
	}
}

// Arrive queues a request or refuses it at once.
func (s *State) Arrive(t *request.Ticket, now time.Time) {
	p := s.pools[t.Pool()]
	if reason, after := s.admit(p, t, now); reason != "" {
		s.outlet.Decide(t, request.Decision{Refused: reason, After: after})
		return
	}
	s.enqueue(p, t)
	s.dispatch(p, now)
	if _, waits := p.handles[t]; waits {
		s.ask(p, t.Organisation())
	}
}

func (s *State) enqueue(p *pool, t *request.Ticket) {
	_, waits := p.handles[t]
	invariant.Check(!waits && s.running[t] == nil, invariant.DecidedOnce)
	p.handles[t] = p.queue.Push(t)
	s.waiting++
}

// Retry queues a request again that is to run elsewhere; the engine that it
// was sent to gets nothing until it answers again.
func (s *State) Retry(t *request.Ticket, now time.Time) {
	s.Finish(t, request.End{Failed: true}, now)
	p := s.pools[t.Pool()]
	if p == nil {
		s.outlet.Decide(t, request.Decision{Refused: request.ReasonUnknownModel})
		return
	}
	s.enqueue(p, t)
	s.dispatch(p, now)
}

// Cancel takes a request out of its queue; its goroutine is told the reason.
// A request that has a slot already is not affected.
func (s *State) Cancel(t *request.Ticket, reason request.Reason) {
	p := s.pools[t.Pool()]
	if p == nil {
		return
	}
	h, ok := p.handles[t]
	if !ok {
		return
	}
	p.queue.Remove(h)
	s.dequeued(p, t)
	s.outlet.Decide(t, request.Decision{Refused: reason})
}

func (s *State) dequeued(p *pool, t *request.Ticket) {
	delete(p.handles, t)
	s.waiting--
}

// Finish frees the slot of a request that ended.
func (s *State) Finish(t *request.Ticket, end request.End, now time.Time) {
	r := s.running[t]
	if r == nil {
		return
	}
	delete(s.running, t)
	p := s.pools[t.Pool()]
	p.running[t.Organisation()]--
	p.learn(t.Organisation(), t.Hint(), end)
	if !r.remote {
		s.release(r.use.Slot, t.Organisation(), end, now)
		s.dispatch(p, now)
		return
	}
	cost := p.settle(end, now.Sub(r.use.Since))
	if r.chosen {
		p.charge(t.Organisation(), cost-r.use.Charged)
	}
	delete(s.held, r.key())
	s.outlet.Send(r.owner, message.Done{
		Slot:         r.use.Slot,
		Organisation: t.Organisation(),
		Cost:         end.Cost,
		Waiting:      p.queue.Len(t.Organisation()),
		Partial:      end.Partial,
		Failed:       end.Failed,
	})
}

// release returns a slot that this router owns and corrects the charge for
// it. It returns the slot's pool, nil if the slot was not in use.
func (s *State) release(slot uint64, organisation string, end request.End, now time.Time) *pool {
	u, ok := s.slots.Release(slot)
	if !ok {
		s.counts.StaleSlots++
		return nil
	}
	if end.Failed {
		s.slots.MarkUnreachable(u.Engine)
	}
	p := s.pools[u.Pool]
	cost := p.settle(end, now.Sub(u.Since))
	if organisation == u.Organisation {
		p.charge(organisation, cost-u.Charged)
		return p
	}
	// The holder chose another organisation, and was charged for it.
	p.charge(u.Organisation, -u.Charged)
	return p
}

// Loaded takes in an engine's own report of its load.
func (s *State) Loaded(engine string, load port.EngineLoad, now time.Time) {
	s.slots.RecordLoad(engine, load, now)
	s.dispatchAll(now)
}

// Unreachable notes that an engine did not answer.
func (s *State) Unreachable(engine string) { s.slots.MarkUnreachable(engine) }

// Owned returns the boxes of the engines that this router owns.
func (s *State) Owned() []config.Box { return s.slots.Owned() }

// Leave starts a planned stop: this router gives up its engines and is no
// longer named to callers, but serves those that come by an older answer.
func (s *State) Leave(now time.Time) {
	s.leaving = true
	s.members.Leave()
	s.Report(now)
	s.reown(now)
	s.handOver(now)
}

// Close makes the router refuse new requests: the answers by which callers
// came here have expired.
func (s *State) Close() { s.closed = true }

// Idle reports whether no request waits or runs.
func (s *State) Idle() bool { return s.waiting == 0 && len(s.running) == 0 }

// Members returns the routers that callers may use: alive and not leaving.
func (s *State) Members(now time.Time) []member.Member { return s.members.Live(now) }

// Lookup returns another router by its id, if it is alive.
func (s *State) Lookup(id message.RouterID, now time.Time) (member.Member, bool) {
	if !s.members.Alive(id, now) {
		return member.Member{}, false
	}
	return s.members.Lookup(id)
}
