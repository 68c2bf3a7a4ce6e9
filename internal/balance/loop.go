package balance

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// backlog is the number of events that may wait for the control thread.
	backlog = 1024
	// tickTime is the period of Tick: what waits is refused this much late at
	// most.
	tickTime = 20 * time.Millisecond
)

// Event is something that changes the state.
type Event func(s *State, now time.Time)

// Loop drives a State from one goroutine. Use NewLoop to make one.
type Loop struct {
	state   *State
	events  chan Event
	crowded atomic.Pointer[map[string]bool]
}

// NewLoop returns a loop that Run must drive.
func NewLoop(s *State) *Loop {
	return &Loop{state: s, events: make(chan Event, backlog)}
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
			e(l.state, time.Now())
		case <-ticker.C:
			l.state.Tick(time.Now())
			l.publish()
		}
	}
}

// publish tells other goroutines which organisations crowd the queue.
func (l *Loop) publish() {
	crowded := l.state.Crowded()
	if crowded == nil {
		l.crowded.Store(nil)
		return
	}
	l.crowded.Store(&crowded)
}

// Crowded reports whether an organisation had as many requests to engines
// waiting as it may a moment ago. Any goroutine may call it.
func (l *Loop) Crowded(organisation string) bool {
	crowded := l.crowded.Load()
	return crowded != nil && (*crowded)[organisation]
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
