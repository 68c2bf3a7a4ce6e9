// Package waiting predicts which requests would wait in vain. A router with many more requests than
// its targets take lets most of them wait for a fifth of their goal and refuses them then; their
// callers have lost that time. A Forecast remembers what became of recent waiting requests, so that
// hopeless ones are refused at once. It is a plain state machine: time is passed in as an argument
// and one goroutine drives it.
package waiting

import (
	"math/bits"
	"time"
)

const (
	// window is the time for which the end of a wait counts. It is several times as long as a
	// wait, so that a class has enough ends, and as short as the window over which shares adapt.
	window = 2 * time.Second
	// bucketWidth is the time by which old ends are dropped together.
	bucketWidth = 100 * time.Millisecond
	buckets     = int(window / bucketWidth)
	// minEnds is the number of ends from which a class has a forecast. With 20, fewer than one
	// placed in hopelessPart means that none was.
	minEnds = 20
	// hopelessPart is the part of waiting requests that must have been placed for waiting to be
	// worth it: one in hopelessPart. A caller that is refused at once keeps a fifth of its goal for
	// its return, which is worth more than such a chance.
	hopelessPart = 20
	// exemptPart is the part of hopeless requests that wait nevertheless, one in exemptPart, and
	// keep the record current. It is larger than one in hopelessPart, so that engines which place
	// fewer than that still find a request waiting.
	exemptPart = 16
)

// Class describes requests whose waits end alike.
type Class struct {
	Service string
	// OverShare is set for requests of organisations that were served more than their share.
	OverShare bool
	// Place is the number of waiting requests that go first. Places between the same powers of two
	// are one class.
	Place int
}

// key returns the class with a Place that stands for all places between the same powers of two.
func (c Class) key() Class {
	c.Place = bits.Len(uint(max(c.Place, 0)))
	return c
}

// ends counts the waits that ended.
type ends struct{ placed, all int }

// record is the recent past of a class: a ring of buckets, and their sum.
type record struct {
	buckets [buckets]ends
	sum     ends
	// newest is the number of the newest bucket since the forecast's start.
	newest int64
	// hopeless counts the requests for which Refuse found no hope.
	hopeless int
}

// advance drops the buckets that have left the window.
func (r *record) advance(to int64) {
	for i := max(r.newest+1, to-int64(buckets)+1); i <= to; i++ {
		b := &r.buckets[i%int64(buckets)]
		r.sum.placed -= b.placed
		r.sum.all -= b.all
		*b = ends{}
	}
	r.newest = max(r.newest, to)
}

// Forecast holds the recent past of each class. Use New to make one.
type Forecast struct {
	start    time.Time
	records  map[Class]*record
	prunedAt int64
}

// New returns a forecast without a past, which refuses nothing.
func New() *Forecast { return &Forecast{records: map[Class]*record{}} }

// Record records that the wait of a request ended, and whether it was sent to a target.
func (f *Forecast) Record(now time.Time, c Class, placed bool) {
	at := f.bucket(now)
	f.prune(at)
	r := f.records[c.key()]
	if r == nil {
		r = &record{newest: at}
		f.records[c.key()] = r
	}
	r.advance(at)
	b := &r.buckets[r.newest%int64(buckets)]
	b.all++
	r.sum.all++
	if placed {
		b.placed++
		r.sum.placed++
	}
}

// Refuse reports whether a new request that would have to wait is to be refused at once: almost no
// request of its class was placed lately. It is to be called once for such a request.
func (f *Forecast) Refuse(now time.Time, c Class) bool {
	r := f.records[c.key()]
	if r == nil {
		return false
	}
	r.advance(f.bucket(now))
	if !r.isHopeless() {
		return false
	}
	r.hopeless++
	return r.hopeless%exemptPart != 0
}

// Exempt reports whether a request for which Refuse has just returned false waits only as an
// exception.
func (f *Forecast) Exempt(c Class) bool {
	r := f.records[c.key()]
	return r != nil && r.isHopeless()
}

// Reset forgets what became of a class's requests. It is to be called before an exempt request is
// recorded as placed: the cause of the forecast may have passed, and after a burst older ends would
// outweigh the few that follow for the rest of the window.
func (f *Forecast) Reset(c Class) { delete(f.records, c.key()) }

// isHopeless reports whether almost no request of the class was placed lately.
func (r *record) isHopeless() bool {
	return r.sum.all >= minEnds && r.sum.placed*hopelessPart < r.sum.all
}

// bucket returns the number of the bucket of a time.
func (f *Forecast) bucket(now time.Time) int64 {
	if f.start.IsZero() {
		f.start = now
	}
	return max(int64(now.Sub(f.start)/bucketWidth), 0)
}

// prune forgets the classes without a wait that ended within the window.
func (f *Forecast) prune(at int64) {
	if at-f.prunedAt < int64(buckets) {
		return
	}
	f.prunedAt = at
	for c, r := range f.records {
		if at-r.newest >= int64(buckets) {
			delete(f.records, c)
		}
	}
}
