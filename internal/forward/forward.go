// Package forward carries one request from its caller to a target and the
// answer back. It decides when a request is sent, sent again, resumed at
// another engine or given up, and what the caller is told.
package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

// Forwarder forwards requests. Use New to make one; it is safe for use by
// many goroutines.
type Forwarder struct {
	dialect  Dialect
	sender   Sender
	loop     *balance.Loop
	suspects Suspects
	log      logr.Logger
	counts   Counts
}

// Counts counts what happens to requests, by reason, and what targets say of themselves.
type Counts interface {
	Retried(r Reason)
	// Advised counts what a target says for the first time.
	Advised(a Advice)
}

// New returns a forwarder.
func New(d Dialect, s Sender, l *balance.Loop, q Suspects, log logr.Logger, c Counts) *Forwarder {
	return &Forwarder{dialect: d, sender: s, loop: l, suspects: q, log: log, counts: c}
}

// Crowded returns why a request of an organisation to engines is to be refused
// unread, or "": it sends more than the router can take in.
func (f *Forwarder) Crowded(organisation string, o throttle.RequestSize) Reason {
	return Reason(f.loop.Crowded(organisation, o))
}

// Throttles reports whether requests of any organisation are refused unread.
func (f *Forwarder) Throttles() bool { return f.loop.Throttles() }

// Short reports whether the router is short of processor time.
func (f *Forwarder) Short() bool { return f.loop.Coalesce() > 0 }

// Admit lets a request of an organisation to engines in, or returns why it is to be
// refused.
func (f *Forwarder) Admit(organisation string, o throttle.RequestSize) Reason {
	return Reason(f.loop.Admit(organisation, o))
}

const (
	// minLeft is the least time that is worth a send.
	minLeft = 5 * time.Millisecond
	// comeBackSoon is when to come back after a target refused or could not be
	// reached: another one is chosen then.
	comeBackSoon = 200 * time.Millisecond
)

// run is one request on its way.
type run struct {
	*Forwarder
	Request
	caller   Caller
	ticket   *balance.Ticket
	deadline time.Time
	// source is the engine from which the target can fetch parts.
	source  balance.Target
	verdict Verdict
	// answers is set once the target of the last send has begun to answer.
	answers bool
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	// last is the id of the last event passed on.
	last string
	// passed is the number of events passed on.
	passed int
	// content is what is asked, worked out when it is first needed.
	content *quarantine.Key
	// trial is set where the request is held back and sent on trial.
	trial bool
}

// Forward carries r to a target and the answer to caller. It returns when
// the answer is over or given up; ctx ends when the caller goes away.
func (f *Forwarder) Forward(ctx context.Context, r Request, caller Caller) Verdict {
	deadline := r.Expires()
	x := &run{Forwarder: f, Request: r, caller: caller, deadline: deadline, last: r.LastEvent}
	x.ticket = &balance.Ticket{
		ID: r.ID, Service: r.Service, Organisation: r.Organisation, Engine: r.Engine, Stream: r.Route.Kind == routing.Streaming,
		Parts: r.Parts, Input: r.Input, Output: r.Output, Goal: r.Route.Goal,
		Arrived: r.Arrived, Deadline: deadline, Decision: make(chan balance.Decision, 1),
	}
	timed, cancel := context.WithTimeout(ctx, clock.Until(deadline))
	defer cancel()
	if x.heldBack(timed) {
		return x.verdict
	}
	x.run(timed)
	if x.trial {
		x.suspects.Tried(x.key())
	}
	return x.verdict
}

// run sends the request until an answer has been passed on or it is given up.
func (x *run) run(ctx context.Context) {
	x.loop.Post(func(s *balance.State, now time.Time) { s.Arrive(now, x.ticket) })
	for {
		to, ok := x.target(ctx)
		if !ok {
			return
		}
		if x.Gone != nil && x.Gone() {
			x.end(balance.Left)
			x.giveUp(ctx)
			return
		}
		if clock.Until(x.deadline) <= 0 {
			// The box was suspended, and the timer that ends the request stood still.
			x.end(balance.Left)
			x.giveUp(ctx)
			return
		}
		if x.heldBack(ctx) {
			// It became known while the request waited.
			x.end(balance.Refused)
			return
		}
		err := x.try(ctx, to)
		if err == nil {
			return
		}
		if !x.again(ctx, to, err) {
			return
		}
	}
}

// target waits for the control thread's decision.
func (x *run) target(ctx context.Context) (balance.Target, bool) {
	select {
	case d := <-x.ticket.Decision:
		x.verdict.Waited = d.Waited
		if d.Refused != "" {
			x.refuse(Reason(d.Refused), d.RetryAfter)
			return balance.Target{}, false
		}
		x.verdict.Target = d.Target.ID
		x.verdict.Unread, x.verdict.Miss, x.verdict.Fetched = d.Unread, d.Miss, d.Fetched
		x.verdict.Lapsed = d.Lapsed
		x.source = d.Source
		return d.Target, true
	case <-ctx.Done():
		x.withdraw()
		x.giveUp(ctx)
		return balance.Target{}, false
	}
}

// withdraw takes the request back from the control thread, which may have
// decided already.
func (x *run) withdraw() {
	t := x.ticket
	x.loop.Post(func(s *balance.State, now time.Time) {
		s.Withdraw(t)
		select {
		case <-t.Decision:
			s.Ended(now, t, balance.Left)
		default:
		}
	})
}

