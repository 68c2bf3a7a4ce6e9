package changes

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/stepcroft/stepcroft/internal/explain"
	"github.com/stepcroft/stepcroft/internal/explain/routerlog"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
)

// maxAlarmLines bounds the lines that are shown of each alarm.
const maxAlarmLines = 20

// alarmMessages are the messages of the lines that tell of a request that may have been lost, without its own line.
var alarmMessages = []string{"request has no end", "request has two ends", "account of requests is wrong", "callers closed without an answer"}

// Alarm is what logs have of a message that tells of a lost request.
type Alarm struct {
	Message string `json:"message"`
	Lines   int    `json:"lines"`
	Near    int    `json:"near"`
	// Shown holds the first lines near the selected changes, or of all if none is near.
	Shown []string `json:"shown"`
	other []string
}

func (a *Alarm) add(l explain.Line, near bool) {
	a.Lines++
	list := &a.other
	if near {
		a.Near++
		list = &a.Shown
	}
	if len(*list) < maxAlarmLines {
		*list = append(*list, clock(l.Time)+"  "+l.Router+" "+l.String())
	}
}

// Gaps says what is missing in the logs, and what they tell of requests that have no line.
type Gaps struct {
	// Alarms has the messages that tell of lost requests.
	Alarms []Alarm `json:"alarms"`
	// Accounts is the number of routers' accounts at the end of planned stops; AccountedEnds and AccountedNear add them up,
	// since the start of each router and near any change.
	Accounts      int                   `json:"accounts"`
	AccountedEnds map[lifecycle.End]int `json:"accounted_ends"`
	AccountedNear map[lifecycle.End]int `json:"accounted_near_change"`
	// Dropped is the number of lines that routers dropped, WithoutLine that of requests known to have none.
	Dropped         int `json:"lines_dropped"`
	DroppedNear     int `json:"lines_dropped_near"`
	WithoutLine     int `json:"without_line"`
	WithoutLineNear int `json:"without_line_near"`
	// Derived is the number of requests whose lines do not have their end.
	Derived int `json:"derived_ends"`
	routerlog.Unread
	// ChangesForgotten is the number of old changes that were too many to keep, Unmatched that of requests of which some
	// lines were.
	ChangesForgotten int `json:"changes_forgotten"`
	Unmatched        int `json:"unmatched"`
	// Routers are those whose logs, or parts of them, end without an account of requests.
	Routers        []routerlog.End `json:"routers"`
	RoutersLeftOut int             `json:"routers_left_out"`
	// Incomplete is set if requests may be missing in the list.
	Incomplete bool `json:"incomplete"`
}

func newGaps() Gaps {
	g := Gaps{AccountedEnds: map[lifecycle.End]int{}, AccountedNear: map[lifecycle.End]int{}}
	for _, m := range alarmMessages {
		g.Alarms = append(g.Alarms, Alarm{Message: m, Shown: []string{}})
	}
	return g
}

// add notes a line if it tells of something that is missing.
func (g *Gaps) add(l explain.Line, near bool) {
	count := func(total, nearTotal *int, n int) {
		*total += n
		if near {
			*nearTotal += n
		}
	}
	switch l.Message {
	case routerlog.MessageDropped:
		count(&g.Dropped, &g.DroppedNear, int(l.Number("lines")))
	case routerlog.MessageSums:
		count(&g.WithoutLine, &g.WithoutLineNear, int(l.Number("without_line")))
	case routerlog.MessageAccounted:
		g.Accounts++
		addEnds(g.AccountedEnds, l.Fields["ends"])
		addEnds(g.AccountedNear, l.Fields["near_change"])
	default:
		if i := slices.Index(alarmMessages, l.Message); i >= 0 {
			g.Alarms[i].add(l, near)
		}
	}
}

func addEnds(sums map[lifecycle.End]int, field any) {
	ends, _ := field.(map[string]any)
	for e, n := range ends {
		number, _ := n.(float64)
		sums[lifecycle.End(e)] += int(number)
	}
}

// finish fills in what is known once all lines have been read.
func (g *Gaps) finish(logs routerlog.Logs) {
	alarms := 0
	for i := range g.Alarms {
		a := &g.Alarms[i]
		if alarms += a.Lines; a.Near == 0 {
			a.Shown = append(a.Shown, a.other...)
		}
	}
	g.Routers = logs.Ends()
	crashed := len(g.Routers) > 0 && g.Routers[0].Crash
	if n := len(g.Routers); n > maxRouters {
		g.Routers, g.RoutersLeftOut = g.Routers[:maxRouters], n-maxRouters
	}
	g.Incomplete = crashed || alarms+g.Dropped+g.WithoutLine > 0
}

func (g Gaps) text() []string {
	var out []string
	say := func(n int, format string, args ...any) {
		if n > 0 {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	for _, a := range g.Alarms {
		say(a.Lines, "%s: %d lines, %d of them near the change", a.Message, a.Lines, a.Near)
		for _, l := range a.Shown {
			out = append(out, "  "+l)
		}
	}
	say(g.Accounts, "accounts of %d routers that stopped: %s", g.Accounts, endsText(g.AccountedEnds))
	say(g.Accounts, "  of these near any change: %s", endsText(g.AccountedNear))
	out = append(out, routerlog.Text(g.Routers)...)
	say(g.RoutersLeftOut, "%d other logs end without an account of requests, too", g.RoutersLeftOut)
	say(g.Dropped, "%d log lines were dropped, %d of them near the change", g.Dropped, g.DroppedNear)
	say(g.WithoutLine, "at least %d requests have no line, %d of them near the change", g.WithoutLine, g.WithoutLineNear)
	out = append(out, g.Unread.Text()...)
	say(g.Derived, "%d requests' lines are of older routers and have no end: it was derived from outcome, status and reason", g.Derived)
	say(g.ChangesForgotten, "%d older changes were too many to keep; requests near them count as far from all", g.ChangesForgotten)
	say(g.Unmatched, "lines about %d requests were too many to keep; the causes of these may be wrong", g.Unmatched)
	if g.Incomplete {
		out = append(out, "THE LIST MAY BE INCOMPLETE: see what is missing above")
	}
	return out
}

// endsText formats numbers by end.
func endsText[K ~string](ends map[K]int) string {
	var out []string
	for _, e := range slices.Sorted(maps.Keys(ends)) {
		out = append(out, fmt.Sprintf("%d %s", ends[e], e))
	}
	if len(out) == 0 {
		return "none"
	}
	return strings.Join(out, ", ")
}
