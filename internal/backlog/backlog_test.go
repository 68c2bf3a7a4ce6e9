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
	fmt.Println("a new one may wait, where there is time:", q.Enqueue(now, false) != nil)
	fmt.Println("where there is none:", q.Enqueue(now, true) != nil)
	fmt.Println("the first is overdue:", q.Dequeue(now, first, true))
	// Output:
	// a new one may wait, where there is time: true
	// where there is none: false
	// the first is overdue: true
}
