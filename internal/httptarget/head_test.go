package httptarget_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// TestAnswerWithoutBody guards against answers that can have no body and count as such that end with their connection, so
// that they look cut if nobody can be asked.
func TestAnswerWithoutBody(t *testing.T) {
	for name, c := range map[string]struct{ method, head string }{
		"HEAD without a length": {http.MethodHead, "HTTP/1.1 200 OK\r\n"},
		"HEAD with a length":    {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"},
		"HEAD, chunks":          {http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"},
		"HEAD, it closes":       {http.MethodHead, "HTTP/1.1 200 OK\r\nConnection: close\r\n"},
		"HEAD, HTTP/1.0":        {http.MethodHead, "HTTP/1.0 200 OK\r\n"},
		"204":                   {http.MethodGet, "HTTP/1.1 204 No Content\r\n"},
		"304":                   {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n"},
		"204 after 103":         {http.MethodGet, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startTarget(t, 1)
			g.Go(func() { _, _ = io.WriteString(g.arrived(), c.head+"X-Id: a\r\n\r\n") })
			r := request("a", "")
			r.Method = c.method
			a, err := g.Send(t.Context(), g.address(), r)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			if text, err := io.ReadAll(a); err != nil || len(text) > 0 {
				t.Errorf("read %q, %v", text, err)
			}
			if a.Framing() == httptarget.Unframed || g.Stats().UnframedAnswers > 0 {
				t.Error("it counts as one that ends with its connection")
			}
		})
	}
}
