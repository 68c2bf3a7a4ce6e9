package forward

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// StatusQuery says how an engine is asked when its process started: with a GET of Path, which answers a JSON
// object in which Field is the time in Unix milliseconds. The zero value asks nobody.
type StatusQuery struct{ Path, Field string }

const (
	// statusTimeout bounds the time to ask an engine, which answers without a slot within a round trip, and
	// processTimeout where it is not sent the request before it has answered: a busy one takes longer.
	statusTimeout  = 200 * time.Millisecond
	processTimeout = minSilence
	// startTime is how long after its start a router may lack what others know of processes that have ended.
	startTime = 10 * time.Second
	// maxStatusBytes bounds the part of its answer that is read.
	maxStatusBytes = 256 << 10
)

var (
	// errOtherProcess means that another process listens at a target's address than its entry describes.
	errOtherProcess = errors.New("another process listens at the target's address")
	// errNoStatus means that an engine does not say when its process started.
	errNoStatus = errors.New("target does not say when its process started")
)

// WithStatusQuery returns a forwarder that asks engines when their processes started, where that matters.
func (f *Forwarder) WithStatusQuery(q StatusQuery) *Forwarder {
	out := *f
	out.status = q
	return &out
}

// isOtherProcess reports whether another process than that of an engine's entry listens at its address: it says so, says
// that it started later, or refuses a connection, attempted at refusedAt. The error says that the engine does not answer: a
// gateway may answer in its place.
func (x *inflight) isOtherProcess(ctx context.Context, to balance.Target, timeout time.Duration) (refusedAt time.Time, other bool, err error) {
	if x.status.Path == "" || to.Born == 0 || !x.ToEngine {
		return time.Time{}, false, nil
	}
	began := clock.Now()
	text, connectedAt, err := x.queryStatus(ctx, to, timeout)
	switch {
	case errors.Is(err, httptarget.ErrConnectionRefused):
		return began, true, nil
	case errors.Is(err, httptarget.ErrOtherProcess):
		return time.Time{}, true, nil
	case err != nil:
		return time.Time{}, false, err
	}
	born, ok := x.status.started(text)
	if !ok {
		return time.Time{}, false, nil
	}
	if born <= to.Born {
		x.processBy, x.askedOn = ProcessByStatus, connectedAt
	}
	return time.Time{}, born > to.Born, nil
}

// isSilent reports whether an engine does not answer at all, if it can be asked.
func (x *inflight) isSilent(ctx context.Context, to balance.Target) bool {
	if x.status.Path == "" || !x.ToEngine {
		return false
	}
	_, _, err := x.queryStatus(ctx, to, statusTimeout)
	return err != nil && !errors.Is(err, errNoStatus)
}

// queryStatus asks an engine for its status, which takes no slot there. connectedAt is when the connection was made on
// which it answered. The error wraps errNoStatus if the answer is no status.
func (x *inflight) queryStatus(ctx context.Context, to balance.Target, timeout time.Duration) (text json.RawMessage, connectedAt time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	question := newQuestion(x.headers, to, x.status.question())
	question.Precedes = true
	a, err := putQuestion(ctx, x.sender, x.headers, to, question)
	if err != nil {
		return nil, time.Time{}, err
	}
	defer a.Close()
	if a.Status != http.StatusOK {
		if !isGatewayError(a.Status) && (a.Header.Get(x.headers.ServedBy) != "" || a.IsConnectionKnown()) {
			// The engine has no status, and is the one that is meant.
			return nil, a.ConnectedAt(), nil
		}
		return nil, time.Time{}, errors.Wrapf(errNoStatus, "status %d", a.Status)
	}
	text, err = readStatus(a)
	var noJSON *json.SyntaxError
	if errors.As(err, &noJSON) {
		err = errors.Wrap(errNoStatus, err.Error())
	}
	return text, a.ConnectedAt(), err
}

// checkProcess returns an error if another process than the entry describes listens at a target's address, of
// which the version is not known. It looks only before the rest of a stream is sent there, and before a
// stream that may be continued if all unused connections to the target have ended, or if there are none
// and this router has just started, so that it may know of no process's end. It asks again if connections have ended
// meanwhile. An engine that does not say is not sent the rest of a stream, nor a stream if connections to it have ended.
func (x *inflight) checkProcess(ctx context.Context, to balance.Target) *failure {
	if x.status.Path == "" || to.Born == 0 || x.ticket.StreamID == "" || x.inDoubt {
		return nil
	}
	lookedAt := clock.Now()
	open, ended := x.sender.CheckUnused(to.Address, to.Incarnation())
	justStarted := clock.Since(x.startedAt) < startTime
	if x.lastEventID == "" && (open || !ended && !justStarted) {
		x.unaskedAt = lookedAt
		return nil
	}
	refusedAt, other, err := x.isOtherProcess(ctx, to, processTimeout)
	if err != nil && !ended && !errors.Is(err, errNoStatus) {
		// It may have ended while it was asked, or may yet.
		x.unaskedAt = clock.Now()
		if _, ended = x.sender.CheckUnused(to.Address, to.Incarnation()); ended {
			refusedAt, other, err = x.isOtherProcess(ctx, to, processTimeout)
		}
	}
	if err != nil && (ended || x.lastEventID != "") {
		return &failure{reason: ReasonUnreachable, result: balance.Unreachable, cause: errors.Wrap(errNoStatus, err.Error())}
	}
	if !other {
		return nil
	}
	x.suspects.RecordExit(to, refusedAt)
	return &failure{reason: ReasonUnreachable, result: balance.Refused, cause: errOtherProcess}
}

// needsConfirmation reports whether the process after the one of the entry may have accepted the connection on which an
// answer arrives: it was made after the one on which the engine said when its process started, or, if the engine was not
// asked, after the look at the unused ones, and others had ended by then.
func (x *inflight) needsConfirmation(a *httptarget.Answer) bool {
	switch {
	case !x.askedOn.IsZero():
		return a.ConnectedAt().After(x.askedOn)
	case !x.unaskedAt.IsZero():
		return a.ConnectedAt().After(x.unaskedAt) && a.ConnectedAfterEnd()
	}
	return false
}

// confirmProcess asks an engine when its process started if that was not known as its answer's connection was made. It
// returns an error if another process has accepted it, or if the engine does not say.
func (x *inflight) confirmProcess(ctx context.Context, to balance.Target, a *httptarget.Answer) *failure {
	if !x.needsConfirmation(a) {
		return nil
	}
	refusedAt, other, err := x.isOtherProcess(ctx, to, processTimeout)
	if err != nil {
		return &failure{reason: ReasonUnreachable, result: balance.Unreachable, mayHaveRun: true, cause: errors.Wrap(errNoStatus, err.Error())}
	}
	if !other {
		return nil
	}
	x.suspects.RecordExit(to, refusedAt)
	return &failure{reason: ReasonUnreachable, result: balance.Refused, mayHaveRun: true, cause: errOtherProcess}
}
