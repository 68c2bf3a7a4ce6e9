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

// gonePoll is how often a waiting request looks whether its caller is still
// there; nbhttp reports a closed connection only after the handler returns.
const gonePoll = 500 * time.Millisecond

// chatRequest is the part of a completion request that the router reads.
type chatRequest struct {
	Model    string            `json:"model"`
	Messages []json.RawMessage `json:"messages"`
	Stream   bool              `json:"stream"`
}

// parseChat reads a completion request and returns the body for the engine,
// which is always asked to stream, so that its progress can be followed.
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

// chat answers a completion request.
func (h *Handler) chat(w http.ResponseWriter, r *http.Request, o config.Organisation) {
	now := clock.Now()
	t, err := readTerms(r.Header, true, now)
	if err != nil {
		h.refuse(w, refusalOf(err))
		return
	}
	body, err := readBody(r)
	if err != nil {
		h.refuse(w, refusalOf(err))
		return
	}
	c, engineBody, err := parseChat(body)
	if err != nil {
		h.refuse(w, refusalOf(err))
		return
	}
	pool, ok := h.Core.Snapshot().Pool(c.Model)
	if !ok {
		h.refuse(w, refusal{reason: request.ReasonUnknownModel, detail: "field model: no pool serves " + c.Model})
		return
	}
	j, ok := h.open(w, r, o, t)
	if !ok {
		return
	}
	x := &exchange{
		handler: h, job: j, writer: w,
		sink: newSink(w, c, j.id, t.id != nil),
		body: engineBody, pool: pool, engineRank: o.Priority,
		ticket: request.NewTicket(request.TicketSpec{
			ID: j.id, Organisation: o.Name, Pool: pool.Name, Priority: t.priority,
			Deadline: t.deadline, Arrived: now, CostHint: t.hint,
		}),
	}
	h.close(j, x.run())
}

// exchange is one completion request on its way through the router.
type exchange struct {
	handler    *Handler
	job        *job
	writer     http.ResponseWriter
	sink       sink
	body       []byte
	pool       config.Pool
	engineRank int
	ticket     *request.Ticket
	// seen is set once a target may have run the request.
	seen bool
	// events is the number of events received from the engine that runs it.
	events int
}

