package httpserver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/httpserver"
)

// Guards against an answer that gets status 200 since its own has no reason phrase.
func TestStatusWithoutReasonPhrase(t *testing.T) {
	server, err := httpserver.New("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		status, err := strconv.Atoi(r.URL.Query().Get("status"))
		if err != nil {
			t.Error(err)
		}
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "4")
		}
		w.WriteHeader(status)
		w.WriteHeader(http.StatusOK)
		_, _ = io.Copy(w, strings.NewReader("body"))
	}), httpserver.Options{MaxConnections: 10, Pollers: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	for name, c := range map[string]struct {
		path string
		keep bool
	}{"with a length": {"/length", true}, "without a length": {"/", false}} {
		t.Run(name, func(t *testing.T) {
			var conn net.Conn
			var answers *bufio.Reader
			for _, status := range []int{404, 299, 200, 450, 499, 599} {
				if conn == nil {
					if conn, err = net.Dial("tcp", server.Address()); err != nil {
						t.Fatal(err)
					}
					defer conn.Close()
					if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
						t.Fatal(err)
					}
					answers = bufio.NewReader(conn)
				}
				fmt.Fprintf(conn, "GET %s?status=%d HTTP/1.1\r\nHost: h\r\n\r\n", c.path, status)
				res, err := http.ReadResponse(answers, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(res.Body)
				if err != nil || res.StatusCode != status || string(body) != "body" || res.Close == (c.keep || http.StatusText(status) != "") {
					t.Errorf("status %d, body %q, closes %v, %v; want status %d", res.StatusCode, body, res.Close, err, status)
				}
				if res.Close {
					conn = nil
				}
			}
		})
	}
}
