// Package routing holds what operators have configured: which route a
// request takes, which service answers it and which organisation a key
// belongs to. A table is immutable; a new configuration makes a new one.
package routing

import (
	"hash/fnv"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalid means that a configuration contradicts itself.
var ErrInvalid = errors.New("invalid routing configuration")

// Kind says whether a route's requests may be repeated.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests may reach one target at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may be sent again after any failure.
	Idempotent
	// Streaming requests are answered with events. They are repeated only by
	// resuming, and only on resumable routes.
	Streaming
)

// Share is a part of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the route's other shares.
	Weight int
}

// Route says where requests with a host and a path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares has at least one element.
	Shares []Share
	// MaxAttempts is the most targets that one request may be sent to.
	MaxAttempts int
	// Timeout is the longest time that a request may be held.
	Timeout time.Duration
	// Goal is the time to the answer, or to its first event, that callers aim
	// for.
	Goal time.Duration
	// MaxPause is the longest pause between events that callers aim for.
	MaxPause time.Duration
	// Priority is the route's rank, 0 the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Sticky routes name the shared parts of their prompts.
	Sticky bool
	// Resumable streams may be continued at another engine.
	Resumable bool
}

// Repeatable reports whether a request of the route may run again after it
// may have run, from its beginning or from where it broke off.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service for the request with the given id, by weight.
// The same id always gets the same service.
func (r *Route) Service(id string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	h := fnv.New32a()
	h.Write([]byte(id))
	at := int(h.Sum32()) % total
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[0].Service
}

// Service is a group of targets that answer the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one target, from all callers.
	MaxConnections int
	// ColdRate is the number of requests a second that a target bears while it is cold, 0
	// for one that never is; ColdTime is for how long it is cold after a start.
	ColdRate float64
	ColdTime time.Duration
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is an engine's memory for prompts and answers, in tokens.
	CacheTokens int
}

// Limits bound what callers may send and use.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is what the engines produce together, a token read
	// counted once and a token made twice.
	TokensPerSecond float64
}

// Organisation is who pays for requests.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int
}

// Spec is what a table is made from.
type Spec struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Table is one version of the configuration. Use New to make one.
type Table struct {
	version       int64
	routes        map[string]map[string]*Route
	services      map[string]Service
	keys          map[string]string
	organisations int
	limits        Limits
	// goals has the shortest goal of the routes to each service.
	goals map[string]time.Duration
}

// New checks s and returns its table.
func New(s Spec) (*Table, error) {
	t := &Table{
		version:       s.Version,
		routes:        map[string]map[string]*Route{},
		services:      make(map[string]Service, len(s.Services)),
		keys:          map[string]string{},
		organisations: len(s.Organisations),
		limits:        s.Limits,
		goals:         map[string]time.Duration{},
	}
	for _, service := range s.Services {
		t.services[service.Name] = service
	}
	for _, o := range s.Organisations {
		for _, k := range o.Keys {
			t.keys[k] = o.Name
		}
	}
	for i := range s.Routes {
		if err := t.add(&s.Routes[i]); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *Table) add(r *Route) error {
	if len(r.Shares) == 0 {
		return errors.Wrapf(ErrInvalid, "route %s has no service", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return errors.Wrapf(ErrInvalid, "route %s: path prefix %q does not begin with a slash", r.Name, r.Prefix)
	}
	host := strings.ToLower(r.Host)
	if t.routes[host] == nil {
		t.routes[host] = map[string]*Route{}
	}
	t.routes[host][r.Prefix] = r
	for _, share := range r.Shares {
		if old, ok := t.goals[share.Service]; r.Goal > 0 && (!ok || r.Goal < old) {
			t.goals[share.Service] = r.Goal
		}
	}
	return nil
}

// Version returns the operators' number of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds on callers.
func (t *Table) Limits() Limits { return t.limits }

// Organisations returns the number of organisations.
func (t *Table) Organisations() int { return t.organisations }

// Lookup returns the route with the longest prefix of path at host.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	routes := t.routes[strings.ToLower(host)]
	if routes == nil {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = t.routes[strings.ToLower(name)]
		}
	}
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r, ok := routes[path[:end]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service of that name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// ShortestGoal returns the shortest goal of the routes to a service; 0 if none
// has one.
func (t *Table) ShortestGoal(service string) time.Duration { return t.goals[service] }

// Holder returns the organisation that holds a key.
func (t *Table) Holder(key string) (string, bool) {
	name, ok := t.keys[key]
	return name, ok
}

// NeedsKey reports whether a request on r must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return t.organisations > 0 && !r.Public }
