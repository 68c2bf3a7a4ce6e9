// Package trial has one router after another send a held-back request on trial: of all running routers, the one that
// ranks first for the request decides, and the others ask it.
package trial

import (
	"context"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/quarantine"
)

const (
	// answerTimeout bounds how long a held-back request waits for leave to be sent on trial.
	answerTimeout = 500 * time.Millisecond
	// maxTime and maxKeys bound what another router may ask for.
	maxTime = time.Hour
	maxKeys = 32
)

// Fleet is what trials need of the router and of others.
type Fleet interface {
	// Post calls f soon in the control goroutine.
	Post(f func(now time.Time))
	// First returns the running router that ranks first for a request.
	First(now time.Time, k quarantine.Key) message.RouterRecord
	// Send sends a message to another router.
	Send(to member.Member, m message.Message)
}

// Trials holds the trials of held-back requests that this router has asked other routers for. All but Start and End
// belongs to the control goroutine. Use New to make one.
type Trials struct {
	self   message.RouterID
	state  *quarantine.State
	fleet  Fleet
	log    logr.Logger
	lastID uint64
	// asked has the questions without an answer, by their numbers, granted the trials under way.
	asked   map[uint64]*question
	granted map[quarantine.Key]grant
}

// New returns the trials of a router whose suspected requests are in state.
func New(self message.RouterID, state *quarantine.State, f Fleet, log logr.Logger) *Trials {
	return &Trials{self: self, state: state, fleet: f, log: log, asked: map[uint64]*question{}, granted: map[quarantine.Key]grant{}}
}

// question is a request that waits for leave to be sent on trial.
type question struct {
	id     uint64
	keys   []quarantine.Key
	until  time.Time
	answer chan bool
}

// grant tells who granted a trial and must know of its end.
type grant struct {
	by member.Member
	id uint64
}

// Start reports whether a request with these attributes may be sent on trial, which ends at until at the latest. Of all
// running routers, the one that ranks first for the first attribute decides: otherwise several would send the request at
// the same time.
func (t *Trials) Start(ctx context.Context, until time.Time, keys []quarantine.Key) bool {
	q := &question{keys: keys, until: until, answer: make(chan bool, 1)}
	t.fleet.Post(func(now time.Time) { t.decide(now, q) })
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case allowed := <-q.answer:
		return allowed
	case <-timer.C:
		t.fleet.Post(func(time.Time) { t.giveUp(q) })
	case <-ctx.Done():
	}
	select {
	case allowed := <-q.answer:
		return allowed
	case <-ctx.Done():
	}
	t.fleet.Post(func(now time.Time) {
		t.giveUp(q)
		if <-q.answer {
			for _, k := range keys {
				t.end(now, k, false)
			}
		}
	})
	return false
}

// decide starts the trial that a request needs, refuses it, or asks another router for it.
func (t *Trials) decide(now time.Time, q *question) {
	first := t.fleet.First(now, q.keys[0])
	switch {
	case first.ID == t.self:
		q.answer <- t.start(now, q)
	case !t.state.MayAskForTrial(now, q.keys...):
		q.answer <- false
	default:
		t.lastID++
		q.id = t.lastID
		t.asked[q.id] = q
		to := member.Member{ID: first.ID, Zone: first.Zone, Address: first.Address, Peer: first.Peer}
		t.fleet.Send(to, message.Trial{Step: message.TrialAsked, ID: q.id, Keys: q.keys, For: q.until.Sub(now)})
	}
}

func (t *Trials) start(now time.Time, q *question) bool {
	if !t.state.StartTrial(now, q.until, q.keys...) {
		return false
	}
	for _, k := range q.keys {
		t.log.Info("request on trial", "content", k.String())
	}
	return true
}

// giveUp refuses a request that has waited for too long. A grant that comes later is returned.
func (t *Trials) giveUp(q *question) {
	if q.id != 0 && t.asked[q.id] == q {
		delete(t.asked, q.id)
		q.answer <- false
	}
}

// End ends a trial; broke is set if the answer broke off.
func (t *Trials) End(k quarantine.Key, broke bool) {
	t.fleet.Post(func(now time.Time) { t.end(now, k, broke) })
}

// end ends a trial, and tells the router that granted it.
func (t *Trials) end(now time.Time, k quarantine.Key, broke bool) {
	t.state.EndTrial(now, k, broke)
	if g, ok := t.granted[k]; ok {
		delete(t.granted, k)
		t.fleet.Send(g.by, message.Trial{Step: message.TrialEnded, ID: g.id, Keys: []quarantine.Key{k}, Broke: broke})
	}
}

// Handle handles a question of another router for a trial, its answer to one, or the end of a trial that
// this router granted.
func (t *Trials) Handle(now time.Time, from member.Member, m message.Trial) {
	if len(m.Keys) == 0 || len(m.Keys) > maxKeys {
		return
	}
	state, by := t.state, quarantine.Grantee{Router: string(from.ID), ID: m.ID}
	switch m.Step {
	case message.TrialAsked:
		until := now.Add(min(m.For, maxTime))
		reply := message.Trial{Step: message.TrialGranted, ID: m.ID, Keys: m.Keys}
		if t.fleet.First(now, m.Keys[0]).ID != t.self || !state.GrantTrial(now, until, by, m.Keys...) {
			reply.Step, reply.For = message.TrialRefused, state.TrialLeft(now, m.Keys[0])
		}
		t.fleet.Send(from, reply)
	case message.TrialGranted, message.TrialRefused:
		t.handleAnswer(now, from, m)
	case message.TrialEnded:
		for _, k := range m.Keys {
			state.EndGrantedTrial(now, k, by, m.Broke)
		}
	}
}

func (t *Trials) handleAnswer(now time.Time, from member.Member, m message.Trial) {
	q := t.asked[m.ID]
	waits := q != nil && slices.Equal(q.keys, m.Keys)
	if waits {
		delete(t.asked, m.ID)
	}
	if m.Step == message.TrialRefused {
		if waits {
			t.state.DelayAsking(now, m.Keys[0], m.For)
			q.answer <- false
		}
		return
	}
	if !waits || !t.start(now, q) {
		t.fleet.Send(from, message.Trial{Step: message.TrialEnded, ID: m.ID, Keys: m.Keys})
		if waits {
			q.answer <- false
		}
		return
	}
	for _, k := range m.Keys {
		t.granted[k] = grant{by: from, id: m.ID}
	}
	q.answer <- true
}
