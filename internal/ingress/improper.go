package ingress

import (
	"bytes"
	"strconv"
	"sync"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/httphead"
)

// ReasonImproper means that what the caller sent is no proper request, so that the HTTP server refused it before a
// handler ran.
const ReasonImproper forward.Reason = "improper-request"

// arrivedHead is what is kept of a head until its handler runs, for the refusal if it is no proper one: the id if the
// head is of the usual form, otherwise its first bytes.
type arrivedHead struct {
	id     string
	buffer *[maxKeptHead]byte
	length int
}

// maxKeptHead bounds the bytes that are kept of a head.
const maxKeptHead = 4 << 10

var headBuffers = sync.Pool{New: func() any { return new([maxKeptHead]byte) }}

// keep keeps the first bytes of a head.
func (h *arrivedHead) keep(b []byte) {
	h.buffer = headBuffers.Get().(*[maxKeptHead]byte)
	h.length = copy(h.buffer[:], b)
}

// add adds bytes that follow those kept, if any are.
func (h *arrivedHead) add(b []byte) {
	if h.buffer != nil {
		h.length += copy(h.buffer[h.length:], b)
	}
}

// drop drops what is kept.
func (h *arrivedHead) drop() {
	if h.buffer != nil {
		headBuffers.Put(h.buffer)
	}
	*h = arrivedHead{}
}

// requestID returns the request's id, or "" if it is not known.
func (h *arrivedHead) requestID(header string) string {
	if h.buffer == nil {
		return h.id
	}
	return httphead.ID(h.buffer[:h.length], header)
}

// refuseImproper writes the HTTP server's refusal of what has been read, with the id if that has one.
func (c *conn) refuseImproper(answer []byte) (int, error) {
	if c.betweenRequests {
		c.takeBuffered()
	}
	s := c.server
	r := forward.Request{ID: c.head.requestID(s.headerNames.RequestID)}
	result := refused(statusOf(answer), ReasonImproper, 0)
	if c.callerEnded.Load() {
		result.Reason = forward.ReasonCallerGone
	}
	c.request.Load().Decide(clock.Now(), r.ID, EndOf(result))
	text := answer
	if line, rest, ok := bytes.Cut(answer, lineEnd); ok && r.ID != "" {
		text = bytes.Join([][]byte{line, []byte(s.headerNames.RequestID + ": " + r.ID), rest}, lineEnd)
	}
	n, err := c.writeAnswer(text)
	s.observer.RequestEnded(r, result, 0)
	if err != nil {
		return min(n, len(answer)), err
	}
	return len(answer), nil
}

var lineEnd = []byte("\r\n")

// statusOf returns the status of an answer, or 0 if it has none.
func statusOf(answer []byte) int {
	_, rest, _ := bytes.Cut(answer, []byte(" "))
	status, _, _ := bytes.Cut(rest, []byte(" "))
	// A status that is no number is 0.
	n, _ := strconv.Atoi(string(status))
	return n
}
