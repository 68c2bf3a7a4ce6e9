package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
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
		due = g.storeDuty.NextRead(now, due)
		if due.After(g.nextTick) {
			g.nextTick = due
		}
	}
	return g.nextTick
}

// tickIdle reports whether nothing but the roster needs ticks.
func (g *Gateway) tickIdle() bool {
	return !g.reports.Active() && !g.relays.Active() && g.news.Idle() && g.unconfirmedSince.IsZero() &&
		g.catalog.Lapsed() == 0 && !g.rollouts.Active() && g.streams.Idle() && g.streamStore.Idle() && g.exits.Idle()
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

// maxTickDelay is how much later than due a tick may be without this router counting as one that has stood still.
const maxTickDelay = time.Second

// stoodStill reports whether this router's process has stood still, although its box went on.
func (g *Gateway) stoodStill(now time.Time) bool {
	return !g.nextTick.IsZero() && now.Sub(g.nextTick) > maxTickDelay
}

// tick does the periodic work of the control goroutine: reports, gossip, logging and expiry.
func (g *Gateway) tick(s *balance.State, now time.Time) {
	g.reports.Tick(s, now)
	g.news.Tick(now)
	g.relays.Update(now, g.catalog.Table(), g.leaving, func() map[string]bool { return s.Yielding(now) })
	g.updateSelf()
	g.news.SendPings(now, g.roster.Tick(now))
	changes := g.roster.Changes()
	g.logStateChanges(changes)
	if slices.ContainsFunc(changes, func(r message.RouterRecord) bool { return r.State == message.Suspected || r.State == message.Gone }) {
		s.RouterLost()
	}
	g.counts.Update(s, now)
	g.suspects.Update(now)
	g.records.Tick(s, now)
	g.exits.Tick(now)
	g.suspects.Expire(now)
	g.expireConfirmation(now)
	g.decideRollouts(now)
	duty := g.storeDuty.Tick(now)
	if g.OnDuty != nil {
		g.OnDuty(duty)
	}
	if expired := g.catalog.ExpireLapsed(now); len(expired) > 0 {
		g.Log.Info("lapsed targets given up", "era", revision.Era(g.catalog.TargetsRevision()), "revision", revision.Store(g.catalog.TargetsRevision()), "count", len(expired),
			"targets", expired[:min(len(expired), maxLoggedTargets)])
		g.applyTargets(s, now)
	}
	if g.catalog.Settle(now) {
		g.targetsChanged(s, now, true, sourceTimer)
	}
}

// maxLoggedTargets is the most targets named in a log line, which stays short that way even if
// hundreds expire at once.
const maxLoggedTargets = 8

// maxStateChangeLines is the number of routers up to which each change of state gets a log line
// of its own. If a whole fleet starts at once, hundreds of them would displace other lines.
const maxStateChangeLines = 8

// logStateChanges logs the routers that have become alive, suspected or gone.
func (g *Gateway) logStateChanges(list []message.RouterRecord) {
	if len(list) > maxStateChangeLines {
		count := map[string]int{}
		for _, r := range list {
			count[r.State.String()]++
		}
		g.Log.Info("many routers changed", "count", count)
		return
	}
	for _, r := range list {
		g.Log.Info("router believed "+r.State.String(), "router", r.ID, "peer", r.Peer, "incarnation", r.Incarnation, "version", r.Version)
	}
}
