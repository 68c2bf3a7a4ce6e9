package throttle

import (
	"math"
	"sync/atomic"
)

// worstShare is the part of a busy processor's time that is open to requests below
// the cut, so that no kind of request is refused for good.
const worstShare = 0.05

// Reason is why a request is refused unread.
type Reason string

// The reasons.
const (
	// QueueFull means that too many requests of the organisation wait, and Busy that the
	// router's processor serves no more of them.
	QueueFull  Reason = "organisation-queue-full"
	RouterBusy Reason = "router-busy"
)

// Gate bounds which requests to engines a router reads of an organisation that
// sends many times what engines take, or what the router's processor can do. The
// rest is refused from its first bytes: a box of 0.2 cores that read and queued 900
// requests a second to send 30 of them was lost to the other routers for seconds,
// and sent none.
type Gate struct {
	// left is how many may still come in until the next tick.
	left atomic.Int64
	// crowded counts those that were refused since the last tick because too many
	// wait, busied those for the processor.
	crowded, busied atomic.Int64

	// busy is set if the processor does no more. Then all requests above the grade
	// cut come in, and of that grade and of those below it some, for which atCut and
	// below have the processor time left, in nanoseconds.
	busy              atomic.Bool
	cut, atCut, below atomic.Int64
	// pieces has the bits of how many pieces a token of an answer comes in.
	pieces atomic.Uint64
	// arrived is the processor time that all requests would take that came since
	// the last tick, by grade, in nanoseconds.
	arrived [grades]atomic.Int64
}

// Check returns why a request is to be refused unread, or "".
func (g *Gate) Check(o RequestSize) Reason {
	grade, effort := g.weigh(o)
	switch {
	case !g.mayPass(grade):
		return g.refuse(grade, effort, RouterBusy)
	case g.left.Load() <= 0:
		return g.refuse(grade, effort, QueueFull)
	}
	return ""
}

// Admit lets a request in, or returns why it does not.
func (g *Gate) Admit(o RequestSize) Reason {
	grade, effort := g.weigh(o)
	switch {
	case !g.mayPass(grade):
		return g.refuse(grade, effort, RouterBusy)
	case g.left.Add(-1) < 0:
		return g.refuse(grade, effort, QueueFull)
	}
	g.arrived[grade].Add(effort)
	if left := g.timeFor(grade); left != nil {
		left.Add(-effort)
	}
	return ""
}

// weigh returns a request's grade and the processor time that it takes, in
// nanoseconds.
func (g *Gate) weigh(o RequestSize) (grade int, effort int64) {
	pieces := math.Float64frombits(g.pieces.Load())
	return o.grade(pieces), int64(o.effort(pieces))
}

// refuse counts a request that is refused for a reason, which it returns.
func (g *Gate) refuse(grade int, effort int64, why Reason) Reason {
	g.arrived[grade].Add(effort)
	if why == RouterBusy {
		g.busied.Add(1)
		return why
	}
	g.crowded.Add(1)
	return why
}

// mayPass reports whether the processor has time for a request of a grade.
func (g *Gate) mayPass(grade int) bool {
	left := g.timeFor(grade)
	return left == nil || left.Load() > 0
}

// timeFor returns the processor time left for a grade; nil if it is not bounded.
func (g *Gate) timeFor(grade int) *atomic.Int64 {
	cut := int(g.cut.Load())
	switch {
	case !g.busy.Load() || grade > cut:
		return nil
	case grade == cut:
		return &g.atCut
	}
	return &g.below
}

// allow lets as much in until the next tick as takes most of the processor's time,
// in nanoseconds, given what arrives in a tick.
func (g *Gate) allow(arrived *[grades]float64, most float64) {
	if math.IsInf(most, 1) {
		g.cut.Store(-1)
		return
	}
	worst := most * worstShare
	cut, left := cutAt(arrived, most-worst)
	g.cut.Store(int64(cut))
	refill(&g.atCut, left)
	refill(&g.below, worst)
}

// refill adds a tick's time to what is left. A debt stays, and what was not used
// for no longer than a tick.
func refill(left *atomic.Int64, tick float64) {
	left.Store(min(left.Load(), int64(tick)) + int64(tick))
}
