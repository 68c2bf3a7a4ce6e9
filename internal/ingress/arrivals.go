package ingress

import (
	"net"
	"time"

	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// ArrivalStats describes the connections that arrived in a period of time, and for how long they
// waited at each stage.
type ArrivalStats struct {
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
	// handed over.
	Open, Received int
}

// Waited reports whether a connection waited for at least d after it was accepted, or the accept
// queue was full.
func (a ArrivalStats) Waited(d time.Duration) bool {
	return max(a.RoomWait, a.ReadWait, a.ReceivedReadWait) >= d || a.QueueLimit > 0 && a.Queued >= a.QueueLimit
}

// TakeArrivalStats returns the statistics of the time since the last call.
func (s *Server) TakeArrivalStats() ArrivalStats {
	s.conns.sampleQueue()
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	out := s.conns.arrivals
	out.Open, out.Received = s.conns.open, s.conns.received
	s.conns.arrivals = ArrivalStats{}
	return out
}

// watchQueue makes sampleQueue observe the accept queue of l.
func (s *conns) watchQueue(l *net.TCPListener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
}

// sampleQueue observes the length of the accept queue.
func (s *conns) sampleQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	queued, limit, err := sockopt.AcceptQueue(s.listener)
	if err != nil {
		// The listener is closed, or the system does not tell.
		return
	}
	s.arrivals.Queued, s.arrivals.QueueLimit = max(s.arrivals.Queued, queued), limit
}

// queueLength returns the length of the accept queue, or 0 if it is not known. mu must be held.
func (s *conns) queueLength() int {
	if s.listener == nil {
		return 0
	}
	n, _, err := sockopt.AcceptQueue(s.listener)
	if err != nil {
		// The listener is closed, or the system does not tell.
		return 0
	}
	return n
}
