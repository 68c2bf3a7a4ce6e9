package balance

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/advice"
)

// Leaves notes that the target to which a request was sent says in its answer that it
// leaves. It reports whether that is news.
func (s *State) Leaves(now time.Time, t *Ticket) bool {
	if t.at == nil {
		return false
	}
	record, news := s.advice.SetLeaving(now, t.at.name)
	s.said(t.at, record)
	if news {
		s.refuseUnservable(now)
	}
	return news
}

// Rests notes that the target to which a request was sent asks in its answer for nothing
// more during a time. It reports whether the target was not resting.
func (s *State) Rests(now time.Time, t *Ticket, d time.Duration) bool {
	if t.at == nil {
		return false
	}
	spread := time.Duration(s.random.Int64N(int64(min(d, advice.MaxBackoff))*restSpread/100 + 1))
	record, news := s.advice.SetBackoff(now, t.at.name, d+spread)
	s.said(t.at, record)
	t.at.trial = nil
	if news {
		s.refuseUnservable(now)
	}
	return news
}

// said gives a target its record, and the listed one where the target was listed anew
// since the request was sent.
func (s *State) said(t *target, r *advice.Record) {
	t.said = r
	if listed := s.alive(t.name); listed != nil {
		listed.said = r
	}
}

// Closed reports whether a target gets nothing new. What it said itself holds, whatever its
// entry says.
func (t *target) Closed(now time.Time) bool { return t.said.Leaving() || t.Target.Closed(now) }

// SaidLeaving reports whether an incarnation of a target has said that it leaves.
func (s *State) SaidLeaving(t Target) bool { return s.advice.Find(t.Incarnation()).Leaving() }

const (
	// restSpread is by how much longer a target is left alone than it asked for, in percent
	// at most: routers that were turned away together must not come back together.
	restSpread = 10
	// trialTime is for how long a request that is sent after a rest keeps others back: a
	// target that is silent for longer may still take them.
	trialTime = 500 * time.Millisecond
)

// resting reports whether the target wants nothing now.
func (t *target) resting(now time.Time) bool { return now.Before(t.said.BackoffUntil()) }

// unrested reports whether a target rests, or has taken no request since and has one on
// trial: a target that is still full would turn away all that waited for it.
func (t *target) unrested(now time.Time) bool {
	return t.resting(now) || t.trial != nil && now.Sub(t.trial.sent) < trialTime
}

// tried notes that a target has taken the request that was sent to it on trial.
func (t *target) tried(k *Ticket) {
	if t.trial == k {
		t.trial = nil
		t.said.ClearBackoff()
	}
}

// restEnd returns when the first target rests no longer, of those to which a request can be
// sent, if all of them rest.
func (s *State) restEnd(now time.Time, service string, except []string) (time.Time, bool) {
	var first time.Time
	for _, to := range s.services[service] {
		if to.Closed(now) || slices.Contains(except, to.name) {
			continue
		}
		if !to.resting(now) {
			return time.Time{}, false
		}
		if end := to.said.BackoffUntil(); first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first, !first.IsZero()
}

// RestLeft returns when to come back to a service all of whose targets rest, spread so that
// callers do not return together; false if one of them does not.
func (s *State) RestLeft(now time.Time, service string) (time.Duration, bool) {
	end, ok := s.restEnd(now, service, nil)
	if !ok {
		return 0, false
	}
	left := end.Sub(now)
	return left + time.Duration(s.random.Int64N(int64(left)*restSpread/100+1)), true
}

// Against counts the requests that were sent in spite of what targets said: to those that
// leave, and to those that rest.
type Against struct {
	Leaving, Resting int64
}

// AgainstAdvice returns the counts since the start.
func (s *State) AgainstAdvice() Against { return s.against }

// heed notes what a request means that is sent to a target which has said something.
func (s *State) heed(now time.Time, t *Ticket, to *target) {
	if to.said.Leaving() {
		s.against.Leaving++
	}
	if to.resting(now) {
		s.against.Resting++
	}
	if !to.said.BackoffUntil().IsZero() {
		to.trial = t
	}
}

const (
	// refusalsMost is the number of refusals in a row that are taken for chance, firstRest the
	// rest after the next one, which doubles with each up to lastRest.
	refusalsMost = 2
	firstRest    = 50 * time.Millisecond
	lastRest     = 800 * time.Millisecond
)

// turnedAway leaves a target alone for a moment that turns one request after another away
// without saying for how long. Nothing runs there, so that it would draw all that comes.
func (s *State) turnedAway(now time.Time, to *target) {
	if to.resting(now) {
		return
	}
	to.refusals++
	doubled := to.refusals - refusalsMost - 1
	if doubled < 0 {
		return
	}
	record, _ := s.advice.SetBackoff(now, to.name, min(firstRest<<min(doubled, 8), lastRest))
	s.said(to, record)
	s.paused++
	s.refuseUnservable(now)
}

// Paused returns how often a target was left alone for a moment because it turned one request
// after another away.
func (s *State) Paused() int64 { return s.paused }
