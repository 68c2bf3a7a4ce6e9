package balance

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/advice"
)

// Leaves notes that the target to which a request was sent says in its answer that it
// leaves. It reports whether that is news.
func (s *State) Leaves(now time.Time, t *Ticket) bool {
	if t.at == nil {
		return false
	}
	record, news := s.advice.Leave(now, t.at.name)
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
	record, news := s.advice.Rest(now, t.at.name, d)
	s.said(t.at, record)
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

// resting reports whether the target wants nothing now.
func (t *target) resting(now time.Time) bool { return now.Before(t.said.Rest()) }

// Against counts the requests that were sent in spite of what targets said: to those that
// leave, and to those that rest.
type Against struct {
	Leaving, Resting int64
}

// AgainstAdvice returns the counts since the start.
func (s *State) AgainstAdvice() Against { return s.against }

// heed counts a request that is sent to a target.
func (s *State) heed(now time.Time, to *target) {
	if to.said.Leaving() {
		s.against.Leaving++
	}
	if to.resting(now) {
		s.against.Resting++
	}
}
