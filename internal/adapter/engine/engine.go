// Package engine talks to model engines and plain services over HTTP. It
// uses the standard library's client: nbhttp's hands over an answer only
// when it is whole, and tokens must pass as they come.
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

	"github.com/stepcroft/stepcroft/internal/port"
)

// Headers and paths of the engine protocol; docs/ENGINE.md describes it.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	// HeaderNotRun is set by a target on an answer to a request that it did
	// not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderResumeFrom asks an engine to continue an answer that broke off
	// after so many events; the engine confirms with HeaderResumed.
	HeaderResumeFrom = "X-Resume-From"
	HeaderResumed    = "X-Resumed"
	PathCompletion   = "/v1/chat/completions"
	PathCacheEvents  = "/v1/cache/events"
	PathOrders       = "/v1/orders"
	PathKV           = "/v1/kv/"
	PathLoad         = "/v1/load"
)

const (
	dialTimeout = time.Second
	// lineBuffer is the size of a stream's read buffer, in bytes; one event
	// must fit into it.
	lineBuffer = 4 << 10
	// maxIdle and maxIdleOne bound the unused connections kept, to all targets
	// and to one of them. A router meets every engine of a large fleet, but
	// each of them seldom.
	maxIdle    = 1024
	maxIdleOne = 256
	// idleTimeout is for how long an unused connection is kept.
	idleTimeout = 5 * time.Second
	// maxLoadBody bounds a load report, in bytes.
	maxLoadBody = 64 << 10
)

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
	eventEnd   = []byte("\n\n")
)

// Client talks to targets. Use New to make one; it is safe for use by many
// goroutines.
type Client struct {
	http *http.Client
}

// New returns a client with connections of its own.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdleOne,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      lineBuffer,
		WriteBufferSize:     lineBuffer,
	}
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: notFollowed}}
}

// notFollowed hands redirects to the caller: where a request goes is not for a
// target to say.
func notFollowed(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Stop closes the unused connections.
func (c *Client) Stop() { c.http.CloseIdleConnections() }

// Complete sends a chat request to an engine. An error wraps ErrNotSent or
// ErrRefused where the engine certainly did not run it.
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
		return nil, errors.Wrapf(refusal(res), "complete at %s: status %d", address, res.StatusCode)
	}
	if completion.ResumeFrom > 0 && res.Header.Get(HeaderResumed) == "" {
		defer cancel()
		defer res.Body.Close()
		return nil, errors.Wrapf(port.ErrBroken, "complete at %s: engine does not resume", address)
	}
	return &stream{body: res.Body, reader: bufio.NewReaderSize(res.Body, lineBuffer), cancel: cancel}, nil
}

func refusal(res *http.Response) error {
	if res.Header.Get(HeaderNotRun) != "" {
		return port.ErrRefused
	}
	return port.ErrBroken
}

// send sends a request and tells a target that was not reached from one
// whose answer was lost.
func (c *Client) send(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Response, error) {
	var begun atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { begun.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, url, once{bytes.NewReader(body)})
	if err != nil {
		return nil, errors.Wrap(port.ErrNotSent, err.Error())
	}
	req.Header = header
	req.ContentLength = int64(len(body))
	res, err := c.http.Do(req)
	if err == nil {
		return res, nil
	}
	if !begun.Load() {
		return nil, errors.Wrap(port.ErrNotSent, err.Error())
	}
	return nil, errors.Wrap(port.ErrBroken, err.Error())
}

// once is a body that the standard client cannot rewind. It sends a request
// again by itself, where an answer is lost on a connection used before, if the
// method or a header of the caller's says that it may and the body can be
// rewound; whether a request is sent again is for the router alone to say.
type once struct{ io.Reader }

// Load asks an engine for its load.
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

// Call passes a request to a plain service.
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
	return port.Response{Status: res.StatusCode, Header: res.Header, Body: res.Body}, nil
}

// stream reads server-sent events.
type stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	cancel context.CancelFunc
}

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

func (s *stream) HasBuffered() bool {
	waiting, err := s.reader.Peek(s.reader.Buffered())
	return err == nil && bytes.Contains(waiting, eventEnd)
}

func (s *stream) Close() {
	s.cancel()
	s.body.Close()
}
