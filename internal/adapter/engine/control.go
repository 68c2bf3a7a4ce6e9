package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/port"
)

// maxControlBody bounds the body of a response to a control call, in bytes. The largest is an
// exported KV cache.
const maxControlBody = 64 << 20

// CacheEvents returns an engine's cache events after sequence number since.
func (c *Client) CacheEvents(ctx context.Context, address string, since uint64) ([]port.CacheEvent, error) {
	path := PathCacheEvents + "?since=" + strconv.FormatUint(since, 10)
	body, err := c.control(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return nil, err
	}
	var events []port.CacheEvent
	return events, errors.Wrapf(json.Unmarshal(body, &events), "cache events of %s", address)
}

// Order sends an order to an engine.
func (c *Client) Order(ctx context.Context, address string, o port.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	_, err = c.control(ctx, http.MethodPost, address, PathOrders, body)
	return err
}

// ExportKV returns the KV cache of the request with this id, whose response ended early.
func (c *Client) ExportKV(ctx context.Context, address, id string) ([]byte, error) {
	return c.control(ctx, http.MethodGet, address, PathKV+url.PathEscape(id), nil)
}

// ImportKV hands an engine the KV cache of a request that another engine exported.
func (c *Client) ImportKV(ctx context.Context, address, id string, data []byte) error {
	_, err := c.control(ctx, http.MethodPut, address, PathKV+url.PathEscape(id), data)
	return err
}

// control makes a call other than a completion and returns the whole body of the response.
func (c *Client) control(ctx context.Context, method, address, path string, body []byte) ([]byte, error) {
	res, err := c.send(ctx, method, "http://"+address+path, http.Header{}, body)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s at %s", method, path, address)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return nil, errors.Wrapf(port.ErrFenced, "%s %s at %s", method, path, address)
	case http.StatusNotFound:
		return nil, errors.Wrapf(port.ErrNotFound, "%s %s at %s", method, path, address)
	default:
		return nil, errors.Wrapf(port.ErrBroken, "%s %s at %s: status %d", method, path, address, res.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(framedBody(res), maxControlBody))
	return data, errors.Wrapf(err, "%s %s at %s", method, path, address)
}
