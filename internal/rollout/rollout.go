// Package rollout moves the requests of a service from the present version of its targets to
// another one that operators ordered, and back if that version turns out to be bad.
//
// Until a version is trusted, each router sends it a fixed part of its requests, selected by a
// hash of the request's id. So all routers together keep within the allowed part whatever their
// number, without knowing one another. They count the answers of both versions and report the
// counts to each other; a version whose answers are worse than those of the others beside it is
// rolled back. Shortly before the order's time limit a version that did well gets all requests,
// and then the roll-out is complete.
//
// A Tracker does no I/O and reads no clock. It must be used from one goroutine.
package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/rendezvous"
	"github.com/stepcroft/stepcroft/internal/revision"
)

// State is how far a roll-out has got, as recorded in the store.
type State string

// The states. A roll-out without a state has not been noticed by any router. RolledBack and
// Complete are final.
const (
	Serving    State = "serving"
	Complete   State = "complete"
	RolledBack State = "rolled_back"
)

// Final reports whether the state does not change any more.
func (s State) Final() bool { return s == Complete || s == RolledBack }

// Order asks to move a service's requests to targets of another version.
type Order struct {
	Service, Version string
	// Duration is the time, from the order, by which the roll-out should be complete.
	Duration time.Duration
	// State is the recorded state for this version.
	State State
	// Revision is the store's revision of the order.
	Revision int64
}

// Counts are numbers of answers.
type Counts struct{ Answers, Bad int }

// Plus returns the sum of two counts.
func (c Counts) Plus(d Counts) Counts { return Counts{c.Answers + d.Answers, c.Bad + d.Bad} }

// Results are the counts of one router for a roll-out, of the ordered version and of all others,
// since the router learnt of the order.
type Results struct {
	Service, Version string
	New, Other       Counts
}

const (
	// trialPercent is the part of the allowed exposure that a version on trial gets. The rest is
	// used when it gets all requests shortly before the time limit.
	trialPercent = 30
	// shiftPercent is the part of the allowed exposure, in time, for which the version gets all
	// requests before the time limit.
	shiftPercent = 55
	// completePercent is the time in percent of the order's duration at which a roll-out is
	// recorded as complete.
	completePercent = 98
	// minAnswers is the number of answers of all routers below which a version is not trusted.
	minAnswers = 50
	// A version is bad if at least minBad of its answers are, and that is more than the share of
	// the other versions lets expect by badDeviations standard deviations.
	minBad        = 6
	badDeviations = 4
	// maxDecisionDelay bounds the random delay after which a decision is recorded, so that not all
	// routers write it.
	maxDecisionDelay = 250 * time.Millisecond
	// rewriteInterval is the time after which a decision that is still not recorded is written
	// again.
	rewriteInterval = time.Second
)

// progress is the state of one roll-out.
type progress struct {
	Order
	// since is when this router learnt of the order.
	since time.Time
	// own holds the results of this router, peers the latest ones of the others, by their names.
	own   Results
	peers map[string]Results
	// decided is this router's decision, to be written at writeAt.
	decided State
	writeAt time.Time
	// ended is the final state that was recorded last. A store that was restored from an older copy may
	// lack it: then it is recorded again, for routers that start later.
	ended State
}

// Tracker follows the roll-outs of all services. Use New to make one.
type Tracker struct {
	// exposure is the allowed part of a service's requests, from 0 to 1.
	exposure float64
	random   func() float64
	byName   map[string]*progress
	// rolledBack has the last orders that ended so and are no longer in the store, by service.
	rolledBack map[string]*progress
}

// New returns a tracker without orders. exposure is the part of a service's requests, from 0 to 1,
// that a bad version may get; random returns numbers from 0 to 1.
func New(exposure float64, random func() float64) *Tracker {
	return &Tracker{exposure: exposure, random: random, byName: map[string]*progress{}, rolledBack: map[string]*progress{}}
}

// SetExposure changes the allowed part.
func (t *Tracker) SetExposure(exposure float64) { t.exposure = exposure }

// SetOrders replaces the orders. What is known of those that stay is kept.
func (t *Tracker) SetOrders(now time.Time, list []Order) {
	kept := map[string]*progress{}
	for _, o := range list {
		p := t.byName[o.Service]
		if p == nil {
			p = t.lost(o)
		}
		if p == nil || p.Version != o.Version {
			p = &progress{since: now, own: Results{Service: o.Service, Version: o.Version}, peers: map[string]Results{}}
		}
		if o.State.Final() {
			p.ended = o.State
		}
		p.Order = o
		kept[o.Service] = p
		delete(t.rolledBack, o.Service)
	}
	for service, p := range t.byName {
		if kept[service] == nil && p.ended == RolledBack {
			t.rolledBack[service] = p
		}
	}
	t.byName = kept
}

// lost returns what is known of an order that comes back in a later era of the store, whose older copy may have
// lacked it, nil if nothing is. In the same era it is an order that operators have withdrawn and given again.
func (t *Tracker) lost(o Order) *progress {
	p := t.rolledBack[o.Service]
	if p == nil || revision.Era(o.Revision) <= revision.Era(p.Revision) {
		return nil
	}
	return p
}

// state returns the state by which requests are sent: the recorded end, or else this router's decision, or else
// the recorded state.
func (p *progress) state() State { return cmp.Or(p.ended, p.decided, p.State) }

