package requestbody_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/requestbody"
)

const limit = 10

// TestWhichBodiesAreRead guards against bodies of which a part is taken for the whole, and refusals for another reason.
func TestWhichBodiesAreRead(t *testing.T) {
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		// cut is set if the caller sends no more.
		cut    bool
		body   string
		status int
		reason forward.Reason
	}{
		"whole":               {text: length(5) + "hello", body: "hello"},
		"none":                {text: length(0)},
		"in chunks":           {text: chunked + "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", body: "hello"},
		"as large as allowed": {text: length(limit) + strings.Repeat("x", limit), body: strings.Repeat("x", limit)},
		"too large":           {text: length(limit + 1), status: http.StatusRequestEntityTooLarge, reason: refusal.TooLarge},
		"too large in chunks": {text: chunked + "b\r\nhello world\r\n0\r\n\r\n", status: http.StatusRequestEntityTooLarge, reason: refusal.TooLarge},
		"cut":                 {text: length(5) + "he", cut: true, status: http.StatusBadRequest, reason: forward.ReasonCallerGone},
		"cut in chunks":       {text: chunked + "5\r\nhe", cut: true, status: http.StatusBadRequest, reason: forward.ReasonCallerGone},
		"malformed chunks":    {text: chunked + "x\r\n", status: http.StatusBadRequest, reason: refusal.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			bodies := requestbody.New(memory.New(1<<20), logr.Discard())
			results, read := make(chan forward.Result, 1), make(chan string, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var out forward.Request
				reservation, result := bodies.Read(w, r, limit, &out)
				if reservation != nil {
					defer reservation.Close()
				}
				got := ""
				if result.Status == 0 {
					got = string(out.Body.Bytes())
				}
				read <- got
				results <- result
			}))
			defer s.Close()
			caller := dial(t, s)
			defer caller.Close()
			fmt.Fprint(caller, "POST / HTTP/1.1\r\nHost: h\r\n"+c.text)
			if c.cut {
				_ = caller.CloseWrite()
			}
			if got := <-read; got != c.body {
				t.Errorf("read %q, want %q", got, c.body)
			}
			if r := <-results; r.Status != c.status || r.Reason != c.reason {
				t.Errorf("%d %s, want %d %s", r.Status, r.Reason, c.status, c.reason)
			}
		})
	}
}

// TestRefusalBeforeRestOfBody guards against refusals that callers do not read, since the connection is reset while they send.
func TestRefusalBeforeRestOfBody(t *testing.T) {
	const size = 4 << 20
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer requestbody.Discard(w, r, func() time.Time { return clock.Now().Add(5 * time.Second) })()
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	caller := dial(t, s)
	fmt.Fprintf(caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	if _, err := io.CopyN(caller, endless{}, size); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || !res.Close {
		t.Errorf("%s, closes %t", res.Status, res.Close)
	}
}

// endless is input without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

func dial(t *testing.T, s *httptest.Server) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c.(*net.TCPConn)
}
