// Package view adds up what the other routers report of their requests: what
// they put on targets, and what organisations asked for and got. Sums change
// with each report by what it changes, since a large fleet reports more often
// than the sums are asked for. A view is driven by one goroutine.
package view

import (
	"math"
	"time"
)

const (
	// loadAge is for how long a router's report of its load counts: several
	// report periods, and less than its requests take.
	loadAge = 1500 * time.Millisecond
	// waitingLeast is the least time for which other routers' waiting requests
	// count: they wait for a fraction of a second.
	waitingLeast = 250 * time.Millisecond
	// waitingPeriods is for how many report periods they count, in percent: a
	// report may come late.
	waitingPeriods = 150
	// routerAge is for how long a router that fell silent is still counted.
	routerAge = 10 * time.Second
	// expireTime is the time between looks for what is too old.
	expireTime = 20 * time.Millisecond
)

// Load is what requests put on a target, in tokens and requests.
type Load struct {
	// PendingTokens is the number of prompt tokens sent and not yet read.
	PendingTokens int
	// Running is the number of requests sent and not ended.
	Running int
	// Memory is the number of tokens of running requests that are theirs
	// alone.
	Memory int
}

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load {
	return Load{PendingTokens: l.PendingTokens + m.PendingTokens, Running: l.Running + m.Running, Memory: l.Memory + m.Memory}
}

// Minus returns what is left of a load without another.
func (l Load) Minus(m Load) Load {
	return Load{PendingTokens: l.PendingTokens - m.PendingTokens, Running: l.Running - m.Running, Memory: l.Memory - m.Memory}
}

// Usage is what an organisation asked for and got, in tokens, each token
// counting less with its age (see Decay).
type Usage struct {
	Demand, Started float64
	// Waiting is the number of its requests to engines that wait for room.
	Waiting int
}

// DecayFactor returns the part of a usage that is left after a time, for a quota
// window: most of the weight lies within the window.
func DecayFactor(age, window time.Duration) float64 {
	return math.Exp(-2 * age.Seconds() / window.Seconds())
}

// Report is what a router tells the others of its requests.
type Report struct {
	Loads map[string]Load
	Usage map[string]Usage
	// SharedParts has, by target, shared parts of prompts that were sent there.
	SharedParts map[string][]string
}

// Active reports whether the router has requests or had some lately.
func (r Report) Active() bool { return len(r.Loads)+len(r.Usage) > 0 }

// router is what one router said last.
type router struct {
	at    time.Time
	loads map[string]told
	usage map[string]Usage
	// waits is set while its waiting requests are in the sums.
	waits bool
}

// told is a load and when it was told.
type told struct {
	Load
	at time.Time
}

// load adds up what routers told of a target.
type load struct {
	Load
	// moment is the sum of unread tokens times when they were told, in seconds
	// after the view's start.
	moment float64
}

// View is the sum of what other routers said. Use New to make one.
type View struct {
	start   time.Time
	window  time.Duration
	period  time.Duration
	routers map[string]*router
	loads   map[string]load
	usage   map[string]Usage
	// decayed is the time as of which usage is.
	decayed time.Time
	expired time.Time
}

// New returns an empty view for a quota window.
func New(now time.Time, window time.Duration) *View {
	return &View{
		start: now, window: window, decayed: now, expired: now,
		routers: map[string]*router{}, loads: map[string]load{}, usage: map[string]Usage{},
	}
}

// SetWindow takes over another quota window.
func (v *View) SetWindow(d time.Duration) { v.window = d }

// SetPeriod says how much time is between a router's reports.
func (v *View) SetPeriod(d time.Duration) { v.period = d }

// UpdateReport takes in a router's report, which replaces its last one.
func (v *View) UpdateReport(now time.Time, name string, r Report) {
	v.decay(now)
	old := v.routers[name]
	if old != nil {
		v.dropLoads(old)
		v.dropUsage(now, old)
	}
	n := &router{at: now, loads: make(map[string]told, len(r.Loads)), usage: r.Usage, waits: true}
	v.routers[name] = n
	for target, l := range r.Loads {
		n.loads[target] = told{l, now}
		v.add(target, told{l, now}, 1)
	}
	for organisation, u := range r.Usage {
		v.addUsage(organisation, u, 1)
	}
}

// Remove takes out all that a router said.
func (v *View) Remove(now time.Time, name string) {
	r := v.routers[name]
	if r == nil {
		return
	}
	v.decay(now)
	v.dropLoads(r)
	v.dropUsage(now, r)
	delete(v.routers, name)
}