// shifted reports whether the version gets all requests although the roll-out is not complete.
func (t *Tracker) shifted(now time.Time, p *progress) bool {
	left := p.Duration - now.Sub(p.since)
	return left < time.Duration(t.exposure*shiftPercent/100*float64(p.Duration)) && p.trusted()
}

// Allows reports whether a request may be sent to a target of a version.
func (t *Tracker) Allows(now time.Time, service, version, request string) bool {
	p := t.byName[service]
	if p == nil || version != p.Version {
		return true
	}
	switch p.state() {
	case RolledBack:
		return false
	case Complete:
		return true
	case Serving:
	}
	return t.shifted(now, p) || t.onTrial(request)
}

// RolledBack reports whether a version was rolled back, so that it gets no more requests.
func (t *Tracker) RolledBack(service, version string) bool {
	if !t.Active() {
		return false
	}
	p := t.byName[service]
	return p != nil && version == p.Version && p.state() == RolledBack
}

// Preferred returns the version that a request should be sent to if a target of it has room, or
// false if it does not matter.
func (t *Tracker) Preferred(now time.Time, service, request string) (string, bool) {
	p := t.byName[service]
	if p == nil || p.state() == RolledBack || !t.Allows(now, service, p.Version, request) {
		return "", false
	}
	return p.Version, true
}

// onTrial reports whether a request is one of those that a version on trial gets.
func (t *Tracker) onTrial(request string) bool {
	part := float64(rendezvous.Hash(request)>>11) / (1 << 53)
	return part < t.exposure*trialPercent/100
}

// Active reports whether any roll-out is in force.
func (t *Tracker) Active() bool { return t != nil && len(t.byName) > 0 }

// Record counts an answer of a target. A bad one failed or was several times slower than expected.
func (t *Tracker) Record(service, version string, bad bool) {
	p := t.byName[service]
	if p == nil || p.ended.Final() {
		return
	}
	c := &p.own.Other
	if version == p.Version {
		c = &p.own.New
	}
	c.Answers++
	if bad {
		c.Bad++
	}
}

// Results returns this router's results, for the others.
func (t *Tracker) Results() []Results {
	var list []Results
	for _, service := range slices.Sorted(maps.Keys(t.byName)) {
		if p := t.byName[service]; !p.ended.Final() && p.own.New.Answers+p.own.Other.Answers > 0 {
			list = append(list, p.own)
		}
	}
	return list
}

// SetPeer replaces the results of another router, or of several that are summed under one name.
func (t *Tracker) SetPeer(name string, list []Results) {
	for _, r := range list {
		if p := t.byName[r.Service]; p != nil && p.Version == r.Version {
			p.peers[name] = r
		}
	}
}

// RemovePeer drops the results of another router, which a sum includes from now on.
func (t *Tracker) RemovePeer(name string) {
	for _, p := range t.byName {
		delete(p.peers, name)
	}
}

// totals returns the counts of all routers.
func (p *progress) totals() (ordered, other Counts) {
	ordered, other = p.own.New, p.own.Other
	for _, r := range p.peers {
		ordered, other = ordered.Plus(r.New), other.Plus(r.Other)
	}
	return ordered, other
}

// trusted reports whether the version has shown that it is no worse than the others.
func (p *progress) trusted() bool {
	ordered, other := p.totals()
	return ordered.Answers >= minAnswers && deviations(ordered, other) < badDeviations/2
}

// bad reports whether the version is worse than the others.
func (p *progress) bad() bool {
	ordered, other := p.totals()
	return ordered.Bad >= minBad && deviations(ordered, other) >= badDeviations
}

// deviations returns by how many standard deviations more answers are bad than the share among the
// other answers lets expect.
func deviations(c, other Counts) float64 {
	if c.Answers == 0 {
		return 0
	}
	share := float64(other.Bad+1) / float64(other.Answers+2)
	share = min(max(share, 0.001), 0.999)
	n := float64(c.Answers)
	return (float64(c.Bad) - n*share) / math.Sqrt(n*share*(1-share))
}

// Decision is a state to record in the store. Order is as last known there.
type Decision struct {
	Order
	State State
}

// Decide returns the states to record now. Call it every few tens of milliseconds.
func (t *Tracker) Decide(now time.Time) []Decision {
	var list []Decision
	for _, p := range t.byName {
		next := p.next(now)
		if next == "" || next == p.State {
			continue
		}
		if next != p.decided {
			p.decided = next
			p.writeAt = now.Add(time.Duration(t.random() * float64(maxDecisionDelay)))
		}
		if !now.Before(p.writeAt) {
			p.writeAt = now.Add(rewriteInterval)
			list = append(list, Decision{Order: p.Order, State: next})
		}
	}
	slices.SortFunc(list, func(a, b Decision) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// next returns the state that this router would record.
func (p *progress) next(now time.Time) State {
	passed := now.Sub(p.since)
	switch {
	case p.ended.Final():
		return p.ended
	case p.decided == RolledBack || p.bad():
		return RolledBack
	case passed*100 >= p.Duration*completePercent && p.trusted():
		return Complete
	}
	return Serving
}

// Phases returns the present state of each roll-out by service, for logs and metrics.
func (t *Tracker) Phases() map[string]State {
	out := map[string]State{}
	for service, p := range t.byName {
		out[service] = cmp.Or(p.state(), Serving)
	}
	return out
}
