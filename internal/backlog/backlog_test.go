package backlog_test

import (
	"fmt"
	"time"

	"github.com/stepcroft/stepcroft/internal/backlog"
)

func ExampleQueue() {
	var q backlog.Queue
	now := time.Unix(1000, 0)
	first := q.Enqueue(now, true)
	now = now.Add(100 * time.Millisecond)
	fmt.Println("a new connection is queued while CPU time is available:", q.Enqueue(now, false) != nil)
	fmt.Println("while it is short:", q.Enqueue(now, true) != nil)
	fmt.Println("the first is overdue:", q.Dequeue(now, first, true))
	// Output:
	// a new connection is queued while CPU time is available: true
	// while it is short: false
	// the first is overdue: true
}
