package fair

import (
	"container/heap"
	"time"
)

// Item is an element of a Queue. Items are ordered by priority, highest first,
// then by deadline, then in the order in which they were pushed.
type Item interface {
	Organisation() string
	Priority() int
	Deadline() time.Time
	Arrived() time.Time
}

// Queue holds waiting items in one priority queue per organisation. The zero
// value is empty and ready for use.
type Queue[T Item] struct {
	heaps        map[string]*itemHeap[T]
	size         int
	lastSequence uint64
}

type entry[T Item] struct {
	item     T
	sequence uint64
	index    int
}

type itemHeap[T Item] struct {
	entries []*entry[T]
}

// Handle refers to an item in a Queue, for Remove.
type Handle[T Item] struct{ entry *entry[T] }

// Push adds an item and returns its handle.
func (q *Queue[T]) Push(item T) Handle[T] {
	if q.heaps == nil {
		q.heaps = make(map[string]*itemHeap[T])
	}
	hp := q.heaps[item.Organisation()]
	if hp == nil {
		hp = &itemHeap[T]{}
		q.heaps[item.Organisation()] = hp
	}
	q.lastSequence++
	q.size++
	e := &entry[T]{item: item, sequence: q.lastSequence}
	heap.Push(hp, e)
	return Handle[T]{e}
}

// Pop removes and returns an organisation's first item.
func (q *Queue[T]) Pop(organisation string) (T, bool) {
	hp := q.heaps[organisation]
	if hp == nil {
		var zero T
		return zero, false
	}
	e := heap.Pop(hp).(*entry[T])
	q.afterRemove(organisation, hp)
	return e.item, true
}

// Peek returns an organisation's first item without removing it.
func (q *Queue[T]) Peek(organisation string) (T, bool) {
	hp := q.heaps[organisation]
	if hp == nil {
		var zero T
		return zero, false
	}
	return hp.entries[0].item, true
}

// Remove removes an item at any position. It reports whether the item was
// still waiting.
func (q *Queue[T]) Remove(h Handle[T]) bool {
	if h.entry == nil || h.entry.index < 0 {
		return false
	}
	organisation := h.entry.item.Organisation()
	hp := q.heaps[organisation]
	heap.Remove(hp, h.entry.index)
	q.afterRemove(organisation, hp)
	return true
}

func (q *Queue[T]) afterRemove(organisation string, hp *itemHeap[T]) {
	q.size--
	if len(hp.entries) == 0 {
		delete(q.heaps, organisation)
	}
}

// Len returns the number of an organisation's items.
func (q *Queue[T]) Len(organisation string) int {
	hp := q.heaps[organisation]
	if hp == nil {
		return 0
	}
	return len(hp.entries)
}

// Size returns the number of items of all organisations.
func (q *Queue[T]) Size() int { return q.size }

// EachOrganisation calls f with every organisation that has items waiting and
// their number, in no particular order.
func (q *Queue[T]) EachOrganisation(f func(organisation string, waiting int)) {
	for name, hp := range q.heaps {
		f(name, len(hp.entries))
	}
}

// EachItem calls f with every waiting item, in no particular order.
func (q *Queue[T]) EachItem(f func(T)) {
	for _, hp := range q.heaps {
		for _, e := range hp.entries {
			f(e.item)
		}
	}
}

// The methods below implement heap.Interface.

func (hp *itemHeap[T]) Len() int { return len(hp.entries) }

func (hp *itemHeap[T]) Less(i, j int) bool {
	a, b := hp.entries[i], hp.entries[j]
	if a.item.Priority() != b.item.Priority() {
		return a.item.Priority() > b.item.Priority()
	}
	if !a.item.Deadline().Equal(b.item.Deadline()) {
		return a.item.Deadline().Before(b.item.Deadline())
	}
	return a.sequence < b.sequence
}

func (hp *itemHeap[T]) Swap(i, j int) {
	hp.entries[i], hp.entries[j] = hp.entries[j], hp.entries[i]
	hp.entries[i].index = i
	hp.entries[j].index = j
}

func (hp *itemHeap[T]) Push(x any) {
	e := x.(*entry[T])
	e.index = len(hp.entries)
	hp.entries = append(hp.entries, e)
}

func (hp *itemHeap[T]) Pop() any {
	last := len(hp.entries) - 1
	e := hp.entries[last]
	hp.entries[last] = nil
	hp.entries = hp.entries[:last]
	e.index = -1
	return e
}
