package changes_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/explain"
	"github.com/stepcroft/stepcroft/internal/explain/changes"
	"github.com/stepcroft/stepcroft/internal/explain/routerlog"
)

// line returns a log line of a router, written at an offset in seconds.
func line(router string, second float64, message, fields string) string {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(second * float64(time.Second)))
	return fmt.Sprintf(`{"time":%q,"msg":%q,"router":%q%s}`+"\n", at.Format(time.RFC3339Nano), message, router, fields)
}

// inForce returns the line of a version that replaced another one.
func inForce(router string, second float64, version int) string {
	return line(router, second, changes.MessageInForce, fmt.Sprintf(`,"version":%d,"revision":%d,"version_before":%d`, version, 10*version, version-1))
}

// ended returns the line of a request's end at router a.
func ended(second float64, id, fields string) string {
	return line("a", second, "request", fmt.Sprintf(`,"id":%q,"organisation":"o","config":1,"took_ms":100%s`, id, fields))
}

const (
	answered = `,"outcome":"answered","end":"answered","status":200,"reason":""`
	cut      = `,"outcome":"cut","end":"cut","status":200,"reason":"queue-full","exchange_end":"target-silent","not_retried":"budget","config_end":2,"since_change_ms":500`
	refused  = `,"outcome":"refused","end":"refused","status":401,"reason":"unknown-key"`
)

// twoRouters has version 2 in force from 10 s on at router a, and from 10.5 s on at router b.
var twoRouters = inForce("a", 10, 2) + inForce("b", 10.5, 2)

// search reads logs and returns the report.
func search(selection, logs string, o changes.Options) (changes.Report, error) {
	var history changes.History
	if err := explain.ReadMessage(strings.NewReader(logs), "log", changes.MessageInForce, history.Add); err != nil {
		return changes.Report{}, err
	}
	selected, err := changes.ParseSelection(selection)
	if err != nil {
		return changes.Report{}, err
	}
	s, err := changes.New(&history, selected, o)
	if err != nil {
		return changes.Report{}, err
	}
	var unread routerlog.Unread
	if err := explain.Read(strings.NewReader(logs), "log", s.Add, func(explain.BadLine) { unread.BadLines++ }); err != nil {
		return changes.Report{}, err
	}
	s.Sort()
	if err := explain.ReadTimes(strings.NewReader(logs), "log", s.WantsNeighbours, s.AddNeighbour); err != nil {
		return changes.Report{}, err
	}
	return s.Report(unread), nil
}

func ExampleSearch() {
	logs := twoRouters + ended(5, "before", answered) + ended(11, "lost", cut) + ended(12, "whole", answered)
	report, err := search("last", logs, changes.Options{After: 3 * time.Second, Limit: 10})
	if err != nil {
		fmt.Println(err)
	}
	for _, r := range report.Requests {
		fmt.Println(r.ID, r.End, r.NotRetried, r.Config, r.ConfigEnd)
	}
	fmt.Println(report.Comparison.Verdict)
	// Output:
	// lost cut budget 1 2
	// cuts are over 3 times as frequent near the change, as there are no others: 1 of 2 requests near the change, 0 of 1 far from all changes (too few to tell)
}

const incomplete = "MAY BE INCOMPLETE"

