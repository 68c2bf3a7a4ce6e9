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
	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

// An organisation that sends many times its share can keep a small box busy with refusals
// alone. Its requests are therefore refused before the HTTP server sees them, at a fraction of
// the cost. The body is read and discarded, so that the connection can be reused. Requests in
// any unusual form go to the HTTP server.

// refuseQuickly answers a request that starts with the given bytes if it is to be refused
// because of its organisation's load. It returns false, and has done nothing, if the HTTP
// server is to serve the request, and io.EOF if the refusal is the last answer on the connection.
// length is the request's length in bytes, or lengthUnknown.
func (s *Server) refuseQuickly(c *conn, first []byte) (refuse bool, length int, err error) {
	arrived := clock.Now()
	h, size, ok := parseHead(first, &s.headerNames)
	length = h.length(size, ok)
	if length < len(first) || s.closing.Load() {
		return false, length, nil
	}
	r, reason := s.overloadReason(h)
	if reason == "" {
		return false, length, nil
	}
	r.Arrived = arrived
	if err := discard(c, length-len(first)); err != nil {
		return false, length, err
	}
	result := refused(http.StatusServiceUnavailable, reason, overloadRetryAfter())
	last := c.received || c.conns.announceClose(false)
	c.request.Load().Decide(clock.Now(), r.ID, lifecycle.Refused)
	c.unanswered.Store(false)
	if _, err := c.Write(s.formatRefusal(r.ID, result, last)); err != nil {
		return false, length, errors.Wrap(err, "write refusal")
	}
	c.endRequest("")
	s.observer.RequestEnded(r, result, clock.Since(arrived))
	if last {
		return true, length, io.EOF
	}
	return true, length, errors.Wrap(c.SetReadDeadline(clock.Deadline(idleTimeout)), "wait for the next request")
}

// request converts a request's head to a request without route and organisation.
func (h quickHead) request() forward.Request {
	out := forward.Request{ID: string(h.id), Method: string(h.method), URI: string(h.target), Host: string(h.host)}
	out.Input, out.Output = parseSizes(string(h.promptSize), string(h.outputHint))
	return out
}

// readHead returns the request at the start of b, with its organisation if that is known. If b does not
// hold a complete head of the usual form, it returns a request that has at most an id.
func (s *Server) readHead(b []byte) forward.Request {
	h, _, ok := parseHead(b, &s.headerNames)
	if !ok {
		return forward.Request{ID: arrivedID(b, s.headerNames.RequestID)}
	}
	out := h.request()
	if t := s.table.Load(); t != nil {
		s.identify(t, &out, string(h.authorization))
	}
	return out
}

// overloadReason returns the request of a head and the reason to refuse it because of its
// organisation's load, or "".
func (s *Server) overloadReason(h quickHead) (forward.Request, forward.Reason) {
	out := h.request()
	t := s.table.Load()
	if t == nil || out.ID == "" {
		return out, ""
	}
	limit := t.Limits().BodyBytes
	if limit > 0 && h.bodyLength > limit {
		return out, ""
	}
	if result := s.identify(t, &out, string(h.authorization)); result.Status != 0 {
		return out, ""
	}
	if !out.ToEngine {
		return out, ""
	}
	return out, s.forwarder.ShedReason(out.Organisation, requestSize(out))
}

// formatRefusal returns the bytes of a refusal; if last is set, its header says that the
// connection is closed.
func (s *Server) formatRefusal(id string, result forward.Result, last bool) []byte {
	b := make([]byte, 0, 256)
	b = append(b, "HTTP/1.1 503 Service Unavailable\r\n"...)
	if id != "" {
		b = append(b, s.headerNames.RequestID+": "+id+"\r\n"...)
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "Retry-After: "+retryAfter(result.RetryAfter)+"\r\n"...)
	b = append(b, "Content-Type: text/plain; charset=utf-8\r\n"...)
	b = append(b, "Content-Length: "+strconv.Itoa(len(result.Reason)+1)+"\r\n\r\n"...)
	return append(b, string(result.Reason)+"\n"...)
}

// scratchSize is the size, in bytes, of a buffer for input that is discarded.
const scratchSize = 16 << 10

// scratchBuffers holds buffers for input that is discarded.
var scratchBuffers = sync.Pool{New: func() any { return new([scratchSize]byte) }}

