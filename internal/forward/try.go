package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/eventstream"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/routing"
)

const (
	// firstEventGoalPercent is the time, in percent of the route's goal, after which a target
	// that has sent nothing counts as silent, and another one may be asked.
	firstEventGoalPercent = 150
	// maxSilentPauses is the time, in multiples of the route's maximum pause between events,
	// after which a stream counts as silent.
	maxSilentPauses = 4
	// minSilence is the shortest time after which a target counts as silent.
	minSilence = 600 * time.Millisecond
)

var (
	// errSilent is the cancellation cause when a target has sent nothing for too long.
	errSilent = errors.New("target silent")
	// errNoEvents means that the connection of a stream was closed before its first event.
	errNoEvents = errors.New("connection was closed before the first event")
	// errRestarted is the cancellation cause when the target's process was restarted.
	errRestarted = errors.New("target restarted")
)

// sendTo sends the request to one target and forwards the answer. It returns nil if the answer
// was forwarded completely. While the target is silent, a second one may be asked and go on with the answer;
// x.target is the last one.
func (x *inflight) sendTo(ctx context.Context, to balance.Target) *failure {
	f := x.sendFirst(ctx, to)
	for f != nil {
		x.race.setInput(nil)
		s := x.awaitSecond()
		if s == nil {
			x.addSeconds()
			return f
		}
		x.replaceWith(ctx, s, f)
		f = x.goOn(s)
	}
	return nil
}

// sendFirst sends the request to a target and forwards the answer, unless a second one is ahead of it.
func (x *inflight) sendFirst(ctx context.Context, to balance.Target) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.target, x.sentAt, x.answerStarted, x.processBy, x.askedOn, x.unaskedAt = to, clock.Now(), false, "", time.Time{}, time.Time{}
	x.race.setInput(nil)
	x.ticket.ServerError.Store(false)
	x.ticket.OnLost(func() { cancel(errRestarted) })
	return x.exchange(cancel, x.result.Sends+1, func() *failure {
		if f := x.checkProcess(ctx, to); f != nil {
			return f
		}
		answer, err := x.send(ctx, to)
		if err != nil {
			return x.sendFailed(ctx, to, err)
		}
		defer answer.Close()
		x.result.Sends++
		return x.failureOf(ctx, x.forwardAnswer(ctx, to, answer))
	})
}

// exchange runs an exchange with the current target, which abort ends, and reports how it ended. sends is the
// number of sends including it.
func (x *inflight) exchange(abort context.CancelCauseFunc, sends int, run func() *failure) *failure {
	defer x.ticket.OnLost(nil)
	// If the handler panics, the load at the target must not stay counted.
	result := balance.Abandoned
	defer func() { x.endSend(result) }()
	x.beginWatch(abort, sends)
	if f := run(); f != nil {
		result = f.result
		return f
	}
	result = balance.Answered
	x.suspects.RecordEnd(x.credits())
	if x.suspects.View() != nil {
		x.clearSuspicion()
	}
	return nil
}

// send sends the request to a target and reads the head of the answer.
func (x *inflight) send(ctx context.Context, to balance.Target) (*httptarget.Answer, error) {
	a, err := x.sender.Send(ctx, to.Address, httptarget.Request{
		Method: x.Method, Head: x.requestHead(to, x.deadline), Body: x.Body, Instance: to.Incarnation(),
		ID: x.ID, IDHeader: x.headers.RequestID, OnSent: x.noteSent,
		Witness: x.witness(to), NotRunHeader: x.headers.NotRun,
	})
	if err == nil {
		x.ticket.ConnectedAt.Store(a.ConnectedAt().Sub(x.ticket.Arrived).Nanoseconds())
	}
	return a, err
}

// failureOf returns the failure of an exchange that ended with f: another one if the exchange was cancelled.
func (x *inflight) failureOf(ctx context.Context, f *failure) *failure {
	if f == nil || context.Cause(ctx) == nil {
		return f
	}
	return x.cancelledFailure(ctx, f.cause)
}

// brokenAnswer returns the failure of an answer that broke off.
func brokenAnswer(cause error) *failure {
	return &failure{reason: ReasonBroken, result: balance.Failed, mayHaveRun: true, cause: cause}
}

// sendFailed returns the failure of a send that got no answer: not even its head was received.
func (x *inflight) sendFailed(ctx context.Context, to balance.Target, err error) *failure {
	if errors.Is(err, httptarget.ErrNotSent) {
		f := &failure{reason: ReasonUnreachable, result: balance.Unreachable, cause: err}
		if errors.Is(err, httptarget.ErrConnectionRefused) {
			x.suspects.RecordExit(to, x.sentAt)
		}
		if ctx.Err() != nil {
			f.result = balance.Abandoned
		}
		return f
	}
	x.result.Sends++
	f := brokenAnswer(err)
	if ctx.Err() != nil {
		f = x.cancelledFailure(ctx, err)
	}
	return f
}

