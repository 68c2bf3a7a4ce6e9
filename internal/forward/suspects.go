package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/httptarget"
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
		refusedAt, exited = x.hasExited(ctx, to)
	case ReasonSilent:
		// The process may have exited; that is found out later.
	default:
		return false
	}
	return x.check.RecordBreak(ctx, to, exited, refusedAt, x.hasJustBegun())
}

// hasExited reports whether the process of a target that broke off an answer has exited, or closed its listener, and since
// when it refuses connections, if it does: whoever accepts one may be a relay or the next process, so that engines are
// asked. No answer shows nothing, as full engines reset connections. Concurrent calls for the same process share a question.
func (x *inflight) hasExited(ctx context.Context, to balance.Target) (refusedAt time.Time, exited bool) {
	began := clock.Now()
	if refusedAt, exited = x.sender.ProcessExited(ctx, to.Address, to.Incarnation()); exited || x.status.Path == "" || !x.ToEngine {
		return refusedAt, exited
	}
	v, _, _ := x.exitQuestions.Do(to.Address+" "+to.Incarnation(), func() (any, error) {
		// The request waits for both the connection and the answer.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), statusTimeout-clock.Since(began))
		defer cancel()
		asked := clock.Now()
		_, err := ask(ctx, x.sender, x.headers, x.status, to, x.status.question())
		switch {
		case errors.Is(err, httptarget.ErrConnectionRefused):
			return exit{refusedAt: asked, exited: true}, nil
		case errors.Is(err, httptarget.ErrOtherProcess):
			return exit{exited: true}, nil
		}
		return exit{}, nil
	})
	e := v.(exit)
	return e.refusedAt, e.exited
}

// exit says whether a process has exited, and since when it refuses connections if it does.
type exit struct {
	refusedAt time.Time
	exited    bool
}
