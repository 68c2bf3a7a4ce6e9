package balance

import (
	"slices"
	"time"
)

// maxQuiet is how long a target with requests may have sent nothing if it is to be asked besides a silent one. It is
// above the pauses between the events of a stream.
const maxQuiet = 400 * time.Millisecond

// AskSecond accepts a request a second time while its target is silent, to be sent to another one besides, and
// returns the ticket for that, whose decision follows as for Arrive. It returns nil and a reason if no other target
// may be asked now: the target has sent something within the last silence (then the reason is empty), the retry budget
// is spent, or no other target looks usable. tried are targets that were asked before, and resumes is set if the
// caller has a part of the answer.
func (s *State) AskSecond(now time.Time, t *Ticket, silence time.Duration, tried []string, resumes bool) (*Ticket, Reason) {
	if t.target == nil || t.silentFor(now) < silence {
		return nil, ""
	}
	if !s.budget.Allows(now, t.Service, s.routers(), budgetPercent) {
		return nil, BudgetSpent
	}
	second := t.second(append(tried, t.target.incarnation), resumes)
	if !slices.ContainsFunc(s.targetsOf(t.Service), func(c *target) bool { return s.isUsable(now, second, c) && !c.suspected(now) }) {
		return nil, NoTarget
	}
	s.budget.CountRetry(now, t.Service)
	s.arrive(now, second)
	return second, ""
}

// isResponsive reports whether a target may be asked besides one that is silent: it must not look silent itself.
func (t *target) isResponsive(now time.Time) bool {
	return !t.isUnproven() && t.silentFor(now) < maxQuiet
}

// wasHeard reports whether a target has sent something lately.
func (t *target) wasHeard(now time.Time) bool { return now.Sub(t.heardAt()) < maxQuiet }

// CancelSecond gives back what a second send has taken of the retry budget, as the request was not sent.
func (s *State) CancelSecond(now time.Time, t *Ticket) { s.budget.UncountRetry(now, t.Service) }

// second returns a ticket for the same request at another target.
func (t *Ticket) second(tried []string, resumes bool) *Ticket {
	k := &Ticket{
		ID: t.ID, Service: t.Service, Organisation: t.Organisation, Host: t.Host, Path: t.Path, Engine: t.Engine, Stream: t.Stream,
		Parts: t.Parts, Input: t.Input, Output: t.Output, Goal: t.Goal, Arrived: t.Arrived, Deadline: t.Deadline,
		Tried: slices.Concat(t.Tried, tried), Resumes: resumes, StreamID: t.StreamID, Version: t.Version, Continues: t.Continues,
		Decision: make(chan Decision, 1), beganAt: t.beganAt, beginningTaken: t.beginningTaken, again: true, isSecond: true,
		Regions: t.Regions, regionsBy: t.regionsBy,
	}
	k.LastReceived.Store(t.LastReceived.Load())
	k.Pieces.Store(t.Pieces.Load())
	k.Events.Store(t.Events.Load())
	k.FirstEvent.Store(t.FirstEvent.Load())
	k.Writing.Store(t.Writing.Load())
	return k
}

// lastReceived returns when the request's target last sent a part of the answer; it is t.Arrived if none did.
func (t *Ticket) lastReceived() time.Time { return t.Arrived.Add(time.Duration(t.LastReceived.Load())) }

// silentFor returns how long the target of a request has sent it nothing since the request was written. While it is not
// written, that is since the target was chosen.
func (t *Ticket) silentFor(now time.Time) time.Duration {
	since := t.sentAt
	for _, at := range []time.Time{t.lastReceived(), t.Arrived.Add(time.Duration(t.Sent.Load()))} {
		if at.After(since) {
			since = at
		}
	}
	return now.Sub(since)
}
