package callerconn

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/httphead"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/scratch"
)

// An organisation that sends many times its share can keep a small box busy with refusals
// alone. Its requests are therefore refused before the HTTP server sees them, at a fraction of
// the cost. The body is read and discarded, so that the connection can be reused. Requests in
// any unusual form go to the HTTP server.

// refuseQuickly answers a request that starts with the given bytes if it is to be refused
// because of its organisation's load. It returns false, and has done nothing, if the HTTP
// server is to serve the request, and io.EOF if the refusal is the last answer on the connection.
// length is the request's length in bytes, or lengthUnknown.
func (c *Conn) refuseQuickly(first []byte) (refuse bool, length int, err error) {
	s := c.shared
	arrived := clock.Now()
	h, size, ok := s.Classifier.Parse(first)
	length = requestLength(h, size, ok)
	if length < len(first) || s.Leaving() {
		c.head.Keep(first)
		return false, length, nil
	}
	r, reason := s.Early.OverloadReason(h)
	if reason == "" {
		c.head.KeepID(r.ID)
		return false, length, nil
	}
	r.Arrived = arrived
	if length > len(first) {
		c.beginRequest()
		if err := c.discard(length - len(first)); err != nil {
			return false, length, err
		}
	}
	result := refusal.New(http.StatusServiceUnavailable, reason, refusal.OverloadRetryAfter())
	last := c.place.Received() || s.Room.AnnounceClose(false)
	_, err = c.writeAnswer(refusal.Format(s.RequestID, r.ID, result, last))
	took := clock.Since(arrived)
	c.endRefused(arrived.Add(took), err)
	s.Observer.RequestEnded(r, result, took)
	if last || err != nil {
		return true, length, io.EOF
	}
	return true, length, errors.Wrap(c.SetReadDeadline(clock.Deadline(s.IdleTimeout)), "wait for the next request")
}

// discard reads n bytes of a request's body and drops them.
func (c *Conn) discard(n int) error {
	if err := c.SetReadDeadline(clock.Deadline(c.shared.BodyTimeout)); err != nil {
		return errors.Wrap(err, "discard body")
	}
	buffer := scratch.Get()
	defer buffer.Put()
	for n > 0 {
		got, err := c.readInput(buffer[:min(n, len(buffer))])
		n -= got
		if err != nil && n > 0 {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return errors.Wrap(err, "discard body")
		}
	}
	return nil
}

// requestLength returns the length of a request, in bytes, given the results of httphead.Parse.
func requestLength(h httphead.Head, size int, ok bool) int {
	if !ok {
		return lengthUnknown
	}
	return size + h.BodyLength
}
