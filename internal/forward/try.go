package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/routing"
)

const (
	// firstShare is the time, in percent of the goal, after which a target
	// without a first event counts as silent where another may take over.
	firstShare = 150
	// pauses is the number of usual pauses after which a stream counts as
	// silent where another engine may take over.
	pauses = 4
	// minSilence is the least time that counts as silence.
	minSilence = 600 * time.Millisecond
	// maxKept bounds an answer that is held until it is whole, in bytes.
	maxKept = 256 << 10
)

var (
	// errSilent means that a target showed no sign for too long.
	errSilent = errors.New("target silent")
	// errRestarted means that the target's process ended and started again.
	errRestarted = errors.New("target restarted")
)

// kept is a whole answer.
type kept struct {
	status int
	header http.Header
	body   []byte
}

// try sends the request to one target and passes the answer on. It returns
// nil if the request is over.
func (x *run) try(ctx context.Context, to balance.Target) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := x.watch(cancel)
	defer watch.Stop()
	x.ticket.OnLost(func() { cancel(errRestarted) })
	defer x.ticket.OnLost(nil)
	answer, err := x.sender.Send(ctx, to.Address, httptarget.Request{
		Method: x.Method, Head: x.head(to, x.deadline), Body: x.Body, Instance: to.Incarnation(),
		ID: x.ID, IDHeader: x.dialect.RequestID,
	})
	if err != nil {
		return x.sendFailed(ctx, to, err)
	}
	x.verdict.Sends++
	x.answers = false
	x.advised(to, answer)
	f := x.receive(ctx, answer, watch)
	answer.Close()
	if f == nil {
		x.end(balance.Answered)
		if x.suspects.View() != nil {
			x.survived()
		}
		return nil
	}
	if context.Cause(ctx) != nil {
		f = x.stopped(ctx, f.cause)
	}
	x.end(f.result)
	return f
}

// sendFailed notes that no answer came.
func (x *run) sendFailed(ctx context.Context, to balance.Target, err error) *failure {
	if errors.Is(err, httptarget.ErrNotSent) {
		f := &failure{reason: ReasonUnreachable, result: balance.Unreachable, cause: err}
		if errors.Is(err, httptarget.ErrNobodyListens) {
			x.suspects.Ended(to)
		}
		if ctx.Err() != nil {
			f.result = balance.Left
		}
		x.end(f.result)
		return f
	}
	x.verdict.Sends++
	f := &failure{reason: ReasonBroken, result: balance.Failed, ran: true, cause: err}
	if ctx.Err() != nil {
		f = x.stopped(ctx, err)
	}
	x.end(f.result)
	return f
}

// stopped returns the failure of an exchange that the router ended itself.
func (x *run) stopped(ctx context.Context, err error) *failure {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		return &failure{reason: ReasonSilent, result: balance.Failed, ran: true, cause: err}
	case errors.Is(cause, errRestarted):
		return &failure{reason: ReasonRestarted, result: balance.Failed, ran: true, cause: err}
	}
	return &failure{reason: ReasonGone, result: balance.Left, ran: true, cause: err}
}

func (x *run) end(how balance.Result) {
	t := x.ticket
	x.loop.Post(func(s *balance.State, now time.Time) { s.Ended(now, t, how) })
}

// begun notes that a piece of the answer has come. The control thread hears of
// the first one of each send: a message for each event of a stream would wake it
// thousands of times a second.
func (x *run) begun() {
	if x.verdict.First == 0 {
		x.verdict.First = clock.Since(x.Arrived)
	}
	x.ticket.Heard.Store(clock.Since(x.ticket.Arrived).Nanoseconds())
	if x.answers {
		return
	}
	x.answers = true
	t := x.ticket
	x.loop.Post(func(s *balance.State, now time.Time) { s.Begun(now, t) })
}

// watch returns a timer that ends the exchange when the target is silent for
// too long and another may take over, or one that does nothing where none may.
func (x *run) watch(cancel context.CancelCauseFunc) *time.Timer {
	if !x.Route.Repeatable() || x.verdict.Sends+1 >= x.Route.MaxAttempts {
		return time.AfterFunc(clock.Until(x.deadline), func() {})
	}
	t := x.ticket
	return time.AfterFunc(max(x.Route.Goal*firstShare/100, minSilence), func() {
		x.loop.Post(func(s *balance.State, now time.Time) {
			if s.MayLeave(now, t, minSilence) {
				cancel(errSilent)
			}
		})
	})
}

// receive passes an answer on, or returns why it cannot be.
func (x *run) receive(ctx context.Context, a *httptarget.Answer, watch *time.Timer) *failure {
	if a.Header.Get(x.dialect.NotRun) != "" || a.Status == http.StatusMisdirectedRequest {
		cause := errors.Errorf("status %d", a.Status)
		if _, err := io.Copy(io.Discard, io.LimitReader(a, maxKept)); err != nil {
			cause = errors.Wrap(err, cause.Error())
		}
		return &failure{reason: ReasonRefused, result: balance.Refused, cause: cause}
	}
	if x.Route.Kind == routing.Streaming && a.Status == http.StatusOK {
		return x.stream(ctx, a, watch)
	}
	return x.whole(a)
}

