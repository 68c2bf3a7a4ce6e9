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
	// serviceTries is the most instances of a service that a call is sent to.
	serviceTries = 3
	// maxAnswer is the largest answer of a plain service, in bytes.
	maxAnswer = 4 << 20
)

// inFlight counts this router's calls in progress by target.
type inFlight struct {
	mu     sync.Mutex
	counts map[string]int
}

func (f *inFlight) add(target string, n int) {
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

// least returns the box with the fewest calls in progress, ties at random.
func (f *inFlight) least(boxes []config.Box) config.Box {
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

// service passes a call to a plain service. Such a call is not repeatable
// unless the caller says that it is.
func (h *Handler) service(w http.ResponseWriter, r *http.Request, o config.Organisation) {
	t, err := readTerms(r.Header, false, clock.Now())
	if err != nil {
		h.refuse(w, refusalOf(err))
		return
	}
	body, err := readBody(r)
	if err != nil {
		h.refuse(w, refusalOf(err))
		return
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePrefix), "/")
	boxes := h.instances(name)
	if len(boxes) == 0 {
		h.refuse(w, refusal{reason: request.ReasonUnknownService, detail: "no instance of service " + name})
		return
	}
	j, ok := h.open(w, r, o, t)
	if !ok {
		return
	}
	call := port.Call{
		ID: j.id.String(), Method: r.Method, Path: "/" + path, Header: passedOn(r.Header), Body: body,
	}
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	c := &serviceCall{handler: h, job: j, writer: w, call: call, boxes: boxes}
	h.close(j, c.run())
}

// instances returns the boxes of a service that are not leaving.
func (h *Handler) instances(name string) []config.Box {
	var list []config.Box
	for _, b := range h.Core.Snapshot().Boxes(config.RoleService) {
		if b.Pool == name && !b.Leaving {
			list = append(list, b)
		}
	}
	return list
}

// passedOn returns the headers that go to a service or come from it: no
// credentials, and nothing that concerns the connection.
func passedOn(header http.Header) http.Header {
	out := header.Clone()
	for _, name := range []string{"Authorization", "Connection", "Host", "Content-Length", "Transfer-Encoding", "Keep-Alive"} {
		out.Del(name)
	}
	return out
}

// serviceCall is a call to a plain service on its way through the router.
type serviceCall struct {
	handler *Handler
	job     *job
	writer  http.ResponseWriter
	call    port.Call
	boxes   []config.Box
	seen    bool
}

func (c *serviceCall) run() request.Record {
	c.handler.Budget.Earn()
	for try := 1; ; try++ {
		box := c.handler.busy.least(c.boxes)
		invariant.Check(!c.seen || c.job.terms.repeatable, invariant.RunsOnce)
		record, err := c.attempt(box)
		if err == nil {
			return record
		}
		notRun := errors.Is(err, port.ErrNotSent) || errors.Is(err, port.ErrRefused)
		c.seen = c.seen || !notRun
		if c.job.ctx.Err() != nil {
			return c.refuse(reasonOf(c.job.ctx), err)
		}
		if !notRun && !c.job.terms.repeatable {
			return c.refuse(request.ReasonTargetFailed, err)
		}
		c.boxes = without(c.boxes, box)
		if try == serviceTries || len(c.boxes) == 0 {
			return c.refuse(request.ReasonTargetRefused, err)
		}
		if !c.handler.Budget.Spend() {
			return c.refuse(request.ReasonRetryBudget, err)
		}
		c.handler.Metrics.CountRetry(retryReason(err))
	}
}

func without(boxes []config.Box, gone config.Box) []config.Box {
	var list []config.Box
	for _, b := range boxes {
		if b.Name != gone.Name {
			list = append(list, b)
		}
	}
	return list
}

// attempt sends the call to one instance and passes its answer on once it is
// whole.
func (c *serviceCall) attempt(box config.Box) (request.Record, error) {
	c.handler.busy.add(box.Name, 1)
	defer c.handler.busy.add(box.Name, -1)
	answer, err := c.handler.Service.Call(c.job.ctx, box.Address, c.call)
	if err != nil {
		return request.Record{}, err
	}
	defer answer.Body.Close()
	var body bytes.Buffer
	n, err := io.Copy(&body, io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil {
		return request.Record{}, errors.Wrap(port.ErrBroken, err.Error())
	}
	if n > maxAnswer {
		return request.Record{}, errors.Wrapf(port.ErrBroken, "answer is larger than %d bytes", maxAnswer)
	}
	return c.pass(answer, body.Bytes()), nil
}

func (c *serviceCall) pass(answer port.Response, body []byte) request.Record {
	contentType := answer.Header.Get("Content-Type")
	for name, values := range passedOn(answer.Header) {
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

func (c *serviceCall) refuse(reason request.Reason, err error) request.Record {
	f := refusal{reason: reason, outcome: request.NotRun, detail: err.Error()}
	if c.seen {
		f.outcome = request.Unknown
	}
	c.handler.refuse(c.writer, f)
	return request.Record{Outcome: f.outcome, Reason: reason, Status: reason.Status()}
}
