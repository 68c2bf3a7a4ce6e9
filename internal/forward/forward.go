// Package forward carries one request from its caller to a target and the answer back. It
// decides when to send the request, retry it, resume its stream at another engine or abandon
// it, and how to answer the caller. The control goroutine (balance.Loop) chooses the target and
// sends its decision through a balance.Ticket.
package forward

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/stepcroft/stepcroft/internal/answerbuffer"
	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/delivery"
	"github.com/stepcroft/stepcroft/internal/eventstream"
	"github.com/stepcroft/stepcroft/internal/heldanswer"
	"github.com/stepcroft/stepcroft/internal/httptarget"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/prefix"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/suspicion"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

// Forwarder forwards requests. Use New to make one. It is safe for concurrent use.
type Forwarder struct {
	headers  HeaderNames
	sender   Sender
	loop     *balance.Loop
	suspects suspicion.Suspects
	// versions knows which versions began streams; nil if streams may be taken up anywhere.
	versions StreamVersions
	log      logr.Logger
	counters Counters
	// budget is the memory for buffered streams, nil if there are none; buffered reports whether
	// streams are buffered.
	budget   *answerbuffer.Budget
	buffered func() bool
	// status says how engines are asked when their processes started.
	status StatusQuery
	// exitQuestions are those to the processes of targets that broke off answers.
	exitQuestions *singleflight.Group
	// startedAt is when the forwarder was created.
	startedAt time.Time
	// maxStall is how long a caller may accept nothing of the rest of a buffered answer.
	maxStall time.Duration
	// memory is the budget for answers that are buffered as a whole.
	memory *memory.Budget
}

// Counters counts retries by reason, and what targets report about themselves.
type Counters interface {
	CountRetry(r Reason)
	// CountAdvice counts a target's report about itself that changes what was known.
	CountAdvice(a Advice)
	// CountContinuation counts a stream of which a target sends the rest.
	CountContinuation(c Continuation)
	// CountJoin counts a run of a stream that follows an earlier one, by how it is known to be of the same version.
	CountJoin(j Join)
	// CountSecond counts a second send by what became of it.
	CountSecond(r SecondResult)
	// CountAborted counts an exchange that this router ended, though the target had not broken it off.
	CountAborted(why Reason, inAnswer bool)
}

// New returns a forwarder that sends requests with s to the targets that l chooses.
func New(h HeaderNames, s Sender, l *balance.Loop, q suspicion.Suspects, log logr.Logger, c Counters) *Forwarder {
	return &Forwarder{headers: h, sender: s, loop: l, suspects: q, log: log, counters: c, exitQuestions: &singleflight.Group{}, startedAt: clock.Now(), maxStall: DefaultMaxStall, memory: memory.New(math.MaxInt64)}
}

// WithMemory returns a forwarder that buffers answers that are not streams within a budget.
func (f *Forwarder) WithMemory(b *memory.Budget) *Forwarder {
	out := *f
	out.memory = b
	return &out
}

// WithBuffers returns a forwarder that buffers streams within a budget while enabled returns true.
func (f *Forwarder) WithBuffers(b *answerbuffer.Budget, enabled func() bool) *Forwarder {
	out := *f
	out.budget, out.buffered = b, enabled
	return &out
}

// WithStreamVersions returns a forwarder that lets callers take streams up only at the version that
// began them.
func (f *Forwarder) WithStreamVersions(v StreamVersions) *Forwarder {
	out := *f
	out.versions = v
	return &out
}

// WithMaxStall returns a forwarder that closes a caller's connection if the caller accepts nothing of the
// rest of a buffered answer for a time.
func (f *Forwarder) WithMaxStall(d time.Duration) *Forwarder {
	out := *f
	out.maxStall = d
	return &out
}

// ShedReason returns the reason to reject a request of an organisation to engines before it is
// parsed, because the organisation sends more than the router can take in, or "" to read it.
func (f *Forwarder) ShedReason(organisation string, o throttle.RequestSize) Reason {
	return Reason(f.loop.Check(organisation, o))
}

