// Package view adds up what the other routers report about their requests: the load on
// targets, and what organisations demanded and were served. The sums are updated with each
// report by the difference, since a large fleet reports more often than the sums are read. A
// view is driven by one goroutine.
package view

import (
	"math"
	"time"

	"github.com/stepcroft/stepcroft/internal/enginespeed"
	"github.com/stepcroft/stepcroft/internal/returns"
)

const (
	// loadTTL is how long a router's report of its load counts: several report periods, and
	// less than its requests take.
	loadTTL = 1500 * time.Millisecond
	// minWaitingTTL is the least time for which other routers' waiting requests count;
	// requests wait for a fraction of a second.
	minWaitingTTL = 250 * time.Millisecond
	// waitingTTLPercent is how long they count in percent of the report period: more than one
	// period, since a report may be late.
	waitingTTLPercent = 150
	// minPeriod is the least interval assumed between a router's reports.
	minPeriod = 100 * time.Millisecond
	// routerTTL is how long a router counts after its last report.
	routerTTL = 10 * time.Second
	// expireInterval is the time between checks for expired reports.
	expireInterval = 20 * time.Millisecond
)

// Load is the load that requests put on a target.
type Load struct {
	// PendingTokens is the number of prompt tokens sent and not yet read.
	PendingTokens int
	// Running is the number of requests sent and not finished.
	Running int
	// MemoryTokens is the number of tokens of running requests that no other request shares.
	MemoryTokens int
}

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load {
	return Load{PendingTokens: l.PendingTokens + m.PendingTokens, Running: l.Running + m.Running, MemoryTokens: l.MemoryTokens + m.MemoryTokens}
}

// Minus returns the difference of two loads.
func (l Load) Minus(m Load) Load {
	return Load{PendingTokens: l.PendingTokens - m.PendingTokens, Running: l.Running - m.Running, MemoryTokens: l.MemoryTokens - m.MemoryTokens}
}

// Usage holds the tokens that an organisation demanded and the tokens of its requests that
// were started, each weighted by DecayFactor of its age.
type Usage struct {
	Demand, Started float64
	// Waiting is the number of the organisation's requests that wait for engine capacity.
	Waiting int
}

// Valid reports whether the usage is such as a router reports. Others come from a router with a fault
// or of another version, and would stay in the sums.
func (u Usage) Valid() bool {
	return u.Demand >= 0 && u.Started >= 0 && u.Waiting >= 0 && !math.IsInf(u.Demand, 1) && !math.IsInf(u.Started, 1)
}

// DecayFactor returns the fraction of a usage that is left at this age, for a quota window:
// most of the weight lies within the window.
func DecayFactor(age, window time.Duration) float64 {
	return math.Exp(-2 * age.Seconds() / window.Seconds())
}

// Report is what a router reports to the others about its requests.
type Report struct {
	Loads map[string]Load
	Usage map[string]Usage
	// SharedParts holds, by target, shared parts of prompts that were sent there.
	SharedParts map[string][]string
	// Speeds has the times of engines, and Returns when refused callers were told to return.
	Speeds  []enginespeed.Report
	Returns []returns.Slots
}

// Active reports whether the router has requests or had some recently.
func (r Report) Active() bool { return len(r.Loads)+len(r.Usage) > 0 }

// router is the last report of one router.
type router struct {
	reportedAt time.Time
	loads      map[string]timedLoad
	usage      map[string]Usage
	// waitingCounted is set while the router's waiting requests are in the sums.
	waitingCounted bool
}

// timedLoad is a load and when it was reported.
type timedLoad struct {
	Load
	at time.Time
}

// loadSum is the sum of the loads that routers reported for a target.
type loadSum struct {
	Load
	// pendingMoment is the sum of pending tokens times when they were reported, in seconds
	// after the view's start. Divided by the pending tokens, it gives their mean report time.
	pendingMoment float64
}

// View holds the sums of what other routers reported. Use New to create one.
type View struct {
	start   time.Time
	window  time.Duration
	period  time.Duration
	routers map[string]*router
	loads   map[string]loadSum
	usage   map[string]Usage
	// decayedAt is the time up to which usage has been decayed.
	decayedAt time.Time
	expiredAt time.Time
}

// New returns an empty view for a quota window.
func New(now time.Time, window time.Duration) *View {
	return &View{
		start: now, window: window, decayedAt: now, expiredAt: now,
		routers: map[string]*router{}, loads: map[string]loadSum{}, usage: map[string]Usage{},
	}
}

// SetWindow sets the quota window.
func (v *View) SetWindow(d time.Duration) { v.window = d }

// SetPeriod sets the interval between a router's reports.
func (v *View) SetPeriod(d time.Duration) { v.period = d }

// Period returns the interval between a router's reports, and minPeriod at least.
func (v *View) Period() time.Duration { return max(v.period, minPeriod) }

// UpdateReport replaces a router's last report.
func (v *View) UpdateReport(now time.Time, name string, r Report) {
	v.decay(now)
	old := v.routers[name]
	if old != nil {
		v.dropLoads(old)
		v.dropUsage(now, old)
	}
	n := &router{reportedAt: now, loads: make(map[string]timedLoad, len(r.Loads)), usage: r.Usage, waitingCounted: true}
	v.routers[name] = n
	for target, l := range r.Loads {
		n.loads[target] = timedLoad{l, now}
		v.addTargetLoad(target, timedLoad{l, now}, 1)
	}
	for organisation, u := range r.Usage {
		v.addUsage(organisation, u, 1)
	}
}

