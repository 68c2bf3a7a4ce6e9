// Package coldstart limits the requests to a cold target: one that has just started, or whose
// availability zone was drained, can handle only a few requests a second from all routers
// together and fails under more. The package does no I/O; time is passed in as an argument.
//
// A target turns cold when its process starts or while its zone receives no requests, and is
// warm again a configured time later. A router counts this time from when it first learns of
// the target or from the end of the drain of its zone, or else uses the remaining time in the
// target's entry when the entry arrives. Each of these ends later than the true cold period.
//
// While a target is cold, only a few routers may send to it, each a fixed number of requests
// per window of a second. Rendezvous hashing over the running routers selects them, so no
// coordination is needed. During a network partition, routers on different sides may disagree
// for seconds about which routers run, and routers that start meanwhile cannot know of the
// other sides. Therefore the limits of the senders of one view of the fleet add up to a third
// of what may arrive, so that three views fit. A router sends nothing if it receives messages
// from fewer than half of the routers that it knows, or from none, or if it has just started.
package coldstart

import "time"

const (
	// maxViews is the number of different views of the fleet whose senders may send at the
	// same time.
	maxViews = 3
	// maxSenders is the number of routers that may send to a cold target: if there were only
	// one and it failed, the target would get nothing until the others noticed.
	maxSenders = 3
	// windowLength is the time window, by a router's own clock, in which its send limit
	// applies: a second, and a margin for a fast clock.
	windowLength = time.Second + 20*time.Millisecond
	// windowCapacity is the number of sends remembered per target, and so the largest send
	// limit.
	windowCapacity = 32
)

// Rate is the request rate that a cold target can handle.
type Rate struct {
	// PerSecond is the number of requests a second, 0 for a target that is never cold.
	PerSecond float64
	// MaxPerSecond is the largest number of requests that may arrive in any one second.
	MaxPerSecond float64
}

// SendLimit returns how many requests a second a router may send to a cold target, given its
// rank among the routers for the target (from 0) and their number. The limits add up to at
// least one: the target would stay unused otherwise.
func (r Rate) SendLimit(rank, routers int) int {
	if r.PerSecond <= 0 {
		return 0
	}
	total := int(max(min(r.PerSecond, r.MaxPerSecond/maxViews), 1))
	senders := min(maxSenders, routers, total)
	if rank >= senders {
		return 0
	}
	limit := total / senders
	if rank < total%senders {
		limit++
	}
	return min(limit, windowCapacity)
}

// Window records the recent sends of this router to one target. The zero value is empty.
type Window struct {
	sent [windowCapacity]time.Time
	next int
}

// Add records a send.
func (w *Window) Add(now time.Time) {
	w.sent[w.next] = now
	w.next = (w.next + 1) % windowCapacity
}

// Count returns the number of sends in the window that ends now, at most windowCapacity.
func (w *Window) Count(now time.Time) int {
	n := 0
	for i := range windowCapacity {
		at := w.sent[(w.next-1-i+2*windowCapacity)%windowCapacity]
		if at.IsZero() || now.Sub(at) >= windowLength {
			break
		}
		n++
	}
	return n
}
