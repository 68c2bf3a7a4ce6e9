package balance

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

const (
	// eventsMost is the number of events that may wait for the control thread.
	eventsMost = 1024
	// tickTime is the period of Tick: what waits is refused this much late at
	// most.
	tickTime = 20 * time.Millisecond
	// busyTicks is the number of ticks between looks at the processor, lateTicks the
	// number of ticks that they take where the processor is busy.
	busyTicks = 5
	lateTicks = 8
)

// Event is something that changes the state.
type Event func(s *State, now time.Time)

// Loop drives a State from one goroutine. Use NewLoop to make one.
type Loop struct {
	state  *State
	events chan Event
	gates  atomic.Pointer[map[string]*throttle.Gate]
	// busy and coalesce have the bits of the state's figures.
	busy, coalesce atomic.Uint64
	meter          meter
	awake          func(s *State, now time.Time, missed time.Duration)
}

// meter looks at which part of the processor the router uses.
type meter struct {
	// used returns the processor time used since the start; nil if nobody can
	// tell. cores is the number of cores that the router may use.
	used  func() time.Duration
	cores float64
	ticks int
	at    time.Time
	last  time.Duration
}

// look tells the state once in busyTicks. Where ticks come late the process waits
// for the processor, whatever it was charged for.
func (m *meter) look(now time.Time, s *State) {
	m.ticks++
	if m.used == nil || m.cores <= 0 || m.ticks%busyTicks != 0 {
		return
	}
	used := m.used()
	passed := now.Sub(m.at)
	switch {
	case m.at.IsZero() || passed <= 0:
	case passed > lateTicks*tickTime:
		s.SetBusy(now, 1, m.cores)
	default:
		s.SetBusy(now, (used-m.last).Seconds()/(passed.Seconds()*m.cores), m.cores)
	}
	m.at, m.last = now, used
}

// Meter makes the loop watch how much of a number of cores the router uses; used
// returns the processor time used since the start. Call it before Run.
func (l *Loop) Meter(used func() time.Duration, cores float64) {
	l.meter.used, l.meter.cores = used, cores
}

// OnAwake makes f be called, like an event, when the box turns out to have been suspended
// for a time. Call it before Run.
func (l *Loop) OnAwake(f func(s *State, now time.Time, missed time.Duration)) { l.awake = f }

// look looks whether the box was suspended, before anything is decided by the time.
func (l *Loop) look() {
	missed := clock.Check()
	if missed == 0 {
		return
	}
	// That no time of the processor was used meanwhile says nothing of how busy it is.
	l.meter.at = time.Time{}
	if l.awake != nil {
		l.awake(l.state, clock.Now(), missed)
	}
}

// NewLoop returns a loop that Run must drive.
func NewLoop(s *State) *Loop {
	return &Loop{state: s, events: make(chan Event, eventsMost)}
}

// Run applies events until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			e(l.state, clock.Now())
		case <-ticker.C:
			l.look()
			now := clock.Now()
			l.state.Tick(now)
			l.meter.look(now, l.state)
			l.busy.Store(math.Float64bits(l.state.throttle.CPUUtilisation()))
			l.coalesce.Store(math.Float64bits(l.state.throttle.CoalesceLevel()))
			l.publish(l.state.gatesAt(now))
		}
	}
}

// publish tells other goroutines the gates.
func (l *Loop) publish(gates map[string]*throttle.Gate) {
	if gates == nil {
		l.gates.Store(nil)
		return
	}
	l.gates.Store(&gates)
}

// Busy returns the part of its cores that the router used last.
func (l *Loop) Busy() float64 { return math.Float64frombits(l.busy.Load()) }

// Coalesce returns how much streams should let events come together to save the
// processor's time, from 0 (none) to 1 (as long as callers accept).
func (l *Loop) Coalesce() float64 { return math.Float64frombits(l.coalesce.Load()) }

// Throttles reports whether requests of any organisation are refused unread. Any goroutine may
// call it.
func (l *Loop) Throttles() bool { return l.gates.Load() != nil }

func (l *Loop) gate(organisation string) *throttle.Gate {
	gates := l.gates.Load()
	if gates == nil {
		return nil
	}
	return (*gates)[organisation]
}

// Crowded returns why another request of an organisation to engines is to be
// refused unread, or "" if it is to be read. Any goroutine may call it.
func (l *Loop) Crowded(organisation string, o throttle.RequestSize) Reason {
	if g := l.gate(organisation); g != nil {
		return Reason(g.Check(o))
	}
	return ""
}

// Admit lets a request of an organisation to engines in, or returns why it is to be
// refused. Any goroutine may call it, once a request.
func (l *Loop) Admit(organisation string, o throttle.RequestSize) Reason {
	if g := l.gate(organisation); g != nil {
		return Reason(g.Admit(o))
	}
	return ""
}

// Post hands an event over, to be applied soon and in order.
func (l *Loop) Post(e Event) { l.events <- e }

// Ask applies an event and waits until it has been; it returns false if ctx
// ended before.
func (l *Loop) Ask(ctx context.Context, e Event) bool {
	done := make(chan struct{})
	l.Post(func(s *State, now time.Time) {
		e(s, now)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
