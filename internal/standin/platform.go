// Package standin provides stand-ins of the systems that routers talk to, for tests and
// demonstrations: the platform's object API, model engines and plain services. Each speaks the
// protocol that docs/ describes and can simulate faults.
package standin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/httpserver"
	"github.com/stepcroft/stepcroft/internal/port"
)

const (
	// writesPerSecond and readsPerSecond are the rates above which the platform refuses calls.
	writesPerSecond = 100
	readsPerSecond  = 2000
	// maxWatchWait is the longest time that a call for changes may wait for one.
	maxWatchWait = 30 * time.Second
	// objectPrefix is the path prefix of objects; kind and name follow.
	objectPrefix = "/v1/objects/"
)

// Platform is a stand-in of the platform's object API that keeps the objects in memory. Use
// NewPlatform to make one.
type Platform struct {
	faultSwitch
	server *httpserver.Server
	calls  atomic.Int64

	mu sync.Mutex
	// revision counts the writes.
	revision uint64
	// objects holds the objects by kind/name.
	objects map[string]port.Object
	// changed is closed, and replaced, with each write.
	changed chan struct{}
	// closed is closed by Stop.
	closed       chan struct{}
	writeLimiter rateLimiter
	readLimiter  rateLimiter
}

// rateLimiter is a token bucket. It allows bursts as large as the number of calls in one second.
type rateLimiter struct {
	// rate is the number of calls per second.
	rate   float64
	tokens float64
	// lastRefill is the time when tokens was last updated.
	lastRefill time.Time
}

// allow takes a token and returns true, or returns false if there is none.
func (m *rateLimiter) allow(now time.Time) bool {
	m.tokens = min(m.tokens+m.rate*now.Sub(m.lastRefill).Seconds(), m.rate)
	m.lastRefill = now
	if m.tokens < 1 {
		return false
	}
	m.tokens--
	return true
}

// NewPlatform starts a platform without objects that listens on address.
func NewPlatform(address string) (*Platform, error) {
	p := &Platform{
		objects:      map[string]port.Object{},
		changed:      make(chan struct{}),
		closed:       make(chan struct{}),
		writeLimiter: rateLimiter{rate: writesPerSecond},
		readLimiter:  rateLimiter{rate: readsPerSecond},
	}
	var err error
	p.server, err = httpserver.New(address, p, httpserver.Options{MaxConnections: 4096, Pollers: 1})
	return p, err
}

// Address returns the address that the platform listens on.
func (p *Platform) Address() string { return p.server.Address() }

// Stop stops the platform and ends all calls that wait for changes.
func (p *Platform) Stop() {
	close(p.closed)
	p.server.Stop()
}

// Calls returns the number of calls received since the start, without those that set faults.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/faults" {
		p.serveFaults(w, r)
		return
	}
	p.calls.Add(1)
	if !p.applyFaults(w) {
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/v1/changes":
		p.serveChanges(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, objectPrefix):
		p.serveObject(w, strings.TrimPrefix(r.URL.Path, objectPrefix))
	case r.Method == http.MethodPut && strings.HasPrefix(r.URL.Path, objectPrefix):
		p.servePut(w, r, strings.TrimPrefix(r.URL.Path, objectPrefix))
	default:
		http.Error(w, "no such call", http.StatusNotFound)
	}
}

// serveChanges returns the objects changed after a revision. If there are none, it waits for a
// change for up to the requested time in milliseconds.
func (p *Platform) serveChanges(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	if !p.allow(&p.readLimiter) {
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		changes, changed := p.since(since)
		if len(changes.Objects) > 0 || wait == 0 {
			writeJSON(w, http.StatusOK, changes)
			return
		}
		select {
		case <-changed:
		case <-p.closed:
			wait = 0
		case <-timer.C:
			wait = 0
		}
	}
}

// allow reports whether one more call is within the rate of m.
func (p *Platform) allow(m *rateLimiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return m.allow(clock.Now())
}

// since returns the objects changed after a revision, and a channel that is closed at the next
// change.
func (p *Platform) since(revision uint64) (port.Changes, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := port.Changes{Revision: p.revision}
	for _, o := range p.objects {
		if o.Revision > revision {
			out.Objects = append(out.Objects, o)
		}
	}
	slices.SortFunc(out.Objects, func(a, b port.Object) int { return cmp.Compare(a.Revision, b.Revision) })
	if p.faults().ReverseChanges {
		slices.Reverse(out.Objects)
	}
	return out, p.changed
}

func (p *Platform) serveObject(w http.ResponseWriter, key string) {
	if !p.allow(&p.readLimiter) {
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	p.mu.Lock()
	o, ok := p.objects[key]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request, key string) {
	var o port.Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.allow(&p.writeLimiter) {
		http.Error(w, "too many writes", http.StatusTooManyRequests)
		return
	}
	o.Kind, o.Name, _ = strings.Cut(key, "/")
	stored, err := p.Put(o)
	if p.faults().LoseAnswers {
		http.Error(w, "answer lost", http.StatusGatewayTimeout)
		return
	}
	if err != nil {
		writeJSON(w, http.StatusConflict, stored)
		return
	}
	writeJSON(w, http.StatusOK, stored)
}

// Put writes an object and returns it with its new version if the version stored is o.Version.
// Otherwise it returns the stored object and port.ErrConflict.
func (p *Platform) Put(o port.Object) (port.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := o.Kind + "/" + o.Name
	if stored := p.objects[key]; stored.Version != o.Version {
		return stored, port.ErrConflict
	}
	p.revision++
	o.Version++
	o.Revision = p.revision
	p.objects[key] = o
	close(p.changed)
	p.changed = make(chan struct{})
	return o, nil
}

// Seed writes an object over any stored version, with spec encoded as JSON.
func (p *Platform) Seed(kind, name string, spec any) error {
	body, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	p.mu.Lock()
	stored := p.objects[kind+"/"+name]
	p.mu.Unlock()
	_, err = p.Put(port.Object{Kind: kind, Name: name, Version: stored.Version, Spec: body})
	return err
}
