package forward

import (
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// eventBuffer is the size of a stream's buffer, in bytes; maxEvent is the
	// size of the largest event.
	eventBuffer = 1 << 10
	maxEvent    = 256 << 10
)

// errOrder means that a stream's events are not in order.
var errOrder = errors.New("events out of order")

// events cuts a stream into whole events.
type events struct {
	from   io.Reader
	buffer []byte
	// held is the number of bytes in buffer that were read and not returned.
	held int
	// last is the id of the last event returned, count the number of events
	// in the last batch.
	last  string
	count int
}

func newEvents(from io.Reader) *events {
	return &events{from: from, buffer: make([]byte, eventBuffer)}
}

// next returns the next whole events, which stay valid until the next call.
// after is the id of the event before them. With an error there may be
// events too; io.EOF means that the stream is whole.
func (e *events) next(after string) ([]byte, error) {
	e.last, e.count = after, 0
	for {
		if e.held == len(e.buffer) {
			if len(e.buffer) >= maxEvent {
				return nil, errors.New("event too long")
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

// finish returns the error for the end of the stream: one that ends within an
// event is not whole.
func (e *events) finish(err error) error {
	if errors.Is(err, io.EOF) && e.held > 0 {
		return errors.New("stream ends within an event")
	}
	return err
}

// scan finds the whole events in the buffer and checks their ids. It returns
// where they end.
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

// check checks that an event's id, if it has one, follows the one before.
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

// follows reports whether id is greater than last, where both are numbers.
func follows(last, id string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	return errA != nil || errB != nil || b > a
}
