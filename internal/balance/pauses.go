package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/eventgap"
)

const (
	// minGapEvents is the number of events from which an answer shows the gap between events: a shorter
	// one consists mostly of its first event, which waited for its prompt.
	minGapEvents = 4
	// maxWritingPercent is the time that writing a stream's events to its caller may take, in percent
	// of the stream, for its gap to count: the next event is not read meanwhile.
	maxWritingPercent = 10
	// A request is refused if its expected time exceeds the time left by more than finishMargin. The
	// load of an engine changes while the answer runs, and lengths of answers vary about their mean.
	finishMargin = 1.5
	// One in maxTrialInterval requests that cannot be expected to finish is sent nevertheless, on
	// trial. Without them, a router that refuses all requests would not observe that its engines have
	// recovered. Each trial that finishes divides the interval by trialStep, down to 1, and each that
	// is cut multiplies it: two that finish end all refusals, as the model follows later.
	maxTrialInterval = 16
	trialStep        = 4
	// cutLengthFactor is how many times as long an answer is taken to be that was cut at its deadline
	// beyond its hint. Its real length is unknown. Taken as it is, no answer would ever be expected to end after the
	// deadline by more than finishMargin, where hints are too short and all answers are cut.
	cutLengthFactor = 2
	// gapTTL is how old the last observation may be for a refusal. A request that comes later is sent
	// on trial: at a router with few requests, one in maxTrialInterval is one in many seconds.
	gapTTL = 5 * time.Second
)

// CannotFinish means that the answer could not end before the request's deadline at any target that
// was considered: of more than 256 engines, that is a sample.
const CannotFinish Reason = "cannot-finish"

// pauses is what a router learnt about the streams of each service, with its counters.
type pauses struct {
	byService map[string]*servicePauses
	// bound holds the bounds for the request that is being placed.
	bound pauseBound
	// refused describes the last request refused with CannotFinish.
	refused Unfinishable
	// bounded and cannotFinish count the requests that were kept from an engine to bound pauses there,
	// and those refused with CannotFinish.
	bounded, cannotFinish atomic.Int64
}

// servicePauses is what a router learnt about the streams of one service.
type servicePauses struct {
	gaps   *eventgap.Model
	length eventgap.Length
	// observedAt is when an answer was last observed, and trialAt when the last trial began.
	observedAt, trialAt time.Time
	// refused counts the requests refused with CannotFinish since the last trial began. Of
	// trialInterval unfinishable requests, one is sent on trial.
	refused, trialInterval int
}

// ticketPauses is the state of a Ticket for pause bounds.
type ticketPauses struct {
	// area is the target's runningArea when the request was sent, events the number of events forwarded
	// before, and writing the time spent on that.
	area            float64
	events, writing int64
	// bounded is set if the request was counted as kept from an engine, trial if it is sent although
	// it cannot be expected to finish.
	bounded, trial bool
}

// Unfinishable describes a request refused with CannotFinish.
type Unfinishable struct {
	Service string
	// Expected is the shortest expected time to the end of its answer at any target that was considered,
	// Left the time to its deadline.
	Expected, Left time.Duration
}

// pauseBound bounds the placements of one request. A nil pauseBound allows all.
type pauseBound struct {
	gaps     *eventgap.Model
	maxPause time.Duration
	// events is the expected number of events after the first, -1 if it is unknown.
	events int
	// left is the time to the deadline.
	left time.Duration
	// soonest is the shortest expected time to the end of the answer; the largest value as long as no
	// end was predicted, 0 if that was impossible at a target.
	soonest time.Duration
	// kept is set if the request was kept from an engine.
	kept bool
}

// pausesOf returns what was learnt about a service.
func (s *State) pausesOf(service string) *servicePauses {
	v := s.pauses.byService[service]
	if v == nil {
		v = &servicePauses{gaps: eventgap.New(), trialInterval: maxTrialInterval}
		if s.pauses.byService == nil {
			s.pauses.byService = map[string]*servicePauses{}
		}
		s.pauses.byService[service] = v
	}
	return v
}

// pauseBound returns the bounds for a request to an engine; nil if there are none. It is valid until
// the next call.
func (s *State) pauseBound(now time.Time, t *Ticket) *pauseBound {
	s.pauses.bound = pauseBound{}
	if !s.enabled(s.features.PauseBounds, t.Service) {
		return nil
	}
	v := s.pausesOf(t.Service)
	s.pauses.bound = pauseBound{
		gaps: v.gaps, maxPause: s.table.ShortestPause(t.Service), events: -1, left: t.Deadline.Sub(now), soonest: math.MaxInt64,
	}
	if per := s.eventTokens(t.Service); t.Stream && !t.Continues && t.Output > 0 && per > 0 && !t.Deadline.IsZero() {
		expected := math.Ceil(float64(t.Output) * v.length.Ratio() / float64(per))
		s.pauses.bound.events = max(int(min(expected, math.MaxInt32))-1-int(t.Events.Load()), 0)
	}
	return &s.pauses.bound
}

// eventTokens returns the number of tokens in an event of a service's streams, 0 if it is unknown.
func (s *State) eventTokens(service string) int {
	v, ok := s.table.Service(service)
	if !ok || v.Engine == nil {
		return 0
	}
	return v.Engine.EventTokens
}

// predict sets what the bounds need to know about a placement at an engine that runs a number of
// requests.
func (b *pauseBound) predict(p *placement, running int, factor float64) {
	p.running = running
	if b.events < 0 || b.gaps.Gap(running+1, factor) == 0 {
		b.soonest = 0
		return
	}
	end := p.expected + b.gaps.Remaining(running+1, b.events, factor)
	p.endsLate = end > b.left
	b.soonest = min(b.soonest, end)
}

