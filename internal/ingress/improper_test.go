package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/refusal"
)

// endLog is an observer that passes on a line for each request.
type endLog chan string

func (l endLog) RequestEnded(r forward.Request, v forward.Result, _ time.Duration) {
	l <- fmt.Sprintf("%q %d %s", r.ID, v.Status, v.Reason)
}

// TestImproperRequestIsReported guards against refusals by the HTTP server that callers cannot match to their requests,
// and that leave no line.
func TestImproperRequestIsReported(t *testing.T) {
	const first, chunks = "GET / HTTP/1.1\r\nHost: none\r\nX-Id: 0\r\n\r\n", "POST / HTTP/1.1\r\nHost: none\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	for name, c := range map[string]struct {
		before, sent, later string
		status              int
		id                  string
	}{
		"no host":                {"", "GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n", "", 400, "1"},
		"in two pieces":          {"", "GET / HTTP/1.1\r\nX-I", "d: 1\r\n\r\n", 400, "1"},
		"no such address":        {"", "GET /%zz HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n", "", 400, "1"},
		"two lengths":            {"", "POST / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 5\r\nContent-Length: 0\r\n\r\nhello", "", 400, "1"},
		"unknown coding":         {"", "POST / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nTransfer-Encoding: x\r\n\r\n", "", 501, "1"},
		"unknown version":        {"", "GET / HTTP/3.0\r\nHost: h\r\nX-Id: 1\r\n\r\n", "", 505, ""},
		"too large":              {"", "GET / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Text: " + strings.Repeat("x", 80<<10) + "\r\n\r\n", "", 431, "1"},
		"too large, id far on":   {"", "GET / HTTP/1.1\r\nHost: h\r\nX-Text: " + strings.Repeat("x", 80<<10) + "\r\nX-Id: 1\r\n\r\n", "", 431, ""},
		"unknown expectation":    {"", "GET / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nExpect: x\r\n\r\n", "", 417, "1"},
		"bare return in the id":  {"", "GET / HTTP/1.1\r\nX-Id: 1\rX-Text: 2\r\n\r\n", "", 400, ""},
		"control in the id":      {"", "GET / HTTP/1.1\r\nX-Id: 1\x01\r\n\r\n", "", 400, ""},
		"no HTTP":                {"", "hello\r\nX-Id: 1\r\n\r\n", "", 400, ""},
		"after another":          {first, "GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n", "", 400, "1"},
		"usual, after another":   {first, "GET /%zz HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n", "", 400, "1"},
		"after chunks":           {chunks, "GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n", "", 400, "1"},
		"in one read with first": {"", first + "GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n", "", 400, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := make(endLog, 2)
			s, address, _ := newObservedServer(t, log)
			caller, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			_ = caller.SetDeadline(time.Now().Add(5 * time.Second))
			answers := bufio.NewReader(caller)
			want := map[lifecycle.End]int64{lifecycle.Incomplete: 1}
			fmt.Fprint(caller, c.before)
			if c.before != "" || strings.HasPrefix(c.sent, first) {
				if c.before == "" {
					fmt.Fprint(caller, c.sent)
					c.sent = ""
				}
				if res := readAnswer(t, answers); res.StatusCode != http.StatusNotFound {
					t.Fatal(res.Status)
				}
				want[lifecycle.Refused]++
				<-log
			}
			fmt.Fprint(caller, c.sent)
			if c.later != "" {
				time.Sleep(20 * time.Millisecond)
				fmt.Fprint(caller, c.later)
			}
			if res := readAnswer(t, answers); res.StatusCode != c.status || res.Header.Get("X-Id") != c.id || !res.Close || len(res.Header) > 3 {
				t.Errorf("%s, header %q, want id %q", res.Status, res.Header, c.id)
			}
			if got, want := <-log, fmt.Sprintf("%q %d %s", c.id, c.status, refusal.Improper); got != want {
				t.Errorf("reported %s, want %s", got, want)
			}
			if got := s.Ends(); !maps.Equal(got, want) {
				t.Errorf("ends %v, want %v", got, want)
			}
		})
	}
}

// readAnswer reads an answer and its body.
func readAnswer(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal("no answer: ", err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Error(err)
	}
	return res
}