// cancelledFailure returns the failure of an exchange that was cancelled by this router, or
// because the caller disconnected.
func (x *inflight) cancelledFailure(ctx context.Context, err error) *failure {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		x.counters.CountAborted(ReasonSilent, x.result.HeadSent)
		return &failure{reason: ReasonSilent, result: balance.Failed, mayHaveRun: true, cause: err}
	case errors.Is(cause, errRestarted):
		x.counters.CountAborted(ReasonRestarted, x.result.HeadSent)
		return &failure{reason: ReasonRestarted, result: balance.Failed, mayHaveRun: true, cause: err}
	}
	return &failure{reason: ReasonCallerGone, result: balance.Abandoned, mayHaveRun: true, cause: err}
}

// endSend tells the control goroutine how the current send ended.
func (x *inflight) endSend(result balance.Result) {
	t := x.ticket
	x.loop.Post(func(s *balance.State, now time.Time) { s.Ended(now, t, result) })
}

// recordPiece records that a piece of the answer has arrived. It notifies the control goroutine
// of the first piece of each send only: a message for each event of a stream would wake it
// thousands of times a second.
func (x *inflight) recordPiece() {
	if x.result.TimeToFirstByte == 0 {
		x.result.TimeToFirstByte = clock.Since(x.Arrived)
	}
	received := clock.Since(x.ticket.Arrived)
	if x.answerStarted {
		x.result.LongestPause = max(x.result.LongestPause, received-time.Duration(x.ticket.LastReceived.Load()))
	} else {
		x.ticket.FirstEvent.Store(received.Nanoseconds())
	}
	x.ticket.LastReceived.Store(received.Nanoseconds())
	if x.answerStarted {
		return
	}
	x.answerStarted = true
	t := x.ticket
	x.loop.Post(func(s *balance.State, now time.Time) { s.Started(now, t) })
}

// forwardAnswer forwards an answer, or returns why it could not.
func (x *inflight) forwardAnswer(ctx context.Context, to balance.Target, a *httptarget.Answer) *failure {
	if f := x.readAnswerHead(to, a); f != nil {
		return f
	}
	if f := x.confirmProcess(ctx, to, a); f != nil {
		return f
	}
	if x.isStream(a) {
		return x.forwardStream(ctx, a)
	}
	return x.forwardBuffered(a)
}

// readAnswerHead handles what the head of an answer says. It returns a failure if the target did not run the
// request, or if the head cannot be that of its answer.
func (x *inflight) readAnswerHead(to balance.Target, a *httptarget.Answer) *failure {
	rejected := x.isRejection(a)
	if !rejected {
		if err := x.checkHead(a); err != nil {
			return &failure{reason: ReasonInvalid, result: balance.Failed, mayHaveRun: true, cause: err}
		}
	}
	x.readAdvice(to, a)
	if !rejected {
		return nil
	}
	cause := errors.Errorf("status %d", a.Status)
	if a.Framing() == httptarget.Unframed {
		// Its connection can't be used again, whatever follows.
		return &failure{reason: ReasonRefused, result: balance.Refused, cause: cause}
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(a, maxBufferedAnswer)); err != nil {
		cause = errors.Wrap(err, cause.Error())
	}
	return &failure{reason: ReasonRefused, result: balance.Refused, cause: cause}
}

// isStream reports whether an answer is a stream of events.
func (x *inflight) isStream(a *httptarget.Answer) bool {
	return x.Route.Kind == routing.Streaming && a.Status == http.StatusOK
}

// isRejection reports whether the target says in an answer that it did not run the request. Targets may
// leave the request's id out of such an answer.
func (x *inflight) isRejection(a *httptarget.Answer) bool {
	if a.Status == http.StatusMisdirectedRequest {
		return true
	}
	return a.Header.Get(x.headers.NotRun) != "" && a.Status >= http.StatusBadRequest
}

// checkHead returns an error if an answer that is no rejection cannot be the target's answer to the request.
func (x *inflight) checkHead(a *httptarget.Answer) error {
	switch {
	case !a.Identified:
		return errors.Errorf("status %d without the request's id", a.Status)
	case a.Header.Get(x.headers.NotRun) != "":
		return errors.Errorf("status %d says that the request was not run", a.Status)
	case x.headers.Seal != "" && a.Status/100 == 2 && a.Header.Get(x.headers.Seal) == "":
		return errors.Errorf("status %d without %s", a.Status, x.headers.Seal)
	}
	return nil
}

// forwardStream forwards a stream of events as they arrive.
func (x *inflight) forwardStream(ctx context.Context, a *httptarget.Answer) *failure {
	reader := eventstream.New(a, x.tail, x.passedNames())
	batch, err := reader.Next(x.lastEventID)
	return x.forwardEvents(ctx, a, reader, batch, err)
}

// forwardEvents forwards a batch of events that was read, with an error, and those that follow.
func (x *inflight) forwardEvents(ctx context.Context, a *httptarget.Answer, reader *eventstream.Reader, batch eventstream.Batch, err error) *failure {
	for {
		if len(batch.Text) > 0 {
			if f := x.forwardBatch(ctx, a, batch); f != nil {
				return f
			}
		}
		if errors.Is(err, io.EOF) {
			if x.lacksEvents(a) {
				return brokenAnswer(errNoEvents)
			}
			if !x.proceed() {
				return overtaken()
			}
			x.startStream(a)
			x.noteEnd(a)
			return nil
		}
		if err != nil {
			return brokenAnswer(err)
		}
		x.coalesce(ctx)
		batch, err = reader.Next(x.lastEventID)
	}
}

