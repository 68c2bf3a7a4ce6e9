// Package throttle decides how much of each organisation's requests to engines a router
// reads, and how much streams let events come together, by what its processor and the
// engines take. The rest is refused from its first bytes. A Control is a plain state
// machine: time comes in through arguments and one goroutine drives it; its Gates are for
// goroutines that read requests.
package throttle

import (
	"math"
	"time"
)

const (
	// flowWeight is the weight of the newest tick in the running averages of an
	// organisation's requests.
	flowWeight = 0.05
	// gateShare is how many requests a gate lets in for each that was sent
	// lately: room may have grown.
	gateShare = 2
	// gateLeast is how many requests a gate lets in a tick in any case: ten a
	// second, to find out whether there is room again.
	gateLeast = 0.2
	// gateTime is for how long a gate stays that has refused nothing.
	gateTime = 500 * time.Millisecond
	// negligibleFlow is an average of sends a tick that is none.
	negligibleFlow = 0.01

	// busyLimit is the part of the processor that a router uses at most before
	// it throttles the organisation that makes it send most: beyond, all that
	// it does comes late, also what other routers tell it.
	busyLimit = 0.8
	// busyShare is the part of the processor time of all sends from which that
	// organisation is throttled: it is no use where many send a little.
	busyShare = 0.5
	// busyCut and busyRise bound what the processor time allowed is multiplied with at
	// each look: by how much the part used differs from the limit. With steps of 0.8
	// down and 1.05 up, bursts kept it low: 222 instead of 322 requests a second were
	// served where 600 came and 0.19 cores were there (the play of one small box).
	busyCut  = 0.8
	busyRise = 1.2
	// busyLeast is the part of the cores that it is let use all the same, and shareLeast
	// that where it had nothing of its share yet: where refusals alone keep the processor
	// busy, nothing would be left for it.
	busyLeast  = 0.125
	shareLeast = 0.4
	// busyStep is the part of the cores by which it rises in any case where the
	// processor is not busy.
	busyStep = 0.0125
)

// flow is what becomes of an organisation's requests to engines.
type flow struct {
	// sent is the number sent since the last tick, pace its running average.
	sent int
	pace float64
	// spent is the processor time that those take, in nanoseconds, and effort its
	// running average.
	spent, effort float64
	// crowded is the number refused since the last tick because too many waited.
	crowded int
	// most is how much processor time a tick is allowed, in nanoseconds.
	most float64
	// gate is nil as long as all may come in.
	gate *Gate
	// arrived is the running average of what comes to the gate in a tick, by grade.
	arrived [grades]float64
	// credit is the part of a request that the gate may yet let in.
	credit float64
	// refused is when a request was last refused for the others, and lately how
	// many the gate refused in the last tick.
	refused time.Time
	lately  int
	// since is when the gate was set up, told when that was last told, crowdedOut
	// and busiedOut how many it refused since because too many wait and for the
	// processor.
	since, told           time.Time
	crowdedOut, busiedOut int
}

// Controller is what becomes of the requests that organisations send to engines through a
// router. Use New to make one.
type Controller struct {
	// tick is the time between calls of Gates, waitingMost how many requests of an
	// organisation may wait for an engine.
	tick        time.Duration
	waitingMost int
	flows       map[string]*flow
	// busy is the part of its cores that the router used last, coalesce how much streams
	// let events come together, and pieces how many pieces a token of an answer comes in.
	busy, coalesce, pieces float64
	notices                []Notice
}

// New returns a control that lets all in. Gates is to be called each tick; waitingMost is
// how many requests of an organisation may wait for an engine.
func New(tick time.Duration, waitingMost int) *Controller {
	return &Controller{tick: tick, waitingMost: waitingMost, flows: map[string]*flow{}, pieces: firstPieces}
}

// CPUUtilisation returns the part of its cores that the router used last.
func (c *Controller) CPUUtilisation() float64 { return c.busy }

// CoalesceLevel returns how much streams should let events come together to save the processor's
// time, from 0 (none) to 1 (as long as callers accept).
func (c *Controller) CoalesceLevel() float64 { return c.coalesce }

// RecordSent notes a request of an organisation that is sent to an engine.
func (c *Controller) RecordSent(organisation string, o RequestSize) {
	c.flow(organisation).note(o.effort(c.pieces))
}

// RecordQueueFull notes a request that was refused because too many of its organisation wait.
func (c *Controller) RecordQueueFull(organisation string) { c.flow(organisation).crowded++ }

// RejectedLastTick returns how many requests of an organisation were refused unread in the last tick.
func (c *Controller) RejectedLastTick(organisation string) int {
	if f := c.flows[organisation]; f != nil {
		return f.lately
	}
	return 0
}

// ObservePieces learns from a stream in how many pieces a token comes.
func (c *Controller) ObservePieces(pieces, tokens int) {
	c.pieces += piecesWeight * (float64(pieces)/float64(tokens) - c.pieces)
}

func (c *Controller) flow(organisation string) *flow {
	f := c.flows[organisation]
	if f == nil {
		f = &flow{most: math.Inf(1)}
		c.flows[organisation] = f
	}
	return f
}

