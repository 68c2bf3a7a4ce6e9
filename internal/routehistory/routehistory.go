// Package routehistory remembers to which services routes led. The rest of a stream is routed anew, perhaps by
// another configuration than its beginning, so that what is known of the service of the moment says nothing about a
// stream that began at another one: a History knows where streams went within its length, and whether it knows all of
// that. What is held back of prompts at a service must be held back where their route moves: Moves tells requests of any
// kind where their routes led.
package routehistory

import (
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/stepcroft/stepcroft/internal/rendezvous"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// maxUses bounds the uses that are kept. A history that would have more forgets those that are gone, and is known again
// once it has its length.
const maxUses = 1 << 15

// maxDelay is how long other routers may take to put a configuration in force after this one.
const maxDelay = 6 * time.Second

// Key identifies a route by its host and path prefix. Names of routes may change while streams run.
type Key uint64

// keyOf returns the key of a route.
func keyOf(host, prefix string) Key {
	return Key(rendezvous.Hash(strings.ToLower(host) + "\x00" + prefix))
}

// Use tells to which services a route sends streams, or sent them until a while ago.
type Use struct {
	Route Key
	// Shares is empty if the requests of the route are no streams.
	Shares []routing.Share
	// Came is set if there was no such route within the history's length, CameFor how long it has been there.
	Came    bool
	CameFor time.Duration
	// Gone is set if another use has taken its place, or the route has gone, and GoneFor how long ago.
	Gone    bool
	GoneFor time.Duration
}

// use is a Use since a time and until a time, which is zero if it lasts.
type use struct {
	shares []routing.Share
	until  time.Time
}

// route has the uses of a route, one for each set of services, the newest one last.
type route struct {
	uses []use
	// since is when there was no such route last, the zero time if that is longer ago than matters.
	since time.Time
	// leads is what the route leads to by the configuration in force, nil if that has no such route.
	leads []routing.Share
}

// current returns the use that lasts, or nil.
func (r *route) current() *use {
	if n := len(r.uses); n > 0 && r.uses[n-1].until.IsZero() {
		return &r.uses[n-1]
	}
	return nil
}

// end ends the use that lasts.
func (r *route) end(now time.Time) {
	if u := r.current(); u != nil {
		u.until = now
	}
}

// History has the services of the configurations that were in force within a time. Use New to make one. It is used by
// one goroutine.
type History struct {
	keep   time.Duration
	routes map[Key]*route
	// moves has what routes led to, for other goroutines.
	moves *Moves
	// changedAt is when a route's services changed last, limitsChangedAt when requests were limited to other regions last.
	changedAt, limitsChangedAt time.Time
	// table is the configuration in force, since setAt.
	table *routing.Table
	setAt time.Time
	// startedAt is from when the history is known unless it was restored, once a configuration is.
	startedAt time.Time
	restored  bool
	// blind is set if, while the history is not known, it may lack all that others have of the same time.
	blind bool
}

// New returns a history of the last time of a length.
func New(now time.Time, keep time.Duration) *History {
	return &History{keep: keep, routes: map[Key]*route{}, moves: &Moves{}, startedAt: now, blind: true}
}

// Moves tells where routes led. It stays the same, and follows all configurations that are put in force.
func (h *History) Moves() *Moves { return h.moves }

// Set puts a configuration in force, and reports whether the services of any route have changed.
func (h *History) Set(now time.Time, t *routing.Table) bool {
	first := h.table == nil && len(h.routes) == 0
	if h.table == nil {
		h.startedAt = now
	}
	if h.table != nil && h.table.RegionLimits() != t.RegionLimits() {
		h.limitsChangedAt = now
	}
	h.table, h.setAt = t, now
	h.expire(now)
	changed := false
	var ended []lead
	present := make(map[Key]bool, len(h.routes))
	for r := range t.Routes() {
		k := keyOf(r.Host, r.Prefix)
		present[k] = true
		changed = h.set(now, k, sharesOf(r), first) || changed
		if v := h.routes[k]; !slices.Equal(v.leads, r.Shares) {
			if v.leads != nil {
				ended = append(ended, lead{k, v.leads})
			}
			v.leads = r.Shares
		}
	}
	for k, r := range h.routes {
		if !present[k] && r.current() != nil {
			r.end(now)
			changed = true
			if r.leads != nil {
				ended = append(ended, lead{k, r.leads})
				r.leads = nil
			}
		}
	}
	h.moves.end(now, ended)
	h.bound(now)
	if changed && !first {
		h.changedAt = now
	}
	return changed && !first
}

// set puts a use in force, and reports whether it differs from that before. If isOld is set, the route has always been.
func (h *History) set(now time.Time, k Key, shares []routing.Share, isOld bool) bool {
	r := h.routes[k]
	if r == nil {
		r = &route{}
		h.routes[k] = r
	}
	current := r.current()
	switch {
	case current != nil && slices.Equal(current.shares, shares):
		return false
	case current != nil:
		current.until = now
	case !isOld:
		r.since = now
	}
	r.insert(use{shares: shares})
	return true
}

// sharesOf returns the services that a route sends streams to.
func sharesOf(r *routing.Route) []routing.Share {
	if r.Kind != routing.Streaming {
		return nil
	}
	return r.Shares
}

// expire forgets what ended too long ago.
func (h *History) expire(now time.Time) {
	for k, r := range h.routes {
		r.uses = slices.DeleteFunc(r.uses, func(u use) bool { return !u.until.IsZero() && now.Sub(u.until) > h.keep })
		if len(r.uses) == 0 {
			delete(h.routes, k)
		}
	}
}

// bound forgets what is gone if there is too much of it.
func (h *History) bound(now time.Time) {
	n := 0
	for _, r := range h.routes {
		n += len(r.uses)
	}
	if n <= maxUses {
		return
	}
	for k, r := range h.routes {
		r.uses = slices.DeleteFunc(r.uses, func(u use) bool { return !u.until.IsZero() })
		if len(r.uses) == 0 {
			delete(h.routes, k)
		}
	}
	h.startedAt, h.restored, h.blind = now, false, true
}

// Known reports whether the history has all configurations that were in force within its length.
func (h *History) Known(now time.Time) bool {
	return h.restored || h.table != nil && now.Sub(h.startedAt) > h.keep
}

// Forget makes the history unknown until it is restored or as long as its length has passed: configurations may have been
// in force that it lacks, for a time.
func (h *History) Forget(now time.Time, missed time.Duration) {
	h.blind = !h.Known(now) && h.blind || missed > h.keep
	h.startedAt, h.restored = now, false
}

// MayContradict reports whether other routers may have none of the services of this history in theirs: they may not have
// the configuration in force yet, and none of those before is known here.
func (h *History) MayContradict(now time.Time) bool {
	return !h.Known(now) && h.blind && (h.table == nil || now.Sub(h.setAt) <= maxDelay)
}

// HasChanged reports whether the services of any route have changed within the history's length.
func (h *History) HasChanged(now time.Time) bool {
	return !h.changedAt.IsZero() && now.Sub(h.changedAt) <= h.keep
}

// Services returns the services at which a stream with a host and path may have begun, given the id of the request that
// began it; without an id, all that its route may have chosen. They include a service, the one of the moment.
func (h *History) Services(now time.Time, host, path, id, service string) []string {
	list := []string{service}
	if !h.HasChanged(now) && id != "" {
		return list
	}
	list = h.add(now, list, host, path, id)
	if name, _, err := net.SplitHostPort(host); err == nil {
		list = h.add(now, list, name, path, id)
	}
	return list
}

// add adds the services of the routes of a host that a path has matched. A shorter prefix matters only if there has not
// always been a route with a longer one.
func (h *History) add(now time.Time, list []string, host, path, id string) []string {
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		r := h.routes[keyOf(host, path[:end])]
		if r == nil {
			continue
		}
		for _, u := range r.uses {
			if u.until.IsZero() || now.Sub(u.until) <= h.keep {
				list = u.addServices(list, id)
			}
		}
		if r.current() != nil && (r.since.IsZero() || now.Sub(r.since) > h.keep) {
			break
		}
	}
	return list
}

