package forward

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/memory"
)

const (
	// maxBufferedAnswer is the size, in bytes, up to which an answer is buffered until it is
	// complete. maxUnknownLength is the same for one that does not tell its length: a faulty target may
	// send bytes without end, which must not reach the caller. It is as much as a request may have if
	// nothing else is configured.
	maxBufferedAnswer = 256 << 10
	maxUnknownLength  = 4 << 20
	// unbufferedPieceSize is the size, in bytes, of the pieces in which an answer is forwarded that is not buffered.
	unbufferedPieceSize = 16 << 10
)

// errEndless is the cause of a failure when an answer without a length is too long.
var errEndless = errors.New("answer without Content-Length is too long")

// bufferedAnswer is an answer that has been received completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   memory.Buffer
}

// bufferedPart is what was read of an answer that is not a stream: all of it, or the beginning of one that is too
// long to be buffered, or for which there is no memory.
type bufferedPart struct {
	whole *bufferedAnswer
	begin memory.Buffer
}

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
func (x *inflight) bufferAnswer(a *httptarget.Answer) (bufferedPart, *failure) {
	limit := int64(maxBufferedAnswer)
	switch {
	case a.Length() > limit:
		return bufferedPart{}, nil
	case a.Length() < 0:
		limit = maxUnknownLength
	}
	x.releaseAnswer()
	x.answerMemory = x.memory.Open(x.Organisation, limit, nil)
	body, err := x.answerMemory.Read(a, memory.UnknownSize, limit)
	switch {
	case errors.Is(err, memory.ErrEvicted):
		return bufferedPart{begin: body}, nil
	case err != nil:
		return bufferedPart{}, brokenAnswer(err)
	case int64(body.Len()) > limit:
		return bufferedPart{}, brokenAnswer(errEndless)
	}
	return bufferedPart{whole: &bufferedAnswer{status: a.Status, header: x.answerHeader(a.Header), body: body}}, nil
}

// forwardRead forwards an answer of which a part was read.
func (x *inflight) forwardRead(a *httptarget.Answer, part bufferedPart) *failure {
	failed := a.Status >= http.StatusInternalServerError
	if part.whole != nil && (failed || x.result.HeadSent) {
		x.stopWatch()
		// This comes before recordPiece, since the control goroutine reads it when it learns that the answer started.
		x.ticket.ServerError.Store(failed)
		x.recordPiece()
		if failed {
			return serverError(a, part.whole)
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
	if part.whole == nil {
		return x.forwardUnbuffered(a, part.begin)
	}
	x.noteEnd(a)
	x.writeAnswer(part.whole)
	return nil
}

// serverError returns the failure of a target that answers with an error status.
func serverError(a *httptarget.Answer, whole *bufferedAnswer) *failure {
	return &failure{reason: ReasonFailed, result: balance.Answered, mayHaveRun: true, errorAnswer: whole, cause: errors.Errorf("status %d", a.Status)}
}

// releaseAnswer gives back the memory of a buffered answer.
func (x *inflight) releaseAnswer() {
	if x.answerMemory != nil {
		x.answerMemory.Close()
		x.answerMemory = nil
	}
}

// releaseKept gives back the memory of the answer that was kept.
func (x *inflight) releaseKept() {
	if x.keptMemory != nil {
		x.keptMemory.Close()
		x.keptMemory = nil
	}
}

// keepAnswer keeps a target's error answer for the case that no other target answers.
func (x *inflight) keepAnswer(a *bufferedAnswer) {
	if a == nil || x.result.HeadSent {
		return
	}
	x.releaseKept()
	x.kept, x.keptMemory, x.answerMemory = a, x.answerMemory, nil
}

// writeKept sends the error answer that was kept to the caller, unless the caller has gone or has a part of another one.
func (x *inflight) writeKept() {
	if x.kept == nil || x.result.HeadSent || x.result.Reason == ReasonCallerGone {
		return
	}
	x.result.Reason, x.result.RetryAfter, x.result.NotRetried = "", 0, ""
	x.writeAnswer(x.kept)
}

// notResumed returns the failure of a target that answers a request to resume a stream with something
// else. Nothing of that may reach the caller, who may be written to by its delivery at the same time.
func notResumed(a *httptarget.Answer) *failure {
	return &failure{reason: ReasonFailed, result: balance.Answered, mayHaveRun: true, cause: errors.Errorf("status %d instead of the resumed stream", a.Status)}
}

// writeAnswer sends a buffered answer to the caller.
func (x *inflight) writeAnswer(a *bufferedAnswer) {
	x.result.HeadSent = true
	x.result.Status = a.status
	x.caller.Head(a.status, a.header, int64(a.body.Len()))
	if err := x.writeBuffer(a.body); err != nil {
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
	x.releaseAnswer()
	buffer := make([]byte, unbufferedPieceSize)
	for sent := begin.Len(); ; {
		n, err := a.Read(buffer)
		if sent += n; a.Length() < 0 && sent > maxUnknownLength {
			return brokenAnswer(errEndless)
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