// Throttling reports whether requests of any organisation are rejected before parsing.
func (f *Forwarder) Throttling() bool { return f.loop.Throttling() }

// ShortOfCPU reports whether the router is short of processor time.
func (f *Forwarder) ShortOfCPU() bool { return f.loop.CoalesceLevel() > 0 }

// Admit admits a request of an organisation to engines and returns "", or returns the reason
// to reject it.
func (f *Forwarder) Admit(organisation string, o throttle.RequestSize) Reason {
	return Reason(f.loop.Admit(organisation, o))
}

const (
	// minTimeForRetry is the time that must be left before the deadline for a retry.
	minTimeForRetry = 5 * time.Millisecond
	// defaultRetryAfter is the default Retry-After of a failed request. It is short because
	// the next attempt goes to another target.
	defaultRetryAfter = 200 * time.Millisecond
)

// inflight is one request while it is being forwarded.
type inflight struct {
	*Forwarder
	Request
	caller   Caller
	ticket   *balance.Ticket
	deadline time.Time
	// fetchSource is an engine from which the target can fetch cached parts of the prompt;
	// its ID is empty if there is none.
	fetchSource balance.Target
	result      Result
	// answerStarted is set once the target of the current send has started to answer.
	answerStarted bool
	// mayHaveRun is set once a target may have run the request, wholly or in part.
	mayHaveRun bool
	// delivery writes the stream to the caller if it is buffered, else it is nil. cancel cancels
	// the exchange with the target.
	delivery *delivery.Delivery
	cancel   context.CancelFunc
	// lastEventID is the id of the last event that the caller has, or that is in its buffer and
	// will be delivered. A retry resumes after it.
	lastEventID string
	// placeUnknown is set once the caller has events of a stream and none of them has an id, so that no
	// target can be told where to resume.
	placeUnknown bool
	// tail has the digests of the events with data that the caller has behind the last one with an id.
	tail []uint64
	// names has the digests of the ids that the caller has and that are no numbers.
	names []uint64
	// target is the target of the current send.
	target balance.Target
	// inDoubt is set if another process than target describes may listen at its address.
	inDoubt bool
	// unheard is set if target may be silent, see balance.Decision.
	unheard bool
	// begun is the version that began the stream, if it is known.
	begun balance.VersionLimit
	// processBy is how the process at target is known, empty if nobody was asked.
	processBy ProcessEvidence
	// askedOn is when the connection was made on which target said when its process started, zero if it did not.
	askedOn time.Time
	// unaskedAt is when this router looked at the unused connections to target and did not ask it, or asked in vain; zero if
	// it has answered.
	unaskedAt time.Time
	// forwardedEvents is the number of events forwarded to the caller or its buffer.
	forwardedEvents int
	// check is what is known of the suspicion that the request crashes targets.
	check *suspicion.Check
	// sentAt is when the current send began.
	sentAt time.Time
	// race decides whether a second target goes on with the answer while the current one is silent.
	race race
	// held has the memory of the buffered answer.
	held heldanswer.Holder
	// kept is the error answer of a target that is forwarded if no other one answers.
	kept heldanswer.Kept
	// notStream is set if the head that the caller has is not that of a stream, which another target
	// could resume.
	notStream bool
}

