// Package engine is the HTTP client for model engines and plain services. It uses the standard
// library's client: that of nbhttp delivers only complete responses, but tokens must be
// streamed as they are generated.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/httpanswer"
	"github.com/stepcroft/stepcroft/internal/port"
)

// Headers and paths of the engine protocol; docs/ENGINE.md describes it.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	// HeaderNotRun is set by a target on a response to a request that it did not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderResumeFrom asks an engine to continue a response that ended early; its value is the
	// number of events already received. The engine confirms with HeaderResumed.
	HeaderResumeFrom = "X-Resume-From"
	HeaderResumed    = "X-Resumed"
	PathCompletion   = "/v1/chat/completions"
	PathCacheEvents  = "/v1/cache/events"
	PathOrders       = "/v1/orders"
	PathKV           = "/v1/kv/"
	PathLoad         = "/v1/load"
)

const (
	// dialTimeout bounds the time to connect to a target.
	dialTimeout = time.Second
	// streamBufferSize is the size of a stream's read buffer in bytes. An event that does not
	// fit into it breaks the stream.
	streamBufferSize = 4 << 10
	// maxIdleConns and maxIdleConnsPerTarget bound the idle connections kept. In a large fleet a
	// router sends requests to every engine, but rarely to the same one.
	maxIdleConns          = 1024
	maxIdleConnsPerTarget = 256
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 5 * time.Second
	// maxLoadBody bounds the body of a load report, in bytes.
	maxLoadBody = 64 << 10
)

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
	eventEnd   = []byte("\n\n")
)

// maxHeadBytes bounds the head of an answer.
const maxHeadBytes = 64 << 10

// Client sends requests to targets. Create one with New. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	answers *httpanswer.Transport
}

// Stats counts what targets sent since the start.
type Stats struct {
	// InvalidAnswers counts answers that were given up because HTTP does not have them.
	InvalidAnswers int64 `json:"invalid_answers"`
}

// New returns a client with its own connection pool.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConnsPerTarget,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      streamBufferSize,
		WriteBufferSize:     streamBufferSize,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	answers := httpanswer.New(transport)
	return &Client{http: &http.Client{Transport: answers, CheckRedirect: dontFollowRedirects}, answers: answers}
}

// Stats returns the counts since the start.
func (c *Client) Stats() Stats { return Stats{InvalidAnswers: c.answers.Invalid()} }

// dontFollowRedirects makes the client return a redirect as the response, which goes to the
// caller: a target must not decide where the router sends a request.
func dontFollowRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Stop closes the idle connections.
func (c *Client) Stop() { c.http.CloseIdleConnections() }

// Complete sends a chat completion request to an engine. The error wraps ErrNotSent or
// ErrRefused if the engine certainly did not run the request, and ErrBroken otherwise.
func (c *Client) Complete(ctx context.Context, address string, completion port.Completion) (port.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	header := http.Header{
		"Content-Type":  {"application/json"},
		HeaderRequestID: {completion.ID},
		HeaderPriority:  {strconv.Itoa(completion.Priority)},
	}
	if completion.ResumeFrom > 0 {
		header.Set(HeaderResumeFrom, strconv.Itoa(completion.ResumeFrom))
	}
	res, err := c.send(ctx, http.MethodPost, "http://"+address+PathCompletion, header, completion.Body)
	if err != nil {
		cancel()
		return nil, errors.Wrapf(err, "complete at %s", address)
	}
	if res.StatusCode != http.StatusOK {
		defer cancel()
		defer res.Body.Close()
		return nil, errors.Wrapf(statusError(res), "complete at %s: status %d", address, res.StatusCode)
	}
	if completion.ResumeFrom > 0 && res.Header.Get(HeaderResumed) == "" {
		defer cancel()
		defer res.Body.Close()
		return nil, errors.Wrapf(port.ErrBroken, "complete at %s: engine does not resume", address)
	}
	return &stream{body: res.Body, reader: bufio.NewReaderSize(res.Body, streamBufferSize), cancel: cancel}, nil
}

