package explain_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"
	"testing"

	"github.com/stepcroft/stepcroft/internal/explain"
)

// line returns a log line of router a, written at an offset in seconds.
func line(second float64, message, fields string) string {
	whole := int(second)
	return fmt.Sprintf(`{"time":"2026-01-01T00:00:%02d.%03dZ","msg":%q,"router":"a"%s}`+"\n", whole, int((second-float64(whole))*1000+0.5), message, fields)
}

// request returns the line that reports the end of request r.
func request(second float64, fields string) string {
	return line(second, "request", `,"id":"r","organisation":"o","route":"x","took_ms":100,"goal_ms":400`+fields)
}

// explainRequest explains request r from logs. It also returns the lines that could not be parsed.
func explainRequest(t *testing.T, logs ...string) (explain.Explanation, []explain.BadLine) {
	t.Helper()
	timeline := explain.New("r")
	var bad []explain.BadLine
	for _, f := range []func(explain.Line){timeline.Add, timeline.AddNeighbour} {
		for _, log := range logs {
			if err := explain.Read(strings.NewReader(log), "log", f, func(b explain.BadLine) { bad = append(bad, b) }); err != nil {
				t.Fatal(err)
			}
		}
		timeline.Sort()
	}
	return timeline.Explain(), bad
}

func TestCauses(t *testing.T) {
	broken := line(9.9, "given up", `,"id":"r","target":"e1","reason":"target-broken","cause":"EOF","events":3`)
	cases := map[string]struct {
		logs []string
		// wantCause is a substring of the cause, wantLine a substring of the lines that support it.
		wantCause, wantLine string
	}{
		"answered in time": {logs: []string{request(10, `,"outcome":"answered","status":200,"reason":"","first_ms":50`)}, wantCause: "in time"},
		"cut by a planned stop": {
			logs:      []string{line(3, "planned stop begins", `,"open":1`), request(10, `,"outcome":"cut","status":200,"reason":"router-stopped"`)},
			wantCause: "planned stop",
			wantLine:  "open=1",
		},
		"cut without a planned stop": {
			logs:      []string{line(3, "planned stop begins", ""), line(4, "router runs", ""), request(10, `,"outcome":"cut","status":200,"reason":"router-stopped"`)},
			wantCause: "no line says that it was stopping",
		},
		"handler failed": {
			logs:      []string{line(9, "handler failed", `,"id":"r"`), request(10, `,"outcome":"refused","status":502,"reason":"router-failed"`)},
			wantCause: "router failed",
		},
		"late behind long prompts": {
			logs:      []string{request(10, `,"outcome":"answered","status":200,"reason":"","first_ms":900,"sends":1,"unread":20000`)},
			wantCause: "20000 prompt tokens",
		},
		"late for want of room": {
			logs:      []string{request(10, `,"outcome":"answered","status":200,"reason":"","first_ms":900,"sends":1,"waited_ms":800`)},
			wantCause: "waited 800 ms",
		},
		"held back": {
			logs:      []string{line(3, "request held back", `,"content":"c1"`), line(4, "request held back", `,"content":"c2"`), request(10, `,"outcome":"refused","status":503,"reason":"quarantined","content":"c1"`)},
			wantCause: "same request",
			wantLine:  "content=c1",
		},
		"part held back": {
			logs:      []string{line(3, "part held back", `,"content":"c1","part":"p1"`), line(4, "part held back", `,"content":"c2","part":"p2"`), request(10, `,"outcome":"refused","status":503,"reason":"quarantined","content":"c1","part":"p1"`)},
			wantCause: "the part p1",
			wantLine:  "content=c1",
		},
		"version unknown": {
			logs:      []string{line(3, "targets known", `,"targets":4`), request(10, `,"outcome":"refused","status":503,"reason":"unknown-version"`)},
			wantCause: "no router knew which version",
			wantLine:  "targets=4",
		},
		"no target of the version": {
			logs:      []string{line(3, "targets known", `,"targets":4`), request(10, `,"outcome":"refused","status":503,"reason":"no-target-of-version"`)},
			wantCause: "no target of the version",
			wantLine:  "targets=4",
		},
		"no room": {
			logs: []string{
				strings.Replace(request(9, `,"outcome":"answered"`), `"id":"r"`, `"id":"other"`, 1),
				request(10, `,"outcome":"refused","status":503,"reason":"queue-full"`),
			},
			wantCause: "1 were answered and 0 refused",
		},
		"no end in time": {
			logs:      []string{request(10, `,"outcome":"refused","status":503,"reason":"cannot-finish"`), line(10.5, "streams bounded", `,"cannot_finish":3,"expected_ms":9000,"left_ms":5000`)},
			wantCause: "before its deadline",
			wantLine:  "expected_ms=9000",
		},
		"resting targets": {
			logs:      []string{line(9, "target asks for a rest", `,"target":"e1","rest_ms":3000`), request(10, `,"outcome":"refused","status":503,"reason":"targets-resting"`)},
			wantCause: "asked for a rest",
			wantLine:  "rest_ms=3000",
		},
		"a busy router": {
			logs:      []string{line(9, "organisation throttled", `,"organisation":"o","busy":0.9`), request(10, `,"outcome":"refused","status":503,"reason":"router-busy"`)},
			wantCause: "processor",
			wantLine:  "busy=0.9",
		},
		"a key that is gone": {
			logs:      []string{line(2, "configuration in force", `,"version":7`), line(12, "configuration in force", `,"version":8`), request(10, `,"outcome":"refused","status":401,"reason":"unknown-key"`)},
			wantCause: "did not know",
			wantLine:  "version=7",
		},
		"a target that broke off for all": {
			logs: []string{
				broken, strings.Replace(broken, `"id":"r"`, `"id":"other"`, 1),
				request(10, `,"outcome":"cut","status":200,"reason":"target-broken","target":"e1"`), line(11, "targets known", `,"targets":4`),
			},
			wantCause: "1 others", wantLine: "targets=4",
		},
		"a target that broke off once": {
			logs: []string{broken, request(10, `,"outcome":"cut","status":200,"reason":"target-broken","target":"e1"`)}, wantCause: "nothing else failed",
		},
		"a target that broke off, and then no room": {
			logs: []string{broken, request(10, `,"outcome":"cut","status":200,"reason":"queue-full","exchange_end":"target-broken","target":"e1"`)}, wantCause: "broke off its answer; nothing else failed there within two seconds; then no engine had room",
		},
		"a suspension": {
			logs:      []string{line(9, "box was suspended", `,"missed_ms":4000`), request(10, `,"outcome":"refused","status":503,"reason":"not-ready"`)},
			wantCause: "rely on", wantLine: "missed_ms=4000",
		},
		"a router that was killed": {
			logs: []string{line(9, "sent again", `,"id":"r","target":"e1"`), line(12, "router runs", "")}, wantCause: "may still run", wantLine: "router runs",
		},
		"only counted": {
			logs: []string{line(9, "targets known", ""), `{"level":"WARN","msg":"log lines dropped","lines":70}` + "\n"}, wantCause: "70 lines were left out", wantLine: "left out 70",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, bad := explainRequest(t, strings.Join(c.logs, ""))
			if len(bad) > 0 {
				t.Fatalf("bad lines: %+v", bad)
			}
			if !strings.Contains(got.Cause, c.wantCause) {
				t.Errorf("cause %q, want %q in it", got.Cause, c.wantCause)
			}
			if shown := strings.Join(got.Because, "\n"); !strings.Contains(shown, c.wantLine) {
				t.Errorf("supporting lines %q, want %q in them", shown, c.wantLine)
			}
		})
	}
}