func TestReports(t *testing.T) {
	far := strings.Repeat(ended(60, "far", answered), 9)
	for name, c := range map[string]struct {
		selection, logs string
		all             bool
		// want holds parts of the text, unwanted what must not be in it.
		want, unwanted []string
	}{
		"a cut, with what its target did": {
			logs:     line("a", 10.9, "given up", `,"id":"r","target":"e1","reason":"target-silent"`) + ended(11, "r", strings.Replace(cut, "queue-full", "target-silent", 1)),
			want:     []string{"2 routers within 500ms", "without a whole answer: 1", "r  a  cut", "ended under 2", "500 ms after", "not retried: budget", "target e1 showed no sign for too long; nothing else failed there"},
			unwanted: []string{incomplete},
		},
		"the window's ends":                   {logs: ended(9.99, "early", cut) + ended(10, "first", cut) + ended(13.5, "last", cut) + ended(13.51, "late", cut), want: []string{"answer: 2", "first  a", "last  a"}},
		"refused, and left by their callers":  {logs: ended(11, "r", refused) + ended(12, "s", `,"end":"caller-gone","reason":"caller-gone"`), want: []string{"answer: 0", "refused: 1 unknown-key", "callers: 1 caller-gone"}},
		"these listed, too":                   {logs: ended(11, "r", refused), all: true, want: []string{"r  a  refused", "did not know it"}},
		"an older router":                     {logs: ended(11, "r", `,"outcome":"cut","status":200,"reason":"router-stopped","first_ms":5`), want: []string{"r  a  cut (derived)", "1 requests' lines are of older routers"}},
		"an older router's target":            {logs: ended(11, "r", `,"outcome":"refused","status":502,"reason":"target-broken"`), want: []string{"target-failed (derived)"}},
		"an older router's target that fails": {logs: ended(11, "r", `,"outcome":"refused","status":500,"reason":"target-failed","first_ms":5`), want: []string{"target-failed (derived)"}},
		"no proper request":                   {logs: ended(11, "", `,"outcome":"refused","end":"incomplete","status":400,"reason":"improper-request"`), want: []string{"without an id  a  incomplete", "no proper HTTP request"}},
		"too many":                            {logs: ended(11, "r", cut) + ended(11, "s", cut) + ended(11, "t", cut), want: []string{"answer: 3", "not listed: 1 cut"}},
		"cuts that are more frequent":         {logs: far + ended(60, "far", cut) + ended(11, "r", cut) + ended(11, "s", answered), want: []string{"over 3 times as frequent near the change, 5.0 times: 1 of 2", "1 of 10 far"}, unwanted: []string{"too few"}},
		"cuts that are as frequent":           {logs: ended(60, "far", cut) + ended(60, "far", answered) + ended(11, "r", cut) + ended(11, "s", answered), want: []string{"not over 3 times as frequent near the change, but 1.0 times", "  a: cuts are not over"}},
		"three times is not over three times": {logs: far[:len(far)/3*2] + strings.Repeat(ended(60, "far", cut), 3) + ended(11, "r", cut), want: []string{"but 3.0 times"}},
		"nothing to compare with":             {logs: ended(11, "r", cut), want: []string{"cannot be compared"}},
		"other changes are no other times":    {selection: "2", logs: inForce("a", 20, 3) + ended(21, "x", cut) + far + ended(11, "r", cut), want: []string{"there are no others: 1 of 1", "0 of 9 far", "r  a"}, unwanted: []string{"x  a"}},
		"near other changes if at no other time": {
			selection: "2", logs: inForce("a", 20, 3) + ended(21, "x", answered) + ended(11, "r", cut), want: []string{"0 of 1 near other changes"},
		},
		"all changes":                     {selection: "all", logs: inForce("a", 20, 3) + ended(21, "x", cut) + ended(11, "r", cut), want: []string{"answer: 2", "configuration 2", "configuration 3"}},
		"a start does not widen a change": {logs: line("b", 40, changes.MessageInForce, `,"version":2,"revision":20,"version_before":0`) + ended(30, "r", cut), want: []string{"answer: 0", "1 routers started with it"}},
		"a start is not the last change":  {logs: line("b", 40, changes.MessageInForce, `,"version":3,"revision":30,"version_before":0`) + ended(11, "r", cut), want: []string{"configuration 2", "answer: 1"}},
		"a request without an end":        {logs: line("b", 11, "request has no end", `,"id":"r","began":"x"`), want: []string{"request has no end: 1 lines, 1 of them near", "id=r", incomplete}},
		"a request with two ends":         {logs: line("b", 50, "request has two ends", `,"id":"r"`), want: []string{"request has two ends: 1 lines, 0 of them near", "id=r"}},
		"a wrong account":                 {logs: line("b", 50, "account of requests is wrong", `,"error":"3 read"`), want: []string{"error=3 read", incomplete}},
		"closed without an answer":        {logs: line("b", 11, "callers closed without an answer", `,"why":"aborted"`), want: []string{"why=aborted", incomplete}},
		"lines dropped":                   {logs: ended(11, "r", answered) + `{"msg":"log lines dropped","lines":70}` + "\n", want: []string{"70 log lines were dropped, 70 of them near", incomplete}},
		"requests without a line":         {logs: line("b", 50, "requests of an organisation", `,"without_line":7`), want: []string{"at least 7 requests have no line, 0 of them near", incomplete}},
		"a bad line":                      {logs: "{\n", want: []string{"1 lines could not be parsed", incomplete}},
		"a crash":                         {logs: line("b", 1, "router runs", "") + line("b", 30, "router runs", ""), want: []string{"a crash: b 00:00:30.000", incomplete}},
		"a crash before the first start":  {logs: line("b", 30, "router runs", ""), want: []string{"a crash: b 00:00:30.000"}},
		"a planned stop": {
			logs: line("b", 30, "planned stop is done", "") + line("b", 31, "requests accounted", `,"ends":{"answered":5,"unanswered":1},"near_change":{"unanswered":1}`) + line("b", 40, "router runs", "") +
				line("b", 50, "requests accounted", `,"ends":{"answered":2},"near_change":{}`),
			want: []string{"accounts of 2 routers that stopped: 7 answered, 1 unanswered", "near any change: 1 unanswered", "or it crashed: a 00:00:10.000"}, unwanted: []string{"a crash: b", incomplete},
		},
		"an older router's planned stop":    {logs: line("b", 30, "planned stop is done", ""), want: []string{"as older versions do: b"}},
		"others' names are not their lines": {logs: line("c", 30, "router believed gone", ""), want: []string{"or it crashed: a 00:00:10.000, b 00:00:10.500"}, unwanted: []string{"c 00:00:30.000"}},
		"a request that ended with its router": {
			logs: line("b", 11, "sent again", `,"id":"r","target":"e1"`) + line("b", 20, "router runs", ""), want: []string{"r  b  no line of its end", "its router was lost with it"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			selection := c.selection
			if selection == "" {
				selection = "last"
			}
			report, err := search(selection, twoRouters+c.logs, changes.Options{After: 3 * time.Second, All: c.all, Limit: 2})
			if err != nil {
				t.Fatal(err)
			}
			text := strings.Join(report.Text(), "\n")
			for _, want := range c.want {
				if !strings.Contains(text, want) {
					t.Errorf("%q is not in\n%s", want, text)
				}
			}
			for _, unwanted := range c.unwanted {
				if strings.Contains(text, unwanted) {
					t.Errorf("%q is in\n%s", unwanted, text)
				}
			}
		})
	}
}

