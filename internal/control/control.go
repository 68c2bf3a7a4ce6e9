// Package control holds a router's control state: the requests that wait, the
// free slots, and what is known of the other routers. It is a plain state
// machine. Time and randomness are passed in and decisions go out through an
// Outlet, so that a test can run it deterministically. In production a single
// goroutine drives it.
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

// Outlet carries out the decisions of a State.
type Outlet interface {
	// Decide passes the engine or the reason of a refusal to the goroutine of a
	// waiting request.
	Decide(t *request.Ticket, d request.Decision)
	// Send sends a message to another router.
	Send(to member.Member, m message.Message)
}

// Options are the fixed parameters of a State.
type Options struct {
	Self member.Member
	// ReportPeriod is the time between two reports.
	ReportPeriod time.Duration
	// RouterTimeout is the time without a message after which a router counts as
	// dead.
	RouterTimeout time.Duration
	// MaxWaiting bounds the requests queued at this router.
	MaxWaiting int
	// ViewDelay delays the use of reports received, for experiments.
	ViewDelay time.Duration
	// Policy overrides the policies of all pools if not empty, for experiments.
	Policy string
}

// State is one router's control state. Use New to make one. It is not safe for
// concurrent use.
type State struct {
	options  Options
	random   *rand.Rand
	outlet   Outlet
	snapshot config.Snapshot
	members  *member.Table
	view     *fleetview.View
	slots    *place.Slots
	pools    map[string]*pool
	running  map[*request.Ticket]*activeRequest
	// remoteSlots are the slots of other routers' engines that this router uses.
	remoteSlots    map[slotKey]bool
	waiting        int
	sequence       uint64
	leaving        bool
	closed         bool
	delayedReports []delayedReport
	// owners maps each engine to the router that owns it.
	owners map[string]message.RouterID
	// remoteOwners lists the other routers that own engines of a pool, by pool. A
	// router is listed once for each engine that it owns.
	remoteOwners map[string][]message.RouterID
	// ownersRevision and ownersLive are the configuration revision and the live
	// routers from which owners was computed.
	ownersRevision uint64
	ownersLive     []member.Member
	// reportedForeign are the engines and owners for which the method
	// reportForeign last sent a count above zero.
	reportedForeign map[foreignKey]bool
	counts          Counts
}

// activeRequest is a request that this router has sent to an engine.
type activeRequest struct {
	// owner is the router that owned the engine when the request got its slot.
	owner      member.Member
	allocation place.Allocation
	// remote is set if owner is another router.
	remote bool
	// substituted is set if the slot was granted for one organisation and this
	// router used it for another. The latter is charged here and not by the owner.
	substituted bool
}

// slotKey identifies a slot across the fleet.
type slotKey struct {
	owner       message.RouterID
	incarnation uint64
	slot        uint64
}

func (r *activeRequest) key() slotKey {
	return slotKey{r.owner.ID, r.owner.Incarnation, r.allocation.Slot}
}

// delayedReport is a report that is used only after Options.ViewDelay.
type delayedReport struct {
	receivedAt time.Time
	from       message.RouterID
	report     message.Report
}

// New returns the state of a router that has no configuration yet.
func New(o Options, outlet Outlet, r *rand.Rand, now time.Time) *State {
	return &State{
		options:         o,
		random:          r,
		outlet:          outlet,
		members:         member.New(o.Self, o.RouterTimeout, now),
		view:            fleetview.New(r),
		slots:           place.New(uint64(r.Uint32()) << 24),
		pools:           map[string]*pool{},
		running:         map[*request.Ticket]*activeRequest{},
		remoteSlots:     map[slotKey]bool{},
		owners:          map[string]message.RouterID{},
		remoteOwners:    map[string][]message.RouterID{},
		reportedForeign: map[foreignKey]bool{},
	}
}

// Configure applies a newer configuration. Waiting requests keep their places
// in the queue, also when their pool's policy changes.
func (s *State) Configure(snapshot config.Snapshot, now time.Time) {
	invariant.Check(snapshot.Revision >= s.snapshot.Revision, invariant.NeverReverts)
	s.snapshot = snapshot
	s.members.SetListed(snapshot.Boxes(config.RoleRouter))
	for _, p := range snapshot.Pools() {
		s.configurePool(p)
	}
	s.updateOwners(now)
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
	if p.policyName == name {
		return
	}
	// Unknown policies cannot occur here: package config rejects them.
	if policy, err := fair.New(name, s.random); err == nil {
		p.policy, p.policyName = policy, name
	}
}

