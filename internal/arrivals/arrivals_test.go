package arrivals_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/arrivals"
)

func ExampleQueue() {
	q, began := arrivals.New(), time.Now()
	first := q.Accept(began, true)
	// The process is short of CPU time, and the first connection has yet to be read.
	fmt.Println(q.Accept(began.Add(time.Second), true) == nil)
	fmt.Println(q.Dequeue(began.Add(time.Second), first, true, false))
	s := q.TakeStats()
	fmt.Println(s.Accepted, s.ReadWait, s.Waited(time.Second))
	// Output:
	// true
	// true
	// 2 1s true
}

// TestWaitsOfReceivedConnections guards against waits of connections that other routers handed over among those of callers.
func TestWaitsOfReceivedConnections(t *testing.T) {
	q, began := arrivals.New(), time.Now()
	own, received := q.Accept(began, false), q.Enqueue(began, false)
	q.Dequeue(began.Add(time.Millisecond), own, false, false)
	q.Dequeue(began.Add(2*time.Millisecond), received, false, true)
	q.NoteRoomWait(3 * time.Millisecond)
	q.CountRefused()
	want := arrivals.Stats{Accepted: 1, Refused: 1, ReadWait: time.Millisecond, ReceivedReadWait: 2 * time.Millisecond, RoomWait: 3 * time.Millisecond}
	if got := q.TakeStats(); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	if accepted, longest := q.TakeAccepted(); accepted != 1 || longest != 2*time.Millisecond {
		t.Errorf("%d accepted, longest wait %v", accepted, longest)
	}
	if got := q.TakeStats(); got != (arrivals.Stats{}) {
		t.Errorf("taken twice: %+v", got)
	}
}
