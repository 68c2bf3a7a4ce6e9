// Package platform is the HTTP client of the platform's object API. docs/PLATFORM.md describes
// the protocol.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/httpanswer"
	"github.com/stepcroft/stepcroft/internal/port"
)

const (
	// watchGrace is added to a watch's wait time to get its timeout, since the platform responds
	// only after that time if nothing changes.
	watchGrace = 3 * time.Second
	// callTimeout bounds all other calls.
	callTimeout = 3 * time.Second
	// maxBody bounds the body of a response, in bytes.
	maxBody = 64 << 20
	// maxHeadBytes bounds its head.
	maxHeadBytes = 64 << 10
)

// Client calls the object API. Create one with New. It is safe for concurrent use.
type Client struct {
	base  string
	http  *http.Client
	calls atomic.Int64
}

// New returns a client of the object API at address, given as host:port.
func New(address string) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: httpanswer.New(&http.Transport{MaxResponseHeaderBytes: maxHeadBytes})}}
}

// Calls returns the number of calls made since the start.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Stop closes the idle connections.
func (c *Client) Stop() { c.http.CloseIdleConnections() }

// Changes returns the objects changed after revision since, waiting up to wait if there are
// none.
func (c *Client) Changes(ctx context.Context, since uint64, wait time.Duration) (port.Changes, error) {
	query := url.Values{
		"since": {strconv.FormatUint(since, 10)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	var out port.Changes
	err := c.call(ctx, http.MethodGet, "/v1/changes?"+query.Encode(), nil, &out)
	return out, errors.Wrapf(err, "changes since revision %d", since)
}

// Object returns the current version of one object.
func (c *Client) Object(ctx context.Context, kind, name string) (port.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out port.Object
	err := c.call(ctx, http.MethodGet, objectPath(kind, name), nil, &out)
	return out, errors.Wrapf(err, "read %s %q", kind, name)
}

// Put writes an object if its stored version still equals o.Version. If the response is lost, it
// reads the object back to learn whether the write took effect.
func (c *Client) Put(ctx context.Context, o port.Object) (port.Object, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return port.Object{}, errors.Wrapf(err, "write %s %q", o.Kind, o.Name)
	}
	stored, err := c.put(ctx, o, body)
	if errors.Is(err, port.ErrUnavailable) || errors.Is(err, port.ErrConflict) {
		if current, readErr := c.Object(ctx, o.Kind, o.Name); readErr == nil {
			return resolvePut(o, current, err)
		}
	}
	return stored, errors.Wrapf(err, "write %s %q", o.Kind, o.Name)
}

// resolvePut decides from the stored object whether a failed write of o took effect after all:
// either its response was lost, or it conflicted with an earlier attempt of the same write.
func resolvePut(o, current port.Object, err error) (port.Object, error) {
	if o.Operation != "" && current.Operation == o.Operation {
		return current, nil
	}
	return current, errors.Wrapf(err, "write %s %q over version %d, stored is %d", o.Kind, o.Name, o.Version, current.Version)
}

// put sends one write request.
func (c *Client) put(ctx context.Context, o port.Object, body []byte) (port.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out port.Object
	err := c.call(ctx, http.MethodPut, objectPath(o.Kind, o.Name), body, &out)
	return out, err
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// call sends a request and decodes the JSON response into out. Failures to get a response, and
// unexpected statuses, wrap ErrUnavailable.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	c.calls.Add(1)
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(port.ErrUnavailable, err.Error())
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxBody))
	if err != nil {
		return errors.Wrap(port.ErrUnavailable, err.Error())
	}
	switch res.StatusCode {
	case http.StatusOK:
		return errors.Wrap(json.Unmarshal(data, out), "decode response")
	case http.StatusConflict:
		return port.ErrConflict
	case http.StatusNotFound:
		return port.ErrNotFound
	}
	return errors.Wrapf(port.ErrUnavailable, "status %d", res.StatusCode)
}
