package router

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/control"
)

const (
	// pollInterval is the interval between two polls of an engine's load by its owner.
	pollInterval = time.Second
	// pollCheckInterval is the interval between two checks for engines whose poll is due,
	// among them newly owned ones.
	pollCheckInterval = 100 * time.Millisecond
	// pollTimeout bounds the time of a single poll.
	pollTimeout = 800 * time.Millisecond
)

// pollEngines polls the load of the engines that this router owns until ctx ends.
func (r *Router) pollEngines(ctx context.Context) {
	lastPolled := map[string]time.Time{}
	ticker := time.NewTicker(pollCheckInterval)
	defer ticker.Stop()
	for {
		for _, box := range r.dueEngines(lastPolled) {
			r.group.Go(func() { r.pollEngine(ctx, box) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// dueEngines returns the owned engines whose poll is due and sets their time in lastPolled, which
// holds the time of the last poll by name. It deletes engines that are no longer owned from it.
func (r *Router) dueEngines(lastPolled map[string]time.Time) []config.Box {
	var due []config.Box
	owned := call(r.loop, func(s *control.State, _ time.Time) []config.Box { return s.OwnedEngines() })
	now := clock.Now()
	isOwned := map[string]bool{}
	for _, box := range owned {
		isOwned[box.Name] = true
		if now.Sub(lastPolled[box.Name]) >= pollInterval {
			lastPolled[box.Name] = now
			due = append(due, box)
		}
	}
	for name := range lastPolled {
		if !isOwned[name] {
			delete(lastPolled, name)
		}
	}
	return due
}

// pollEngine polls the load of an engine and records it, or that the engine is unreachable.
func (r *Router) pollEngine(ctx context.Context, box config.Box) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := r.engines.Load(ctx, box.Address)
	r.loop.post(func(s *control.State, now time.Time) {
		if err != nil {
			s.MarkUnreachable(box.Name)
			return
		}
		s.RecordLoad(box.Name, load, now)
	})
}
