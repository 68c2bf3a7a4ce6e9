package balance

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/advice"
)

// RecordLeaving records that a request's target reported in its answer that it is shutting
// down. It returns whether this was not known before.
func (s *State) RecordLeaving(now time.Time, t *Ticket) bool {
	if t.target == nil {
		return false
	}
	record, isNew := s.advice.SetLeaving(now, t.target.incarnation)
	s.setReported(t.target, record)
	if isNew {
		s.refuseUnservable(now)
	}
	return isNew
}

// RecordBackoff records that a request's target asked in its answer for a backoff of d. It
// returns whether the target was not backing off already.
func (s *State) RecordBackoff(now time.Time, t *Ticket, d time.Duration) bool {
	if t.target == nil {
		return false
	}
	spread := time.Duration(s.random.Int64N(int64(min(d, advice.MaxBackoff))*backoffJitterPercent/100 + 1))
	record, isNew := s.advice.SetBackoff(now, t.target.incarnation, d+spread)
	s.setReported(t.target, record)
	t.target.probe = nil
	if isNew {
		s.refuseUnservable(now)
	}
	return isNew
}

// setReported sets a target's record, and also that of the listed target of the same
// incarnation, which is another object if the target was listed anew since the request was
// sent.
func (s *State) setReported(t *target, r *advice.Record) {
	t.reported = r
	if listed := s.findIncarnation(t.incarnation); listed != nil {
		listed.reported = r
	}
}

// Closed reports whether a target gets no new requests. What the target reported itself
// counts, whatever its entry says.
func (t *target) Closed(now time.Time) bool { return t.reported.Leaving() || t.Target.Closed(now) }

// ReportedLeaving reports whether an incarnation of a target reported that it is shutting
// down.
func (s *State) ReportedLeaving(t Target) bool { return s.advice.Find(t.Incarnation()).Leaving() }

const (
	// backoffJitterPercent bounds the random extension of a backoff, in percent of it: routers
	// that were rejected together must not retry together.
	backoffJitterPercent = 10
	// probeTimeout is how long a probe, the first request after a backoff, keeps other requests
	// away from the target. A target that has not answered by then may still accept them.
	probeTimeout = 500 * time.Millisecond
)

// backingOff reports whether the target's backoff is still running.
func (t *target) backingOff(now time.Time) bool { return now.Before(t.reported.BackoffUntil()) }

// backingOffOrProbed reports whether a target is backing off, or its backoff has ended and it
// has not answered the probe yet. Otherwise a target that is still full would reject all the
// requests that waited for it.
func (t *target) backingOffOrProbed(now time.Time) bool {
	return t.backingOff(now) || t.probe != nil && now.Sub(t.probe.sentAt) < probeTimeout
}

// endProbe ends the backoff if the target took the request that was its probe.
func (t *target) endProbe(k *Ticket) {
	if t.probe == k {
		t.probe = nil
		t.reported.ClearBackoff()
	}
}

// backoffEnd returns when the first of a service's backoffs ends, if all the targets that a
// request may be sent to are backing off, else false. Targets whose incarnation is in except
// are ignored.
func (s *State) backoffEnd(now time.Time, service string, except []string) (time.Time, bool) {
	var first time.Time
	for _, to := range s.targetsOf(service) {
		if to.Closed(now) || slices.Contains(except, to.incarnation) {
			continue
		}
		if !to.backingOff(now) {
			return time.Time{}, false
		}
		if end := to.reported.BackoffUntil(); first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first, !first.IsZero()
}

// BackoffLeft returns how long to wait before a retry if all targets of a service are backing
// off, with jitter so that callers do not retry together; false if some target is not.
func (s *State) BackoffLeft(now time.Time, service string) (time.Duration, bool) {
	end, ok := s.backoffEnd(now, service, nil)
	if !ok {
		return 0, false
	}
	left := end.Sub(now)
	return left + time.Duration(s.random.Int64N(int64(left)*backoffJitterPercent/100+1)), true
}

// SentAgainstAdvice counts the requests that were sent in spite of what targets reported: to
// targets that are leaving, and to ones that are backing off.
type SentAgainstAdvice struct {
	Leaving, BackingOff int64
}

// SentAgainstAdvice returns these counts since the start.
func (s *State) SentAgainstAdvice() SentAgainstAdvice { return s.sentAgainstAdvice }

// noteSent counts a request that is sent in spite of what its target reported, and makes the
// first one after a backoff the target's probe.
func (s *State) noteSent(now time.Time, t *Ticket, to *target) {
	if to.reported.Leaving() {
		s.sentAgainstAdvice.Leaving++
	}
	if to.backingOff(now) {
		s.sentAgainstAdvice.BackingOff++
	}
	if !to.reported.BackoffUntil().IsZero() {
		to.probe = t
	}
}

const (
	// A target backs off after more than maxConsecutiveRefusals refusals in a row, first for
	// minRefusalBackoff. Each further refusal doubles that, up to maxRefusalBackoff.
	maxConsecutiveRefusals = 2
	minRefusalBackoff      = 50 * time.Millisecond
	maxRefusalBackoff      = 800 * time.Millisecond
)

// countRefusal counts a refusal, and starts a backoff if the target refuses one request after
// another without asking for one. Since nothing runs at such a target, it would otherwise
// attract all requests.
func (s *State) countRefusal(now time.Time, to *target) {
	if to.backingOff(now) {
		return
	}
	to.consecutiveRefusals++
	doubled := to.consecutiveRefusals - maxConsecutiveRefusals - 1
	if doubled < 0 {
		return
	}
	record, _ := s.advice.SetBackoff(now, to.incarnation, min(minRefusalBackoff<<min(doubled, 8), maxRefusalBackoff))
	s.setReported(to, record)
	s.backoffs++
	s.refuseUnservable(now)
}

// Backoffs returns the number of backoffs started because a target refused one request after
// another.
func (s *State) Backoffs() int64 { return s.backoffs }
