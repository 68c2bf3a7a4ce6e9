package request

import (
	"container/list"
	"sync"
)

// Record holds the state of a request that a router accepted, and its answer.
type Record struct {
	ID           ID
	Organisation string
	Outcome      Outcome
	Reason       Reason
	Status       int
	ContentType  string
	// Body is the complete body of the answer, if it was kept.
	Body []byte
	// Truncated is set if the body was too large to keep.
	Truncated bool
	used      bool
	cancel    func()
}

// Records keeps the records of a bounded number of requests, with a bounded total size of
// their answers. It evicts the oldest ended requests first and never evicts one in progress.
// Use NewRecords to make one. It is safe for concurrent use.
type Records struct {
	mu       sync.Mutex
	entries  map[ID]*list.Element
	order    *list.List
	bytes    int
	maxCount int
	maxBytes int
	maxBody  int
}

// NewRecords returns an empty set that keeps up to count records, up to bytes bytes of
// answers in total and up to body bytes of one answer.
func NewRecords(count, bytes, body int) *Records {
	return &Records{
		entries:  map[ID]*list.Element{},
		order:    list.New(),
		maxCount: count,
		maxBytes: bytes,
		maxBody:  body,
	}
}

// Reserve adds the record of an id that was handed out but is not used yet.
func (r *Records) Reserve(id ID, organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[id] = r.order.PushBack(&Record{ID: id, Organisation: organisation, Outcome: NotRun})
	r.evict()
}

// Open marks the request with a reserved id as in progress. Cancel will call cancel. Open
// returns false, and the request must not run, if the id is not reserved for the
// organisation or was used before.
func (r *Records) Open(id ID, organisation string, cancel func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return false
	}
	record := e.Value.(*Record)
	if record.used || record.Organisation != organisation {
		return false
	}
	e.Value = &Record{ID: id, Organisation: organisation, Outcome: InProgress, used: true, cancel: cancel}
	return true
}

// Close stores how a request ended.
func (r *Records) Close(end Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[end.ID]
	if e == nil {
		return
	}
	if len(end.Body) > r.maxBody {
		end.Body, end.Truncated = nil, true
	}
	end.Organisation = e.Value.(*Record).Organisation
	end.used = true
	e.Value = &end
	r.bytes += len(end.Body)
	r.evict()
}

// evict evicts records of requests that are not in progress, oldest first, until the bounds
// are met.
func (r *Records) evict() {
	e := r.order.Front()
	for e != nil && (r.order.Len() > r.maxCount || r.bytes > r.maxBytes) {
		next := e.Next()
		if record := e.Value.(*Record); record.Outcome != InProgress {
			r.bytes -= len(record.Body)
			delete(r.entries, record.ID)
			r.order.Remove(e)
		}
		e = next
	}
}

// Lookup returns the record of a request.
func (r *Records) Lookup(id ID) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return Record{}, false
	}
	return *e.Value.(*Record), true
}

// Cancel cancels a request and reports whether it was in progress.
func (r *Records) Cancel(id ID) bool {
	record, ok := r.Lookup(id)
	if !ok || record.cancel == nil {
		return false
	}
	record.cancel()
	return true
}

// Len returns the number of records.
func (r *Records) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.order.Len()
}
