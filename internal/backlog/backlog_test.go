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

func ExampleBatch() {
	var b backlog.Batch
	yields := 0
	for range 2*backlog.MaxBatch + 1 {
		if b.Next(true) {
			yields++
		}
	}
	fmt.Println("yields while CPU time is short:", yields)
	fmt.Println("while it is not:", b.Next(false))
	// Output:
	// yields while CPU time is short: 2
	// while it is not: false
}
