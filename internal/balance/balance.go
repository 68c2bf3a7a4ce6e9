// Package balance decides which target a request is sent to and when. It keeps requests with
// the same shared prompt prefix at one engine, bounds the pending prompt tokens (prefill
// backlog) of engines, queues requests for a moment if no engine has room, and serves first
// the organisations that were served less than others. State is a plain state machine: it gets
// the time as an argument and must be driven by one goroutine.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/advice"
	"github.com/stepcroft/stepcroft/internal/announcement"
	"github.com/stepcroft/stepcroft/internal/bookings"
	"github.com/stepcroft/stepcroft/internal/coldstart"
	"github.com/stepcroft/stepcroft/internal/enginespeed"
	"github.com/stepcroft/stepcroft/internal/fairshare"
	"github.com/stepcroft/stepcroft/internal/feature"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/pace"
	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/retrybudget"
	"github.com/stepcroft/stepcroft/internal/rollout"
	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/servedversion"
	"github.com/stepcroft/stepcroft/internal/throttle"
	"github.com/stepcroft/stepcroft/internal/view"
)

const (
	// memoryPercent is the part of an engine's memory that the unshared tokens of running
	// requests may take. An engine preempts requests once its memory is full; the rest of the
	// memory caches shared prefixes.
	memoryPercent = 55
	// spareSlots is the number of an engine's slots left free, if it has more, for requests that
	// other routers sent and have not reported yet.
	spareSlots = 2
	// extraSlotsPercent is how many requests beyond its slots a target of a plain service
	// gets. Its answers are short, and an empty queue there means an idle slot.
	extraSlotsPercent = 50
	// timelyPercent is the part of its goal within which a request to a plain service should
	// end, including its wait behind the requests already running there. maxQueueFactor bounds
	// the running requests to that many times the slots.
	timelyPercent  = 60
	maxQueueFactor = 4
	// serviceTimeWeight is the weight of the newest sample in the average service time.
	serviceTimeWeight = 0.05
	// A queue of at most eagerDispatchLength requests is searched at each event, a longer one
	// once in dispatchInterval and until maxFailedPlacements requests found no room. This
	// bounds the processor time that a flooded router spends on its queue.
	eagerDispatchLength = 8
	dispatchInterval    = 10 * time.Millisecond
	maxFailedPlacements = 16
	// maxQueueLength bounds the requests waiting at a router; further ones are refused at
	// once.
	maxQueueLength = 2000
	// maxWaitingPerOrganisation bounds one organisation's waiting requests to engines. A
	// router finds room for about that many before they time out; more would only take memory.
	maxWaitingPerOrganisation = 24
)

// Limits are the limits that the deployment configures.
type Limits struct {
	// RetryRatio is the number of retries per request that all routers together may make in
	// RetryWindow, in addition to RetrySlack retries.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// QuotaWindow is the time over which the shares of organisations are counted.
	QuotaWindow time.Duration
	// ColdOver and ColdSlack bound the requests to a cold target: it may get ColdOver times
	// its rate plus ColdSlack requests a second from all routers together.
	ColdOver, ColdSlack float64
}

// Target is an engine or a target of a plain service.
type Target struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Version is the version of the target's software.
	Version string
	Slots   int
	// Born is when the target's process started, in Unix milliseconds; 0 if unknown.
	Born int64
	// Writes is the number of times that this process had written its directory entry; 0 if
	// unknown.
	Writes int64
	// Revision is the store's revision of the directory entry's last change, which orders the
	// entries of all targets; 0 if unknown.
	Revision int64
	// Leaving targets (shutting down in a planned way) and targets in a drained availability
	// zone get no new requests.
	Leaving, Drained bool
	// ColdLeft is how much longer the target reported to be cold, ColdUntil the latest time at
	// which that ends.
	ColdLeft  time.Duration
	ColdUntil time.Time
	// LapsedAt is when the target's entry lapsed, that is, when its TTL ran out while the
	// store was unavailable; zero for a listed target. The target may be used without an entry
	// until UsableUntil, or until the store is back if UsableUntil is zero.
	LapsedAt, UsableUntil time.Time
}

// Closed reports whether a target gets no new requests.
func (t Target) Closed(now time.Time) bool {
	return t.Leaving || t.Drained || !t.UsableUntil.IsZero() && !now.Before(t.UsableUntil)
}

