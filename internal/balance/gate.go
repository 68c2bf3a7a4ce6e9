package balance

import (
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
	// smoothLag is the lag of the control thread up to which it keeps up: about
	// a tick. Beyond, gates let in less in proportion.
	smoothLag = tickTime
	// lagWeight is the weight of the newest tick in the average lag.
	lagWeight = 0.2
	// negligibleFlow is an average of sends a tick that is none.
	negligibleFlow = 0.01
)

// gate bounds how many requests to engines a router reads of an organisation
// that sends many times what engines take. The rest is refused from its first
// bytes: a box of 0.2 cores that read and queued 900 requests a second to send
// 30 of them was lost to the other routers for seconds, and sent none.
type gate struct {
	// left is how many may still come in until the next tick.
	left atomic.Int64
	// refused counts those that were refused since the last tick.
	refused atomic.Int64
}

// flow is what becomes of an organisation's requests to engines.
type flow struct {
	// sent is the number sent since the last tick, pace its running average.
	sent int
	pace float64
	// crowded is the number refused since the last tick because too many waited.
	crowded int
	// gate is nil as long as all may come in.
	gate *gate
	// credit is the part of a request that the gate may yet let in.
	credit float64
	// refused is when a request was last refused for the others, and lately how
	// many the gate refused in the last tick.
	refused time.Time
	lately  int
}

func (s *State) flow(organisation string) *flow {
	f := s.flows[organisation]
	if f == nil {
		f = &flow{}
		s.flows[organisation] = f
	}
	return f
}

// gatesAt returns the gates that are to hold until the next tick, by
// organisation; nil if there are none. The control thread is lag late.
func (s *State) gatesAt(now time.Time, lag time.Duration) map[string]*gate {
	s.lag += time.Duration(lagWeight * float64(lag-s.lag))
	waiting := s.waitingOf()
	var out map[string]*gate
	for name, f := range s.flows {
		f.pace += flowWeight * (float64(f.sent) - f.pace)
		f.sent = 0
		if f.crowded > 0 {
			f.refused, f.crowded = now, 0
			if f.gate == nil {
				f.gate = &gate{}
			}
		}
		if f.gate != nil {
			f.turn(now, waiting[name], s.lag)
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

// turn sets how many requests the gate lets in until the next tick, or takes it
// away.
func (f *flow) turn(now time.Time, waiting int, lag time.Duration) {
	f.lately = int(f.gate.refused.Swap(0))
	if f.lately > 0 {
		f.refused = now
	}
	if now.Sub(f.refused) > gateTime {
		f.gate, f.credit, f.lately = nil, 0, 0
		return
	}
	more := gateShare * f.pace
	if lag > smoothLag {
		more *= float64(smoothLag) / float64(lag)
	}
	f.credit += more + gateLeast
	whole := int64(f.credit)
	f.credit -= float64(whole)
	left := max(f.gate.left.Load(), 0) + whole
	f.gate.left.Store(min(left, int64(max(maxWaitingOne-waiting, 0))))
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
