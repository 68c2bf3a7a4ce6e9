package forward

import (
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// eventBuffer is the initial size of a stream's buffer and maxEvent the size up to
	// which it grows to hold one event, both in bytes.
	eventBuffer = 1 << 10
	maxEvent    = 256 << 10
)

// errOrder means that the ids of a stream's events do not increase.
var errOrder = errors.New("event ids out of order")

// events reads a stream of server-sent events in batches of whole events.
type events struct {
	from   io.Reader
	buffer []byte
	// held is the number of bytes in buffer that have been read but not yet returned.
	held int
	// last is the id of the last event returned, and count the number of events in the
	// last batch.
	last  string
	count int
}

func newEvents(from io.Reader) *events {
	return &events{from: from, buffer: make([]byte, eventBuffer)}
}

// next returns the next batch of whole events. after is the id of the event before them, or
// "". It may return events together with an error; io.EOF means that the stream ended after
// a whole event.
func (e *events) next(after string) ([]byte, error) {
	e.last, e.count = after, 0
	for {
		if e.held == len(e.buffer) {
			if len(e.buffer) >= maxEvent {
				return nil, errors.New("event exceeds the maximum size")
			}
			e.buffer = append(e.buffer, make([]byte, len(e.buffer))...)
		}
		n, err := e.from.Read(e.buffer[e.held:])
		e.held += n
		end, orderErr := e.scan()
		if orderErr != nil {
			return nil, orderErr
		}
		if end > 0 {
			batch := bytes.Clone(e.buffer[:end])
			copy(e.buffer, e.buffer[end:e.held])
			e.held -= end
			return batch, e.finish(err)
		}
		if err != nil {
			return nil, e.finish(err)
		}
	}
}

// finish returns the error to report for a read error: io.EOF becomes another error if part
// of an event is left in the buffer.
func (e *events) finish(err error) error {
	if errors.Is(err, io.EOF) && e.held > 0 {
		return errors.New("stream ends within an event")
	}
	return err
}

// scan finds the whole events in the buffer, checks their ids and returns the offset at
// which the last of them ends.
func (e *events) scan() (int, error) {
	end := 0
	for {
		n := indexEnd(e.buffer[end:e.held])
		if n < 0 {
			return end, nil
		}
		if err := e.check(e.buffer[end : end+n]); err != nil {
			return 0, err
		}
		e.count++
		end += n
	}
}

// check returns an error if an event has an id that does not follow the previous one.
func (e *events) check(event []byte) error {
	for l := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(l, []byte("id:"))
		if !ok {
			continue
		}
		id := string(bytes.TrimSpace(value))
		if !follows(e.last, id) {
			return errors.Wrapf(errOrder, "%q after %q", id, e.last)
		}
		e.last = id
	}
	return nil
}

// follows reports whether id may come after last. Ids that are not numbers are not compared.
func follows(last, id string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	return errA != nil || errB != nil || b > a
}
