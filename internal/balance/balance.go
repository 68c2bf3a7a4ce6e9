// Package balance decides which target a request is sent to and when. It
// keeps each prompt's shared parts at one engine, bounds the prompt tokens
// that engines have yet to read, lets requests wait for a moment where no
// engine has room, and gives room first to organisations that have had less
// than others. State is a plain state machine: time comes in through
// arguments and one goroutine drives it.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/advice"
	"github.com/stepcroft/stepcroft/internal/coldstart"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/pace"
	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/throttle"
	"github.com/stepcroft/stepcroft/internal/view"
)

const (
	// memoryShare is the part, in percent, of an engine's memory that running
	// requests' own tokens may take. Beyond its memory an engine interrupts
	// requests; the rest holds shared parts.
	memoryShare = 55
	// spareSlots is how many of an engine's slots are left free for what
	// other routers send before they hear of it.
	spareSlots = 2
	// queueShare is how many requests more than its slots, in percent, a
	// plain service's target gets: its answers are short, and an empty queue
	// there means an idle slot.
	queueShare = 50
	// timelyShare is the part of its goal, in percent, in which a request to a plain
	// service is to end behind those that are under way, and queueMost bounds those to so
	// many times the slots.
	timelyShare = 60
	queueMost   = 4
	// takesWeight is the weight of the newest request in how long they take.
	takesWeight = 0.05
	// waitShare is the part of its goal for which a request waits for room
	// before it is refused: a caller told so early can still be served in
	// time when it comes back.
	waitShare = 5
	// fewWaiting requests are looked through at each event; more of them once
	// in dispatchPause, and until maxFailed of them found no room: a flooded
	// router must not spend its processor on that.
	fewWaiting    = 8
	dispatchPause = 10 * time.Millisecond
	maxFailed     = 16
	// resumeWait is for how long a caller with a part of its answer waits for
	// the rest of it: callers leave a stream after a pause of two seconds.
	resumeWait = time.Second
	// maxWaiting bounds the requests waiting at a router; more are refused at
	// once.
	maxWaiting = 2000
	// maxWaitingOne bounds those of one organisation to engines: about what a
	// router finds room for while they wait. More only fill its memory.
	maxWaitingOne = 24
)

// Limits are the figures that the deployment sets.
type Limits struct {
	// RetryRatio is the number of retries that all routers may make per
	// request in RetryWindow, beside RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// QuotaWindow is the time over which organisations' shares are counted.
	QuotaWindow time.Duration
	// ColdOver is how many times its rate, and ColdSlack how many requests more, a
	// cold target may get in a second of all routers together.
	ColdOver, ColdSlack float64
}

// Target is an engine or a service's target.
type Target struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Born is when the target's process started, in Unix milliseconds; 0 where the
	// target does not say.
	Born int64
	// Writes is how often that process had written its entry; 0 where it does not say.
	Writes int64
	// Leaving targets get nothing new, and those of a drained availability zone neither.
	Leaving, Drained bool
	// ColdLeft is for how much longer the target said that it is cold, ColdUntil until
	// when that is at most.
	ColdLeft  time.Duration
	ColdUntil time.Time
	// Lapsed is when the target's entry went while the store was in trouble, and
	// Until is until when the target may be used without it; zero for a target
	// that is listed, and Until for one that is used until the store is back.
	Lapsed, Until time.Time
}

// Closed reports whether a target gets nothing new.
func (t Target) Closed(now time.Time) bool {
	return t.Leaving || t.Drained || !t.Until.IsZero() && !now.Before(t.Until)
}

// target is what the state knows of a Target.
type target struct {
	Target
	// hash is that of the id, name that of its incarnation.
	hash  uint64
	name  string
	own   view.Load
	cache *prefix.Cache
	health
	// running holds the own requests that were sent to the target and have not ended.
	running map[*Ticket]struct{}
	// waiting holds the own requests that the target has not begun, oldest
	// first.
	waiting []*Ticket
	// coldUntil is until when the target may be cold, recent counts what was sent to it
	// lately.
	coldUntil time.Time
	recent    coldstart.Window
	// takes is how long a request takes that finds a slot, learnt; 0 if unknown.
	takes time.Duration
	// said is what the target said of itself in its answers; nil if nothing.
	said *advice.Record
	// trial is the request that was sent first after a rest and has no answer yet.
	trial *Ticket
	// refusals is how many requests in a row the target turned away without asking for a
	// rest.
	refusals int
}

