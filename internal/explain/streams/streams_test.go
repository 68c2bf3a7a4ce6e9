package streams_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/explain"
	"github.com/stepcroft/stepcroft/internal/explain/routerlog"
	"github.com/stepcroft/stepcroft/internal/explain/streams"
)

// line returns a log line of a router, written at an offset in seconds.
func line(router string, second float64, message, fields string) string {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(second * float64(time.Second)))
	return fmt.Sprintf(`{"time":%q,"msg":%q,"router":%q%s}`+"\n", at.Format(time.RFC3339Nano), message, router, fields)
}

// answer returns the line of an answer that took a second, of some runs, the last one at target t.
func answer(router string, second float64, id string, runs int, last, version, more string) string {
	return line(router, second, streams.MessageRequest, fmt.Sprintf(
		`,"id":%q,"took_ms":1000,"first_ms":5,"runs":%d,"events":3,"last_event":%q,"process":"t","run_version":%q%s`, id, runs, last, version, more,
	))
}

// takesUp returns the fields of a request that takes stream r up.
func takesUp(after, more string) string {
	return fmt.Sprintf(`,"resumes":"r","after":%q,"version_by":"record"%s`, after, more)
}

// join returns the line of a join of stream r to target t, from a target of a version if that is given.
func join(router string, second float64, id, fromVersion, after, first, version string) string {
	fields := fmt.Sprintf(`,"id":%q,"stream":"r","after":%q,"first":%q,"to":"t","to_version":%q,"process_by":"entry"`, id, after, first, version)
	if fromVersion != "" {
		return line(router, second, "stream goes on", fields+fmt.Sprintf(`,"from":"s","from_version":%q,"evidence":"same-answer"`, fromVersion))
	}
	return line(router, second, "stream goes on", fields+`,"evidence":"record"`)
}

const (
	whole     = `,"end":"answered","status":200`
	cut       = `,"end":"cut","reason":"target-broken"`
	refused   = `,"end":"refused","reason":"unknown-version"`
	accounted = "requests accounted"
)

// begun has stream r begun at router a, which has sent events up to 5; goesOn has its rest, from router b.
var (
	begun  = answer("a", 10, "r", 1, "5", "v1", cut)
	goesOn = join("b", 11, "r2", "", "5", "6", "v1") + answer("b", 12, "r2", 1, "9", "v1", takesUp("5", whole))
)

// report reads logs as the command does.
func report(logs string, limit int) (streams.Report, error) {
	s := streams.New(limit)
	unread := routerlog.Unread{}
	if err := explain.Read(strings.NewReader(logs), "log", s.Add, func(explain.BadLine) { unread.BadLines++ }); err != nil {
		return streams.Report{}, err
	}
	for _, message := range []string{streams.MessageRequest, streams.MessageBegan} {
		if err := explain.ReadMessage(strings.NewReader(logs), "log", message, s.AddBeginning); err != nil {
			return streams.Report{}, err
		}
	}
	return s.Report(unread), nil
}

func ExampleSearch() {
	r, err := report(begun+join("b", 11, "r2", "", "5", "6", "v2")+answer("b", 12, "r2", 1, "9", "v2", takesUp("5", whole)), 10)
	if err != nil {
		fmt.Println(err)
	}
	for _, s := range r.Streams {
		fmt.Println(s.ID, s.Faults[0].Kind, s.Faults[0].What)
	}
	// Output:
	// r two-versions b takes it up behind event 5 at version v2 of t (record), while a began it at version v1 of t
}

const incomplete = "MAY BE INCOMPLETE"