// discard reads n bytes of a request's body and drops them.
func discard(c *conn, n int) error {
	if n == 0 {
		return nil
	}
	if err := c.SetReadDeadline(clock.Deadline(bodyTimeout)); err != nil {
		return errors.Wrap(err, "discard body")
	}
	buffer := scratchBuffers.Get().(*[scratchSize]byte)
	defer scratchBuffers.Put(buffer)
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

// quickHead holds the values of a request's head that are needed to refuse the request.
type quickHead struct {
	method, target, host, id, authorization []byte
	// promptSize and outputHint are the header values that parseSizes parses.
	promptSize, outputHint []byte
	// bodyLength is the length of the body, in bytes.
	bodyLength int
}

// length returns the length of the request whose head parseHead has parsed, given parseHead's other
// results.
func (h quickHead) length(size int, ok bool) int {
	if !ok {
		return lengthUnknown
	}
	return size + h.bodyLength
}

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
	version = []byte(" HTTP/1.1")

	lineFeed, carriageReturn = []byte("\n"), []byte("\r")
)

// parseHead parses the head of a request and returns its size in bytes. It returns false if
// the head is incomplete, or unusual and so left to the HTTP server: for example without a Host,
// with a repetition of a header that is read here, with a Content-Length that is not a positive
// number, with folded lines, with a bare line feed or carriage return, in which the server sees
// the end of a line, or with a Connection, Transfer-Encoding, Expect or Upgrade header.
func parseHead(b []byte, names *forward.HeaderNames) (h quickHead, size int, ok bool) {
	end := bytes.Index(b, headEnd)
	if end < 0 {
		return h, 0, false
	}
	first, rest, _ := bytes.Cut(b[:end], lineEnd)
	if !h.requestLine(first) {
		return h, 0, false
	}
	lines := 0
	for ; len(rest) > 0; lines++ {
		var l []byte
		l, rest, _ = bytes.Cut(rest, lineEnd)
		if !h.header(l, names) {
			return h, 0, false
		}
	}
	if bytes.Count(b[:end], lineFeed) != lines || bytes.Count(b[:end], carriageReturn) != lines {
		return h, 0, false
	}
	return h, end + len(headEnd), len(h.host) > 0
}

// requestLine parses the request line, without its line end. It returns false if the HTTP server
// is to parse the request.
func (h *quickHead) requestLine(l []byte) bool {
	l, ok := bytes.CutSuffix(l, version)
	if !ok {
		return false
	}
	h.method, h.target, ok = bytes.Cut(l, []byte(" "))
	return ok && len(h.method) > 0 && len(h.target) > 0 && h.target[0] == '/' && !bytes.ContainsRune(h.target, ' ')
}

// header parses a header line, without its line end. It returns false if the HTTP server is to
// parse the request.
func (h *quickHead) header(l []byte, names *forward.HeaderNames) bool {
	name, value, ok := cutHeader(l)
	if !ok {
		return false
	}
	switch {
	case equalNames(name, "Host"):
		return setOnce(&h.host, value)
	case equalNames(name, "Authorization"):
		return setOnce(&h.authorization, value)
	case equalNames(name, names.RequestID):
		return isPrintable(value) && setOnce(&h.id, value)
	case equalNames(name, names.PromptSize):
		return setOnce(&h.promptSize, value)
	case equalNames(name, names.OutputHint):
		return setOnce(&h.outputHint, value)
	case equalNames(name, "Content-Length"):
		n, err := strconv.ParseUint(string(value), 10, 31)
		repeated := h.bodyLength != 0
		h.bodyLength = int(n)
		return err == nil && !repeated && n > 0
	case equalNames(name, "Transfer-Encoding"), equalNames(name, "Connection"), equalNames(name, "Expect"), equalNames(name, "Upgrade"):
		return false
	}
	return true
}

// cutHeader cuts a header line. It returns false if the line is folded or has no name.
func cutHeader(l []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(l, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return nil, nil, false
	}
	for len(value) > 0 && isBlank(value[0]) {
		value = value[1:]
	}
	for len(value) > 0 && isBlank(value[len(value)-1]) {
		value = value[:len(value)-1]
	}
	return name, value, true
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// isPrintable reports whether a header's value can be sent back as it is.
func isPrintable(value []byte) bool {
	for _, c := range value {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

// setOnce sets *field to the value of a header, and returns false if it is set already, since the
// header must not be repeated.
func setOnce(field *[]byte, value []byte) bool {
	if *field != nil {
		return false
	}
	*field = value
	if value == nil {
		*field = []byte{}
	}
	return true
}

// equalNames reports whether a header's name is want, ignoring case.
func equalNames(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}