// State is the control state of a router. Use New to make one.
type State struct {
	zone    string
	limits  Limits
	random  *rand.Rand
	table   *routing.Table
	targets map[string]*target
	// services has the targets of each service in the order of their ids.
	services map[string][]*target
	// paces has what is known of the engines of each service.
	paces map[string]*pace.Model
	queue []*Ticket
	// dispatched is when waiting requests were last looked through.
	dispatched time.Time
	shares     shares
	// others is what other routers reported.
	others *view.View
	// running is the number of other routers that are believed to be running,
	// serving that of those which serve callers.
	running, serving int
	level            level
	budget           budget
	throttle         *throttle.Controller
	// good, suspect, near and missing are room for choosing a target.
	good, suspect, near []*target
	missing             []int
	// notify is told of loads that others should know at once; nil if nobody
	// is to be told.
	notify  func(target string, now, added view.Load)
	notices notices
	// coldPart says how many requests may be sent to a cold target in a second; nil for
	// none. heldCold is how often one was passed over.
	coldPart func(now time.Time, target string, r coldstart.Rate) int
	heldCold int64
	advice   advice.Records
	against  Against
	// paused counts the rests that no target asked for.
	paused int64
}

// New returns the state of a router in an availability zone, without targets.
func New(now time.Time, zone string, limits Limits, random *rand.Rand) *State {
	return &State{
		zone:     zone,
		limits:   limits,
		random:   random,
		targets:  map[string]*target{},
		services: map[string][]*target{},
		paces:    map[string]*pace.Model{},
		throttle: throttle.New(tickTime, maxWaitingOne),
		shares:   newShares(limits.QuotaWindow),
		others:   view.New(now, limits.QuotaWindow),
		notices:  notices{left: 1, at: now},
		budget:   budget{start: now, services: map[string]*history{}},
	}
}

