// Package ingress serves callers over HTTP/1.1: it accepts their connections, finds the route
// and organisation of each request, and passes the request to the forwarder. When the router is
// short of CPU time or throttles an organisation, it refuses requests before the HTTP server
// sees them.
//
// It uses net/http and not nbhttp, because nbhttp reports a caller's disconnect to a handler
// only after the handler has returned, and engines must stop work as soon as the caller is gone.
package ingress

import (
	"context"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/arrivals"
	"github.com/stepcroft/stepcroft/internal/callerconn"
	"github.com/stepcroft/stepcroft/internal/classify"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/earlyrefusal"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/requestbody"
	"github.com/stepcroft/stepcroft/internal/room"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

const (
	// headerTimeout bounds the time that reading a request's headers takes. The server is
	// created before the configured limit is known, so this is above the limits in use.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open. It is above the configured
	// limit, up to which callers reuse their connections.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the size of a request's headers. It is above the configured limits
	// in use, as headerTimeout is.
	maxHeaderBytes = 64 << 10
)

// Observer receives the result of each request, also of refused ones.
type Observer interface {
	RequestEnded(r forward.Request, result forward.Result, took time.Duration)
}

// Server serves a router's callers. Use New to create one.
type Server struct {
	headerNames forward.HeaderNames
	classifier  *classify.Classifier
	// early refuses requests on connections that the HTTP server does not have.
	early     *earlyrefusal.Refuser
	forwarder *forward.Forwarder
	observer  Observer
	log       logr.Logger
	// confirmed is the latest time at which the store is known to have held no newer configuration.
	confirmed atomic.Pointer[time.Time]
	server    *http.Server
	bodies    *requestbody.Reader
	// arrivals has the connections that wait for their first read, room all that are open.
	arrivals *arrivals.Queue
	room     *room.Room
	conns    *callerconn.Connections
	// overloaded reports whether the router is short of CPU time.
	overloaded func() bool
	requests   *lifecycle.Tracker
	// cutRequests ends all requests that are served.
	cutRequests func()
	// handover takes new connections to other routers; nil if there is none.
	handover Handover
	// maxOpen is the maximum number of requests being served.
	maxOpen int64
	open    atomic.Int64
	// started counts the requests that reached the HTTP server.
	started atomic.Int64
	// closing is set once the router shuts down; each answer then closes its connection.
	closing atomic.Bool
	// paused is set while the configuration in force has yet to be confirmed.
	paused atomic.Bool
	// latestEnd is the time by which every request must have ended; nil if there is none.
	latestEnd atomic.Pointer[time.Time]
}

// Limits bounds a server's concurrent requests and connections.
type Limits struct {
	// Requests is the maximum number of requests being served; others are refused before
	// their body is read.
	Requests int
	// Connections is the maximum number of callers' connections.
	Connections int
}

// New returns a server that refuses all requests until Configure is called. It holds request bodies within
// the budget b and keeps account of all requests in t.
func New(names forward.HeaderNames, f *forward.Forwarder, o Observer, limits Limits, b *memory.Budget, t *lifecycle.Tracker, l logr.Logger) *Server {
	s := &Server{
		headerNames: names, classifier: classify.New(names),
		forwarder: f, observer: o, bodies: requestbody.New(b, l), requests: t, log: l,
		arrivals: arrivals.New(), overloaded: f.ShortOfCPU, maxOpen: int64(limits.Requests),
	}
	s.room = room.New(limits.Connections, s.arrivals, s.overloaded)
	s.early = earlyrefusal.New(names.RequestID, s.classifier, f, s.arrivals, t, o, l)
	s.conns = s.newConns()
	served, cut := context.WithCancelCause(context.Background())
	s.cutRequests = func() { cut(errStopped) }
	s.server = &http.Server{
		BaseContext:                  func(net.Listener) context.Context { return served },
		Handler:                      s,
		ReadHeaderTimeout:            headerTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ConnState:                    callerconn.State,
		ConnContext:                  callerconn.WithConn,
		ErrorLog:                     log.New(serverLog{l}, "", 0),
		DisableGeneralOptionsHandler: true,
	}
	return s
}

// newConns returns what callers' connections are made of.
func (s *Server) newConns() *callerconn.Connections {
	return callerconn.New(callerconn.Options{
		RequestID: s.headerNames.RequestID, Room: s.room, Classifier: s.classifier, Early: s.early, Requests: s.requests, Observer: s.observer,
		Leaving: s.closing.Load, IdleTimeout: idleTimeout, BodyTimeout: requestbody.Timeout, Log: s.log,
	})
}

// serverLog is an io.Writer that forwards the log lines of http.Server, such as panics of
// handlers, to log.
type serverLog struct{ log logr.Logger }

func (s serverLog) Write(text []byte) (int, error) {
	s.log.Info("callers' server", "cause", strings.TrimSpace(string(text)))
	return len(text), nil
}

// Configure puts a new routing table in force, which applies to requests that arrive from then
// on.
func (s *Server) Configure(t *routing.Table) { s.classifier.Configure(t) }

// Confirm notes the latest time at which the store is known to have held no newer configuration.
func (s *Server) Confirm(at time.Time) { s.confirmed.Store(&at) }

// Pause makes the server refuse all requests as not ready if paused is true, and serve them
// again otherwise.
func (s *Server) Pause(paused bool) { s.paused.Store(paused) }

// Ready reports whether the server has a configuration, is not paused, and is not shutting down.
func (s *Server) Ready() bool {
	return s.classifier.Table() != nil && !s.closing.Load() && !s.paused.Load()
}

// TakeArrivalStats returns the statistics of new connections of the time since the last call.
func (s *Server) TakeArrivalStats() arrivals.Stats {
	out := s.arrivals.TakeStats()
	out.Open, out.Received = s.room.Counts()
	return out
}

// OpenRequests returns the number of requests being served.
func (s *Server) OpenRequests() int64 { return s.open.Load() }

// RejectedConnections returns the number of connections rejected since the start because they
// waited too long for CPU time.
func (s *Server) RejectedConnections() int64 { return s.early.Rejected() }

// ClosedUnanswered returns the number of requests since the start that got neither an answer nor a
// refusal because this process closed their connections, by reason. Those of callers that had closed the
// connection before are not counted.
func (s *Server) ClosedUnanswered() map[string]int64 { return s.conns.Unanswered() }

// TotalRequests returns the number of requests that reached the HTTP server since the start.
func (s *Server) TotalRequests() int64 { return s.started.Load() }

// Serve serves callers on l until Close.
func (s *Server) Serve(l net.Listener) error {
	err := s.server.Serve(newListener(l, s))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// Leave begins a planned shutdown: from now on, each answer closes its connection.
func (s *Server) Leave() { s.closing.Store(true) }

// EndBy makes the server refuse new requests that may still be running at end.
func (s *Server) EndBy(end time.Time) { s.latestEnd.Store(&end) }

// mayOutlast reports whether a request may still be running at the time set by EndBy.
func (s *Server) mayOutlast(r forward.Request) bool {
	end := s.latestEnd.Load()
	return end != nil && r.Expires().After(*end)
}

// endOf returns a function that tells when a request ends at the latest.
func (s *Server) endOf(r forward.Request) func() time.Time {
	expires := r.Expires()
	return func() time.Time {
		if last := s.latestEnd.Load(); last != nil && last.Before(expires) {
			return *last
		}
		return expires
	}
}

// Shutdown closes idle connections and waits until the others become idle. If ctx ends first,
// it closes them too, but for those whose last request is awaited or refused, and returns the error of ctx if there were
// such, or requests were still served. Requests that begin from then on are refused.
func (s *Server) Shutdown(ctx context.Context) error {
	s.room.End()
	s.awaitBeginning(ctx)
	s.room.Stop()
	err := s.server.Shutdown(ctx)
	awaitZero(ctx, s.room.Lasting)
	lasting := s.room.Lasting()
	if err == nil && lasting > 0 {
		err = ctx.Err()
	}
	if err == nil {
		s.awaitEnds()
		return nil
	}
	open := s.open.Load()
	s.answerOpen()
	s.room.ForceClose()
	if closeErr := s.server.Close(); closeErr != nil {
		s.log.Info("HTTP server for callers not closed", "cause", closeErr.Error())
	}
	s.awaitEnds()
	if open == 0 && lasting == 0 {
		// Only connections were left, such as of callers that still sent a body that had been refused.
		return nil
	}
	return errors.Wrapf(err, "%d requests cut short, %d connections with a last answer in progress", open, lasting)
}

const (
	// maxBeginning is how long a server that shuts down waits for the rest of heads that have begun to arrive.
	maxBeginning = time.Second
	// endingInterval is the interval at which it checks for them, and for ends.
	endingInterval = 2 * time.Millisecond
)

// errStopped is why requests end that are still served at the end of a planned stop.
var errStopped = errors.New("planned stop is over")

// maxEnding is how long a server that has closed all connections waits for the ends of their requests.
const maxEnding = 50 * time.Millisecond

// answerOpen ends the requests that are still served, so that callers who have no head of an answer get one that tells so.
func (s *Server) answerOpen() {
	s.cutRequests()
	ctx, cancel := context.WithTimeout(context.Background(), maxEnding)
	defer cancel()
	// An error means that callers still send, or do not read.
	_ = s.server.Shutdown(ctx)
}

// awaitEnds waits until all requests have ended.
func (s *Server) awaitEnds() {
	for end := clock.Now().Add(maxEnding); s.requests.Sums(clock.Now()).Open > 0 && clock.Now().Before(end); {
		time.Sleep(endingInterval)
	}
}

// awaitBeginning waits until the handlers of all requests run that have begun. http.Server closes the
// connections of the others without an answer once it shuts down, even of those that it has just read.
func (s *Server) awaitBeginning(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxBeginning)
	defer cancel()
	awaitZero(ctx, s.room.Beginning)
}

// awaitZero waits until n returns 0 or ctx ends.
func awaitZero(ctx context.Context, n func() int64) {
	for n() > 0 {
		if !group.SleepUntil(ctx, clock.Now().Add(endingInterval)) {
			return
		}
	}
}

// Close closes the server and all its connections at once.
func (s *Server) Close() error {
	s.room.ForceClose()
	return errors.Wrap(s.server.Close(), "close HTTP server for callers")
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.started.Add(1)
	s.open.Add(1)
	defer s.open.Add(-1)
	arrived := clock.Now()
	c := callerconn.Of(r.Context())
	c.NoteServing()
	request := forward.Request{ID: r.Header.Get(s.headerNames.RequestID), Arrived: arrived}
	c.Account().Identify(request.ID)
	a := &answer{server: s, w: w, flush: http.NewResponseController(w), request: r}
	defer func() {
		if cause := recover(); cause != nil {
			s.handlePanic(a, request, cause)
		}
	}()
	request, body, result := s.prepare(w, r, arrived)
	if body != nil {
		defer body.Close()
	}
	if result.Status == 0 {
		request.CallerGone = c.Disconnected
		result = s.forwarder.Forward(r.Context(), request, a)
		if !result.Truncated {
			a.complete()
		}
		if result.Reason == forward.ReasonCallerGone && (c.ClosedServing() || errors.Is(context.Cause(r.Context()), errStopped)) {
			result.Reason = refusal.Stopped
		}
	}
	if !result.HeadSent && (result.Status == http.StatusServiceUnavailable && c.Received() || s.endsConnection(c, false)) {
		w.Header().Set("Connection", "close")
	}
	if result.Reason == refusal.BodyEvicted {
		defer requestbody.Discard(w, r, s.endOf(request))()
	}
	s.finish(w, r, request, result, arrived)
}

// handlePanic ends a request whose handler panicked: with an error answer, or with the connection if the caller has
// the head of another answer.
func (s *Server) handlePanic(a *answer, r forward.Request, cause any) {
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	s.log.Error(errors.Errorf("%v", cause), "handler failed", "id", r.ID, "stack", string(debug.Stack()))
	if !a.headSent {
		clear(a.w.Header())
		a.w.Header().Set("Connection", "close")
	}
	result := forward.Result{Status: http.StatusBadGateway, Reason: refusal.Panic, HeadSent: a.headSent, Truncated: a.headSent}
	s.finish(a.w, a.request, r, result, r.Arrived)
}

// finish reports a result to the observer and, unless an answer has been forwarded, writes it
// to the caller. An answer that broke off part-way is aborted, so that the caller notices.
func (s *Server) finish(w http.ResponseWriter, served *http.Request, r forward.Request, result forward.Result, arrived time.Time) {
	callerconn.Of(served.Context()).Account().Decide(clock.Now(), r.ID, refusal.EndOf(result))
	s.observer.RequestEnded(r, result, clock.Since(arrived))
	if result.Truncated {
		panic(http.ErrAbortHandler)
	}
	if result.HeadSent {
		return
	}
	if err := refusal.Write(w, s.headerNames.RequestID, r.ID, result); err != nil {
		s.log.V(1).Info("refusal not delivered", "id", r.ID, "cause", err.Error())
	}
}

// prepare parses and checks a request and reads its body. If it returns a result with a status,
// the request is refused. The caller must close the reservation of the body unless it is nil.
func (s *Server) prepare(w http.ResponseWriter, r *http.Request, arrived time.Time) (forward.Request, *memory.Reservation, forward.Result) {
	out := s.classifier.Request(r, arrived)
	t := s.classifier.Table()
	if t == nil || s.paused.Load() {
		return out, nil, refusal.New(http.StatusServiceUnavailable, refusal.NotReady, refusal.NotReadyRetryAfter)
	}
	out.ConfigVersion = t.Version()
	if at := s.confirmed.Load(); at != nil {
		out.ConfigAge = arrived.Sub(*at)
	}
	if result := s.classifier.Identify(t, &out, r.Header); result.Status != 0 {
		return out, nil, result
	}
	if reason := s.admit(out); reason != "" {
		// The body stays unread, so the connection cannot be reused.
		w.Header().Set("Connection", "close")
		return out, nil, refusal.New(http.StatusServiceUnavailable, reason, refusal.OverloadRetryAfter())
	}
	if s.open.Load() > s.maxOpen {
		return out, nil, refusal.New(http.StatusServiceUnavailable, refusal.ProcessFull, refusal.NotReadyRetryAfter)
	}
	if err := s.classifier.ApplyHeaders(&out, r); err != nil {
		s.log.Info("request refused", "id", out.ID, "cause", err.Error())
		return out, nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, 0)
	}
	if s.mayOutlast(out) {
		return out, nil, refusal.New(http.StatusServiceUnavailable, refusal.Leaving, refusal.LeavingRetryAfter)
	}
	body, result := s.bodies.Read(w, r, t.Limits().BodyBytes, &out)
	return out, body, result
}