// target is a Target with the state that this router keeps about it.
type target struct {
	Target
	// hash is the rendezvous hash of the id. incarnation is the name that Target.Incarnation
	// returns.
	hash        uint64
	incarnation string
	// coldUntil is the latest time at which the target is still cold.
	coldUntil time.Time
	// reported is what the target reported about itself in its answers; nil if nothing.
	reported *advice.Record
	// activity is noActivity for targets that were not used lately. State.use allocates it.
	*activity
}

// State is the control state of a router. Use New to make one.
type State struct {
	zone string
	// regions has the region of each availability zone.
	regions map[string]string
	limits  Limits
	// features are the switches of optional decisions.
	features feature.Set
	random   *rand.Rand
	table    *routing.Table
	targets  map[string]*target
	// leaving is the number of listed targets whose entries say that they are leaving.
	leaving int
	// exits has when processes are known to have ended, by incarnation, see RecordExit.
	exits map[string]exit
	// replaced holds targets whose process may go on although their entry is that of another one.
	replaced []replaced
	services map[string]*service
	// active holds the listed targets with an activity, cold those that may be cold.
	active, cold map[*target]struct{}
	// releasedAt is when activities were last released.
	releasedAt time.Time
	// paces has the models of prefill times that were learnt for each service's engines.
	paces map[string]*pace.Model
	// speeds compares the engines of a service.
	speeds *enginespeed.Book
	// comparedAt is when compareEngines last did so. factors is its scratch space.
	comparedAt time.Time
	factors    []float64
	// pauses has the models of streams that were learnt for each service.
	pauses pauses
	queue  []*Ticket
	// unstarted is the number of requests whose targets have not started to answer.
	unstarted int
	// lastDispatch is when the queue was last searched.
	lastDispatch time.Time
	// shares has what organisations asked for and were served.
	shares *fairshare.Book
	// peers is what other routers reported.
	peers *view.View
	// runningPeers is the number of other routers believed to be running, servingPeers how
	// many of those serve callers.
	runningPeers, servingPeers int
	// invalidUsage counts invalid usages in other routers' reports.
	invalidUsage int64
	// unmetLead is the last result of maxLead for organisations with unmet demand.
	unmetLead lead
	budget    *retrybudget.Budget
	throttle  *throttle.Controller
	// holders has the targets known to cache parts of prompts, for services that are not searched as a
	// whole.
	holders *prefix.Holders[*target]
	// sample, good, suspect, near and missing are scratch space for choosing a target.
	sample, good, suspect, near, preferred []*target
	missing                                []int
	// onLongPrompt is called with loads that other routers should learn at once; nil if not
	// set.
	onLongPrompt      func(target string, now, added view.Load)
	longPromptLimiter *announcement.Limiter
	// coldAllowance returns how many requests this router may send to a cold target in a
	// second; a nil function allows none. coldSkips counts how often a target was skipped for
	// that.
	coldAllowance func(now time.Time, target string, r coldstart.Rate) int
	coldSkips     int64
	// rollouts decides which requests may go to which version of a service; nil allows all.
	rollouts *rollout.Tracker
	// routes has the services that streams were sent to; nil if routes do not change.
	routes *routehistory.History
	// Book has the versions of each service. routesChanged is set if routes have changed since the last call of
	// TakeNewlyMixed. onStreamBegun is called when a stream begins; nil if not set.
	*servedversion.Book
	routesChanged bool
	// heldStreams is the number of streams that were kept from such a version.
	heldStreams       int64
	onStreamBegun     func(now time.Time, b Stream, shared bool)
	advice            advice.Records
	sentAgainstAdvice SentAgainstAdvice
	// backoffs counts the backoffs that this router started without a target having asked for
	// one.
	backoffs  int64
	forecasts forecasts
	// returning plans when refused callers return.
	returning *bookings.Book
}

