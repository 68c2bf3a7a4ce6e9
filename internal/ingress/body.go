package ingress

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/callerconn"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// receiveBody reads the request's body, up to the configured limit. If it returns a result with
// a status, the request is refused.
func (s *Server) receiveBody(w http.ResponseWriter, r *http.Request, t *routing.Table, out *forward.Request) (*memory.Reservation, forward.Result) {
	limit := int64(t.Limits().BodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, refusal.New(http.StatusRequestEntityTooLarge, refusal.TooLarge, 0)
	}
	if r.ContentLength == 0 {
		return nil, forward.Result{}
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(clock.Deadline(bodyTimeout)); err != nil {
		s.log.V(1).Info("read deadline not set", "id", out.ID, "cause", err.Error())
	}
	size := max(r.ContentLength, memory.UnknownSize)
	reservation := s.memory.Open(out.Organisation, cmp.Or(max(size, 0), limit), func() {
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
		return nil, s.bodyFailed(w, r, out, err)
	}
	if int64(body.Len()) > limit {
		return reservation, refusal.New(http.StatusRequestEntityTooLarge, refusal.TooLarge, 0)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		s.log.V(1).Info("read deadline not cleared", "id", out.ID, "cause", err.Error())
	}
	out.Body = body
	return reservation, forward.Result{}
}

// discardBody lets the caller of a refused request send the rest of its body, so that the connection is not
// reset before it has read the refusal. It must be called before the refusal is written, and the function
// that it returns afterwards.
func (s *Server) discardBody(w http.ResponseWriter, r *http.Request, out forward.Request) func() {
	control := http.NewResponseController(w)
	if r.Header.Get("Expect") != "" || control.EnableFullDuplex() != nil {
		return func() {}
	}
	w.Header().Set("Connection", "close")
	return func() {
		end := clock.Now().Add(bodyTimeout)
		if out.Expires().Before(end) {
			end = out.Expires()
		}
		if last := s.latestEnd.Load(); last != nil && last.Before(end) {
			end = *last
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

// bodyFailed returns the result of a request whose body could not be read.
func (s *Server) bodyFailed(w http.ResponseWriter, r *http.Request, out *forward.Request, err error) forward.Result {
	s.log.Info("request body not read", "id", out.ID, "cause", err.Error())
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
