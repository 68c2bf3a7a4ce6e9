package gateway

import (
	"time"
)

const (
	// arrivalsLogInterval is the least time between two log lines about new connections.
	arrivalsLogInterval = time.Second
	// notableWait is the wait of a connection from which a line is logged: callers notice it.
	notableWait = 50 * time.Millisecond
)

// logArrivals logs where new connections waited, if one waited long.
func (g *Gateway) logArrivals(now time.Time) {
	if now.Sub(g.loggedArrivalsAt) < arrivalsLogInterval {
		return
	}
	g.loggedArrivalsAt = now
	a := g.server.TakeArrivalStats()
	if !a.Waited(notableWait) {
		return
	}
	g.Log.Info("connections waited", "accepted", a.Accepted, "refused", a.Refused, "queued", a.Queued, "queue_limit", a.QueueLimit,
		"room_ms", a.RoomWait.Milliseconds(), "read_ms", a.ReadWait.Milliseconds(), "received_read_ms", a.ReceivedReadWait.Milliseconds(),
		"open", a.Open, "received", a.Received)
}
