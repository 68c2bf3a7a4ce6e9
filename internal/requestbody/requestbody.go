// Package requestbody reads the bodies of callers' requests, within the memory that they may take, and lets callers of
// refused requests send the rest.
package requestbody

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/callerconn"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/refusal"
)

const (
	// Timeout bounds the time that reading a request's body takes.
	Timeout = 10 * time.Second
	// defaultMaxBytes is the maximum size of a request's body if none is configured.
	defaultMaxBytes = 4 << 20
)

// Reader reads bodies. Use New to create one. It may be used by several goroutines.
type Reader struct {
	memory *memory.Budget
	log    logr.Logger
}

// New returns a reader that holds bodies within the budget b.
func New(b *memory.Budget, l logr.Logger) *Reader { return &Reader{memory: b, log: l} }

// Read reads the body of a request into out, up to maxBytes, or the default if that is 0. If it returns a result with
// a status, the request is refused. The caller must close the reservation unless it is nil.
func (b *Reader) Read(w http.ResponseWriter, r *http.Request, maxBytes int, out *forward.Request) (*memory.Reservation, forward.Result) {
	limit := int64(maxBytes)
	if limit <= 0 {
		limit = defaultMaxBytes
	}
	if r.ContentLength > limit {
		return nil, refusal.New(http.StatusRequestEntityTooLarge, refusal.TooLarge, 0)
	}
	if r.ContentLength == 0 {
		return nil, forward.Result{}
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(clock.Deadline(Timeout)); err != nil {
		b.log.V(1).Info("read deadline not set", "id", out.ID, "cause", err.Error())
	}
	size := max(r.ContentLength, memory.UnknownSize)
	reservation := b.memory.Open(out.Organisation, cmp.Or(max(size, 0), limit), func() {
		// An error means that the connection is closed already.
		_ = control.SetReadDeadline(time.Unix(1, 0))
	})
	body, err := reservation.Read(r.Body, size, limit)
	if err == nil {
		err = reservation.Keep()
	}
	if err != nil {
		// What was read of the body is garbage from here on.
		reservation.Close()
		return nil, b.failed(w, r, out, err)
	}
	if int64(body.Len()) > limit {
		return reservation, refusal.New(http.StatusRequestEntityTooLarge, refusal.TooLarge, 0)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		b.log.V(1).Info("read deadline not cleared", "id", out.ID, "cause", err.Error())
	}
	out.Body = body
	return reservation, forward.Result{}
}

// Discard lets the caller of a refused request send the rest of its body, until a time, so that the connection is not
// reset before it has read the refusal. It must be called before the refusal is written, and the function
// that it returns afterwards.
func Discard(w http.ResponseWriter, r *http.Request, until func() time.Time) func() {
	control := http.NewResponseController(w)
	if r.Header.Get("Expect") != "" || control.EnableFullDuplex() != nil {
		return func() {}
	}
	w.Header().Set("Connection", "close")
	return func() {
		end := clock.Now().Add(Timeout)
		if last := until(); last.Before(end) {
			end = last
		}
		if control.Flush() != nil || control.SetReadDeadline(clock.Deadline(clock.Until(end))) != nil {
			return
		}
		var rest io.Reader = r.Body
		if c := callerconn.Of(r.Context()); c != nil && r.ContentLength < 0 {
			// The decoder of chunks reads nothing more after it was interrupted. The caller closes the
			// connection once it has read the refusal.
			rest = c.Conn
		}
		// An error means that the caller has gone or takes too long.
		_, _ = io.Copy(io.Discard, rest)
	}
}

// failed returns the result of a request whose body could not be read.
func (b *Reader) failed(w http.ResponseWriter, r *http.Request, out *forward.Request, err error) forward.Result {
	b.log.Info("request body not read", "id", out.ID, "cause", err.Error())
	if errors.Is(err, memory.ErrEvicted) {
		return refusal.New(http.StatusServiceUnavailable, refusal.BodyEvicted, refusal.BodyRetryAfter())
	}
	w.Header().Set("Connection", "close")
	var timeout net.Error
	switch {
	case callerconn.Of(r.Context()).ClosedServing():
		return refusal.New(http.StatusServiceUnavailable, refusal.Stopped, 0)
	case errors.As(err, &timeout) && timeout.Timeout():
		return refusal.New(http.StatusRequestTimeout, refusal.BodyTimeout, 0)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET):
		return refusal.New(http.StatusBadRequest, forward.ReasonCallerGone, 0)
	}
	return refusal.New(http.StatusBadRequest, refusal.BadRequest, 0)
}
