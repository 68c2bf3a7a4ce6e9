package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// defaultDeadline is the deadline of requests whose scenario sets none.
const defaultDeadline = 30 * time.Second

// Arrival is one request that a load test will send.
type Arrival struct {
	// At is the time of sending, relative to the start of the load.
	At time.Duration
	// Tag identifies the request within the scenario; see standin.Prompt.
	Tag          string
	Organisation string
	// Group is the group of requests that this one belongs to.
	Group *RequestGroup
	// RouterIndex is the index of the router that the request is sent to.
	RouterIndex int
	// Tokens is the number of tokens to generate.
	Tokens int
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// Streamed asks for a streamed answer.
	Streamed bool
	// CostHint is the cost that the caller announces, in tokens; 0 means no hint.
	CostHint float64
	Deadline time.Duration
}

// Plan draws all arrivals of the scenario at random and returns them in order of time. The same
// seed gives the same arrivals.
func (s *Scenario) Plan(seed uint64) []Arrival {
	var all []Arrival
	for i := range s.Organisations {
		o := &s.Organisations[i]
		for j := range o.Requests {
			r := rand.New(rand.NewPCG(seed, uint64(i*1000+j)))
			all = append(all, s.drawArrivals(o, j, r)...)
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// drawArrivals draws the arrivals of o.Requests[index], a Poisson process whose rate is raised
// during a flood.
func (s *Scenario) drawArrivals(o *Organisation, index int, r *rand.Rand) []Arrival {
	q := &o.Requests[index]
	routers := r.Perm(s.Routers)
	if q.Routers > 0 {
		routers = routers[:q.Routers]
	}
	var list []Arrival
	at := time.Duration(0)
	for n := 0; ; n++ {
		rate := q.Rate * q.Flood.factorAt(at)
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at >= time.Duration(s.Duration) {
			return list
		}
		list = append(list, Arrival{
			At:           at,
			Tag:          fmt.Sprintf("%s-%d-%d", o.Name, index, n),
			Organisation: o.Name,
			Group:        q,
			RouterIndex:  q.drawRouter(routers, r),
			Tokens:       q.Tokens.draw(r),
			PromptTokens: q.PromptTokens.draw(r),
			Streamed:     r.Float64() < q.StreamedFraction,
			Deadline:     cmp.Or(time.Duration(q.Deadline), defaultDeadline),
		})
		last := &list[len(list)-1]
		last.CostHint = q.drawHint(last.Tokens, r)
	}
}

// factorAt returns by how much the flood multiplies the rate at a time after the start.
func (f Flood) factorAt(at time.Duration) float64 {
	if f.Factor == 0 || at < time.Duration(f.Start) || at >= time.Duration(f.Start+f.Duration) {
		return 1
	}
	return f.Factor
}

// drawRouter draws the router of a request from the given ones.
func (q *RequestGroup) drawRouter(routers []int, r *rand.Rand) int {
	if r.Float64() < q.Skew {
		return routers[0]
	}
	return routers[r.IntN(len(routers))]
}

// drawHint draws a cost hint that is too high or too low by a factor of up to MaxHintFactor.
func (q *RequestGroup) drawHint(tokens int, r *rand.Rand) float64 {
	if q.MaxHintFactor == 0 {
		return 0
	}
	deviation := math.Exp((2*r.Float64() - 1) * math.Log(q.MaxHintFactor))
	return max(1, float64(tokens)*deviation)
}

// draw returns a random token count of at least 1.
func (l TokenDistribution) draw(r *rand.Rand) int {
	if l.Mean <= 0 {
		return 1
	}
	n := l.Mean * math.Exp(l.Sigma*r.NormFloat64()-l.Sigma*l.Sigma/2)
	if l.Max > 0 {
		n = min(n, float64(l.Max))
	}
	return max(1, int(n))
}
