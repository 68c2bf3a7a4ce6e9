package ingress

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestLateRoomIsMadeForAllThatWait guards against new connections that are admitted one by one, each after a wait, while
// others are idle and answers that make room are long.
func TestLateRoomIsMadeForAllThatWait(t *testing.T) {
	const connections = 12
	s := newTestServer(anyResult{}, false)
	s.conns.max = connections
	serving, ended := make(chan struct{}, connections), make(chan struct{})
	s.server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		noteServing(r.Context())
		if r.Header.Get("X-Id") == "new" {
			serving <- struct{}{}
			<-ended
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	defer close(ended)
	address := startTestServer(t, s)
	for range connections {
		dialServer(t, address, wholeRequest)
	}
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	for range connections {
		dialServer(t, address, text("X-Id: new\r\n", ""))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for range connections {
		select {
		case <-serving:
		case <-ctx.Done():
			t.Fatal("not served")
		}
	}
	if took := time.Since(began); took > 6*announceTime {
		t.Errorf("%d connections waited %v for room", connections, took)
	}
}

// TestWaitForRoomIsNotOverdue guards against new connections that are rejected for want of CPU time as they waited for
// room, though a connection became idle soon.
func TestWaitForRoomIsNotOverdue(t *testing.T) {
	s := newTestServer(anyResult{}, true)
	s.conns.max = 1
	serving, end := make(chan struct{}), make(chan struct{})
	s.server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		noteServing(r.Context())
		if r.Header.Get("X-Id") == "long" {
			serving <- struct{}{}
			<-end
		}
	})
	address := startTestServer(t, s)
	dialServer(t, address, text("X-Id: long\r\n", ""))
	<-serving
	c := dialServer(t, address, wholeRequest)
	time.Sleep(15 * time.Millisecond)
	close(end)
	began := time.Now()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Errorf("%s after %v", res.Status, time.Since(began))
	}
}

// TestRoomIsAnnouncedForQueue guards against new connections that wait in the accept queue until answers have made room
// one after another.
func TestRoomIsAnnouncedForQueue(t *testing.T) {
	const queued = 5
	s := newTestServer(anyResult{}, false)
	s.conns.max = 1
	address := startTestServer(t, s)
	dialServer(t, address, "")
	time.Sleep(announceTime / 5)
	for range 1 + queued {
		dialServer(t, address, wholeRequest)
		time.Sleep(time.Millisecond)
	}
	time.Sleep(announceTime + announceTime/5)
	announced := 0
	for range 2 * queued {
		if s.conns.announceClose(false) {
			announced++
		}
	}
	if announced <= queued {
		t.Errorf("%d closes announced while %d connections wait", announced, 1+queued)
	}
}