// addServices adds the services that the use may choose for a stream.
func (u use) addServices(list []string, id string) []string {
	add := func(service string) {
		if !slices.Contains(list, service) {
			list = append(list, service)
		}
	}
	switch {
	case len(u.shares) == 0:
	case id != "":
		add((&routing.Route{Shares: u.shares}).Service(id))
	default:
		for _, s := range u.shares {
			add(s.Service)
		}
	}
	return list
}

// Uses returns what the history has, ordered by route.
func (h *History) Uses(now time.Time) []Use {
	h.expire(now)
	var list []Use
	for _, k := range slices.Sorted(maps.Keys(h.routes)) {
		for _, u := range h.routes[k].uses {
			out := Use{Route: k, Shares: u.shares}
			if since := h.routes[k].since; !since.IsZero() && now.Sub(since) <= h.keep {
				out.Came, out.CameFor = true, now.Sub(since)
			}
			if !u.until.IsZero() {
				out.Gone, out.GoneFor = true, now.Sub(u.until)
			}
			list = append(list, out)
		}
	}
	return list
}

// Restore adds the uses that were known when a configuration was in force, before this process started, and the
// configurations that came into force after that one, in their order, if these are all.
func (h *History) Restore(now time.Time, uses []Use, later []*routing.Table) {
	own := h.Uses(now)
	restored := New(now, h.keep)
	for _, u := range uses {
		r := restored.routes[u.Route]
		if r == nil {
			r = &route{}
			restored.routes[u.Route] = r
		}
		if u.Came {
			r.since = latest(r.since, now.Add(-u.CameFor))
			restored.changedAt = latest(restored.changedAt, r.since)
		}
		end := time.Time{}
		if u.Gone {
			end = now.Add(-u.GoneFor)
			restored.changedAt = latest(restored.changedAt, end)
		}
		r.insert(use{shares: u.Shares, until: end})
	}
	restored.expire(now)
	for _, t := range later {
		restored.Set(now, t)
	}
	for _, u := range own {
		if u.Gone {
			restored.addGone(now, u)
		}
	}
	if h.table != nil {
		restored.Set(now, h.table)
	}
	restored.changedAt, restored.limitsChangedAt = latest(restored.changedAt, h.changedAt), h.limitsChangedAt
	restored.startedAt, restored.setAt, restored.restored, restored.moves = h.startedAt, h.setAt, true, h.moves
	*h = *restored
}

