package forward

import (
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/quarantine"
)

// Suspects tracks the requests suspected of crashing targets: those that a target was
// running when its process exited.
type Suspects interface {
	// View returns the requests suspected now, or nil if there are none.
	View() *quarantine.View
	// RecordBreak records that a target broke off its answer to a request. It returns the
	// number of targets that have exited while running the same content.
	RecordBreak(ctx context.Context, b Break) int
	// StartTrial reports whether a request with quarantined attributes may be sent on trial. The
	// trial ends with an EndTrial for each, which says whether the answer broke off, and at the latest
	// at until.
	StartTrial(ctx context.Context, until time.Time, keys []quarantine.Key) bool
	EndTrial(k quarantine.Key, broke bool)
	// RecordExit records that the process of a target has exited, or closed its listener if it refused a connection
	// that was attempted at refusedAt, the zero time if it did not.
	RecordExit(t balance.Target, refusedAt time.Time)
	// RecordEnd records that a request with these attributes has ended well.
	RecordEnd(attributes []quarantine.Credit)
	// RecordSuccess records that a target has run a request to its end that was sent at a time and has
	// a suspected attribute.
	RecordSuccess(k quarantine.Key, sent time.Time)
	// RecordSeen records that a request with a quarantined attribute has been received again.
	RecordSeen(k quarantine.Key)
	// EarlierServices returns the other services that requests such as r went to before their route moved.
	EarlierServices(r Request) []string
	// Inherit records that what is known of an attribute counts for another one of which nothing is known.
	Inherit(ctx context.Context, from quarantine.Key, to quarantine.Attribute)
}

// Break describes an answer that a target broke off.
type Break struct {
	// Attributes are what may be suspected, the request's content first.
	Attributes   []quarantine.Attribute
	Organisation string
	Target       balance.Target
	// TargetExited is set if the target's process is known to have exited, and RefusedAt if that is known by a refused
	// connection. Trials are the attributes that were rejected or held back and with which the request was sent
	// nevertheless.
	TargetExited bool
	RefusedAt    time.Time
	Trials       []quarantine.Key
}

// attributes returns what may be suspected if a target crashes: the request's content, by which repeats
// with other ids are recognised, and the parts of its prompt that other requests share.
func (x *inflight) attributes() []quarantine.Attribute {
	if x.suspectable == nil {
		x.suspectable = append(x.suspectable, quarantine.ContentOf(contentHost(x.Host), x.Method, x.URI, x.Body.Chunks()...))
		for _, p := range sharedParts(x.Parts) {
			x.suspectable = append(x.suspectable, quarantine.PartOf(x.Service, p.ID))
		}
	}
	return x.suspectable
}

// contentHost returns what all forms of a host that lead to the same route have in common.
func contentHost(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}

// credits returns the request's attributes for RecordEnd.
func (x *inflight) credits() []quarantine.Credit {
	shared := sharedParts(x.Parts)
	list := make([]quarantine.Credit, 0, 1+len(shared))
	list = append(list, quarantine.ContentCredit(contentHost(x.Host), x.Method, x.URI, x.Body.Chunks()...))
	for _, p := range shared {
		list = append(list, quarantine.PartOf(x.Service, p.ID).Credit)
	}
	return list
}

// maxSharedParts bounds the parts of a prompt that are looked at; prompts have a few.
const maxSharedParts = 16

// sharedParts returns the parts of a prompt that other prompts may share: all but the last.
func sharedParts(parts []prefix.Part) []prefix.Part {
	return parts[:min(max(len(parts)-1, 0), maxSharedParts)]
}

