package fair

// fifo serves the organisation whose oldest request has waited longest at this
// router. When none wait here it serves the organisation with the most requests
// waiting at other routers.
type fifo struct{}

func newFIFO() *fifo { return &fifo{} }

func (*fifo) Reach() Reach { return ReachLocalFirst }

func (*fifo) Pick(candidates []Candidate) int {
	best := 0
	for i, c := range candidates {
		if waitedLonger(c, candidates[best]) {
			best = i
		}
	}
	return best
}

// waitedLonger reports whether a is to be served before b, see fifo.
func waitedLonger(a, b Candidate) bool {
	if (a.LocalWaiting > 0) != (b.LocalWaiting > 0) {
		return a.LocalWaiting > 0
	}
	if a.LocalWaiting > 0 {
		return a.OldestArrival.Before(b.OldestArrival)
	}
	return a.RemoteWaiting > b.RemoteWaiting
}

func (*fifo) Charge(string, float64) {}

func (*fifo) Urgent(string) bool { return false }

func (*fifo) Observe(View) {}

// leastServed serves the organisation that this router has served least in
// proportion to its weight: the virtual token counter of "Fairness in Serving
// Large Language Models" (OSDI 2024), kept by each router separately.
type leastServed struct {
	reach  Reach
	served map[string]float64
	active map[string]bool
	// floor is the weighted service of the organisation picked last.
	floor float64
}

func newLeastServed(reach Reach) *leastServed {
	return &leastServed{reach: reach, served: map[string]float64{}, active: map[string]bool{}}
}

func (l *leastServed) Reach() Reach { return l.reach }

func (l *leastServed) Pick(candidates []Candidate) int {
	l.raiseToFloor(candidates)
	best := 0
	for i, c := range candidates {
		if l.weighted(c) < l.weighted(candidates[best]) {
			best = i
		}
	}
	l.floor = l.weighted(candidates[best])
	return best
}

func (l *leastServed) weighted(c Candidate) float64 { return l.served[c.Organisation] / c.Weight }

// raiseToFloor raises the service of organisations that have just become active
// to the floor, so that idle time earns no credit. It does so also if no other
// organisation is active, as when requests arrive while a slot is free.
func (l *leastServed) raiseToFloor(candidates []Candidate) {
	active := make(map[string]bool, len(candidates))
	for _, c := range candidates {
		active[c.Organisation] = true
		if !l.active[c.Organisation] {
			l.served[c.Organisation] = max(l.served[c.Organisation], l.floor*c.Weight)
		}
	}
	l.active = active
}

func (l *leastServed) Charge(organisation string, cost float64) { l.served[organisation] += cost }

func (*leastServed) Urgent(string) bool { return false }

func (*leastServed) Observe(View) {}

// greedy serves the organisation with the least service in the fleet view plus
// this router's charges since that view. As views are seconds old, all routers
// pick the same organisation; the policy exists for comparison.
type greedy struct {
	leastServed
	sinceView map[string]float64
}

func newGreedy() *greedy {
	return &greedy{leastServed: *newLeastServed(ReachFleet), sinceView: map[string]float64{}}
}

func (g *greedy) Charge(organisation string, cost float64) {
	g.served[organisation] += cost
	g.sinceView[organisation] += cost
}

// Observe replaces the charges since the last view by what the fleet served.
func (g *greedy) Observe(v View) {
	for organisation, cost := range g.sinceView {
		g.served[organisation] -= cost
		delete(g.sinceView, organisation)
	}
	for _, s := range v.Organisations {
		g.served[s.Organisation] += s.Served
	}
}
