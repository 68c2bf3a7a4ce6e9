// Package port defines the interfaces through which the router reaches the outside world: the
// platform's object API, engines and services, and the other routers.
package port

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/message"
)

// Errors that adapters return, possibly wrapped; check for them with errors.Is.
var (
	// ErrConflict means that the object changed since it was read.
	ErrConflict = errors.New("object was changed by someone else")
	// ErrNotFound means that the requested object does not exist.
	ErrNotFound = errors.New("no such object")
	// ErrUnavailable means that the platform sent no usable response; a write may or may not
	// have taken effect.
	ErrUnavailable = errors.New("platform does not answer")
	// ErrFenced means that an engine rejected an order because it has seen a higher epoch.
	ErrFenced = errors.New("order has an outdated epoch")
	// ErrNotSent means that no byte of the request can have reached the target.
	ErrNotSent = errors.New("target was not reached")
	// ErrRefused means that the target reported that it did not run the request.
	ErrRefused = errors.New("target refused the request")
	// ErrBroken means that the target's response failed or ended early; the target may have run
	// the request.
	ErrBroken = errors.New("answer broke off")
)

// Object is one object stored in the platform's object API.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version rises by one with each change of this object; 0 means absent.
	Version uint64 `json:"version"`
	// Revision is the store-wide sequence number of the write that produced this version.
	Revision uint64 `json:"revision"`
	// Operation is an id that the writer chooses for the write. A writer that lost the response
	// reads the object back and compares ids to learn whether its write took effect.
	Operation string          `json:"operation,omitempty"`
	Deleted   bool            `json:"deleted,omitempty"`
	Spec      json.RawMessage `json:"spec,omitempty"`
}

// Changes is the response to a watch request. Objects are complete up to Revision.
type Changes struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Platform is the platform's object API.
type Platform interface {
	// Changes returns the objects changed after revision since. If there are none, it waits up
	// to wait for the first change.
	Changes(ctx context.Context, since uint64, wait time.Duration) (Changes, error)
	// Object returns the current version of one object.
	Object(ctx context.Context, kind, name string) (Object, error)
	// Put writes o if the stored version still equals o.Version (0 means that the object must
	// not exist yet) and returns the object as stored.
	Put(ctx context.Context, o Object) (Object, error)
}

// Completion is a chat completion request to an engine.
type Completion struct {
	ID string
	// Priority orders requests in the engine's queue, 0 to 9; 9 runs first.
	Priority int
	Body     []byte
	// ResumeFrom is the number of events already received of a response that ended early. If it
	// is above 0, the engine continues that response instead of running the request again.
	ResumeFrom int
}

// Stream is an engine's streamed response, read event by event.
type Stream interface {
	// Next returns the next event's data without its SSE framing, valid until the next call. It
	// returns io.EOF after the terminating event and ErrBroken if the response ends early.
	Next() ([]byte, error)
	// HasBuffered reports whether Next can return another event without waiting.
	HasBuffered() bool
	// Close closes the connection, on which the engine stops generating.
	Close()
}

// EngineLoad is the load that an engine reports about itself, in requests. It lags behind the
// actual load.
type EngineLoad struct {
	Running int  `json:"running"`
	Queued  int  `json:"queued"`
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving"`
}

// CacheEvent reports that an engine cached or evicted a prompt prefix. Events arrive late and
// some are missing, so they are only hints about the content of the cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the first message of the prompt.
	Prefix string `json:"prefix"`
	Tokens int    `json:"tokens"`
	Stored bool   `json:"stored"`
}

// Kinds of orders to engines.
const (
	OrderLoadModel   = "load-model"
	OrderLoadAdapter = "load-adapter"
	OrderSetRole     = "set-role"
)

// Order tells an engine to load a model or an adapter or to change its role. An engine that
// checks epochs rejects an order whose epoch is lower than the highest it has seen.
type Order struct {
	Epoch   uint64 `json:"epoch"`
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
}

// Engine sends requests to model engines.
type Engine interface {
	// Complete sends a completion request and returns the response as a stream.
	Complete(ctx context.Context, address string, c Completion) (Stream, error)
	// Load returns the engine's own report of its load.
	Load(ctx context.Context, address string) (EngineLoad, error)
}

// EngineControl holds the engine operations other than running requests.
type EngineControl interface {
	// CacheEvents returns the cache events after sequence number since.
	CacheEvents(ctx context.Context, address string, since uint64) ([]CacheEvent, error)
	// Order sends an order. It returns ErrFenced if the engine has seen a higher epoch.
	Order(ctx context.Context, address string, o Order) error
	// ExportKV returns the KV cache of the request with this id, whose response ended early.
	ExportKV(ctx context.Context, address, id string) ([]byte, error)
	// ImportKV hands an exported KV cache to another engine, which can then continue the
	// response.
	ImportKV(ctx context.Context, address, id string, data []byte) error
}

// Call is an HTTP request to a plain service.
type Call struct {
	ID     string
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Response is a plain service's HTTP response. The receiver closes Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Service sends requests to plain services.
type Service interface {
	// Call sends a request and returns the response, whose body may still be arriving.
	Call(ctx context.Context, address string, c Call) (Response, error)
}

// Peers sends messages to other routers. Send never blocks: a message to a router that cannot
// be reached is dropped and counted.
type Peers interface {
	Send(to message.RouterID, address string, m message.Message)
}