// UpdateLoad takes in what a router's requests now put on a target; it replaces
// what its last report said of that target.
func (v *View) UpdateLoad(now time.Time, name, target string, l Load) {
	r := v.routers[name]
	if r == nil {
		return
	}
	if old, ok := r.loads[target]; ok {
		v.add(target, old, -1)
	}
	r.loads[target] = told{l, now}
	v.add(target, r.loads[target], 1)
}

// AddLoad adds to what a router's requests put on a target, as it was last told.
func (v *View) AddLoad(now time.Time, name, target string, l Load) {
	if r := v.routers[name]; r != nil {
		v.UpdateLoad(now, name, target, r.loads[target].Plus(l))
	}
}

// Load returns what all other routers put on a target, and the mean time at
// which its unread tokens were told.
func (v *View) Load(now time.Time, target string) (Load, time.Time) {
	v.expire(now)
	l := v.loads[target]
	if l.PendingTokens <= 0 {
		return l.Load, now
	}
	return l.Load, v.start.Add(time.Duration(l.moment / float64(l.PendingTokens) * float64(time.Second)))
}

// Usage returns what an organisation asked for and got at all other routers.
func (v *View) Usage(now time.Time, organisation string) Usage {
	v.expire(now)
	v.decay(now)
	return v.usage[organisation]
}

// EachOrganisation calls f for each organisation that any other router told of.
func (v *View) EachOrganisation(now time.Time, f func(organisation string, u Usage)) {
	v.expire(now)
	v.decay(now)
	for name, u := range v.usage {
		f(name, u)
	}
}

// RouterCount returns the number of other routers that were heard lately.
func (v *View) RouterCount() int { return len(v.routers) }

// expire takes out what is too old.
func (v *View) expire(now time.Time) {
	if now.Sub(v.expired) < expireTime {
		return
	}
	v.expired = now
	waitingAge := max(waitingLeast, v.period*waitingPeriods/100)
	for name, r := range v.routers {
		age := now.Sub(r.at)
		if r.waits && age >= waitingAge {
			v.dropWaiting(r)
		}
		if len(r.loads) > 0 && age >= loadAge {
			v.dropLoads(r)
		}
		if age > routerAge {
			v.decay(now)
			v.dropUsage(now, r)
			delete(v.routers, name)
		}
	}
}

func (v *View) dropLoads(r *router) {
	for target, l := range r.loads {
		v.add(target, l, -1)
	}
	clear(r.loads)
}

func (v *View) dropWaiting(r *router) {
	r.waits = false
	for organisation, u := range r.usage {
		v.addUsage(organisation, Usage{Waiting: u.Waiting}, -1)
	}
}

// dropUsage takes a router's usage out of the sums, which are as of now.
func (v *View) dropUsage(now time.Time, r *router) {
	left := DecayFactor(now.Sub(r.at), v.window)
	for organisation, u := range r.usage {
		if !r.waits {
			u.Waiting = 0
		}
		v.addUsage(organisation, Usage{Demand: u.Demand * left, Started: u.Started * left, Waiting: u.Waiting}, -1)
	}
}

// add adds what a router told of a target to the sums, or takes it out.
func (v *View) add(target string, t told, sign int) {
	l := v.loads[target]
	if sign > 0 {
		l.Load = l.Plus(t.Load)
	} else {
		l.Load = l.Minus(t.Load)
	}
	l.moment += float64(sign*t.PendingTokens) * t.at.Sub(v.start).Seconds()
	if l.Load == (Load{}) {
		delete(v.loads, target)
		return
	}
	v.loads[target] = l
}

func (v *View) addUsage(organisation string, u Usage, sign int) {
	sum := v.usage[organisation]
	sum.Demand = max(sum.Demand+float64(sign)*u.Demand, 0)
	sum.Started = max(sum.Started+float64(sign)*u.Started, 0)
	sum.Waiting += sign * u.Waiting
	if sum.Waiting == 0 && sum.Demand < negligible && sum.Started < negligible {
		delete(v.usage, organisation)
		return
	}
	v.usage[organisation] = sum
}

// negligible is a usage in tokens that is none: what is left by rounding.
const negligible = 1e-3

// decay brings the sums of usage to now.
func (v *View) decay(now time.Time) {
	if !now.After(v.decayed) {
		return
	}
	left := DecayFactor(now.Sub(v.decayed), v.window)
	v.decayed = now
	for name, u := range v.usage {
		u.Demand *= left
		u.Started *= left
		v.usage[name] = u
	}
}
