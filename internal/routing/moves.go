package routing

import (
	"maps"
	"net"
	"slices"
	"strings"
	"time"
)

const (
	// maxMoves bounds the earlier shares that are remembered of a route.
	maxMoves = 8
	// maxMovedRoutes bounds the routes that are remembered. Those that moved first are forgotten first.
	maxMovedRoutes = 4096
)

// Moves tells to which services routes led before. The zero value has none. A value is immutable.
type Moves struct {
	routes map[routeKey][]move
}

// move is what a route led to until a time.
type move struct {
	shares []Share
	until  time.Time
}

// With returns the moves after a table has taken the place of another one, without those from before a time.
func (m Moves) With(now time.Time, old, t *Table, since time.Time) Moves {
	out := Moves{maps.Clone(m.routes)}
	if out.routes == nil {
		out.routes = map[routeKey][]move{}
	}
	for r := range old.Routes() {
		k := keyOf(r)
		if next := t.routes[k.host][k.prefix]; next != nil && slices.Equal(next.Shares, r.Shares) {
			continue
		}
		others := slices.DeleteFunc(slices.Clone(out.routes[k]), func(v move) bool { return slices.Equal(v.shares, r.Shares) })
		out.routes[k] = append(others[max(len(others)-maxMoves+1, 0):], move{r.Shares, now})
	}
	for k, list := range out.routes {
		kept := slices.DeleteFunc(slices.Clone(list), func(v move) bool { return v.until.Before(since) })
		if out.routes[k] = kept; len(kept) == 0 {
			delete(out.routes, k)
		}
	}
	out.forgetFirst(len(out.routes) - maxMovedRoutes)
	return out
}

// forgetFirst forgets the routes that moved first.
func (m Moves) forgetFirst(n int) {
	if n <= 0 {
		return
	}
	last := func(k routeKey) time.Time { list := m.routes[k]; return list[len(list)-1].until }
	keys := slices.SortedFunc(maps.Keys(m.routes), func(a, b routeKey) int { return last(a).Compare(last(b)) })
	for _, k := range keys[:n] {
		delete(m.routes, k)
	}
}

// Services returns the services but one that requests with a host, a path and an id went to, or would have gone to.
func (m Moves) Services(host, path, id, but string) []string {
	if len(m.routes) == 0 {
		return nil
	}
	list := m.add(nil, host, path, id, but)
	if name, _, err := net.SplitHostPort(host); err == nil {
		list = m.add(list, name, path, id, but)
	}
	return list
}

func (m Moves) add(list []string, host, path, id, but string) []string {
	host = strings.ToLower(host)
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		for _, v := range m.routes[routeKey{host, path[:end]}] {
			if service := (&Route{Shares: v.shares}).Service(id); service != but && !slices.Contains(list, service) {
				list = append(list, service)
			}
		}
	}
	return list
}
