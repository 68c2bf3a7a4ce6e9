package forward

import (
	"bytes"
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

// errEventOrder means that the ids of a stream's events do not increase.
var errEventOrder = errors.New("events out of order")

// eventReader reads a stream of server-sent events in batches of whole events.
type eventReader struct {
	source io.Reader
	buffer []byte
	// buffered is the number of bytes in buffer that have been read but not yet returned.
	buffered int
	// lastID is the id of the last event returned that has one, batchCount the number of events in the
	// last batch, and skipped the number of ids that they leave out.
	lastID     string
	batchCount int
	skipped    int64
	// unnumbered is set if an event with data was returned before the first one with an id.
	unnumbered bool
}

func newEventReader(from io.Reader) *eventReader {
	return &eventReader{source: from, buffer: make([]byte, initialEventBufferSize)}
}

// next returns the next batch of whole events. after is the id of the event before them, or
// "". It may return events together with an error; io.EOF means that the stream ended after
// a whole event.
func (e *eventReader) next(after string) ([]byte, error) {
	e.lastID, e.batchCount, e.skipped = after, 0, 0
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
		if err := e.check(parseEvent(e.buffer[end : end+n])); err != nil {
			return 0, err
		}
		e.batchCount++
		end += n
	}
}

// event is what the router reads of an event: its id, empty if it has none, and whether it has data. Others,
// such as comments, mean nothing to the caller.
type event struct {
	id      string
	hasData bool
}

func parseEvent(text []byte) (e event) {
	for l := range bytes.Lines(text) {
		if value, ok := bytes.CutPrefix(l, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(value))
		}
		e.hasData = e.hasData || bytes.HasPrefix(l, []byte("data"))
	}
	return e
}

// check returns an error if an event has an id that does not follow the previous one.
func (e *eventReader) check(next event) error {
	if next.id == "" {
		e.unnumbered = e.unnumbered || next.hasData && e.lastID == ""
		return nil
	}
	skipped, ok := follows(e.lastID, next.id)
	if !ok {
		return errors.Wrapf(errEventOrder, "%q after %q", next.id, e.lastID)
	}
	e.skipped += skipped
	e.lastID = next.id
	return nil
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
