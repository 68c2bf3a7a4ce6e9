// Package streamversion remembers which version of a service's software began each stream.
// What two versions write does not fit together, so the rest of a stream may come only from the
// version that began it, although callers may ask any router for it, also after the router that
// began the stream has gone.
//
// Each record is kept by the router that began the stream and by a few others, which rendezvous
// hashing chooses by the stream. They are sent only while a service has several versions. The records of
// the last seconds are then also stored, in shards, so that they outlive all routers.
package streamversion

import (
	"time"
	"unique"

	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

const (
	// TTL is how long a record is kept at least. It exceeds the time for which callers wait for a
	// stream, all their attempts included.
	TTL = time.Minute
	// maxRecords bounds the records of one TTL. A record takes some 50 bytes.
	maxRecords = 1 << 16
)

// Unknown is recorded as the version of a stream that began while its target's version was not known. No target
// has it.
const Unknown = "\x00"

// Key identifies a stream.
type Key uint64

// KeyOf returns the key of the stream that a request began. It does not depend on the service, which the configuration
// may change before the rest is asked for.
func KeyOf(request string) Key { return Key(rendezvous.Hash(request)) }

// Record tells which version began a stream.
type Record struct {
	Key     Key
	Version string
	// Corrections is how often the router at which the stream began had corrected the version. Records arrive
	// late, twice and in any order, from routers and from the store: the one with the most corrections counts.
	Corrections uint32
}

// Merge returns what two records of a stream tell together, whichever came first. If neither was written after
// the other and their versions differ, either may have begun the stream.
func (r Record) Merge(other Record) Record {
	switch {
	case other.Corrections > r.Corrections:
		return other
	case other.Corrections == r.Corrections && other.Version != r.Version:
		r.Version = Unknown
	}
	return r
}

// belief is what is known of a stream.
type belief struct {
	version     string
	corrections uint32
	// told is set if only others have told it, which may have missed a correction: other routers, or the store.
	told bool
}

// records holds the versions of streams for at least TTL, unless there are more than maxRecords.
type records struct {
	current, previous map[Key]unique.Handle[belief]
	rotatedAt         time.Time
}

func newRecords(now time.Time) records {
	return records{current: map[Key]unique.Handle[belief]{}, rotatedAt: now}
}

// put merges a record with what is known of its stream, and returns the result. told tells whether others told it.
func (r *records) put(now time.Time, n Record, told bool) Record {
	if known, onlyTold, ok := r.find(n.Key); ok {
		n = known.Merge(n)
		if _, current := r.current[n.Key]; current && n == known {
			return n
		}
		told = told && onlyTold
	}
	if now.Sub(r.rotatedAt) >= TTL || len(r.current) >= maxRecords {
		r.current, r.previous, r.rotatedAt = map[Key]unique.Handle[belief]{}, r.current, now
	}
	r.current[n.Key] = unique.Make(belief{n.Version, n.Corrections, told})
	return n
}

// find returns what is known of a stream, and whether only others have told it.
func (r *records) find(k Key) (found Record, told, known bool) {
	h, known := r.current[k]
	if !known {
		h, known = r.previous[k]
	}
	if !known {
		return Record{}, false, false
	}
	b := h.Value()
	return Record{Key: k, Version: b.version, Corrections: b.corrections}, b.told, true
}
