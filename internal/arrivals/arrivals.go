// Package arrivals follows new connections from the accept queue to their first read: how many there are, for how long
// they wait, and which are to be rejected because the process is short of CPU time.
package arrivals

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/stepcroft/stepcroft/internal/backlog"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// Stats describes the connections that arrived in a period of time, and for how long they
// waited at each stage.
type Stats struct {
	// Accepted is the number of connections accepted from callers, and Refused the number of those
	// whose request was refused, or that were rejected, before the HTTP server got them.
	Accepted, Refused int
	// Queued is the greatest length of the kernel's accept queue that was observed, and QueueLimit
	// its limit. Both are 0 if unknown.
	Queued, QueueLimit int
	// RoomWait, ReadWait and ReceivedReadWait are the longest waits after a connection was accepted:
	// for the number of open connections to fall below the limit, for the first read, and for the
	// first read of a connection that another router handed over.
	RoomWait, ReadWait, ReceivedReadWait time.Duration
	// Open is the number of open connections, and Received the number of those that other routers
	// handed over. A Queue does not know them.
	Open, Received int
}

// Waited reports whether a connection waited for at least d after it was accepted, or the accept
// queue was full.
func (a Stats) Waited(d time.Duration) bool {
	return max(a.RoomWait, a.ReadWait, a.ReceivedReadWait) >= d || a.QueueLimit > 0 && a.Queued >= a.QueueLimit
}

// Queue holds the accepted connections from which nothing has been read yet, and the statistics of all that arrived. Use
// New to create one. It may be used by several goroutines.
type Queue struct {
	mu     sync.Mutex
	unread backlog.Queue
	// accepted is the number of connections accepted since TakeAccepted was last called, and
	// longestWait the longest time that one of them waited for its first read.
	accepted    int
	longestWait time.Duration
	// stats are those since the last call of TakeStats, and listener is the one whose accept queue
	// is observed; nil if there is none.
	stats    Stats
	listener *net.TCPListener
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Watch makes Sample observe the accept queue of l.
func (q *Queue) Watch(l *net.TCPListener) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.listener = l
}

// Sample observes the length of the accept queue.
func (q *Queue) Sample() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.listener == nil {
		return
	}
	queued, limit, err := sockopt.AcceptQueue(q.listener)
	if err != nil {
		// The listener is closed, or the system does not tell.
		return
	}
	q.stats.Queued, q.stats.QueueLimit = max(q.stats.Queued, queued), limit
}

// Unaccepted returns the length of the accept queue, or 0 if it is not known.
func (q *Queue) Unaccepted() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.listener == nil {
		return 0
	}
	n, _, err := sockopt.AcceptQueue(q.listener)
	if err != nil {
		// The listener is closed, or the system does not tell.
		return 0
	}
	return n
}

// Accept adds a connection that was just accepted from a caller, as Enqueue does.
func (q *Queue) Accept(now time.Time, overloaded bool) *list.Element {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.accepted++
	q.stats.Accepted++
	return q.unread.Enqueue(now, overloaded)
}

// Enqueue adds a connection to those waiting for their first read. It returns nil if the
// connection is to be rejected at once.
func (q *Queue) Enqueue(now time.Time, overloaded bool) *list.Element {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unread.Enqueue(now, overloaded)
}

// Late reports whether Enqueue would return nil.
func (q *Queue) Late(now time.Time, overloaded bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unread.Late(now, overloaded)
}

// Remove removes a connection that was refused, or closed, whether it has been read or not.
func (q *Queue) Remove(connection *list.Element) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unread.Remove(connection)
}

// Dequeue removes a connection that is read for the first time, and reports whether it is to be
// rejected because it has waited too long for that. received is set if another router handed it over.
func (q *Queue) Dequeue(now time.Time, connection *list.Element, overloaded, received bool) (overdue bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	waited := now.Sub(connection.Value.(time.Time))
	q.longestWait = max(q.longestWait, waited)
	if received {
		q.stats.ReceivedReadWait = max(q.stats.ReceivedReadWait, waited)
	} else {
		q.stats.ReadWait = max(q.stats.ReadWait, waited)
	}
	return q.unread.Dequeue(now, connection, overloaded)
}

// CountRefused counts a connection whose request was refused, or that was rejected, before the HTTP
// server got it.
func (q *Queue) CountRefused() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stats.Refused++
}

// NoteRoomWait notes for how long a connection has waited for room.
func (q *Queue) NoteRoomWait(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stats.RoomWait = max(q.stats.RoomWait, d)
}

// TakeAccepted returns the number of connections accepted since the last call and the
// longest time that one waited for its first read, and resets both.
func (q *Queue) TakeAccepted() (accepted int, longestWait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	accepted, longestWait = q.accepted, q.longestWait
	q.accepted, q.longestWait = 0, 0
	return accepted, longestWait
}

// TakeStats returns the statistics of the time since the last call.
func (q *Queue) TakeStats() Stats {
	q.Sample()
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.stats
	q.stats = Stats{}
	return out
}