// lacksEvents reports whether a stream that ended has no event and nothing but the end of its connection to mark its end,
// though the caller has none either. A rest may be empty, as the caller may have the last event.
func (x *inflight) lacksEvents(a *httptarget.Answer) bool {
	return x.forwardedEvents == 0 && x.lastEventID == "" && a.Framing() == httptarget.Unframed
}

// noteEnd notes how the end of a whole answer was marked.
func (x *inflight) noteEnd(a *httptarget.Answer) {
	x.result.Framing, x.result.CompleteBy = a.Framing(), a.CompleteBy()
}

// maxCoalescePercent is the longest time, in percent of the route's maximum pause, for which a
// router that is short of processor time collects events before it forwards them together.
// The rest of the pause is left to the engine and to the router's own queue. For a stream of
// 40 events 50 ms apart this takes 1.8 ms of processor time instead of 2.2 ms, including the
// engine's and the caller's part (BenchmarkStreams).
const maxCoalescePercent = 25

// coalesce waits for further events of a stream, to forward them together, if the router is
// short of processor time.
func (x *inflight) coalesce(ctx context.Context) {
	d := time.Duration(x.loop.CoalesceLevel() * float64(x.Route.MaxPause*maxCoalescePercent/100))
	if d > 0 {
		group.SleepUntil(ctx, clock.Now().Add(d))
	}
}

// forwardBatch forwards a batch of whole events.
func (x *inflight) forwardBatch(ctx context.Context, a *httptarget.Answer, batch eventstream.Batch) *failure {
	// The engine is not silent while its answer is not read, because the caller is slow or there is no room.
	if !x.proceed() {
		return overtaken()
	}
	if x.forwardedEvents == 0 || !x.result.HeadSent {
		x.startStream(a)
	}
	if !x.answerStarted {
		x.beginRun(batch.FirstID)
	}
	x.recordPiece()
	x.placeUnknown = batch.LastID == "" && (x.placeUnknown || len(batch.Tail) > 0)
	began := clock.Now()
	err := x.writeBatch(ctx, batch.Text)
	x.ticket.Writing.Add(clock.Since(began).Nanoseconds())
	if err != nil {
		return &failure{reason: ReasonCallerGone, result: balance.Abandoned, mayHaveRun: true, cause: err}
	}
	x.ticket.Pieces.Add(1)
	x.ticket.Events.Add(int64(batch.Count))
	x.forwardedEvents += batch.Count
	x.lastEventID = batch.LastID
	x.result.Events, x.result.LastEventID = x.forwardedEvents, x.lastEventID
	x.noteTail(batch)
	x.names = append(x.names, batch.Names...)
	x.result.SkippedIDs += batch.Skipped
	x.awaitPiece(max(maxSilentPauses*x.Route.MaxPause, minSilence))
	return nil
}

// passedNames returns the digests of the ids that the caller has and that are no numbers: such ids tell only
// by their repetition that a target does not resume the stream where it should.
func (x *inflight) passedNames() map[uint64]bool {
	if len(x.names) == 0 {
		return nil
	}
	passed := make(map[uint64]bool, len(x.names))
	for _, name := range x.names {
		passed[name] = true
	}
	return passed
}

// noteTail notes the events of a batch which the next target would send again.
func (x *inflight) noteTail(batch eventstream.Batch) {
	if batch.Identified {
		x.tail = nil
	}
	if !x.placeUnknown && x.Route.Resumable {
		x.tail = append(x.tail, batch.Tail...)
	}
}

// writeBatch writes a batch of events to the caller, or puts it into the caller's buffer.
func (x *inflight) writeBatch(ctx context.Context, batch []byte) error {
	if !x.startDelivery() {
		return x.caller.Write(batch)
	}
	return x.delivery.Append(ctx, batch)
}

// startStream sends the head of a stream to the caller, unless an earlier target's was sent.
func (x *inflight) startStream(a *httptarget.Answer) {
	if x.result.HeadSent {
		return
	}
	x.result.HeadSent = true
	x.result.Status = a.Status
	x.caller.Head(a.Status, x.answerHeader(a.Header), -1)
}

// answerHeader returns the headers of an answer that are forwarded to the caller.
func (x *inflight) answerHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopByHop[name] && !listedIn(h["Connection"], name) {
			out[name] = values
		}
	}
	return out
}

// hopByHop lists the headers that apply to one connection only (RFC 9110, section 7.6.1),
// and Content-Length, which the router sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true,
}

// HopByHop reports whether a header, whose name is in canonical form, applies to one
// connection only. connection holds the values of the message's Connection header.
func HopByHop(name string, connection []string) bool {
	return hopByHop[name] || listedIn(connection, name)
}

// listedIn reports whether a Connection header lists the header name.
func listedIn(connection []string, name string) bool {
	for _, v := range connection {
		for token := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}
