package quarantine

import (
	"maps"
	"time"
)

const (
	// massTime is within which time ends of targets count as one event, massFrom the
	// number of targets from which it is one that needs no request: a zone that goes
	// dark, a switch, a power supply.
	massTime = time.Second
	massFrom = 5
	// accountPart is the part of the targets of such an event that a request must have
	// run at to be accused by it.
	accountPart = 8
	// settleTime is for how long it is waited, after two targets ended together, whether
	// more did: news of the others are on their way.
	settleTime = 300 * time.Millisecond
)

// ends has when targets ended, by incarnation, for as long as requests may break off there
// and other ends may turn out to belong to the same event.
type ends map[string]*end

// end is the end of a target.
type end struct {
	// first and last are when it was first and last seen.
	first, last time.Time
	// judged is set once it was decided whom it accuses.
	judged bool
}

// note notes that a target has ended.
func (s ends) note(now time.Time, target string) {
	e := s[target]
	if e == nil {
		s[target] = &end{first: now, last: now}
		return
	}
	e.last = latest(e.last, now)
}

// fresh reports whether a target has ended lately.
func (s ends) fresh(now time.Time, target string) bool {
	e := s[target]
	return e != nil && now.Sub(e.last) <= brokenTime
}

// judge returns the targets whose ends are old enough to be decided upon, each once.
func (s ends) judge(now time.Time) []string {
	var list []string
	for target, e := range s {
		if !e.judged && now.Sub(e.first) > brokenTime {
			e.judged = true
			list = append(list, target)
		}
	}
	return list
}

// forget forgets ends that belong to no event any more.
func (s ends) forget(now time.Time) {
	maps.DeleteFunc(s, func(_ string, e *end) bool {
		return now.Sub(e.first) > brokenTime+massTime && now.Sub(e.last) > brokenTime
	})
}

// accountsFor reports whether the end of a target accuses a request that ran there: evidence
// that the request shares with all else that ran at many targets is none.
func (s ends) accountsFor(r *entry, target string) bool {
	at := s[target]
	if at == nil {
		return true
	}
	all, own := 0, 0
	for other, e := range s {
		if e.first.Sub(at.first).Abs() > massTime {
			continue
		}
		all++
		if c, ran := r.crashes[other]; ran && !c.Cleared {
			own++
		}
	}
	if own < heldFrom {
		return all < massFrom
	}
	return own*accountPart >= all
}

// together reports whether all targets that ended under a request did so in one event, and
// when the last of them was seen to have.
func (s ends) together(r *entry) (time.Time, bool) {
	var first, last time.Time
	for target, c := range r.crashes {
		if c.Cleared {
			continue
		}
		e := s[target]
		if e == nil {
			return time.Time{}, false
		}
		if first.IsZero() || e.first.Before(first) {
			first = e.first
		}
		last = latest(last, e.first)
	}
	return last, last.Sub(first) <= massTime
}