// Remove removes everything that a router reported.
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

// UpdateLoad replaces the load that a router last reported for a target.
func (v *View) UpdateLoad(now time.Time, name, target string, l Load) {
	r := v.routers[name]
	if r == nil {
		return
	}
	if old, ok := r.loads[target]; ok {
		v.addTargetLoad(target, old, -1)
	}
	r.loads[target] = timedLoad{l, now}
	v.addTargetLoad(target, r.loads[target], 1)
}

// AddLoad adds to the load that a router last reported for a target.
func (v *View) AddLoad(now time.Time, name, target string, l Load) {
	if r := v.routers[name]; r != nil {
		v.UpdateLoad(now, name, target, r.loads[target].Plus(l))
	}
}

// Load returns the load of all other routers on a target, and the mean time at which its
// pending tokens were reported.
func (v *View) Load(now time.Time, target string) (Load, time.Time) {
	v.expire(now)
	l := v.loads[target]
	if l.PendingTokens <= 0 {
		return l.Load, now
	}
	return l.Load, v.start.Add(time.Duration(l.pendingMoment / float64(l.PendingTokens) * float64(time.Second)))
}

// Usage returns an organisation's usage at all other routers.
func (v *View) Usage(now time.Time, organisation string) Usage {
	v.expire(now)
	return v.usage[organisation].scaled(v.decayFactor(now))
}

// EachOrganisation calls f for each organisation for which any other router reported usage.
func (v *View) EachOrganisation(now time.Time, f func(organisation string, u Usage)) {
	v.expire(now)
	factor := v.decayFactor(now)
	for name, u := range v.usage {
		f(name, u.scaled(factor))
	}
}

// RouterCount returns the number of other routers that reported recently.
func (v *View) RouterCount() int { return len(v.routers) }

// expire removes expired reports from the sums.
func (v *View) expire(now time.Time) {
	if now.Sub(v.expiredAt) < expireInterval {
		return
	}
	v.expiredAt = now
	waitingAge := max(minWaitingTTL, v.period*waitingTTLPercent/100)
	for name, r := range v.routers {
		age := now.Sub(r.reportedAt)
		if r.waitingCounted && age >= waitingAge {
			v.dropWaiting(r)
		}
		if len(r.loads) > 0 && age >= loadTTL {
			v.dropLoads(r)
		}
		if age > routerTTL {
			v.decay(now)
			v.dropUsage(now, r)
			delete(v.routers, name)
		}
	}
}

func (v *View) dropLoads(r *router) {
	for target, l := range r.loads {
		v.addTargetLoad(target, l, -1)
	}
	clear(r.loads)
}

func (v *View) dropWaiting(r *router) {
	r.waitingCounted = false
	for organisation, u := range r.usage {
		v.addUsage(organisation, Usage{Waiting: u.Waiting}, -1)
	}
}

// dropUsage removes a router's usage from the sums, which must have been decayed to now.
func (v *View) dropUsage(now time.Time, r *router) {
	factor := DecayFactor(now.Sub(r.reportedAt), v.window)
	for organisation, u := range r.usage {
		if !r.waitingCounted {
			u.Waiting = 0
		}
		v.addUsage(organisation, Usage{Demand: u.Demand * factor, Started: u.Started * factor, Waiting: u.Waiting}, -1)
	}
}

// addTargetLoad adds a router's load on a target to the sums (sign 1) or removes it (sign -1).
func (v *View) addTargetLoad(target string, t timedLoad, sign int) {
	l := v.loads[target]
	if sign > 0 {
		l.Load = l.Plus(t.Load)
	} else {
		l.Load = l.Minus(t.Load)
	}
	l.pendingMoment += float64(sign*t.PendingTokens) * t.at.Sub(v.start).Seconds()
	if l.Load == (Load{}) {
		delete(v.loads, target)
		return
	}
	v.loads[target] = l
}

// addUsage adds a router's usage of an organisation to the sums (sign 1) or removes it (sign
// -1).
func (v *View) addUsage(organisation string, u Usage, sign int) {
	sum := v.usage[organisation]
	sum.Demand = max(sum.Demand+float64(sign)*u.Demand, 0)
	sum.Started = max(sum.Started+float64(sign)*u.Started, 0)
	sum.Waiting += sign * u.Waiting
	if sum.Waiting == 0 && sum.Demand < negligibleTokens && sum.Started < negligibleTokens {
		delete(v.usage, organisation)
		return
	}
	v.usage[organisation] = sum
}

// negligibleTokens is the usage, in tokens, up to which a sum counts as zero: rounding errors
// remain when reports are removed.
const negligibleTokens = 1e-3

// decayFactor returns the factor by which the usage sums have decayed since they were stored.
func (v *View) decayFactor(now time.Time) float64 {
	return DecayFactor(max(now.Sub(v.decayedAt), 0), v.window)
}

// scaled returns the usage with its tokens multiplied by a factor.
func (u Usage) scaled(factor float64) Usage {
	u.Demand *= factor
	u.Started *= factor
	return u
}

// decay stores the usage sums as they have decayed up to now. It is called for each report, and
// not for each read: reads are as frequent as requests.
func (v *View) decay(now time.Time) {
	if !now.After(v.decayedAt) {
		return
	}
	factor := v.decayFactor(now)
	v.decayedAt = now
	for name, u := range v.usage {
		v.usage[name] = u.scaled(factor)
	}
}
