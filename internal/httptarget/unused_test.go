package httptarget_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// TestCheckUnused checks what the connections to a target tell of its process.
func TestCheckUnused(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/break" {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("part"))
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	g := group.New(t.Context())
	defer g.Stop()
	transport := httptarget.New(g)
	defer transport.Close()
	get := func(path string) {
		t.Helper()
		a, err := transport.Send(t.Context(), address, httptarget.Request{Method: http.MethodGet, Head: []byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"), Instance: "e"})
		if err != nil {
			if path != "/break" {
				t.Fatal(err)
			}
			return
		}
		_, _ = io.Copy(io.Discard, a)
		a.Close()
	}
	check := func(when string, wantOpen, wantEnded bool) {
		t.Helper()
		if open, ended := transport.CheckUnused(address, "e"); open != wantOpen || ended != wantEnded {
			t.Errorf("%s: open %v, ended %v; want %v, %v", when, open, ended, wantOpen, wantEnded)
		}
	}
	check("before the first connection", false, false)
	get("/")
	check("with an unused connection", true, false)
	server.CloseClientConnections()
	open, ended := true, false
	for end := time.Now().Add(time.Second); open && time.Now().Before(end); {
		open, ended = transport.CheckUnused(address, "e")
	}
	if open || !ended {
		t.Errorf("once it has ended: open %v, ended %v", open, ended)
	}
	check("to the next one who looks", false, true)
	time.Sleep(1100 * time.Millisecond)
	check("later", false, false)
	get("/break")
	check("after an answer broke off", false, true)
	get("/")
	check("with a connection made since", false, true)
}
