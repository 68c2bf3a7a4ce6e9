// Package exits has routers tell one another which processes of targets have ended. A router that had no
// connection to such a process does not see its end, and takes the next one at the address for it.
package exits

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
)

const (
	// maxPerMessage is the number of names in one message, which then fits into a datagram.
	maxPerMessage = 24
	// maxPrompt is how often exits are passed on at once between two ticks. After the outage of a zone,
	// further ones are passed on together.
	maxPrompt = 4
	// maxPending bounds the names passed on in one tick. Other routers see the other exits themselves,
	// at their first connection that is refused.
	maxPending = 10 * maxPerMessage
)

// Roster has the routers of the fleet. It is implemented by roster.Roster.
type Roster interface{ RandomPeers(now time.Time) []string }

// Prober finds out whether the process of a target has ended. It is implemented by httptarget.Transport.
type Prober interface {
	ProcessExited(ctx context.Context, address, instance string) (refusedAt time.Time, exited bool)
}

// Loop is the control goroutine. It is implemented by balance.Loop.
type Loop interface {
	Post(e balance.Event)
}

// Metrics counts exits by how they became known. It is implemented by counters.Registry.
type Metrics interface{ CountExits(how string, n int) }

// Options are what an exchange is made of.
type Options struct {
	Group   *group.Group
	Loop    Loop
	Roster  Roster
	Prober  Prober
	Metrics Metrics
	// Send sends a message to another router.
	Send func(to member.Member, m message.Message)
	// Wake has Tick called soon.
	Wake func(now time.Time)
	Log  logr.Logger
}

// Exchange records exits and holds what is to be passed on about them. Use New to make one. It belongs to the control
// goroutine.
type Exchange struct {
	Options
	pending []message.TargetProcess
	// prompt counts the messages sent since the last tick.
	prompt int
}

// New returns an exchange of a router that knows of no exit.
func New(o Options) *Exchange { return &Exchange{Options: o} }

// Idle reports whether Tick need not be called.
func (e *Exchange) Idle() bool { return len(e.pending) == 0 && e.prompt == 0 }

// Record records that this router has seen that the process of a target has ended, or refuses connections since
// refusedAt, whether that was expected or not.
func (e *Exchange) Record(s *balance.State, now time.Time, t balance.Target, refusedAt time.Time) {
	if !s.RecordExit(now, t, refusedAt) {
		return
	}
	e.Metrics.CountExits("seen", 1)
	e.Log.Info("process of target has ended", "target", t.ID, "born", t.Born, "version", t.Version, "refused", !refusedAt.IsZero())
	if ended, known := s.EndedProcess(t.Incarnation()); known {
		e.passOn(now, message.TargetProcess(ended))
	}
}

// Receive records what another router tells of processes that have ended, and passes on what is new. Where
// streams run, this router tries to connect itself: others do not tell whether the process only closed its listener.
func (e *Exchange) Receive(s *balance.State, now time.Time, m message.TargetExits) {
	var news []message.TargetProcess
	for _, p := range m.Ended {
		if !s.RecordExitOf(now, balance.Process(p)) {
			continue
		}
		news = append(news, p)
		if t, ok := s.StreamsAt(p.Incarnation); ok {
			e.Group.Go(func() { e.verify(t) })
		}
	}
	e.Metrics.CountExits("told", len(news))
	e.passOn(now, news...)
}

// verify tries to connect to a process that is said to have ended.
func (e *Exchange) verify(t balance.Target) {
	at, refused := e.Prober.ProcessExited(e.Group.Context(), t.Address, t.Incarnation())
	if !refused {
		return
	}
	e.Loop.Post(func(s *balance.State, now time.Time) {
		if told, isNew := s.ConfirmRefusal(t.Incarnation(), at); isNew {
			e.Log.Info("process of target refuses connections", "target", t.ID, "born", t.Born, "version", t.Version,
				"told_ms", now.Sub(told).Milliseconds())
		}
	})
}

// passOn tells a few other routers of exits, which do the same: at once, or with the next tick if there
// are many.
func (e *Exchange) passOn(now time.Time, ended ...message.TargetProcess) {
	if len(ended) == 0 {
		return
	}
	e.pending = append(e.pending, ended[:min(len(ended), maxPending-len(e.pending))]...)
	if e.prompt < maxPrompt {
		e.prompt++
		e.send(now)
	}
	e.Wake(now)
}

// Tick passes on what has come together since the last tick.
func (e *Exchange) Tick(now time.Time) {
	e.prompt = 0
	e.send(now)
}

func (e *Exchange) send(now time.Time) {
	if len(e.pending) == 0 {
		return
	}
	for _, to := range e.Roster.RandomPeers(now) {
		for part := range slices.Chunk(e.pending, maxPerMessage) {
			e.Send(member.Member{Peer: to}, message.TargetExits{Ended: part})
		}
	}
	e.pending = nil
}
