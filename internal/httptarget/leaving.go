package httptarget

import (
	"context"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

const (
	// deliveryTimeout bounds how long a process that refuses connections has to show that it goes on. Callers wait
	// as long for the end of an answer, but not for any part of it.
	deliveryTimeout = 500 * time.Millisecond
	// maxEndDelay is how long after the last bytes of a process that was killed the end of the connection may
	// arrive. They are sent together, or within a few round trips if they have been lost.
	maxEndDelay = 100 * time.Millisecond
)

// delivery is what arrives on a connection in use.
type delivery struct {
	*conn
	// quiet is set once nothing is left to read, and received is the number of bytes received until then.
	quiet    bool
	received uint64
	// moreAt is when more had arrived, the zero time until then.
	moreAt time.Time
}

// delivers reports whether a process that refuses connections goes on to send answers. A connection that is merely
// open does not show that, since its end may have been lost. One on which everything had been read, then
// more arrives, and no end behind it, does. Bytes that the receiver had no room for may arrive long after a
// process was killed, but then some are left to read.
func (t *Transport) delivers(ctx context.Context, e endpoint) bool {
	open := t.connsInUse(e)
	for end := clock.Now().Add(deliveryTimeout); ; {
		now := clock.Now()
		goesOn := false
		open = slices.DeleteFunc(open, func(d *delivery) bool {
			idle := sockopt.Idle(d.Conn)
			received, ended := sockopt.Received(d.Conn)
			goesOn = goesOn || !ended && idle && d.goesOn(now, received)
			return ended
		})
		if goesOn || len(open) == 0 || now.After(end) {
			return goesOn
		}
		group.SleepUntil(ctx, now.Add(exitCheckInterval))
	}
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

// connsInUse returns the connections in use to a process.
func (t *Transport) connsInUse(e endpoint) []*delivery {
	t.mu.Lock()
	defer t.mu.Unlock()
	var open []*delivery
	for c := range t.inUse {
		if c.endpoint == e {
			open = append(open, &delivery{conn: c})
		}
	}
	return open
}
