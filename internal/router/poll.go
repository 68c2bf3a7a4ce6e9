package router

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/control"
)

const (
	// pollPeriod is the interval between two polls of an engine's load by its owner.
	pollPeriod = time.Second
	// pollCheck is the interval between two checks for engines whose poll is due, among them
	// newly owned ones.
	pollCheck = 100 * time.Millisecond
	// pollTimeout bounds the time of a single poll.
	pollTimeout = 800 * time.Millisecond
)

// pollEngines polls the load of the engines that this router owns until ctx ends.
func (r *Router) pollEngines(ctx context.Context) {
	asked := map[string]time.Time{}
	ticker := time.NewTicker(pollCheck)
	defer ticker.Stop()
	for {
		for _, box := range r.due(asked) {
			r.group.Go(func() { r.pollEngine(ctx, box) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// due returns the owned engines whose poll is due and sets the time of their last poll, which
// asked holds by name. It deletes the engines that are no longer owned from asked.
func (r *Router) due(asked map[string]time.Time) []config.Box {
	var owned, due []config.Box
	r.loop.call(func(s *control.State, _ time.Time) { owned = s.OwnedEngines() })
	now := clock.Now()
	keep := map[string]bool{}
	for _, box := range owned {
		keep[box.Name] = true
		if now.Sub(asked[box.Name]) >= pollPeriod {
			asked[box.Name] = now
			due = append(due, box)
		}
	}
	for name := range asked {
		if !keep[name] {
			delete(asked, name)
		}
	}
	return due
}

// pollEngine polls the load of an engine and records it, or that the engine is unreachable.
func (r *Router) pollEngine(ctx context.Context, box config.Box) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := r.engines.Load(ctx, box.Address)
	r.loop.do(func(s *control.State, now time.Time) {
		if err != nil {
			s.MarkUnreachable(box.Name)
			return
		}
		s.RecordLoad(box.Name, load, now)
	})
}
