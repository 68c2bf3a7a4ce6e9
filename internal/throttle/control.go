// Package throttle decides how many of each organisation's requests to engines a router reads,
// and how far streams coalesce events, depending on the router's CPU utilisation and on how
// much the engines accept. Other requests are rejected from their first bytes. A Controller is
// a plain state machine: time is passed in as an argument and one goroutine drives it; its
// Gates may be used by the goroutines that read requests.
package throttle

import (
	"math"
	"time"
)

const (
	// averageWeight is the weight of the newest tick in the running averages of an
	// organisation's requests.
	averageWeight = 0.05
	// admitFactor is how many requests a gate admits for each request recently sent to an
	// engine: more than one, since engines may have more capacity by now.
	admitFactor = 2
	// minAdmitsPerTick is how many requests a gate admits per tick in any case, ten a second,
	// to find out whether engines accept requests again.
	minAdmitsPerTick = 0.2
	// gateIdleTimeout is how long a gate must have rejected nothing before it is removed.
	gateIdleTimeout = 500 * time.Millisecond
	// negligibleSentAverage is the average number of requests sent per tick below which an
	// organisation's state is dropped.
	negligibleSentAverage = 0.01

	// maxCPUUtilisation is the CPU utilisation (0 to 1) above which a router throttles the
	// organisation that causes most of its load: beyond it everything is late, including
	// messages from other routers.
	maxCPUUtilisation = 0.8
	// dominantCPUFraction is the fraction of the CPU time of all requests sent that an
	// organisation must exceed to be throttled: throttling one of many small senders would not
	// help.
	dominantCPUFraction = 0.5
	// minAllowanceFactor and maxAllowanceFactor bound the factor by which an organisation's
	// CPU time allowance changes per update; the factor is the ratio of maxCPUUtilisation to
	// the utilisation. Fixed steps of 0.8 down and 1.05 up kept the allowance too low under
	// bursty load: 222 instead of 322 requests a second were served with 600 arriving and 0.19
	// cores available (simulation of one small box).
	minAllowanceFactor = 0.8
	maxAllowanceFactor = 1.2
	// minCPUFraction is the fraction of the cores that a throttled organisation may always
	// use, and minCPUFractionUnserved the same for an organisation that has received nothing
	// of its fair share: where rejections alone keep the CPU busy, it would get nothing
	// otherwise.
	minCPUFraction         = 0.125
	minCPUFractionUnserved = 0.4
	// toleratedLead is how many times as much as a throttled organisation another one may be served
	// before the CPU time left to the throttled one grows, and unfairLead the factor from which that
	// is unfair.
	toleratedLead = 1.4
	unfairLead    = 2
	// allowanceStep is the fraction of the cores by which the allowance also rises per update
	// while the CPU is below its limit.
	allowanceStep = 0.0125
)

// flow is the throttling state of one organisation's requests to engines.
type flow struct {
	// sent is the number of requests sent since the last tick, sentAverage its running
	// average.
	sent        int
	sentAverage float64
	// cpuTime is the CPU time that these requests take, in nanoseconds, and cpuTimeAverage its
	// running average.
	cpuTime, cpuTimeAverage float64
	// queueFull is the number of requests rejected since the last tick because too many of the
	// organisation waited.
	queueFull int
	// cpuAllowance is the CPU time that the organisation may use per tick, in nanoseconds;
	// infinite if unlimited.
	cpuAllowance float64
	// gate is nil while all requests are admitted.
	gate *Gate
	// arrivedAverage is the running average of the CPU time that the requests arriving at the
	// gate in a tick would take, in nanoseconds, by grade.
	arrivedAverage [grades]float64
	// admitCredit is the fraction of a request carried over to the number that the gate admits
	// in the next tick.
	admitCredit float64
	// lastRejected is when a request was last rejected, and rejectedLastTick how many the gate
	// rejected in the last tick.
	lastRejected     time.Time
	rejectedLastTick int
	// throttledSince is when the gate was set up, lastNotice when it was last reported, and
	// rejectedQueueFull and rejectedBusy how many requests it has rejected since then, because
	// too many were waiting and because the router's CPU was busy.
	throttledSince, lastNotice      time.Time
	rejectedQueueFull, rejectedBusy int
}

// Controller throttles the requests that organisations send to engines through a router. Use
// New to create one.
type Controller struct {
	// tick is the interval between calls of Gates, and maxWaiting how many requests of an
	// organisation may wait for an engine.
	tick       time.Duration
	maxWaiting int
	flows      map[string]*flow
	// cpuUtilisation is the fraction of its cores that the router last used, coalesceLevel how
	// far streams coalesce events (see CoalesceLevel), and piecesPerToken the running average
	// of the number of pieces in which a token of an answer arrives.
	cpuUtilisation, coalesceLevel, piecesPerToken float64
	notices                                       []Notice
}

