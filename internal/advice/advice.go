// Package advice remembers what targets said of themselves in their answers to this router:
// that they leave, or that they want nothing from it for a time. It is kept by incarnation, apart from the list of targets: an entry that goes and comes back,
// or one that still says something else, takes back nothing that the target said itself.
// Time comes in through arguments.
package advice

import "time"

// keptTime is for how long a record is kept of an incarnation that is not listed: longer
// than an entry may be missing before it is listed again.
const keptTime = time.Hour

// MaxBackoff bounds the rest that a target may ask for: a mistaken one must not be without
// work for ever.
const MaxBackoff = 10 * time.Minute

// Record is what one incarnation of a target said. A nil record has said nothing.
type Record struct {
	leaving bool
	rest    time.Time
	heard   time.Time
}

// BackoffUntil returns until when the target wants nothing, or wanted; zero if it asked for no rest,
// or has taken a request since.
func (r *Record) BackoffUntil() time.Time {
	if r == nil {
		return time.Time{}
	}
	return r.rest
}

// Leaving reports whether the target said that it leaves, which it cannot take back.
func (r *Record) Leaving() bool { return r != nil && r.leaving }

// Records has the records of many targets. The zero value is empty.
type Records struct {
	records map[string]*Record
}

// Find returns the record of an incarnation, nil if it has said nothing.
func (b *Records) Find(name string) *Record { return b.records[name] }

// SetLeaving notes that an incarnation says that it leaves. It returns its record, and whether
// that is new.
func (b *Records) SetLeaving(now time.Time, name string) (*Record, bool) {
	r := b.record(now, name)
	news := !r.leaving
	r.leaving = true
	return r, news
}

// SetBackoff notes that an incarnation wants nothing for a time, of which the latest end holds. It
// returns its record, and whether it was not resting.
func (b *Records) SetBackoff(now time.Time, name string, d time.Duration) (*Record, bool) {
	r := b.record(now, name)
	news := !now.Before(r.rest)
	if until := now.Add(min(d, MaxBackoff)); until.After(r.rest) {
		r.rest = until
	}
	return r, news
}

// ClearBackoff notes that the target has taken a request after its rest.
func (r *Record) ClearBackoff() { r.rest = time.Time{} }

func (b *Records) record(now time.Time, name string) *Record {
	r := b.records[name]
	if r == nil {
		r = &Record{}
		if b.records == nil {
			b.records = map[string]*Record{}
		}
		b.records[name] = r
	}
	r.heard = now
	return r
}

// Prune drops the records of incarnations that have said nothing for an hour and are not
// listed.
func (b *Records) Prune(now time.Time, listed func(name string) bool) {
	for name, r := range b.records {
		if now.Sub(r.heard) >= keptTime && !listed(name) {
			delete(b.records, name)
		}
	}
}
