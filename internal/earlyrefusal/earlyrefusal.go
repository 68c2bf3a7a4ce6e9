// Package earlyrefusal refuses requests on connections that the HTTP server does not have, or has done with: at a
// fraction of the cost of a handler while the router is short of CPU time or throttles an organisation, and those that
// arrive as the router shuts down. Each refusal carries a Retry-After and the request's id, if that has arrived.
package earlyrefusal

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/arrivals"
	"github.com/stepcroft/stepcroft/internal/classify"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/httphead"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/scratch"
	"github.com/stepcroft/stepcroft/internal/sockopt"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

// Shedder tells which requests are to be refused because of the load. It is implemented by forward.Forwarder.
type Shedder interface {
	// ShedReason returns the reason to refuse an organisation's request to an engine, or "".
	ShedReason(organisation string, size throttle.RequestSize) forward.Reason
}

// Observer receives the result of each refused request.
type Observer interface {
	RequestEnded(r forward.Request, result forward.Result, took time.Duration)
}

// Refuser refuses requests. Use New to create one. It may be used by several goroutines.
type Refuser struct {
	// idHeader is the header with the id of a request, in which refusals carry it.
	idHeader   string
	classifier *classify.Classifier
	shedder    Shedder
	arrivals   *arrivals.Queue
	requests   *lifecycle.Tracker
	observer   Observer
	log        logr.Logger
	rejections rejectionCounter
}

// New returns a refuser of the requests that c classifies and s sheds. It keeps account of them in t, and counts their
// connections in a.
func New(idHeader string, c *classify.Classifier, s Shedder, a *arrivals.Queue, t *lifecycle.Tracker, o Observer, l logr.Logger) *Refuser {
	return &Refuser{idHeader: idHeader, classifier: c, shedder: s, arrivals: a, requests: t, observer: o, log: l}
}

// Rejected returns the number of connections rejected since the start because they waited too
// long for CPU time.
func (f *Refuser) Rejected() int64 { return f.rejections.total.Load() }

// Conn is a new connection on which a request can be refused without blocking.
type Conn interface {
	// ReadNow reads what has arrived, without blocking, and returns the number of bytes.
	ReadNow(b []byte) int
	io.WriteCloser
}

// TCP returns a TCP connection as a Conn.
func TCP(c net.Conn) Conn { return tcpConn{c} }

// tcpConn implements Conn for a net.Conn.
type tcpConn struct{ net.Conn }

func (c tcpConn) ReadNow(b []byte) int { return sockopt.ReadNow(c.Conn, b) }

// OverloadReason returns the request of a head and the reason to refuse it because of its
// organisation's load, or "".
func (f *Refuser) OverloadReason(h httphead.Head) (forward.Request, forward.Reason) {
	out, ok := f.classifier.ForEngine(h)
	if !ok {
		return out, ""
	}
	return out, f.shedder.ShedReason(out.Organisation, throttle.RequestSize{Input: out.Input, Output: out.Output})
}

// Begin begins the account of a request of which n bytes have been read before the HTTP server gets its connection.
// It returns nil if there are none.
func (f *Refuser) Begin(n int) *lifecycle.Request {
	if n == 0 {
		return nil
	}
	return f.requests.Begin(clock.Now())
}

// RefuseOverload refuses a request that has arrived completely, if its organisation's requests
// are to be refused. It returns false, and has done nothing, if the HTTP server is to serve the
// connection.
func (f *Refuser) RefuseOverload(c Conn, account *lifecycle.Request, arrived []byte) bool {
	h, size, ok := f.classifier.Parse(arrived)
	if !ok || h.BodyLength != len(arrived)-size {
		return false
	}
	r, reason := f.OverloadReason(h)
	if reason == "" {
		return false
	}
	r.Arrived = clock.Now()
	f.refuseAndClose(c, account, r, reason, refusal.OverloadRetryAfter())
	return true
}

// Reject rejects a connection that waited too long for CPU time; the first n bytes of buffer
// have been read from it.
func (f *Refuser) Reject(c Conn, account *lifecycle.Request, buffer []byte, n int) {
	f.countRejection()
	f.RefuseArrived(c, account, buffer, n, refusal.Overdue, refusal.OverloadRetryAfter())
}

// RefuseArrived refuses a request of which the first n bytes of buffer have been read, with their account, nil if there
// is none, and closes the connection. It first reads the rest of what has arrived: the kernel resets a connection that is closed
// with unread bytes, and the caller could lose the answer.
func (f *Refuser) RefuseArrived(c Conn, account *lifecycle.Request, buffer []byte, n int, reason forward.Reason, after time.Duration) {
	n += c.ReadNow(buffer[n:])
	r := f.classifier.ReadHead(buffer[:n])
	for n == len(buffer) {
		n = c.ReadNow(buffer)
	}
	f.refuseAndClose(c, account, r, reason, after)
}

// refuseAndClose answers a request that has not run with 503 and a Retry-After, and closes the
// connection.
func (f *Refuser) refuseAndClose(c Conn, account *lifecycle.Request, r forward.Request, reason forward.Reason, after time.Duration) {
	result := refusal.New(http.StatusServiceUnavailable, reason, after)
	if account == nil {
		account = f.requests.Begin(clock.Now())
	}
	end := lifecycle.Refused
	if _, err := c.Write(refusal.Format(f.idHeader, r.ID, result, true)); err != nil {
		f.log.V(1).Info("refusal not delivered", "id", r.ID, "cause", err.Error())
		end = lifecycle.CallerGone
	}
	account.Identify(r.ID)
	account.Close(clock.Now(), end)
	f.arrivals.CountRefused()
	// An error means that the caller has disconnected.
	_ = c.Close()
	f.observer.RequestEnded(r, result, 0)
}

// Refuse is RefuseArrived with a buffer of its own, given what has been read.
func (f *Refuser) Refuse(c Conn, account *lifecycle.Request, ahead []byte, reason forward.Reason, after time.Duration) {
	buffer := scratch.Get()
	defer buffer.Put()
	f.RefuseArrived(c, account, buffer[:], copy(buffer[:], ahead), reason, after)
}

// RejectRead is Reject with a buffer of its own, given what has been read.
func (f *Refuser) RejectRead(c Conn, account *lifecycle.Request, ahead []byte) {
	buffer := scratch.Get()
	defer buffer.Put()
	f.Reject(c, account, buffer[:], copy(buffer[:], ahead))
}

// rejectionCounter counts rejected connections. lastLogged is the Unix time, in seconds, at
// which they were last logged.
type rejectionCounter struct {
	total      atomic.Int64
	lastLogged atomic.Int64
}

// countRejection counts a rejected connection. It logs the total at most once a second, since
// there may be thousands.
func (f *Refuser) countRejection() {
	total, second := f.rejections.total.Add(1), clock.Wall().Unix()
	if f.rejections.lastLogged.Swap(second) == second {
		return
	}
	accepted, longestWait := f.arrivals.TakeAccepted()
	f.log.Info("callers turned away", "count", total, "accepted", accepted, "longest_ms", longestWait.Milliseconds())
}
