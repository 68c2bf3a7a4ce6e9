// Package targethealth tells from the results of a target's requests whether it is suspected of being down or slow, and
// for how long it is avoided.
package targethealth

import "time"

const (
	// failureWeight is the weight of the newest result in the moving average of failures; a
	// target is suspected from an average of suspectThreshold. Two failures in a row, or about
	// half of all, reach it.
	failureWeight    = 0.3
	suspectThreshold = 0.45
	// minSuspectDuration is how long a target is avoided at first. Each further failure
	// doubles the time, up to maxSuspectDuration.
	minSuspectDuration = 500 * time.Millisecond
	maxSuspectDuration = 4 * time.Second
)

// Health is derived from the results of the requests sent to a target. The zero value is that of one that was sent none.
type Health struct {
	failureRate     float64
	suspectDuration time.Duration
	// suspectedAt is when the last suspicion began, and silent is set if the target then sent nothing to anybody.
	suspectedAt, suspectedUntil time.Time
	silent                      bool
	// lastProgress is when the target last started or completed an answer.
	lastProgress time.Time
}

// FailureRate returns the moving average of failures, from 0 to 1.
func (h *Health) FailureRate() float64 { return h.failureRate }

// Suspected reports whether the target is suspected.
func (h *Health) Suspected(now time.Time) bool { return now.Before(h.suspectedUntil) }

// SuspectedAt returns when the last suspicion began.
func (h *Health) SuspectedAt() time.Time { return h.suspectedAt }

// Recovering reports whether a target that was suspected has not answered enough requests since.
func (h *Health) Recovering() bool { return h.suspectDuration > 0 }

// LastProgress returns when the target last started or completed an answer.
func (h *Health) LastProgress() time.Time { return h.lastProgress }

// RecordProgress records that the target has started an answer.
func (h *Health) RecordProgress(now time.Time) { h.lastProgress = now }

// RecordAnswer records that the target has completed an answer.
func (h *Health) RecordAnswer(now time.Time) {
	h.failureRate *= 1 - failureWeight
	h.lastProgress = now
	if h.failureRate < suspectThreshold/2 {
		h.suspectDuration = 0
	}
}

// RecordUnreachable records that no connection could be made to the target.
func (h *Health) RecordUnreachable(now time.Time) {
	h.failureRate = max(h.failureRate, suspectThreshold)
	h.Suspect(now)
}

// RecordFailure records that the target failed, broke off its answer or fell silent.
func (h *Health) RecordFailure(now time.Time) {
	h.failureRate += failureWeight * (1 - h.failureRate)
	if h.failureRate >= suspectThreshold {
		h.Suspect(now)
	}
}

// Suspect begins a suspicion, unless there is one.
func (h *Health) Suspect(now time.Time) {
	if h.Suspected(now) {
		return
	}
	h.suspectDuration = min(max(2*h.suspectDuration, minSuspectDuration), maxSuspectDuration)
	h.suspectedAt, h.suspectedUntil, h.silent = now, now.Add(h.suspectDuration), false
}

// SuspectSilent is Suspect for a target that sends nothing to anybody.
func (h *Health) SuspectSilent(now time.Time) {
	h.Suspect(now)
	h.silent = true
}

// EndSilence ends the suspicion of a silent target that has sent something at a time after it began.
func (h *Health) EndSilence(now, heardAt time.Time) {
	if h.silent && heardAt.After(h.suspectedAt) {
		h.suspectedUntil, h.silent = now, false
	}
}