// New returns the state of a router in an availability zone, without any targets.
func New(now time.Time, zone string, limits Limits, random *rand.Rand) *State {
	peers := view.New(now, limits.QuotaWindow)
	s := &State{
		zone:              zone,
		limits:            limits,
		random:            random,
		targets:           map[string]*target{},
		exits:             map[string]exit{},
		services:          map[string]*service{},
		active:            map[*target]struct{}{},
		cold:              map[*target]struct{}{},
		releasedAt:        now,
		holders:           prefix.NewHolders[*target](now),
		paces:             map[string]*pace.Model{},
		speeds:            enginespeed.New(now),
		throttle:          throttle.New(tickInterval, maxWaitingPerOrganisation),
		shares:            fairshare.New(limits.QuotaWindow, peers),
		peers:             peers,
		longPromptLimiter: announcement.New(now),
		forecasts:         newForecasts(),
		returning:         bookings.New(limits.QuotaWindow),
		budget:            retrybudget.New(now, limits.retries()),
	}
	s.Book = servedversion.New(now, listedTargets{s})
	return s
}

// Configure applies a new configuration.
func (s *State) Configure(t *routing.Table) {
	s.table = t
	s.shares.SetCapacity(t.Limits().TokensPerSecond)
}

// Arrive accepts a request. Its decision follows on the ticket's channel: at once, when there
// is room, or when the request has waited long enough.
func (s *State) Arrive(now time.Time, t *Ticket) {
	s.budget.CountRequest(now, t.Service)
	s.shares.AddDemand(now, t.Organisation, t.tokens())
	s.arrive(now, t)
}

func (s *State) arrive(now time.Time, t *Ticket) {
	t.started = false
	t.expires = now.Add(s.maxWait(now, t))
	if t.expires.After(t.Deadline) {
		t.expires = t.Deadline
	}
	if !s.mustQueue(now, t) && s.assign(now, t) {
		return
	}
	if why, ok := s.unservable(now, t); ok {
		s.refuse(now, t, why)
		return
	}
	if !t.Resumes && !t.isSecond && (len(s.queue) >= maxQueueLength || s.exceedsWaitingLimit(now, t)) {
		s.refuse(now, t, Full)
		return
	}
	if s.refuseEarly(now, t) {
		return
	}
	s.queue = append(s.queue, t)
	s.unmetLead = lead{}
}

// assign sends a request to the best target with room, if there is one, or refuses it if it cannot
// finish at any. It returns false if the request has to wait.
func (s *State) assign(now time.Time, t *Ticket) bool {
	best, ok := s.choose(now, t)
	if s.checkPauses(now, t) {
		return true
	}
	if !ok {
		return false
	}
	s.send(now, t, best)
	return true
}

func (s *State) send(now time.Time, t *Ticket, p placement) {
	to := p.target
	invariant.Check(!to.Closed(now), invariant.LeftInTime)
	t.target = to
	t.sentAt = now
	t.ConnectedAt.Store(0)
	if t.StreamID != "" && !t.Version.IsSet() {
		s.NoteBegun(to.serviceVersion())
	}
	t.foundFreeSlot = !t.Engine && s.loadOf(now, to).Running < to.Slots
	t.load = view.Load{PendingTokens: p.uncachedTokens, Running: 1, MemoryTokens: t.unsharedTokens()}
	t.work = p.work
	s.use(now, to)
	s.beginPauses(now, t)
	to.localLoad = to.localLoad.Plus(t.load)
	to.unstarted = append(to.unstarted, t)
	s.unstarted++
	to.running[t] = struct{}{}
	to.cache.Add(now, t.Parts)
	for _, p := range t.Parts {
		s.noteParts(now, to, p.ID)
	}
	s.countSend(now, to)
	s.noteSent(now, t, to)
	if t.Engine {
		s.shares.AddServed(now, t.Organisation, t.tokens())
		s.recordBegan(now, t, t.tokens())
		if s.forecasted(t) {
			s.shares.RecordStart(now, t.Organisation, t.Service)
		}
		s.throttle.RecordSent(t.Organisation, t.size())
	}
	if s.onLongPrompt != nil && s.longPromptLimiter.Allow(now, p.uncachedTokens, s.servingPeers+1) {
		s.onLongPrompt(to.incarnation, to.localLoad, t.load)
	}
	d := Decision{Target: to.Target, InDoubt: s.inDoubt(now, to), Unheard: t.isSecond && !to.wasHeard(now), Waited: now.Sub(t.Arrived), PendingTokens: s.loadOf(now, to).PendingTokens, UncachedTokens: p.uncachedTokens}
	if p.source != nil {
		d.Source, d.FetchedTokens = p.source.Target, p.fetchTokens
	}
	if t.Engine {
		d.Speed = s.factor(now, to)
	}
	if !to.LapsedAt.IsZero() {
		d.LapsedFor = now.Sub(to.LapsedAt)
	}
	t.Decision <- d
}

