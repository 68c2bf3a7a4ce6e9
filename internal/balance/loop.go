package balance

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/cpumeter"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

const (
	// eventBuffer is the number of events that may be queued for the control goroutine.
	eventBuffer = 1024
	// tickInterval is the interval between calls of Tick, and so the longest time by which a
	// waiting request is refused too late.
	tickInterval = 20 * time.Millisecond
	// idleTickInterval replaces tickInterval while no request waits for anything: most routers of
	// a large fleet serve no callers, and each tick wakes the process.
	idleTickInterval = time.Second
)

// Event changes the state.
type Event func(s *State, now time.Time)

// Loop drives a State from one goroutine. Use NewLoop to make one.
type Loop struct {
	state  *State
	events chan Event
	gates  atomic.Pointer[map[string]*throttle.Gate]
	// cpuUtilisation and coalesceLevel hold the bits of the state's float64 values, for other
	// goroutines.
	cpuUtilisation, coalesceLevel atomic.Uint64
	// ticks counts the calls of Tick.
	ticks    atomic.Int64
	meter    *cpumeter.Meter
	onResume func(s *State, now time.Time, missed time.Duration)
}

// SetMeter makes the loop measure how much of a number of cores the router uses; cpuTime
// returns the processor time used since the start. It must be called before Run.
func (l *Loop) SetMeter(cpuTime func() time.Duration, cores float64) {
	l.meter = cpumeter.New(cpuTime, cores, tickInterval)
}

// OnResume sets a function that is called, like an event, when the box resumes after it was
// suspended; missed is the time for which it was. It must be called before Run.
func (l *Loop) OnResume(f func(s *State, now time.Time, missed time.Duration)) { l.onResume = f }

// checkSuspended detects that the box was suspended, before any decision is based on the time.
func (l *Loop) checkSuspended() {
	missed := clock.Check()
	if missed == 0 {
		return
	}
	l.meter.Discard()
	if l.onResume != nil {
		l.onResume(l.state, clock.Now(), missed)
	}
}

// NewLoop returns a loop, to be driven by Run.
func NewLoop(s *State) *Loop {
	return &Loop{state: s, events: make(chan Event, eventBuffer), meter: cpumeter.New(nil, 0, tickInterval)}
}

// Run applies events until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	interval := tickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	setInterval := func(d time.Duration) {
		if d != interval {
			interval = d
			ticker.Reset(d)
			l.meter.Restart(clock.Now())
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			e(l.state, clock.Now())
			if interval != tickInterval && l.state.busy() {
				setInterval(tickInterval)
			}
		case <-ticker.C:
			l.checkSuspended()
			now := clock.Now()
			l.state.Tick(now)
			l.ticks.Add(1)
			if utilisation, ok := l.meter.Measure(now, interval); ok {
				l.state.SetCPUUtilisation(now, utilisation, l.meter.Cores())
			}
			if l.state.busy() {
				setInterval(tickInterval)
			} else {
				setInterval(idleTickInterval)
			}
			l.cpuUtilisation.Store(math.Float64bits(l.state.throttle.CPUUtilisation()))
			l.coalesceLevel.Store(math.Float64bits(l.state.throttle.CoalesceLevel()))
			l.publish(l.state.gatesAt(now))
		}
	}
}

// busy reports whether ticks are needed every tickInterval: requests wait for a target or for an
// answer to start, or organisations' requests are counted for throttling.
func (s *State) busy() bool {
	return len(s.queue) > 0 || s.unstarted > 0 || s.throttle.Active() || len(s.replaced) > 0
}

// Ticks returns the number of ticks so far. A router without requests needs few.
func (l *Loop) Ticks() int64 { return l.ticks.Load() }

// publish makes the gates available to other goroutines.
func (l *Loop) publish(gates map[string]*throttle.Gate) {
	if gates == nil {
		l.gates.Store(nil)
		return
	}
	l.gates.Store(&gates)
}

// CPUUtilisation returns the fraction of its cores that the router used in the last
// measurement.
func (l *Loop) CPUUtilisation() float64 { return math.Float64frombits(l.cpuUtilisation.Load()) }

// CoalesceLevel returns how much streams should coalesce events to save processor time, from 0
// (not at all) to 1 (as long as callers accept).
func (l *Loop) CoalesceLevel() float64 { return math.Float64frombits(l.coalesceLevel.Load()) }

// Throttling reports whether the requests of any organisation are shed. Any goroutine may call
// it.
func (l *Loop) Throttling() bool { return l.gates.Load() != nil }

func (l *Loop) gate(organisation string) *throttle.Gate {
	gates := l.gates.Load()
	if gates == nil {
		return nil
	}
	return (*gates)[organisation]
}

// Check returns why another request of an organisation to engines is to be shed before it is
// parsed, or "" if it is not. Any goroutine may call it.
func (l *Loop) Check(organisation string, o throttle.RequestSize) Reason {
	if g := l.gate(organisation); g != nil {
		return Reason(g.Check(o))
	}
	return ""
}

// Admit returns "" if it admits a request of an organisation to engines, or why the request is
// to be refused. It must be called once a request; any goroutine may call it.
func (l *Loop) Admit(organisation string, o throttle.RequestSize) Reason {
	if g := l.gate(organisation); g != nil {
		return Reason(g.Admit(o))
	}
	return ""
}

// Post queues an event, to be applied soon and in order.
func (l *Loop) Post(e Event) { l.events <- e }

// Call queues an event and waits for its result, or returns false if ctx ended before; the event may
// then still be running.
func Call[T any](ctx context.Context, l *Loop, f func(s *State, now time.Time) T) (T, bool) {
	result := make(chan T, 1)
	l.Post(func(s *State, now time.Time) { result <- f(s, now) })
	select {
	case v := <-result:
		return v, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// PostAndWait queues an event and waits until it has been applied; it returns false if ctx
// ended before that.
func (l *Loop) PostAndWait(ctx context.Context, e Event) bool {
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