// run brings the request to its end and returns the record of it.
func (x *exchange) run() request.Record {
	x.handler.Budget.Earn()
	x.handler.Core.Submit(x.ticket)
	for {
		d := x.await()
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

// await waits for the control thread's decision. However the wait ends, the
// control thread has the last word: a slot that came first must be used or
// given back.
func (x *exchange) await() request.Decision {
	poll := time.NewTicker(gonePoll)
	defer poll.Stop()
	done := x.job.ctx.Done()
	for {
		select {
		case d := <-x.ticket.Decision:
			return d
		case <-done:
			x.handler.Core.Cancel(x.ticket, reasonOf(x.job.ctx))
			done = nil
		case <-poll.C:
			if httpserver.CallerDisconnected(x.writer) {
				x.job.cancel(errGone)
			}
		}
	}
}

// attempt sends the request to one engine. It returns a reason to try again,
// or the record of the request's end.
func (x *exchange) attempt(d request.Decision) (request.Reason, request.Record) {
	if x.job.ctx.Err() != nil {
		x.handler.Core.Finish(x.ticket, request.RunEnd{})
		return "", x.refuse(reasonOf(x.job.ctx), "", 0)
	}
	invariant.Check(!x.seen || x.job.terms.repeatable, invariant.RunsOnce)
	x.events = 0
	x.sink.restart()
	x.ticket.ServedCost.Store(0)
	err := x.send(d.Address)
	for try := 0; try < maxResumes && x.resumable(err); try++ {
		x.handler.Metrics.CountRetry(request.RetryResume)
		err = x.resume(d.Address, err)
	}
	if err == nil {
		return "", x.complete()
	}
	return x.failed(err)
}

// maxResumes is how often one broken answer is asked to be continued.
const maxResumes = 2

// send sends the request to an engine, or asks it to continue its answer, and
// passes on what comes.
func (x *exchange) send(address string) error {
	stream, err := x.handler.Engine.Complete(x.job.ctx, address, port.Completion{
		ID: x.job.id.String(), Priority: x.engineRank, Body: x.body, ResumeFrom: x.events,
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	x.seen = true
	return x.pass(stream)
}

// resume asks an engine to continue. Where it refuses, the answer is as broken
// as it was: that nothing was run now says nothing of the first time.
func (x *exchange) resume(address string, broken error) error {
	err := x.send(address)
	if errors.Is(err, port.ErrNotSent) || errors.Is(err, port.ErrRefused) {
		return broken
	}
	return err
}

// resumable reports whether an answer broke off that its engine may continue.
// That is no second run, so it is done for requests of any kind.
func (x *exchange) resumable(err error) bool {
	return errors.Is(err, port.ErrBroken) && x.events > 0 && x.job.ctx.Err() == nil
}

// failed decides what becomes of a request whose attempt failed.
func (x *exchange) failed(err error) (request.Reason, request.Record) {
	x.handler.Log.V(1).Info("attempt failed", "request", x.job.id.String(), "cause", err.Error())
	notRun := errors.Is(err, port.ErrNotSent) || errors.Is(err, port.ErrRefused)
	if !notRun {
		x.seen = true
	}
	if x.job.ctx.Err() != nil {
		x.handler.Core.Finish(x.ticket, request.RunEnd{Cost: x.cost(), Partial: x.seen})
		return "", x.refuse(reasonOf(x.job.ctx), "", 0)
	}
	reason := retryReason(err)
	again := notRun || x.job.terms.repeatable && !x.sink.begun()
	if again && x.handler.Budget.Spend() {
		return reason, request.Record{}
	}
	x.handler.Core.Finish(x.ticket, request.RunEnd{Cost: x.cost(), Partial: x.seen, Failed: true})
	switch {
	case again:
		return "", x.refuse(request.ReasonRetryBudget, err.Error(), 0)
	case errors.Is(err, port.ErrRefused):
		return "", x.refuse(request.ReasonTargetRefused, err.Error(), 0)
	default:
		return "", x.refuse(request.ReasonTargetFailed, err.Error(), 0)
	}
}

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

// cost returns what has been streamed so far, in cost units.
func (x *exchange) cost() float64 { return float64(x.ticket.ServedCost.Load()) }

// pass hands the engine's events on until the answer ends.
func (x *exchange) pass(stream port.Stream) error {
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
			x.job.cancel(errGone)
			return errGone
		}
	}
}

// complete gives the whole answer and books its exact cost.
func (x *exchange) complete() request.Record {
	cost := x.cost()
	if u := x.sink.used(); u.Completion > 0 {
		cost = float64(u.Prompt)*x.pool.PromptCost + float64(u.Completion)
	}
	x.handler.Core.Finish(x.ticket, request.RunEnd{Cost: cost})
	return x.sink.end()
}

// refuse ends the request with an error: as an answer of its own, or inside
// a stream that has begun.
func (x *exchange) refuse(reason request.Reason, detail string, after int) request.Record {
	f := refusal{reason: reason, outcome: request.NotRun, detail: detail, after: after}
	if x.seen {
		f.outcome = request.Unknown
	}
	if f.detail == "" {
		f.detail = "request was not completed: " + string(reason)
	}
	invariant.Check(f.outcome != request.NotRun || !x.sink.begun(), invariant.NotRunIsTrue)
	if x.sink.begun() {
		x.handler.Metrics.CountRefusal(reason)
		x.sink.abort(f)
	} else {
		x.handler.refuse(x.writer, f)
	}
	return request.Record{Outcome: f.outcome, Reason: reason, Status: reason.Status()}
}