func TestReports(t *testing.T) {
	within := func(joins string, last, fields string) string {
		return joins + answer("a", 10, "r", 2, last, "v1", fields)
	}
	otherEnd := func(last, end string) string {
		return join("c", 13, "r3", "", "5", "6", "v1") + answer("c", 14, "r3", 1, last, "v1", takesUp("5", end))
	}
	for name, c := range map[string]struct {
		logs string
		// faults are the kinds found, those suspected with a question mark; want holds parts of the text, unwanted what must
		// not be in it.
		faults         string
		want, unwanted []string
	}{
		"in order": {
			logs: begun + goesOn, unwanted: []string{incomplete},
			want: []string{"1 begun, 1 requests to take one up, 1 streams of more", "joins of runs: 1; versions known by: 1 record; processes by: 1 entry", "no line shows"},
		},
		"clocks differ, two versions": {
			logs:   answer("a", 1000, "r", 1, "5", "v1", cut) + strings.ReplaceAll(goesOn, "v1", "v2"),
			faults: "two-versions", want: []string{"target-broken\n  00:00:12.000  b  r2  took"},
		},
		"clocks differ":          {logs: answer("a", 1000, "r", 1, "5", "v1", cut) + goesOn},
		"lines read twice":       {logs: begun + begun + goesOn + goesOn, unwanted: []string{incomplete}},
		"one id for all":         {logs: begun + join("a", 11.5, "r", "", "5", "6", "v1") + answer("a", 12, "r", 1, "9", "v1", takesUp("5", whole))},
		"without name, one id":   {logs: begun + join("a", 11.5, "r", "", "5", "6", "v1") + answer("a", 12, "r", 1, "9", "v1", `,"resumes":"","after":"5"`+whole)},
		"caller has less":        {logs: begun + join("b", 11, "r2", "", "3", "4", "v1") + answer("b", 12, "r2", 1, "9", "v1", takesUp("3", whole))},
		"taken up twice":         {logs: begun + goesOn + otherEnd("7", cut)},
		"no numbers":             {logs: answer("a", 10, "r", 1, "x", "v1", cut) + join("b", 11, "r2", "", "c", "a", "v1") + answer("b", 12, "r2", 1, "b", "v1", takesUp("c", whole))},
		"some are no numbers":    {logs: within(join("a", 9.5, "r", "v1", "c", "7", "v1"), "9", whole)},
		"not resumable":          {logs: begun + answer("a", 12, "q", 1, "9", "v1", whole), unwanted: []string{incomplete}},
		"repeated request":       {logs: answer("a", 9, "r", 1, "3", "v0", whole) + begun + goesOn, faults: "ends-differ?"},
		"caller leaves at join":  {logs: within(join("a", 9.5, "r", "v1", "5", "6", "v1"), "5", cut)},
		"repeated, not taken up": {logs: answer("b", 8, "r", 1, "5", "v1", whole) + within(join("a", 9.5, "r", "v1", "5", "6", "v1"), "9", whole)},
		"one id at the same time": {
			logs: answer("a", 12, "r", 1, "5", "v1", cut) + join("a", 11.4, "r", "", "5", "6", "v1") + strings.Replace(join("a", 11.8, "r", "v1", "7", "8", "v1"), `"from":"s"`, `"from":"t"`, 1) +
				answer("a", 12.3, "r", 2, "9", "v1", takesUp("5", whole)),
			unwanted: []string{incomplete},
		},
		"one id, another event": {
			logs:     begun + join("b", 11.5, "r2", "", "3", "4", "v1") + join("b", 11.6, "r2", "", "5", "6", "v1") + answer("b", 12, "r2", 1, "8", "v1", takesUp("5", cut)) + answer("b", 12.1, "r2", 1, "4", "v1", takesUp("3", cut)),
			unwanted: []string{incomplete},
		},
		"refused, then taken up": {logs: begun + line("c", 11, "request", `,"id":"r4"`+takesUp("5", refused)) + goesOn},

		"two versions in an answer":    {logs: within(join("a", 9.5, "r", "v1", "5", "6", "v2"), "9", whole), faults: "two-versions", want: []string{"a joins version v1 of s and version v2 of t behind event 5 in one answer (same-answer)"}},
		"an entry without a version":   {logs: within(join("a", 9.5, "r", "v1", "5", "6", ""), "9", whole), faults: "two-versions?"},
		"taken up at no version":       {logs: begun + join("b", 11, "r2", "", "5", "6", "") + answer("b", 12, "r2", 1, "9", "", takesUp("5", whole)), faults: "two-versions?"},
		"two versions, beginning gone": {logs: goesOn + join("c", 13, "r3", "", "9", "10", "v2") + answer("c", 14, "r3", 1, "12", "v2", takesUp("9", cut)), faults: "two-versions ends-differ", want: []string{"b took it up behind event 5", incomplete}},
		"two versions, without joins":  {logs: begun + answer("b", 12, "r2", 1, "9", "v2", takesUp("5", whole)), faults: "two-versions", want: []string{"r2 of stream r at b, 1 of 1 runs", incomplete}},
		"two versions, router killed":  {logs: join("a", 9.5, "r", "v1", "2", "3", "v1") + join("b", 11, "r2", "", "5", "6", "v2") + answer("b", 12, "r2", 1, "9", "v2", takesUp("5", whole)), faults: "two-versions", want: []string{"began it; no line of its end", incomplete}},
		"taken up by an earlier one":   {logs: begun + goesOn + strings.NewReplacer(`"resumes":"r"`, `"resumes":"r2"`, `"stream":"r"`, `"stream":"r2"`).Replace(join("c", 13, "r3", "", "7", "8", "v2")+answer("c", 14, "r3", 1, "9", "v2", takesUp("7", whole))), faults: "two-versions taken-up-after-end?"},
		"behind what nobody sent":      {logs: begun + join("b", 11, "r2", "", "7", "8", "v1") + answer("b", 12, "r2", 1, "9", "v1", takesUp("7", whole)), faults: "wrong-event", want: []string{"behind event 7, which no answer has sent: r of a got furthest, to 5"}},
		"behind what nobody sent, twice": {
			logs:   begun + goesOn + join("c", 13, "r3", "", "12", "13", "v1") + answer("c", 14, "r3", 1, "15", "v1", takesUp("12", cut)) + join("d", 13, "r4", "", "12", "13", "v1") + answer("d", 14, "r4", 1, "15", "v1", takesUp("12", cut)),
			faults: "wrong-event wrong-event ends-differ",
		},
		"sent later by the same router": {logs: begun + join("b", 11.5, "r2", "", "7", "8", "v1") + answer("b", 12, "r2", 1, "9", "v1", takesUp("7", cut)) + join("b", 13.5, "r3", "", "5", "6", "v1") + answer("b", 14, "r3", 1, "9", "v1", takesUp("5", cut)), faults: "wrong-event"},
		"may be in dropped lines":       {logs: begun + join("b", 11, "r2", "", "7", "8", "v1") + answer("b", 12, "r2", 1, "9", "v1", takesUp("7", whole)) + `{"msg":"log lines dropped","lines":7}` + "\n", faults: "wrong-event?", want: []string{"7 log lines were dropped", incomplete}},
		"a run between has no line":     {logs: begun + join("c", 11, "r3", "", "5", "6", "v1") + join("b", 12, "r2", "", "7", "8", "v1") + answer("b", 12.5, "r2", 1, "9", "v1", takesUp("7", whole)), want: []string{"r3 of stream r at c, with 1 joins", incomplete}},
		"back before the last join":     {logs: join("a", 9.3, "r", "v1", "5", "6", "v1") + strings.Replace(join("a", 9.6, "r", "v1", "4", "5", "v1"), `"from":"s"`, `"from":"t"`, 1) + answer("a", 10, "r", 3, "9", "v1", whole), faults: "wrong-event", want: []string{"behind event 4 at t, though the run before began with 6"}},
		"from another run":              {logs: join("a", 9.3, "r", "v1", "5", "6", "v1") + join("a", 9.6, "r", "v1", "7", "8", "v1") + answer("a", 10, "r", 3, "9", "v1", whole), faults: "wrong-event", want: []string{"behind event 7 from s, though the run before is that of t"}},
		"a join between has no line":    {logs: join("a", 9.3, "r", "v1", "5", "6", "v1") + join("a", 9.6, "r", "v1", "7", "8", "v1") + answer("a", 10, "r", 4, "9", "v1", whole), want: []string{"r of stream r at a, 1 of 4 runs"}},
		"a run without a join":          {logs: within(strings.Replace(join("a", 9.5, "r", "v1", "5", "6", "v1"), `"to":"t"`, `"to":"u"`, 1), "9", whole), faults: "wrong-event", want: []string{"has the last run at t, though the last join is to u"}},
		"ends before its last join":     {logs: within(join("a", 9.5, "r", "v1", "5", "6", "v1"), "4", cut), faults: "wrong-event"},
		"a piece twice":                 {logs: within(join("a", 9.5, "r", "v1", "5", "5", "v1"), "9", whole), faults: "repeated"},
		"a piece missing":               {logs: begun + join("b", 11, "r2", "", "5", "7", "v1") + answer("b", 12, "r2", 1, "9", "v1", takesUp("5", whole+`,"skipped_ids":1`)), faults: "skipped", want: []string{"b goes on behind event 5 with 7 at t"}},
		"no two events in a row": {
			logs: strings.ReplaceAll(begun+join("b", 11, "r2", "", "5", "7", "v1")+answer("b", 12, "r2", 1, "7", "v1", takesUp("5", whole+`,"skipped_ids":1`)), `"events":3`, `"events":1`), faults: "skipped?",
		},
		"ids left out by another answer": {logs: begun + join("b", 11, "r2", "", "5", "7", "v1") + answer("b", 11.5, "r2", 1, "9", "v1", takesUp("5", cut+`,"skipped_ids":1`)) + answer("c", 12, "r3", 1, "30", "v1", takesUp("9", whole+`,"skipped_ids":18`)), faults: "skipped?"},
		"ids left out by the engine":     {logs: within(join("a", 9.5, "r", "v1", "5", "7", "v1"), "9", whole+`,"skipped_ids":4`), faults: "skipped?", want: []string{"leave out ids: 1", "4 ids left out"}},

		"two ends":               {logs: begun + goesOn + otherEnd("8", whole), faults: "ends-differ", want: []string{"b ended it whole at event 9, while c ended it whole at 8"}},
		"two ends, no numbers":   {logs: begun + goesOn + otherEnd("x", whole), faults: "ends-differ"},
		"goes on behind its end": {logs: begun + goesOn + otherEnd("12", cut), faults: "ends-differ", want: []string{"b ended it whole at event 9, while c has sent events to 12"}},
		"one end twice":          {logs: begun + goesOn + otherEnd("9", whole)},
		"taken up after its end": {logs: answer("a", 10, "r", 1, "9", "v1", whole) + goesOn, faults: "taken-up-after-end?", want: []string{"a ended it whole at event 9, and its caller takes it up at b behind event 5"}},
		"taken up after, one router": {
			logs:   begun + goesOn + join("b", 13.1, "r3", "", "5", "6", "v1") + answer("b", 14, "r3", 1, "7", "v1", takesUp("5", cut)),
			faults: "taken-up-after-end?", want: []string{"b ended it whole at event 9, and its caller takes it up at b behind event 5"},
		},
		"taken up before, one router": {
			logs: answer("a", 10, "r", 1, "8", "v1", cut) + line("b", 10.5, "request", `,"id":"r4","took_ms":1`+takesUp("7", refused)) + line("b", 10.6, "request", `,"id":"r5","took_ms":1`+takesUp("7", refused)) + goesOn,
		},
		"taken up after, no events": {
			logs:   answer("a", 10, "r", 1, "9", "v1", whole) + line("b", 11, "request", `,"id":"r2"`+takesUp("9", refused)) + line("c", 12, "request", `,"id":"r3"`+takesUp("5", refused)),
			faults: "taken-up-after-end?",
		},
		"empty, at its end":       {logs: begun + goesOn + line("c", 13, "request", `,"id":"r3","first_ms":5`+takesUp("9", whole)) + answer("c", 14, "q", 1, "9", "v1", whole), unwanted: []string{incomplete}},
		"empty, before its end":   {logs: begun + goesOn + line("c", 13, "request", `,"id":"r4"`+takesUp("7", refused)) + line("c", 13, "request", `,"id":"r3"`+takesUp("7", `,"end":"answered","status":204`)), faults: "ends-differ? taken-up-after-end? taken-up-after-end?", want: []string{"c ended it with status 204 and no events behind event 7, while b has sent events to 9"}},
		"no end, by its status":   {logs: begun + goesOn + line("c", 13, "request", `,"id":"r3"`+takesUp("5", `,"end":"answered","status":404`))},
		"end not delivered":       {logs: answer("a", 10, "r", 1, "9", "v1", whole) + line("a", 10, "answer not delivered", `,"id":"r","end":"caller-gone"`) + goesOn, want: []string{"1 begun"}},
		"taken up before its end": {logs: begun + line("b", 10.5, "request", `,"id":"r4","took_ms":1`+takesUp("5", refused)) + goesOn},
		"a repeated request that nobody answered": {
			logs: line("c", 9, "request", `,"id":"r"`+refused) + begun + join("b", 11, "r2", "", "7", "8", "v1") + answer("b", 12, "r2", 1, "9", "v1", takesUp("7", whole)), faults: "wrong-event?",
		},

		"beginning gone": {logs: goesOn, want: []string{"0 begun, 1 requests to take one up, 1 streams of more than one run", "there is no line (its router was lost, or lines are missing): 1\n  r, taken up at b behind event 5", incomplete}},
		"end and join gone": {
			logs: begun + answer("b", 11, "r2", 1, "8", "v1", takesUp("5", cut)) + join("b", 12.1, "r2", "", "5", "6", "v1"),
			want: []string{"r2 of stream r at b, 1 of 1 runs", "r2 of stream r at b, with 1 joins", incomplete},
		},
		"killed twice, one id": {
			logs: begun + strings.ReplaceAll(join("b", 10.5, "r2", "", "5", "6", "v1")+join("b", 11.5, "r2", "", "5", "6", "v1"), `"t"`, `"u"`) + join("b", 12.5, "r2", "", "5", "6", "v1") + answer("b", 13, "r2", 1, "9", "v1", takesUp("5", whole)),
			want: []string{"or their router was lost): 2\n  r2 of stream r at b, with 1 joins"},
		},
		"killed twice, then joined": {
			logs: answer("a", 10, "r", 1, "8", "v1", cut) + join("b", 10.5, "r2", "", "8", "9", "v1") + join("b", 11.5, "r2", "", "3", "4", "v1") + join("b", 11.6, "r2", "v1", "4", "5", "v1"),
			want: []string{"r2 of stream r at b, with 2 joins, the last one behind event 4"},
		},
		"joins within a take-up only":  {logs: begun + join("b", 11, "r2", "v1", "8", "9", "v1") + join("c", 12, "r3", "", "7", "8", "v1") + answer("c", 12.5, "r3", 1, "9", "v1", takesUp("7", whole))},
		"joins within, beginning gone": {logs: join("b", 11, "r2", "v1", "8", "9", "v1"), want: []string{"r, taken up at b behind event 8", "r2 of stream r at b, with 1 joins"}},
		"beginning failed":             {logs: line("a", 10, "request", `,"id":"r","first_ms":5,"end":"answered","status":404`) + goesOn, want: []string{"r, taken up at b behind event 5", incomplete}},
		"names no stream":              {logs: strings.NewReplacer(`"resumes":"r"`, `"resumes":""`, `"stream":"r"`, `"stream":"r2"`).Replace(goesOn), want: []string{"do not name the request that began them, and not followed: 1", incomplete}},
		"request without an id":        {logs: strings.NewReplacer(`"r2"`, `""`, `"resumes":"r"`, `"resumes":""`, `"stream":"r"`, `"stream":""`).Replace(goesOn), want: []string{"2 lines about streams have no id", incomplete}},
		"older router":                 {logs: begun + line("b", 11, "request", `,"id":"r2","first_ms":5`+takesUp("5", whole)), want: []string{"1 take-ups at routers whose lines have no runs", incomplete}},
		"router crashed":               {logs: line("a", 0, "router runs", "") + line("a", 9, "router runs", "") + begun, want: []string{"a crash: a 00:00:09.000", incomplete}},
		"planned stop":                 {logs: begun + line("a", 11, accounted, ""), unwanted: []string{"log ends", incomplete}},
		"requests by sums":             {logs: line("a", 9, "requests of an organisation", `,"without_line":7`) + begun, want: []string{"at least 7 requests have no line", incomplete}},
		"a bad line":                   {logs: "{\n" + begun, want: []string{"1 lines could not be parsed", incomplete}},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := report(c.logs, 10)
			if err != nil {
				t.Fatal(err)
			}
			text := strings.Join(r.Text(), "\n")
			if got := faultsOf(r); got != c.faults {
				t.Errorf("faults %q, want %q:\n%s", got, c.faults, text)
			}
			checkText(t, text, c.want, c.unwanted)
		})
	}
}