// Configure takes over a new configuration.
func (s *State) Configure(t *routing.Table) {
	s.table = t
	s.shares.capacity = t.Limits().TokensPerSecond
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// Arrive takes in a request. Its decision follows on the ticket's channel, at
// once or when there is room or the request has waited long enough.
func (s *State) Arrive(now time.Time, t *Ticket) {
	s.budget.request(now, t.Service)
	s.shares.asked(now, t.Organisation, t.tokens())
	s.arrive(now, t)
}

// Again takes in a request that is to be sent once more. It returns false if
// the retry budget is spent; the ticket then gets no decision.
func (s *State) Again(now time.Time, t *Ticket) bool {
	if !s.budget.allow(now, t.Service, s.limits, s.routers()) {
		return false
	}
	s.budget.repeat(now, t.Service)
	s.arrive(now, t)
	return true
}

// Unsent takes in a request whose send found no connection. It counts neither
// as another request nor as a retry.
func (s *State) Unsent(now time.Time, t *Ticket) { s.arrive(now, t) }

// MayLeave reports whether a request may leave the target that it was sent to
// for another: nothing has come from the target for a while, the retry budget
// allows it, and there is another target.
func (s *State) MayLeave(now time.Time, t *Ticket, silent time.Duration) bool {
	if t.at == nil || now.Sub(t.Arrived)-time.Duration(t.Heard.Load()) < silent {
		return false
	}
	if !s.budget.allow(now, t.Service, s.limits, s.routers()) {
		return false
	}
	return slices.ContainsFunc(s.services[t.Service], func(c *target) bool {
		return c != t.at && !c.Closed(now) && !c.suspected(now) && !c.unrested(now) && !slices.Contains(t.Tried, c.name)
	})
}

func (s *State) arrive(now time.Time, t *Ticket) {
	t.begun = false
	t.expires = now.Add(t.patience())
	if t.expires.After(t.Deadline) {
		t.expires = t.Deadline
	}
	if !s.behind(now, t) && s.assign(now, t) {
		return
	}
	if why, ok := s.unservable(now, t); ok {
		s.refuse(now, t, why)
		return
	}
	if !t.Resumes && (len(s.queue) >= maxWaiting || s.crowds(t)) {
		s.refuse(now, t, Full)
		return
	}
	s.queue = append(s.queue, t)
}

// assign sends a request to a target with room, if there is one.
func (s *State) assign(now time.Time, t *Ticket) bool {
	best, ok := s.choose(now, t)
	if !ok {
		return false
	}
	s.send(now, t, best)
	return true
}

func (s *State) send(now time.Time, t *Ticket, p place) {
	to := p.target
	invariant.Check(!to.Closed(now), invariant.LeftInTime)
	t.at = to
	t.sent = now
	t.free = !t.Engine && s.loadOf(now, to).Running < to.Slots
	t.load = view.Load{PendingTokens: p.read, Running: 1, Memory: t.private()}
	t.work = p.work
	to.own = to.own.Plus(t.load)
	to.waiting = append(to.waiting, t)
	to.running[t] = struct{}{}
	to.cache.Add(now, t.Parts)
	to.recent.Add(now)
	s.heed(now, t, to)
	if t.Engine {
		s.shares.begun(now, t.Organisation, t.tokens())
		s.throttle.RecordSent(t.Organisation, t.offer())
	}
	if s.notify != nil && s.notices.take(now, p.read, s.serving+1) {
		s.notify(to.name, to.own, t.load)
	}
	d := Decision{Target: to.Target, Waited: now.Sub(t.Arrived), Unread: s.loadOf(now, to).PendingTokens, Miss: p.read}
	if p.source != nil {
		d.Source, d.Fetched = p.source.Target, p.fetched
	}
	if !to.Lapsed.IsZero() {
		d.Lapsed = now.Sub(to.Lapsed)
	}
	t.Decision <- d
}

// Begun notes that a request's target has begun to answer it.
func (s *State) Begun(now time.Time, t *Ticket) {
	if t.begun || t.at == nil {
		return
	}
	t.begun = true
	t.at.tried(t)
	t.at.refusals = 0
	t.at.progress = now
	if t.Engine && t.Stream {
		s.pace(t.Service).Observe(t.work, now.Sub(t.sent))
	}
	t.at.own.PendingTokens -= t.load.PendingTokens
	t.load.PendingTokens = 0
	t.at.forget(t)
	s.dispatch(now)
}

// Ended notes that a request's exchange with its target is over.
func (s *State) Ended(now time.Time, t *Ticket, how Result) {
	to := t.at
	if to == nil {
		return
	}
	t.at = nil
	to.own = to.own.Minus(t.load)
	to.forget(t)
	delete(to.running, t)
	if how == Answered {
		to.tried(t)
	} else if to.trial == t {
		to.trial = nil
	}
	if how == Refused {
		s.turnedAway(now, to)
	}
	to.note(now, how)
	if how == Answered && !t.Engine && t.free {
		to.learn(now.Sub(t.sent))
	}
	if how == Answered && t.Stream && t.Output > 0 {
		s.throttle.ObservePieces(int(t.Pieces.Load()), t.Output)
	}
	if how == Refused || how == Unreachable {
		s.shares.begun(now, t.Organisation, -t.tokens())
	}
	s.dispatch(now)
}

// learn learns how long requests take that find a slot.
func (t *target) learn(took time.Duration) {
	if t.takes == 0 {
		t.takes = took
		return
	}
	t.takes += time.Duration(takesWeight * float64(took-t.takes))
}

func (t *target) forget(k *Ticket) {
	if i := slices.Index(t.waiting, k); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
}

// Tick refuses what has waited long enough and looks for targets that have
// fallen silent. Call it every few tens of milliseconds.
func (s *State) Tick(now time.Time) {
	for _, t := range s.targets {
		t.watch(now)
	}
	s.dispatch(now)
	kept := s.queue[:0]
	for _, t := range s.queue {
		if now.Before(t.expires) {
			kept = append(kept, t)
			continue
		}
		s.refuse(now, t, s.reason(now, t))
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// SetLimits takes over changed limits.
func (s *State) SetLimits(l Limits) {
	s.limits = l
	s.shares.window = l.QuotaWindow
	s.others.SetWindow(l.QuotaWindow)
}
