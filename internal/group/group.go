// Package group starts goroutines that can be stopped and waited for together. Nothing else in
// this repository uses the go statement; a test in this package checks that.
package group

import (
	"context"
	"sync"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
)

// Group is a set of goroutines that share a context and are waited for together. Use New to
// create one.
type Group struct {
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// New returns a group whose context is cancelled with ctx or by Stop.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the group's context. Its goroutines should return when it is cancelled.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts f in a goroutine of the group.
func (g *Group) Go(f func()) { g.goroutines.Go(f) }

// GoContext starts f in a goroutine of the group, with the group's context.
func (g *Group) GoContext(f func(ctx context.Context)) {
	g.goroutines.Go(func() { f(g.ctx) })
}

// Stop cancels the group's context and waits for its goroutines to return.
func (g *Group) Stop() {
	g.cancel()
	g.goroutines.Wait()
}

// Wait waits for the group's goroutines to return, without cancelling its context.
func (g *Group) Wait() { g.goroutines.Wait() }

// SleepUntil waits until t. It returns false if ctx is cancelled first.
func SleepUntil(ctx context.Context, t time.Time) bool {
	d := clock.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
