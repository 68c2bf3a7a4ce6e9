package httpcaller

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/port"
	"github.com/stepcroft/stepcroft/internal/request"
)

const (
	servicePrefix = "/v1/services/"
	// maxServiceAttempts is the maximum number of instances to which one call is sent.
	maxServiceAttempts = 3
	// maxServiceBody is the maximum size of the body of a plain service's answer, in bytes.
	maxServiceBody = 4 << 20
)

// inFlightCounter counts this router's calls in progress by target.
type inFlightCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (f *inFlightCounter) add(target string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[string]int{}
	}
	f.counts[target] += n
	if f.counts[target] == 0 {
		delete(f.counts, target)
	}
}

// leastLoaded returns the box with the fewest calls in progress. It starts its search at a random
// box, which wins ties.
func (f *inFlightCounter) leastLoaded(boxes []config.Box) config.Box {
	f.mu.Lock()
	defer f.mu.Unlock()
	best := boxes[rand.IntN(len(boxes))]
	for _, b := range boxes {
		if f.counts[b.Name] < f.counts[best.Name] {
			best = b
		}
	}
	return best
}

// service serves a call to a plain service. A call is not repeatable unless the caller marks it
// as repeatable.
func (h *Handler) service(w http.ResponseWriter, r *http.Request, o config.Organisation) {
	opts, err := parseOptions(r.Header, false, clock.Now())
	if err != nil {
		h.refuse(w, refusalFor(err))
		return
	}
	body, err := readBody(r)
	if err != nil {
		h.refuse(w, refusalFor(err))
		return
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePrefix), "/")
	boxes := h.instances(name)
	if len(boxes) == 0 {
		h.refuse(w, refusal{reason: request.ReasonUnknownService, detail: "no instance of service " + name})
		return
	}
	j, ok := h.accept(w, r, o, opts)
	if !ok {
		return
	}
	call := port.Call{
		ID: j.id.String(), Method: r.Method, Path: "/" + path, Header: endToEndHeader(r.Header), Body: body,
	}
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	c := &serviceCall{handler: h, job: j, writer: w, call: call, boxes: boxes}
	h.finish(j, c.run())
}

// instances returns the boxes of a service that are not shutting down.
func (h *Handler) instances(name string) []config.Box {
	var list []config.Box
	for _, b := range h.Core.Snapshot().Boxes(config.RoleService) {
		if b.Pool == name && !b.Leaving {
			list = append(list, b)
		}
	}
	return list
}

// endToEndHeader returns the headers that are forwarded to and from a service: without the
// caller's credentials and without those of the connection.
func endToEndHeader(header http.Header) http.Header {
	out := header.Clone()
	for _, name := range []string{"Authorization", "Connection", "Host", "Content-Length", "Transfer-Encoding", "Keep-Alive"} {
		out.Del(name)
	}
	return out
}

// serviceCall handles one call to a plain service.
type serviceCall struct {
	handler *Handler
	job     *job
	writer  http.ResponseWriter
	call    port.Call
	boxes   []config.Box
	// mayHaveRun is set once an instance may have run the call.
	mayHaveRun bool
}

// run sends the call to instances until one answers or no retry is allowed, and returns the
// record of the request.
func (c *serviceCall) run() request.Record {
	c.handler.Budget.Earn()
	for try := 1; ; try++ {
		box := c.handler.inFlight.leastLoaded(c.boxes)
		invariant.Check(!c.mayHaveRun || c.job.options.repeatable, invariant.RunsOnce)
		record, err := c.attempt(box)
		if err == nil {
			return record
		}
		c.handler.Log.V(1).Info("attempt failed", "request", c.job.id.String(), "cause", err.Error())
		notRun := errors.Is(err, port.ErrNotSent) || errors.Is(err, port.ErrRefused)
		c.mayHaveRun = c.mayHaveRun || !notRun
		if c.job.ctx.Err() != nil {
			return c.refuse(endReason(c.job.ctx), "")
		}
		if !notRun && !c.job.options.repeatable {
			return c.refuse(request.ReasonTargetFailed, failureText(err))
		}
		c.boxes = without(c.boxes, box)
		if try == maxServiceAttempts || len(c.boxes) == 0 {
			return c.refuse(request.ReasonTargetRefused, failureText(err))
		}
		if !c.handler.Budget.Spend() {
			return c.refuse(request.ReasonRetryBudget, failureText(err))
		}
		c.handler.Metrics.CountRetry(retryReason(err))
	}
}

// without returns the boxes other than excluded.
func without(boxes []config.Box, excluded config.Box) []config.Box {
	var list []config.Box
	for _, b := range boxes {
		if b.Name != excluded.Name {
			list = append(list, b)
		}
	}
	return list
}

// attempt sends the call to one instance. It forwards the answer only once it is complete, so
// that a call whose answer breaks off can still be retried.
func (c *serviceCall) attempt(box config.Box) (request.Record, error) {
	c.handler.inFlight.add(box.Name, 1)
	defer c.handler.inFlight.add(box.Name, -1)
	answer, err := c.handler.Service.Call(c.job.ctx, box.Address, c.call)
	if err != nil {
		return request.Record{}, err
	}
	defer answer.Body.Close()
	var body bytes.Buffer
	n, err := io.Copy(&body, io.LimitReader(answer.Body, maxServiceBody+1))
	if err != nil {
		return request.Record{}, errors.Wrap(port.ErrBroken, err.Error())
	}
	if n > maxServiceBody {
		return request.Record{}, errors.Wrapf(port.ErrBroken, "answer is larger than %d bytes", maxServiceBody)
	}
	return c.writeAnswer(answer, body.Bytes()), nil
}

// writeAnswer sends a complete answer to the caller and returns the record of the request.
func (c *serviceCall) writeAnswer(answer port.Response, body []byte) request.Record {
	contentType := answer.Header.Get("Content-Type")
	for name, values := range endToEndHeader(answer.Header) {
		c.writer.Header()[name] = values
	}
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.Header().Set(HeaderOutcome, string(request.Completed))
	c.writer.WriteHeader(answer.Status)
	_, _ = c.writer.Write(body)
	return request.Record{
		Outcome: request.Completed, Status: answer.Status, ContentType: contentType, Body: body,
	}
}

// refuse ends the call with an error and returns the record of the request.
func (c *serviceCall) refuse(reason request.Reason, detail string) request.Record {
	f := refusal{reason: reason, outcome: request.NotRun, detail: detail}
	if c.mayHaveRun {
		f.outcome = request.Unknown
	}
	c.handler.refuse(c.writer, f)
	return request.Record{Outcome: f.outcome, Reason: reason, Status: reason.Status()}
}