// statusError returns the error for a response with an unexpected status.
func statusError(res *http.Response) error {
	if res.Header.Get(HeaderNotRun) != "" {
		return port.ErrRefused
	}
	return port.ErrBroken
}

// send sends a request. Its error wraps ErrNotSent if no byte of the request was written, and
// ErrBroken if the response was lost after that.
func (c *Client) send(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	var headerWritten atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { headerWritten.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, url, unrewindableBody{bytes.NewReader(body)})
	if err != nil {
		return nil, errors.Wrap(port.ErrNotSent, err.Error())
	}
	req.Header = header
	req.ContentLength = int64(len(body))
	res, err := c.http.Do(req)
	if err == nil {
		return res, nil
	}
	if !headerWritten.Load() {
		return nil, errors.Wrap(port.ErrNotSent, err.Error())
	}
	return nil, errors.Wrap(port.ErrBroken, err.Error())
}

// unrewindableBody hides the type of a request body so that net/http cannot rewind it. Otherwise
// net/http by itself retries a request whose response is lost on a reused connection, if the
// method or an Idempotency-Key header allows that. Only the router may decide about retries.
type unrewindableBody struct{ io.Reader }

// Load returns the load that an engine reports.
func (c *Client) Load(ctx context.Context, address string) (port.EngineLoad, error) {
	var load port.EngineLoad
	res, err := c.send(ctx, http.MethodGet, "http://"+address+PathLoad, http.Header{}, nil)
	if err != nil {
		return load, errors.Wrapf(err, "load of %s", address)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return load, errors.Wrapf(port.ErrBroken, "load of %s: status %d", address, res.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxLoadBody)).Decode(&load)
	return load, errors.Wrapf(err, "load of %s", address)
}

// Call sends a request to a plain service. Its errors are those of Complete. A response without a length or chunks, whose
// end cannot be told from that of the service, ends with ErrBroken.
func (c *Client) Call(ctx context.Context, address string, call port.Call) (port.Response, error) {
	header := call.Header.Clone()
	header.Set(HeaderRequestID, call.ID)
	res, err := c.send(ctx, call.Method, "http://"+address+call.Path, header, call.Body)
	if err != nil {
		return port.Response{}, errors.Wrapf(err, "call %s", address)
	}
	if res.Header.Get(HeaderNotRun) != "" {
		res.Body.Close()
		return port.Response{}, errors.Wrapf(port.ErrRefused, "call %s: status %d", address, res.StatusCode)
	}
	return port.Response{Status: res.StatusCode, Header: res.Header, Body: framedBody(res)}, nil
}

// framedBody returns the body of a response, of which a part never looks complete: without a length or chunks, the end of
// the connection shows nothing, as the kernel closes those of a process that was killed.
func framedBody(res *http.Response) io.ReadCloser {
	if res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.Body == http.NoBody {
		return res.Body
	}
	return unframedBody{res.Body}
}

// unframedBody is a body that ends with its connection.
type unframedBody struct{ io.ReadCloser }

func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = errors.Wrap(port.ErrBroken, "response has neither a length nor chunks")
	}
	return n, err
}

// stream implements port.Stream by reading server-sent events.
type stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	cancel context.CancelFunc
}

// Next returns the data of the next event that has any.
func (s *stream) Next() ([]byte, error) {
	for {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			return nil, errors.Wrap(port.ErrBroken, err.Error())
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneData) {
			return nil, io.EOF
		}
		return data, nil
	}
}

// HasBuffered reports whether a complete event is in the read buffer.
func (s *stream) HasBuffered() bool {
	buffered, err := s.reader.Peek(s.reader.Buffered())
	return err == nil && bytes.Contains(buffered, eventEnd)
}

// Close cancels the request and closes its connection.
func (s *stream) Close() {
	s.cancel()
	s.body.Close()
}
