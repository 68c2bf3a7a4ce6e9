package ingress

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/forward"
)

// An organisation that sends many times its share can keep a small box busy
// with refusals alone. These are therefore given before the HTTP server sees
// the request, at a fraction of the cost, and with the body taken so that the
// connection can be used again. Everything unusual goes to the HTTP server.

// refuseQuickly answers a request whose first bytes are given if it is to be
// refused for its organisation's waiting requests. It returns false, and has
// done nothing, if the HTTP server is to serve the request.
func (s *Server) refuseQuickly(c *conn, first []byte) (bool, error) {
	if s.closing.Load() {
		return false, nil
	}
	arrived := clock.Now()
	h, size, ok := parseHead(first, &s.dialect)
	if !ok {
		return false, nil
	}
	left := h.length - (len(first) - size)
	r, why := s.crowded(h)
	if why == "" || left < 0 {
		return false, nil
	}
	r.Arrived = arrived
	if err := discard(c, left); err != nil {
		return false, err
	}
	v := refused(http.StatusServiceUnavailable, why, crowdedAfter())
	if _, err := c.Write(s.quickAnswer(r.ID, v, false)); err != nil {
		return false, errors.Wrap(err, "write refusal")
	}
	s.observer.Ended(r, v, clock.Since(arrived))
	return true, errors.Wrap(c.SetReadDeadline(clock.Deadline(idleTimeout)), "wait for the next request")
}

// request returns the request of a head, without its organisation.
func (h quickHead) request() forward.Request {
	out := forward.Request{ID: string(h.id), Method: string(h.method), URI: string(h.target), Host: string(h.host)}
	out.Input, out.Output = sizes(string(h.size), string(h.hint))
	return out
}

// readHead returns the request that bytes begin with, with its organisation if that is known,
// and the zero request where they hold no whole head.
func (s *Server) readHead(b []byte) forward.Request {
	h, _, ok := parseHead(b, &s.dialect)
	if !ok {
		return forward.Request{}
	}
	out := h.request()
	if t := s.table.Load(); t != nil {
		s.identify(t, &out, string(h.authorization))
	}
	return out
}

// crowded returns the request of a head and why it is to be refused, or "".
func (s *Server) crowded(h quickHead) (forward.Request, forward.Reason) {
	out := h.request()
	t := s.table.Load()
	if t == nil || out.ID == "" {
		return out, ""
	}
	limit := t.Limits().BodyBytes
	if limit > 0 && h.length > limit {
		return out, ""
	}
	if v := s.identify(t, &out, string(h.authorization)); v.Status != 0 {
		return out, ""
	}
	if !out.ToEngine {
		return out, ""
	}
	return out, s.forwarder.Crowded(out.Organisation, offer(out))
}

// quickAnswer returns a refusal as it is written; last tells the caller that the connection
// ends with it.
func (s *Server) quickAnswer(id string, v forward.Result, last bool) []byte {
	b := make([]byte, 0, 256)
	b = append(b, "HTTP/1.1 503 Service Unavailable\r\n"...)
	if id != "" {
		b = append(b, s.dialect.RequestID+": "+id+"\r\n"...)
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "Retry-After: "+retryAfter(v.RetryAfter)+"\r\n"...)
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\n"...)
	b = append(b, "Content-Length: "+strconv.Itoa(len(v.Reason)+1)+"\r\n\r\n"...)
	return append(b, string(v.Reason)+"\n"...)
}

// scratchSize is the size of a buffer for bytes that nobody needs.
const scratchSize = 16 << 10

// scratch holds such buffers.
var scratch = sync.Pool{New: func() any { return new([scratchSize]byte) }}

// discard reads n bytes.
func discard(c *conn, n int) error {
	if n == 0 {
		return nil
	}
	if err := c.SetReadDeadline(clock.Deadline(bodyTimeout)); err != nil {
		return errors.Wrap(err, "discard body")
	}
	buffer := scratch.Get().(*[scratchSize]byte)
	defer scratch.Put(buffer)
	for n > 0 {
		got, err := c.receive(buffer[:min(n, len(buffer))])
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

// quickHead is what a quick refusal needs of a request's head.
type quickHead struct {
	method, target, host, id, authorization []byte
	// size and hint are the prompt's size and the guess of the tokens out.
	size, hint []byte
	// length is that of the body, in bytes.
	length int
}

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
	version = []byte(" HTTP/1.1")
)

// parseHead reads a request's head and returns its size. It returns false
// for one that is not whole, and for all that is unusual: a body whose length
// is not given exactly once, folded lines, the end of the connection asked
// for.
func parseHead(b []byte, names *forward.Dialect) (h quickHead, size int, ok bool) {
	end := bytes.Index(b, headEnd)
	if end < 0 {
		return h, 0, false
	}
	first, rest, _ := bytes.Cut(b[:end], lineEnd)
	if !h.requestLine(first) {
		return h, 0, false
	}
	for len(rest) > 0 {
		var l []byte
		l, rest, _ = bytes.Cut(rest, lineEnd)
		if !h.header(l, names) {
			return h, 0, false
		}
	}
	return h, end + len(headEnd), h.host != nil
}

func (h *quickHead) requestLine(l []byte) bool {
	l, ok := bytes.CutSuffix(l, version)
	if !ok {
		return false
	}
	h.method, h.target, ok = bytes.Cut(l, []byte(" "))
	return ok && len(h.target) > 0 && h.target[0] == '/' && !bytes.ContainsRune(h.target, ' ')
}

// header takes a header line into account.
func (h *quickHead) header(l []byte, names *forward.Dialect) bool {
	name, value, ok := bytes.Cut(l, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return false
	}
	value = bytes.TrimSpace(value)
	switch {
	case equal(name, "Host"):
		return once(&h.host, value)
	case equal(name, "Authorization"):
		return once(&h.authorization, value)
	case equal(name, names.RequestID):
		return once(&h.id, value)
	case equal(name, names.PromptSize):
		return once(&h.size, value)
	case equal(name, names.OutputHint):
		return once(&h.hint, value)
	case equal(name, "Content-Length"):
		n, err := strconv.ParseUint(string(value), 10, 31)
		seen := h.length != 0
		h.length = int(n)
		return err == nil && !seen && n > 0
	case equal(name, "Transfer-Encoding"), equal(name, "Connection"), equal(name, "Expect"), equal(name, "Upgrade"):
		return false
	}
	return true
}

// once sets a header that may stand in a request once.
func once(to *[]byte, value []byte) bool {
	if *to != nil {
		return false
	}
	*to = value
	return true
}

func equal(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}