func TestSelectionErrors(t *testing.T) {
	for name, c := range map[string]struct {
		selection, logs string
		want            error
	}{
		"no selection":    {"newest", twoRouters, changes.ErrSelection},
		"unknown version": {"7", twoRouters, changes.ErrUnknownChange},
		"no changes":      {"last", ended(11, "r", cut), changes.ErrUnknownChange},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := search(c.selection, c.logs, changes.Options{}); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

func TestOldestChangesAreForgotten(t *testing.T) {
	var history changes.History
	const many = 100_001
	for i := range many {
		history.Add(explain.Line{Time: time.Unix(int64(i), 0), Message: changes.MessageInForce, Fields: map[string]any{"version": float64(i)}})
	}
	all, err := changes.ParseSelection("all")
	if err != nil {
		t.Fatal(err)
	}
	selected, _, err := history.Select(all)
	if n := len(selected); err != nil || n != 50_000 || selected[n-1].Version != many-1 {
		t.Errorf("%d changes, %v", n, err)
	}
}

func FuzzSearch(f *testing.F) {
	f.Add(twoRouters + line("a", 10.9, "given up", `,"id":"r","target":"e1"`) + ended(11, "r", cut) + line("a", 30, "requests accounted", `,"ends":{"cut":1}`))
	f.Fuzz(func(_ *testing.T, logs string) {
		if report, err := search("all", logs, changes.Options{After: time.Second, All: true, Limit: 1}); err == nil {
			report.Text()
		}
	})
}
