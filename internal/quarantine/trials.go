package quarantine

import (
	"bytes"
	"time"
)

const (
	// askInterval and maxAskInterval bound the time from one question for a trial of a request to the next.
	askInterval    = time.Second
	maxAskInterval = 5 * time.Second
)

// Grantee is another router that runs a trial, and the number of its question for it. The numbers of one
// router rise.
type Grantee struct {
	Router string
	ID     uint64
}

// StartTrial reports whether a request with held-back attributes may be sent on trial, and records
// that it is: the delay of each is over, it is its turn, and no other trial is under way. For each
// request, only one router of the fleet decides, so that one trial is under way at a time.
func (s *State) StartTrial(now, until time.Time, keys ...Key) bool {
	return s.startTrial(now, until, Grantee{}, keys)
}

// GrantTrial is StartTrial for a trial at another router. Unless its end is told, it counts as under way
// until a crash under it would be known. A router that asks again has no trial: it has missed the answer.
func (s *State) GrantTrial(now, until time.Time, to Grantee, keys ...Key) bool {
	for _, k := range keys {
		if e := s.entries[k]; e != nil && e.grantee.Router == to.Router && e.grantee.ID < to.ID {
			e.trialUntil, e.grantee = time.Time{}, Grantee{}
		}
	}
	return s.startTrial(now, until.Add(brokenTTL), to, keys)
}

func (s *State) startTrial(now, until time.Time, by Grantee, keys []Key) bool {
	if !s.trialDue(now, keys) {
		return false
	}
	for _, k := range keys {
		s.entries[k].trialUntil, s.entries[k].grantee = until, by
	}
	return true
}

// trialDue reports whether a trial may start.
func (s *State) trialDue(now time.Time, keys []Key) bool {
	for _, k := range keys {
		e := s.entries[k]
		if e == nil || now.Before(e.trialUntil) {
			return false
		}
		if due := s.rejectedUntil(e); now.Before(due) || now.Before(due.Add(s.turn(k, e))) {
			return false
		}
	}
	return len(keys) > 0
}

// MayAskForTrial reports whether to ask the router that decides for a trial, and records that it is asked.
func (s *State) MayAskForTrial(now time.Time, keys ...Key) bool {
	if !s.trialDue(now, keys) || now.Before(s.entries[keys[0]].askAfter) {
		return false
	}
	s.DelayAsking(now, keys[0], askInterval)
	return true
}

// DelayAsking records for how long not to ask for a trial of a request.
func (s *State) DelayAsking(now time.Time, k Key, d time.Duration) {
	if e := s.entries[k]; e != nil {
		e.askAfter = now.Add(min(max(d, askInterval), maxAskInterval))
	}
}

// TrialLeft returns how much longer the trial of a request may take that is under way, 0 if none is.
func (s *State) TrialLeft(now time.Time, k Key) time.Duration {
	if e := s.entries[k]; e != nil {
		return max(e.trialUntil.Sub(now), 0)
	}
	return 0
}

// turn returns how much later than its delay a request's trial may start. Requests that ran at the same
// crashed targets take turns: of two trials at one target, the cause of the crashes makes the other
// one fail. All routers with the same records compute the same turns.
func (s *State) turn(k Key, e *entry) time.Duration {
	n := 0
	for other, o := range s.entries {
		if bytes.Compare(other[:], k[:]) < 0 && o.failedTrials() == e.failedTrials() && HeldBack(s.countedCrashes(o)) && o.crashedBeside(e) {
			n++
		}
	}
	return time.Duration(min(n, maxTurns)) * turnLength
}

// EndTrial records that a trial is over. If its answer broke off, there is no other one until it is
// known whether the target has exited.
func (s *State) EndTrial(now time.Time, k Key, broke bool) {
	e := s.entries[k]
	if e == nil {
		return
	}
	e.trialUntil, e.grantee = time.Time{}, Grantee{}
	if broke {
		e.trialUntil = now.Add(brokenTTL)
	}
}

// EndGrantedTrial is EndTrial for a trial at another router.
func (s *State) EndGrantedTrial(now time.Time, k Key, by Grantee, broke bool) {
	if e := s.entries[k]; e != nil && e.grantee == by {
		s.EndTrial(now, k, broke)
	}
}
