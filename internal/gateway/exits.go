package gateway

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
)

const (
	// maxExitsPerMessage is the number of names in one message, which then fits into a datagram.
	maxExitsPerMessage = 24
	// maxPromptExits is how often exits are passed on at once between two ticks. After the outage of a zone,
	// further ones are passed on together.
	maxPromptExits = 4
	// maxPendingExits bounds the names passed on in one tick. Other routers see the other exits themselves,
	// at their first connection that is refused.
	maxPendingExits = 10 * maxExitsPerMessage
)

// exits holds what is to be passed on about processes of targets that have ended. A router that had no
// connection to such a process does not see its end, and takes the next one at the address for it.
type exits struct {
	pending []message.TargetProcess
	// prompt counts the messages sent since the last tick.
	prompt int
}

func (e *exits) idle() bool { return len(e.pending) == 0 && e.prompt == 0 }

// recordExit records that this router has seen that the process of a target has ended, or refuses connections since
// refusedAt, whether that was expected or not.
func (g *Gateway) recordExit(s *balance.State, now time.Time, t balance.Target, refusedAt time.Time) {
	if !s.RecordExit(now, t, refusedAt) {
		return
	}
	g.Metrics.CountExits("seen", 1)
	g.Log.Info("process of target has ended", "target", t.ID, "born", t.Born, "version", t.Version, "refused", !refusedAt.IsZero())
	if ended, known := s.EndedProcess(t.Incarnation()); known {
		g.passOnExits(now, message.TargetProcess(ended))
	}
}

// handleTargetExits records what another router tells of processes that have ended, and passes on what is new. Where
// streams run, this router tries to connect itself: others do not tell whether the process only closed its listener.
func (g *Gateway) handleTargetExits(s *balance.State, now time.Time, m message.TargetExits) {
	var news []message.TargetProcess
	for _, p := range m.Ended {
		if !s.RecordExitOf(now, balance.Process(p)) {
			continue
		}
		news = append(news, p)
		if t, ok := s.StreamsAt(p.Incarnation); ok {
			g.group.Go(func() { g.verifyExit(t) })
		}
	}
	g.Metrics.CountExits("told", len(news))
	g.passOnExits(now, news...)
}

// verifyExit tries to connect to a process that is said to have ended.
func (g *Gateway) verifyExit(t balance.Target) {
	at, refused := g.transport.ProcessExited(g.group.Context(), t.Address, t.Incarnation())
	if !refused {
		return
	}
	g.loop.Post(func(s *balance.State, now time.Time) {
		if told, isNew := s.ConfirmRefusal(t.Incarnation(), at); isNew {
			g.Log.Info("process of target refuses connections", "target", t.ID, "born", t.Born, "version", t.Version,
				"told_ms", now.Sub(told).Milliseconds())
		}
	})
}

// passOnExits tells a few other routers of exits, which do the same: at once, or with the next tick if there
// are many.
func (g *Gateway) passOnExits(now time.Time, ended ...message.TargetProcess) {
	if len(ended) == 0 {
		return
	}
	g.exits.pending = append(g.exits.pending, ended[:min(len(ended), maxPendingExits-len(g.exits.pending))]...)
	if g.exits.prompt < maxPromptExits {
		g.exits.prompt++
		g.sendExits(now)
	}
	g.tickEarlier(now)
}

func (g *Gateway) tickExits(now time.Time) {
	g.exits.prompt = 0
	g.sendExits(now)
}

func (g *Gateway) sendExits(now time.Time) {
	if len(g.exits.pending) == 0 {
		return
	}
	for _, to := range g.roster.RandomPeers(now) {
		for part := range slices.Chunk(g.exits.pending, maxExitsPerMessage) {
			g.sendTo(member.Member{Peer: to}, message.TargetExits{Ended: part})
		}
	}
	g.exits.pending = nil
}
