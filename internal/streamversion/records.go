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

// KeyOf returns the key of the stream that a request to a service began.
func KeyOf(service, request string) Key { return Key(rendezvous.Hash(service + "\x00" + request)) }

// Record tells which version began a stream.
type Record struct {
	Key     Key
	Version string
}

// records holds the versions of streams for at least TTL, unless there are more than maxRecords.
type records struct {
	current, previous map[Key]string
	rotatedAt         time.Time
}

func newRecords(now time.Time) records {
	return records{current: map[Key]string{}, rotatedAt: now}
}

func (r *records) put(now time.Time, k Key, version string) {
	if now.Sub(r.rotatedAt) >= TTL || len(r.current) >= maxRecords {
		r.current, r.previous, r.rotatedAt = map[Key]string{}, r.current, now
	}
	r.current[k] = unique.Make(version).Value()
}

func (r *records) find(k Key) (version string, known bool) {
	if version, known = r.current[k]; known {
		return version, true
	}
	version, known = r.previous[k]
	return version, known
}
