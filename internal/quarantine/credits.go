package quarantine

import "time"

const (
	// creditWindow is how long an attribute of a request that ended well is not suspected, up to twice
	// that time. What crashes every target does not end well, and what is popular is nearly always
	// running where a target crashes.
	creditWindow = time.Second
	// maxCredits bounds the attributes remembered of each window.
	maxCredits = 1 << 12
)

// credits remembers the attributes of requests that have ended well a moment ago.
type credits struct {
	current, previous map[Credit]struct{}
	rotatedAt         time.Time
}

func (c *credits) rotate(now time.Time) {
	switch age := now.Sub(c.rotatedAt); {
	case age >= 2*creditWindow:
		c.current, c.previous, c.rotatedAt = map[Credit]struct{}{}, nil, now
	case age >= creditWindow:
		c.current, c.previous, c.rotatedAt = map[Credit]struct{}{}, c.current, now
	}
}

func (c *credits) add(now time.Time, which Credit) {
	c.rotate(now)
	if len(c.current) < maxCredits {
		c.current[which] = struct{}{}
	}
}

func (c *credits) has(now time.Time, which Credit) bool {
	c.rotate(now)
	_, current := c.current[which]
	_, previous := c.previous[which]
	return current || previous
}

// RecordEnd records that a request with these attributes has ended well.
func (s *State) RecordEnd(now time.Time, attributes []Credit) {
	for _, which := range attributes {
		s.credits.add(now, which)
	}
}

// RecordAttributeBreak is RecordBreak for a request's attribute. It does nothing if a request with the
// attribute ended well a moment ago.
func (s *State) RecordAttributeBreak(now time.Time, a Attribute, organisation, target string, trial bool) int {
	if s.credits.has(now, a.Credit) {
		return s.crashesOf(a.Key)
	}
	return s.recordBreak(now, brokenRequest{key: a.Key, part: a.Part, organisation: organisation, crash: Crash{Target: target, Trial: trial}, at: now})
}

// ClearBefore records that a request with an attribute, sent at a time, has completed, so that the
// crashes before had another cause.
func (s *State) ClearBefore(k Key, sent time.Time) {
	e := s.entries[k]
	if e == nil {
		return
	}
	for target, c := range e.crashes {
		if !c.Cleared && (e.part == "" || e.crashedBy[target].Before(sent)) {
			c.Cleared = true
			s.updateCrash(k, e, c)
		}
	}
}

// clearCredited clears the crashes of a part with which a request ended well here a moment ago, but for
// those of trials and holds by operators: requests that ended well were sent before.
func (s *State) clearCredited(now time.Time, k Key, e *entry) {
	if e.part == "" || !s.credits.has(now, Credit{part: k}) {
		return
	}
	for _, c := range e.crashes {
		if !c.Cleared && !c.Trial {
			c.Cleared = true
			s.updateCrash(k, e, c)
		}
	}
}
