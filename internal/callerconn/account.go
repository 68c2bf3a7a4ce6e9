package callerconn

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

// beginRequest begins the account of a request of which the first bytes have been read.
func (c *Conn) beginRequest() {
	c.unanswered.Store(true)
	c.place.BeginHead()
	if c.request.Load() == nil {
		c.request.Store(c.shared.Requests.Begin(clock.Now()))
	}
}

// endRequest ends the account of the last request, if it has not ended. A request for which no end was decided ends as otherwise says.
func (c *Conn) endRequest(otherwise lifecycle.End) { c.request.Swap(nil).Close(clock.Now(), otherwise) }

// endClosed ends the account of a connection that the HTTP server has done with.
func (c *Conn) endClosed() {
	closedAs := lifecycle.Unanswered
	if end := c.closedAs.Load(); end != nil {
		closedAs = *end
	}
	if c.serving.Load() && c.hasNext.Load() {
		c.shared.countNext(closedAs)
	}
	switch unanswered := c.unanswered.Load(); {
	case c.request.Load() == nil && unanswered:
		// The HTTP server had read the first byte of it with the request before.
		c.shared.Requests.Count(clock.Now(), closedAs)
	case !c.serving.Load():
		if closedAs == lifecycle.Unanswered {
			c.request.Load().Identify(c.head.RequestID(c.shared.RequestID))
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
func (s *Connections) countNext(e lifecycle.End) {
	s.Requests.Count(clock.Now(), e)
	if e == lifecycle.Unanswered {
		s.countUnanswered(Behind)
	}
}

// endRefused ends the account of a request whose refusal was written before the HTTP server got it. A request that
// arrived whole needs none until then.
func (c *Conn) endRefused(now time.Time, err error) {
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
	c.shared.Requests.Count(now, end)
}

// undelivered returns how a request ends of whose answer a part could not be written.
func (c *Conn) undelivered() lifecycle.End {
	switch {
	case !c.closedHere():
		return lifecycle.CallerGone
	case c.unanswered.Load():
		return lifecycle.Unanswered
	}
	return lifecycle.Cut
}

// Lose counts a connection that the process has no descriptor for, and ends the account of what was read of it.
func (s *Connections) Lose(account *lifecycle.Request) {
	if account == nil {
		return
	}
	s.countUnanswered(Lost)
	account.Close(clock.Now(), lifecycle.Unanswered)
}
