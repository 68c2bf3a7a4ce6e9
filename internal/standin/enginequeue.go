package standin

import (
	"container/heap"
	"context"
	"net/http"
	"time"

	"github.com/stepcroft/stepcroft/internal/httpserver"
)

// waiter is a request that waits inside the engine for a slot.
type waiter struct {
	priority int
	sequence int
	index    int
	turn     chan struct{}
}

type waiters []*waiter

func (q waiters) Len() int { return len(q) }

func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].sequence < q[j].sequence
}

func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

// acquire waits for a slot; it returns false if the caller went away.
func (e *Engine) acquire(w http.ResponseWriter, priority int) bool {
	e.mu.Lock()
	if e.running < e.options.Slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	e.next++
	me := &waiter{priority: priority, sequence: e.next, turn: make(chan struct{})}
	heap.Push(&e.queue, me)
	e.mu.Unlock()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-me.turn:
			return true
		case <-ticker.C:
			if httpserver.CallerDisconnected(w) && e.abandon(me) {
				return false
			}
		}
	}
}

// abandon takes a waiter out of the queue; it returns false if the waiter
// has a slot already.
func (e *Engine) abandon(me *waiter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if me.index < 0 {
		return false
	}
	heap.Remove(&e.queue, me.index)
	return true
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) == 0 {
		e.running--
		return
	}
	close(heap.Pop(&e.queue).(*waiter).turn)
}

// Drained waits until the engine runs nothing.
func (e *Engine) Drained(ctx context.Context) error {
	for {
		e.mu.Lock()
		busy := e.running + len(e.queue)
		e.mu.Unlock()
		if busy == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}
