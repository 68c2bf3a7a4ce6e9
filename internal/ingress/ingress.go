// Package ingress takes requests from callers over HTTP/1.1, finds their
// routes and organisations, and hands them to the forwarder. It serves on the
// standard library's server: nbhttp's tells a handler only after it returns
// that its caller has gone, and engines must stop work at once then.
package ingress

import (
	"context"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

const (
	// headerTimeout bounds the time in which a request's head must come. The
	// server is set up before the configured limit is known; this is above
	// those in use.
	headerTimeout = 10 * time.Second
	// idleTimeout is for how long an unused connection is kept; callers use
	// connections again up to the configured limit, which is below this.
	idleTimeout = 60 * time.Second
	// maxHeader bounds a request's head, in bytes, for the same reason.
	maxHeader = 64 << 10
	// bodyTimeout bounds the time in which a body must come.
	bodyTimeout = 10 * time.Second
	// defaultWait is for how long a caller waits that does not say.
	defaultWait = 30 * time.Second
	// defaultBody is the largest body taken where no limit is configured.
	defaultBody = 4 << 20
	// maxHeld bounds the bodies held at a time, in bytes: a quarter of the
	// smallest box's memory.
	maxHeld = 32 << 20
	// notReadyAfter is when to come back to a router without configuration.
	notReadyAfter = 500 * time.Millisecond
	// leavingAfter is when to come back to the fleet from a router that stops:
	// the caller chooses another one at once.
	leavingAfter = 50 * time.Millisecond
)

// Reasons for refusing a request that are not the forwarder's.
const (
	ReasonBadRequest   forward.Reason = "bad-request"
	ReasonNoRoute      forward.Reason = "no-route"
	ReasonUnauthorized forward.Reason = "unknown-key"
	ReasonTooLarge     forward.Reason = "body-too-large"
	ReasonBodyTimeout  forward.Reason = "body-timeout"
	ReasonNotReady     forward.Reason = "not-ready"
	ReasonLeaving      forward.Reason = "router-leaving"
	ReasonProcessFull  forward.Reason = "process-full"
	ReasonCrowded      forward.Reason = forward.ReasonOrganisationQueueFull
)

const (
	// crowdedLeast and crowdedSpread are when to come back after a refusal for
	// too many waiting requests: the organisation asks for several times its
	// share, and the next seconds will be no better.
	crowdedLeast  = time.Second
	crowdedSpread = time.Second
)

func crowdedAfter() time.Duration { return crowdedLeast + rand.N(crowdedSpread) }

// Observer is told of each request that ended.
type Observer interface {
	Ended(r forward.Request, v forward.Result, took time.Duration)
}

// Server is the callers' side of a router. Use New to make one.
type Server struct {
	dialect   forward.HeaderNames
	forwarder *forward.Forwarder
	observer  Observer
	log       logr.Logger
	table     atomic.Pointer[routing.Table]
	server    *http.Server
	held      atomic.Int64
	conns     *conns
	turned    turnedAway
	// maxOpen is the most requests served at a time.
	maxOpen int64
	open    atomic.Int64
	// begun counts all requests.
	begun atomic.Int64
	// closing is set when answers are to close their connections.
	closing atomic.Bool
	// paused is set while what is in force waits to be confirmed.
	paused atomic.Bool
	// end is by when requests must have ended that are still begun; nil while
	// there is no end.
	end atomic.Pointer[time.Time]
}

// Limits bound what a server takes on at a time.
type Limits struct {
	// Requests being served; others are refused unread.
	Requests int
	// Connections of callers; see conns.
	Connections int
}

// New returns a server that refuses everything until Configure is called.
func New(d forward.HeaderNames, f *forward.Forwarder, o Observer, most Limits, l logr.Logger) *Server {
	s := &Server{
		dialect: d, forwarder: f, observer: o, log: l,
		conns: newConns(most.Connections, f.ShortOfCPU), maxOpen: int64(most.Requests),
	}
	s.server = &http.Server{
		Handler:                      s,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeader,
		ConnState:                    connState,
		ConnContext:                  withConn,
		ErrorLog:                     log.New(serverLog{l}, "", 0),
		DisableGeneralOptionsHandler: true,
	}
	return s
}

// serverLog passes on what the standard library's server logs, such as panics
// of handlers.
type serverLog struct{ log logr.Logger }

func (s serverLog) Write(text []byte) (int, error) {
	s.log.Info("callers' server", "cause", strings.TrimSpace(string(text)))
	return len(text), nil
}

// Configure takes over a new configuration.
func (s *Server) Configure(t *routing.Table) { s.table.Store(t) }

// Pause makes the server refuse, as not run, all requests, or serve them again.
func (s *Server) Pause(on bool) { s.paused.Store(on) }

// Ready reports whether the server has a configuration that it serves by and is not leaving.
func (s *Server) Ready() bool {
	return s.table.Load() != nil && !s.closing.Load() && !s.paused.Load()
}

// Open returns the number of requests being served.
func (s *Server) Open() int64 { return s.open.Load() }

// TurnedAway returns the number of callers that were turned away since the start because
// their connections waited too long for the processor.
func (s *Server) TurnedAway() int64 { return s.turned.all.Load() }

// Begun returns the number of requests that came since the start.
func (s *Server) Begun() int64 { return s.begun.Load() }

// Serve serves callers on l until Close.
func (s *Server) Serve(l net.Listener) error {
	err := s.server.Serve(newListener(l, s))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// Leave begins a planned stop: answers from now on ask callers to close.
func (s *Server) Leave() { s.closing.Store(true) }

// EndBy makes the server refuse, as not run, new requests whose callers may
// wait beyond end.
func (s *Server) EndBy(end time.Time) { s.end.Store(&end) }

// mayOutlast reports whether a request may take longer than the server has.
func (s *Server) mayOutlast(r forward.Request) bool {
	end := s.end.Load()
	return end != nil && r.Expires().After(*end)
}

// Shutdown closes the connections that are not used and waits for the others
// until ctx ends; then it closes them.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return errors.Wrap(s.server.Close(), err.Error())
	}
	return nil
}

