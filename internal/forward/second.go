package forward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/eventstream"
	"github.com/stepcroft/stepcroft/internal/heldanswer"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/memory"
)

var (
	// errOvertaken is the cancellation cause of a second exchange when the first target goes on.
	errOvertaken = errors.New("first target goes on")
	// errNoSecond means that no second target may be asked now.
	errNoSecond = errors.New("no other target may be asked")
	// errQuarantined means that targets may have exited while running the request.
	errQuarantined = errors.New("request suspected of ending targets")
)

// SecondResult is what became of a second send, made while the first target was silent.
type SecondResult string

// The results.
const (
	// SecondTookOver means that the second target went on with the answer, SecondOvertaken that the first one
	// did, and the second exchange was ended.
	SecondTookOver  SecondResult = "took-over"
	SecondOvertaken SecondResult = "overtaken"
	// SecondNotPlaced means that no other target had room, SecondNoTarget that none looked usable, SecondNoBudget that
	// the retry budget was spent, and SecondFailed that the second target did not answer either.
	SecondNotPlaced SecondResult = "not-placed"
	SecondNoTarget  SecondResult = "no-target"
	SecondNoBudget  SecondResult = "budget"
	SecondFailed    SecondResult = "failed"
)

// second is an exchange with another target, made while the current one is silent. It has a copy of the request's
// state, which its goroutine alone uses until done is closed.
type second struct {
	*inflight
	ctx    context.Context
	cancel context.CancelCauseFunc
	answer *httptarget.Answer
	// reader, events and eventsErr are the rest of a stream and what was read of it; the error is io.EOF or nil.
	reader    *eventstream.Reader
	events    eventstream.Batch
	eventsErr error
	// buffered is what was read of an answer that is not a stream.
	buffered heldanswer.Part
	// onSend is called before the request is sent. sent is set then, and guarded by the race's mutex.
	onSend func(to balance.Target)
	sent   bool
	done   chan struct{}
}

