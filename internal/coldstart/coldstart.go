// Package coldstart bounds what reaches a target that is cold: one that has just started, or
// whose availability zone was drained, bears a few requests a second of all routers together
// and falls over beyond. It decides without I/O; time comes in through arguments.
//
// A target is warm, turns cold when its process starts or while its zone gets nothing, and is
// warm again a stated time later. A router takes it for cold from the first news of it, or from
// the moment on in which a zone is given back, for that whole time, or for as long as the
// target's entry said when it came here: each is later than the truth.
//
// While it is cold only a few routers may send to it, each a fixed number of requests in a
// window of a second. Who they are follows from rendezvous hashing over the routers that run,
// so that nobody has to be asked. Routers on either side of a cut may differ for seconds about
// who runs, and those that start meanwhile cannot know of the other sides: the parts of one
// view's senders add up to a third of what may arrive, so that three views still fit. A router
// that hears fewer than half of those it knows, or nobody, or that has just come, sends none.
package coldstart

import "time"

const (
	// viewsMost is the number of different views of the fleet whose senders may send at
	// the same time.
	viewsMost = 3
	// sendersMost is the number of routers that may send to a cold target: with one, a target
	// would get nothing while that one is gone and nobody has noticed.
	sendersMost = 3
	// window is the span of a router's own clock in which it sends its part: a second, and
	// what its clock may be fast.
	window = time.Second + 20*time.Millisecond
	// kept is the most sends that are remembered for each target: those of a window.
	kept = 32
)

// Rate says what a cold target bears.
type Rate struct {
	// PerSecond is the number of requests a second, 0 for a target that is never cold.
	PerSecond float64
	// MaxPerSecond is the number that may arrive in any second at most.
	MaxPerSecond float64
}

// SendLimit returns how many requests a second the router may send to a cold target that ranks
// rank'th for it, from 0 on, of so many. A target gets one at least: it would stay unused
// otherwise.
func (r Rate) SendLimit(rank, routers int) int {
	if r.PerSecond <= 0 {
		return 0
	}
	all := int(max(min(r.PerSecond, r.MaxPerSecond/viewsMost), 1))
	senders := min(sendersMost, routers, all)
	if rank >= senders {
		return 0
	}
	part := all / senders
	if rank < all%senders {
		part++
	}
	return min(part, kept)
}

// Window counts what a router sent to a target lately. The zero value has sent nothing.
type Window struct {
	sent [kept]time.Time
	next int
}

// Add notes a send.
func (w *Window) Add(now time.Time) {
	w.sent[w.next] = now
	w.next = (w.next + 1) % kept
}

// Count returns how many were sent in the window that ends now, up to the most that is
// remembered.
func (w *Window) Count(now time.Time) int {
	n := 0
	for i := range kept {
		at := w.sent[(w.next-1-i+2*kept)%kept]
		if at.IsZero() || now.Sub(at) >= window {
			break
		}
		n++
	}
	return n
}
