package routing

import "time"

// tolerantPause is the shortest MaxPause from which a route counts as tolerant of pauses. Below it,
// an engine that reads a long prompt, or a second router on the way, takes up most of the pause.
const tolerantPause = 400 * time.Millisecond

// ShortestPause returns the shortest MaxPause of the streaming routes to a service, 0 if there are
// none or one of them states none.
func (t *Table) ShortestPause(service string) time.Duration { return t.pauses[service] }

// ToleratesPauses reports whether all streaming routes to a service, and at least one, accept
// pauses of at least 400 ms.
func (t *Table) ToleratesPauses(service string) bool { return t.pauses[service] >= tolerantPause }

// AnyTolerates reports whether ToleratesPauses is true of any service.
func (t *Table) AnyTolerates() bool {
	for service := range t.pauses {
		if t.ToleratesPauses(service) {
			return true
		}
	}
	return false
}

// AllTolerate reports whether ToleratesPauses is true of each service with a streaming route.
func (t *Table) AllTolerate() bool {
	for service := range t.pauses {
		if !t.ToleratesPauses(service) {
			return false
		}
	}
	return len(t.pauses) > 0
}
