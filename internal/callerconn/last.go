package callerconn

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/earlyrefusal"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/scratch"
)

// maxUnannouncedWait is how long a connection of a server that shuts down stays open after an answer that did not say
// that it would be closed, as that of a stream which began before, for a caller that sends the next request at once.
const maxUnannouncedWait = 100 * time.Millisecond

// refuseLast refuses the request that begins with the bytes read, or that has arrived, if there is one, and
// closes the connection. The place must have told that it is to.
func (c *Conn) refuseLast(read []byte, reason forward.Reason, after time.Duration) {
	c.place.BeginLast()
	defer c.place.EndLast()
	buffer := scratch.Get()
	defer buffer.Put()
	early := earlyrefusal.TCP(c.Conn)
	n := copy(buffer[:], read)
	n += early.ReadNow(buffer[n:])
	// The HTTP server may have read the start of a request with the one before.
	begun := c.unanswered.Load()
	if n == 0 && !begun && c.shared.Room.Ending() {
		n = c.awaitLast(buffer[:])
	}
	if n == 0 && !begun {
		c.noteClosing(c.shared.Room.Ending())
		// An error means that the caller has disconnected.
		_ = c.Conn.Close()
		return
	}
	c.unanswered.Store(false)
	if c.startUnknown {
		// An id in the middle of a request may be part of its body.
		n = max(n, copy(buffer[:], "\r\n\r\n"))
	}
	c.shared.Early.RefuseArrived(early, c.request.Swap(nil), buffer[:], n, reason, after)
}

// awaitLast waits for a request that follows the last answer, and returns the number of bytes read.
func (c *Conn) awaitLast(b []byte) int {
	wait := maxUnannouncedWait - clock.Since(c.place.IdleSince())
	// An error of either call means that the caller has disconnected, or that no request has arrived.
	if wait <= 0 || c.Conn.SetReadDeadline(clock.Deadline(wait)) != nil {
		return 0
	}
	n, _ := c.Conn.Read(b)
	return n
}

// refuseNext refuses the request that follows the last answer and closes the connection, if the HTTP server, which
// shuts down, would only close it.
func (c *Conn) refuseNext() {
	if c.place.RefuseNext() {
		c.betweenRequests = false
		c.startUnknown = c.unread < -1
		c.refuseLast(nil, refusal.Leaving, refusal.LeavingRetryAfter)
	}
}

// finishClose closes a connection that was left open, unless it goes on; a request that has arrived behind the last
// answer is refused. ended is set if the HTTP server is done with the connection.
func (c *Conn) finishClose(ended bool) {
	leftOpen, refuses := c.place.FinishClose(ended)
	if !leftOpen {
		return
	}
	defer c.place.EndLast()
	if refuses {
		c.startUnknown = c.unread < -1
		c.refuseLast(nil, refusal.Leaving, refusal.LeavingRetryAfter)
	}
	if ended {
		// An error means that the caller has disconnected.
		_ = c.close()
	}
}
