// Package fleetview merges the other routers' reports: how much they have
// served each organisation, where requests wait, and which routers have free
// slots.
//
// Reports carry the service as a counter that starts at zero with each
// incarnation. The view adds up the increments, never the counters themselves,
// so that a router that dies takes nothing out of the sums and one that
// restarts is not counted twice.
package fleetview

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/message"
)

// View is one router's merged view of the others. Use New to make one.
type View struct {
	random  *rand.Rand
	routers map[message.RouterID]*router
	pools   map[string]*pool
}

type router struct {
	incarnation uint64
	sequence    uint64
	reportedAt  time.Time
	// served holds the service counters last received.
	served map[counterKey]uint64
	// fromStart is set if the incarnation is known from its start, so that all
	// that it served counts here. Otherwise the first counter received for an
	// organisation is only the base for later increments.
	fromStart bool
	// forgotten is set while the router is believed dead, see Forget.
	forgotten bool
}

type counterKey struct{ pool, organisation string }

type pool struct {
	free          map[message.RouterID]int
	organisations map[string]*organisation
	// rangeFrom and rangeTo bound the local router's part of the pool's slots,
	// if the parts of all owners are laid end to end from 0 to 1.
	rangeFrom, rangeTo float64
}

type organisation struct {
	// served is the service in cost units since the last call of DrainServed.
	served  float64
	waiting map[message.RouterID]work
	// total is the sum over waiting.
	total work
	// backlogged are the routers that reported a backlog of the organisation.
	backlogged map[message.RouterID]bool
}

// work counts an organisation's requests that wait at one router.
type work struct {
	waiting int
	// quota is how many of them the local router should grant slots to before
	// the next report. The quotas of all engine owners add up to the requests
	// waiting, so that several owners do not grant a slot to the same request.
	quota int
}

func (w work) add(x work) work { return work{w.waiting + x.waiting, w.quota + x.quota} }

func (w work) subtract(x work) work { return work{w.waiting - x.waiting, w.quota - x.quota} }

// New returns an empty view. It uses r to choose among routers with work or free slots.
func New(r *rand.Rand) *View {
	return &View{random: r, routers: map[message.RouterID]*router{}, pools: map[string]*pool{}}
}

// ApplyReport merges a router's report and reports whether it was used. Reports
// that arrive out of order or twice are dropped, and so are those of an
// earlier incarnation.
func (v *View) ApplyReport(from message.RouterID, r message.Report, now time.Time) bool {
	known := v.routers[from]
	if known != nil && r.Incarnation < known.incarnation {
		return false
	}
	if known != nil && r.Incarnation == known.incarnation && r.Sequence <= known.sequence {
		return false
	}
	if known == nil || known.incarnation != r.Incarnation {
		fromStart := known != nil || r.Sequence == 1
		known = &router{incarnation: r.Incarnation, served: map[counterKey]uint64{}, fromStart: fromStart}
		v.routers[from] = known
	}
	known.sequence = r.Sequence
	known.reportedAt = now
	known.forgotten = false
	v.clearRouter(from)
	for _, p := range r.Pools {
		v.pool(p.Pool).free[from] = p.Free
		for _, o := range p.Organisations {
			v.addServed(known, p.Pool, o)
			quota := v.localQuota(p.Pool, from, o.Organisation, r.Sequence, o.Waiting)
			v.setWork(from, p.Pool, o.Organisation, work{o.Waiting, quota})
			if o.Backlogged {
				v.organisation(p.Pool, o.Organisation).backlogged[from] = true
			}
		}
	}
	return true
}

// addServed adds the service since the router's last report that contained the
// organisation.
func (v *View) addServed(r *router, pool string, o message.OrganisationReport) {
	k := counterKey{pool, o.Organisation}
	before, listed := r.served[k]
	invariant.Check(o.Service >= before, invariant.ServiceMonotonic)
	r.served[k] = max(before, o.Service)
	if (listed || r.fromStart) && o.Service > before {
		v.organisation(pool, o.Organisation).served += float64(o.Service - before)
	}
}

// Forget drops the waiting requests and free slots of a router that is believed
// dead; what it has served stays counted.
func (v *View) Forget(id message.RouterID) {
	if r := v.routers[id]; r != nil {
		r.forgotten = true
	}
	v.clearRouter(id)
}

func (v *View) clearRouter(id message.RouterID) {
	for _, p := range v.pools {
		delete(p.free, id)
		for _, o := range p.organisations {
			o.total = o.total.subtract(o.waiting[id])
			delete(o.waiting, id)
			delete(o.backlogged, id)
		}
	}
}

func (v *View) pool(name string) *pool {
	p := v.pools[name]
	if p == nil {
		p = &pool{free: map[message.RouterID]int{}, organisations: map[string]*organisation{}, rangeTo: 1}
		v.pools[name] = p
	}
	return p
}

