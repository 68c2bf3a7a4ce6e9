package forward

import (
	"bytes"
	"cmp"
	"hash/maphash"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// initialEventBufferSize is the initial size of a stream's buffer, and maxEventSize the
	// size up to which it grows to hold one event, both in bytes.
	initialEventBufferSize = 1 << 10
	maxEventSize           = 256 << 10
)

// errEventOrder means that the ids of a stream's events do not increase, or that a resumed stream repeats one.
var errEventOrder = errors.New("events out of order")

// eventReader reads a stream of server-sent events in batches of whole events.
type eventReader struct {
	source io.Reader
	buffer []byte
	// buffered is the number of bytes in buffer that have been read but not yet returned.
	buffered int
	// lastID is the id of the last event returned that has one, firstID that of the first one in the last batch,
	// batchCount the number of events in it, and skipped the number of ids that they leave out.
	lastID     string
	firstID    string
	batchCount int
	skipped    int64
	// identified is set if the last batch has an event with an id, and tail has the digests of the events
	// with data behind the last such event.
	identified bool
	tail       []uint64
	// names has the digests of the ids in the last batch that are no numbers, and passed those of earlier
	// sends.
	names  []uint64
	passed map[uint64]bool
	// repeated has the digests of events without an id that the caller has already, and which come first in
	// a resumed stream.
	repeated []uint64
}

// digestSeed is the seed of the digests of events.
var digestSeed = maphash.MakeSeed()

// newEventReader returns a reader that leaves out the events with the digests repeated, if they come in that
// order before the first event with an id, and refuses ids with the digests passed.
func newEventReader(from io.Reader, repeated []uint64, passed map[uint64]bool) *eventReader {
	return &eventReader{source: from, buffer: make([]byte, initialEventBufferSize), repeated: repeated, passed: passed}
}

// isNumber reports whether an id can be compared with others.
func isNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// next returns the next batch of whole events. after is the id of the event before them, or
// "". It may return events together with an error; io.EOF means that the stream ended after
// a whole event.
func (e *eventReader) next(after string) ([]byte, error) {
	e.lastID, e.firstID, e.batchCount, e.skipped, e.identified, e.tail, e.names = after, "", 0, 0, false, nil, nil
	for {
		if e.buffered == len(e.buffer) {
			if len(e.buffer) >= maxEventSize {
				return nil, errors.New("event exceeds the maximum size")
			}
			e.buffer = append(e.buffer, make([]byte, len(e.buffer))...)
		}
		n, err := e.source.Read(e.buffer[e.buffered:])
		e.buffered += n
		end, orderErr := e.scan()
		if orderErr != nil {
			return nil, orderErr
		}
		if end > 0 {
			batch := bytes.Clone(e.buffer[:end])
			copy(e.buffer, e.buffer[end:e.buffered])
			e.buffered -= end
			return batch, e.endError(err)
		}
		if err != nil {
			return nil, e.endError(err)
		}
	}
}

// nextWithData is next for a batch with at least one event that has data, or that ends the stream. What comes before
// may have the size of one event.
func (e *eventReader) nextWithData(after string) ([]byte, error) {
	var batch []byte
	count := 0
	for {
		more, err := e.next(after)
		batch, count = append(batch, more...), count+e.batchCount
		e.batchCount = count
		if e.hasData() || err != nil {
			return batch, err
		}
		if len(batch) > maxEventSize {
			return nil, errors.New("events without data exceed the maximum size of one")
		}
	}
}

// hasData reports whether an event of the last batch has data.
func (e *eventReader) hasData() bool { return e.identified || len(e.tail) > 0 }

// endError returns the error to report for a read error: io.EOF becomes another error if part
// of an event is left in the buffer.
func (e *eventReader) endError(err error) error {
	if errors.Is(err, io.EOF) && e.buffered > 0 {
		return errors.New("stream ends within an event")
	}
	return err
}

// scan finds the whole events in the buffer, checks their ids and returns the offset at
// which the last of them ends.
func (e *eventReader) scan() (int, error) {
	end := 0
	for {
		n := eventEndOffset(e.buffer[end:e.buffered])
		if n < 0 {
			return end, nil
		}
		repeated, err := e.check(e.buffer[end : end+n])
		if err != nil {
			return 0, err
		}
		if repeated {
			copy(e.buffer[end:], e.buffer[end+n:e.buffered])
			e.buffered -= n
			continue
		}
		e.batchCount++
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
func (e *eventReader) check(text []byte) (repeated bool, err error) {
	next := parseEvent(text)
	switch {
	case next.id != "":
	case !next.hasData:
		return false, nil
	default:
		digest := maphash.Bytes(digestSeed, text)
		if len(e.repeated) > 0 && digest == e.repeated[0] {
			e.repeated = e.repeated[1:]
			return true, nil
		}
		e.tail = append(e.tail, digest)
		return false, nil
	}
	skipped, ok := follows(e.lastID, next.id)
	if !isNumber(next.id) {
		name := maphash.String(digestSeed, next.id)
		ok = !e.passed[name]
		e.names = append(e.names, name)
	}
	if !ok {
		return false, errors.Wrapf(errEventOrder, "%q after %q", next.id, e.lastID)
	}
	e.skipped += skipped
	e.firstID = cmp.Or(e.firstID, next.id)
	e.lastID, e.identified, e.tail, e.repeated = next.id, true, nil, nil
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
