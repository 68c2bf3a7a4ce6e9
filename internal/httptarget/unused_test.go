package httptarget_test

import (
	"io"
	"math"
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

// TestConnectionOfNextProcessLooksOpen guards against an unused connection that the next process has accepted and that
// counts as one to the earlier process, as the end of another one is read later.
func TestConnectionOfNextProcessLooksOpen(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\npart"
	g := startTarget(t, math.MaxInt)
	first, ended := g.exchange(t, part)
	defer first.Close()
	second, alsoEnded := g.exchange(t, part)
	defer second.Close()
	time.Sleep(50 * time.Millisecond)
	_, _ = ended.Close(), alsoEnded.Close()
	if _, err := io.ReadAll(first); err == nil {
		t.Fatal("the first answer is whole")
	}
	if _, exited := g.ProcessExited(t.Context(), g.address(), ""); exited {
		t.Fatal("the connection was refused")
	}
	if _, err := io.ReadAll(second); err == nil {
		t.Fatal("the second answer is whole")
	}
	if open, ended := g.CheckUnused(g.address(), ""); open || !ended {
		t.Errorf("open %v, ended %v", open, ended)
	}
}

// TestEndOfSpareConnection guards against the end of a process that nobody sees, as a question has taken the only
// connection to it.
func TestEndOfSpareConnection(t *testing.T) {
	g := startTarget(t, math.MaxInt)
	if err := g.witness(t.Context(), time.Time{}); err != nil {
		t.Fatal(err)
	}
	g.closeListener()
	time.Sleep(50 * time.Millisecond)
	if open, ended := g.CheckUnused(g.address(), ""); open || !ended {
		t.Errorf("open %v, ended %v", open, ended)
	}
}

// TestConnectedAfterEndOfSpare guards against a connection that the next process may have accepted and that counts as one
// to the earlier process, whose only other one has been kept for questions.
func TestConnectedAfterEndOfSpare(t *testing.T) {
	g := startTarget(t, math.MaxInt)
	if err := g.witness(t.Context(), time.Time{}); err != nil {
		t.Fatal(err)
	}
	g.mu.Lock()
	for c := range g.unused {
		_ = c.Close()
	}
	g.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	a, conn := g.exchange(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n")
	defer conn.Close()
	defer a.Close()
	if !a.ConnectedAfterEnd() {
		t.Error("the connection does not count as made after the end")
	}
}
