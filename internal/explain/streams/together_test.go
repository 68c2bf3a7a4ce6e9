package streams_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stepcroft/stepcroft/internal/explain/streams"
)

// TestAnswersThatEndTogether guards against answers without a length that were cut in one moment and that no report names.
func TestAnswersThatEndTogether(t *testing.T) {
	ends := func(router string, second float64, id, target, more string) string {
		return line(router, second, streams.MessageRequest, fmt.Sprintf(`,"id":%q,"target":%q,"last_event":"5"%s`, id, target, more))
	}
	const (
		unframed = `,"framing":"connection","complete_by":"answer"` + whole
		chunked  = `,"framing":"chunks"` + whole
	)
	for name, c := range map[string]struct {
		logs string
		want int
	}{
		"together":             {logs: ends("a", 1, "x", "t", unframed) + ends("a", 1.002, "y", "t", unframed), want: 1},
		"three, and two later": {logs: ends("a", 1, "x", "t", unframed) + ends("a", 1, "y", "t", unframed) + ends("a", 1.01, "z", "t", unframed) + ends("a", 5, "v", "t", unframed) + ends("a", 5, "w", "t", unframed), want: 2},
		"another between":      {logs: ends("a", 1, "x", "t", unframed) + ends("a", 1.001, "z", "u", unframed) + ends("a", 1.002, "y", "t", unframed), want: 1},
		"read twice":           {logs: strings.Repeat(ends("a", 1, "x", "t", unframed), 2)},
		"apart":                {logs: ends("a", 1, "x", "t", unframed) + ends("a", 1.2, "y", "t", unframed)},
		"of two targets":       {logs: ends("a", 1, "x", "t", unframed) + ends("a", 1, "y", "u", unframed)},
		"at two routers":       {logs: ends("a", 1, "x", "t", unframed) + ends("b", 1, "y", "t", unframed)},
		"framed":               {logs: ends("a", 1, "x", "t", chunked) + ends("a", 1, "y", "t", chunked)},
		"cut":                  {logs: ends("a", 1, "x", "t", `,"framing":"connection","complete_by":""`+cut) + ends("a", 1, "y", "t", unframed)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := report(c.logs, 1)
			if err != nil {
				t.Fatal(err)
			}
			text := strings.Join(r.Text(), "\n")
			if r.TogetherCount != c.want || len(r.Together) != min(c.want, 1) || strings.Contains(text, "ended together") != (c.want > 0) {
				t.Errorf("%d, %v, want %d:\n%s", r.TogetherCount, r.Together, c.want, text)
			}
			if c.want > 0 && !strings.Contains(text, "a  "+fmt.Sprint(len(r.Together[0]))+" of t: x at event 5 (answer), y at event 5 (answer)") {
				t.Errorf("they are not named:\n%s", text)
			}
		})
	}
}

// TestAnswersThatEndTogetherAreBounded checks that a report lists and names as many as were asked for.
func TestAnswersThatEndTogetherAreBounded(t *testing.T) {
	var logs strings.Builder
	for i := range 5000 {
		logs.WriteString(line("a", float64(i/2), streams.MessageRequest, fmt.Sprintf(`,"id":"%d","target":"t","framing":"connection","complete_by":"answer"%s`, i, whole)))
	}
	for i := range 1000 {
		logs.WriteString(line("b", 0, streams.MessageRequest, fmt.Sprintf(`,"id":"b%d","target":"t","framing":"connection","complete_by":"answer"%s`, i, whole)))
	}
	r, err := report(logs.String(), 10)
	if err != nil {
		t.Fatal(err)
	}
	text := r.Text()
	if r.TogetherCount != 2501 || len(r.Together) != 10 || len(text) > 100 || len(strings.Join(text, "\n")) > 10_000 {
		t.Errorf("%d, %d listed in %d lines", r.TogetherCount, len(r.Together), len(text))
	}
}
