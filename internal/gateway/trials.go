package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

const (
	// trialAnswerTimeout bounds how long a held-back request waits for leave to be sent on trial.
	trialAnswerTimeout = 500 * time.Millisecond
	// maxTrialTime and maxTrialKeys bound what another router may ask for.
	maxTrialTime = time.Hour
	maxTrialKeys = 32
)

// trials holds the trials of held-back requests that this router has asked other routers for. It belongs to
// the control goroutine.
type trials struct {
	lastID uint64
	// asked has the questions without an answer, by their numbers, granted the trials under way.
	asked   map[uint64]*trialQuestion
	granted map[quarantine.Key]trialGrant
}

// trialQuestion is a request that waits for leave to be sent on trial.
type trialQuestion struct {
	id     uint64
	keys   []quarantine.Key
	until  time.Time
	answer chan bool
}

// trialGrant tells who granted a trial and must know of its end.
type trialGrant struct {
	by member.Member
	id uint64
}

// StartTrial implements forward.Suspects. Of all running routers, the one that ranks first for the first
// attribute decides: otherwise several would send the request at the same time.
func (g suspects) StartTrial(ctx context.Context, until time.Time, keys []quarantine.Key) bool {
	q := &trialQuestion{keys: keys, until: until, answer: make(chan bool, 1)}
	g.loop.Post(func(_ *balance.State, now time.Time) { g.decideTrial(now, q) })
	timer := time.NewTimer(trialAnswerTimeout)
	defer timer.Stop()
	select {
	case allowed := <-q.answer:
		return allowed
	case <-timer.C:
		g.loop.Post(func(*balance.State, time.Time) { g.giveUpTrial(q) })
	case <-ctx.Done():
	}
	select {
	case allowed := <-q.answer:
		return allowed
	case <-ctx.Done():
	}
	g.loop.Post(func(_ *balance.State, now time.Time) {
		g.giveUpTrial(q)
		if <-q.answer {
			for _, k := range keys {
				g.endTrial(now, k, false)
			}
		}
	})
	return false
}

// decideTrial starts the trial that a request needs, refuses it, or asks another router for it.
func (g *Gateway) decideTrial(now time.Time, q *trialQuestion) {
	first := g.firstFor(now, q.keys[0])
	switch {
	case first.ID == g.self.ID:
		q.answer <- g.startTrial(now, q)
	case !g.quarantine.state.MayAskForTrial(now, q.keys...):
		q.answer <- false
	default:
		g.trials.lastID++
		q.id = g.trials.lastID
		g.trials.asked[q.id] = q
		to := member.Member{ID: first.ID, Zone: first.Zone, Address: first.Address, Peer: first.Peer}
		g.sendTo(to, message.Trial{Step: message.TrialAsked, ID: q.id, Keys: q.keys, For: q.until.Sub(now)})
	}
}

func (g *Gateway) startTrial(now time.Time, q *trialQuestion) bool {
	if !g.quarantine.state.StartTrial(now, q.until, q.keys...) {
		return false
	}
	for _, k := range q.keys {
		g.Log.Info("request on trial", "content", k.String())
	}
	return true
}

// giveUpTrial refuses a request that has waited for too long. A grant that comes later is returned.
func (g *Gateway) giveUpTrial(q *trialQuestion) {
	if q.id != 0 && g.trials.asked[q.id] == q {
		delete(g.trials.asked, q.id)
		q.answer <- false
	}
}

// EndTrial implements forward.Suspects.
func (g suspects) EndTrial(k quarantine.Key, broke bool) {
	g.loop.Post(func(_ *balance.State, now time.Time) { g.endTrial(now, k, broke) })
}

// endTrial ends a trial, and tells the router that granted it.
func (g *Gateway) endTrial(now time.Time, k quarantine.Key, broke bool) {
	g.quarantine.state.EndTrial(now, k, broke)
	if t, ok := g.trials.granted[k]; ok {
		delete(g.trials.granted, k)
		g.sendTo(t.by, message.Trial{Step: message.TrialEnded, ID: t.id, Keys: []quarantine.Key{k}, Broke: broke})
	}
}

// handleTrial handles a question of another router for a trial, its answer to one, or the end of a trial that
// this router granted.
func (g *Gateway) handleTrial(now time.Time, from member.Member, m message.Trial) {
	if len(m.Keys) == 0 || len(m.Keys) > maxTrialKeys {
		return
	}
	state, by := g.quarantine.state, quarantine.Grantee{Router: string(from.ID), ID: m.ID}
	switch m.Step {
	case message.TrialAsked:
		until := now.Add(min(m.For, maxTrialTime))
		reply := message.Trial{Step: message.TrialGranted, ID: m.ID, Keys: m.Keys}
		if !g.ranksFirst(now, m.Keys[0]) || !state.GrantTrial(now, until, by, m.Keys...) {
			reply.Step, reply.For = message.TrialRefused, state.TrialLeft(now, m.Keys[0])
		}
		g.sendTo(from, reply)
	case message.TrialGranted, message.TrialRefused:
		g.handleTrialAnswer(now, from, m)
	case message.TrialEnded:
		for _, k := range m.Keys {
			state.EndGrantedTrial(now, k, by, m.Broke)
		}
	}
}

func (g *Gateway) handleTrialAnswer(now time.Time, from member.Member, m message.Trial) {
	q := g.trials.asked[m.ID]
	waits := q != nil && slices.Equal(q.keys, m.Keys)
	if waits {
		delete(g.trials.asked, m.ID)
	}
	if m.Step == message.TrialRefused {
		if waits {
			g.quarantine.state.DelayAsking(now, m.Keys[0], m.For)
			q.answer <- false
		}
		return
	}
	if !waits || !g.startTrial(now, q) {
		g.sendTo(from, message.Trial{Step: message.TrialEnded, ID: m.ID, Keys: m.Keys})
		if waits {
			q.answer <- false
		}
		return
	}
	for _, k := range m.Keys {
		g.trials.granted[k] = trialGrant{by: from, id: m.ID}
	}
	q.answer <- true
}

// firstFor returns the running router that ranks first for a request.
func (g *Gateway) firstFor(now time.Time, k quarantine.Key) message.RouterRecord {
	hash := rendezvous.Hash(k.String())
	first := message.RouterRecord{ID: g.self.ID}
	weight := rendezvous.WeightFromHashes(hash, rendezvous.Hash(string(g.self.ID)))
	for r := range g.runningRouters(now) {
		if w := rendezvous.WeightFromHashes(hash, rendezvous.Hash(string(r.ID))); w > weight {
			first, weight = r, w
		}
	}
	return first
}
