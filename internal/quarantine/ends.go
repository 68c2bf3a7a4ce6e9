package quarantine

import (
	"maps"
	"time"
)

const (
	// outageWindow is the time within which exits of targets count as one event.
	// minOutageTargets is the number of targets from which such an event is taken for an
	// outage that no request caused, such as that of a zone, a switch or a power supply.
	outageWindow     = time.Second
	minOutageTargets = 5
	// A request with minCrashesToHold crashes or more in an event is implicated by it only if
	// it ran at at least one in outageTargetsPerRun of the event's targets.
	outageTargetsPerRun = 8
	// minPartOutageTargets and outageTargetsPerPartRun are the same for a part of prompts, which more
	// requests share than a content. Several parts at a time may make some targets exit in a second.
	minPartOutageTargets    = 12
	outageTargetsPerPartRun = 2
	// decisionDelay is the wait after two targets exited at the same time until it is
	// decided whether it was an outage: reports of other exits may be on their way.
	decisionDelay = 300 * time.Millisecond
)

// exits holds the unexpected exits of targets, by incarnation, for as long as answers may break
// off there and other exits may turn out to belong to the same event.
type exits map[string]*exit

// exit is the unexpected exit of a target's process.
type exit struct {
	// first and last are the times of its first and last report.
	first, last time.Time
	// decided is set once it has been decided which requests it implicates.
	decided bool
}

// add records that a target has exited.
func (s exits) add(now time.Time, target string) {
	e := s[target]
	if e == nil {
		s[target] = &exit{first: now, last: now}
		return
	}
	e.last = latest(e.last, now)
}

// recent reports whether a target has exited recently.
func (s exits) recent(now time.Time, target string) bool {
	e := s[target]
	return e != nil && now.Sub(e.last) <= brokenTTL
}

// takeDue returns the targets whose exits are old enough to decide which requests they
// implicate, each target once.
func (s exits) takeDue(now time.Time) []string {
	var list []string
	for target, e := range s {
		if !e.decided && now.Sub(e.first) > brokenTTL {
			e.decided = true
			list = append(list, target)
		}
	}
	return list
}

// expire removes exits that are too old to belong to an event.
func (s exits) expire(now time.Time) {
	maps.DeleteFunc(s, func(_ string, e *exit) bool {
		return now.Sub(e.first) > brokenTTL+outageWindow && now.Sub(e.last) > brokenTTL
	})
}

// implicates reports whether the exit of a target counts against a request that ran there. The
// outage of many targets does not count against a request that ran at only a few of them: the
// same evidence would count against all other requests that ran there.
func (s exits) implicates(r *entry, target string) bool {
	at := s[target]
	if at == nil {
		return true
	}
	all, ran := 0, 0
	for other, e := range s {
		if e.first.Sub(at.first).Abs() > outageWindow {
			continue
		}
		all++
		if c, ok := r.crashes[other]; ok && !c.Cleared {
			ran++
		}
	}
	if ran < minCrashesToHold {
		return all < minOutageTargets
	}
	if r.part != "" {
		return all < minPartOutageTargets || ran*outageTargetsPerPartRun >= all
	}
	return ran*outageTargetsPerRun >= all
}

// simultaneous reports whether all targets that exited under a request did so in one event,
// and when the last of these exits was first reported.
func (s exits) simultaneous(r *entry) (time.Time, bool) {
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
	return last, last.Sub(first) <= outageWindow
}
