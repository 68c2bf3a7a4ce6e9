package throttle

import (
	"math"
	"sync/atomic"
)

// belowCutFraction is the fraction of the CPU allowance that is reserved for requests below
// the cut grade, so that no kind of request is rejected forever.
const belowCutFraction = 0.05

// Reason is why a request is rejected before it is parsed.
type Reason string

// The reasons.
const (
	// QueueFull means that too many requests of the organisation are waiting, and RouterBusy
	// that the router has no CPU time left for the request.
	QueueFull  Reason = "organisation-queue-full"
	RouterBusy Reason = "router-busy"
)

// Gate limits which requests to engines a router reads from an organisation that sends many
// times what the engines or the router's CPU can handle. The others are rejected from their
// first bytes: a box with 0.2 cores that read and queued 900 requests a second to send 30 of
// them was unreachable for the other routers for seconds, and sent none.
type Gate struct {
	// admitsLeft is how many requests may still be admitted until the next tick.
	admitsLeft atomic.Int64
	// rejectedQueueFull counts the requests rejected since the last tick because too many were
	// waiting, rejectedBusy those rejected because the CPU was busy.
	rejectedQueueFull, rejectedBusy atomic.Int64

	// cpuBound is set while CPU time limits admission. Requests above cutGrade are then all
	// admitted; those of cutGrade are admitted while cutTimeLeft is positive, and those below
	// it while belowTimeLeft is, both in nanoseconds of CPU time.
	cpuBound                             atomic.Bool
	cutGrade, cutTimeLeft, belowTimeLeft atomic.Int64
	// piecesPerToken holds the float64 bits of the number of pieces in which a token of an
	// answer arrives.
	piecesPerToken atomic.Uint64
	// arrivedCPUTime is the CPU time that all requests that arrived since the last tick would
	// take, by grade, in nanoseconds.
	arrivedCPUTime [grades]atomic.Int64
}

// Check returns why a request would be rejected now, or "". Unlike Admit, it uses up no
// allowance for a request that would be admitted.
func (g *Gate) Check(o RequestSize) Reason {
	grade, cost := g.gradeAndCost(o)
	switch {
	case !g.hasTime(grade):
		return g.reject(grade, cost, RouterBusy)
	case g.admitsLeft.Load() <= 0:
		return g.reject(grade, cost, QueueFull)
	}
	return ""
}

// Admit admits a request and returns "", or returns why the request is rejected.
func (g *Gate) Admit(o RequestSize) Reason {
	grade, cost := g.gradeAndCost(o)
	switch {
	case !g.hasTime(grade):
		return g.reject(grade, cost, RouterBusy)
	case g.admitsLeft.Add(-1) < 0:
		return g.reject(grade, cost, QueueFull)
	}
	g.arrivedCPUTime[grade].Add(cost)
	if left := g.timeLeft(grade); left != nil {
		left.Add(-cost)
	}
	return ""
}

// gradeAndCost returns a request's grade and the CPU time that it takes, in nanoseconds.
func (g *Gate) gradeAndCost(o RequestSize) (grade int, cost int64) {
	pieces := math.Float64frombits(g.piecesPerToken.Load())
	return o.grade(pieces), int64(o.cpuTime(pieces))
}

// reject counts a rejected request and returns the reason.
func (g *Gate) reject(grade int, cost int64, reason Reason) Reason {
	g.arrivedCPUTime[grade].Add(cost)
	if reason == RouterBusy {
		g.rejectedBusy.Add(1)
		return reason
	}
	g.rejectedQueueFull.Add(1)
	return reason
}

// hasTime reports whether there is CPU time for a request of a grade.
func (g *Gate) hasTime(grade int) bool {
	left := g.timeLeft(grade)
	return left == nil || left.Load() > 0
}

// timeLeft returns the counter of the CPU time left for a grade, nil if that is unlimited.
func (g *Gate) timeLeft(grade int) *atomic.Int64 {
	cut := int(g.cutGrade.Load())
	switch {
	case !g.cpuBound.Load() || grade > cut:
		return nil
	case grade == cut:
		return &g.cutTimeLeft
	}
	return &g.belowTimeLeft
}

// setAllowance distributes a CPU time allowance for the next tick, in nanoseconds, over the
// grades, given the CPU time that the requests arriving in a tick would take.
func (g *Gate) setAllowance(arrived *[grades]float64, allowance float64) {
	if math.IsInf(allowance, 1) {
		g.cutGrade.Store(-1)
		return
	}
	below := allowance * belowCutFraction
	cut, left := findCutGrade(arrived, allowance-below)
	g.cutGrade.Store(int64(cut))
	refill(&g.cutTimeLeft, left)
	refill(&g.belowTimeLeft, below)
}

// refill adds a tick's time to what is left. A deficit is carried over, and so is at most one
// tick's unused time.
func refill(left *atomic.Int64, tick float64) {
	left.Store(min(left.Load(), int64(tick)) + int64(tick))
}
