// Package classify finds out what a caller asks for: the route, service and organisation of a request, its sizes and
// its deadline, by its head and the routing table in force. It reads heads that the HTTP server has parsed, and the
// start of a connection's input before that.
package classify

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/httphead"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// Classifier reads the heads of requests. Use New to create one. It may be used by several goroutines.
type Classifier struct {
	names forward.HeaderNames
	// headNames are those of them that are read before the HTTP server gets a request.
	headNames httphead.Names
	table     atomic.Pointer[routing.Table]
}

// New returns a classifier without a routing table.
func New(names forward.HeaderNames) *Classifier {
	return &Classifier{
		names:     names,
		headNames: httphead.Names{ID: names.RequestID, PromptSize: names.PromptSize, OutputHint: names.OutputHint},
	}
}

// Configure puts a new routing table in force.
func (c *Classifier) Configure(t *routing.Table) { c.table.Store(t) }

// Table returns the routing table in force, or nil if there is none yet.
func (c *Classifier) Table() *routing.Table { return c.table.Load() }

// Request returns what the head of a request that arrived at a time says before it is identified.
func (c *Classifier) Request(r *http.Request, arrived time.Time) forward.Request {
	return forward.Request{
		ID: r.Header.Get(c.names.RequestID), Method: r.Method, URI: r.RequestURI, Host: r.Host, Arrived: arrived,
		LastEventID: r.Header.Get(c.names.LastEventID), Resumes: r.Header.Get(c.names.Resumes),
	}
}

// Identify sets a request's route, organisation, regions and service by a routing table and its header, and its
// sizes. If it returns a result with a status, the request is refused.
func (c *Classifier) Identify(t *routing.Table, out *forward.Request, h http.Header) forward.Result {
	if result := identify(t, out, h.Get("Authorization")); result.Status != 0 {
		return result
	}
	out.Input, out.Output = parseSizes(h.Get(c.names.PromptSize), h.Get(c.names.OutputHint))
	return forward.Result{}
}

// identify is Identify without the sizes, given the Authorization header.
func identify(t *routing.Table, out *forward.Request, authorization string) forward.Result {
	route, ok := t.Lookup(out.Host, out.Path())
	if !ok {
		return refusal.New(http.StatusNotFound, refusal.NoRoute, 0)
	}
	out.Route = route
	if t.NeedsKey(route) {
		if out.Organisation, ok = t.OrganisationOf(bearer(authorization)); !ok {
			return refusal.New(http.StatusUnauthorized, refusal.Unauthorized, 0)
		}
	}
	out.Regions = t.RegionsOf(route, out.Organisation)
	out.Service = route.Service(out.FirstID())
	service, _ := t.Service(out.Service)
	out.ToEngine, out.HealthPath = service.Engine != nil, service.HealthPath
	return forward.Result{}
}

// Parse is httphead.Parse with the names of the headers in use.
func (c *Classifier) Parse(b []byte) (h httphead.Head, size int, ok bool) {
	return httphead.Parse(b, &c.headNames)
}

// requestOf converts a request's head to a request without route and organisation.
func requestOf(h httphead.Head) forward.Request {
	out := forward.Request{ID: string(h.ID), Method: string(h.Method), URI: string(h.Target), Host: string(h.Host)}
	out.Input, out.Output = parseSizes(string(h.PromptSize), string(h.OutputHint))
	return out
}

// ReadHead returns the request at the start of b, with its organisation if that is known. If b does not
// hold a complete head of the usual form, it returns a request that has at most an id.
func (c *Classifier) ReadHead(b []byte) forward.Request {
	h, _, ok := c.Parse(b)
	if !ok {
		return forward.Request{ID: httphead.ID(b, c.names.RequestID)}
	}
	out := requestOf(h)
	if t := c.Table(); t != nil {
		identify(t, &out, string(h.Authorization))
	}
	return out
}

// ForEngine returns the request of a head, and reports whether it is a proper one to an engine.
func (c *Classifier) ForEngine(h httphead.Head) (r forward.Request, ok bool) {
	out := requestOf(h)
	t := c.Table()
	if t == nil || out.ID == "" {
		return out, false
	}
	limit := t.Limits().BodyBytes
	if limit > 0 && h.BodyLength > limit {
		return out, false
	}
	if result := identify(t, &out, string(h.Authorization)); result.Status != 0 {
		return out, false
	}
	return out, out.ToEngine
}