// TestOrder checks that events are in order of time when the logs of two routers are read in
// another order.
func TestOrder(t *testing.T) {
	first := strings.Replace(line(8, "sent again", `,"id":"r","target":"e1","reason":"target-broken"`), `"router":"a"`, `"router":"b"`, 1)
	got, _ := explainRequest(t, request(10, `,"outcome":"answered","status":200`), first)
	text := strings.Join(got.Text(), "\n")
	if strings.Index(text, "leaves target") > strings.Index(text, "ends it") {
		t.Errorf("out of order:\n%s", text)
	}
}

func TestBadLines(t *testing.T) {
	log := "garbage\n{\"time\":7}\n{\"msg\":\"x\"\n" + strings.Repeat("y", 2<<20) + "\n  12.5 a " + request(10, `,"outcome":"answered","status":200`)
	got, bad := explainRequest(t, log)
	if len(bad) != 8 || bad[0].Number != 1 || bad[3].Number != 4 {
		t.Errorf("%d bad lines in two passes: %+v", len(bad), bad)
	}
	if !strings.Contains(got.Cause, "in time") {
		t.Errorf("the line after the bad ones was not read: cause %q", got.Cause)
	}
}

func TestGzip(t *testing.T) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write([]byte(request(10, `,"outcome":"answered","status":200`))); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	lines := 0
	if err := explain.Read(&b, "log", func(explain.Line) { lines++ }, func(b explain.BadLine) { t.Error(b.Err) }); err != nil || lines != 1 {
		t.Errorf("%d lines, %v", lines, err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(request(10, "")))
	f.Add([]byte{0x1f, 0x8b, 0})
	f.Fuzz(func(_ *testing.T, log []byte) {
		timeline := explain.New("r")
		if err := explain.Read(bytes.NewReader(log), "log", timeline.Add, func(explain.BadLine) {}); err == nil {
			timeline.Sort()
			timeline.Explain()
		}
	})
}