// Forward sends r to a target and the answer to caller. It returns when the answer is
// complete or the request is abandoned. ctx must end when the caller disconnects.
func (f *Forwarder) Forward(ctx context.Context, r Request, caller Caller) Result {
	deadline := r.Expires()
	x := &inflight{Forwarder: f, Request: r, caller: caller, deadline: deadline, check: f.newCheck(r), held: heldanswer.New(f.memory, r.Organisation), lastEventID: r.LastEventID}
	if r.LastEventID != "" && !eventstream.IsNumber(r.LastEventID) {
		x.names = append(x.names, eventstream.Digest(r.LastEventID))
	}
	x.ticket = &balance.Ticket{
		ID: r.ID, Service: r.Service, Organisation: r.Organisation, Host: r.Host, Path: r.Path(), Engine: r.ToEngine, Stream: r.Route.Kind == routing.Streaming,
		Continues: r.LastEventID != "", Parts: r.Parts, Input: r.Input, Output: r.Output, Goal: r.Route.Goal,
		StreamID: r.streamID(), Regions: r.Regions, Arrived: r.Arrived, Deadline: deadline, Decision: make(chan balance.Decision, 1),
	}
	timed, cancel := context.WithTimeout(ctx, clock.Until(deadline))
	defer cancel()
	x.cancel, x.race.ctx = cancel, timed
	defer x.held.Release()
	defer x.kept.Release()
	defer x.stopSeconds()
	if x.refuseQuarantined(timed) {
		return x.result
	}
	if !x.findVersion(timed) {
		x.endTrials()
		return x.result
	}
	x.sendUntilDone(timed)
	x.stopSeconds()
	x.endTrials()
	x.writeKept()
	x.deliverRest(ctx)
	x.correctVersion()
	return x.result
}

// sendUntilDone sends the request, with retries, until it is answered, refused or abandoned.
func (x *inflight) sendUntilDone(ctx context.Context) {
	x.loop.Post(func(s *balance.State, now time.Time) { s.Arrive(now, x.ticket) })
	for {
		to, ok := x.awaitTarget(ctx)
		if !ok {
			return
		}
		if x.CallerGone != nil && x.CallerGone() {
			x.endSend(balance.Abandoned)
			x.abandon(ctx)
			return
		}
		if clock.Until(x.deadline) <= 0 {
			// The box was suspended, which also stopped the timer of ctx.
			x.endSend(balance.Abandoned)
			x.abandonFor(ReasonDeadline)
			return
		}
		if x.refuseQuarantined(ctx) {
			// The request was quarantined while it waited for a target.
			x.endSend(balance.Refused)
			return
		}
		err := x.sendTo(ctx, to)
		if err == nil {
			return
		}
		if !x.handleFailure(ctx, x.target, err) {
			return
		}
	}
}

// awaitTarget waits until the control goroutine has chosen a target or refused the request.
func (x *inflight) awaitTarget(ctx context.Context) (balance.Target, bool) {
	select {
	case d := <-x.ticket.Decision:
		x.result.QueueTime = d.Waited
		if d.Refused != "" {
			x.refuse(Reason(d.Refused), d.RetryAfter)
			return balance.Target{}, false
		}
		x.result.TargetID, x.result.TargetVersion = d.Target.ID, d.Target.Version
		x.result.PendingTokens, x.result.UncachedTokens, x.result.FetchableTokens = d.PendingTokens, d.UncachedTokens, d.FetchedTokens
		x.result.LapsedFor = d.LapsedFor
		x.result.Speed = d.Speed
		x.fetchSource, x.inDoubt, x.unheard = d.Source, d.InDoubt, d.Unheard
		return d.Target, true
	case <-ctx.Done():
		x.withdraw()
		x.abandon(ctx)
		return balance.Target{}, false
	}
}

// withdraw takes the request back from the control goroutine. If a target has been chosen
// already, it releases the load counted there.
func (x *inflight) withdraw() {
	t := x.ticket
	x.loop.Post(func(s *balance.State, now time.Time) { withdraw(s, now, t) })
}

// withdraw takes a ticket back. It is to be called by the control goroutine.
func withdraw(s *balance.State, now time.Time, t *balance.Ticket) {
	s.Withdraw(t)
	select {
	case <-t.Decision:
		s.Ended(now, t, balance.Abandoned)
	default:
	}
}

