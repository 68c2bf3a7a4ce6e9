package control

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/fair"
	"github.com/stepcroft/stepcroft/internal/request"
)

// pool is the state of one pool of engines: the requests that wait for it and
// what the organisations were served.
type pool struct {
	name       string
	policy     fair.Policy
	policyName string
	queue      fair.Queue[*request.Ticket]
	handles    map[*request.Ticket]fair.Handle[*request.Ticket]
	estimate   fair.Estimator
	// charged is the sum of charges for slots of engines that this router owns,
	// in cost units, by organisation.
	charged map[string]float64
	// running counts requests in progress by organisation.
	running map[string]int
	// observedService is the service as of the last call of updatePolicy, by
	// organisation.
	observedService map[string]uint64
	// reportedService is the service in the last report that included the
	// organisation, by organisation.
	reportedService map[string]uint64
	rateLimits      map[string]*bucket
	// nextTurn is the position in State.remoteOwners of the next owner to ask,
	// by organisation.
	nextTurn map[string]int
	// announcedFree is the number of free slots that was last sent to other routers.
	announcedFree int
	throughput    throughput
}

func newPool(name string) *pool {
	return &pool{
		name:            name,
		handles:         map[*request.Ticket]fair.Handle[*request.Ticket]{},
		charged:         map[string]float64{},
		running:         map[string]int{},
		observedService: map[string]uint64{},
		reportedService: map[string]uint64{},
		rateLimits:      map[string]*bucket{},
		nextTurn:        map[string]int{},
	}
}

// charge adds cost to an organisation's account: an estimate when a slot is
// taken, then corrections. Reports carry the sums, so that the fleet's view
// includes requests in progress and not only those that have ended.
func (p *pool) charge(organisation string, cost float64) {
	p.charged[organisation] += cost
	p.policy.Charge(organisation, cost)
}

// serviceTotals returns the sums charged for slots of engines that this router
// owns, by organisation. It includes organisations that were charged nothing but
// have requests waiting.
func (p *pool) serviceTotals() map[string]uint64 {
	totals := make(map[string]uint64, len(p.charged))
	for name, total := range p.charged {
		// A correction at a request's end may lower the sum, but the service in
		// reports must never decrease.
		totals[name] = max(uint64(max(total, 0)), p.observedService[name])
	}
	p.queue.EachOrganisation(func(name string, _ int) {
		if _, ok := totals[name]; !ok {
			totals[name] = 0
		}
	})
	return totals
}

// learnCost updates the cost estimates with a request that ran to its end.
func (p *pool) learnCost(organisation string, hint float64, end request.RunEnd) {
	if end.Cost > 0 && !end.Partial {
		p.estimate.Learn(organisation, hint, end.Cost)
	}
}

// finalCost returns the cost of a request that ran for took. If it was cut short,
// part of its cost is unknown, above all that of its prompt, and it is charged at
// least the mean rate of a slot of the pool. Otherwise an organisation with many
// requests cut off by their deadlines would get part of its service for free.
func (p *pool) finalCost(end request.RunEnd, took time.Duration) float64 {
	if end.Partial {
		return max(end.Cost, p.throughput.perSecond()*took.Seconds())
	}
	if end.Cost > 0 {
		p.throughput.add(end.Cost, took)
	}
	return end.Cost
}

// canMeetDeadline reports whether a request is to run in view of its deadline. It
// is if it is expected to end in time. A request that had less than twice the
// expected time from the start is run in any case, until its deadline: its caller
// is assumed to know better than the estimate.
func (p *pool) canMeetDeadline(t *request.Ticket, now time.Time) bool {
	remaining := t.Deadline().Sub(now)
	rate := p.throughput.perSecond()
	if remaining <= 0 || rate == 0 {
		return remaining > 0
	}
	expected := time.Duration(p.estimate.Estimate(t.Organisation(), t.CostHint()) / rate * float64(time.Second))
	return remaining >= expected || t.Deadline().Sub(t.Arrived()) < 2*expected
}

// throughput is the mean rate at which a slot of a pool serves cost units. Older
// requests count less.
type throughput struct {
	cost, seconds float64
}

// throughputDecay is the factor by which each request lowers the weight of the
// older ones.
const throughputDecay = 0.98

func (p *throughput) add(cost float64, took time.Duration) {
	p.cost = p.cost*throughputDecay + cost
	p.seconds = p.seconds*throughputDecay + took.Seconds()
}

// perSecond returns cost units per second, or 0 before any request has ended.
func (p *throughput) perSecond() float64 {
	if p.seconds == 0 {
		return 0
	}
	return p.cost / p.seconds
}