// began returns the line that router a writes as stream r has begun.
func began(second float64, version, service string) string {
	return line("a", second, streams.MessageBegan, fmt.Sprintf(`,"id":"r","version":%q,"service":%q`, version, service))
}

// TestBeginningWithoutEnd guards against streams of two versions that are not listed as the router is lost that began them.
// It has told of their beginnings only if they needed a record, and the version is suspected if others took part.
func TestBeginningWithoutEnd(t *testing.T) {
	// concluded is a take-up at version v2, which is concluded without a record.
	concluded := strings.ReplaceAll(join("b", 80, "r2", "", "5", "6", "v2")+answer("b", 81, "r2", 1, "9", "v2", takesUp("5", whole+`,"route":"x","run_service":"two"`)), `"record"`, `"only-version"`)
	recorded := strings.ReplaceAll(concluded, `"only-version"`, `"record"`)
	other := func(second float64, version, more string) string {
		return answer("c", second, "q", 1, "9", version, whole+more)
	}
	for name, c := range map[string]struct {
		logs, faults   string
		want, unwanted []string
	}{
		"told":                    {logs: began(9, "v1", "one") + recorded, faults: "two-versions", want: []string{"while a began it at version v1", "r of stream r at a, which began it", "began it at version v1 of service one; no line of its end", "at version v2 of service two of t"}, unwanted: []string{"there is no line (its router was lost, or lines are missing)"}},
		"told, by a conclusion":   {logs: began(9, "v1", "") + concluded, faults: "two-versions"},
		"told, one version":       {logs: began(9, "v2", "two") + concluded + other(79, "v1", `,"route":"x"`), unwanted: []string{"of service"}},
		"told, services differ":   {logs: began(9, "v2", "one") + recorded, want: []string{"no line shows"}},
		"told as unknown":         {logs: began(9, "v1", "") + began(9.5, "", "") + recorded, faults: "two-versions?"},
		"told later than another": {logs: began(9, "v2", "") + began(9.5, "v1", "") + recorded, faults: "two-versions"},
		"told, with its end":      {logs: began(9.5, "v1", "one") + begun + recorded, faults: "two-versions", unwanted: []string{"which began it"}},
		"told, with a join":       {logs: began(9, "v1", "one") + join("a", 9.5, "r", "v1", "2", "3", "v1") + recorded, faults: "two-versions", want: []string{"r of stream r at a, with 1 joins"}},
		"told, not taken up":      {logs: began(9, "v1", "one") + other(79, "v2", ""), want: []string{"0 streams of more than one run"}},
		"told of a take-up's id":  {logs: strings.ReplaceAll(began(9, "v1", "one"), `"r"`, `"r2"`) + recorded},

		"not told, another version":               {logs: other(79, "v1", `,"route":"x"`) + concluded, faults: "two-versions?", want: []string{"b takes it up behind event 5 at version v2 of t (only-version), while no line tells the version that began it, and others of its route or service began at version v1"}},
		"not told, of the service":                {logs: other(79, "v1", `,"run_service":"two"`) + concluded, faults: "two-versions?"},
		"not told, another one was":               {logs: line("c", 79, streams.MessageBegan, `,"id":"u","version":"v1","service":"two"`) + concluded, faults: "two-versions?"},
		"not told, nobody knew":                   {logs: other(79, "v1", `,"route":"x"`) + strings.ReplaceAll(concluded, "only-version", "unknown"), faults: "two-versions?"},
		"not told, several runs":                  {logs: other(79, "v1", `,"route":"x"`) + strings.ReplaceAll(concluded, `"runs":1`, `"runs":2`), faults: "two-versions?"},
		"not told, no line of the join":           {logs: other(79, "v1", `,"route":"x"`) + concluded[strings.Index(concluded, "\n")+1:], faults: "two-versions?"},
		"not told, by another configuration":      {logs: other(79, "v1", `,"route":"x","config":1`) + strings.ReplaceAll(concluded, `"route"`, `"config":2,"route"`), faults: "two-versions?"},
		"not told, by two configurations":         {logs: other(79, "v1", `,"route":"x","config":1`) + other(79, "v1", `,"route":"x","config":2`) + strings.ReplaceAll(concluded, `"route"`, `"config":2,"route"`), faults: "two-versions?"},
		"not told, by one configuration":          {logs: other(79, "v1", `,"route":"x","config":2`) + strings.ReplaceAll(concluded, `"route"`, `"config":2,"route"`)},
		"not told, one configuration and service": {logs: other(79, "v1", `,"run_service":"two","config":2`) + strings.ReplaceAll(concluded, `"route"`, `"config":2,"route"`), faults: "two-versions?"},
		"not told, a record":                      {logs: other(79, "v1", `,"route":"x"`) + recorded},
		"not told, one version":                   {logs: other(79, "v2", `,"route":"x"`) + concluded},
		"not told, of another route":              {logs: other(79, "v1", `,"route":"y","run_service":"one"`) + concluded},
		"not told, long before":                   {logs: other(10, "v1", `,"route":"x"`) + strings.NewReplacer("00:01:20", "00:03:20", "00:01:21", "00:03:21").Replace(concluded)},
		"not told, later":                         {logs: other(95, "v1", `,"route":"x"`) + concluded},
		"not told, its version unknown":           {logs: other(79, "", `,"route":"x"`) + concluded},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := report(c.logs, 10)
			if err != nil {
				t.Fatal(err)
			}
			text := strings.Join(r.Text(), "\n")
			if got := faultsOf(r); got != c.faults {
				t.Errorf("faults %q, want %q:\n%s", got, c.faults, text)
			}
			checkText(t, text, c.want, c.unwanted)
		})
	}
}

