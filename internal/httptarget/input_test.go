package httptarget_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// TestInputIsToldUntilItIsRead guards against a target that counts as silent though its answer has arrived.
func TestInputIsToldUntilItIsRead(t *testing.T) {
	body := strings.Repeat("x", 100<<10)
	answer := make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Id", "a")
		_ = http.NewResponseController(w).Flush()
		<-answer
		_, _ = io.WriteString(w, body)
	}))
	defer target.Close()
	g := group.New(t.Context())
	defer g.Stop()
	transport := httptarget.New(g)
	defer transport.Close()
	var hasInput func() bool
	r := request("a", "")
	r.OnSent = func(f func() bool) { hasInput = f }
	a, err := transport.Send(t.Context(), target.Listener.Addr().String(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if hasInput() {
		t.Error("input before the target has sent any")
	}
	close(answer)
	for end := time.Now().Add(5 * time.Second); !hasInput(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no input though the target has sent its answer")
		}
	}
	if text, err := io.ReadAll(a); err != nil || string(text) != body {
		t.Errorf("%d bytes, %v", len(text), err)
	}
	if hasInput() {
		t.Error("input though all is read")
	}
}