// refuse sets the result of a request that no target ran, or whose answer cannot be
// continued.
func (x *inflight) refuse(why Reason, after time.Duration) {
	x.result.Reason = why
	if x.result.HeadSent {
		x.result.Truncated = true
		return
	}
	if x.mayHaveRun {
		x.result.Status = http.StatusBadGateway
		return
	}
	x.result.Status = http.StatusServiceUnavailable
	x.result.RetryAfter = after
}

// abandon sets the result of a request whose deadline has passed or whose caller has gone.
func (x *inflight) abandon(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		x.abandonFor(ReasonDeadline)
		return
	}
	x.abandonFor(ReasonCallerGone)
}

// abandonFor sets the result of a request that is abandoned for a reason.
func (x *inflight) abandonFor(why Reason) {
	x.result.Reason = why
	if x.result.HeadSent {
		x.result.Truncated = true
		return
	}
	x.result.Status = http.StatusGatewayTimeout
	if !x.mayHaveRun {
		x.result.Status = http.StatusServiceUnavailable
		x.result.RetryAfter = defaultRetryAfter
	}
}

// failure says why one send did not result in a complete answer.
type failure struct {
	reason Reason
	result balance.Result
	// mayHaveRun is set if the target may have run the request.
	mayHaveRun bool
	// errorAnswer is the target's own error answer, to be forwarded if the request is not
	// retried; nil if there is none.
	errorAnswer *heldanswer.Answer
	cause       error
}

// isUnconnected reports whether no connection was made although the target may be running.
func (f *failure) isUnconnected() bool {
	return f.result == balance.Unreachable && !errors.Is(f.cause, httptarget.ErrConnectionRefused)
}

func (f *failure) Error() string { return string(f.reason) + ": " + f.cause.Error() }

// handleFailure handles a failed send. It returns true if the request is retried: the control
// thread then chooses another target. Otherwise it answers or refuses the request.
func (x *inflight) handleFailure(ctx context.Context, to balance.Target, f *failure) bool {
	if f.mayHaveRun {
		x.mayHaveRun = true
	}
	if ctx.Err() != nil {
		x.keepAnswer(f.errorAnswer)
		x.abandon(ctx)
		return false
	}
	x.result.ExchangeEnd, x.result.NotRetried = f.reason, ""
	if x.reportBreak(ctx, to, f) {
		x.result.NotRetried = NotRetriedSuspect
		x.logFailure("given up", to, f)
		x.refuse(f.reason, defaultRetryAfter)
		return false
	}
	if x.result.NotRetried = x.mayRetry(f); x.result.NotRetried == "" && !x.retry(ctx, to, f) {
		x.result.NotRetried = NotRetriedBudget
	}
	if x.result.NotRetried == "" {
		x.keepAnswer(f.errorAnswer)
		x.counters.CountRetry(f.reason)
		x.logFailure("sent again", to, f)
		return true
	}
	if f.errorAnswer != nil && !x.result.HeadSent {
		x.writeAnswer(f.errorAnswer)
		return false
	}
	x.logFailure("given up", to, f)
	x.refuse(f.reason, x.retryAfter(ctx, f))
	return false
}

// retryAfter returns the Retry-After for a request whose last send failed. Where all targets
// of the service are backing off, it is the time until they accept requests again.
func (x *inflight) retryAfter(ctx context.Context, f *failure) time.Duration {
	if f.reason != ReasonRefused {
		return defaultRetryAfter
	}
	after := defaultRetryAfter
	answered := x.loop.PostAndWait(ctx, func(s *balance.State, now time.Time) {
		if d, ok := s.BackoffLeft(now, x.Service); ok {
			after = max(after, d)
		}
	})
	if !answered {
		return defaultRetryAfter
	}
	return after
}

