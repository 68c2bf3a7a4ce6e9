package httpanswer_test

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/httpanswer"
)

// statusLine matches the status lines of final answers, with the spaces that recipients may accept.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] +([2-5][0-9][0-9])( .*)?$`)

// FuzzRead guards against returning anything as a final answer that is none.
func FuzzRead(f *testing.F) {
	for _, line := range []string{
		"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.0 599 x", "HTTP/1.9 299 ", "HTTP/1.1  404 x", "HTTP/1.1 000 x", "HTTP/1.1 -00 x",
		"HTTP/1.1 099 x", "HTTP/1.1 +99 x", "HTTP/1.1 +200 x", "HTTP/1.1 20 x", "HTTP/1.1 2000 x", "HTTP/1.1 600 x", "HTTP/1.1 999 x",
		"HTTP/1.1 100 x", "HTTP/1.1 101 x", "HTTP/1.1 199 x", "HTTP/9.9 200 x", "HTTP/0.9 200 x", "HTTP/2.0 200 x", "HTTP/1.10 200 x",
	} {
		for _, headers := range []string{"Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n", "Content-Length: 1\r\nContent-Length: 2\r\n", "x\r\n", ""} {
			f.Add(line + "\r\n" + headers + "\r\n1\r\nx\r\n0\r\n\r\n")
			f.Add("HTTP/1.1 103 x\r\n\r\n" + line + "\r\n" + headers + "\r\n")
		}
	}
	f.Fuzz(func(t *testing.T, text string) {
		res, err := httpanswer.Read(bufio.NewReader(strings.NewReader(text)), http.MethodPost)
		if err != nil {
			return
		}
		if !statusLine.MatchString(res.Proto+" "+res.Status) || res.StatusCode < 200 || res.StatusCode > 599 {
			t.Errorf("%q is returned as status %d, %q", text, res.StatusCode, res.Status)
		}
	})
}

// Guards against refusing what is lawful though unusual.
func TestUnusualAnswers(t *testing.T) {
	for text, want := range map[string]int{
		"HTTP/1.1 200\r\n\r\n": 200, "HTTP/1.1 599 \r\n\r\n": 599, "HTTP/1.2 299 x\r\n\r\n": 299, "HTTP/1.0 404 x\r\n\r\n": 404,
		"HTTP/1.1 199 x\r\n\r\nHTTP/1.1 204 x\r\n\r\n": 204, "HTTP/1.1 200 x\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n": 200,
	} {
		if res, err := httpanswer.Read(bufio.NewReader(strings.NewReader(text)), http.MethodPost); err != nil || res.StatusCode != want {
			t.Errorf("%q: %v, want status %d", text, err, want)
		}
	}
}

// Guards against returning the signs of chunks as content.
func TestChunksOfOldVersion(t *testing.T) {
	const chunks = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	for text, want := range map[string]bool{
		"HTTP/1.0 200 x\r\n" + chunks: false, "HTTP/1.0 200 x\r\nContent-Length: 1\r\n" + strings.ToLower(chunks): false,
		"HTTP/1.1 103 x\r\n\r\nHTTP/1.0 200 x\r\n" + chunks: false, "HTTP/1.0 200 x\nA: b\nTRANSFER-ENCODING:identity\n\nx": false,
		"HTTP/1.1 200 x\r\n" + chunks: true, "HTTP/1.0 200 x\r\nA: b\r\n\r\n" + chunks: true,
	} {
		for name, source := range map[string]io.Reader{"at once": strings.NewReader(text), "by bytes": iotest.OneByteReader(strings.NewReader(text))} {
			if _, err := httpanswer.Read(bufio.NewReader(source), http.MethodPost); (err == nil) != want {
				t.Errorf("%q, %s: %v", text, name, err)
			}
		}
	}
}

// Guards against taking the answer that follows bytes in its place for that of the next request on the connection.
func TestAnswerAfterAnInvalidOneIsNotTakenForTheNextRequests(t *testing.T) {
	var requests int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests++; requests > 1 {
			_, _ = io.WriteString(w, "own")
			return
		}
		c, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 600 x\r\nContent-Length: 0\r\n\r\n")
		if _, err := http.ReadRequest(buffered.Reader); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		}
	}))
	defer server.Close()
	transport := httpanswer.New(&http.Transport{})
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport}
	if _, err := client.Get(server.URL); !errors.Is(err, httpanswer.ErrInvalid) || transport.Invalid() != 1 {
		t.Fatalf("%v, %d invalid", err, transport.Invalid())
	}
	res, err := client.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if text, err := io.ReadAll(res.Body); err != nil || string(text) != "own" {
		t.Errorf("%q, %v", text, err)
	}
}
