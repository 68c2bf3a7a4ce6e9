package httptarget

import (
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

const (
	// sameMoment is the longest time between the ends of connections that count as ended together. The kernel closes
	// those of a process that was killed within some milliseconds, and counts time in steps of at most maxTick.
	sameMoment = 30 * time.Millisecond
	maxTick    = 10 * time.Millisecond
	// endTTL is how long the end of a connection counts, and maxEnds bounds the ends that are kept for a process.
	endTTL  = time.Second
	maxEnds = 4
)

// end is a connection that its target has closed, and when, at the latest.
type end struct {
	*conn
	at time.Time
}

// endOf returns the end of a connection if its target has closed it without a reset. The kernel of a process that was
// killed closes those on which it had read everything; a network that fails resets connections, or is silent.
func endOf(c *conn) (end, bool) {
	ago, ok := sockopt.RemoteClosedFor(c.Conn)
	return end{c, clock.Now().Add(-max(ago-maxTick, 0))}, ok
}

// with reports whether two connections ended in the same moment.
func (e end) with(other end) bool {
	return e.conn != other.conn && e.at.Sub(other.at).Abs() < sameMoment
}

// foretold reports whether the target has said that it would close the connection.
func (e end) foretold() bool {
	return e.closes.Load() || !e.idleSince.IsZero() && e.expired(e.at, maxIdleTime)
}

// noteEnd keeps the end of a connection that is about to be closed here before its time. The mutex must be held.
func (t *Transport) noteEnd(c *conn) {
	if e, ok := endOf(c); ok {
		list := append(t.ends[c.endpoint], e)
		t.ends[c.endpoint] = list[max(len(list)-maxEnds, 0):]
	}
}

// forgetEnds drops the ends that no longer count. The mutex must be held.
func (t *Transport) forgetEnds(now time.Time) {
	for e, list := range t.ends {
		if list = slices.DeleteFunc(list, func(e end) bool { return now.Sub(e.at) >= endTTL }); len(list) == 0 {
			delete(t.ends, e)
			continue
		}
		t.ends[e] = list
	}
}

// connsTo returns the connections to a process, unused or in use. The mutex must be held.
func (t *Transport) connsTo(e endpoint) []*conn {
	list := slices.Clone(t.idle[e])
	for c := range t.inUse {
		if c.endpoint == e {
			list = append(list, c)
		}
	}
	return list
}

// endsOf returns the ends of connections to a process that nothing had foretold. The mutex must be held.
func (t *Transport) endsOf(e endpoint) []end {
	list := slices.Clone(t.ends[e])
	for _, c := range t.connsTo(e) {
		if ended, ok := endOf(c); ok && !ended.foretold() {
			list = append(list, ended)
		}
	}
	return list
}

// wasOpen reports whether a connection is open that was made before a time. Later ones may be to another process.
func wasOpen(c *conn, before time.Time) bool {
	_, ended := sockopt.Received(c.Conn)
	return !ended && c.madeAt.Before(before)
}

// endedAlone reports whether another connection to the process of one that has ended goes on, or none ended in the
// same moment. The mutex must be held.
func (t *Transport) endedAlone(e end) bool {
	if !slices.ContainsFunc(t.endsOf(e.endpoint), e.with) {
		return true
	}
	return slices.ContainsFunc(t.connsTo(e.endpoint), func(c *conn) bool { return wasOpen(c, e.at) })
}

// endedWithAll reports whether all other connections to the process of one that has ended, at least one, have ended in
// the same moment.
func (t *Transport) endedWithAll(e end) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.endedAlone(e)
}
