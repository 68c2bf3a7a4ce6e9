// Package eventstream reads streams of server-sent events, as the HTML standard defines them, in batches of whole events,
// and checks that their ids are in order.
package eventstream

import (
	"bytes"
	"cmp"
	"hash/maphash"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// initialBufferSize is the initial size of a stream's buffer, and maxEventSize the size up to which it grows to hold
	// one event, both in bytes.
	initialBufferSize = 1 << 10
	maxEventSize      = 256 << 10
)

// ErrOrder means that the ids of a stream's events do not increase, or that a resumed stream repeats one.
var ErrOrder = errors.New("events out of order")

// Batch is a number of whole events.
type Batch struct {
	// Text is the events as they arrived.
	Text []byte
	// Count is the number of events, and Skipped the number of ids that they leave out.
	Count   int
	Skipped int64
	// LastID is the id of the last event so far that has one, FirstID that of the first one in the batch; both are empty
	// if there is none.
	LastID, FirstID string
	// Identified is set if the batch has an event with an id, and Tail has the digests of the events with data
	// behind the last such event.
	Identified bool
	Tail       []uint64
	// Names has the digests of the ids that are no numbers.
	Names []uint64
}

// HasData reports whether an event of the batch has data.
func (b Batch) HasData() bool { return b.Identified || len(b.Tail) > 0 }

// Reader reads a stream of server-sent events. Use New to create one.
type Reader struct {
	source io.Reader
	buffer []byte
	// buffered is the number of bytes in buffer that have been read but not yet returned.
	buffered int
	// batch is the one that is being read.
	batch Batch
	// passed has the digests of ids that are no numbers and must not come.
	passed map[uint64]bool
	// repeated has the digests of events without an id that the caller has already, and which come first in
	// a resumed stream.
	repeated []uint64
}

// digestSeed is the seed of the digests of events.
var digestSeed = maphash.MakeSeed()

// New returns a reader that leaves out the events with the digests repeated, if they come in that
// order before the first event with an id, and refuses ids with the digests passed.
func New(from io.Reader, repeated []uint64, passed map[uint64]bool) *Reader {
	return &Reader{source: from, buffer: make([]byte, initialBufferSize), repeated: repeated, passed: passed}
}

// IsNumber reports whether an id can be compared with others.
func IsNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// Digest returns the digest of an id.
func Digest(id string) uint64 { return maphash.String(digestSeed, id) }

// Next returns the next batch. after is the id of the event before it, or "". It may return events together with an
// error; io.EOF means that the stream ended after a whole event.
func (r *Reader) Next(after string) (Batch, error) {
	r.batch = Batch{LastID: after}
	for {
		if r.buffered == len(r.buffer) {
			if len(r.buffer) >= maxEventSize {
				return Batch{LastID: after}, errors.New("event exceeds the maximum size")
			}
			r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
		}
		n, err := r.source.Read(r.buffer[r.buffered:])
		r.buffered += n
		end, orderErr := r.scan()
		if orderErr != nil {
			return Batch{LastID: after}, orderErr
		}
		if end > 0 {
			r.batch.Text = bytes.Clone(r.buffer[:end])
			copy(r.buffer, r.buffer[end:r.buffered])
			r.buffered -= end
			return r.batch, r.endError(err)
		}
		if err != nil {
			return Batch{LastID: after}, r.endError(err)
		}
	}
}

// NextWithData is Next for a batch with at least one event that has data, or that ends the stream. What comes before
// may have the size of one event.
func (r *Reader) NextWithData(after string) (Batch, error) {
	var text []byte
	count := 0
	for {
		b, err := r.Next(after)
		text, count = append(text, b.Text...), count+b.Count
		b.Text, b.Count = text, count
		if b.HasData() || err != nil {
			return b, err
		}
		if len(text) > maxEventSize {
			return Batch{LastID: after}, errors.New("events without data exceed the maximum size of one")
		}
	}
}

