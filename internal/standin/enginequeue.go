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
	// sequence is the order of arrival among the waiters of a priority.
	sequence int
	// index is the position in the heap, or -1 if the waiter has left it.
	index int
	// slotGranted is closed when the waiter gets a slot.
	slotGranted chan struct{}
}

// waiters is a heap of waiters, the highest priority first and within a priority in order of
// arrival.
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

// acquire waits for a slot. It returns false if the caller disconnected first.
func (e *Engine) acquire(w http.ResponseWriter, priority int) bool {
	e.mu.Lock()
	if e.running < e.options.Slots {
		e.running++
		e.mu.Unlock()
		return true
	}
	e.lastSequence++
	queued := &waiter{priority: priority, sequence: e.lastSequence, slotGranted: make(chan struct{})}
	heap.Push(&e.queue, queued)
	e.mu.Unlock()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-queued.slotGranted:
			return true
		case <-ticker.C:
			if httpserver.CallerDisconnected(w) && e.removeWaiter(queued) {
				return false
			}
		}
	}
}

// removeWaiter removes a waiter from the queue. It returns false if the waiter has got a slot
// already.
func (e *Engine) removeWaiter(queued *waiter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if queued.index < 0 {
		return false
	}
	heap.Remove(&e.queue, queued.index)
	return true
}

// release frees a slot, or passes it to the first waiter.
func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) == 0 {
		e.running--
		return
	}
	close(heap.Pop(&e.queue).(*waiter).slotGranted)
}

// WaitIdle waits until no request runs or waits in the engine, or until ctx is done.
func (e *Engine) WaitIdle(ctx context.Context) error {
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
