package ingress

import (
	"bytes"
	"strconv"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/forward"
)

// ReasonImproper means that what the caller sent is no proper request, so that the HTTP server refused it before a
// handler ran.
const ReasonImproper forward.Reason = "improper-request"

// refuseImproper writes the HTTP server's refusal of what has been read, with the id if that has one.
func (c *conn) refuseImproper(answer []byte) (int, error) {
	if c.betweenRequests {
		c.takeBuffered()
	}
	s := c.server
	r := forward.Request{ID: c.head.RequestID(s.headerNames.RequestID)}
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
