package httpcaller

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/httpserver"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/port"
	"github.com/stepcroft/stepcroft/internal/request"
)

// callerPollInterval is how often a waiting request checks whether its caller has closed the
// connection: nbhttp reports that only after the handler has returned.
const callerPollInterval = 500 * time.Millisecond

// chatRequest holds the fields of a completion request that the router reads.
type chatRequest struct {
	Model    string            `json:"model"`
	Messages []json.RawMessage `json:"messages"`
	Stream   bool              `json:"stream"`
}

// parseChat parses a completion request and returns the body to send to the engine. That body
// always asks for a stream, so that the router can count the tokens as they are generated.
func parseChat(body []byte) (chatRequest, []byte, error) {
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return c, nil, errors.Wrap(err, "body is not the JSON of a completion request")
	}
	if c.Model == "" {
		return c, nil, errors.New("field model is missing")
	}
	if len(c.Messages) == 0 {
		return c, nil, errors.New("field messages is missing or empty")
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return c, nil, errors.Wrap(err, "body is not a JSON object")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	out, err := json.Marshal(fields)
	return c, out, errors.Wrap(err, "write body for the engine")
}

// chat serves a completion request.
func (h *Handler) chat(w http.ResponseWriter, r *http.Request, o config.Organisation) {
	now := clock.Now()
	opts, err := parseOptions(r.Header, true, now)
	if err != nil {
		h.refuse(w, refusalFor(err))
		return
	}
	body, err := readBody(r)
	if err != nil {
		h.refuse(w, refusalFor(err))
		return
	}
	c, engineBody, err := parseChat(body)
	if err != nil {
		h.refuse(w, refusalFor(err))
		return
	}
	pool, ok := h.Core.Snapshot().Pool(c.Model)
	if !ok {
		h.refuse(w, refusal{reason: request.ReasonUnknownModel, detail: "field model: no pool serves " + c.Model})
		return
	}
	j, ok := h.accept(w, r, o, opts)
	if !ok {
		return
	}
	x := &exchange{
		handler: h, job: j, writer: w,
		sink: newSink(w, c, j.id, opts.id != nil),
		body: engineBody, pool: pool, enginePriority: o.Priority,
		ticket: request.NewTicket(request.TicketSpec{
			ID: j.id, Organisation: o.Name, Pool: pool.Name, Priority: opts.priority,
			Deadline: opts.deadline, Arrived: now, CostHint: opts.costHint,
		}),
	}
	h.finish(j, x.run())
}

// exchange handles one completion request from its queueing to its answer.
type exchange struct {
	handler        *Handler
	job            *job
	writer         http.ResponseWriter
	sink           sink
	body           []byte
	pool           config.Pool
	enginePriority int
	ticket         *request.Ticket
	// mayHaveRun is set once an engine may have run the request.
	mayHaveRun bool
	// events is the number of events received in the current attempt.
	events int
}

// run queues the request, sends it to engines until it succeeds or fails for good, and returns
// its record.
func (x *exchange) run() request.Record {
	x.handler.Budget.Earn()
	x.handler.Core.Submit(x.ticket)
	for {
		d := x.awaitDecision()
		if d.Refused != "" {
			return x.refuse(d.Refused, "", d.RetryAfterSeconds)
		}
		retry, record := x.attempt(d)
		if retry == "" {
			return record
		}
		x.handler.Metrics.CountRetry(retry)
		x.handler.Core.Retry(x.ticket)
	}
}

// awaitDecision waits for the control loop's decision. If the request's context ends, it asks
// the control loop to cancel the request and still waits for the decision: a slot granted
// before the cancellation must be used or released.
func (x *exchange) awaitDecision() request.Decision {
	poll := time.NewTicker(callerPollInterval)
	defer poll.Stop()
	done := x.job.ctx.Done()
	for {
		select {
		case d := <-x.ticket.Decision:
			return d
		case <-done:
			x.handler.Core.Cancel(x.ticket, endReason(x.job.ctx))
			done = nil
		case <-poll.C:
			if httpserver.CallerDisconnected(x.writer) {
				x.job.cancel(errCallerGone)
			}
		}
	}
}

// attempt sends the request to one engine. It returns either the reason for a retry or, if the
// request has ended, its record.
func (x *exchange) attempt(d request.Decision) (request.Reason, request.Record) {
	if x.job.ctx.Err() != nil {
		x.handler.Core.Finish(x.ticket, request.RunEnd{})
		return "", x.refuse(endReason(x.job.ctx), "", 0)
	}
	invariant.Check(!x.mayHaveRun || x.job.options.repeatable, invariant.RunsOnce)
	x.events = 0
	x.sink.reset()
	x.ticket.ServedCost.Store(0)
	err := x.send(d.Address)
	for try := 0; try < maxResumes && x.resumable(err); try++ {
		x.handler.Metrics.CountRetry(request.RetryResume)
		err = x.resume(d.Address, err)
	}
	if err == nil {
		return "", x.complete()
	}
	return x.handleFailure(err)
}