// endError returns the error to report for a read error: io.EOF becomes another error if part
// of an event is left in the buffer.
func (r *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && r.buffered > 0 {
		return errors.New("stream ends within an event")
	}
	return err
}

// scan finds the whole events in the buffer, checks their ids and returns the offset at
// which the last of them ends.
func (r *Reader) scan() (int, error) {
	end := 0
	for {
		n := eventEndOffset(r.buffer[end:r.buffered])
		if n < 0 {
			return end, nil
		}
		repeated, err := r.check(r.buffer[end : end+n])
		if err != nil {
			return 0, err
		}
		if repeated {
			copy(r.buffer[end:], r.buffer[end+n:r.buffered])
			r.buffered -= n
			continue
		}
		r.batch.Count++
		end += n
	}
}

// lineEndOffset returns the offset just after the first line in b, which ends in LF, CRLF or CR, or -1 if there
// is no whole line.
func lineEndOffset(b []byte) int {
	lf := bytes.IndexByte(b, '\n')
	before := b
	if lf >= 0 {
		before = b[:lf]
	}
	if cr := bytes.IndexByte(before, '\r'); cr >= 0 && cr != lf-1 {
		return cr + 1
	}
	if lf < 0 {
		return -1
	}
	return lf + 1
}

// eventEndOffset returns the offset just after the first whole event in b, which ends with a blank line, or -1 if
// there is none.
func eventEndOffset(b []byte) int {
	last := byte('\n')
	for start := 0; start < len(b); {
		n := lineEndOffset(b[start:])
		if n < 0 {
			return -1
		}
		line := b[start : start+n]
		start += n
		if line[0] != '\n' && line[0] != '\r' {
			last = line[n-1]
			continue
		}
		if start == len(b) && line[n-1] == '\r' && last != '\r' {
			// It may be the first half of CRLF.
			return -1
		}
		return start
	}
	return -1
}

// event is what the router reads of an event: its id, empty if it has none, and whether it has data. Others,
// such as comments, mean nothing to the caller.
type event struct {
	id      string
	hasData bool
}

func parseEvent(text []byte) (e event) {
	for len(text) > 0 {
		l := text
		if n := lineEndOffset(text); n > 0 {
			l = text[:n]
		}
		text = text[len(l):]
		if value, ok := bytes.CutPrefix(l, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
		}
		e.hasData = e.hasData || bytes.HasPrefix(l, []byte("data"))
	}
	return e
}

// check reports whether the caller has an event already, and returns an error if it has an id that does not
// follow the previous one.
func (r *Reader) check(text []byte) (repeated bool, err error) {
	next := parseEvent(text)
	switch {
	case next.id != "":
	case !next.hasData:
		return false, nil
	default:
		digest := maphash.Bytes(digestSeed, text)
		if len(r.repeated) > 0 && digest == r.repeated[0] {
			r.repeated = r.repeated[1:]
			return true, nil
		}
		r.batch.Tail = append(r.batch.Tail, digest)
		return false, nil
	}
	skipped, ok := follows(r.batch.LastID, next.id)
	if !IsNumber(next.id) {
		name := Digest(next.id)
		ok = !r.passed[name]
		r.batch.Names = append(r.batch.Names, name)
	}
	if !ok {
		return false, errors.Wrapf(ErrOrder, "%q after %q", next.id, r.batch.LastID)
	}
	r.batch.Skipped += skipped
	r.batch.FirstID = cmp.Or(r.batch.FirstID, next.id)
	r.batch.LastID, r.batch.Identified, r.batch.Tail, r.repeated = next.id, true, nil, nil
	return false, nil
}

// follows reports whether id may come after last, and how many ids are between them. Ids that are not
// numbers are not compared.
func follows(last, id string) (skipped int64, ok bool) {
	if last == "" {
		return 0, true
	}
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	if errA != nil || errB != nil {
		return 0, true
	}
	return max(b-a-1, 0), b > a
}