// logFailure logs a failed send and what follows it. If the target broke off its answer, the
// line has a digest of the content and the shared parts of the prompt, so that what breaks one
// target after another can be found in the log.
func (x *inflight) logFailure(what string, to balance.Target, f *failure) {
	log := x.log
	if f.reason == ReasonBroken || f.reason == ReasonRestarted {
		log = log.WithValues("content", x.check.Attributes()[0].Key.String(), "organisation", x.Organisation, "parts", partIDs(x.check.SharedParts()))
	}
	if x.placeUnknown {
		log = log.WithValues("place", "unknown")
	}
	if x.result.NotRetried != "" {
		log = log.WithValues("not_retried", string(x.result.NotRetried))
	}
	log.Info(what, "id", x.ID, "target", to.ID, "version", to.Version, "reason", f.reason, "cause", f.cause.Error(), "events", x.forwardedEvents)
}

// partIDs returns the ids of parts of a prompt.
func partIDs(parts []prefix.Part) []string {
	list := make([]string, 0, len(parts))
	for _, p := range parts {
		list = append(list, p.ID)
	}
	return list
}

// mayRetry returns why the request may not be sent to another target, or "" if it may.
func (x *inflight) mayRetry(f *failure) NotRetried {
	if x.result.Sends >= max(x.Route.MaxAttempts, 1) {
		return NotRetriedAttempts
	}
	if clock.Until(x.deadline) < minTimeForRetry {
		return NotRetriedTime
	}
	if x.result.HeadSent && (x.notStream || x.placeUnknown || !x.Route.Resumable) {
		return NotRetriedKind
	}
	if f.mayHaveRun && !x.Route.Repeatable() {
		return NotRetriedKind
	}
	return ""
}

// retry asks the control goroutine for another target and reports whether the retry budget
// allows it. It spends no budget as long as no send has reached a target.
func (x *inflight) retry(ctx context.Context, to balance.Target, f *failure) bool {
	t := x.ticket
	unsent, resumes := x.result.Sends == 0, x.result.HeadSent
	allowed := false
	tried := append(x.triedSeconds(), to.Incarnation())
	answered := x.loop.PostAndWait(ctx, func(s *balance.State, now time.Time) {
		name := to.Incarnation()
		t.Again = slices.DeleteFunc(t.Again, func(again string) bool { return again == name })
		if f.isUnconnected() && !slices.Contains(t.Tried, name) {
			t.Again = append(t.Again, name)
		}
		t.Tried = append(t.Tried, tried...)
		t.Resumes = resumes
		if unsent {
			s.Requeue(now, t)
			allowed = true
			return
		}
		allowed = s.Retry(now, t)
	})
	if !answered {
		// The event is still in the queue, and nobody would receive the decision it leads to.
		x.withdraw()
		return false
	}
	return allowed
}

// requestHead returns the request line and headers to send to a target.
func (x *inflight) requestHead(to balance.Target, deadline time.Time) []byte {
	b := make([]byte, 0, initialHeadSize)
	b = append(b, x.Method...)
	b = append(b, ' ')
	b = append(b, x.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, x.Host...)
	b = append(b, "\r\n"...)
	for name, values := range x.Header {
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	b = appendHeader(b, x.headers.RequestID, x.ID)
	b = appendHeader(b, x.headers.Deadline, strconv.FormatInt(max(clock.Until(deadline).Milliseconds(), 1), 10))
	b = appendHeader(b, x.headers.ExpectTarget, to.ID)
	if x.Organisation != "" {
		b = appendHeader(b, x.headers.Organisation, x.Organisation)
	}
	if x.lastEventID != "" {
		b = appendHeader(b, x.headers.LastEventID, x.lastEventID)
	}
	if x.fetchSource.ID != "" && x.headers.FetchFrom != "" {
		b = appendHeader(b, x.headers.FetchFrom, x.fetchSource.Address)
	}
	if x.Body.Len() > 0 || x.Method == http.MethodPost || x.Method == http.MethodPut || x.Method == http.MethodPatch {
		b = appendHeader(b, "Content-Length", strconv.Itoa(x.Body.Len()))
	}
	return append(b, "\r\n"...)
}

// initialHeadSize is the initial capacity for a request's head in bytes, enough for most
// requests.
const initialHeadSize = 768

// appendHeader appends a header line to the head of a request.
func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