// maxResumes is how often an engine is asked to continue the same answer that broke off.
const maxResumes = 2

// send sends the request to an engine and forwards the events of the answer. After events have
// been received it asks the engine to continue its answer instead.
func (x *exchange) send(address string) error {
	stream, err := x.handler.Engine.Complete(x.job.ctx, address, port.Completion{
		ID: x.job.id.String(), Priority: x.enginePriority, Body: x.body, ResumeFrom: x.events,
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	x.mayHaveRun = true
	return x.forwardEvents(stream)
}

// resume asks an engine to continue its answer. If the engine refuses or is unreachable, resume
// returns the original error: the resume did not run, but the original request did.
func (x *exchange) resume(address string, original error) error {
	err := x.send(address)
	if errors.Is(err, port.ErrNotSent) || errors.Is(err, port.ErrRefused) {
		return original
	}
	return err
}

// resumable reports whether the engine may be able to continue the answer that broke off. That
// is not a second run, so it is also allowed for requests that are not repeatable.
func (x *exchange) resumable(err error) bool {
	return errors.Is(err, port.ErrBroken) && x.events > 0 && x.job.ctx.Err() == nil
}

// handleFailure decides after a failed attempt whether the request is retried or refused.
func (x *exchange) handleFailure(err error) (request.Reason, request.Record) {
	x.handler.Log.V(1).Info("attempt failed", "request", x.job.id.String(), "cause", err.Error())
	notRun := errors.Is(err, port.ErrNotSent) || errors.Is(err, port.ErrRefused)
	if !notRun {
		x.mayHaveRun = true
	}
	if x.job.ctx.Err() != nil {
		x.handler.Core.Finish(x.ticket, request.RunEnd{Cost: x.servedCost(), Partial: x.mayHaveRun})
		return "", x.refuse(endReason(x.job.ctx), "", 0)
	}
	reason := retryReason(err)
	retryable := notRun || x.job.options.repeatable && !x.sink.started()
	if retryable && x.handler.Budget.Spend() {
		return reason, request.Record{}
	}
	x.handler.Core.Finish(x.ticket, request.RunEnd{Cost: x.servedCost(), Partial: x.mayHaveRun, Failed: true})
	switch {
	case retryable:
		return "", x.refuse(request.ReasonRetryBudget, failureText(err), 0)
	case errors.Is(err, port.ErrRefused):
		return "", x.refuse(request.ReasonTargetRefused, failureText(err), 0)
	default:
		return "", x.refuse(request.ReasonTargetFailed, failureText(err), 0)
	}
}

// failureText returns what callers are told of a failed attempt. The error may quote bytes that a target sent.
func failureText(err error) string {
	for _, known := range []error{port.ErrNotSent, port.ErrRefused} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return port.ErrBroken.Error()
}

// retryReason returns the reason under which a retry after err is counted.
func retryReason(err error) request.Reason {
	switch {
	case errors.Is(err, port.ErrNotSent):
		return request.RetryUnreachable
	case errors.Is(err, port.ErrRefused):
		return request.RetryRefused
	default:
		return request.RetryBroken
	}
}

// servedCost returns the cost of what has been streamed so far, in cost units.
func (x *exchange) servedCost() float64 { return float64(x.ticket.ServedCost.Load()) }

// forwardEvents forwards the engine's events to the sink until the answer ends.
func (x *exchange) forwardEvents(stream port.Stream) error {
	for {
		data, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		x.events++
		x.ticket.ServedCost.Add(1)
		if err := x.sink.event(data, stream.HasBuffered()); err != nil {
			return err
		}
		if httpserver.CallerDisconnected(x.writer) {
			x.job.cancel(errCallerGone)
			return errCallerGone
		}
	}
}

// complete finishes the answer and reports the request's cost: by the engine's token counts if
// it sent them, otherwise by the number of events.
func (x *exchange) complete() request.Record {
	cost := x.servedCost()
	if u := x.sink.reportedUsage(); u.Completion > 0 {
		cost = float64(u.Prompt)*x.pool.PromptCost + float64(u.Completion)
	}
	x.handler.Core.Finish(x.ticket, request.RunEnd{Cost: cost})
	return x.sink.finish()
}

// refuse ends the request with an error: as the answer, or as an event if a streamed answer has
// already started.
func (x *exchange) refuse(reason request.Reason, detail string, retryAfterSeconds int) request.Record {
	f := refusal{reason: reason, outcome: request.NotRun, detail: detail, retryAfterSeconds: retryAfterSeconds}
	if x.mayHaveRun {
		f.outcome = request.Unknown
	}
	if f.detail == "" {
		f.detail = "request was not completed: " + string(reason)
	}
	invariant.Check(f.outcome != request.NotRun || !x.sink.started(), invariant.NotRunIsTrue)
	if x.sink.started() {
		x.handler.Metrics.CountRefusal(reason)
		x.sink.abort(f)
	} else {
		x.handler.refuse(x.writer, f)
	}
	return request.Record{Outcome: f.outcome, Reason: reason, Status: reason.Status()}
}
