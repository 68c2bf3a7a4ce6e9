package changes

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stepcroft/stepcroft/internal/explain"
)

const (
	msgStarted   = "router runs"
	msgStopped   = "planned stop is done"
	msgAccounted = "requests accounted"
	// startTolerance is how long before its line msgStarted a router may write others.
	startTolerance = 2 * time.Second
)

// The ways in which logs, or parts of them, end without an account of the router's requests.
const (
	crashed   = "started again without an account of the requests before: a crash"
	stopped   = "stopped as planned without an account of its requests, as older versions do"
	noAccount = "log ends without an account of requests: the router still runs, or it crashed"
)

// RouterEnd is the end of a router's log, or of a part of it, without the account of its requests.
type RouterEnd struct {
	Router string    `json:"router"`
	Time   time.Time `json:"time"`
	What   string    `json:"what"`
	// Crash is set if the router is known to have crashed.
	Crash bool `json:"crash"`
}

// routersText lists the ends, those of the same kind in one line.
func routersText(list []RouterEnd) []string {
	var out []string
	for _, what := range []string{crashed, stopped, noAccount} {
		var names []string
		for _, e := range list {
			if e.What == what {
				names = append(names, e.Router+" "+clock(e.Time))
			}
		}
		if len(names) > 0 {
			out = append(out, what+": "+strings.Join(names, ", "))
		}
	}
	return out
}

type mark struct {
	at      time.Time
	message string
}

// routerLog is what is known of a router's log, whatever the order of its files.
type routerLog struct {
	first, last time.Time
	marks       []mark
}

// routerLogs are the logs by router.
type routerLogs map[string]*routerLog

func (logs routerLogs) add(l explain.Line) {
	// Lines about other routers name them by the key that otherwise holds the router that writes.
	if l.Router == "" || l.Time.IsZero() || strings.HasPrefix(l.Message, "router believed") {
		return
	}
	r := logs[l.Router]
	if r == nil {
		r = &routerLog{first: l.Time}
		logs[l.Router] = r
	}
	if l.Time.Before(r.first) {
		r.first = l.Time
	}
	if l.Time.After(r.last) {
		r.last = l.Time
	}
	if l.Message == msgStarted || l.Message == msgStopped || l.Message == msgAccounted {
		r.marks = append(r.marks, mark{l.Time, l.Message})
	}
}

// ends returns the routers without an account, crashes first.
func (logs routerLogs) ends() []RouterEnd {
	out := []RouterEnd{}
	for _, name := range slices.Sorted(maps.Keys(logs)) {
		out = append(out, logs[name].ends(name)...)
	}
	slices.SortStableFunc(out, func(a, b RouterEnd) int {
		if a.Crash != b.Crash {
			return map[bool]int{true: -1, false: 1}[a.Crash]
		}
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Router, b.Router))
	})
	return out
}

func (r *routerLog) ends(name string) []RouterEnd {
	slices.SortStableFunc(r.marks, func(a, b mark) int { return a.at.Compare(b.at) })
	var out []RouterEnd
	previous := ""
	for _, m := range r.marks {
		if m.message == msgStarted {
			switch {
			case previous == msgStarted, previous == "" && m.at.Sub(r.first) > startTolerance:
				out = append(out, RouterEnd{name, m.at, crashed, true})
			case previous == msgStopped:
				out = append(out, RouterEnd{name, m.at, stopped, false})
			}
		}
		previous = m.message
	}
	switch previous {
	case msgAccounted:
	case msgStopped:
		out = append(out, RouterEnd{name, r.last, stopped, false})
	default:
		out = append(out, RouterEnd{name, r.last, noAccount, false})
	}
	return out
}
