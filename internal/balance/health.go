package balance

import (
	"time"
)

const (
	// failWeight is the weight of the newest result in the running average of
	// failures; suspectFrom is the average from which a target is avoided.
	// Two failures in a row, or about half of all, get there.
	failWeight  = 0.3
	suspectFrom = 0.45
	// firstPause is for how long a suspect is avoided; each time that it
	// fails again the pause doubles, up to lastPause.
	firstPause = 500 * time.Millisecond
	lastPause  = 4 * time.Second
	// silence is for how long a target may show no progress while a request
	// waits at it before it is avoided: longer than the unread tokens that it
	// may hold take to read.
	silence = 900 * time.Millisecond
)

// health is what results say of a target.
type health struct {
	failures float64
	pause    time.Duration
	until    time.Time
	// progress is when the target last began to answer or ended a request.
	progress time.Time
}

func (h *health) suspected(now time.Time) bool { return now.Before(h.until) }

// note takes a result into account.
func (h *health) note(now time.Time, how Result) {
	switch how {
	case Answered:
		h.failures *= 1 - failWeight
		h.progress = now
		if h.failures < suspectFrom/2 {
			h.pause = 0
		}
	case Unreachable:
		h.failures = max(h.failures, suspectFrom)
		h.suspect(now)
	case Failed:
		h.failures += failWeight * (1 - h.failures)
		if h.failures >= suspectFrom {
			h.suspect(now)
		}
	case Refused, Left:
	}
}

func (h *health) suspect(now time.Time) {
	if h.suspected(now) {
		return
	}
	h.pause = min(max(2*h.pause, firstPause), lastPause)
	h.until = now.Add(h.pause)
}

// watch suspects a target that has shown no sign for a while although a
// request waits at it.
func (t *target) watch(now time.Time) {
	if len(t.waiting) == 0 {
		return
	}
	since := t.waiting[0].sent
	if t.progress.After(since) {
		since = t.progress
	}
	if now.Sub(since) > silence {
		t.suspect(now)
	}
}
