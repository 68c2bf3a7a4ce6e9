package quarantine

import "time"

// Shared reports whether all routers need to know of a request: more targets crashed under it
// than by chance, or another router reported so. Once set, it stays set.
func (s *State) Shared(k Key) bool {
	e := s.entries[k]
	if e == nil {
		return false
	}
	if !e.shared && s.implicated(e) {
		s.share(k, e)
	}
	return e.shared
}

// implicated reports whether a request is to be rejected. Two targets that exited at the same
// time implicate it only once it is known how many others did. The same holds for a part of prompts
// whatever the number of targets, since a popular one ran at most of those that an outage took.
func (s *State) implicated(e *entry) bool {
	switch n := s.countedCrashes(e); {
	case n < minCrashesToReject:
		return false
	case e.shared || n > minCrashesToReject && e.part == "":
		return true
	}
	last, simultaneous := s.exits.simultaneous(e)
	return !simultaneous || !s.deferring && s.now.Sub(last) >= decisionDelay
}

// share marks a request as one that all routers need to know of.
func (s *State) share(k Key, e *entry) {
	e.shared = true
	e.sharedAt = s.now
	s.digest ^= e.digest(k)
	s.view = nil
}

// countedCrashes returns the number of crashes that are not cleared and count against the
// request.
func (s *State) countedCrashes(e *entry) int {
	n := 0
	for target, c := range e.crashes {
		if !c.Cleared && (e.decided() || s.exits.implicates(e, target)) {
			n++
		}
	}
	return n
}

// decided reports whether later exits of other targets change nothing about a part of prompts: all
// routers were told of it, and those where requests with it end well clear it.
func (e *entry) decided() bool { return e.part != "" && e.shared }

// rejectedUntil returns the time until which the request is rejected, the zero time if it is
// not.
func (s *State) rejectedUntil(e *entry) time.Time {
	if !s.implicated(e) || e.part != "" && s.countedCrashes(e) < minCrashesToHold {
		return time.Time{}
	}
	if n := e.failedTrials(); n < len(trialDelays) {
		return e.lastCrash.Add(trialDelays[n])
	}
	return e.expires()
}

// partGrace is the time from when all routers are told of a part of prompts until it may be held back.
// Meanwhile those where requests with the part end well clear it.
const partGrace = 500 * time.Millisecond

// heldFrom returns when an attribute with enough crashes is held back.
func (s *State) heldFrom(e *entry) time.Time {
	if e.part == "" || !e.shared {
		return time.Time{}
	}
	return e.sharedAt.Add(partGrace)
}

// resolveUndecided marks the undecided requests that turned out to be implicated as updated.
func (s *State) resolveUndecided(now time.Time) {
	s.now = latest(s.now, now)
	for k := range s.undecided {
		e := s.entries[k]
		switch {
		case e == nil || e.shared || now.Sub(e.lastCrash) > brokenTTL:
			delete(s.undecided, k)
		case s.implicated(e):
			delete(s.undecided, k)
			s.updated[k] = true
		}
	}
}

// NothingPending reports whether there are no updates, and no undecided requests that may
// become updates with time alone.
func (s *State) NothingPending() bool { return len(s.updated) == 0 && len(s.undecided) == 0 }

// DeferToCollectors sets whether other routers decide if two targets that exited at the same
// time implicate a request.
func (s *State) DeferToCollectors(deferring bool) {
	if s.deferring != deferring {
		s.deferring = deferring
		s.view = nil
	}
}
