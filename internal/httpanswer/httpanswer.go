// Package httpanswer tells the answers of HTTP/1 from other bytes that a server sends in their place, which the standard
// library returns as answers.
package httpanswer

import (
	"bufio"
	"bytes"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrInvalid means that what a server sent is no final answer of HTTP/1.
var ErrInvalid = errors.New("no answer of HTTP")

// maxStatus is the highest status (RFC 9110, section 15).
const maxStatus = 599

// check returns an error unless a head is that of an answer to a request that does not ask for another protocol. Minor
// versions above 1 are lawful (RFC 9110, section 2.5).
func check(res *http.Response) error {
	switch {
	case res.ProtoMajor != 1:
		return errors.Wrapf(ErrInvalid, "version %s", res.Proto)
	case res.StatusCode < http.StatusContinue || res.StatusCode > maxStatus:
		return errors.Wrapf(ErrInvalid, "status %03d", res.StatusCode)
	case res.StatusCode == http.StatusSwitchingProtocols:
		return errors.Wrapf(ErrInvalid, "status %d without a request for it", res.StatusCode)
	}
	return nil
}

var (
	oldVersion       = []byte("HTTP/1.0 ")
	transferEncoding = []byte("transfer-encoding:")
)

// hasFaultyFraming reports whether an answer of HTTP/1.0 has a Transfer-Encoding (RFC 9112, section 6.1), which
// http.ReadResponse drops. It sees no more of the head than the reader's buffer holds.
func hasFaultyFraming(r *bufio.Reader) bool {
	if b, _ := r.Peek(len(oldVersion)); !bytes.Equal(b, oldVersion) {
		return false
	}
	for {
		b, _ := r.Peek(r.Buffered())
		for line := range bytes.Lines(b) {
			line = bytes.TrimRight(line, "\r\n")
			if len(line) == 0 {
				return false
			}
			if len(line) >= len(transferEncoding) && bytes.EqualFold(line[:len(transferEncoding)], transferEncoding) {
				return true
			}
		}
		if _, err := r.Peek(len(b) + 1); err != nil {
			return false
		}
	}
}

// Read reads the head of the final answer to a request with a method. It skips interim (1xx) answers.
func Read(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		if hasFaultyFraming(r) {
			return nil, errors.Wrap(ErrInvalid, "HTTP/1.0 with a Transfer-Encoding")
		}
		res, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := check(res); err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}

// Transport is an http.RoundTripper that fails instead of returning what is no answer. Use New to create one. It is safe
// for concurrent use.
type Transport struct {
	next    http.RoundTripper
	invalid atomic.Int64
}

// New returns a transport whose answers are those of next.
func New(next http.RoundTripper) *Transport { return &Transport{next: next} }

// Invalid returns the number of answers that were invalid.
func (t *Transport) Invalid() int64 { return t.invalid.Load() }

// RoundTrip implements http.RoundTripper. Its error wraps ErrInvalid if the answer was invalid.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := check(res); err != nil {
		t.invalid.Add(1)
		_ = res.Body.Close()
		// Without content, the connection is kept already, and the true answer may follow on it.
		t.CloseIdleConnections()
		return nil, err
	}
	return res, nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