// note counts a request that is sent.
func (f *flow) note(effort time.Duration) {
	f.sent++
	f.spent += float64(effort)
}

// average takes the last tick into the running averages.
func (f *flow) average() {
	f.pace += flowWeight * (float64(f.sent) - f.pace)
	f.effort += flowWeight * (f.spent - f.effort)
	f.sent, f.spent = 0, 0
}

// SetCPUUtilisation notes which part of its cores the router used lately, lets streams coalesce
// accordingly, and throttles the organisation that takes most if that is too much.
func (c *Controller) SetCPUUtilisation(now time.Time, part, cores float64, account func(organisation string) ShareStatus) {
	c.busy = part
	c.coalesce = coalesceAt(c.coalesce, part)
	total := 0.0
	for _, f := range c.flows {
		total += f.effort
	}
	tick := cores * float64(c.tick)
	for name, f := range c.flows {
		switch change := min(max(busyLimit/max(part, busyLeast), busyCut), busyRise); {
		case part <= busyLimit:
			f.most = f.most*change + tick*busyStep
		case f.effort > total*busyShare:
			f.most = max(min(f.most, f.effort)*change, tick*account(name).least())
			f.shut(now)
			f.gate.busy.Store(true)
		}
	}
}

// ShareStatus is what else is known of an organisation, for notices.
type ShareStatus struct {
	// Served is what it got lately, FairShare what is an organisation's share, and LeastServedWaiting the
	// least that one got which waits, infinite if none does, all in tokens.
	Served, FairShare, LeastServedWaiting float64
}

// least returns the part of the cores that an organisation is let use however busy they are:
// the more, the further it is behind its share. Beyond its share it takes from the others what
// it is let in for.
func (a ShareStatus) least() float64 {
	behind := 1.0
	if a.FairShare > 0 {
		behind = max(1-a.Served/a.FairShare, 0)
	}
	return busyLeast + (shareLeast-busyLeast)*behind
}

// Gates returns the gates that are to hold until the next tick, by organisation; nil if
// there are none. Waiting has how many requests of each wait for an engine; account is asked
// for those of which there is a notice.
func (c *Controller) Gates(now time.Time, waiting map[string]int, account func(organisation string) ShareStatus) map[string]*Gate {
	var out map[string]*Gate
	for name, f := range c.flows {
		f.average()
		if f.crowded > 0 {
			f.shut(now)
		}
		if f.gate != nil {
			c.turn(now, name, f, waiting[name], account)
		}
		if f.gate == nil {
			if f.pace < negligibleFlow {
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

// turn sets what a gate lets in until the next tick, or takes it away.
func (c *Controller) turn(now time.Time, organisation string, f *flow, waiting int, account func(string) ShareStatus) {
	began := f.since.IsZero()
	if began {
		f.since = now
	}
	f.gate.pieces.Store(math.Float64bits(c.pieces))
	f.turn(now, c.waitingMost-waiting)
	ended := f.gate == nil
	if !began && !ended && now.Sub(f.told) < noticePeriod {
		return
	}
	f.told = now
	c.notice(Notice{
		Organisation: organisation, Began: began, Ended: ended, CPUUtilisation: c.busy, CoalesceLevel: c.coalesce, CoreLimit: f.cores(c.tick),
		Waiting: waiting, ShareStatus: account(organisation), RejectedQueueFull: f.crowdedOut, RejectedBusy: f.busiedOut, Duration: now.Sub(f.since),
	})
	if ended {
		f.since, f.crowdedOut, f.busiedOut = time.Time{}, 0, 0
	}
}

// cores returns how much of a core the organisation may use, 0 if that is not bounded.
func (f *flow) cores(tick time.Duration) float64 {
	if math.IsInf(f.most, 1) {
		return 0
	}
	return f.most / float64(tick)
}

// shut sets up a gate, or keeps the one that is there.
func (f *flow) shut(now time.Time) {
	f.refused = now
	f.crowded = 0
	if f.gate == nil {
		f.gate = &Gate{}
		f.arrived = [grades]float64{}
	}
}

// turn sets how much the gate lets in until the next tick, or takes it away; room is how
// many more may wait for an engine.
func (f *flow) turn(now time.Time, room int) {
	crowded, busied := int(f.gate.crowded.Swap(0)), int(f.gate.busied.Swap(0))
	f.crowdedOut += crowded
	f.busiedOut += busied
	f.lately = crowded + busied
	if f.lately > 0 {
		f.refused = now
	}
	if now.Sub(f.refused) > gateTime {
		f.gate, f.credit, f.lately, f.most = nil, 0, 0, math.Inf(1)
		return
	}
	for i := range f.arrived {
		f.arrived[i] += flowWeight * (float64(f.gate.arrived[i].Swap(0)) - f.arrived[i])
	}
	f.gate.allow(&f.arrived, f.most)
	f.credit += gateShare*f.pace + gateLeast
	whole := int64(f.credit)
	f.credit -= float64(whole)
	left := max(f.gate.left.Load(), 0) + whole
	f.gate.left.Store(min(left, int64(max(room, 0))))
}