// refuse ends a request that was not run, or that cannot be continued.
func (x *run) refuse(why Reason, after time.Duration) {
	x.verdict.Reason = why
	if x.verdict.Begun {
		x.verdict.Cut = true
		return
	}
	if x.mayHaveRun {
		x.verdict.Status = http.StatusBadGateway
		return
	}
	x.verdict.Status = http.StatusServiceUnavailable
	x.verdict.RetryAfter = after
}

// giveUp ends a request whose time is over or whose caller has gone.
func (x *run) giveUp(ctx context.Context) {
	x.verdict.Reason = ReasonGone
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		x.verdict.Reason = ReasonDeadline
	}
	if x.verdict.Begun {
		x.verdict.Cut = true
		return
	}
	x.verdict.Status = http.StatusGatewayTimeout
	if !x.mayHaveRun {
		x.verdict.Status = http.StatusServiceUnavailable
		x.verdict.RetryAfter = comeBackSoon
	}
}

// failure is why one send did not lead to a whole answer.
type failure struct {
	reason Reason
	result balance.Result
	// ran is set if the target may have run the request.
	ran bool
	// answer passes on what the target said of its failure, where it said
	// something that may be passed on; nil if not.
	answer *kept
	cause  error
}

func (f *failure) Error() string { return string(f.reason) + ": " + f.cause.Error() }

// again decides what follows a failed send. It returns true if the request
// was handed to the control thread once more.
func (x *run) again(ctx context.Context, to balance.Target, f *failure) bool {
	if f.ran {
		x.mayHaveRun = true
	}
	if ctx.Err() != nil {
		x.giveUp(ctx)
		return false
	}
	if x.crashed(ctx, to, f) {
		x.logFailed("given up", to, f)
		x.refuse(f.reason, comeBackSoon)
		return false
	}
	if x.mayRetry(f) && x.retry(ctx, to) {
		x.counts.Retried(f.reason)
		x.logFailed("sent again", to, f)
		return true
	}
	if f.answer != nil && !x.verdict.Begun {
		x.pass(f.answer)
		return false
	}
	x.logFailed("given up", to, f)
	x.refuse(f.reason, x.comeBack(ctx, f))
	return false
}

// comeBack returns when to come back after the last send has failed.
func (x *run) comeBack(ctx context.Context, f *failure) time.Duration {
	if f.reason != ReasonRefused {
		return comeBackSoon
	}
	after := comeBackSoon
	asked := x.loop.Ask(ctx, func(s *balance.State, now time.Time) {
		if d, ok := s.RestLeft(now, x.Service); ok {
			after = max(after, d)
		}
	})
	if !asked {
		return comeBackSoon
	}
	return after
}

// logFailed logs what follows a failed send. Where the target broke off, the content
// tells whether the same is asked at the next one that does.
func (x *run) logFailed(what string, to balance.Target, f *failure) {
	log := x.log
	if f.reason == ReasonBroken || f.reason == ReasonRestarted {
		log = log.WithValues("content", x.key().String())
	}
	log.Info(what, "id", x.ID, "target", to.ID, "reason", f.reason, "cause", f.cause.Error(), "events", x.passed)
}

// mayRetry reports whether the request may be sent to another target.
func (x *run) mayRetry(f *failure) bool {
	if x.verdict.Sends >= max(x.Route.MaxAttempts, 1) {
		return false
	}
	if clock.Until(x.deadline) < minLeft {
		return false
	}
	if x.verdict.Begun && !x.Route.Resumable {
		return false
	}
	return !f.ran || x.Route.Repeatable()
}

// retry asks the control thread for another target, which the retry budget
// may forbid. A send that never reached a target needs no budget.
func (x *run) retry(ctx context.Context, to balance.Target) bool {
	t := x.ticket
	free, resumes := x.verdict.Sends == 0, x.verdict.Begun
	allowed := false
	asked := x.loop.Ask(ctx, func(s *balance.State, now time.Time) {
		t.Tried = append(t.Tried, to.Incarnation())
		t.Resumes = resumes
		if free {
			s.Unsent(now, t)
			allowed = true
			return
		}
		allowed = s.Again(now, t)
	})
	if !asked {
		// The event still comes, and nobody would wait for what it decides.
		x.withdraw()
		return false
	}
	return allowed
}

// head builds the head of the request for a target.
func (x *run) head(to balance.Target, deadline time.Time) []byte {
	b := make([]byte, 0, headSize)
	b = append(b, x.Method...)
	b = append(b, ' ')
	b = append(b, x.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, x.Host...)
	b = append(b, "\r\n"...)
	for name, values := range x.Header {
		for _, v := range values {
			b = line(b, name, v)
		}
	}
	b = line(b, x.dialect.RequestID, x.ID)
	b = line(b, x.dialect.Deadline, strconv.FormatInt(max(clock.Until(deadline).Milliseconds(), 1), 10))
	b = line(b, x.dialect.ExpectTarget, to.ID)
	if x.Organisation != "" {
		b = line(b, x.dialect.Organisation, x.Organisation)
	}
	if x.last != "" {
		b = line(b, x.dialect.LastEvent, x.last)
	}
	if x.source.ID != "" && x.dialect.FetchFrom != "" {
		b = line(b, x.dialect.FetchFrom, x.source.Address)
	}
	if len(x.Body) > 0 || x.Method == http.MethodPost || x.Method == http.MethodPut || x.Method == http.MethodPatch {
		b = line(b, "Content-Length", strconv.Itoa(len(x.Body)))
	}
	return append(b, "\r\n"...)
}

// headSize is room for a usual request's head, in bytes.
const headSize = 768

func line(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