// refuseQuarantined refuses the request and returns true if it or a part of its prompt is quarantined.
// Without this, one request that a caller kept repeating crashed 38 to 44 engines in 10 s,
// together with everything else they ran. It costs one pointer comparison while nothing is
// suspected.
func (x *inflight) refuseQuarantined(ctx context.Context) bool {
	v := x.suspects.View()
	if v == nil {
		return false
	}
	now := clock.Now()
	if x.inheritParts(ctx, now, v) {
		v = x.suspects.View()
	}
	var held []quarantine.Attribute
	for _, a := range x.attributes() {
		switch {
		case v.RejectedFor(now, a.Key) > 0:
			x.refuseSuspect(now, v, a, v.RejectedFor(now, a.Key))
			return true
		case slices.Contains(x.trials, a.Key):
		case v.HoldsBack(now, a.Key):
			held = append(held, a)
		case a.Part == "" && v.WasRejected(now, a.Key):
			x.trials = append(x.trials, a.Key)
		}
	}
	if len(held) == 0 || x.startTrial(ctx, now, v, held) {
		return false
	}
	x.refuseSuspect(now, v, held[0], trialRetryAfter)
	return true
}

// inheritParts makes what is known of parts of the prompt at services that the request's route led to before count at
// its service, of which nothing may be known, and reports whether there were such parts. Else each service that the route
// moves to would lose targets until the part is known there.
func (x *inflight) inheritParts(ctx context.Context, now time.Time, v *quarantine.View) (inherited bool) {
	shared := sharedParts(x.Parts)
	if len(shared) == 0 {
		return false
	}
	for _, service := range x.suspects.EarlierServices(x.Request) {
		for _, p := range shared {
			from, to := quarantine.PartOf(service, p.ID), quarantine.PartOf(x.Service, p.ID)
			if v.HoldsBack(now, from.Key) && !v.Knows(to.Key) {
				x.suspects.Inherit(ctx, from.Key, to)
				inherited = true
			}
		}
	}
	return inherited
}

// refuseSuspect refuses the request because of a quarantined attribute.
func (x *inflight) refuseSuspect(now time.Time, v *quarantine.View, a quarantine.Attribute, left time.Duration) {
	if v.LastSeenStale(now, a.Key) {
		x.suspects.RecordSeen(a.Key)
	}
	x.result.ContentDigest, x.result.HeldPart = a.Key.String(), a.Part
	x.refuse(ReasonQuarantined, left)
}

const (
	// trialRetryAfter is the Retry-After of a quarantined request that may be sent on trial, but
	// not now or not by this router.
	trialRetryAfter = 5 * time.Second
	// commonTrialDelay is how much later a request with several quarantined attributes goes on
	// trial: until then, requests with one of them may show which of them is the cause.
	commonTrialDelay = 5 * time.Second
)

// startTrial reports whether the request may be sent although some of its attributes are held back:
// one request with them at a time, by one router.
func (x *inflight) startTrial(ctx context.Context, now time.Time, v *quarantine.View, held []quarantine.Attribute) bool {
	keys := make([]quarantine.Key, 0, len(held))
	for _, a := range held {
		if len(held) > 1 && v.DueFor(now, a.Key) < commonTrialDelay {
			return false
		}
		keys = append(keys, a.Key)
	}
	if !x.suspects.StartTrial(ctx, x.deadline, keys) {
		return false
	}
	x.trials = append(x.trials, keys...)
	return true
}

// endTrials ends the trials of the request's attributes.
func (x *inflight) endTrials() {
	for _, k := range x.trials {
		x.suspects.EndTrial(k, x.mayHaveRun && x.result.Reason != "")
	}
}

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
	b := Break{Attributes: x.attributes(), Organisation: x.Organisation, Target: to, TargetExited: exited, RefusedAt: refusedAt, Trials: x.trials}
	if !x.hasJustBegun() {
		b.Attributes = b.Attributes[:1]
	}
	return !quarantine.MayRetry(x.suspects.RecordBreak(ctx, b))
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
		_, err := ask(ctx, x.sender, x.headers, x.status, to, x.status.Path)
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

// clearSuspicion clears the suspicion against the attributes of a request that a target has run to its
// end.
func (x *inflight) clearSuspicion() {
	v := x.suspects.View()
	for _, a := range x.attributes() {
		if v.Crashes(a.Key) > 0 {
			x.suspects.RecordSuccess(a.Key, x.sentAt)
		}
	}
}