// Arrive queues a new request or refuses it at once.
func (s *State) Arrive(t *request.Ticket, now time.Time) {
	p := s.pools[t.Pool()]
	if reason, after := s.admit(p, t, now); reason != "" {
		s.outlet.Decide(t, request.Decision{Refused: reason, RetryAfterSeconds: after})
		return
	}
	s.enqueue(p, t)
	s.dispatch(p, now)
	if _, queued := p.handles[t]; queued {
		s.askForSlot(p, t.Organisation())
	}
}

func (s *State) enqueue(p *pool, t *request.Ticket) {
	_, queued := p.handles[t]
	invariant.Check(!queued && s.running[t] == nil, invariant.DecidedOnce)
	p.handles[t] = p.queue.Push(t)
	s.waiting++
}

// Retry queues a request again after its engine failed. That engine gets no
// more requests until it reports its load again.
func (s *State) Retry(t *request.Ticket, now time.Time) {
	s.Finish(t, request.RunEnd{Failed: true}, now)
	p := s.pools[t.Pool()]
	if p == nil {
		s.outlet.Decide(t, request.Decision{Refused: request.ReasonUnknownModel})
		return
	}
	s.enqueue(p, t)
	s.dispatch(p, now)
}

// Cancel removes a request from its queue and refuses it with the given reason.
// It does nothing if the request has a slot already.
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
	s.afterDequeue(p, t)
	s.outlet.Decide(t, request.Decision{Refused: reason})
}

func (s *State) afterDequeue(p *pool, t *request.Ticket) {
	delete(p.handles, t)
	s.waiting--
}

// Finish frees the slot of a request that has ended.
func (s *State) Finish(t *request.Ticket, end request.RunEnd, now time.Time) {
	r := s.running[t]
	if r == nil {
		return
	}
	delete(s.running, t)
	p := s.pools[t.Pool()]
	p.running[t.Organisation()]--
	p.learnCost(t.Organisation(), t.CostHint(), end)
	if !r.remote {
		s.release(r.allocation.Slot, t.Organisation(), end, now)
		s.dispatch(p, now)
		return
	}
	cost := p.finalCost(end, now.Sub(r.allocation.Since))
	if r.substituted {
		p.charge(t.Organisation(), cost-r.allocation.Charged)
	}
	delete(s.remoteSlots, r.key())
	s.outlet.Send(r.owner, message.Done{
		Slot:         r.allocation.Slot,
		Organisation: t.Organisation(),
		Cost:         end.Cost,
		Waiting:      p.queue.Len(t.Organisation()),
		Partial:      end.Partial,
		Failed:       end.Failed,
	})
}

// release frees a slot of an engine that this router owns and corrects the
// charge for it. It returns the slot's pool, or nil if the slot was not in use.
func (s *State) release(slot uint64, organisation string, end request.RunEnd, now time.Time) *pool {
	u, ok := s.slots.Release(slot)
	if !ok {
		s.counts.StaleSlots++
		return nil
	}
	if end.Failed {
		s.slots.MarkUnreachable(u.Engine)
	}
	p := s.pools[u.Pool]
	cost := p.finalCost(end, now.Sub(u.Since))
	if organisation == u.Organisation {
		p.charge(organisation, cost-u.Charged)
		return p
	}
	// The holder used the slot for another organisation and has charged that one.
	p.charge(u.Organisation, -u.Charged)
	return p
}

// RecordLoad records the load that an engine reported.
func (s *State) RecordLoad(engine string, load port.EngineLoad, now time.Time) {
	s.slots.RecordLoad(engine, load, now)
	s.dispatchAll(now)
}

// MarkUnreachable records that an engine did not answer.
func (s *State) MarkUnreachable(engine string) { s.slots.MarkUnreachable(engine) }

// OwnedEngines returns the boxes of the engines that this router owns.
func (s *State) OwnedEngines() []config.Box { return s.slots.Owned() }

// Leave starts a planned shutdown: this router hands its engines over to others
// and its address is no longer given to callers, but it still serves callers
// that were given it before.
func (s *State) Leave(now time.Time) {
	s.leaving = true
	s.members.MarkLeaving()
	s.SendReport(now)
	s.updateOwners(now)
	s.reportForeign(now)
}

// Close makes the router refuse new requests. It is called some time after Leave,
// once the answers that gave callers this router's address have expired.
func (s *State) Close() { s.closed = true }

// Idle reports whether no request waits or runs.
func (s *State) Idle() bool { return s.waiting == 0 && len(s.running) == 0 }

// LiveRouters returns the routers whose addresses callers may be given: those alive
// and not leaving, this router included.
func (s *State) LiveRouters(now time.Time) []member.Member { return s.members.Live(now) }

// Lookup returns another router by its ID, if it is alive.
func (s *State) Lookup(id message.RouterID, now time.Time) (member.Member, bool) {
	if !s.members.Alive(id, now) {
		return member.Member{}, false
	}
	return s.members.Lookup(id)
}
