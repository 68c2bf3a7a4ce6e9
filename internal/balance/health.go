package balance

import (
	"time"
)

// maxSilence is how long a target may make no progress while a request waits at it, before
// it is suspected. It is longer than the target takes to read its allowed backlog.
const maxSilence = 900 * time.Millisecond

// suspected reports whether a target is suspected of being down or slow.
func (t *target) suspected(now time.Time) bool { return t.health.Suspected(now) }

// recordResult updates a target's health with the result of a request.
func (t *target) recordResult(now time.Time, how Result) {
	switch how {
	case Answered:
		t.health.RecordAnswer(now)
	case Unreachable:
		t.health.RecordUnreachable(now)
	case Failed:
		t.health.RecordFailure(now)
	case Refused, Abandoned:
	}
}

// checkSilence suspects a target that has made no progress for maxSilence although a request
// waits at it, or that has sent nothing for so long though it had begun several answers, until it goes on. One that
// is silent to a single request may have put it back.
func (t *target) checkSilence(now time.Time) {
	t.health.EndSilence(now, t.heardAt())
	if len(t.running) > 1 && now.Sub(t.health.LastProgress()) > maxSilence && t.silentFor(now) > maxSilence && t.begunAnswers() > 1 {
		t.health.SuspectSilent(now)
		return
	}
	if len(t.unstarted) == 0 {
		return
	}
	since := t.unstarted[0].sentAt
	if t.health.LastProgress().After(since) {
		since = t.health.LastProgress()
	}
	if now.Sub(since) > maxSilence {
		t.health.Suspect(now)
	}
}

// begunAnswers returns the number of running requests that a part of the answer has arrived for.
func (t *target) begunAnswers() (n int) {
	for k := range t.running {
		if k.lastReceived().After(k.sentAt) {
			n++
		}
	}
	return n
}

// isUnproven reports whether a target was suspected and has sent nothing since.
func (t *target) isUnproven() bool {
	return t.health.Recovering() && !t.heardAt().After(t.health.SuspectedAt())
}

// heardAt returns when a target last sent something to a request that runs there, or last started or completed an
// answer.
func (t *target) heardAt() time.Time {
	heard := t.health.LastProgress()
	for k := range t.running {
		if received := k.lastReceived(); received.After(k.sentAt) && received.After(heard) {
			heard = received
		}
	}
	return heard
}

// silentFor returns how long a target has sent nothing to any of the requests that run there, 0 if none does.
func (t *target) silentFor(now time.Time) time.Duration {
	if len(t.running) == 0 {
		return 0
	}
	heard, first := t.heardAt(), now
	for k := range t.running {
		if k.sentAt.Before(first) {
			first = k.sentAt
		}
	}
	if first.After(heard) {
		return now.Sub(first)
	}
	return now.Sub(heard)
}
