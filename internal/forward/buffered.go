package forward

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/heldanswer"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/memory"
)

const (
	// maxBufferedAnswer and maxUnknownLength are the sizes up to which answers are buffered.
	maxBufferedAnswer = heldanswer.MaxSize
	maxUnknownLength  = heldanswer.MaxUnknownLength
	// unbufferedPieceSize is the size, in bytes, of the pieces in which an answer is forwarded that is not buffered.
	unbufferedPieceSize = 16 << 10
)

// forwardBuffered forwards an answer that is not a stream. It buffers the answer first, so
// that the request can be retried if the answer breaks off, unless it is too long for that or there is
// no memory for it.
func (x *inflight) forwardBuffered(a *httptarget.Answer) *failure {
	part, f := x.bufferAnswer(a)
	if f != nil {
		return f
	}
	return x.forwardRead(a, part)
}

// bufferAnswer reads an answer that is not a stream as far as it is buffered.
func (x *inflight) bufferAnswer(a *httptarget.Answer) (heldanswer.Part, *failure) {
	part, err := x.held.Read(a, a.Length(), a.Status, func() http.Header { return x.answerHeader(a.Header) })
	if err != nil {
		return heldanswer.Part{}, brokenAnswer(err)
	}
	return part, nil
}

// forwardRead forwards an answer of which a part was read.
func (x *inflight) forwardRead(a *httptarget.Answer, part heldanswer.Part) *failure {
	failed := a.Status >= http.StatusInternalServerError
	if part.Whole != nil && (failed || x.result.HeadSent) {
		x.stopWatch()
		// This comes before recordPiece, since the control goroutine reads it when it learns that the answer started.
		x.ticket.ServerError.Store(failed)
		x.recordPiece()
		if failed {
			return serverError(a, part.Whole)
		}
		return notResumed(a)
	}
	if x.result.HeadSent {
		return notResumed(a)
	}
	if !x.proceed() {
		return overtaken()
	}
	x.ticket.ServerError.Store(failed)
	x.recordPiece()
	if part.Whole == nil {
		return x.forwardUnbuffered(a, part.Begin)
	}
	x.noteEnd(a)
	x.writeAnswer(part.Whole)
	return nil
}

// serverError returns the failure of a target that answers with an error status.
func serverError(a *httptarget.Answer, whole *heldanswer.Answer) *failure {
	return &failure{reason: ReasonFailed, result: balance.Answered, mayHaveRun: true, errorAnswer: whole, cause: errors.Errorf("status %d", a.Status)}
}

// keepAnswer keeps a target's error answer for the case that no other target answers.
func (x *inflight) keepAnswer(a *heldanswer.Answer) {
	if a == nil || x.result.HeadSent {
		return
	}
	kept := x.held.Keep(a)
	x.kept.Replace(&kept)
}

// writeKept sends the error answer that was kept to the caller, unless the caller has gone or has a part of another one.
func (x *inflight) writeKept() {
	if x.kept.Answer() == nil || x.result.HeadSent || x.result.Reason == ReasonCallerGone {
		return
	}
	x.result.Reason, x.result.RetryAfter, x.result.NotRetried = "", 0, ""
	x.writeAnswer(x.kept.Answer())
}

// notResumed returns the failure of a target that answers a request to resume a stream with something
// else. Nothing of that may reach the caller, who may be written to by its delivery at the same time.
func notResumed(a *httptarget.Answer) *failure {
	return &failure{reason: ReasonFailed, result: balance.Answered, mayHaveRun: true, cause: errors.Errorf("status %d instead of the resumed stream", a.Status)}
}

// writeAnswer sends a buffered answer to the caller.
func (x *inflight) writeAnswer(a *heldanswer.Answer) {
	x.result.HeadSent = true
	x.result.Status = a.Status
	x.caller.Head(a.Status, a.Header, int64(a.Body.Len()))
	if err := x.writeBuffer(a.Body); err != nil {
		x.result.Truncated = true
		x.result.Reason = ReasonCallerGone
	}
}

func (x *inflight) writeBuffer(b memory.Buffer) error {
	for _, chunk := range b.Chunks() {
		if err := x.caller.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// forwardUnbuffered forwards an answer that is not a stream while it is being received. begin is what has
// been read of it already.
func (x *inflight) forwardUnbuffered(a *httptarget.Answer, begin memory.Buffer) *failure {
	x.result.HeadSent = true
	x.result.Status = a.Status
	x.notStream = true
	x.caller.Head(a.Status, x.answerHeader(a.Header), a.Length())
	if err := x.writeBuffer(begin); err != nil {
		return &failure{reason: ReasonCallerGone, result: balance.Abandoned, mayHaveRun: true, cause: err}
	}
	x.held.Release()
	buffer := make([]byte, unbufferedPieceSize)
	for sent := begin.Len(); ; {
		n, err := a.Read(buffer)
		if sent += n; a.Length() < 0 && sent > maxUnknownLength {
			return brokenAnswer(heldanswer.ErrEndless)
		}
		if n > 0 {
			if writeErr := x.caller.Write(buffer[:n]); writeErr != nil {
				return &failure{reason: ReasonCallerGone, result: balance.Abandoned, mayHaveRun: true, cause: writeErr}
			}
		}
		if errors.Is(err, io.EOF) {
			x.noteEnd(a)
			return nil
		}
		if err != nil {
			return brokenAnswer(err)
		}
	}
}
