// Package backlog bounds for how long new connections wait until a process that is short of
// processor time looks at their requests.
package backlog

import (
	"container/list"
	"time"
)

// lookMost is for how long a new connection may wait for the processor before its request
// is looked at. Behind it wait the requests that are let in, and the control loop, which
// are to be done within the half second after which a caller that left must not find its
// request at work. The legs of the way add up: waiting to be accepted, to be looked at and to
// be read.
const lookMost = 65 * time.Millisecond

// Queue is the new connections that wait for the processor to look at their requests. The
// zero value is empty. One goroutine at a time may use it.
type Queue struct {
	waiting list.List
}

// Enqueue takes in a new connection and returns its place, or nil if its caller is to be turned
// away at once: the router is short of processor time, the oldest that waits has waited for
// too long, and this one would for longer.
func (q *Queue) Enqueue(now time.Time, short bool) *list.Element {
	if oldest := q.waiting.Front(); short && oldest != nil && now.Sub(oldest.Value.(time.Time)) > lookMost {
		return nil
	}
	return q.waiting.PushBack(now)
}

// Remove takes out a connection that was closed, whether it was looked at or not.
func (q *Queue) Remove(place *list.Element) { q.waiting.Remove(place) }

// Dequeue takes out a connection that is looked at, and reports whether its caller is to be turned
// away: the router is short of processor time, and it has waited for too long.
func (q *Queue) Dequeue(now time.Time, place *list.Element, short bool) (overdue bool) {
	entered := q.waiting.Remove(place).(time.Time)
	return short && now.Sub(entered) > lookMost
}