// whole passes on an answer that is not a stream, once all of it has come.
func (x *run) whole(a *httptarget.Answer) *failure {
	if a.Length() > maxKept {
		return x.long(a)
	}
	body, err := io.ReadAll(io.LimitReader(a, maxKept+1))
	if err != nil {
		return &failure{reason: ReasonBroken, result: balance.Failed, ran: true, cause: err}
	}
	if len(body) > maxKept {
		return &failure{reason: ReasonBroken, result: balance.Failed, ran: true, cause: errors.New("answer without length too long")}
	}
	x.begun()
	k := &kept{status: a.Status, header: x.answerHeader(a.Header), body: body}
	if a.Status >= http.StatusInternalServerError {
		return &failure{reason: ReasonFailed, result: balance.Answered, ran: true, answer: k, cause: errors.Errorf("status %d", a.Status)}
	}
	if x.verdict.Begun {
		return &failure{reason: ReasonFailed, result: balance.Answered, ran: true, cause: errors.Errorf("status %d instead of the rest of a stream", a.Status)}
	}
	x.pass(k)
	return nil
}

// pass hands a whole answer to the caller.
func (x *run) pass(k *kept) {
	x.verdict.Begun = true
	x.verdict.Status = k.status
	x.caller.Head(k.status, k.header, int64(len(k.body)))
	if err := x.caller.Write(k.body); err != nil {
		x.verdict.Cut = true
		x.verdict.Reason = ReasonGone
	}
}

// long passes on an answer of known length while it comes.
func (x *run) long(a *httptarget.Answer) *failure {
	x.begun()
	x.verdict.Begun = true
	x.verdict.Status = a.Status
	x.caller.Head(a.Status, x.answerHeader(a.Header), a.Length())
	buffer := make([]byte, 16<<10)
	for {
		n, err := a.Read(buffer)
		if n > 0 {
			if werr := x.caller.Write(buffer[:n]); werr != nil {
				return &failure{reason: ReasonGone, result: balance.Left, ran: true, cause: werr}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &failure{reason: ReasonBroken, result: balance.Failed, ran: true, cause: err}
		}
	}
}

// stream passes on events as they come.
func (x *run) stream(ctx context.Context, a *httptarget.Answer, watch *time.Timer) *failure {
	events := newEvents(a)
	for {
		batch, err := events.next(x.last)
		if len(batch) > 0 {
			if f := x.events(a, events, batch, watch); f != nil {
				return f
			}
		}
		if errors.Is(err, io.EOF) {
			if !x.verdict.Begun {
				x.startStream(a)
			}
			return nil
		}
		if err != nil {
			return &failure{reason: ReasonBroken, result: balance.Failed, ran: true, cause: err}
		}
		x.coalesce(ctx)
	}
}

// coalesceShare is the part, in percent, of the pause between events that callers aim
// for during which a router that is short of processor time lets events come
// together: the rest is for the engine and for the router's own queue. A stream of 40
// events 50 ms apart takes 1.8 instead of 2.2 ms of processor time, the engine's and
// the caller's part included (BenchmarkStreams).
const coalesceShare = 25

// coalesce lets the next events of a stream come together where the router is short of
// processor time.
func (x *run) coalesce(ctx context.Context) {
	d := time.Duration(x.loop.Coalesce() * float64(x.Route.MaxPause*coalesceShare/100))
	if d > 0 {
		group.SleepUntil(ctx, clock.Now().Add(d))
	}
}

// events passes on whole events.
func (x *run) events(a *httptarget.Answer, events *events, batch []byte, watch *time.Timer) *failure {
	if x.passed == 0 || !x.verdict.Begun {
		x.startStream(a)
	}
	x.begun()
	if err := x.caller.Write(batch); err != nil {
		return &failure{reason: ReasonGone, result: balance.Left, ran: true, cause: err}
	}
	x.ticket.Pieces.Add(1)
	x.passed += events.count
	x.last = events.last
	if x.Route.Repeatable() && x.verdict.Sends < x.Route.MaxAttempts {
		watch.Reset(max(pauses*x.Route.MaxPause, minSilence))
		return nil
	}
	watch.Stop()
	return nil
}

func (x *run) startStream(a *httptarget.Answer) {
	if x.verdict.Begun {
		return
	}
	x.verdict.Begun = true
	x.verdict.Status = a.Status
	x.caller.Head(a.Status, x.answerHeader(a.Header), -1)
}

// answerHeader returns what is passed on of an answer's header.
func (x *run) answerHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopByHop[name] && !named(h["Connection"], name) {
			out[name] = values
		}
	}
	return out
}

// hopByHop lists the headers that concern one connection only (RFC 9110,
// section 7.6.1), and the length, which is set anew.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true,
}

// HopByHop reports whether a header, in canonical form, concerns one
// connection only, given the values of the Connection header beside it.
func HopByHop(name string, connection []string) bool {
	return hopByHop[name] || named(connection, name)
}

func named(connection []string, name string) bool {
	for _, v := range connection {
		for token := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// indexEnd returns the index after the first whole event in b, -1 if none.
func indexEnd(b []byte) int {
	lf := bytes.Index(b, eventEnd)
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case crlf < 0 || lf >= 0 && lf < crlf:
		return lf + 2
	default:
		return crlf + 4
	}
}
