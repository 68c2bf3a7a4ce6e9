// Package routerlog tells what is missing in routers' logs: files that could not be read, and parts that end without an
// account of the router's requests.
package routerlog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stepcroft/stepcroft/internal/explain"
)

// Messages of the lines that tell what other lines do not.
const (
	// MessageAccounted is that of the account of all requests at the end of a planned stop.
	MessageAccounted = "requests accounted"
	// MessageDropped counts lines that a router dropped, MessageSums requests, some of which have no line.
	MessageDropped = "log lines dropped"
	MessageSums    = "requests of an organisation"
)

const (
	msgStarted = "router runs"
	msgStopped = "planned stop is done"
	// startTolerance is how long before its line msgStarted a router may write others.
	startTolerance = 2 * time.Second
)

// The ways in which logs, or parts of them, end without an account of the router's requests.
const (
	crashed   = "started again without an account of the requests before: a crash"
	stopped   = "stopped as planned without an account of its requests, as older versions do"
	noAccount = "log ends without an account of requests: the router still runs, or it crashed"
)

// Unread says what of the logs could not be read.
type Unread struct {
	// BadLines is the number of lines that could not be parsed, Files that of files that could not be read to their end,
	// and Others that of files that hold no line of a log, whose lines are not among BadLines.
	BadLines int `json:"bad_lines"`
	Files    int `json:"unread_files"`
	Others   int `json:"other_files"`
	// OtherNames has the names of the first maxNamed of Others.
	OtherNames []string `json:"other_file_names"`
}

// maxNamed bounds the files without a line of a log that are named.
const maxNamed = 5

// AddOther notes a file that holds no line of a log.
func (u *Unread) AddOther(name string) {
	if u.Others++; len(u.OtherNames) < maxNamed {
		u.OtherNames = append(u.OtherNames, name)
	}
}

// OthersText names the files that hold no line of a log, and is empty if there are none.
func (u Unread) OthersText() string {
	if u.Others == 0 {
		return ""
	}
	out := fmt.Sprintf("%d files hold no line of a log: %s", u.Others, strings.Join(u.OtherNames, ", "))
	if n := u.Others - len(u.OtherNames); n > 0 {
		out += fmt.Sprintf(" and %d others", n)
	}
	return out
}

// Text says it in words, nothing if all was read.
func (u Unread) Text() []string {
	var out []string
	say := func(n int, format string) {
		if n > 0 {
			out = append(out, fmt.Sprintf(format, n))
		}
	}
	say(u.BadLines, "%d lines could not be parsed")
	say(u.Files, "%d files could not be read to their end")
	if u.Others > 0 {
		out = append(out, u.OthersText())
	}
	return out
}

// End is the end of a router's log, or of a part of it, without the account of its requests.
type End struct {
	Router string    `json:"router"`
	Time   time.Time `json:"time"`
	What   string    `json:"what"`
	// Crash is set if the router is known to have crashed.
	Crash bool `json:"crash"`
}

// Text lists ends, those of the same kind in one line.
func Text(list []End) []string {
	var out []string
	for _, what := range []string{crashed, stopped, noAccount} {
		var names []string
		for _, e := range list {
			if e.What == what {
				names = append(names, e.Router+" "+e.Time.Format("15:04:05.000"))
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

// Logs are the logs by router. Use New to create them.
type Logs struct{ byRouter map[string]*routerLog }

// New returns logs without any line.
func New() Logs { return Logs{map[string]*routerLog{}} }

// Add notes a line.
func (logs Logs) Add(l explain.Line) {
	// Lines about other routers name them by the key that otherwise holds the router that writes.
	if l.Router == "" || l.Time.IsZero() || strings.HasPrefix(l.Message, "router believed") {
		return
	}
	r := logs.byRouter[l.Router]
	if r == nil {
		r = &routerLog{first: l.Time}
		logs.byRouter[l.Router] = r
	}
	if l.Time.Before(r.first) {
		r.first = l.Time
	}
	if l.Time.After(r.last) {
		r.last = l.Time
	}
	if l.Message == msgStarted || l.Message == msgStopped || l.Message == MessageAccounted {
		r.marks = append(r.marks, mark{l.Time, l.Message})
	}
}

// Ends returns the ends without an account, crashes first.
func (logs Logs) Ends() []End {
	out := []End{}
	for _, name := range slices.Sorted(maps.Keys(logs.byRouter)) {
		out = append(out, logs.byRouter[name].ends(name)...)
	}
	slices.SortStableFunc(out, func(a, b End) int {
		if a.Crash != b.Crash {
			return map[bool]int{true: -1, false: 1}[a.Crash]
		}
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Router, b.Router))
	})
	return out
}

func (r *routerLog) ends(name string) []End {
	slices.SortStableFunc(r.marks, func(a, b mark) int { return a.at.Compare(b.at) })
	var out []End
	previous := ""
	for _, m := range r.marks {
		if m.message == msgStarted {
			switch {
			case previous == msgStarted, previous == "" && m.at.Sub(r.first) > startTolerance:
				out = append(out, End{name, m.at, crashed, true})
			case previous == msgStopped:
				out = append(out, End{name, m.at, stopped, false})
			}
		}
		previous = m.message
	}
	switch previous {
	case MessageAccounted:
	case msgStopped:
		out = append(out, End{name, r.last, stopped, false})
	default:
		out = append(out, End{name, r.last, noAccount, false})
	}
	return out
}
