package balance

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// flowWeight is the weight of the newest tick in the running average of an
	// organisation's sends.
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
	// it keeps the organisation back that makes it send most: beyond, all that
	// it does comes late, also what other routers tell it.
	busyLimit = 0.8
	// busyShare is the part of all sends from which that organisation is kept
	// back: it is no use where many send a little.
	busyShare = 0.5
	// busyCut is what the number of requests let in is multiplied with each time
	// that the processor is found busy, and busyRise the same where it is not:
	// fast down, since queues grow meanwhile, and slowly up.
	busyCut  = 0.8
	busyRise = 1.05
	// busyLeast is how many requests a tick and core it is let send all the same,
	// at about a millisecond of the processor each an eighth of it: where refusals
	// alone keep the processor busy, nothing would be left for its share.
	busyLeast = 2.5
	// busyTicks is the number of ticks between looks at the processor, lateTicks
	// the number of ticks that they take where the processor is busy.
	busyTicks = 5
	lateTicks = 8
)

// gate bounds how many requests to engines a router reads of an organisation
// that sends many times what engines take, or what the router's processor can
// do. The rest is refused from its first bytes: a box of 0.2 cores that read
// and queued 900 requests a second to send 30 of them was lost to the other
// routers for seconds, and sent none.
type gate struct {
	// left is how many may still come in until the next tick.
	left atomic.Int64
	// refused counts those that were refused since the last tick.
	refused atomic.Int64
	// busy is set if it is there because the processor does no more.
	busy atomic.Bool
}

// flow is what becomes of an organisation's requests to engines.
type flow struct {
	// sent is the number sent since the last tick, pace its running average.
	sent int
	pace float64
	// crowded is the number refused since the last tick because too many waited.
	crowded int
	// most is how many requests a tick the processor allows.
	most float64
	// gate is nil as long as all may come in.
	gate *gate
	// credit is the part of a request that the gate may yet let in.
	credit float64
	// refused is when a request was last refused for the others, and lately how
	// many the gate refused in the last tick.
	refused time.Time
	lately  int
	// since is when the gate was set up, unread how many it refused since.
	since  time.Time
	unread int
}

func (s *State) flow(organisation string) *flow {
	f := s.flows[organisation]
	if f == nil {
		f = &flow{most: math.Inf(1)}
		s.flows[organisation] = f
	}
	return f
}

// SetBusy notes which part of its cores the router used lately, and keeps the
// organisation back that makes it send most if that is too much.
func (s *State) SetBusy(now time.Time, part, cores float64) {
	s.busy = part
	total := 0.0
	for _, f := range s.flows {
		total += f.pace
	}
	for _, f := range s.flows {
		switch {
		case part <= busyLimit:
			f.most = f.most*busyRise + gateLeast
		case f.pace > total*busyShare:
			f.most = max(min(f.most, f.pace)*busyCut, busyLeast*cores)
			f.shut(now)
			f.gate.busy.Store(true)
		}
	}
}

// gatesAt returns the gates that are to hold until the next tick, by
// organisation; nil if there are none.
func (s *State) gatesAt(now time.Time) map[string]*gate {
	waiting := s.waitingOf()
	var out map[string]*gate
	for name, f := range s.flows {
		f.pace += flowWeight * (float64(f.sent) - f.pace)
		f.sent = 0
		if f.crowded > 0 {
			f.shut(now)
		}
		if f.gate != nil {
			s.turn(now, name, f, waiting[name])
		}
		if f.gate == nil {
			if f.pace < negligibleFlow {
				delete(s.flows, name)
			}
			continue
		}
		if out == nil {
			out = map[string]*gate{}
		}
		out[name] = f.gate
	}
	return out
}

// turn sets what a gate lets in until the next tick, or takes it away.
func (s *State) turn(now time.Time, organisation string, f *flow, waiting int) {
	began := f.since.IsZero()
	if began {
		f.since = now
	}
	why := f.gate.why()
	f.turn(now, waiting)
	switch {
	case f.gate == nil:
		s.keptBack(Kept{Organisation: organisation, Why: why, Busy: s.busy, Unread: f.unread, Lasted: now.Sub(f.since)})
		f.since, f.unread = time.Time{}, 0
	case began:
		s.keptBack(Kept{Organisation: organisation, Why: why, Began: true, Busy: s.busy, PerSecond: f.perTick() / tickTime.Seconds()})
	}
}

// shut sets up a gate, or keeps the one that is there.
func (f *flow) shut(now time.Time) {
	f.refused = now
	f.crowded = 0
	if f.gate == nil {
		f.gate = &gate{}
	}
}

// perTick returns how many requests the gate lets in a tick.
func (f *flow) perTick() float64 { return min(gateShare*f.pace+gateLeast, f.most) }

// turn sets how many requests the gate lets in until the next tick, or takes it
// away.
func (f *flow) turn(now time.Time, waiting int) {
	f.lately = int(f.gate.refused.Swap(0))
	f.unread += f.lately
	if f.lately > 0 {
		f.refused = now
	}
	if now.Sub(f.refused) > gateTime {
		f.gate, f.credit, f.lately, f.most = nil, 0, 0, math.Inf(1)
		return
	}
	f.credit += f.perTick()
	whole := int64(f.credit)
	f.credit -= float64(whole)
	left := max(f.gate.left.Load(), 0) + whole
	f.gate.left.Store(min(left, int64(max(maxWaitingOne-waiting, 0))))
}

// why returns the reason for which requests are refused unread.
func (g *gate) why() Reason {
	if g.busy.Load() {
		return Busy
	}
	return Crowded
}

// crowds reports whether a request is to be refused unread.
func (g *gate) crowds() bool {
	if g.left.Load() > 0 {
		return false
	}
	g.refused.Add(1)
	return true
}

// admit lets a request in, or reports that there are too many.
func (g *gate) admit() bool {
	if g.left.Add(-1) >= 0 {
		return true
	}
	g.refused.Add(1)
	return false
}
