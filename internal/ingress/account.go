package ingress

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

// tracked returns the account of the request that is served, nil if it came on a connection of another kind.
func tracked(ctx context.Context) *lifecycle.Request {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	return c.request.Load()
}

// beginRequest begins the account of a request of which the first bytes have been read.
func (c *conn) beginRequest() {
	c.unanswered.Store(true)
	c.place.BeginHead()
	if c.request.Load() == nil {
		c.request.Store(c.server.requests.Begin(clock.Now()))
	}
}

// endRequest ends the account of the last request, if it has not ended. A request for which no end was decided ends as otherwise says.
func (c *conn) endRequest(otherwise lifecycle.End) { c.request.Swap(nil).Close(clock.Now(), otherwise) }

// endClosed ends the account of a connection that the HTTP server has done with.
func (c *conn) endClosed() {
	closedAs := lifecycle.Unanswered
	if end := c.closedAs.Load(); end != nil {
		closedAs = *end
	}
	if c.serving.Load() && c.hasNext.Load() {
		c.server.countNext(closedAs)
	}
	switch unanswered := c.unanswered.Load(); {
	case c.request.Load() == nil && unanswered:
		// The HTTP server had read the first byte of it with the request before.
		c.server.requests.Count(clock.Now(), closedAs)
	case !c.serving.Load():
		if closedAs == lifecycle.Unanswered {
			c.request.Load().Identify(c.head.RequestID(c.server.headerNames.RequestID))
		}
		c.endRequest(closedAs)
	case unanswered:
		c.request.Load().NoteUndelivered(closedAs)
		fallthrough
	default:
		c.endRequest("")
	}
}

// countNext counts a request that arrived behind one whose answer was the last on its connection.
func (s *Server) countNext(e lifecycle.End) {
	s.requests.Count(clock.Now(), e)
	if e == lifecycle.Unanswered {
		s.countUnanswered(closedBehind)
	}
}

// endRefused ends the account of a request whose refusal was written before the HTTP server got it. A request that
// arrived whole needs none until then.
func (c *conn) endRefused(now time.Time, err error) {
	end := lifecycle.Refused
	if err != nil {
		end = c.undelivered()
	}
	// It has been counted, written or not.
	c.unanswered.Store(false)
	if r := c.request.Swap(nil); r != nil {
		r.Close(now, end)
		return
	}
	c.server.requests.Count(now, end)
}

// undelivered returns how a request ends of whose answer a part could not be written.
func (c *conn) undelivered() lifecycle.End {
	switch {
	case !c.closedHere():
		return lifecycle.CallerGone
	case c.unanswered.Load():
		return lifecycle.Unanswered
	}
	return lifecycle.Cut
}

// loseConnection counts a connection that the process has no descriptor for, and ends the account of what was read of it.
func (s *Server) loseConnection(account *lifecycle.Request) {
	if account == nil {
		return
	}
	s.countUnanswered(closedLost)
	account.Close(clock.Now(), lifecycle.Unanswered)
}