// Started records that a request's target has started to answer it.
func (s *State) Started(now time.Time, t *Ticket) {
	if t.started || t.target == nil {
		return
	}
	t.started = true
	t.slow = s.startedSlowly(now, t)
	s.reportStream(now, t)
	t.target.endProbe(t)
	t.target.consecutiveRefusals = 0
	t.target.health.RecordProgress(now)
	if t.Engine && t.Stream {
		s.observeFirstEvent(now, t)
	}
	t.target.localLoad.PendingTokens -= t.load.PendingTokens
	t.load.PendingTokens = 0
	s.removeUnstarted(t.target, t)
	s.dispatch(now)
}

// Ended records that a request's exchange with its target is over.
func (s *State) Ended(now time.Time, t *Ticket, how Result) {
	to := t.target
	if to == nil {
		return
	}
	t.target = nil
	to.usedAt = now
	s.observePauses(now, t, to, how)
	to.localLoad = to.localLoad.Minus(t.load)
	s.removeUnstarted(to, t)
	delete(to.running, t)
	if how == Answered {
		to.endProbe(t)
	} else if to.probe == t {
		to.probe = nil
	}
	if how == Refused {
		s.countRefusal(now, to)
	}
	to.recordResult(now, how)
	s.recordVersion(now, t, to, how)
	if how == Answered && !t.Engine && t.foundFreeSlot {
		to.learnServiceTime(now.Sub(t.sentAt))
	}
	if how == Answered && t.Stream && t.Output > 0 {
		s.throttle.ObservePieces(int(t.Pieces.Load()), t.Output)
	}
	// A second send that the first target overtakes is the router's affair, not its organisation's.
	if how == Refused || how == Unreachable || t.isSecond && !t.started && how == Abandoned {
		s.shares.AddServed(now, t.Organisation, -t.tokens())
		s.recordBegan(now, t, -t.tokens())
	}
	s.dispatch(now)
}

// learnServiceTime adds the time of a request that found a free slot to the average.
func (t *target) learnServiceTime(took time.Duration) {
	if t.serviceTime == 0 {
		t.serviceTime = took
		return
	}
	t.serviceTime += time.Duration(serviceTimeWeight * float64(took-t.serviceTime))
}

func (s *State) removeUnstarted(t *target, k *Ticket) {
	if i := slices.Index(t.unstarted, k); i >= 0 {
		t.unstarted = slices.Delete(t.unstarted, i, i+1)
		s.unstarted--
	}
}

// Tick refuses requests that have waited long enough and suspects targets that have fallen
// silent. It must be called every few tens of milliseconds.
func (s *State) Tick(now time.Time) {
	for t := range s.active {
		t.checkSilence(now)
	}
	s.releaseUnused(now)
	s.checkExits(now)
	s.checkReplaced(now)
	s.holders.Prune(now)
	s.speeds.Expire(now)
	s.compareEngines(now)
	s.dispatch(now)
	kept := s.queue[:0]
	for _, t := range s.queue {
		if now.Before(t.expires) {
			kept = append(kept, t)
			continue
		}
		s.recordWait(now, t, false)
		s.refuse(now, t, s.refusalReason(now, t))
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// SetFeatures sets the switches of optional decisions.
func (s *State) SetFeatures(f feature.Set) { s.features = f }

// enabled reports whether an optional decision applies to a service.
func (s *State) enabled(f feature.Switch, service string) bool {
	return f.Enabled(s.table != nil && s.table.ToleratesPauses(service))
}

// SetLimits applies changed limits.
func (s *State) SetLimits(l Limits) {
	s.budget = s.budget.WithLimits(l.retries())
	s.limits = l
	s.shares.SetWindow(l.QuotaWindow)
	s.returning.SetWindow(l.QuotaWindow)
	s.peers.SetWindow(l.QuotaWindow)
}