// TestServicesAreNamed guards against runs of different services that look like those of one.
func TestServicesAreNamed(t *testing.T) {
	of := func(service, text string) string {
		return strings.NewReplacer(`"to_version"`, `"to_service":"`+service+`","to_version"`, `"run_version"`, `"run_service":"`+service+`","run_version"`).Replace(text)
	}
	moved := strings.ReplaceAll(goesOn, "v1", "v2")
	for name, c := range map[string]struct {
		logs           string
		want, unwanted []string
	}{
		"of two": {
			logs: of("one", begun) + of("two", moved),
			want: []string{"at version v2 of service two of t (record), while a began it at version v1 of service one of t", "the last one at t, version v1 of service one; cut", "at t, version v2 of service two, with 6"},
		},
		"of one":    {logs: of("one", begun) + of("one", moved), unwanted: []string{"service"}},
		"not named": {logs: begun + moved, unwanted: []string{"service"}},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := report(c.logs, 10)
			if err != nil {
				t.Fatal(err)
			}
			if got := faultsOf(r); got != "two-versions" {
				t.Errorf("faults %q", got)
			}
			checkText(t, strings.Join(r.Text(), "\n"), c.want, c.unwanted)
		})
	}
}

// faultsOf returns the kinds of a report's faults, those suspected with a question mark.
func faultsOf(r streams.Report) string {
	var faults []string
	for _, s := range r.Streams {
		for _, f := range s.Faults {
			faults = append(faults, string(f.Kind)+map[bool]string{true: "?"}[f.Suspected])
		}
	}
	return strings.Join(faults, " ")
}

