package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stepcroft/stepcroft/internal/adapter/engine"
	"github.com/stepcroft/stepcroft/internal/port"
)

// TestCutResponseLooksComplete guards against responses that look complete as the process that sends them ends.
func TestCutResponseLooksComplete(t *testing.T) {
	for name, c := range map[string]struct {
		method, head, body string
		broken             bool
	}{
		"length":             {head: "Content-Length: 4\r\n", body: "text"},
		"cut length":         {head: "Content-Length: 9\r\n", body: "text", broken: true},
		"chunks":             {head: "Transfer-Encoding: chunked\r\n", body: "4\r\ntext\r\n0\r\n\r\n"},
		"cut chunks":         {head: "Transfer-Encoding: chunked\r\n", body: "4\r\ntext\r\n", broken: true},
		"neither":            {body: "text", broken: true},
		"neither, no body":   {broken: true},
		"no body by method":  {method: http.MethodHead},
		"length of no bytes": {head: "Content-Length: 0\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", c.head, c.body)
				_ = conn.Close()
			}))
			t.Cleanup(server.Close)
			client := engine.New()
			t.Cleanup(client.Stop)
			method := http.MethodGet
			if c.method != "" {
				method = c.method
			}
			r, err := client.Call(t.Context(), server.Listener.Addr().String(), port.Call{ID: "a", Method: method, Path: "/", Header: http.Header{}})
			if err != nil {
				t.Fatal(err)
			}
			defer r.Body.Close()
			if text, err := io.ReadAll(r.Body); (err != nil) != c.broken {
				t.Errorf("call: %q, %v", text, err)
			}
			if c.method != "" {
				return
			}
			if text, err := client.ExportKV(t.Context(), server.Listener.Addr().String(), "a"); (err != nil) != c.broken {
				t.Errorf("export: %q, %v", text, err)
			}
		})
	}
}