// New returns a controller that admits everything. Gates must be called once per tick;
// maxWaiting is how many requests of an organisation may wait for an engine.
func New(tick time.Duration, maxWaiting int) *Controller {
	return &Controller{tick: tick, maxWaiting: maxWaiting, flows: map[string]*flow{}, piecesPerToken: initialPiecesPerToken}
}

// CPUUtilisation returns the fraction of its cores that the router last used.
func (c *Controller) CPUUtilisation() float64 { return c.cpuUtilisation }

// CoalesceLevel returns how long streams should hold events back to send them together and so
// save CPU time, from 0 (not at all) to 1 (as long as callers accept).
func (c *Controller) CoalesceLevel() float64 { return c.coalesceLevel }

// Active reports whether the requests of any organisation are being counted.
func (c *Controller) Active() bool { return len(c.flows) > 0 }

// RecordSent records that a request of an organisation is sent to an engine.
func (c *Controller) RecordSent(organisation string, o RequestSize) {
	c.flow(organisation).recordSent(o.cpuTime(c.piecesPerToken))
}

// RecordQueueFull records that a request was rejected because too many requests of its
// organisation were waiting.
func (c *Controller) RecordQueueFull(organisation string) { c.flow(organisation).queueFull++ }

// RejectedLastTick returns how many requests of an organisation were rejected before parsing
// in the last tick.
func (c *Controller) RejectedLastTick(organisation string) int {
	if f := c.flows[organisation]; f != nil {
		return f.rejectedLastTick
	}
	return 0
}

// ObservePieces updates the average number of pieces per token from an ended stream, which
// brought this many pieces and tokens.
func (c *Controller) ObservePieces(pieces, tokens int) {
	c.piecesPerToken += piecesAverageWeight * (float64(pieces)/float64(tokens) - c.piecesPerToken)
}

func (c *Controller) flow(organisation string) *flow {
	f := c.flows[organisation]
	if f == nil {
		f = &flow{cpuAllowance: math.Inf(1)}
		c.flows[organisation] = f
	}
	return f
}

// recordSent records that a request is sent that takes this much CPU time.
func (f *flow) recordSent(cpuTime time.Duration) {
	f.sent++
	f.cpuTime += float64(cpuTime)
}

// updateAverages adds the last tick to the running averages and starts a new tick.
func (f *flow) updateAverages() {
	f.sentAverage += averageWeight * (float64(f.sent) - f.sentAverage)
	f.cpuTimeAverage += averageWeight * (f.cpuTime - f.cpuTimeAverage)
	f.sent, f.cpuTime = 0, 0
}

// SetCPUUtilisation records the fraction of its cores that the router recently used and
// updates the coalescing level. Above maxCPUUtilisation it lowers the CPU allowance of the
// organisation that uses most of the CPU time; otherwise it raises all allowances.
func (c *Controller) SetCPUUtilisation(now time.Time, utilisation, cores float64, shareStatus func(organisation string) ShareStatus) {
	c.cpuUtilisation = utilisation
	c.coalesceLevel = nextCoalesceLevel(c.coalesceLevel, utilisation)
	total := 0.0
	for _, f := range c.flows {
		total += f.cpuTimeAverage
	}
	tick := cores * float64(c.tick)
	for name, f := range c.flows {
		switch factor := min(max(maxCPUUtilisation/max(utilisation, minCPUFraction), minAllowanceFactor), maxAllowanceFactor); {
		case utilisation <= maxCPUUtilisation:
			f.cpuAllowance = f.cpuAllowance*factor + tick*allowanceStep
		case f.cpuTimeAverage > total*dominantCPUFraction:
			f.cpuAllowance = max(min(f.cpuAllowance, f.cpuTimeAverage)*factor, tick*shareStatus(name).cpuFloor())
			f.ensureGate(now)
			f.gate.cpuBound.Store(true)
		}
	}
}

// ShareStatus is how an organisation and its competitors stand in the fair sharing of engines.
type ShareStatus struct {
	// Served is how much the organisation was served recently, FairShare what its fair share
	// is, MostServed how much the most served organisation was served, and LeastServedWaiting how
	// much the least served organisation with waiting requests was served (infinite if none
	// waits), all in tokens.
	Served, FairShare, MostServed, LeastServedWaiting float64
}

