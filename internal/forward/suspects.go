package forward

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/suspicion"
)

// newCheck returns the check of a request against the suspects.
func (f *Forwarder) newCheck(r Request) *suspicion.Check {
	return suspicion.New(f.suspects, suspicion.Request{
		ID: r.FirstID(), Method: r.Method, Host: r.Host, URI: r.URI, Path: r.Path(), Organisation: r.Organisation, Service: r.Service,
		Parts: r.Parts, Body: r.Body, Deadline: r.Expires(),
	})
}

// credits returns what may be suspected of the request, to be recorded as it ends well.
func (x *inflight) credits() []quarantine.Credit { return x.check.Credits() }

// clearSuspicion clears the suspicion against a request that a target has run to its end.
func (x *inflight) clearSuspicion() { x.check.Clear(x.sentAt) }

// refuseQuarantined refuses the request and returns true if it or a part of its prompt is quarantined.
func (x *inflight) refuseQuarantined(ctx context.Context) bool {
	r, refused := x.check.Refuse(ctx)
	if refused {
		x.result.ContentDigest, x.result.HeldPart = r.Digest, r.Part
		x.refuse(ReasonQuarantined, r.RetryAfter)
	}
	return refused
}

// endTrials ends the trials of the request's attributes.
func (x *inflight) endTrials() { x.check.EndTrials(x.mayHaveRun && x.result.Reason != "") }

// beginTime is how long after its first event an answer counts as just begun.
const beginTime = 500 * time.Millisecond

// hasJustBegun reports whether the answer of the current target has not begun, or a moment ago.
func (x *inflight) hasJustBegun() bool {
	if !x.answerStarted {
		return true
	}
	return clock.Since(x.ticket.Arrived)-time.Duration(x.ticket.FirstEvent.Load()) < beginTime
}

// reportBreak reports a broken-off answer or a silent target to the suspects. It returns true if
// so many targets have exited while running the request that the router must not retry it. A part of
// a prompt crashes a target as it begins the answer, so that parts are suspected only then.
func (x *inflight) reportBreak(ctx context.Context, to balance.Target, f *failure) bool {
	exited, refusedAt := false, time.Time{}
	switch f.reason {
	case ReasonRestarted:
		exited = true
	case ReasonBroken:
		if refusedAt, exited = x.sender.ProcessExited(ctx, to.Address, to.Incarnation()); !exited {
			refusedAt, exited, _ = x.isOtherProcess(ctx, to, statusTimeout)
		}
	case ReasonSilent:
		// The process may have exited; that is found out later.
	default:
		return false
	}
	return x.check.RecordBreak(ctx, to, exited, refusedAt, x.hasJustBegun())
}
