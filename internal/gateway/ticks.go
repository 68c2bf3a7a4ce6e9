package gateway

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/message"
)

const (
	// tickInterval is the interval at which the gateway checks which messages to other routers
	// are due. Updates that arrive within one interval are forwarded together.
	tickInterval = 50 * time.Millisecond
	// maxTickInterval replaces tickInterval while nothing is due: most routers of a large fleet
	// serve no callers, and each tick wakes the process.
	maxTickInterval = 500 * time.Millisecond
)

// runTicks runs tick in the control goroutine when it is due, at most every tickInterval, until ctx
// is done.
func (g *Gateway) runTicks(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.tickSoon:
			if !group.SleepUntil(ctx, clock.Now().Add(tickInterval)) {
				return
			}
		}
		var next time.Time
		posted := g.loop.PostAndWait(ctx, func(s *balance.State, now time.Time) {
			g.tick(s, now)
			g.ticks.Add(1)
			next = g.scheduleTick(now)
		})
		if !posted {
			// The event may still be running, so next must not be read.
			return
		}
		timer.Reset(clock.Until(next))
	}
}

// scheduleTick returns when the next tick is due.
func (g *Gateway) scheduleTick(now time.Time) time.Time {
	g.nextTick = now.Add(tickInterval)
	if g.tickIdle() {
		due := g.roster.NextDue(now)
		if latest := now.Add(maxTickInterval); due.After(latest) {
			due = latest
		}
		for kind := range message.StoreKindCount {
			if read, ok := g.copyReadDue(now, kind, g.watching); ok && read.After(now) && read.Before(due) {
				due = read
			}
		}
		if due.After(g.nextTick) {
			g.nextTick = due
		}
	}
	return g.nextTick
}

// tickIdle reports whether nothing but the roster needs ticks.
func (g *Gateway) tickIdle() bool {
	return !g.reporter.active && !g.relays.Active() && !g.gossipPending && g.farSource.due.IsZero() && g.unconfirmedSince.IsZero() &&
		g.catalog.Lapsed() == 0 && !g.rollouts.Active() && g.streams.Idle() && g.streamStoreIdle() && g.exits.idle()
}

// tickEarlier brings the next tick forward if a message has made one due.
func (g *Gateway) tickEarlier(now time.Time) {
	if g.nextTick.Sub(now) <= tickInterval || g.tickIdle() && g.roster.NextDue(now).After(now) {
		return
	}
	g.nextTick = now.Add(tickInterval)
	select {
	case g.tickSoon <- struct{}{}:
	default:
		// One is on its way.
	}
}
