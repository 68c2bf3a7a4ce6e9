// Package backlog bounds how long new connections wait for their requests to be handled in a
// process that is short of CPU time.
package backlog

import (
	"container/list"
	"time"
)

// maxWait is how long a new connection may wait for the CPU before its request is handled. The
// admitted requests and the control loop wait behind it, and half a second after a caller has
// left its request must no longer run. The waits for a connection to be accepted, handled and
// read add up.
const maxWait = 65 * time.Millisecond

// MaxBatch is the number of connections that are accepted in a row in a process that is short of
// CPU time. While callers keep connecting, accepting never blocks, and the requests admitted before
// would wait until the scheduler preempts it: 10 ms of CPU time, 50 ms on a fifth of a core.
const MaxBatch = 32

// Batch counts the connections that are accepted in a row. The zero value has counted none.
type Batch struct{ accepted int }

// Next counts the connection that is accepted next, and reports whether other goroutines are to get
// the CPU before.
func (b *Batch) Next(overloaded bool) (yield bool) {
	if !overloaded {
		b.accepted = 0
		return false
	}
	if yield = b.accepted == MaxBatch; yield {
		b.accepted = 0
	}
	b.accepted++
	return yield
}

// Queue holds the new connections whose requests wait for the CPU. The zero value is empty. It
// must not be used by several goroutines at once.
type Queue struct {
	waiting list.List
}

// Enqueue adds a new connection and returns its element. It returns nil if the caller is to be
// rejected at once: the router is short of CPU time and the oldest connection has waited for
// more than maxWait, so this one would wait even longer.
func (q *Queue) Enqueue(now time.Time, overloaded bool) *list.Element {
	if q.Late(now, overloaded) {
		return nil
	}
	return q.waiting.PushBack(now)
}

// Late reports whether Enqueue would reject a new connection.
func (q *Queue) Late(now time.Time, overloaded bool) bool {
	oldest := q.waiting.Front()
	return oldest != nil && Overdue(now.Sub(oldest.Value.(time.Time)), overloaded)
}

// Overdue reports whether a caller is to be rejected after a wait.
func Overdue(waited time.Duration, overloaded bool) bool { return overloaded && waited > maxWait }

// Remove removes a connection that was closed, whether its request was handled or not.
func (q *Queue) Remove(connection *list.Element) { q.waiting.Remove(connection) }

// Dequeue removes a connection whose request is handled now, and reports whether its caller is
// to be rejected: the router is short of CPU time and the connection has waited for more than
// maxWait.
func (q *Queue) Dequeue(now time.Time, connection *list.Element, overloaded bool) (overdue bool) {
	entered := q.waiting.Remove(connection).(time.Time)
	return Overdue(now.Sub(entered), overloaded)
}
