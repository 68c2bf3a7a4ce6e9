// Package advice remembers what targets said of themselves in their answers to this router.
// It is kept by incarnation, apart from the list of targets: an entry that goes and comes back,
// or one that still says something else, takes back nothing that the target said itself.
// Time comes in through arguments.
package advice

import "time"

// keptTime is for how long a record is kept of an incarnation that is not listed: longer
// than an entry may be missing before it is listed again.
const keptTime = time.Hour

// Record is what one incarnation of a target said. A nil record has said nothing.
type Record struct {
	leaving bool
	heard   time.Time
}

// Leaving reports whether the target said that it leaves, which it cannot take back.
func (r *Record) Leaving() bool { return r != nil && r.leaving }

// Book has the records of many targets. The zero value is empty.
type Book struct {
	records map[string]*Record
}

// Find returns the record of an incarnation, nil if it has said nothing.
func (b *Book) Find(name string) *Record { return b.records[name] }

// Leave notes that an incarnation says that it leaves. It returns its record, and whether
// that is new.
func (b *Book) Leave(now time.Time, name string) (*Record, bool) {
	r := b.record(now, name)
	news := !r.leaving
	r.leaving = true
	return r, news
}

func (b *Book) record(now time.Time, name string) *Record {
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
func (b *Book) Prune(now time.Time, listed func(name string) bool) {
	for name, r := range b.records {
		if now.Sub(r.heard) >= keptTime && !listed(name) {
			delete(b.records, name)
		}
	}
}