// Limits tells which limits of regions there are, and whether they have changed within the history's length, and how long
// ago.
type Limits struct {
	Of         uint64
	Changed    bool
	ChangedFor time.Duration
}

// Limits returns the limits of regions of the configuration in force.
func (h *History) Limits(now time.Time) Limits {
	var l Limits
	if h.table != nil {
		l.Of = h.table.RegionLimits()
	}
	if h.LimitsChanged(now) {
		l.Changed, l.ChangedFor = true, now.Sub(h.limitsChangedAt)
	}
	return l
}

// LimitsChanged reports whether requests were limited to other regions within the history's length.
func (h *History) LimitsChanged(now time.Time) bool {
	return !h.limitsChangedAt.IsZero() && now.Sub(h.limitsChangedAt) <= h.keep
}

// RestoreLimits is Restore for limits of regions. Call it first.
func (h *History) RestoreLimits(now time.Time, l Limits, later []*routing.Table) {
	if l.Changed {
		h.limitsChangedAt = latest(h.limitsChangedAt, now.Add(-l.ChangedFor))
	}
	of := l.Of
	for _, t := range append(slices.Clone(later), h.table) {
		if t != nil && t.RegionLimits() != of {
			h.limitsChangedAt, of = now, t.RegionLimits()
		}
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// insert adds a use in front of the one that lasts. Of several with the same services, the last one tells all.
func (r *route) insert(u use) {
	if i := slices.IndexFunc(r.uses, func(o use) bool { return slices.Equal(o.shares, u.shares) }); i >= 0 {
		old := r.uses[i]
		if old.until.IsZero() || !u.until.IsZero() && !u.until.After(old.until) {
			return
		}
		r.uses = slices.Delete(r.uses, i, i+1)
	}
	at := len(r.uses)
	if r.current() != nil && !u.until.IsZero() {
		at--
	}
	r.uses = slices.Insert(r.uses, at, u)
}

// addGone adds a use that is gone.
func (h *History) addGone(now time.Time, u Use) {
	r := h.routes[u.Route]
	if r == nil {
		r = &route{}
		h.routes[u.Route] = r
	}
	r.insert(use{shares: u.Shares, until: now.Add(-u.GoneFor)})
	h.changedAt = latest(h.changedAt, now.Add(-u.GoneFor))
}