// admit returns the reason to refuse a request before its body is read, or "".
func (s *Server) admit(r forward.Request) forward.Reason {
	if !r.ToEngine {
		return ""
	}
	return s.forwarder.Admit(r.Organisation, requestSize(r))
}

// endsConnection reports whether the answer to a request, which begins now, is to be the last one on its
// connection. long is set if it does not tell its length.
func (s *Server) endsConnection(c *callerconn.Conn, long bool) bool {
	return s.closing.Load() || c.EndsAfter(long)
}

// requestSize returns a request's size in tokens.
func requestSize(r forward.Request) throttle.RequestSize {
	return throttle.RequestSize{Input: r.Input, Output: r.Output}
}

// answer writes a target's answer to the caller.
type answer struct {
	server  *Server
	w       http.ResponseWriter
	flush   *http.ResponseController
	request *http.Request
	// headSent is set once the head has been sent.
	headSent bool
	// endsWithConnection is set if only the end of the connection tells the caller that of the answer.
	endsWithConnection bool
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
	if a.server.endsConnection(callerconn.Of(a.request.Context()), length < 0) {
		h.Set("Connection", "close")
	}
	if length < 0 && !a.request.ProtoAtLeast(1, 1) {
		// Whatever ends the answer early, even if it is the end of this process, must not look like its end.
		a.endsWithConnection = true
		callerconn.Of(a.request.Context()).SetResetOnClose(true)
	}
	a.w.WriteHeader(status)
	a.headSent = true
}

// complete marks the answer as written to its end.
func (a *answer) complete() {
	if a.endsWithConnection {
		callerconn.Of(a.request.Context()).SetResetOnClose(false)
	}
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

// Unacknowledged implements forward.Caller.
func (a *answer) Unacknowledged() int { return callerconn.Of(a.request.Context()).Unacknowledged() }

// StopWriting implements forward.Caller.
func (a *answer) StopWriting() {
	// Any time in the past does. An error means that the connection is closed already.
	_ = a.flush.SetWriteDeadline(time.Unix(1, 0))
}