// Close closes the server and all its connections at once.
func (s *Server) Close() error { return errors.Wrap(s.server.Close(), "close callers' side") }

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.begun.Add(1)
	s.open.Add(1)
	defer s.open.Add(-1)
	arrived := clock.Now()
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	request, v := s.accept(w, r, arrived)
	if v.Status != 0 {
		s.finish(w, request, v, arrived)
		return
	}
	defer s.held.Add(-int64(len(request.Body)))
	request.CallerGone = func() bool { return callerEnded(r.Context()) }
	a := &answer{w: w, flush: http.NewResponseController(w)}
	s.finish(w, request, s.forwarder.Forward(r.Context(), request, a), arrived)
}

// finish tells the caller what the result says and has not been told yet.
func (s *Server) finish(w http.ResponseWriter, r forward.Request, v forward.Result, arrived time.Time) {
	s.observer.Ended(r, v, clock.Since(arrived))
	if v.Truncated {
		panic(http.ErrAbortHandler)
	}
	if v.HeadSent {
		return
	}
	h := w.Header()
	if r.ID != "" {
		h.Set(s.dialect.RequestID, r.ID)
	}
	if v.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(v.RetryAfter))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(v.Status)
	if _, err := io.WriteString(w, string(v.Reason)+"\n"); err != nil {
		s.log.V(1).Info("refusal not delivered", "id", r.ID, "cause", err.Error())
	}
}

// retryAfter returns a time as the header says it: in seconds, in whole
// milliseconds.
func retryAfter(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*1000)/1000, 'f', -1, 64)
}

func refused(status int, why forward.Reason, after time.Duration) forward.Result {
	return forward.Result{Status: status, Reason: why, RetryAfter: after}
}