func checkText(t *testing.T, text string, wanted, unwanted []string) {
	t.Helper()
	for _, want := range wanted {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
	for _, u := range unwanted {
		if strings.Contains(text, u) {
			t.Errorf("%q is in\n%s", u, text)
		}
	}
}

func TestListsAreBounded(t *testing.T) {
	var logs strings.Builder
	for _, id := range []string{"x", "y", "z"} {
		logs.WriteString(strings.ReplaceAll(answer("a", 10, "r", 2, "9", "v1", whole)+join("a", 9.5, "r", "v1", "5", "6", "v2"), `"r"`, `"`+id+`"`))
	}
	// Each of 300 take-ups is behind an event that nobody sent. Those of stream r are too many to say so.
	logs.WriteString(begun + strings.Replace(begun, `"r"`, `"u"`, 1))
	for i := range 300 {
		takeUp := answer("b", 20+float64(i), fmt.Sprint("w", i), 1, "99", "v1", takesUp("9", cut))
		logs.WriteString(takeUp)
		logs.WriteString(line("b", 20+float64(i), "request", fmt.Sprintf(`,"id":"v%d"`, i)+takesUp("5", refused)))
		if i < 20 {
			logs.WriteString(strings.Replace(takeUp, `"resumes":"r"`, `"resumes":"u"`, 1))
		}
	}
	r, err := report(logs.String(), 2)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Join(r.Text(), "\n")
	if k := r.Kinds[0]; len(r.Streams) != 3 || k.Streams != 3 || k.LeftOut != 1 || r.Kinds[1].Streams != 1 || r.Gaps.LeftOut != 51 || !r.Gaps.Incomplete {
		t.Errorf("%d streams, %+v, %+v\n%s", len(r.Streams), r.Kinds, r.Gaps, text)
	}
	for _, want := range []string{"1 not listed", "51 lines about streams were too many to keep", "  and 15 others of these kinds"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, text)
		}
	}
}

func FuzzSearch(f *testing.F) {
	f.Add(begun + goesOn + join("a", 9.5, "r", "v1", "5", "6", "v2") + answer("a", 10, "r", 3, "9", "v1", whole))
	f.Fuzz(func(t *testing.T, logs string) {
		r, err := report(logs, 1)
		if err != nil {
			return
		}
		r.Text()
		if _, err := json.Marshal(r); err != nil {
			t.Error(err)
		}
	})
}
