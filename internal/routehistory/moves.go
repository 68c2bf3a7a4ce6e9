package routehistory

import (
	"maps"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/stepcroft/stepcroft/internal/routing"
)

const (
	// movesKeep is how long it is remembered to which services routes led, whatever their kind: as long as parts of
	// prompts are held back.
	movesKeep = time.Hour
	// maxMoves bounds the earlier shares that are remembered of a route.
	maxMoves = 8
	// maxMovedRoutes bounds the routes that are remembered. Those that moved first are forgotten first.
	maxMovedRoutes = 4096
)

// Moves tells to which services routes led before those that they lead to now. A History keeps it; any goroutine may
// ask it, and none waits for that of the history.
type Moves struct {
	// routes is replaced as a whole, with all that it holds.
	routes atomic.Pointer[map[Key][]move]
}

// move is what a route led to until a time.
type move struct {
	shares []routing.Share
	until  time.Time
}

// lead is what a route leads to.
type lead struct {
	route  Key
	shares []routing.Share
}

// end notes that routes lead elsewhere from now on, and forgets what is older than movesKeep.
func (m *Moves) end(now time.Time, ended []lead) {
	routes, since := m.load(), now.Add(-movesKeep)
	expired := func(v move) bool { return v.until.Before(since) }
	if len(ended) == 0 && !anyFirst(routes, expired) {
		return
	}
	out := maps.Clone(routes)
	if out == nil {
		out = map[Key][]move{}
	}
	for _, l := range ended {
		others := slices.DeleteFunc(slices.Clone(out[l.route]), func(v move) bool { return slices.Equal(v.shares, l.shares) })
		out[l.route] = append(others[max(len(others)-maxMoves+1, 0):], move{l.shares, now})
	}
	for k, list := range out {
		if !expired(list[0]) {
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(list), expired)
		if out[k] = kept; len(kept) == 0 {
			delete(out, k)
		}
	}
	forgetFirst(out, len(out)-maxMovedRoutes)
	m.routes.Store(&out)
}

func (m *Moves) load() map[Key][]move {
	if routes := m.routes.Load(); routes != nil {
		return *routes
	}
	return nil
}

// anyFirst reports whether the first move of any route fulfils a condition. It is the oldest one.
func anyFirst(routes map[Key][]move, ok func(move) bool) bool {
	for _, list := range routes {
		if ok(list[0]) {
			return true
		}
	}
	return false
}

// forgetFirst forgets the routes that moved first.
func forgetFirst(routes map[Key][]move, n int) {
	if n <= 0 {
		return
	}
	last := func(k Key) time.Time { list := routes[k]; return list[len(list)-1].until }
	keys := slices.SortedFunc(maps.Keys(routes), func(a, b Key) int { return last(a).Compare(last(b)) })
	for _, k := range keys[:n] {
		delete(routes, k)
	}
}

// Services returns the services but one that requests with a host, a path and an id went to, or would have gone to.
func (m *Moves) Services(host, path, id, but string) []string {
	routes := m.load()
	if len(routes) == 0 {
		return nil
	}
	list := addMoved(nil, routes, host, path, id, but)
	if name, _, err := net.SplitHostPort(host); err == nil {
		list = addMoved(list, routes, name, path, id, but)
	}
	return list
}

func addMoved(list []string, routes map[Key][]move, host, path, id, but string) []string {
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		for _, v := range routes[keyOf(host, path[:end])] {
			if service := (&routing.Route{Shares: v.shares}).Service(id); service != but && !slices.Contains(list, service) {
				list = append(list, service)
			}
		}
	}
	return list
}
