package streams

import (
	"fmt"

	"github.com/stepcroft/stepcroft/internal/explain/routerlog"
)

const (
	// maxRouters bounds the number of routers that a report names, maxShown that of lines of text in a list of what is missing.
	maxRouters = 20
	maxShown   = 20
)

// Missing is what lacks a line that others tell of.
type Missing struct {
	Count int `json:"count"`
	// Shown has the first of them, and limit bounds their number.
	Shown []string `json:"shown"`
	limit int
}

func (m *Missing) add(format string, args ...any) {
	if m.Count++; len(m.Shown) < m.limit {
		m.Shown = append(m.Shown, fmt.Sprintf(format, args...))
	}
}

// Gaps says what is missing in the logs.
type Gaps struct {
	// WithoutBeginning are streams that were taken up though no answer that began them has a line, WithoutEnd answers that
	// have other lines and none of their end, and WithoutJoins answers whose line tells of more joins than have lines.
	WithoutBeginning Missing `json:"without_beginning"`
	WithoutEnd       Missing `json:"without_end"`
	WithoutJoins     Missing `json:"without_joins"`
	// Unnamed are take-ups that do not name the request that began their stream.
	Unnamed Missing `json:"unnamed"`
	// Dropped is the number of lines that routers dropped, WithoutLine that of requests known to have none, and LeftOut
	// that of lines that were too many to keep.
	Dropped     int `json:"lines_dropped"`
	WithoutLine int `json:"without_line"`
	LeftOut     int `json:"lines_left_out"`
	// Older is the number of take-ups that were answered at routers whose lines have no runs.
	Older int `json:"without_runs"`
	// WithoutID is the number of lines about streams that name none.
	WithoutID int `json:"without_id"`
	routerlog.Unread
	// Routers are those whose logs, or parts of them, end without an account of requests.
	Routers        []routerlog.End `json:"routers"`
	RoutersLeftOut int             `json:"routers_left_out"`
	// Incomplete is set if streams that are out of order may be missing in the list.
	Incomplete bool `json:"incomplete"`
}

func newGaps(limit int) Gaps {
	none := Missing{Shown: []string{}, limit: max(limit, maxShown)}
	return Gaps{WithoutBeginning: none, WithoutEnd: none, WithoutJoins: none, Unnamed: none}
}

// addLogs notes what is missing as a whole.
func (g *Gaps) addLogs(logs routerlog.Logs, u routerlog.Unread) {
	g.Unread, g.Routers = u, logs.Ends()
	crashed := len(g.Routers) > 0 && g.Routers[0].Crash
	if n := len(g.Routers); n > maxRouters {
		g.Routers, g.RoutersLeftOut = g.Routers[:maxRouters], n-maxRouters
	}
	g.Incomplete = crashed || g.Dropped+g.WithoutLine+g.LeftOut+g.Older+g.WithoutID+u.BadLines+u.Files > 0
}

// addStream notes what is missing of a stream.
func (g *Gaps) addStream(id string, p *stream) {
	if len(p.beginnings()) == 0 && len(p.answers) > 0 {
		switch a := p.answers[len(p.answers)-1]; {
		case a.begins():
			// A request that had no events, and take-ups that say the same.
		case a.Resumes == "" && !a.NoLine:
			g.Unnamed.add("%s, at %s behind event %s", id, a.Router, a.After)
		default:
			g.WithoutBeginning.add("%s, taken up at %s behind event %s", id, a.Router, a.After)
		}
	}
	for _, a := range p.answers {
		if a.NoLine && len(a.Joins) == 0 {
			g.WithoutEnd.add("%s of stream %s at %s, which began it", a.ID, id, a.Router)
		} else if a.NoLine {
			g.WithoutEnd.add("%s of stream %s at %s, with %d joins, the last one behind event %s", a.ID, id, a.Router, len(a.Joins), a.Joins[len(a.Joins)-1].After)
		} else if n := a.missingJoins(); n > 0 {
			g.WithoutJoins.add("%s of stream %s at %s, %d of %d runs", a.ID, id, a.Router, n, a.Runs)
		}
	}
	g.Incomplete = g.Incomplete || g.WithoutBeginning.Count+g.WithoutEnd.Count+g.WithoutJoins.Count+g.Unnamed.Count > 0
}

func (g Gaps) text() []string {
	var out []string
	say := func(n int, format string, args ...any) {
		if n > 0 {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	list := func(m Missing, format string) {
		say(m.Count, format, m.Count)
		shown := m.Shown[:min(len(m.Shown), maxShown)]
		for _, s := range shown {
			out = append(out, "  "+s)
		}
		say(m.Count-len(shown), "  and %d others", m.Count-len(shown))
	}
	list(g.WithoutBeginning, "streams taken up of whose beginning there is no line (its router was lost, or lines are missing): %d")
	list(g.WithoutEnd, "answers of whose end there is no line (they still run, or their router was lost): %d")
	list(g.WithoutJoins, "answers with runs whose joins have no line: %d")
	list(g.Unnamed, "streams taken up by callers that do not name the request that began them, and not followed: %d")
	out = append(out, routerlog.Text(g.Routers)...)
	say(g.RoutersLeftOut, "%d other logs end without an account of requests, too", g.RoutersLeftOut)
	say(g.Dropped, "%d log lines were dropped", g.Dropped)
	say(g.WithoutLine, "at least %d requests have no line", g.WithoutLine)
	say(g.LeftOut, "%d lines about streams were too many to keep: some streams were not looked at, or only in part", g.LeftOut)
	say(g.Older, "%d take-ups at routers whose lines have no runs: they are older, and their streams not followed", g.Older)
	say(g.WithoutID, "%d lines about streams have no id of one", g.WithoutID)
	out = append(out, g.Unread.Text()...)
	if g.Incomplete {
		out = append(out, "THE LIST MAY BE INCOMPLETE: see what is missing above")
	}
	return out
}