// cpuFloor returns the fraction of the cores that an organisation may use however busy they
// are. It is larger the further the organisation is below its fair share, or the further the most
// served organisation leads beyond what is tolerated.
func (a ShareStatus) cpuFloor() float64 {
	deficit := 1.0
	if a.FairShare > 0 {
		deficit = max(1-a.Served/a.FairShare, 0)
	}
	lead := a.MostServed / max(a.Served, 1)
	deficit = max(deficit, min((lead-toleratedLead)/(unfairLead-toleratedLead), 1))
	return minCPUFraction + (minCPUFractionUnserved-minCPUFraction)*deficit
}

// Gates updates the gates and returns those that apply until the next tick, by organisation;
// nil if there are none. waiting holds the number of each organisation's requests that wait
// for an engine; shareStatus is called for organisations for which a notice is recorded.
func (c *Controller) Gates(now time.Time, waiting map[string]int, shareStatus func(organisation string) ShareStatus) map[string]*Gate {
	var out map[string]*Gate
	for name, f := range c.flows {
		f.updateAverages()
		if f.queueFull > 0 {
			f.ensureGate(now)
		}
		if f.gate != nil {
			c.updateGate(now, name, f, waiting[name], shareStatus)
		}
		if f.gate == nil {
			if f.sentAverage < negligibleSentAverage {
				delete(c.flows, name)
			}
			continue
		}
		if out == nil {
			out = map[string]*Gate{}
		}
		out[name] = f.gate
	}
	return out
}

// updateGate sets how much a gate admits until the next tick, or removes it, and records a
// notice when throttling begins, ends, or has gone on for noticeInterval.
func (c *Controller) updateGate(now time.Time, organisation string, f *flow, waiting int, shareStatus func(string) ShareStatus) {
	began := f.throttledSince.IsZero()
	if began {
		f.throttledSince = now
	}
	f.gate.piecesPerToken.Store(math.Float64bits(c.piecesPerToken))
	f.updateGate(now, c.maxWaiting-waiting)
	ended := f.gate == nil
	if !began && !ended && now.Sub(f.lastNotice) < noticeInterval {
		return
	}
	f.lastNotice = now
	c.addNotice(Notice{
		Organisation: organisation, Began: began, Ended: ended, CPUUtilisation: c.cpuUtilisation, CoalesceLevel: c.coalesceLevel, CoreLimit: f.coreLimit(c.tick),
		Waiting: waiting, ShareStatus: shareStatus(organisation), RejectedQueueFull: f.rejectedQueueFull, RejectedBusy: f.rejectedBusy, Duration: now.Sub(f.throttledSince),
	})
	if ended {
		f.throttledSince, f.rejectedQueueFull, f.rejectedBusy = time.Time{}, 0, 0
	}
}

// coreLimit returns how much of a core the organisation may use, 0 if that is unlimited.
func (f *flow) coreLimit(tick time.Duration) float64 {
	if math.IsInf(f.cpuAllowance, 1) {
		return 0
	}
	return f.cpuAllowance / float64(tick)
}

// ensureGate sets up a gate if there is none.
func (f *flow) ensureGate(now time.Time) {
	f.lastRejected = now
	f.queueFull = 0
	if f.gate == nil {
		f.gate = &Gate{}
		f.arrivedAverage = [grades]float64{}
	}
}

// updateGate sets how much the gate admits until the next tick, or removes it; room is how
// many more requests may wait for an engine.
func (f *flow) updateGate(now time.Time, room int) {
	queueFull, busy := int(f.gate.rejectedQueueFull.Swap(0)), int(f.gate.rejectedBusy.Swap(0))
	f.rejectedQueueFull += queueFull
	f.rejectedBusy += busy
	f.rejectedLastTick = queueFull + busy
	if f.rejectedLastTick > 0 {
		f.lastRejected = now
	}
	if now.Sub(f.lastRejected) > gateIdleTimeout {
		f.gate, f.admitCredit, f.rejectedLastTick, f.cpuAllowance = nil, 0, 0, math.Inf(1)
		return
	}
	for i := range f.arrivedAverage {
		f.arrivedAverage[i] += averageWeight * (float64(f.gate.arrivedCPUTime[i].Swap(0)) - f.arrivedAverage[i])
	}
	f.gate.setAllowance(&f.arrivedAverage, f.cpuAllowance)
	f.admitCredit += admitFactor*f.sentAverage + minAdmitsPerTick
	whole := int64(f.admitCredit)
	f.admitCredit -= float64(whole)
	left := max(f.gate.admitsLeft.Load(), 0) + whole
	f.gate.admitsLeft.Store(min(left, int64(max(room, 0))))
}