func (v *View) organisation(poolName, name string) *organisation {
	p := v.pool(poolName)
	o := p.organisations[name]
	if o == nil {
		o = &organisation{waiting: map[message.RouterID]work{}, backlogged: map[message.RouterID]bool{}}
		p.organisations[name] = o
	}
	return o
}

// SetSlotRange sets the local router's part of a pool's slots, as the range that it
// covers if the parts of all owners are laid end to end from 0 to 1.
func (v *View) SetSlotRange(pool string, from, to float64) {
	p := v.pool(pool)
	p.rangeFrom, p.rangeTo = from, to
}

// localQuota returns how many of n requests that wait at a router fall to the
// local router. All owners round at the same offset, a hash that changes with
// each report, so that their quotas add up to n.
func (v *View) localQuota(pool string, id message.RouterID, organisation string, sequence uint64, n int) int {
	p := v.pool(pool)
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte(organisation))
	shift := float64((h.Sum64()^sequence*0x9e3779b97f4a7c15)>>11) / (1 << 53)
	return int(float64(n)*p.rangeTo+shift) - int(float64(n)*p.rangeFrom+shift)
}

// SetWaiting sets the number of an organisation's requests that wait at a router,
// as received in a message other than a report.
func (v *View) SetWaiting(id message.RouterID, pool, organisation string, n int) {
	quota := v.organisation(pool, organisation).waiting[id].quota
	v.setWork(id, pool, organisation, work{n, min(quota, n)})
}

// RecordAsk records that a router asked the local router for a slot, and has n
// requests of the organisation waiting. It raises the quota by one.
func (v *View) RecordAsk(id message.RouterID, pool, organisation string, n int) {
	quota := v.organisation(pool, organisation).waiting[id].quota
	v.setWork(id, pool, organisation, work{n, min(quota+1, n)})
}

func (v *View) setWork(id message.RouterID, pool, organisation string, w work) {
	o := v.organisation(pool, organisation)
	o.total = o.total.add(w).subtract(o.waiting[id])
	if w.waiting == 0 {
		delete(o.waiting, id)
		return
	}
	o.waiting[id] = w
}

// SetFree sets the number of free slots of a pool that a router has.
func (v *View) SetFree(id message.RouterID, pool string, n int) { v.pool(pool).free[id] = n }

// EachRemote calls f with each organisation that has requests waiting at other
// routers, their number, and the local router's quota of them.
func (v *View) EachRemote(pool string, f func(organisation string, waiting, quota int)) {
	p := v.pools[pool]
	if p == nil {
		return
	}
	for name, o := range p.organisations {
		if o.total.waiting > 0 {
			f(name, o.total.waiting, o.total.quota)
		}
	}
}

// PickHolder picks a router at which requests of an organisation wait, and counts
// one of them as taken. The choice is random, weighted by the local router's
// quotas or, once these are used up, by the requests waiting.
func (v *View) PickHolder(pool, organisation string) (message.RouterID, bool) {
	o := v.organisation(pool, organisation)
	weight, total := func(w work) int { return w.quota }, o.total.quota
	if total <= 0 {
		weight, total = func(w work) int { return w.waiting }, o.total.waiting
	}
	if total <= 0 {
		return "", false
	}
	n := v.random.IntN(total)
	for _, id := range slices.Sorted(maps.Keys(o.waiting)) {
		w := o.waiting[id]
		if n < weight(w) {
			v.setWork(id, pool, organisation, work{w.waiting - 1, max(w.quota-1, 0)})
			return id, true
		}
		n -= weight(w)
	}
	return "", false
}

// AnyFree reports whether any router has a free slot as far as is known.
func (v *View) AnyFree(pool string) bool {
	p := v.pools[pool]
	if p == nil {
		return false
	}
	for _, n := range p.free {
		if n > 0 {
			return true
		}
	}
	return false
}

// PickFreeRouter picks at random a router that has a free slot as far as is known,
// and counts that slot as taken.
func (v *View) PickFreeRouter(pool string) (message.RouterID, bool) {
	p := v.pools[pool]
	if p == nil {
		return "", false
	}
	var owners []message.RouterID
	for _, id := range slices.Sorted(maps.Keys(p.free)) {
		if p.free[id] > 0 {
			owners = append(owners, id)
		}
	}
	if len(owners) == 0 {
		return "", false
	}
	id := owners[v.random.IntN(len(owners))]
	p.free[id]--
	return id, true
}

// DrainServed calls f with each organisation, what the other routers have served it
// since the last call of DrainServed, and whether any of them reported a backlog.
func (v *View) DrainServed(pool string, f func(organisation string, served float64, backlogged bool)) {
	p := v.pools[pool]
	if p == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(p.organisations)) {
		o := p.organisations[name]
		f(name, o.served, len(o.backlogged) > 0)
		o.served = 0
	}
}

// Age returns the mean age of the latest reports of all routers but the
// forgotten ones, or zero if there are none.
func (v *View) Age(now time.Time) time.Duration {
	var sum, n time.Duration
	for _, r := range v.routers {
		if !r.forgotten {
			sum += now.Sub(r.reportedAt)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}
