package httptarget

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// maxEndDelay is how long after the last bytes of a process that was killed the end of the connection may
// arrive. They are sent together, or within a few round trips if they have been lost.
const maxEndDelay = 100 * time.Millisecond

// delivery is what arrives on a connection in use.
type delivery struct {
	*conn
	// quiet is set once nothing is left to read, and received is the number of bytes received until then.
	quiet    bool
	received uint64
	// moreAt is when more had arrived, the zero time until then.
	moreAt time.Time
}

// deliveries are those of a process.
type deliveries struct{ open []*delivery }

// look reports whether a process goes on to send answers, and whether it may still show that. A connection that is merely
// open does not show it, since its end may have been lost. One on which everything had been read, then
// more arrives, and no end behind it, does. Bytes that the receiver had no room for may arrive long after a
// process was killed, but then some are left to read.
func (d *deliveries) look() (goesOn, open bool) {
	now := clock.Now()
	d.open = slices.DeleteFunc(d.open, func(d *delivery) bool {
		idle := sockopt.Idle(d.Conn)
		received, ended := sockopt.Received(d.Conn)
		goesOn = goesOn || !ended && idle && d.goesOn(now, received) && d.known.Load()
		return ended
	})
	return goesOn, len(d.open) > 0
}

// goesOn reports whether the process has sent more and not ended since, if nothing is left to read.
func (d *delivery) goesOn(now time.Time, received uint64) bool {
	switch {
	case !d.quiet:
		d.received, d.quiet = received, true
	case d.moreAt.IsZero() && received > d.received:
		d.moreAt = now
	}
	return !d.moreAt.IsZero() && now.Sub(d.moreAt) >= maxEndDelay
}

// connsInUse returns the connections to a process that carried an exchange by a time.
func (t *Transport) connsInUse(e endpoint, by time.Time) *deliveries {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := &deliveries{}
	for c := range t.inUse[e] {
		if c.madeAt.Before(by) {
			d.open = append(d.open, &delivery{conn: c})
		}
	}
	return d
}
