package forward

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/quarantine"
)

// Suspects tracks the requests suspected of crashing targets: those that a target was
// running when its process exited.
type Suspects interface {
	// View returns the requests suspected now, or nil if there are none.
	View() *quarantine.View
	// RecordBreak records that a target broke off its answer to a request. It returns the
	// number of targets that have exited while running the request.
	RecordBreak(ctx context.Context, b Break) int
	// StartTrial reports whether a quarantined request may be sent on trial. The trial ends
	// with EndTrial, and at the latest at until.
	StartTrial(ctx context.Context, k quarantine.Key, until time.Time) bool
	EndTrial(k quarantine.Key)
	// RecordExit records that the process of a target has exited.
	RecordExit(t balance.Target)
	// RecordSuccess records that a target has run a suspected request to its end.
	RecordSuccess(k quarantine.Key)
	// RecordSeen records that a quarantined request has been received again.
	RecordSeen(k quarantine.Key)
}

// Break describes an answer that a target broke off.
type Break struct {
	Key          quarantine.Key
	Organisation string
	Target       balance.Target
	// TargetExited is set if the target's process is known to have exited. OnTrial is set if
	// the request was sent although other targets had crashed while running it.
	TargetExited, OnTrial bool
}

// key identifies the request by its content, so that repeats with other ids are recognised.
func (x *inflight) key() quarantine.Key {
	if x.contentKey == nil {
		k := quarantine.KeyOf(x.Organisation, x.Method, x.URI, x.Body)
		x.contentKey = &k
	}
	return *x.contentKey
}

// refuseQuarantined refuses the request and returns true if the request is quarantined.
// Without this, one request that a caller kept repeating crashed 38 to 44 engines in 10 s,
// together with everything else they ran. It costs one pointer comparison while nothing is
// suspected.
func (x *inflight) refuseQuarantined(ctx context.Context) bool {
	v := x.suspects.View()
	if v == nil {
		return false
	}
	now, k := clock.Now(), x.key()
	left := v.RejectedFor(now, k)
	if left == 0 && x.maySendSuspect(ctx, v.Crashes(k)) {
		return false
	}
	if v.LastSeenStale(now, k) {
		x.suspects.RecordSeen(k)
	}
	x.result.ContentDigest = k.String()
	if left == 0 {
		left = trialRetryAfter
	}
	x.refuse(ReasonQuarantined, left)
	return true
}

// trialRetryAfter is the Retry-After of a quarantined request that may be sent on trial, but
// not now or not by this router.
const trialRetryAfter = 5 * time.Second

// maySendSuspect reports whether the request may be sent although targets have crashed while
// running it. From a certain number of crashes on it may be sent only on trial, by one router
// at a time.
func (x *inflight) maySendSuspect(ctx context.Context, crashes int) bool {
	if !quarantine.HeldBack(crashes) || x.onTrial {
		x.onTrial = !quarantine.MayRetry(crashes)
		return true
	}
	x.onTrial = x.suspects.StartTrial(ctx, x.key(), x.deadline)
	return x.onTrial
}

// reportBreak reports a broken-off answer or a silent target to the suspects. It returns true if
// so many targets have exited while running the request that the router must not retry it.
func (x *inflight) reportBreak(ctx context.Context, to balance.Target, f *failure) bool {
	exited := false
	switch f.reason {
	case ReasonRestarted:
		exited = true
	case ReasonBroken:
		exited = x.sender.ProcessExited(ctx, to.Address, to.Incarnation())
	case ReasonSilent:
		// The process may have exited; that is found out later.
	default:
		return false
	}
	crashes := x.suspects.RecordBreak(ctx, Break{Key: x.key(), Organisation: x.Organisation, Target: to, TargetExited: exited, OnTrial: x.onTrial})
	return !quarantine.MayRetry(crashes)
}

// clearSuspicion clears the suspicion against a request that a target has run to its end.
func (x *inflight) clearSuspicion() {
	if x.suspects.View().Crashes(x.key()) > 0 {
		x.suspects.RecordSuccess(x.key())
	}
}