// accept checks a request. A result with a status means that it is refused.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, arrived time.Time) (forward.Request, forward.Result) {
	out := forward.Request{
		ID: r.Header.Get(s.dialect.RequestID), Method: r.Method, URI: r.RequestURI, Host: r.Host, Arrived: arrived,
	}
	t := s.table.Load()
	if t == nil || s.paused.Load() {
		return out, refused(http.StatusServiceUnavailable, ReasonNotReady, notReadyAfter)
	}
	if v := s.identify(t, &out, r.Header.Get("Authorization")); v.Status != 0 {
		return out, v
	}
	out.Input, out.Output = sizes(r.Header.Get(s.dialect.PromptSize), r.Header.Get(s.dialect.OutputHint))
	if why := s.admit(out); why != "" {
		// The body stays unread, and so the connection cannot go on.
		w.Header().Set("Connection", "close")
		return out, refused(http.StatusServiceUnavailable, why, crowdedAfter())
	}
	if s.open.Load() > s.maxOpen {
		return out, refused(http.StatusServiceUnavailable, ReasonProcessFull, notReadyAfter)
	}
	if err := s.describe(&out, r); err != nil {
		s.log.Info("request refused", "id", out.ID, "cause", err.Error())
		return out, refused(http.StatusBadRequest, ReasonBadRequest, 0)
	}
	if s.mayOutlast(out) {
		return out, refused(http.StatusServiceUnavailable, ReasonLeaving, leavingAfter)
	}
	return out, s.body(w, r, t, &out)
}

// admit returns why a request is to be refused unread, or "".
func (s *Server) admit(r forward.Request) forward.Reason {
	if !r.ToEngine {
		return ""
	}
	return s.forwarder.Admit(r.Organisation, offer(r))
}

// offer returns what a request brings.
func offer(r forward.Request) throttle.RequestSize {
	return throttle.RequestSize{Input: r.Input, Output: r.Output}
}

// identify finds a request's route, organisation and service. A result with a
// status means that it is refused.
func (s *Server) identify(t *routing.Table, out *forward.Request, authorization string) forward.Result {
	path, _, _ := strings.Cut(out.URI, "?")
	route, ok := t.Lookup(out.Host, path)
	if !ok {
		return refused(http.StatusNotFound, ReasonNoRoute, 0)
	}
	out.Route = route
	if t.NeedsKey(route) {
		if out.Organisation, ok = t.OrganisationOf(bearer(authorization)); !ok {
			return refused(http.StatusUnauthorized, ReasonUnauthorized, 0)
		}
	}
	out.Service = route.Service(out.ID)
	service, _ := t.Service(out.Service)
	out.ToEngine = service.Engine != nil
	return forward.Result{}
}

// body reads the request's body within the configured limit.
func (s *Server) body(w http.ResponseWriter, r *http.Request, t *routing.Table, out *forward.Request) forward.Result {
	limit := int64(t.Limits().BodyBytes)
	if limit <= 0 {
		limit = defaultBody
	}
	if r.ContentLength > limit {
		return refused(http.StatusRequestEntityTooLarge, ReasonTooLarge, 0)
	}
	if s.held.Load() > maxHeld {
		return refused(http.StatusServiceUnavailable, ReasonProcessFull, notReadyAfter)
	}
	if r.ContentLength == 0 {
		return forward.Result{}
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(clock.Deadline(bodyTimeout)); err != nil {
		s.log.V(1).Info("no deadline for reading", "id", out.ID, "cause", err.Error())
	}
	body, err := readBody(r, limit)
	if err != nil {
		return s.bodyFailed(w, out, err)
	}
	if int64(len(body)) > limit {
		return refused(http.StatusRequestEntityTooLarge, ReasonTooLarge, 0)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		s.log.V(1).Info("deadline for reading not lifted", "id", out.ID, "cause", err.Error())
	}
	out.Body = body
	s.held.Add(int64(len(body)))
	return forward.Result{}
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(r.Body, limit+1))
}

func (s *Server) bodyFailed(w http.ResponseWriter, out *forward.Request, err error) forward.Result {
	s.log.Info("request body not read", "id", out.ID, "cause", err.Error())
	w.Header().Set("Connection", "close")
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return refused(http.StatusRequestTimeout, ReasonBodyTimeout, 0)
	}
	return refused(http.StatusBadRequest, ReasonBadRequest, 0)
}

// answer writes a forwarded answer to the caller.
type answer struct {
	w     http.ResponseWriter
	flush *http.ResponseController
}

// Head implements forward.Caller.
func (a *answer) Head(status int, header http.Header, length int64) {
	h := a.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	a.w.WriteHeader(status)
}

// Write implements forward.Caller.
func (a *answer) Write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := a.w.Write(b); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return errors.Wrap(a.flush.Flush(), "write to caller")
}
