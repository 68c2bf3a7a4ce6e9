package quarantine

import "time"

// Common reports whether all routers are to know of a request: more targets ended under it
// than by chance, or another router says so. It then stays so.
func (s *State) Common(k Key) bool {
	e := s.entries[k]
	if e == nil {
		return false
	}
	if !e.common && s.accused(e) {
		s.share(k, e)
	}
	return e.common
}

// accused reports whether a request is to be sent away. Two targets that ended together
// accuse it only once it is known how many others did.
func (s *State) accused(e *entry) bool {
	switch n := s.counted(e); {
	case n < pausedFrom:
		return false
	case n > pausedFrom || e.common:
		return true
	}
	last, together := s.ended.together(e)
	return !together || !s.defers && s.now.Sub(last) >= settleTime
}

func (s *State) share(k Key, e *entry) {
	e.common = true
	s.digest ^= e.weight(k)
	s.view = nil
}

// counted returns the number of crashes that are not cleared and that accuse the request.
func (s *State) counted(e *entry) int {
	n := 0
	for target, c := range e.crashes {
		if !c.Cleared && s.ended.accountsFor(e, target) {
			n++
		}
	}
	return n
}

// until returns until when the request is sent away; zero if it is not.
func (s *State) until(e *entry) time.Time {
	if !s.accused(e) {
		return time.Time{}
	}
	if n := e.trials(); n < len(trialPauses) {
		return e.crashed.Add(trialPauses[n])
	}
	return e.expires()
}

// settle finds out which requests turned out to be accused after all, which is news.
func (s *State) settle(now time.Time) {
	s.now = latest(s.now, now)
	for k := range s.settling {
		e := s.entries[k]
		switch {
		case e == nil || e.common || now.Sub(e.crashed) > brokenTime:
			delete(s.settling, k)
		case s.accused(e):
			delete(s.settling, k)
			s.news[k] = true
		}
	}
}

// Quiet reports whether there is no news and none to come with time alone.
func (s *State) Quiet() bool { return len(s.news) == 0 && len(s.settling) == 0 }

// Defer says whether other routers decide if two targets that ended together accuse a
// request.
func (s *State) Defer(others bool) {
	if s.defers != others {
		s.defers = others
		s.view = nil
	}
}
