// Package advice remembers what targets reported about themselves in their answers to this
// router: that they are leaving, or that they want no requests for a time (a backoff). Records
// are kept by incarnation and apart from the list of targets: if an entry of the list
// disappears and returns, or still contradicts the target, what the target itself reported
// stays valid. Time is passed in as an argument.
package advice

import "time"

// unlistedTTL is how long the record of an unlisted incarnation is kept after its last report:
// longer than an entry may be missing before it is listed again.
const unlistedTTL = time.Hour

// MaxBackoff bounds the backoff that a target may ask for, so that a mistaken target is not
// without work forever.
const MaxBackoff = 10 * time.Minute

// Record is what one incarnation of a target reported. A nil record has reported nothing.
type Record struct {
	leaving      bool
	backoffUntil time.Time
	lastReport   time.Time
}

// BackoffUntil returns when the target's backoff ends or ended; zero if it asked for none, or
// has accepted a request since.
func (r *Record) BackoffUntil() time.Time {
	if r == nil {
		return time.Time{}
	}
	return r.backoffUntil
}

// Leaving reports whether the target said that it is leaving, which it cannot withdraw.
func (r *Record) Leaving() bool { return r != nil && r.leaving }

// Records holds the records of many targets. The zero value is empty.
type Records struct {
	records map[string]*Record
}

// Find returns the record of an incarnation, nil if it has reported nothing.
func (b *Records) Find(name string) *Record { return b.records[name] }

// SetLeaving records that an incarnation is leaving. It returns the record, and whether this
// was not known before.
func (b *Records) SetLeaving(now time.Time, name string) (*Record, bool) {
	r := b.record(now, name)
	changed := !r.leaving
	r.leaving = true
	return r, changed
}

// SetBackoff records that an incarnation asked for a backoff of d, at most MaxBackoff. It never
// shortens an earlier backoff. It returns the record, and whether the target was not backing
// off already.
func (b *Records) SetBackoff(now time.Time, name string, d time.Duration) (*Record, bool) {
	r := b.record(now, name)
	changed := !now.Before(r.backoffUntil)
	if until := now.Add(min(d, MaxBackoff)); until.After(r.backoffUntil) {
		r.backoffUntil = until
	}
	return r, changed
}

// ClearBackoff records that the target has accepted a request after its backoff.
func (r *Record) ClearBackoff() { r.backoffUntil = time.Time{} }

func (b *Records) record(now time.Time, name string) *Record {
	r := b.records[name]
	if r == nil {
		r = &Record{}
		if b.records == nil {
			b.records = map[string]*Record{}
		}
		b.records[name] = r
	}
	r.lastReport = now
	return r
}

// Prune drops the records of incarnations that have reported nothing for unlistedTTL and are
// not listed.
func (b *Records) Prune(now time.Time, listed func(name string) bool) {
	for name, r := range b.records {
		if now.Sub(r.lastReport) >= unlistedTTL && !listed(name) {
			delete(b.records, name)
		}
	}
}
