// Package routing holds the operators' configuration: the routes that requests match, the
// services that answer them, and the organisations that API keys belong to. A table is
// immutable. A new configuration makes a new table.
package routing

import (
	"hash/fnv"
	"iter"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrInvalid means that a configuration is not consistent.
var ErrInvalid = errors.New("invalid routing configuration")

// Kind says whether the requests of a route may be retried.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests may reach at most one target, once.
	NonIdempotent Kind = iota
	// Idempotent requests may be retried after any failure.
	Idempotent
	// Streaming requests are answered with a stream of events. They are retried only by
	// resuming the stream, and only on resumable routes.
	Streaming
)

// Share is the fraction of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares.
	Weight int
}

// Route maps requests with a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares has at least one element.
	Shares []Share
	// MaxAttempts is the maximum number of targets that one request may be sent to.
	MaxAttempts int
	// Timeout is the maximum duration of a request, queueing included.
	Timeout time.Duration
	// Goal is the intended latency to the answer, or to its first event.
	Goal time.Duration
	// MaxPause is the intended upper bound of the time between two events of a stream.
	MaxPause time.Duration
	// Priority is the route's priority, 0 the highest.
	Priority int
	// Public routes require no API key.
	Public bool
	// Sticky routes have requests that name their shared prompt prefixes.
	Sticky bool
	// Resumable streams may be continued by another engine after a failure.
	Resumable bool
	// Regions are the regions in which requests may be served; if empty, all.
	Regions []string
}

// Repeatable reports whether a request of the route that may have run already may be retried,
// from the start or from where its stream broke off.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service chooses the service for the request with the given id, by weight. The same id always
// gets the same service.
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
	// MaxConnections bounds the connections to one target, from all callers together.
	MaxConnections int
	// ColdRate is the number of requests per second that a target can take while it is cold, 0
	// if it never is. ColdTime is how long it is cold after its start.
	ColdRate float64
	ColdTime time.Duration
	// HealthPath is where targets answer a GET that tells whether they are well, empty if there is none.
	HealthPath string
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// CacheTokens is the size of an engine's KV cache for prompts and answers, in tokens.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream, 0 if unknown.
	EventTokens int
}

// Limits bounds what callers may send and use.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is the throughput of all engines together, where a prompt token counts
	// once and a generated one twice.
	TokensPerSecond float64
}

// Organisation is a tenant, to which requests are charged.
type Organisation struct {
	Name     string
	Keys     []string
	Priority int
	// Regions are the regions in which its requests may be served; if empty, all.
	Regions []string
}

// Spec holds the contents of a table.
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
	// goals maps each service to the shortest goal of its routes.
	goals map[string]time.Duration
	// pauses maps each service to the shortest MaxPause of its streaming routes; 0 if one of them
	// states none.
	pauses map[string]time.Duration
	// organisationRegions has the regions of the organisations, by name; those of unrestricted ones are empty.
	// restricted is set if any organisation or route is restricted.
	organisationRegions map[string][]string
	restricted          bool
}

// New checks s and returns its table.
func New(s Spec) (*Table, error) {
	t := &Table{
		version:             s.Version,
		routes:              map[string]map[string]*Route{},
		services:            make(map[string]Service, len(s.Services)),
		keys:                map[string]string{},
		organisations:       len(s.Organisations),
		limits:              s.Limits,
		goals:               map[string]time.Duration{},
		pauses:              map[string]time.Duration{},
		organisationRegions: map[string][]string{},
	}
	for _, service := range s.Services {
		t.services[service.Name] = service
	}
	for _, o := range s.Organisations {
		t.addRegions(o.Name, o.Regions)
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
	t.restricted = t.restricted || len(r.Regions) > 0
	for _, share := range r.Shares {
		if old, ok := t.goals[share.Service]; r.Goal > 0 && (!ok || r.Goal < old) {
			t.goals[share.Service] = r.Goal
		}
		if old, ok := t.pauses[share.Service]; r.Kind == Streaming && (!ok || r.MaxPause < old) {
			t.pauses[share.Service] = r.MaxPause
		}
	}
	return nil
}

// Version returns the version number that the operators gave the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds on callers.
func (t *Table) Limits() Limits { return t.limits }

// Organisations returns the number of organisations.
func (t *Table) Organisations() int { return t.organisations }

// Lookup returns the route for host whose prefix is the longest one that matches path.
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

// Routes returns all routes, in no order.
func (t *Table) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, routes := range t.routes {
			for _, r := range routes {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// Service returns the service with a name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// ShortestGoal returns the shortest goal of the routes to a service, 0 if none of them has a
// goal.
func (t *Table) ShortestGoal(service string) time.Duration { return t.goals[service] }

// OrganisationOf returns the organisation that an API key belongs to.
func (t *Table) OrganisationOf(key string) (string, bool) {
	name, ok := t.keys[key]
	return name, ok
}

// NeedsKey reports whether a request for r must carry an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.organisations > 0 && !r.Public }
