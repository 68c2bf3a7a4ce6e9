package balance

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/coldstart"
	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/targethealth"
	"github.com/stepcroft/stepcroft/internal/view"
)

const (
	// releaseInterval is the interval between searches for activities that can be released.
	releaseInterval = time.Second
	// activityTTL is how long a target's activity is kept after its last use. Its prefix cache
	// is outdated by then.
	activityTTL = prefix.CachedTTL
)

// activity is what this router knows about a target from requests that it or other routers
// sent there. A fleet has many more targets than one router uses, so it is allocated at the
// first use and released when it no longer matters.
type activity struct {
	localLoad view.Load
	cache     prefix.Cache
	health    targethealth.Health
	// running holds this router's requests that were sent to the target and have not ended.
	running map[*Ticket]struct{}
	// unstarted holds this router's requests that the target has not started to answer, oldest
	// first.
	unstarted []*Ticket
	// recentSends counts the requests sent to the target lately. It is nil as long as the
	// target's service has no cold targets.
	recentSends *coldstart.Window
	// serviceTime is the average time of requests that found a free slot; 0 if unknown.
	serviceTime time.Duration
	// probe is the first request sent after a backoff, until the target takes it.
	probe *Ticket
	// consecutiveRefusals is the number of requests in a row that the target rejected without
	// asking for a backoff.
	consecutiveRefusals int
	// usedAt is when the target was last used.
	usedAt time.Time
	// runningArea is kept for the mean number of requests that ran beside an answer.
	runningArea runningArea
}

// noActivity is the activity of all targets without one. It is never written.
var noActivity = &activity{}

// use returns a target's activity and allocates it if there is none.
func (s *State) use(now time.Time, t *target) *activity {
	if t.activity == noActivity {
		t.activity = &activity{running: map[*Ticket]struct{}{}}
		s.active[t] = struct{}{}
	}
	t.usedAt = now
	return t.activity
}

// releaseUnused releases the activities that no longer matter.
func (s *State) releaseUnused(now time.Time) {
	if now.Sub(s.releasedAt) < releaseInterval {
		return
	}
	s.releasedAt = now
	for t := range s.active {
		if t.canRelease(now) {
			t.activity = noActivity
			delete(s.active, t)
		}
	}
}

// canRelease reports whether a target's activity no longer matters to any decision. What was
// learnt about the service time of a target is kept as long as the target is listed.
func (t *target) canRelease(now time.Time) bool {
	return len(t.running) == 0 && len(t.unstarted) == 0 && t.serviceTime == 0 && t.probe == nil &&
		!t.suspected(now) && now.Sub(t.usedAt) >= activityTTL
}

// Active returns the number of targets about which this router keeps more than their entry.
func (s *State) Active() int { return len(s.active) }