// allows reports whether an engine can read its backlog, this request included, without a pause in
// the streams beside it that is longer than callers accept. As in room.admits, a prompt counts for at
// most half of that time: otherwise short ones fit beside a backlog that keeps long ones out.
func (b *pauseBound) allows(p placement, m estimator) bool {
	if b == nil || p.running == 0 {
		return true
	}
	limit, known := b.gaps.MaxPrefill(p.running, m.factor, b.maxPause)
	if !known || m.PrefillTime(p.work.Ahead)+min(m.PrefillTime(p.uncachedTokens), limit/2) <= limit {
		return true
	}
	b.kept = true
	return false
}

// unfinishable reports whether the answer cannot end before the deadline at any target that was
// considered, even if it comes finishMargin times as fast as expected.
func (b *pauseBound) unfinishable() bool {
	return b != nil && b.soonest != math.MaxInt64 && float64(b.soonest) > finishMargin*float64(max(b.left, 0))
}

// checkPauses counts what the bounds did to a request after targets were considered for it. It
// refuses the request, and returns true, if it cannot finish. A request that was sent before may have
// run, and a resumed one has run; they are not refused.
func (s *State) checkPauses(now time.Time, t *Ticket) bool {
	if !t.Engine || !s.enabled(s.features.PauseBounds, t.Service) {
		return false
	}
	b := &s.pauses.bound
	if b.kept && !t.pauses.bounded {
		t.pauses.bounded = true
		s.pauses.bounded.Add(1)
	}
	v := s.pausesOf(t.Service)
	if !b.unfinishable() || t.Resumes || len(t.Tried) > 0 || t.pauses.trial {
		return false
	}
	if v.refused+1 >= v.trialInterval || now.Sub(v.observedAt) > gapTTL && now.Sub(v.trialAt) > gapTTL {
		v.refused, v.trialAt = 0, now
		t.pauses.trial = true
		return false
	}
	v.refused++
	s.pauses.cannotFinish.Add(1)
	s.pauses.refused = Unfinishable{Service: t.Service, Expected: b.soonest, Left: b.left}
	s.refuse(now, t, CannotFinish)
	return true
}

// runningArea is the number of requests running at a target, summed over time, in request-seconds.
type runningArea struct {
	area float64
	at   time.Time
}

// advance adds the time since the last call, in which a number of requests were running, and returns
// the sum.
func (a *runningArea) advance(now time.Time, running int) float64 {
	if !a.at.IsZero() {
		a.area += float64(running) * now.Sub(a.at).Seconds()
	}
	a.at = now
	return a.area
}

// beginPauses records where the load of the target that a request is sent to begins to count for it.
// It must be called before the request is added to the load.
func (s *State) beginPauses(now time.Time, t *Ticket) {
	t.pauses.area = t.target.runningArea.advance(now, s.loadOf(now, t.target).Running)
	t.pauses.events, t.pauses.writing = t.Events.Load(), t.Writing.Load()
}

// observePauses updates the models of a service with an answer that ends. Streams that are cut at
// their deadline count too: after a start, the first answers are all cut. The load is the mean
// over the time of the answer. That at its end says little: when requests that were sent together
// are cut together, the last of them leaves an empty engine.
func (s *State) observePauses(now time.Time, t *Ticket, to *target, how Result) {
	if !t.Engine {
		return
	}
	area := to.runningArea.advance(now, s.loadOf(now, to).Running)
	if !t.Stream || how != Answered && how != Abandoned || !s.enabled(s.features.PauseBounds, t.Service) {
		return
	}
	v := s.pausesOf(t.Service)
	late := how == Abandoned && !now.Before(t.Deadline)
	events := t.Events.Load() - t.pauses.events
	stream := t.LastReceived.Load() - t.FirstEvent.Load()
	// A caller that reads slowly says nothing about the engine.
	slowCaller := (t.Writing.Load()-t.pauses.writing)*100 > stream*maxWritingPercent
	// An answer without events, for example an error, is no sign that answers end in time.
	if t.pauses.trial && (late && !slowCaller || how == Answered && events > 0) {
		v.endTrial(!late)
	}
	if events < minGapEvents || slowCaller || !now.After(t.sentAt) {
		return
	}
	v.observedAt = now
	gap := time.Duration(stream) / time.Duration(events-1)
	running := (area - t.pauses.area) / now.Sub(t.sentAt).Seconds()
	v.gaps.Observe(int(running+0.5), s.factor(now, to), gap)
	if per := s.eventTokens(t.Service); per > 0 && !t.Resumes && !t.Continues && len(t.Tried) == 0 {
		tokens := int(events) * per
		if late && tokens > t.Output {
			tokens *= cutLengthFactor
		}
		v.length.Observe(t.Output, tokens, how == Abandoned)
	}
}

// endTrial adapts the interval between trials to the end of one.
func (v *servicePauses) endTrial(finished bool) {
	if finished {
		v.trialInterval = max(v.trialInterval/trialStep, 1)
		return
	}
	v.trialInterval = min(v.trialInterval*trialStep, maxTrialInterval)
}

// LastUnfinishable returns the last request refused with CannotFinish; its Service is empty if there
// was none.
func (s *State) LastUnfinishable() Unfinishable { return s.pauses.refused }

// PauseCounts returns how many requests were kept from an engine to bound pauses there, and how many
// were refused with CannotFinish. Any goroutine may call it.
func (l *Loop) PauseCounts() (bounded, cannotFinish int64) {
	return l.state.pauses.bounded.Load(), l.state.pauses.cannotFinish.Load()
}