// newSecond returns a second exchange. The request's own goroutine waits for the first target.
func (x *inflight) newSecond(ctx context.Context) *second {
	s := &second{done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	s.inflight = &inflight{
		Forwarder: x.Forwarder, Request: x.Request, deadline: x.deadline, answerStarted: x.answerStarted, lastEventID: x.lastEventID,
		tail: slices.Clone(x.tail), names: slices.Clone(x.names), begun: x.begun, forwardedEvents: x.forwardedEvents, check: x.check.Fork(),
		held:   heldanswer.New(x.memory, x.Organisation),
		result: Result{HeadSent: x.result.HeadSent},
	}
	return s
}

// replaceWith makes a second exchange the current one, after the one with x.target has failed.
func (x *inflight) replaceWith(ctx context.Context, s *second, f *failure) {
	x.addSeconds()
	x.mayHaveRun = x.mayHaveRun || f.mayHaveRun
	x.result.ExchangeEnd, x.result.NotRetried = f.reason, ""
	if f.reason != ReasonSilent {
		// The break is recorded; the second target runs the request already.
		x.reportBreak(ctx, x.target, f)
	}
	x.keepAnswer(f.errorAnswer)
	x.logFailure("sent again", x.target, f)
	x.correctVersion()
	x.ticket, x.target, x.sentAt, x.inDoubt, x.fetchSource, x.processBy = s.ticket, s.target, s.sentAt, s.inDoubt, s.fetchSource, s.processBy
	x.tail, x.names, x.answerStarted = s.tail, s.names, false
	x.race.setInput(s.race.input())
	x.held.TakeFrom(&s.held)
	r := &x.result
	r.TargetID, r.TargetVersion = s.result.TargetID, s.result.TargetVersion
	r.PendingTokens, r.UncachedTokens, r.FetchableTokens = s.result.PendingTokens, s.result.UncachedTokens, s.result.FetchableTokens
	r.LapsedFor, r.Speed = s.result.LapsedFor, s.result.Speed
}

// goOn forwards the answer of a second exchange that has become the current one.
func (x *inflight) goOn(s *second) *failure {
	defer s.cancel(nil)
	return x.exchange(s.cancel, x.result.Sends, func() *failure {
		defer s.answer.Close()
		if s.reader != nil {
			return x.failureOf(s.ctx, x.forwardEvents(s.ctx, s.answer, s.reader, s.events, s.eventsErr))
		}
		return x.failureOf(s.ctx, x.forwardRead(s.answer, s.buffered))
	})
}

// ask asks for the answer, or for what follows of it, while the target of a ticket is silent. It returns nil
// once it has a part of it.
func (s *second) ask(t *balance.Ticket, silent balance.Target, silence time.Duration, tried []string) *failure {
	if why, ok := s.findTarget(t, silence, tried); !ok {
		return &failure{reason: why, result: balance.Abandoned, cause: errNoSecond}
	}
	to, ok := s.awaitTarget(s.ctx)
	if !ok {
		s.keepBudget()
		return &failure{reason: s.result.Reason, result: balance.Abandoned, cause: errors.New("no other target")}
	}
	if s.isGone() || s.reportBreak(s.ctx, silent, &failure{reason: ReasonSilent}) || s.check.IsQuarantined() {
		s.endSend(balance.Abandoned)
		s.keepBudget()
		return &failure{reason: ReasonQuarantined, result: balance.Abandoned, cause: errQuarantined}
	}
	f := s.begin(to)
	if f == nil {
		return nil
	}
	s.endSend(f.result)
	if s.result.Sends == 0 {
		s.keepBudget()
	}
	if s.ctx.Err() == nil {
		s.reportBreak(s.ctx, to, f)
	}
	return f
}

// isGone reports whether nobody waits for the answer any more.
func (s *second) isGone() bool {
	return s.ctx.Err() != nil || s.CallerGone != nil && s.CallerGone() || clock.Until(s.deadline) < minTimeForRetry
}

// findTarget asks the control goroutine for another target. It reports whether there may be one, or else why not, if
// the first target is silent still.
func (s *second) findTarget(t *balance.Ticket, silence time.Duration, tried []string) (Reason, bool) {
	var k *balance.Ticket
	var why balance.Reason
	if !s.loop.PostAndWait(s.ctx, func(b *balance.State, now time.Time) {
		k, why = b.AskSecond(now, t, silence, tried, s.result.HeadSent)
	}) {
		s.loop.Post(func(b *balance.State, now time.Time) {
			if k != nil {
				withdraw(b, now, k)
				b.CancelSecond(now, k)
			}
		})
		return "", false
	}
	s.ticket = k
	return Reason(why), k != nil
}

// keepBudget gives back what the second send has taken of the retry budget.
func (s *second) keepBudget() {
	t := s.ticket
	s.loop.Post(func(b *balance.State, now time.Time) { b.CancelSecond(now, t) })
}

// begin sends the request to a target and reads the answer until it has something for the caller.
func (s *second) begin(to balance.Target) *failure {
	s.target, s.sentAt = to, clock.Now()
	s.ticket.OnLost(func() { s.cancel(errRestarted) })
	s.onSend(to)
	if f := s.checkProcess(s.ctx, to); f != nil {
		return f
	}
	if s.unheard && s.isSilent(s.ctx, to) {
		return s.failureOf(s.ctx, &failure{reason: ReasonSilent, result: balance.Failed, cause: errSilent})
	}
	s.counters.CountRetry(ReasonSilent)
	answer, err := s.send(s.ctx, to)
	if err != nil {
		return s.sendFailed(s.ctx, to, err)
	}
	s.result.Sends++
	s.answer = answer
	if f := s.read(); f != nil {
		return s.failureOf(s.ctx, f)
	}
	return nil
}

// read reads the beginning of a stream, or another answer as far as it is buffered.
func (s *second) read() *failure {
	if f := s.readAnswerHead(s.target, s.answer); f != nil {
		return f
	}
	if f := s.confirmProcess(s.ctx, s.target, s.answer); f != nil {
		return f
	}
	if s.isStream(s.answer) {
		s.reader = eventstream.New(s.answer, s.tail, s.passedNames())
		s.events, s.eventsErr = s.reader.NextWithData(s.lastEventID)
		if s.eventsErr != nil && !errors.Is(s.eventsErr, io.EOF) {
			return brokenAnswer(s.eventsErr)
		}
		if s.eventsErr != nil && s.events.Count == 0 && s.lacksEvents(s.answer) {
			return brokenAnswer(errNoEvents)
		}
		return nil
	}
	if s.result.HeadSent {
		return notResumed(s.answer)
	}
	var f *failure
	if s.buffered, f = s.bufferAnswer(s.answer); f != nil {
		return f
	}
	if s.answer.Status >= http.StatusInternalServerError {
		return serverError(s.answer, s.buffered.Whole)
	}
	if s.buffered.Whole == nil && s.buffered.Begin.Len() == 0 {
		return s.readBegin()
	}
	return nil
}

// readBegin reads the beginning of an answer that is not buffered: its head alone is not what the caller lacks.
func (s *second) readBegin() *failure {
	piece := make([]byte, unbufferedPieceSize)
	n, err := s.answer.Read(piece)
	if err != nil && !errors.Is(err, io.EOF) {
		return brokenAnswer(err)
	}
	s.buffered.Begin = memory.Of(piece[:n])
	return nil
}

// logEnd logs what became of a second send: how long two targets ran the request, and how many prompt tokens the second
// one had to process.
func (s *second) logEnd(r SecondResult) {
	s.log.Info("second send", "id", s.ID, "target", s.target.ID, "result", string(r), "resumes", s.result.HeadSent,
		"overlap_ms", clock.Since(s.sentAt).Milliseconds(), "uncached_tokens", s.result.UncachedTokens)
}

// discard ends a second exchange that does not go on with the answer, and which failed unless f is nil.
func (s *second) discard(f *failure) {
	s.cancel(errOvertaken)
	if s.answer != nil {
		s.answer.Close()
	}
	if f == nil {
		s.endSend(balance.Abandoned)
	}
	s.held.Release()
	if s.ticket != nil {
		s.ticket.OnLost(nil)
	}
}
