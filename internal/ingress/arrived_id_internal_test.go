package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httphead"
)

const (
	chunked     = "Transfer-Encoding: chunked\r\n"
	chunkedBody = "5\r\nhello\r\n0\r\n\r\n"
	otherHead   = "GET /b HTTP/1.1\r\nHost: h\r\nX-Id: 2\r\n\r\n"
)

// text returns a request with further header lines and what follows its head.
func text(more, rest string) string {
	return "POST /a HTTP/1.1\r\nHost: h\r\n" + more + "\r\n" + rest
}

// arrivedRequests are requests, with the id that their refusals carry.
var arrivedRequests = map[string]struct{ text, id string }{
	"with a length":                  {text("X-Id: 1\r\nContent-Length: 5\r\n", "hello"), "1"},
	"in chunks":                      {text("X-Id: 1\r\n"+chunked, chunkedBody), "1"},
	"in chunks, the id at the end":   {text(chunked+"x-id: 1\r\n", chunkedBody), "1"},
	"in chunks, a part of the body":  {text("X-Id: 1\r\n"+chunked, chunkedBody[:6]), "1"},
	"a part of the head":             {text("X-Id: 1\r\n"+chunked, "")[:60], "1"},
	"a part of the id":               {text("X-Id: 12\r\n", "")[:35], ""},
	"the id's line alone":            {"POST /a HTTP/1.1\r\nX-Id: 1\r\n", ""},
	"kept alive":                     {text("Connection: keep-alive\r\nX-Id: 1\r\n", ""), "1"},
	"to be closed":                   {text("Connection: close\r\nX-Id: 1\r\n", ""), "1"},
	"expects to be told to go on":    {text("Expect: 100-continue\r\nX-Id: 1\r\nContent-Length: 5\r\n", ""), "1"},
	"upgrade":                        {text("Connection: upgrade\r\nUpgrade: x\r\nX-Id: 1\r\n", ""), "1"},
	"HTTP/1.0":                       {"GET /a HTTP/1.0\r\nX-Id: 1\r\n\r\n", "1"},
	"whole address":                  {"GET http://h/a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n", "1"},
	"two lengths":                    {text("Content-Length: 5\r\nContent-Length: 0\r\nX-Id: 1\r\n", "hello"), "1"},
	"length and chunks":              {text("Content-Length: 5\r\n"+chunked+"X-Id: 1\r\n", chunkedBody+otherHead), "1"},
	"followed by another":            {text("X-Id: 1\r\n"+chunked, chunkedBody+otherHead), "1"},
	"without an id, before another":  {text(chunked, chunkedBody+otherHead), ""},
	"an id in the body":              {text("Content-Length: 43\r\n", otherHead), ""},
	"an id in a trailer":             {text(chunked, "0\r\nX-Id: 2\r\n\r\n"), ""},
	"two ids":                        {text("X-Id: 1\r\n"+chunked+"X-Id: 2\r\n", chunkedBody), ""},
	"two equal ids":                  {text("X-Id: 1\r\n"+chunked+"X-Id: 1\r\n", chunkedBody), ""},
	"an empty id, then another":      {text("X-Id:\r\n"+chunked+"X-Id: 2\r\n", chunkedBody), ""},
	"a folded id":                    {text("X-Id: 1\r\n 2\r\n"+chunked, chunkedBody), ""},
	"an id behind a folded line":     {text("X-Text: a\r\n X-Id: 2\r\n", ""), ""},
	"an id behind a bare line feed":  {text("X-Text: a\nX-Id: 2\r\n", ""), ""},
	"an id with a bare line feed":    {text("X-Id: 1\nX-Text: 2\r\n", ""), ""},
	"an id with a bare return":       {text("X-Id: 1\rX-Text: 2\r\n", ""), ""},
	"an id with a control character": {text("X-Id: 1\x00\r\n", ""), ""},
	"a space before the colon":       {text("X-Id : 1\r\n", ""), ""},
	"no request":                     {"hello\r\nX-Id: 1\r\n\r\n", ""},
	"an answer":                      {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", ""},
}

// TestRefusalBeforeServerCarriesID guards against refusals that callers cannot match to their requests, and against
// those that carry the id of another one.
func TestRefusalBeforeServerCarriesID(t *testing.T) {
	for name, c := range arrivedRequests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := newTestServer(anyResult{}, true)
			g := group.New(t.Context())
			defer g.Stop()
			defer checkAccount(t, s)
			s.arrivals.Enqueue(clock.Now().Add(-time.Second), true)
			caller := dialServer(t, l.Addr(), c.text)
			time.Sleep(20 * time.Millisecond)
			g.Go(func() { _ = s.Serve(l) })
			checkRefused(t, caller, c.id)
		})
	}
}

// checkRefused checks that the only thing that a caller gets is a refusal with an id.
func checkRefused(t *testing.T, caller net.Conn, id string) {
	t.Helper()
	answers := bufio.NewReader(caller)
	res, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Fatal("no answer: ", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("X-Id") != id || len(res.Header) > 5 || !res.Close {
		t.Errorf("%s, header %v, want id %q", res.Status, res.Header, id)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Error(err)
	}
	if more, err := io.ReadAll(answers); err != nil || len(more) > 0 {
		t.Errorf("then %q, %v", more, err)
	}
}

// TestRefusalOfLastRequestCarriesID is the same for requests on connections that were idle.
func TestRefusalOfLastRequestCarriesID(t *testing.T) {
	for before, first := range map[string]string{"a plain one": wholeRequest, "one in chunks": text("X-Id: 0\r\n"+chunked, chunkedBody)} {
		for name, c := range arrivedRequests {
			t.Run(name+" after "+before, func(t *testing.T) {
				s := newTestServer(anyResult{}, false)
				evictOldest, idle := fillRoom(s), noteIdle(s)
				caller := dialServer(t, startTestServer(t, s), first)
				if got := status(caller); got != http.StatusServiceUnavailable {
					t.Fatal("status", got)
				}
				<-idle
				evictOldest(func() {
					fmt.Fprint(caller, c.text)
					time.Sleep(20 * time.Millisecond)
				})
				checkRefused(t, caller, c.id)
			})
		}
	}
}

func FuzzArrivedID(f *testing.F) {
	for _, c := range arrivedRequests {
		f.Add([]byte(c.text))
	}
	names := httphead.Names{ID: "X-Id"}
	f.Fuzz(func(t *testing.T, b []byte) {
		id := httphead.ID(b, names.ID)
		if h, _, ok := httphead.Parse(b, &names); ok && string(h.ID) != id {
			t.Errorf("id %q, of the head that is refused before the server %q", id, h.ID)
		}
		// The HTTP server's answer to a request that it takes must have the same id.
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(b))))
		if err == nil && id != "" && r.Header.Get("X-Id") != id {
			t.Errorf("id %q, the HTTP server's %q", id, r.Header.Get("X-Id"))
		}
	})
}
