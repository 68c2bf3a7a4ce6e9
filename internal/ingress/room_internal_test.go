package ingress

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/callerconn"
	"github.com/stepcroft/stepcroft/internal/room"
)

// TestLateRoomIsMadeForAllThatWait guards against new connections that are admitted one by one, each after a wait, while
// others are idle and answers that make room are long.
func TestLateRoomIsMadeForAllThatWait(t *testing.T) {
	const connections = 12
	s := newTestServer(anyResult{}, false)
	s.limitConnections(connections)
	serving, ended := make(chan struct{}, connections), make(chan struct{})
	s.server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		callerconn.Of(r.Context()).NoteServing()
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
	if took := time.Since(began); took > 6*room.AnnounceTime {
		t.Errorf("%d connections waited %v for room", connections, took)
	}
}

// TestWaitForRoomIsNotOverdue guards against new connections that are rejected for want of CPU time as they waited for
// room, though a connection became idle soon.
func TestWaitForRoomIsNotOverdue(t *testing.T) {
	for range maxPlays {
		var status string
		var took time.Duration
		stall := longestStall(func() { status, took = waitForRoom(t) })
		if status == "200 OK" {
			return
		}
		if stall < maxStall {
			t.Fatalf("%s after %v, longest stall %v", status, took, stall)
		}
		// A connection that waits for the processor for as long is rejected by design.
		t.Logf("%s after %v, longest stall %v: played again", status, took, stall)
	}
	t.Fatalf("rejected in each of %d plays", maxPlays)
}

const (
	// maxStall is the longest stall of this process in a play that counts, a part of the time after which a connection
	// is overdue, and maxPlays the number of plays.
	maxStall = 10 * time.Millisecond
	maxPlays = 20
)

// longestStall returns for how long at most this process had no processor time while f ran.
func longestStall(f func()) time.Duration {
	const interval = time.Millisecond
	done, stall := make(chan struct{}), make(chan time.Duration)
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() {
		longest := time.Duration(0)
		for {
			began := time.Now()
			select {
			case <-done:
				stall <- longest
				return
			case <-time.After(interval):
				longest = max(longest, time.Since(began)-interval)
			}
		}
	})
	f()
	close(done)
	return <-stall
}

// waitForRoom has a caller wait for room until a connection becomes idle, and returns the status of its answer and how
// long that took.
func waitForRoom(t *testing.T) (string, time.Duration) {
	s := newTestServer(anyResult{}, true)
	s.limitConnections(1)
	serving, end := make(chan struct{}), make(chan struct{})
	s.server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		callerconn.Of(r.Context()).NoteServing()
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
	return res.Status, time.Since(began)
}

// TestRoomIsAnnouncedForQueue guards against new connections that wait in the accept queue until answers have made room
// one after another.
func TestRoomIsAnnouncedForQueue(t *testing.T) {
	const queued = 5
	s := newTestServer(anyResult{}, false)
	s.limitConnections(1)
	address := startTestServer(t, s)
	dialServer(t, address, "")
	time.Sleep(room.AnnounceTime / 5)
	for range 1 + queued {
		dialServer(t, address, wholeRequest)
		time.Sleep(time.Millisecond)
	}
	time.Sleep(room.AnnounceTime + room.AnnounceTime/5)
	announced := 0
	for range 2 * queued {
		if s.room.AnnounceClose(false) {
			announced++
		}
	}
	if announced <= queued {
		t.Errorf("%d closes announced while %d connections wait", announced, 1+queued)
	}
}
